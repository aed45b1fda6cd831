package raft

// Ready holds the effects that the owner of a node carries out; see the package comment for the order.
type Ready struct {
	// State is to be saved unless nil.
	State *State
	// Snapshot is to be saved and restored unless nil. It replaces the whole log.
	Snapshot *Snapshot
	// Entries are to be saved and replace everything from the first one's index on.
	Entries []Entry
	// Messages are to be sent once the above is synced.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
	// Confirmed reads may be answered once their index is applied.
	Confirmed []Confirmation
	// Lost reads will not be confirmed, because the node stopped leading.
	Lost []uint64
}

// Confirmation tells that a read may be answered from a state at or past Index.
type Confirmation struct {
	Token uint64
	Index uint64
}

// read is a read index that waits for its quorum round.
type read struct {
	token uint64
	index uint64
	// round is 0 until the round has begun.
	round uint64
}

// Read asks for an index that covers everything committed before the call. It is confirmed by a quorum that still
// followed this leader after the call.
func (n *Node) Read(token uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}

	n.reads = append(n.reads, read{token: token})

	return nil
}

// beginReads starts one round for all reads that arrived since the last one.
func (n *Node) beginReads() {
	if n.role != Leader || len(n.reads) == 0 || n.reads[len(n.reads)-1].round != 0 || !n.committedInTerm() {
		return
	}

	n.round++
	n.announce = true

	for i := range n.reads {
		if n.reads[i].round == 0 {
			n.reads[i].round, n.reads[i].index = n.round, n.commit
		}
	}
}

// confirmReads moves the reads whose round a quorum has answered to the confirmed ones.
func (n *Node) confirmReads() {
	for len(n.reads) > 0 && n.reads[0].round != 0 {
		first := n.reads[0]

		if !n.configuration().Quorum(func(id ID) bool {
			return id == n.options.ID || n.progress[id].round >= first.round
		}) {
			return
		}

		n.confirmed = append(n.confirmed, Confirmation{Token: first.token, Index: first.index})
		n.reads = n.reads[1:]
	}
}

// HasReady reports whether Ready has anything to carry out.
func (n *Node) HasReady() bool {
	return n.pending != nil || n.state != n.saved || n.installed != nil || n.stable < n.log.last() ||
		n.delivered < n.commit || len(n.messages) > 0 || n.announce || len(n.lost) > 0 || len(n.confirmed) > 0 ||
		n.readsWait() || n.needsFlush()
}

func (n *Node) readsWait() bool {
	if n.role != Leader || len(n.reads) == 0 {
		return false
	}

	first, last := n.reads[0], n.reads[len(n.reads)-1]
	if last.round == 0 && n.committedInTerm() {
		return true
	}

	return first.round != 0 && n.configuration().Quorum(func(id ID) bool {
		return id == n.options.ID || n.progress[id].round >= first.round
	})
}

// needsFlush reports whether a member may be sent something that it lacks.
func (n *Node) needsFlush() bool {
	for id, peer := range n.progress {
		if id == n.options.ID {
			continue
		}

		switch {
		case peer.snapshot != nil || peer.next <= n.log.base:
			if !peer.paused {
				return true
			}
		case peer.probing:
			if !peer.paused && peer.match < n.log.last() {
				return true
			}
		default:
			if peer.next <= n.log.last() && peer.window < n.options.Window {
				return true
			}
		}
	}

	return false
}

// Ready returns the effects to carry out. Advance must be called once they are carried out.
func (n *Node) Ready() Ready {
	n.beginReads()
	n.confirmReads()

	if n.role == Leader {
		n.flush()
	}

	ready := Ready{
		Snapshot:  n.installed,
		Entries:   n.log.between(n.stable+1, n.log.last()),
		Messages:  n.messages,
		Committed: n.log.between(n.delivered+1, min(n.commit, n.log.last())),
		Confirmed: n.confirmed,
		Lost:      n.lost,
	}

	if n.state != n.saved {
		state := n.state
		ready.State = &state
	}

	n.messages, n.confirmed, n.lost = nil, nil, nil
	n.pending = &ready

	return ready
}

// Advance tells that the effects of the last Ready are carried out.
func (n *Node) Advance() {
	ready := n.pending
	if ready == nil {
		return
	}

	n.pending = nil

	if ready.State != nil {
		n.saved = *ready.State
	}

	if ready.Snapshot != nil {
		n.installed = nil
	}

	if count := len(ready.Entries); count > 0 {
		n.stable = ready.Entries[count-1].Index
	}

	if count := len(ready.Committed); count > 0 {
		n.delivered = ready.Committed[count-1].Index
	}

	n.advanceCommit()
	n.hurryTransfer()
}

// SnapshotAt describes a snapshot of the state machine after it applied an index, ready to be saved.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, known := n.log.term(index)
	if !known || index > n.delivered || index <= n.snapshot.Index {
		return Snapshot{}, false
	}

	return Snapshot{Index: index, Term: term, Configuration: n.members.at(index), Data: data}, true
}

// Compact drops the entries that a saved snapshot covers, but for the last Trail ones.
func (n *Node) Compact(snapshot Snapshot) {
	if snapshot.Index <= n.snapshot.Index {
		return
	}

	n.snapshot = snapshot

	if snapshot.Index > n.options.Trail {
		n.log.compact(snapshot.Index - n.options.Trail)
	}

	n.members.compact(snapshot.Index)
}
