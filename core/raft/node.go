package raft

import (
	"math/rand/v2"

	"github.com/rotisserie/eris"
)

// Role is what a node does at present.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the word that logs and status pages use.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// The reasons why a node refuses a request. A refused request had no effect.
var (
	ErrNotLeader    = eris.New("this member is not the leader")
	ErrTransferring = eris.New("leadership is being transferred")
	ErrChanging     = eris.New("another change of members is not committed yet")
	ErrNotReady     = eris.New("the leader has not committed an entry in its term yet")
	ErrNoMember     = eris.New("no such member")
	ErrBehind       = eris.New("the member has not caught up yet")
	ErrLastVoter    = eris.New("the last member with a vote can't be removed")
)

// Defaults of Options.
const (
	DefaultBatchEntries = 256
	DefaultBatchBytes   = 256 << 10
	DefaultWindow       = 64
	DefaultTrail        = 1024
)

// Options describe a new node.
type Options struct {
	ID    ID
	Saved Saved
	// ElectionTicks is the shortest time without a leader before an election; each wait is drawn from this to twice
	// this time.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// Seed makes the drawn election timeouts repeatable.
	Seed uint64
	// BatchEntries and BatchBytes bound the entries, and the part of a snapshot, in one message.
	BatchEntries int
	BatchBytes   int
	// Window bounds the appends on their way to one member.
	Window int
	// Trail is the number of entries kept in memory after a compaction.
	Trail uint64
}

func (o *Options) complete() error {
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

	if o.Window == 0 {
		o.Window = DefaultWindow
	}

	if o.Trail == 0 {
		o.Trail = DefaultTrail
	}

	return nil
}

// Node is one member's view of the replicated log.
type Node struct {
	options Options
	random  *rand.Rand

	state State
	saved State
	role  Role
	// leader is the leader of the term, or 0.
	leader ID

	log      memory
	snapshot Snapshot
	commit   uint64
	// delivered is the last index handed out by Ready for application, stable the last index that is saved.
	delivered uint64
	stable    uint64
	members   membership

	// elapsed counts ticks since the leader was heard, or since the election or the check for a quorum began.
	elapsed   int
	heartbeat int
	timeout   int
	// met is true once a leader has been known since the start.
	met   bool
	votes map[ID]bool

	progress map[ID]*progress
	// announce makes the next Ready send an append to every member, even an empty one.
	announce   bool
	round      uint64
	reads      []read
	confirmed  []Confirmation
	lost       []uint64
	transferee ID
	transfer   int
	// urged reports whether the transferee was asked to start an election since the last heartbeat.
	urged bool

	incoming  *incoming
	installed *Snapshot
	messages  []Message
	pending   *Ready
}

// New returns a node that continues from what was saved. A node whose saved snapshot has no members waits to be
// added to a group.
func New(options Options) (*Node, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}

	saved := options.Saved
	options.Saved = Saved{}
	node := &Node{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, uint64(options.ID))),
		state:     saved.State,
		saved:     saved.State,
		snapshot:  saved.Snapshot,
		log:       memory{base: saved.Snapshot.Index, baseTerm: saved.Snapshot.Term},
		commit:    saved.Snapshot.Index,
		delivered: saved.Snapshot.Index,
		members:   membership{{saved.Snapshot.Index, saved.Snapshot.Configuration}},
	}

	for i, entry := range saved.Entries {
		if entry.Index != saved.Snapshot.Index+uint64(i)+1 {
			return nil, eris.Errorf("saved entry %d doesn't follow entry %d", entry.Index, saved.Snapshot.Index+uint64(i))
		}

		if entry.Term > node.state.Term {
			return nil, eris.Errorf("saved entry %d has term %d after the saved term %d", entry.Index, entry.Term,
				node.state.Term)
		}
	}

	node.log.append(saved.Entries...)

	if err := node.members.extend(saved.Entries); err != nil {
		return nil, err
	}

	node.stable = node.log.last()
	node.draw()
	node.timeout = max(1, (options.ElectionTicks+node.random.IntN(options.ElectionTicks))/earlyShare)

	return node, nil
}

// earlyShare is the part of the shortest election timeout, as a divisor, that passes before an election while no leader
// has been known since the start.
const earlyShare = 3

