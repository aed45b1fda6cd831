package raft

import (
	"math/rand/v2"

	"github.com/rotisserie/eris"
)

// Role is the current role of a node in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name that logs and status pages use.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// The reasons why a node refuses a request. A refused request has no effect.
var (
	ErrNotLeader      = eris.New("this member is not the leader")
	ErrTransferring   = eris.New("leadership is being transferred")
	ErrChangePending  = eris.New("another membership change is not committed yet")
	ErrNoCommitInTerm = eris.New("the leader has not committed an entry of its term yet")
	ErrUnknownMember  = eris.New("unknown member")
	ErrNotCaughtUp    = eris.New("the member has not caught up yet")
	ErrLastVoter      = eris.New("the last member with a vote can't be removed")
)

// The defaults of Options.
const (
	DefaultBatchEntries    = 256
	DefaultBatchBytes      = 256 << 10
	DefaultMaxInflight     = 64
	DefaultTrailingEntries = 1024
	DefaultTrailingBytes   = 4 << 20
)

// Options configure a new node.
type Options struct {
	ID        ID
	Persisted PersistentState
	// ElectionTicks is the shortest time without a leader before an election; each election timeout is drawn at random
	// between one and two times this value.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// Seed seeds the random election timeouts and makes them reproducible.
	Seed uint64
	// BatchEntries and BatchBytes limit the entries, and the part of a snapshot, in one message.
	BatchEntries int
	BatchBytes   int
	// MaxInflight limits the append requests to one member that are sent and not yet answered.
	MaxInflight int
	// TrailingEntries is the number of entries before a snapshot that a compaction keeps in memory, and TrailingBytes the size that
	// their data may have together. A member that is further behind gets the snapshot.
	TrailingEntries uint64
	TrailingBytes   int
}

func (o *Options) validateAndSetDefaults() error {
	if o.ID == 0 {
		return eris.New("a log member needs an ID other than 0")
	}

	if o.HeartbeatTicks < 1 || o.ElectionTicks <= o.HeartbeatTicks {
		return eris.Errorf("election timeout of %d ticks must be longer than the heartbeat of %d ticks, which is at least 1",
			o.ElectionTicks, o.HeartbeatTicks)
	}

	if o.BatchEntries == 0 {
		o.BatchEntries = DefaultBatchEntries
	}

	if o.BatchBytes == 0 {
		o.BatchBytes = DefaultBatchBytes
	}

	if o.MaxInflight == 0 {
		o.MaxInflight = DefaultMaxInflight
	}

	if o.TrailingEntries == 0 {
		o.TrailingEntries = DefaultTrailingEntries
	}

	if o.TrailingBytes == 0 {
		o.TrailingBytes = DefaultTrailingBytes
	}

	return nil
}

// Node is one member of the group that replicates the log.
type Node struct {
	options Options
	random  *rand.Rand

	hardState  HardState
	savedState HardState
	role       Role
	// leader is the known leader of the term, or 0.
	leader ID

	log      memoryLog
	snapshot Snapshot
	commit   uint64
	// delivered is the last index that Ready returned for application, stable the last index that is saved.
	delivered      uint64
	stable         uint64
	configurations configurationHistory

	// electionElapsed counts ticks since the last message of the leader, or since the election or the quorum check
	// began.
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// extraTicks extend the election timeout while messages are late.
	extraTicks int
	// leaderSeen is true once a leader has been known since the node was created.
	leaderSeen bool
	votes      map[ID]bool

	progress map[ID]*progress
	// broadcast makes the next Ready send an append request to every member, without entries if there are none.
	broadcast       bool
	readRound       uint64
	pendingReads    []pendingRead
	confirmedReads  []ReadConfirmation
	lostReads       []uint64
	transferee      ID
	transferElapsed int
	// timeoutNowSent reports whether the transferee was told to start an election since the last heartbeat.
	timeoutNowSent bool

	incomingSnapshot *partialSnapshot
	unsavedSnapshot  *Snapshot
	messages         []Message
	pendingReady     *Ready
}

// New returns a node that continues from the persisted state. A node whose snapshot has no members waits to be added to
// a group.
func New(options Options) (*Node, error) {
	if err := options.validateAndSetDefaults(); err != nil {
		return nil, err
	}

	saved := options.Persisted
	options.Persisted = PersistentState{}
	node := &Node{
		options:        options,
		random:         rand.New(rand.NewPCG(options.Seed, uint64(options.ID))),
		hardState:      saved.HardState,
		savedState:     saved.HardState,
		snapshot:       saved.Snapshot,
		log:            memoryLog{base: saved.Snapshot.Index, baseTerm: saved.Snapshot.Term},
		commit:         saved.Snapshot.Index,
		delivered:      saved.Snapshot.Index,
		configurations: configurationHistory{{saved.Snapshot.Index, saved.Snapshot.Configuration}},
	}

	for i, entry := range saved.Entries {
		if entry.Index != saved.Snapshot.Index+uint64(i)+1 {
			return nil, eris.Errorf("saved entry %d doesn't follow entry %d", entry.Index, saved.Snapshot.Index+uint64(i))
		}

		if entry.Term > node.hardState.Term {
			return nil, eris.Errorf("saved entry %d has term %d after the saved term %d", entry.Index, entry.Term,
				node.hardState.Term)
		}
	}

	node.log.append(saved.Entries...)

	if err := node.configurations.extend(saved.Entries); err != nil {
		return nil, err
	}

	node.stable = node.log.last()
	node.resetElectionTimeout()
	node.electionTimeout = max(1, (options.ElectionTicks+node.random.IntN(options.ElectionTicks))/earlyElectionDivisor)

	return node, nil
}

