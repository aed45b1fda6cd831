// Package route chooses the backend server for a read.
//
// A Policy receives a Request, which contains everything that the choice depends on, and returns a Choice: run on a
// replica, wait a bounded time for a replica, run on the primary, or nothing. A Policy reads no clock and has no state,
// so that a choice can be reproduced and tested.
//
// A server may serve a read if it is reachable, is not leaving, has not failed a request recently, covers the floor of
// the read, and its data is not older than allowed. Every policy follows these rules; they differ in which of the
// servers they prefer:
//
//   - "fresh" takes the replica that is expected to answer first, or, where the latencies of the servers are not known, the
//     one with the lowest load, with a preference for the caller's data centre. If there is none,
//     it waits for a replica that is expected to cover the floor soon, and otherwise takes the primary.
//   - "primary" sends all reads to the primary.
//   - "turn" takes the allowed servers in turn, including the primary, and never waits.
//
// The last two are baselines for comparison.
//
// # Usage
//
//	policy, err := route.NewPolicy("fresh")
//	if err != nil {
//		return err
//	}
//	choice := policy.Choose(route.Request{Now: now, Floor: floor, History: history, Servers: servers, MaxWait: wait})
package route
