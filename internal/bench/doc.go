// Package bench puts load on a running system and measures it: an open-loop generator makes requests arrive at random
// times that depend on a seed, histograms hold the time from the planned arrival to the answer, and the same run checks
// the correctness of the answers.
//
// A workload consists of classes of requests. Every class uses records whose version grows by one with each update, so
// that the checks only compare counts: an answer may not be older than the updates that were acknowledged before the
// request (or before the maximum age of the class), nor newer than the updates that were sent. At the end, each record
// and each inserted row is compared with the updates and inserts that were acknowledged, refused or left unknown.
//
// A Result with a violation is void: its figures mean nothing.
//
// Failover starts a system in this process, injects faults into its primaries under steady writes and measures the time
// without an acknowledged write. Control measures the cost of a controller and simulated proxies.
//
// # Usage
//
//	result, err := bench.Run(ctx, bench.Options{
//		Workload: "teranga", Proxies: []string{"127.0.0.1:6432", "127.0.0.1:6433"},
//		Databases: []string{"teranga.students"}, Duration: time.Minute, Seed: 1,
//	})
package bench
