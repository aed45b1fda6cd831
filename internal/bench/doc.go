// Package bench loads a running system and measures it: an open-loop generator with seeded arrivals, histograms
// of the time from the planned arrival to the answer, and checks of correctness in the same run.
//
// A workload is made of classes of requests. Every class works on records whose version grows by one with each
// update, so that the checks need only counts: an answer may not be older than the updates that were acknowledged
// before it was asked for (less the stated age), nor newer than the updates that were sent. At the end each
// record and each filed row is compared with what was acknowledged, refused and left unknown.
//
// A Result with a violation is void: its figures mean nothing.
//
// Failover starts a system in this process, breaks its primaries under steady writes and measures the time without an
// acknowledged write. Control measures what a controller and simulated proxies cost.
//
// # Usage
//
//	result, err := bench.Run(ctx, bench.Options{
//		Workload: "teranga", Proxies: []string{"127.0.0.1:6432", "127.0.0.1:6433"},
//		Databases: []string{"teranga.students"}, Duration: time.Minute, Seed: 1,
//	})
package bench
