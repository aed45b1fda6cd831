package managedproxy

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/quota"
	"almondgrade/core/retry"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// Dialer opens a connection to a backend server on behalf of a customer, or of none if the name is empty. It returns an OutcomeError if the server refuses it.
type Dialer func(deadline time.Time, server topology.Server, customer string) (Backend, error)

const (
	// maintenanceInterval is the time between two rounds of maintenance of the connections to all servers.
	maintenanceInterval = 500 * time.Millisecond
	// firstConnectionsPerRound is the number of first connections opened in one round. Each takes 12 ms of a server's
	// slot, so that 100 proxies take a tenth of the slots of 24 servers.
	firstConnectionsPerRound = 2
	// controlTimeout is the time without an answer from control after which a proxy is not ready. An election takes
	// less than a second, and the load balancer needs two more seconds to react.
	controlTimeout = 1500 * time.Millisecond
	// retryShare is the share of statements that may be retried on another server, and retryFloor the number that may
	// be in a window with little traffic. A takeover makes each session retry one statement.
	retryShare = 0.3
	retryFloor = 50
)

// Options configure a Gateway.
type Options struct {
	// Name is the name of the proxy.
	Name string
	Dial Dialer
	// Forward sends a statement to another proxy. It fails with managedpeer.ErrNotSent if the proxy certainly did not
	// get it.
	Forward func(ctx context.Context, to netip.AddrPort, request *ForwardRequest) (*ForwardReply, error)
	// Centre is the data centre of the proxy.
	Centre  string
	Logger  *slog.Logger
	Metrics *metrics.Metrics
	Timer   timer.Service
	// BootTime returns the time of a clock that also runs while the VM is suspended. The default is timer.BootTimeNow.
	BootTime func() time.Time
	// Bounds say how far the operations of a customer may exceed its limit. The default is quota.DefaultBounds.
	Bounds quota.Bounds
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options        Options
	budget         *retry.Budget
	statementNames *statementNames
	stop           timer.StopFunc
	stopChecks     timer.StopFunc

	view atomic.Pointer[view]
	// lease is the end of the lease, leaseExtended the time of its last extension, both as boot times.
	lease         atomic.Pointer[time.Time]
	leaseExtended atomic.Pointer[time.Time]
	lastSessionID atomic.Uint64
	// incomingForwards is the number of statements of other proxies' callers in progress.
	incomingForwards atomic.Int64
	// declinesForwards is true once a planned stop has found no work left.
	declinesForwards atomic.Bool
	// drainBegan is the time at which a planned stop began, or nil. drainPhase is its drain.Phase.
	drainBegan     atomic.Pointer[time.Time]
	drainPhase     atomic.Uint32
	holderHealth   holderHealth
	customerCounts customerCounts
	limits         *limiter
	acknowledged   acknowledgedCommits
	waits          waitingForwards

	mutex   sync.Mutex
	servers map[string]*server
	tracks  map[string]*freshnessTrack
	// capacities hold what the statements show about the servers of each group.
	capacities map[string]*groupCapacity
	sessions   map[*session]struct{}
	// logins are the callers that are connected and have no session yet.
	logins map[*session]struct{}
	// heldTransactions are the open transactions of other proxies' callers.
	heldTransactions map[uint64]*forwardedSession
	viewChanged      chan struct{}
	// settledVersion is the result of the last call of SettledVersion.
	settledVersion managedcontrol.Version
}

// New returns a gateway without a configuration.
func New(options Options) *Gateway {
	if options.BootTime == nil {
		options.BootTime = timer.BootTimeNow
	}

	created := &Gateway{
		options: options, budget: retry.NewBudget(retryShare, retry.DefaultBudgetWindow).WithMinRetries(retryFloor), statementNames: newStatementNames(),
		servers: make(map[string]*server), tracks: make(map[string]*freshnessTrack), capacities: make(map[string]*groupCapacity), sessions: make(map[*session]struct{}), logins: make(map[*session]struct{}),
		heldTransactions: make(map[uint64]*forwardedSession), viewChanged: make(chan struct{}),
	}
	created.limits = newLimiter(created)
	created.view.Store(&view{})
	created.lease.Store(&time.Time{})
	created.leaseExtended.Store(&time.Time{})
	created.stop = options.Timer.Every(maintenanceInterval, created.maintainPools)
	created.stopChecks = options.Timer.Every(callerCheckInterval, created.abandonForwards)

	return created
}

// ExtendLease sets the end of the lease from the leader of control, as a boot time.
func (g *Gateway) ExtendLease(until time.Time) {
	now := g.options.BootTime()
	g.leaseExtended.Store(&now)
	g.lease.Store(&until)
}

// hasLease reports whether the lease is valid. Under a valid lease the leader of control waits for this proxy before
// it replaces a primary of the view.
func (g *Gateway) hasLease(now time.Time) bool {
	return now.Before(*g.lease.Load())
}

// Ready reports whether the load balancer should send callers to this proxy: it has a configuration, hears from
// control and is not stopping. A proxy that is cut off from control soon has to refuse reads that others can serve. If
// no proxy is ready, the load balancer uses all of them.
func (g *Gateway) Ready() bool {
	heard := g.options.BootTime().Sub(*g.leaseExtended.Load()) < controlTimeout

	return !g.Draining() && heard && g.view.Load().configuration != nil
}

// PrimaryReachability returns what the proxy reports to control about the primaries.
func (g *Gateway) PrimaryReachability() []managedcontrol.PrimaryReport {
	now := time.Now()

	var reports []managedcontrol.PrimaryReport

	current := g.view.Load()

	for name, group := range current.groups {
		if group.primary != nil && !current.holders[name].mustForward() {
			reports = append(reports, group.primary.reachability(now))
		}
	}

	return reports
}

// Accept begins to serve a caller and returns at once. From then on a planned stop takes the caller into account.
func (g *Gateway) Accept(caller Caller) {
	accepted := g.beginLogin(caller)

	go accepted.serve()
}

// Serve serves a caller until its session ends.
func (g *Gateway) Serve(caller Caller) {
	g.beginLogin(caller).serve()
}

func (g *Gateway) beginLogin(caller Caller) *session {
	created := newSession(g, caller)

	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.logins[created] = struct{}{}

	return created
}

// endLogin makes a caller that has logged in one with a session, or forgets it.
func (g *Gateway) endLogin(session *session, accepted bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	delete(g.logins, session)

	if accepted {
		g.sessions[session] = struct{}{}
	}
}

func (g *Gateway) endSession(session *session) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	delete(g.sessions, session)
}

// Close closes the connections to backend servers.
func (g *Gateway) Close() {
	g.stop()
	g.stopChecks()

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for _, server := range g.servers {
		server.connPool.close()
	}
}

// maintainPools closes connections that were unused for a long time and opens a first one to servers that have none.
// It opens a few at a time, so that the first statements after a start do not open all connections at once.
func (g *Gateway) maintainPools(now time.Time) {
	g.rollbackIdleTransactions(now, false)
	g.limits.logLimitsLeft(g.options.BootTime())

	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.reportConnections()

	opening := 0

	for _, server := range g.servers {
		server.connPool.closeUnused(now)
		server.refreshCapacity(now)

		if opening < firstConnectionsPerRound && !g.Draining() && server.connPool.reserveFirst() {
			opening++

			go server.connPool.openReserved(now.Add(connectTimeout))
		}
	}
}
