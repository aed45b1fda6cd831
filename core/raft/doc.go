// Package raft implements the Raft consensus algorithm as a pure state machine; internal/consensus runs it with a disk
// and connections.
//
// A Node has no sockets, disks or clocks. Its owner reports the passing of time with Tick, passes messages to Step and
// requests to Propose, RequestReadIndex, ChangeMembership and TransferLeadership, and then carries out the effects that
// Ready returns: save, send, apply. A Node must be used by one goroutine at a time.
//
// # Owner's contract
//
// The effects of one Ready are carried out in this order: Snapshot, HardState and Entries are saved and synced, then
// Messages are sent, then Snapshot and Committed are applied to the state machine, then Advance is called. No other
// method of the node is called between Ready and Advance. Messages may be lost, repeated, delayed and reordered. Saved
// data must not be lost: a member that lost its disk returns under another ID, because it no longer knows the votes it
// cast and the entries it acknowledged under the old one.
//
// # Features
//
// Elections use a pre-vote, so that a member that was partitioned does not raise the term when it returns. A leader
// that hears from no quorum for an election timeout steps down. A read index is confirmed by a quorum round, never by a
// lease. The membership changes by one member at a time: a member joins without a vote, is promoted once it has caught
// up, or is removed. A member that is too far behind receives a snapshot in chunks.
//
// # Usage
//
//	node, err := raft.New(raft.Options{ID: 1, Persisted: saved, ElectionTicks: 10, HeartbeatTicks: 1, Seed: seed})
//	for {
//		select {
//		case <-tick:
//			node.Tick()
//		case message := <-received:
//			node.Step(message)
//		}
//		for node.HasReady() {
//			ready := node.Ready()
//			save(ready.HardState, ready.Snapshot, ready.Entries)
//			send(ready.Messages)
//			apply(ready.Snapshot, ready.Committed)
//			node.Advance()
//		}
//	}
package raft
