package raft

// Ready contains the effects that the owner of a node carries out; see the package comment for the order.
type Ready struct {
	// HardState is saved unless nil.
	HardState *HardState
	// Snapshot is saved and restored unless nil. It replaces the whole log.
	Snapshot *Snapshot
	// Entries are saved and replace all saved entries from the index of the first one on.
	Entries []Entry
	// Messages are sent once all of the above is synced.
	Messages []Message
	// Committed entries are applied in order.
	Committed []Entry
	// ConfirmedReads may be answered once their index is applied.
	ConfirmedReads []ReadConfirmation
	// LostReads are the tokens of reads that will not be confirmed, because the node stopped leading.
	LostReads []uint64
}

// ReadConfirmation reports that a read may be answered from the state machine once it has applied Index.
type ReadConfirmation struct {
	Token uint64
	Index uint64
}

// pendingRead is a requested read index whose quorum round is not completed.
type pendingRead struct {
	token uint64
	index uint64
	// readRound is 0 until the round starts.
	readRound uint64
}

// RequestReadIndex requests an index that covers everything committed before the call. The index is confirmed by a
// quorum that still followed this leader after the call.
func (n *Node) RequestReadIndex(token uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}

	n.pendingReads = append(n.pendingReads, pendingRead{token: token})

	return nil
}

// startReadRound starts one quorum round for all reads that arrived since the last round.
func (n *Node) startReadRound() {
	if n.role != Leader || len(n.pendingReads) == 0 || n.pendingReads[len(n.pendingReads)-1].readRound != 0 || !n.committedInTerm() {
		return
	}

	n.readRound++
	n.broadcast = true

	for i := range n.pendingReads {
		if n.pendingReads[i].readRound == 0 {
			n.pendingReads[i].readRound, n.pendingReads[i].index = n.readRound, n.commit
		}
	}
}

// confirmReads confirms the reads whose round a quorum has answered.
func (n *Node) confirmReads() {
	for len(n.pendingReads) > 0 && n.pendingReads[0].readRound != 0 {
		first := n.pendingReads[0]

		if !n.configuration().HasQuorum(func(id ID) bool {
			return id == n.options.ID || n.progress[id].readRound >= first.readRound
		}) {
			return
		}

		n.confirmedReads = append(n.confirmedReads, ReadConfirmation{Token: first.token, Index: first.index})
		n.pendingReads = n.pendingReads[1:]
	}
}

// HasReady reports whether Ready has effects to carry out.
func (n *Node) HasReady() bool {
	return n.pendingReady != nil || n.hardState != n.savedState || n.unsavedSnapshot != nil || n.stable < n.log.last() ||
		n.delivered < n.commit || len(n.messages) > 0 || n.broadcast || len(n.lostReads) > 0 || len(n.confirmedReads) > 0 ||
		n.hasReadWork() || n.hasUpdatesToSend()
}

func (n *Node) hasReadWork() bool {
	if n.role != Leader || len(n.pendingReads) == 0 {
		return false
	}

	first, last := n.pendingReads[0], n.pendingReads[len(n.pendingReads)-1]
	if last.readRound == 0 && n.committedInTerm() {
		return true
	}

	return first.readRound != 0 && n.configuration().HasQuorum(func(id ID) bool {
		return id == n.options.ID || n.progress[id].readRound >= first.readRound
	})
}

// hasUpdatesToSend reports whether some member can be sent entries or snapshot chunks that it lacks.
func (n *Node) hasUpdatesToSend() bool {
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
			if peer.next <= n.log.last() && peer.inflight < n.options.MaxInflight {
				return true
			}
		}
	}

	return false
}

// Ready returns the effects to carry out. The owner calls Advance once they are carried out.
func (n *Node) Ready() Ready {
	n.startReadRound()
	n.confirmReads()

	if n.role == Leader {
		n.sendUpdates()
	}

	ready := Ready{
		Snapshot:       n.unsavedSnapshot,
		Entries:        n.log.entriesBetween(n.stable+1, n.log.last()),
		Messages:       n.messages,
		Committed:      n.log.entriesBetween(n.delivered+1, min(n.commit, n.log.last())),
		ConfirmedReads: n.confirmedReads,
		LostReads:      n.lostReads,
	}

	if n.hardState != n.savedState {
		state := n.hardState
		ready.HardState = &state
	}

	n.messages, n.confirmedReads, n.lostReads = nil, nil, nil
	n.pendingReady = &ready

	return ready
}

// Advance reports that the effects of the last Ready are carried out.
func (n *Node) Advance() {
	ready := n.pendingReady
	if ready == nil {
		return
	}

	n.pendingReady = nil

	if ready.HardState != nil {
		n.savedState = *ready.HardState
	}

	if ready.Snapshot != nil {
		n.unsavedSnapshot = nil
	}

	if count := len(ready.Entries); count > 0 {
		n.stable = ready.Entries[count-1].Index
	}

	if count := len(ready.Committed); count > 0 {
		n.delivered = ready.Committed[count-1].Index
	}

	n.advanceCommit()
	n.maybeSendTimeoutNow()
}

// SnapshotAt returns a snapshot with the data of the state machine after it applied an index, to be saved by the owner.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, known := n.log.term(index)
	if !known || index > n.delivered || index <= n.snapshot.Index {
		return Snapshot{}, false
	}

	return Snapshot{Index: index, Term: term, Configuration: n.configurations.at(index), Data: data}, true
}

// Compact deletes the entries that a saved snapshot covers, except the last ones, see Options.TrailingEntries.
func (n *Node) Compact(snapshot Snapshot) {
	if snapshot.Index <= n.snapshot.Index {
		return
	}

	n.snapshot = snapshot

	n.log.compact(n.log.firstKept(snapshot.Index, n.options.TrailingEntries, n.options.TrailingBytes) - 1)

	n.configurations.compact(snapshot.Index)
}
