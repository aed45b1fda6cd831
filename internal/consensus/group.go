package consensus

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/lateness"
	"almondgrade/core/raft"
	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/io/disk"
)

// Group is one member of a replicated log. It is safe for concurrent use.
type Group struct {
	options  Options
	instance uint64
	ctx      context.Context
	cancel   context.CancelFunc
	loop     sync.WaitGroup
	stop     timer.StopFunc

	// urgent are the received batches of heartbeats and votes, received those with entries and snapshots.
	urgent    chan batch
	received  chan batch
	proposals chan *proposal
	calls     chan func()
	// ticks are the times at which heartbeats were due.
	ticks  chan time.Time
	failed chan error
	// droppedBatches counts the batches that were dropped because the event loop did not take them in time.
	droppedBatches atomic.Uint64

	// lateness are the delays of this process, leaderDelays those of the leader's messages.
	lateness     *lateness.Meter
	leaderDelays *lateness.Meter

	// ownHello is the part of hello that is the same for every receiver.
	ownHello atomic.Pointer[hello]
	view     atomic.Pointer[view]

	mutex       sync.Mutex
	links       map[netip.AddrPort]*link
	streams     map[streamKey]chan struct{}
	lastBatches map[netip.AddrPort]receivedBatch

	// Only the goroutine of the event loop uses the fields below.
	log      *disk.Log
	identity disk.Identity
	node     *raft.Node
	failure  error
	applied  uint64
	snapshot uint64
	// appliedBytes is the size of the commands that were applied since the last snapshot, snapshotSize that of the snapshot.
	appliedBytes, snapshotSize int
	pendingProposals           map[uint64]*proposal
	proposalResults            []proposalResult
	pendingReads               map[uint64]chan<- readResult
	// leaderHeardAt is the time of the last message of the leader leaderHeard.
	leaderHeardAt  time.Time
	leaderHeard    raft.ID
	disk           diskWatch
	lastReadToken  uint64
	confirmedReads []raft.ReadConfirmation
	// nodeTicks is the number of heartbeats since the node was created.
	nodeTicks int
	// ticksWithoutNode is the number of heartbeats without a node.
	ticksWithoutNode int
	peers            map[raft.ID]peer
	requestedMembers map[string]netip.AddrPort
	// leaving is true once this member is about to stop.
	leaving bool
	// evenTicks is the number of heartbeats for which this member has led an even number of voters.
	evenTicks int
	// seeds are further addresses that this process contacts while it belongs to no group.
	seeds []netip.AddrPort
}

// view is the state that callers can read without a call in the event loop.
type view struct {
	leader  Member
	self    bool
	applied uint64
	status  Status
	changed chan struct{}
}

// New starts a member. It returns an error if the data folder can't be used, for example a *disk.CorruptError.
func New(options Options) (*Group, error) {
	if err := options.checkAndSetDefaults(); err != nil {
		return nil, err
	}

	log, err := disk.Open(disk.Options{Folder: options.Folder, Files: options.Files})
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	group := &Group{
		options: options, instance: rand.Uint64(), ctx: ctx, cancel: cancel, log: log,
		urgent: make(chan batch, receiveQueueLength), received: make(chan batch, receiveQueueLength), proposals: make(chan *proposal), calls: make(chan func()),
		ticks: make(chan time.Time, 1), failed: make(chan error, 1),
		links: make(map[netip.AddrPort]*link), streams: make(map[streamKey]chan struct{}),
		lastBatches: make(map[netip.AddrPort]receivedBatch), pendingProposals: make(map[uint64]*proposal),
		pendingReads: make(map[uint64]chan<- readResult), peers: make(map[raft.ID]peer),
		requestedMembers: make(map[string]netip.AddrPort),
		lateness:         lateness.New(options.HeartbeatInterval), leaderDelays: lateness.New(options.HeartbeatInterval),
	}
	group.view.Store(&view{changed: make(chan struct{})})

	if err := group.start(); err != nil {
		cancel()

		_ = log.Close()

		return nil, err
	}

	return group, nil
}

