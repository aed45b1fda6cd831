// Package consensus runs one member of the replicated control log: a raft.Node with io/disk and gRPC, where core/raft
// is the algorithm alone.
//
// A Group applies committed commands to a StateMachine in the same order on every member. Commands are proposed on
// the leader. To read the latest state, callers first call Confirm, which takes one quorum round, and then read the
// state machine. An isolated member returns an error that says the outcome is unknown, never an old state.
//
// # Identity and first start
//
// A member generates a random ID when it starts with an empty folder; the ID identifies the member together with its
// disk. The first start needs every initial member: each stores the IDs of all of them, and the group begins once
// every member is known to have stored the same IDs. So a member that lost its disk can't form a second group with
// others that are still waiting.
//
// A member whose folder is empty although the group exists announces its new ID. Once the old ID has been silent for
// two election timeouts, the leader adds the new ID without a vote, waits until it has received everything that was
// committed when it was added, removes the old ID and gives the new one its vote.
//
// # Connections
//
// Each member sends a batch over its own stream to every other member at least once per heartbeat interval, and each
// batch acknowledges the last one received from the other member. A stream whose batches are not acknowledged for an
// election timeout, without the time for which this process itself was late, is replaced by one over a new connection. A
// silent connection alone causes no election: members that receive the leader's heartbeats reject the pre-vote of a
// member that missed some.
//
// Entries and snapshots have a connection of their own, and the event loop handles heartbeats and votes before anything
// else, also while it waits for the disk. So they never wait behind entries. Elections wait longer, up to an election
// timeout, while this process or the leader's messages are late (core/lateness).
//
// # Failure of the disk
//
// While its disk is full or stalls, a member hands over the leadership, accepts no requests and confirms nothing that is
// not saved; it repeats a write that was refused for lack of room and goes on when it succeeds. After any other error from
// a write, and each from a sync, the member stops taking part in the log and reports the error on Failed. The process is
// expected to exit with that error.
//
// # Usage
//
//	group, err := consensus.New(consensus.Options{
//		Self: self, Initial: members, Folder: folder, Machine: machine, Dial: dial, Timer: service, Logger: logger,
//	})
//	group.Register(server)
//	answer, err := group.Propose(ctx, command)
//	index, err := group.Confirm(ctx)
package consensus
