// Package route chooses the backend server for a read.
//
// A Policy gets a Request, which holds everything that a choice depends on, and returns a Choice: run on a server, wait
// a bounded time for a replica, run on the primary, or nothing. It reads no clock and has no state, so that a choice can
// be repeated and tested.
//
// A server may serve a read if it is reachable, is not leaving, did not fail a request a moment ago, covers the floor of
// the read, and holds data that are not older than permitted. Every policy keeps these rules; they differ in which of
// the servers they prefer:
//
//   - "fresh" takes the replica with the least load, with a preference for the caller's data centre. Without one it
//     waits for a replica that should soon cover the floor, and then takes the primary.
//   - "primary" sends all reads to the primary.
//   - "turn" takes the permitted servers in turn, the primary included, and never waits.
//
// The last two are baselines for comparison.
//
// # Usage
//
//	policy, err := route.Named("fresh")
//	if err != nil {
//		return err
//	}
//	choice := policy.Choose(route.Request{Now: now, Floor: floor, History: history, Servers: servers, Wait: wait})
package route
