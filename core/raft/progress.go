package raft

import "slices"

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to be saved there, next the index to send next.
	match uint64
	next  uint64
	// probing sends one append at a time until the logs agree; paused waits for the answer to it.
	probing bool
	paused  bool
	// window counts the appends sent and not answered.
	window int
	// snapshot is being transferred, unless nil.
	snapshot *Snapshot
	offset   uint64
	// heard reports whether the member has answered since the last check for a quorum.
	heard bool
	// round is the last round of read confirmations that the member answered.
	round uint64
}

// trackMembers makes progress cover exactly the present members.
func (n *Node) trackMembers() {
	configuration := n.configuration()

	for _, member := range configuration.Members {
		if n.progress[member.ID] == nil {
			n.progress[member.ID] = &progress{next: n.log.last() + 1, probing: true, heard: true}
		}
	}

	for id := range n.progress {
		if _, found := configuration.Find(id); !found {
			delete(n.progress, id)
		}
	}
}

// appendOwn appends an entry as the leader.
func (n *Node) appendOwn(kind Kind, data []byte) Entry {
	entry := Entry{Index: n.log.last() + 1, Term: n.state.Term, Kind: kind, Data: data}
	n.log.append(entry)

	return entry
}

// Propose appends a command. It returns the index and term under which the command will be committed, unless another
// leader replaces it first.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}

	if n.transferee != 0 {
		return 0, 0, ErrTransferring
	}

	entry := n.appendOwn(Command, command)

	return entry.Index, entry.Term, nil
}

// flush sends what each member lacks.
func (n *Node) flush() {
	for _, member := range n.configuration().Members {
		if member.ID != n.options.ID {
			n.flushTo(member.ID, n.progress[member.ID])
		}
	}

	n.announce = false
}

func (n *Node) flushTo(to ID, peer *progress) {
	if peer.snapshot == nil && peer.next <= n.log.base {
		snapshot := n.snapshot
		peer.snapshot, peer.offset, peer.paused = &snapshot, 0, false
	}

	switch {
	case peer.snapshot != nil:
		if !peer.paused || n.announce {
			n.sendChunk(to, peer)
		}
	case peer.probing:
		if !peer.paused || n.announce {
			n.sendAppend(to, peer, n.log.batch(peer.next, n.options.BatchEntries, n.options.BatchBytes))
			peer.paused = true
		}
	default:
		n.stream(to, peer)
	}
}

// stream sends entries ahead of the answers, up to the window.
func (n *Node) stream(to ID, peer *progress) {
	sent := false

	for peer.next <= n.log.last() && peer.window < n.options.Window {
		entries := n.log.batch(peer.next, n.options.BatchEntries, n.options.BatchBytes)
		n.sendAppend(to, peer, entries)
		peer.next += uint64(len(entries))
		peer.window++
		sent = true
	}

	if !sent && n.announce {
		n.sendAppend(to, peer, nil)
	}
}

func (n *Node) sendAppend(to ID, peer *progress, entries []Entry) {
	term, _ := n.log.term(peer.next - 1)
	n.send(Message{
		Kind: Append, To: to, Index: peer.next - 1, LogTerm: term, Commit: n.commit, Round: n.round, Entries: entries,
	})
}

func (n *Node) sendChunk(to ID, peer *progress) {
	total := uint64(len(peer.snapshot.Data))
	end := min(total, peer.offset+uint64(n.options.BatchBytes))
	peer.paused = true

	n.send(Message{
		Kind: Chunk, To: to, Index: peer.snapshot.Index, LogTerm: peer.snapshot.Term, Round: n.round,
		Offset: peer.offset, Total: total, Data: peer.snapshot.Data[peer.offset:end],
		Configuration: &peer.snapshot.Configuration,
	})
}

// answered notes an answer from a member and returns its progress, or nil if the answer is of no use.
func (n *Node) answered(message Message) *progress {
	if n.role != Leader {
		return nil
	}

	peer := n.progress[message.From]
	if peer == nil {
		return nil
	}

	peer.heard = true
	peer.round = max(peer.round, message.Round)

	return peer
}

func (n *Node) receiveAppendReply(message Message) {
	peer := n.answered(message)
	if peer == nil {
		return
	}

	if message.Rejected {
		n.backOff(peer, message)

		return
	}

	peer.paused = false

	if message.Index+1 >= peer.next {
		peer.probing, peer.window = false, 0
	} else if peer.window > 0 {
		peer.window--
	}

	peer.match = max(peer.match, message.Index)
	peer.next = max(peer.next, peer.match+1)

	if peer.snapshot != nil && peer.match >= peer.snapshot.Index {
		peer.snapshot, peer.probing = nil, true
		peer.next = peer.match + 1
	}

	n.advanceCommit()
	n.hurryTransfer()
}

// backOff finds the next index to try after a member refused an append. It skips a whole term at a time.
func (n *Node) backOff(peer *progress, message Message) {
	if peer.snapshot != nil || message.Index <= peer.match || (peer.probing && message.Index != peer.next-1) {
		return
	}

	next := message.Hint
	if message.HintTerm != 0 {
		// Entries of the leader up to the last one whose term is not above the follower's may agree.
		next = n.log.lastOf(message.HintTerm, message.Index) + 1
	}

	peer.next = max(peer.match+1, min(next, message.Index))
	peer.probing, peer.paused, peer.window = true, false, 0
}

func (n *Node) receiveChunkReply(message Message) {
	peer := n.answered(message)
	if peer == nil || peer.snapshot == nil || message.Index != peer.snapshot.Index {
		return
	}

	if message.Offset <= uint64(len(peer.snapshot.Data)) && message.Offset != peer.offset {
		peer.offset, peer.paused = message.Offset, false
	}
}

// advanceCommit commits what a quorum has saved. Only an entry of the present term commits those before it.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}

	index := n.held()
	if term, _ := n.log.term(index); index <= n.commit || term != n.state.Term {
		return
	}

	n.commit = index
	n.announce = true
	n.settleMembership()
}

// held returns the last index that a quorum is known to have saved.
func (n *Node) held() uint64 {
	var saved []uint64

	for _, member := range n.configuration().Members {
		if member.Voter {
			saved = append(saved, n.matched(member.ID))
		}
	}

	if len(saved) == 0 {
		return 0
	}

	slices.Sort(saved)

	return saved[(len(saved)-1)/2]
}

// matched returns the last index that a member is known to have saved.
func (n *Node) matched(id ID) uint64 {
	if id == n.options.ID {
		return n.stable
	}

	if peer := n.progress[id]; peer != nil {
		return peer.match
	}

	return 0
}