// draw chooses the next election timeout at random, so that members seldom start elections together. It is shorter while
// no leader has been known since the start: after a restart of all members nothing is served before an election succeeds,
// and the first ones may fail because members are not connected yet. If only this one was restarted, the others hear a
// leader and refuse an early one.
func (n *Node) draw() {
	n.elapsed = 0
	shortest := n.options.ElectionTicks

	if !n.met {
		shortest = max(1, shortest/earlyShare)
	}

	n.timeout = shortest + n.random.IntN(n.options.ElectionTicks)
}

// Tick tells the node that one unit of time has passed.
func (n *Node) Tick() {
	n.elapsed++

	if n.role == Leader {
		n.tickLeader()

		return
	}

	if n.elapsed < n.timeout {
		return
	}

	if n.configuration().Voter(n.options.ID) {
		n.campaign(PreCandidate, false)

		return
	}

	n.leader = 0
	n.draw()
}

func (n *Node) tickLeader() {
	n.heartbeat++
	if n.heartbeat >= n.options.HeartbeatTicks {
		n.heartbeat = 0
		n.announce = true
		n.urged = false
	}

	if n.transferee != 0 {
		n.transfer++
		if n.transfer >= n.options.ElectionTicks {
			n.transferee = 0
		}

		n.hurryTransfer()
	}

	if n.elapsed >= n.options.ElectionTicks {
		n.elapsed = 0
		n.checkQuorum()
	}
}

// checkQuorum steps down unless a quorum has been heard since the last check.
func (n *Node) checkQuorum() {
	heard := n.configuration().Quorum(func(id ID) bool {
		return id == n.options.ID || n.progress[id].heard
	})

	for _, peer := range n.progress {
		peer.heard = false
	}

	if !heard {
		n.follow(n.state.Term, 0)
	}
}

// Step handles a message from another member.
func (n *Node) Step(message Message) {
	if message.To != n.options.ID || message.From == n.options.ID {
		return
	}

	if message.Term < n.state.Term {
		n.answerOld(message)

		return
	}

	if message.Term > n.state.Term && !n.enter(message) {
		return
	}

	switch message.Kind {
	case PreVote, Vote:
		n.answerVote(message)
	case PreVoteReply, VoteReply:
		n.countVote(message)
	case Append:
		n.receiveAppend(message)
	case Chunk:
		n.receiveChunk(message)
	case AppendReply:
		n.receiveAppendReply(message)
	case ChunkReply:
		n.receiveChunkReply(message)
	case TimeoutNow:
		if n.configuration().Voter(n.options.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// answerOld tells the sender of a message from an old term the present term, so that an old leader or candidate
// gives up.
func (n *Node) answerOld(message Message) {
	switch message.Kind {
	case Append, Chunk:
		n.send(Message{Kind: AppendReply, To: message.From, Rejected: true, Index: message.Index})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: message.From})
	case Vote:
		n.send(Message{Kind: VoteReply, To: message.From})
	case PreVoteReply, VoteReply, AppendReply, ChunkReply, TimeoutNow:
	}
}

// enter handles a term above the node's own. It reports whether the message is to be handled further.
func (n *Node) enter(message Message) bool {
	switch message.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if message.Granted {
			return true
		}

		n.follow(message.Term, 0)
	case Vote:
		// A member that was removed or cut off must not disturb a working leader.
		if n.hearsLeader() && !message.Transfer {
			return false
		}

		n.follow(message.Term, 0)
	case Append, Chunk:
		n.follow(message.Term, message.From)
	case VoteReply, AppendReply, ChunkReply, TimeoutNow:
		n.follow(message.Term, 0)
	}

	return true
}

// hearsLeader reports whether a leader was heard within the shortest election timeout.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || (n.leader != 0 && n.elapsed < n.options.ElectionTicks)
}

// follow becomes a follower in a term.
func (n *Node) follow(term uint64, leader ID) {
	if term > n.state.Term {
		n.state = State{Term: term}
		n.incoming = nil
	}

	for _, waiting := range n.reads {
		n.lost = append(n.lost, waiting.token)
	}

	n.role, n.leader, n.met = Follower, leader, n.met || leader != 0
	n.reads, n.progress, n.votes, n.transferee, n.announce = nil, nil, nil, 0, false
	n.draw()
}

func (n *Node) send(message Message) {
	message.From = n.options.ID
	if message.Term == 0 {
		message.Term = n.state.Term
	}

	n.messages = append(n.messages, message)
}

func (n *Node) configuration() Configuration {
	return n.members.latest()
}
