// Package raft is a replicated log by the published Raft algorithm, as a pure state machine; internal/consensus runs it
// with a disk and connections.
//
// A Node has no sockets, disks or clocks. Its owner tells it the time by Tick, hands it messages by Step and
// requests by Propose, Read, Change and Transfer, and then carries out the effects that Ready returns: save, send,
// apply. One goroutine at a time may use a Node.
//
// # Contract of the owner
//
// The effects of one Ready are carried out in this order: Snapshot, State and Entries are saved and synced, then
// Messages are sent, then Snapshot and Committed are applied to the state machine, then Advance is called. Nothing
// else is called on the node between Ready and Advance. Messages may be lost, repeated, delayed and reordered. What
// was saved must not be lost: a member that lost its disk returns under another ID, because its votes and
// confirmations under the old one are forgotten.
//
// # What is covered
//
// Elections use a pre-vote, so that a member that was cut off does not raise the term when it returns. A leader
// that hears no quorum for an election timeout steps down. A read index is confirmed by a quorum round, never by a
// lease. The membership changes by one member at a time: a member joins without a vote, is promoted once it has
// caught up, or is removed. A member that is too far behind receives a snapshot in chunks.
//
// # Usage
//
//	node, err := raft.New(raft.Options{ID: 1, Saved: saved, ElectionTicks: 10, HeartbeatTicks: 1, Seed: seed})
//	for {
//		select {
//		case <-tick:
//			node.Tick()
//		case message := <-received:
//			node.Step(message)
//		}
//		for node.HasReady() {
//			ready := node.Ready()
//			save(ready.State, ready.Snapshot, ready.Entries)
//			send(ready.Messages)
//			apply(ready.Snapshot, ready.Committed)
//			node.Advance()
//		}
//	}
package raft
