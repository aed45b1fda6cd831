// Package share divides the connections that a backend server accepts among the proxies that use it, according to the
// demand that each of them reports; package permit hands out single connections and slots instead.
//
// Each proxy reports how many connections it holds and how many it could use. A Table answers with the number that the
// proxy may hold: its demand if the server has room for all, otherwise at most an equal share of what proxies with
// lower demands leave. Connections that a proxy holds or was granted count until it reports fewer, so that the sum
// stays within the server's limit. A proxy that stops reporting loses its connections after a time.
//
// It is designed for callers that move from one data centre to another, and for transactions that hold connections for
// their whole duration, where equal shares would leave connections unused at some proxies while statements wait at
// others.
//
// # Usage
//
//	table := share.New(limit, lifetime)
//	granted := table.Report(now, "proxy1", share.Demand{Open: 3, Wanted: 7})
package share
