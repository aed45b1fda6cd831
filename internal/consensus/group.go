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
	stop     timer.Stop

	received  chan batch
	proposals chan *proposal
	calls     chan func()
	ticks     chan struct{}
	failed    chan error
	// overflow counts the batches that were dropped because the loop did not take them in time.
	overflow atomic.Uint64

	// greeting is the part of hello that is the same for every receiver.
	greeting atomic.Pointer[hello]
	view     atomic.Pointer[view]

	mutex   sync.Mutex
	links   map[netip.AddrPort]*link
	streams map[netip.AddrPort]chan struct{}
	heard   map[netip.AddrPort]heard

	// The fields below belong to the goroutine of the loop.
	log      *disk.Log
	identity disk.Identity
	node     *raft.Node
	broken   error
	applied  uint64
	snapshot uint64
	pending  map[uint64]*proposal
	answers  []answer
	reads    map[uint64]chan<- reading
	token    uint64
	readings []raft.Confirmation
	// age is the number of heartbeats since the node was created.
	age int
	// waited is the number of heartbeats without a node.
	waited   int
	peers    map[raft.ID]peer
	admitted map[string]netip.AddrPort
	// sought are addresses at which this process looks for a group while it belongs to none.
	sought []netip.AddrPort
}

// view is what callers see without asking the loop.
type view struct {
	leader  Member
	self    bool
	applied uint64
	status  Status
	changed chan struct{}
}

// New starts a member. It returns an error if the data folder can't be used, for example a *disk.CorruptError.
func New(options Options) (*Group, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}

	log, err := disk.Open(disk.Options{Folder: options.Folder, Files: options.Files})
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	group := &Group{
		options: options, instance: rand.Uint64(), ctx: ctx, cancel: cancel, log: log,
		received: make(chan batch, receivedLength), proposals: make(chan *proposal), calls: make(chan func()),
		ticks: make(chan struct{}, 1), failed: make(chan error, 1),
		links: make(map[netip.AddrPort]*link), streams: make(map[netip.AddrPort]chan struct{}),
		heard: make(map[netip.AddrPort]heard), pending: make(map[uint64]*proposal),
		reads: make(map[uint64]chan<- reading), peers: make(map[raft.ID]peer),
		admitted: make(map[string]netip.AddrPort),
	}
	group.view.Store(&view{changed: make(chan struct{})})

	if err := group.start(); err != nil {
		cancel()

		_ = log.Close()

		return nil, err
	}

	return group, nil
}

// start continues where the folder left off.
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

	g.greet()
	g.connect()
	g.publish()

	g.stop = g.options.Timer.Every(g.options.Heartbeat, g.beat)

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

// activate creates the node from what was saved.
func (g *Group) activate(saved raft.Saved) error {
	if saved.Snapshot.Index > 0 {
		if err := g.options.Machine.Restore(saved.Snapshot.Data); err != nil {
			return eris.Wrapf(err, "restore snapshot at entry %d", saved.Snapshot.Index)
		}
	}

	node, err := raft.New(raft.Options{
		ID: g.identity.ID, Saved: saved, HeartbeatTicks: 1, Seed: rand.Uint64(),
		ElectionTicks: int(g.options.Election / g.options.Heartbeat),
	})
	if err != nil {
		return err
	}

	g.node = node
	g.applied, g.snapshot = saved.Snapshot.Index, saved.Snapshot.Index
	g.options.Logger.Info("taking part in the control log", "member", g.identity.Name, "id", g.identity.ID,
		"term", saved.State.Term, "snapshot", saved.Snapshot.Index, "entries", len(saved.Entries))

	return nil
}

// beat runs at each heartbeat.
func (g *Group) beat(now time.Time) {
	select {
	case g.ticks <- struct{}{}:
	default:
	}

	for _, to := range g.allLinks() {
		to.beat(now)
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

// Leader returns the leader as far as this member knows; the name is empty if it knows none. Another member may have
// replaced it already: Confirm tells.
func (g *Group) Leader() (name string, address netip.AddrPort, self bool) {
	seen := g.view.Load()

	return seen.leader.Name, seen.leader.Address, seen.self
}

// Changed returns a channel that is closed when the leader or the applied index changes. Take it before looking at
// what it tells about.
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
	status.Overflow = g.overflow.Load()
	for _, to := range g.allLinks() {
		status.Links = append(status.Links, to.describe())
	}

	sortLinks(status.Links)

	return status
}

// Failed delivers the error that ended this member's part in the log. The process should exit with it.
func (g *Group) Failed() <-chan error {
	return g.failed
}

// Close stops the member and releases the folder. Requests that wait are answered that their outcome is unknown.
func (g *Group) Close() error {
	g.stop()
	g.cancel()
	g.loop.Wait()

	for _, to := range g.allLinks() {
		to.close()
	}

	return g.log.Close()
}

// fail stops taking part in the log for good.
func (g *Group) fail(err error) {
	if g.broken != nil {
		return
	}

	g.broken = err
	g.node = nil
	g.options.Logger.Error("this member stops taking part in the control log", "error", err)
	g.abandon(result.New(result.NoQuorum, "the member's disk failed; the outcome is unknown: %w", err))

	g.failed <- err
}

func (g *Group) logger() *slog.Logger {
	return g.options.Logger
}
