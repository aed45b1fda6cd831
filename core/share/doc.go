// Package share divides the connections that a backend server accepts among the proxies that use it, by how many each
// reports to need; package permit hands out single connections and slots instead.
//
// Each proxy reports how many connections it holds and how many it could use. A Table answers with the number that the
// proxy may hold: what it wants if the server has room for all, an equal level for those that want more if it has not.
// What a proxy holds or was granted before counts until it reports less, so that the sum stays within the server's
// limit. A proxy that stops reporting loses its part after a time.
//
// The load that this answers: callers who move from one data centre to another, and transactions that hold connections
// for their whole duration, where equal shares leave connections unused at some proxies while others wait.
//
// # Usage
//
//	table := share.New(limit, lifetime)
//	granted := table.Report(now, "proxy1", share.Demand{Open: 3, Wanted: 7})
package share
