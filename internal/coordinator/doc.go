// Package coordinator implements the coordinator of one database group, which runs on the proxy that control assigns to
// the group; package coordination connects every proxy with the coordinators of all groups.
//
// A Coordinator keeps one monitor connection to each member of its group. It uses them to observe roles, terms and
// positions, and serves four kinds of requests:
//
//   - Barrier returns a position that covers every write acknowledged before the call, with proof that the primary
//     had not been replaced at some time after the call.
//   - Confirm returns once a commit quorum holds the writes committed before the call.
//   - Acquire, Release and ReportHeld share the permits for connections and slots through core/permit.
//   - Observations returns the replayed position of each member and an upper bound for the age of its data.
//
// # Sharing
//
// All queries to a member go through a Coalescer: a request uses only a query that began after the request arrived, and
// the requests that arrive while a query is running share the next one. Many concurrent barriers thus cost no more
// than one.
//
// # Safety
//
// Barrier and Confirm depend on no clock and on no lease. Each proves by the members' own answers that a fence
// quorum of the term could not have existed when the call began, so that a coordinator of an old epoch, or any
// other observer, may perform them. Permits are granted only while the process holds its configuration lease, and
// only after a new Coordinator has collected the permits that are already held.
//
// # Usage
//
//	group := coordinator.New(coordinator.Options{Group: "db1", Epoch: 4, View: source.View, Open: open, ...})
//	defer group.Close()
//	answer, err := group.Barrier(ctx)
package coordinator
