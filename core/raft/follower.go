package raft

// partialSnapshot is a snapshot that is being received in chunks.
type partialSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// recordLeader handles the fact that the leader of the current term sent a message.
func (n *Node) recordLeader(leader ID) {
	if n.role != Follower {
		n.becomeFollower(n.hardState.Term, leader)
	}

	n.leader, n.leaderSeen = leader, true
	n.electionElapsed = 0
}

func (n *Node) handleAppendRequest(message Message) {
	n.recordLeader(message.From)

	reply := Message{Kind: AppendReply, To: message.From, ReadRound: message.ReadRound, Heartbeat: message.Heartbeat}

	if end := message.Index + uint64(len(message.Entries)); end <= n.commit {
		reply.Index = n.commit
		n.send(reply)

		return
	}

	if message.Index < n.commit {
		// All members have the same committed entries, so only those after the last committed one are of interest.
		message.Entries = message.Entries[n.commit-message.Index:]
		message.Index = n.commit
		message.LogTerm, _ = n.log.term(n.commit)
	}

	term, known := n.log.term(message.Index)
	if !known || term != message.LogTerm {
		reply.Rejected, reply.Index = true, message.Index
		reply.ConflictIndex, reply.ConflictTerm = n.findConflict(message.Index)
		n.send(reply)

		return
	}

	n.mergeEntries(message.Entries)

	reply.Index = message.Index + uint64(len(message.Entries))
	n.commit = max(n.commit, min(message.CommitIndex, reply.Index))
	n.send(reply)
}

// findConflict returns the index and term from which a leader continues its search for a matching entry, after the
// entry at the given index did not match.
func (n *Node) findConflict(index uint64) (first, term uint64) {
	if index > n.log.last() {
		return n.log.last() + 1, 0
	}

	term, _ = n.log.term(index)

	return max(n.commit+1, n.log.firstIndexOfTerm(index)), term
}

// mergeEntries appends a leader's entries and deletes the node's own entries that conflict with them.
func (n *Node) mergeEntries(entries []Entry) {
	for i, entry := range entries {
		term, known := n.log.term(entry.Index)
		if known && term == entry.Term {
			continue
		}

		if known {
			n.log.truncate(entry.Index)
			n.configurations.truncate(entry.Index)
			n.stable = min(n.stable, entry.Index-1)
		}

		n.log.append(entries[i:]...)
		n.adoptConfigurations(entries[i:])

		return
	}
}

func (n *Node) handleSnapshotChunk(message Message) {
	n.recordLeader(message.From)

	if message.Index <= n.commit {
		n.incomingSnapshot = nil
		n.send(Message{Kind: AppendReply, To: message.From, ReadRound: message.ReadRound, Index: n.commit})

		return
	}

	if n.incomingSnapshot == nil || n.incomingSnapshot.index != message.Index || n.incomingSnapshot.term != message.LogTerm {
		n.incomingSnapshot = &partialSnapshot{index: message.Index, term: message.LogTerm}
	}

	if message.Offset == uint64(len(n.incomingSnapshot.data)) {
		n.incomingSnapshot.data = append(n.incomingSnapshot.data, message.Data...)
	}

	if uint64(len(n.incomingSnapshot.data)) < message.TotalBytes || message.Configuration == nil {
		n.send(Message{
			Kind: SnapshotChunkReply, To: message.From, ReadRound: message.ReadRound, Index: message.Index,
			Offset: uint64(len(n.incomingSnapshot.data)),
		})

		return
	}

	n.installSnapshot(Snapshot{
		Index: message.Index, Term: message.LogTerm, Configuration: *message.Configuration, Data: n.incomingSnapshot.data,
	})
	n.incomingSnapshot = nil
	n.send(Message{Kind: AppendReply, To: message.From, ReadRound: message.ReadRound, Index: message.Index})
}

// installSnapshot replaces the log with a snapshot. If the log already contains the snapshot's last entry, only the
// commit index advances.
func (n *Node) installSnapshot(snapshot Snapshot) {
	if term, known := n.log.term(snapshot.Index); known && term == snapshot.Term {
		n.commit = snapshot.Index

		return
	}

	n.log = memoryLog{base: snapshot.Index, baseTerm: snapshot.Term}
	n.configurations = configurationHistory{{snapshot.Index, snapshot.Configuration}}
	n.snapshot = snapshot
	n.commit, n.delivered, n.stable = snapshot.Index, snapshot.Index, snapshot.Index
	n.unsavedSnapshot = &snapshot
}