// earlyElectionDivisor divides the shortest election timeout while no leader has been known since the start.
const earlyElectionDivisor = 3

// resetElectionTimeout draws the next election timeout at random, so that members rarely start elections together. The
// timeout is shorter while no leader has been known since the start: after a restart of all members nothing is served
// until an election succeeds, and the first ones may fail because members are not connected yet. If only this member
// was restarted, the others hear from a leader and refuse an early election.
func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0
	shortest, spread := n.options.ElectionTicks, n.options.ElectionTicks

	if !n.leaderSeen {
		shortest = max(1, shortest/earlyElectionDivisor)
		spread = shortest + 1
	}

	n.electionTimeout = shortest + n.random.IntN(spread)
}

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	n.electionElapsed++

	if n.role == Leader {
		n.tickLeader()

		return
	}

	if n.electionElapsed < n.electionTimeout+n.electionExtension() {
		return
	}

	if n.configuration().IsVoter(n.options.ID) {
		n.campaign(PreCandidate, false)

		return
	}

	n.leader = 0
	n.resetElectionTimeout()
}

func (n *Node) tickLeader() {
	for _, peer := range n.progress {
		n.retryUnanswered(peer)
	}

	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.options.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcast = true
		n.timeoutNowSent = false
	}

	if n.transferee != 0 {
		n.transferElapsed++
		if n.transferElapsed >= n.options.ElectionTicks {
			n.transferee = 0
		}

		n.maybeSendTimeoutNow()
	}

	if n.electionElapsed >= n.options.ElectionTicks+n.electionExtension() {
		n.electionElapsed = 0
		n.checkQuorum()
	}
}

// checkQuorum makes the leader step down unless a quorum has answered since the last check.
func (n *Node) checkQuorum() {
	heard := n.configuration().HasQuorum(func(id ID) bool {
		return id == n.options.ID || n.progress[id].recentlyActive
	})

	for _, peer := range n.progress {
		peer.recentlyActive = false
	}

	if !heard {
		n.becomeFollower(n.hardState.Term, 0)
	}
}

// Step handles a message from another member.
func (n *Node) Step(message Message) {
	if message.To != n.options.ID || message.From == n.options.ID {
		return
	}

	if message.Term < n.hardState.Term {
		n.rejectLowerTerm(message)

		return
	}

	if message.Term > n.hardState.Term && !n.handleHigherTerm(message) {
		return
	}

	switch message.Kind {
	case PreVoteRequest, VoteRequest:
		n.handleVoteRequest(message)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(message)
	case AppendRequest:
		n.handleAppendRequest(message)
	case SnapshotChunk:
		n.handleSnapshotChunk(message)
	case AppendReply:
		n.handleAppendReply(message)
	case SnapshotChunkReply:
		n.handleSnapshotChunkReply(message)
	case TimeoutNow:
		if n.configuration().IsVoter(n.options.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// rejectLowerTerm sends the current term to the sender of a message with a lower one, so that an old leader or
// candidate steps down.
func (n *Node) rejectLowerTerm(message Message) {
	switch message.Kind {
	case AppendRequest, SnapshotChunk:
		n.send(Message{Kind: AppendReply, To: message.From, Rejected: true, Index: message.Index})
	case PreVoteRequest:
		n.send(Message{Kind: PreVoteReply, To: message.From})
	case VoteRequest:
		n.send(Message{Kind: VoteReply, To: message.From})
	case PreVoteReply, VoteReply, AppendReply, SnapshotChunkReply, TimeoutNow:
	}
}

// handleHigherTerm handles a message with a term above the node's own. It reports whether the message is to be
// processed further.
func (n *Node) handleHigherTerm(message Message) bool {
	switch message.Kind {
	case PreVoteRequest:
		return true
	case PreVoteReply:
		if message.Granted {
			return true
		}

		n.becomeFollower(message.Term, 0)
	case VoteRequest:
		// A member that was removed or partitioned must not disturb a working leader.
		if n.hasActiveLeader() && !message.LeadershipTransfer {
			return false
		}

		n.becomeFollower(message.Term, 0)
	case AppendRequest, SnapshotChunk:
		n.becomeFollower(message.Term, message.From)
	case VoteReply, AppendReply, SnapshotChunkReply, TimeoutNow:
		n.becomeFollower(message.Term, 0)
	}

	return true
}

// hasActiveLeader reports whether the node leads or has heard from a leader within the shortest election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || (n.leader != 0 && n.electionElapsed < n.options.ElectionTicks+n.electionExtension())
}

// becomeFollower makes the node a follower in the given term.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.incomingSnapshot = nil
	}

	for _, waiting := range n.pendingReads {
		n.lostReads = append(n.lostReads, waiting.token)
	}

	n.role, n.leader, n.leaderSeen = Follower, leader, n.leaderSeen || leader != 0
	n.pendingReads, n.progress, n.votes, n.transferee, n.broadcast = nil, nil, nil, 0, false
	n.resetElectionTimeout()
}

func (n *Node) send(message Message) {
	message.From = n.options.ID
	if message.Term == 0 {
		message.Term = n.hardState.Term
	}

	n.messages = append(n.messages, message)
}

func (n *Node) configuration() Configuration {
	return n.configurations.latest()
}
