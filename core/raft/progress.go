package raft

import "slices"

// progress is the leader's view of another member.
type progress struct {
	// match is the last index known to be saved on the member, next the index of the next entry to send.
	match uint64
	next  uint64
	// probing sends one append request at a time until the logs match; paused waits for its answer.
	probing bool
	paused  bool
	// inflight counts the append requests that are sent and not yet answered.
	inflight int
	// snapshot is the snapshot that is being sent, or nil.
	snapshot *Snapshot
	offset   uint64
	// recentlyActive reports whether the member has answered since the last quorum check.
	recentlyActive bool
	// heartbeatAnswered reports whether the member has answered a heartbeat since the last tick. waited counts such ticks
	// while what was sent before is not answered, and retries how often it was sent again.
	heartbeatAnswered bool
	waited            int
	retries           int
	// readRound is the last round of read confirmations that the member answered.
	readRound uint64
}

// trackMembers adds and removes progress so that it covers exactly the current members.
func (n *Node) trackMembers() {
	configuration := n.configuration()

	for _, member := range configuration.Members {
		if n.progress[member.ID] == nil {
			n.progress[member.ID] = &progress{next: n.log.last() + 1, probing: true, recentlyActive: true}
		}
	}

	for id := range n.progress {
		if _, found := configuration.FindMember(id); !found {
			delete(n.progress, id)
		}
	}
}

// appendAsLeader appends an entry of the current term to the leader's own log.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.append(entry)

	return entry
}

// Propose appends a command. It returns the index and term under which the command will be committed, unless another
// leader overwrites it first.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}

	if n.transferee != 0 {
		return 0, 0, ErrTransferring
	}

	entry := n.appendAsLeader(CommandEntry, command)

	return entry.Index, entry.Term, nil
}

// sendUpdates sends each member the entries or snapshot chunks that it lacks.
func (n *Node) sendUpdates() {
	for _, member := range n.configuration().Members {
		if member.ID != n.options.ID {
			n.sendUpdatesTo(member.ID, n.progress[member.ID])
		}
	}

	n.broadcast = false
}

func (n *Node) sendUpdatesTo(to ID, peer *progress) {
	if peer.snapshot == nil && peer.next <= n.log.base {
		snapshot := n.snapshot
		peer.snapshot, peer.offset, peer.paused = &snapshot, 0, false
	}

	sent := false

	switch {
	case peer.snapshot != nil:
		if !peer.paused {
			n.sendSnapshotChunk(to, peer)

			sent = true
		}
	case peer.probing:
		if !peer.paused {
			n.sendAppend(to, peer, n.log.batch(peer.next, n.options.BatchEntries, n.options.BatchBytes))
			peer.paused, sent = true, true
		}
	default:
		sent = n.streamEntries(to, peer)
	}

	if !sent && n.broadcast {
		n.sendHeartbeat(to, peer)
	}
}

// streamEntries sends entries without waiting for answers, up to MaxInflight requests. It reports whether it sent any.
func (n *Node) streamEntries(to ID, peer *progress) (sent bool) {
	for peer.next <= n.log.last() && peer.inflight < n.options.MaxInflight {
		entries := n.log.batch(peer.next, n.options.BatchEntries, n.options.BatchBytes)
		n.sendAppend(to, peer, entries)
		peer.next += uint64(len(entries))
		peer.inflight++
		sent = true
	}

	return sent
}

// sendHeartbeat sends a request that the member can accept whatever it lacks, so that it may overtake entries and
// snapshot chunks. Those are not repeated with a heartbeat: a member that is short of time would get further behind.
func (n *Node) sendHeartbeat(to ID, peer *progress) {
	term, _ := n.log.term(peer.match)
	n.send(Message{
		Kind: AppendRequest, To: to, Index: peer.match, LogTerm: term, CommitIndex: n.commit, ReadRound: n.readRound, Heartbeat: true,
	})
}

const (
	// retryDivisor divides the election timeout: after that many ticks, in which a member answered heartbeats but not what
	// was sent before, it is sent again, because a message may be lost.
	retryDivisor = 2
	// maxRetryDoublings bounds the delay between repetitions, which doubles each time.
	maxRetryDoublings = 3
)

// retryUnanswered sends again what a member has not answered, once per delay.
func (n *Node) retryUnanswered(peer *progress) {
	outstanding := peer.paused || peer.inflight > 0
	answered := peer.heartbeatAnswered
	peer.heartbeatAnswered = false

	if !outstanding {
		peer.waited = 0

		return
	}

	if answered {
		peer.waited++
	}

	if peer.waited < max(2, n.options.ElectionTicks/retryDivisor)<<peer.retries {
		return
	}

	peer.waited, peer.paused, peer.inflight = 0, false, 0
	peer.retries = min(peer.retries+1, maxRetryDoublings)

	if peer.snapshot == nil && !peer.probing {
		peer.probing, peer.next = true, peer.match+1
	}
}

