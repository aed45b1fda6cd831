package managedproxy

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/retry"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// Dialer opens a connection to a backend server. It fails with an OutcomeError if the server refuses it.
type Dialer func(deadline time.Time, server topology.Server) (Backend, error)

const (
	// tendInterval is the time between two looks at the connections to all servers.
	tendInterval = 500 * time.Millisecond
	// warmBatch is the number of first connections that are opened at each look. Each takes 12 ms of a server's slot, so
	// that 100 proxies take a tenth of the slots of 24 servers.
	warmBatch = 2
	// readyTime is the time without a word of control after which a proxy is not ready. An election takes less than a
	// second, and the load balancer needs two seconds more before it acts.
	readyTime = 1500 * time.Millisecond
	// retryShare is the part of the statements that may be repeated on another server, and retryFloor the number that
	// is granted in a window without much traffic. A takeover makes each session repeat one statement.
	retryShare = 0.3
	retryFloor = 50
)

// Options describe a Gateway.
type Options struct {
	// Name is the name of the proxy.
	Name string
	Dial Dialer
	// Forward sends a statement to another proxy. It fails with managedpeer.ErrNotSent if that can't have got it.
	Forward func(ctx context.Context, to netip.AddrPort, forwarded *Forwarded) (*ForwardReply, error)
	// Centre is the data centre of the proxy.
	Centre  string
	Logger  *slog.Logger
	Metrics *metrics.Metrics
	Timer   timer.Service
	// Boot tells the time of a clock that counts suspensions; timer.Boot by default.
	Boot func() time.Time
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	budget  *retry.Budget
	names   *names
	stop    timer.Stop

	view atomic.Pointer[view]
	// lease is the end of the lease, confirmed the time of its last extension, both as boot times.
	lease     atomic.Pointer[time.Time]
	confirmed atomic.Pointer[time.Time]
	draining  atomic.Bool
	sequence  atomic.Uint64
	// forwards is the number of statements of other proxies' callers that are in progress.
	forwards atomic.Int64
	hearing  hearing

	mutex    sync.Mutex
	servers  map[string]*server
	tracks   map[string]*track
	sessions map[*session]struct{}
	// guests are the open transactions of other proxies' callers.
	guests  map[uint64]*guest
	changed chan struct{}
}

// New returns a gateway that knows no configuration yet.
func New(options Options) *Gateway {
	if options.Boot == nil {
		options.Boot = timer.Boot
	}

	created := &Gateway{
		options: options, budget: retry.NewBudget(retryShare, retry.DefaultWindow).WithFloor(retryFloor), names: newNames(),
		servers: make(map[string]*server), tracks: make(map[string]*track), sessions: make(map[*session]struct{}),
		guests: make(map[uint64]*guest), changed: make(chan struct{}),
	}
	created.view.Store(&view{})
	created.lease.Store(&time.Time{})
	created.confirmed.Store(&time.Time{})
	created.stop = options.Timer.Every(tendInterval, created.tend)

	return created
}

// Extend sets the end of the lease of the leader of control, as a boot time.
func (g *Gateway) Extend(until time.Time) {
	now := g.options.Boot()
	g.confirmed.Store(&now)
	g.lease.Store(&until)
}

// leased reports whether the leader of control waits for this proxy before it replaces a primary of the view.
func (g *Gateway) leased(now time.Time) bool {
	return now.Before(*g.lease.Load())
}

// Leaving reports whether a planned stop has begun.
func (g *Gateway) Leaving() bool {
	return g.draining.Load()
}

// Ready reports whether callers should come to this proxy: it knows a configuration, hears from control, and does not
// stop. A proxy that is cut off from control soon has to refuse reads that others can serve. If all are, the load
// balancer uses all.
func (g *Gateway) Ready() bool {
	heard := g.options.Boot().Sub(*g.confirmed.Load()) < readyTime

	return !g.draining.Load() && heard && g.view.Load().configuration != nil
}

// Sights returns what the proxy says of the primaries.
func (g *Gateway) Sights() []managedcontrol.PrimaryReport {
	now := time.Now()

	var sights []managedcontrol.PrimaryReport

	present := g.view.Load()

	for name, group := range present.groups {
		if group.primary != nil && !present.holders[name].remote() {
			sights = append(sights, group.primary.sight(now))
		}
	}

	return sights
}

// Serve serves a caller until it leaves.
func (g *Gateway) Serve(caller Caller) {
	defer caller.Close()

	served := newSession(g, caller)
	if !served.login() {
		return
	}

	g.mutex.Lock()
	g.sessions[served] = struct{}{}
	g.mutex.Unlock()

	served.run()

	g.mutex.Lock()
	delete(g.sessions, served)
	g.mutex.Unlock()
}

// Drain begins a planned stop: Ready is false from now on.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// CloseIdle ends the sessions that are outside a transaction. With all, those in a transaction end as well; their
// transactions are rolled back, and so are those of other proxies' callers. It returns the number of sessions,
// transactions and statements that are left.
func (g *Gateway) CloseIdle(all bool) int {
	if all {
		g.dismiss(time.Now(), true)
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for one := range g.sessions {
		one.closing.Store(true)

		if all {
			one.ending.Store(true)
		}

		one.caller.Interrupt()
	}

	return len(g.sessions) + len(g.guests) + int(g.forwards.Load())
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return len(g.sessions)
}

// Close ends the connections to backend servers.
func (g *Gateway) Close() {
	g.stop()

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for _, one := range g.servers {
		one.pool.close()
	}
}

// tend closes connections that were not used for a long time and opens a first one to servers that have none, a few at a
// time, so that the first statements after a start do not all open connections at once.
func (g *Gateway) tend(now time.Time) {
	g.dismiss(now, false)

	g.mutex.Lock()
	defer g.mutex.Unlock()

	opening := 0

	for _, one := range g.servers {
		one.pool.trim(now)

		if opening < warmBatch && !g.draining.Load() && one.pool.reserve() {
			opening++

			go one.pool.warm(now.Add(connectTimeout))
		}
	}
}