// start loads the identity and log from the folder, or a new identity if it is empty, and starts the event loop.
func (g *Group) start() error {
	identity, found := g.log.Identity()
	if !found {
		identity = disk.Identity{Name: g.options.Self.Name, ID: drawID()}
		if err := g.log.SaveIdentity(identity); err != nil {
			return err
		}

		g.options.Logger.Info("the data folder is new or was lost; waiting to form or join a group", "member",
			identity.Name, "id", identity.ID, "folder", g.options.Folder)
	}

	if identity.Name != g.options.Self.Name {
		return eris.Errorf("the data folder %s belongs to member %q, not to %q", g.options.Folder, identity.Name,
			g.options.Self.Name)
	}

	g.identity = identity

	if identity.Active {
		saved, err := g.log.Load()
		if err == nil {
			err = g.activate(saved)
		}

		if err != nil {
			return err
		}
	}

	g.updateHello()
	g.updateLinks()
	g.publish()

	g.stop = g.options.Timer.Every(g.options.HeartbeatInterval, g.handleHeartbeat)

	g.loop.Go(g.run)

	return nil
}

func drawID() raft.ID {
	for {
		if id := raft.ID(rand.Uint64()); id != 0 {
			return id
		}
	}
}

// activate creates the Raft node from the saved state.
func (g *Group) activate(saved raft.PersistentState) error {
	if saved.Snapshot.Index > 0 {
		if err := g.options.Machine.Restore(saved.Snapshot.Data); err != nil {
			return eris.Wrapf(err, "restore snapshot at entry %d", saved.Snapshot.Index)
		}
	}

	node, err := raft.New(raft.Options{
		ID: g.identity.ID, Persisted: saved, HeartbeatTicks: 1, Seed: rand.Uint64(),
		ElectionTicks: int(g.options.ElectionTimeout / g.options.HeartbeatInterval),
	})
	if err != nil {
		return err
	}

	g.node = node
	g.applied, g.snapshot, g.snapshotSize = saved.Snapshot.Index, saved.Snapshot.Index, len(saved.Snapshot.Data)
	g.options.Logger.Info("taking part in the control log", "member", g.identity.Name, "id", g.identity.ID,
		"term", saved.HardState.Term, "snapshot", saved.Snapshot.Index, "entries", len(saved.Entries))

	return nil
}

// handleHeartbeat runs once per heartbeat interval.
func (g *Group) handleHeartbeat(now time.Time) {
	g.lateness.Tick(g.options.Timer.Now())

	select {
	case g.ticks <- g.options.Timer.Now():
	default:
	}

	for _, to := range g.allLinks() {
		to.handleHeartbeat(now)
	}
}

func (g *Group) allLinks() []*link {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	links := make([]*link, 0, len(g.links))
	for _, to := range g.links {
		links = append(links, to)
	}

	return links
}

// Leader returns the leader as far as this member knows; the name is empty if it knows none. Another member may already
// lead; only Confirm makes sure.
func (g *Group) Leader() (name string, address netip.AddrPort, self bool) {
	seen := g.view.Load()

	return seen.leader.Name, seen.leader.Address, seen.self
}

// Changed returns a channel that is closed when the leader or the applied index changes. Callers must get the channel
// before they read the leader or the index.
func (g *Group) Changed() <-chan struct{} {
	return g.view.Load().changed
}

// Applied returns the last index that the state machine has applied.
func (g *Group) Applied() uint64 {
	return g.view.Load().applied
}

// Status describes the member.
func (g *Group) Status() Status {
	status := g.view.Load().status
	status.DroppedBatches = g.droppedBatches.Load()
	for _, to := range g.allLinks() {
		status.Links = append(status.Links, to.currentStatus())
	}

	sortLinks(status.Links)

	return status
}

// Failed returns a channel that receives the error after which this member takes no part in the log. The process should
// exit with that error.
func (g *Group) Failed() <-chan error {
	return g.failed
}

// Close stops the member and releases the folder. Pending requests fail with an error that says that their outcome is
// unknown.
func (g *Group) Close() error {
	g.stop()
	g.cancel()
	g.loop.Wait()

	for _, to := range g.allLinks() {
		to.close()
	}

	return g.log.Close()
}

// fail makes this member stop taking part in the log until the process restarts.
func (g *Group) fail(err error) {
	if g.failure != nil {
		return
	}

	// The others need not wait for an election timeout if they have the whole log.
	if g.node != nil {
		g.handOver()
		g.sendEarly()
	}

	g.failure = err
	g.node = nil
	g.options.Logger.Error("this member stops taking part in the control log", "error", err)
	g.failPending(result.New(result.NoQuorum, "the member's disk failed; the outcome is unknown: %w", err))

	g.failed <- err
}

func (g *Group) logger() *slog.Logger {
	return g.options.Logger
}
