package raft

// incoming is a snapshot of which some chunks have arrived.
type incoming struct {
	index uint64
	term  uint64
	data  []byte
}

// hear notes a message from the leader of the present term.
func (n *Node) hear(leader ID) {
	if n.role != Follower {
		n.follow(n.state.Term, leader)
	}

	n.leader, n.met = leader, true
	n.elapsed = 0
}

func (n *Node) receiveAppend(message Message) {
	n.hear(message.From)

	reply := Message{Kind: AppendReply, To: message.From, Round: message.Round}

	if end := message.Index + uint64(len(message.Entries)); end <= n.commit {
		reply.Index = n.commit
		n.send(reply)

		return
	}

	if message.Index < n.commit {
		// Committed entries agree on all members, so the rest follows the last committed one.
		message.Entries = message.Entries[n.commit-message.Index:]
		message.Index = n.commit
		message.LogTerm, _ = n.log.term(n.commit)
	}

	term, known := n.log.term(message.Index)
	if !known || term != message.LogTerm {
		reply.Rejected, reply.Index = true, message.Index
		reply.Hint, reply.HintTerm = n.hint(message.Index)
		n.send(reply)

		return
	}

	n.merge(message.Entries)

	reply.Index = message.Index + uint64(len(message.Entries))
	n.commit = max(n.commit, min(message.Commit, reply.Index))
	n.send(reply)
}

// hint tells a leader where to look for an agreeing entry when the one at an index doesn't agree.
func (n *Node) hint(index uint64) (first, term uint64) {
	if index > n.log.last() {
		return n.log.last() + 1, 0
	}

	term, _ = n.log.term(index)

	return max(n.commit+1, n.log.firstOf(index)), term
}

// merge adds a leader's entries and drops own entries that conflict with them.
func (n *Node) merge(entries []Entry) {
	for i, entry := range entries {
		term, known := n.log.term(entry.Index)
		if known && term == entry.Term {
			continue
		}

		if known {
			n.log.truncate(entry.Index)
			n.members.truncate(entry.Index)
			n.stable = min(n.stable, entry.Index-1)
		}

		n.log.append(entries[i:]...)
		n.adopt(entries[i:])

		return
	}
}

func (n *Node) receiveChunk(message Message) {
	n.hear(message.From)

	if message.Index <= n.commit {
		n.incoming = nil
		n.send(Message{Kind: AppendReply, To: message.From, Round: message.Round, Index: n.commit})

		return
	}

	if n.incoming == nil || n.incoming.index != message.Index || n.incoming.term != message.LogTerm {
		n.incoming = &incoming{index: message.Index, term: message.LogTerm}
	}

	if message.Offset == uint64(len(n.incoming.data)) {
		n.incoming.data = append(n.incoming.data, message.Data...)
	}

	if uint64(len(n.incoming.data)) < message.Total || message.Configuration == nil {
		n.send(Message{
			Kind: ChunkReply, To: message.From, Round: message.Round, Index: message.Index,
			Offset: uint64(len(n.incoming.data)),
		})

		return
	}

	n.install(Snapshot{
		Index: message.Index, Term: message.LogTerm, Configuration: *message.Configuration, Data: n.incoming.data,
	})
	n.incoming = nil
	n.send(Message{Kind: AppendReply, To: message.From, Round: message.Round, Index: message.Index})
}

// install replaces the log by a snapshot, unless the log agrees with it and is only behind in committing.
func (n *Node) install(snapshot Snapshot) {
	if term, known := n.log.term(snapshot.Index); known && term == snapshot.Term {
		n.commit = snapshot.Index

		return
	}

	n.log = memory{base: snapshot.Index, baseTerm: snapshot.Term}
	n.members = membership{{snapshot.Index, snapshot.Configuration}}
	n.snapshot = snapshot
	n.commit, n.delivered, n.stable = snapshot.Index, snapshot.Index, snapshot.Index
	n.installed = &snapshot
}