func (n *Node) sendAppend(to ID, peer *progress, entries []Entry) {
	term, _ := n.log.term(peer.next - 1)
	n.send(Message{
		Kind: AppendRequest, To: to, Index: peer.next - 1, LogTerm: term, CommitIndex: n.commit, ReadRound: n.readRound, Entries: entries,
	})
}

func (n *Node) sendSnapshotChunk(to ID, peer *progress) {
	total := uint64(len(peer.snapshot.Data))
	end := min(total, peer.offset+uint64(n.options.BatchBytes))
	peer.paused = true

	n.send(Message{
		Kind: SnapshotChunk, To: to, Index: peer.snapshot.Index, LogTerm: peer.snapshot.Term, ReadRound: n.readRound,
		Offset: peer.offset, TotalBytes: total, Data: peer.snapshot.Data[peer.offset:end],
		Configuration: &peer.snapshot.Configuration,
	})
}

// recordReply records that a member answered and returns its progress, or nil if the answer is to be ignored.
func (n *Node) recordReply(message Message) *progress {
	if n.role != Leader {
		return nil
	}

	peer := n.progress[message.From]
	if peer == nil {
		return nil
	}

	peer.recentlyActive = true

	if message.Heartbeat {
		peer.heartbeatAnswered = true
	} else {
		peer.waited, peer.retries = 0, 0
	}

	peer.readRound = max(peer.readRound, message.ReadRound)

	return peer
}

func (n *Node) handleAppendReply(message Message) {
	peer := n.recordReply(message)
	if peer == nil {
		return
	}

	if message.Rejected {
		n.rewindNext(peer, message)

		return
	}

	switch {
	case peer.snapshot == nil && message.Index+1 >= peer.next:
		peer.probing, peer.paused, peer.inflight = false, false, 0
	case !message.Heartbeat:
		peer.paused, peer.inflight = false, max(0, peer.inflight-1)
	}

	peer.match = max(peer.match, message.Index)
	peer.next = max(peer.next, peer.match+1)

	if peer.snapshot != nil && peer.match >= peer.snapshot.Index {
		peer.snapshot, peer.probing, peer.paused = nil, true, false
		peer.next = peer.match + 1
	}

	n.advanceCommit()
	n.maybeSendTimeoutNow()
}

// rewindNext moves next back after a member rejected an append request. It skips a whole term at a time.
func (n *Node) rewindNext(peer *progress, message Message) {
	if peer.snapshot != nil || message.Index <= peer.match || (peer.probing && message.Index != peer.next-1) {
		return
	}

	next := message.ConflictIndex
	if message.ConflictTerm != 0 {
		// The leader's entries may match up to the last one whose term is not above the follower's.
		next = n.log.lastIndexUpToTerm(message.ConflictTerm, message.Index) + 1
	}

	peer.next = max(peer.match+1, min(next, message.Index))
	peer.probing, peer.paused, peer.inflight = true, false, 0
}

func (n *Node) handleSnapshotChunkReply(message Message) {
	peer := n.recordReply(message)
	if peer == nil || peer.snapshot == nil || message.Index != peer.snapshot.Index {
		return
	}

	if message.Offset <= uint64(len(peer.snapshot.Data)) && message.Offset != peer.offset {
		peer.offset, peer.paused = message.Offset, false
	}
}

// advanceCommit commits the entries that a quorum has saved. Entries of earlier terms are committed only together with
// one of the current term.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}

	index := n.quorumMatchIndex()
	if term, _ := n.log.term(index); index <= n.commit || term != n.hardState.Term {
		return
	}

	n.commit = index
	n.broadcast = true
	n.stepDownIfNotVoter()
}

// quorumMatchIndex returns the last index that a quorum is known to have saved.
func (n *Node) quorumMatchIndex() uint64 {
	var saved []uint64

	for _, member := range n.configuration().Members {
		if member.Voter {
			saved = append(saved, n.matchIndex(member.ID))
		}
	}

	if len(saved) == 0 {
		return 0
	}

	slices.Sort(saved)

	return saved[(len(saved)-1)/2]
}

// matchIndex returns the last index that a member is known to have saved.
func (n *Node) matchIndex(id ID) uint64 {
	if id == n.options.ID {
		return n.stable
	}

	if peer := n.progress[id]; peer != nil {
		return peer.match
	}

	return 0
}
