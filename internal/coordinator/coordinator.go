package coordinator

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/failover"
	"almondgrade/core/permit"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
)

// Options configure a Coordinator. All are required except Suspect and Recall.
type Options struct {
	// Proxy and Instance identify this process.
	Proxy    string
	Instance uint64
	// Group is the coordinated group, Epoch the epoch of its coordinator.
	Group string
	Epoch uint64
	// View returns the latest view, or nil before the first one has arrived.
	View func() *registry.View
	// Confirmed reports whether the process holds its configuration lease.
	Confirmed func() bool
	Open      Opener
	Timer     timer.Service
	Logger    *slog.Logger
	Metrics   metrics.Registry
	// Passive makes a coordinator that serves only barriers and confirmations. It queries members only for a request, and
	// its connections hold permits.
	Passive bool
	// Suspect is called when a server did not answer on several new connections in a row, and again on each further
	// failure.
	Suspect func(group string, term position.Term, server, reason string)
	// Recall asks a holder to return permits because other holders wait for them. It must not block.
	Recall func(holder permit.Holder, server string, kind permit.Kind, count int)
}

// Coordinator coordinates one group in one epoch. It is safe for concurrent use.
type Coordinator struct {
	options Options
	context context.Context //nolint:containedctx // Ends everything that the coordinator started.
	cancel  context.CancelFunc
	// state is the group's part of the latest view; Update replaces it.
	state    atomic.Pointer[groupState]
	barriers *Coalescer[BarrierAnswer]
	// connectionCount is the number of connections opened to members, which numbers the next one.
	connectionCount atomic.Uint64
	confirmations   confirmations
	permits         permits

	mutex           sync.Mutex
	members         map[string]*member
	detectors       map[string]*failover.Detector
	monitorInterval time.Duration
	stopMonitor     timer.StopFunc
	closed          bool

	// observationMutex guards samples and listedTerm, which are derived from observations.
	observationMutex sync.Mutex
	samples          samples
	// listedTerm is the term in which the primary last listed each replica as a follower.
	listedTerm  map[string]position.Term
	viewChanged atomic.Pointer[chan struct{}]
}

// groupState is the group's part of a view. It is immutable.
type groupState struct {
	group   registry.Group
	servers map[string]registry.Server
	// members holds the connections to the servers of the group, by name.
	members map[string]*member
	timing  settings.Timing
	// termEnded is closed when the term or the primary of the group changes.
	termEnded chan struct{}
}

// New starts a coordinator of a group in the view. The caller has to call Update when the view changes.
func New(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options:    options,
		context:    ctx,
		cancel:     cancel,
		members:    make(map[string]*member),
		detectors:  make(map[string]*failover.Detector),
		listedTerm: make(map[string]position.Term),
	}
	changed := make(chan struct{})
	c.viewChanged.Store(&changed)
	c.permits.init(c)
	c.confirmations.init(c)
	c.barriers = NewCoalescer(ctx, maxConcurrentBarriers, c.attemptBarrier)
	c.Update()

	return c
}

// Epoch returns the epoch in which the coordinator serves its group.
func (c *Coordinator) Epoch() uint64 {
	return c.options.Epoch
}

// Update applies the latest view.
func (c *Coordinator) Update() {
	view := c.options.View()
	if view == nil {
		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return
	}

	next := &groupState{
		group:     view.Groups[c.options.Group],
		servers:   make(map[string]registry.Server),
		timing:    view.Running.Timing,
		termEnded: make(chan struct{}),
	}

	for name, server := range view.Servers {
		if server.Group == c.options.Group {
			next.servers[name] = server
		}
	}

	c.updateMembers(next)

	last := c.state.Load()
	if last != nil && last.group.Term == next.group.Term && last.group.Primary == next.group.Primary {
		next.termEnded = last.termEnded
	}

	c.state.Store(next)

	if last != nil && next.termEnded != last.termEnded {
		close(last.termEnded)
	}

	if !c.options.Passive {
		c.setMonitorInterval(next.timing.MonitorInterval.Or(defaultMonitorInterval))
		c.permits.update(view, next)
	}

	c.confirmations.finishOlderTerms(next.group)
	// Attempts that failed in the old view are retried at once.
	changed := make(chan struct{})
	close(*c.viewChanged.Swap(&changed))
}

// Close stops the coordinator. Waiting requests fail.
func (c *Coordinator) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return
	}

	c.closed = true
	c.cancel()

	if c.stopMonitor != nil {
		c.stopMonitor()
	}

	c.permits.close()

	for _, member := range c.members {
		member.Close()
	}
}

const (
	defaultMonitorInterval = 500 * time.Millisecond
	defaultMonitorTimeout  = time.Second
	defaultFailureLimit    = 3
	defaultLeaseDuration   = 3 * time.Second
	// maxConcurrentBarriers is more than one so that a barrier with a slow server does not delay the next.
	maxConcurrentBarriers = 2
)

// updateMembers adds and closes the members that the view added, removed or changed. The mutex is held.
func (c *Coordinator) updateMembers(next *groupState) {
	for name, member := range c.members {
		// A restarted server may hold less than its earlier observations showed.
		if server, found := next.servers[name]; !found || server.Address != member.server.Address ||
			server.Identity != member.server.Identity || server.Incarnation != member.server.Incarnation {
			member.Close()
			delete(c.members, name)
			delete(c.detectors, name)
		}
	}

	thresholds := failover.Thresholds{
		Failures:       max(1, orDefault(next.timing.FailureThreshold, defaultFailureLimit)),
		FailureSpacing: next.timing.MonitorInterval.Or(defaultMonitorInterval),
		SlowAfter:      next.timing.MonitorInterval.Or(defaultMonitorInterval),
	}

	for name, server := range next.servers {
		if _, found := c.members[name]; found {
			c.detectors[name].SetThresholds(thresholds)

			continue
		}

		c.members[name] = c.newMember(server)
		c.detectors[name] = failover.NewDetector(thresholds)
	}

	next.members = make(map[string]*member, len(c.members))
	for name, member := range c.members {
		next.members[name] = member
	}
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}

	return value
}

func (c *Coordinator) newMember(server registry.Server) *member {
	kind := KindMonitor
	if c.options.Passive {
		kind = KindDirect
	}

	return newMember(c.context, &member{
		name:   server.Name,
		server: server,
		newApplicationName: func() string {
			number := strconv.FormatUint(c.connectionCount.Add(1), 10)

			return ApplicationName(c.options.Proxy, c.options.Instance, number+"/"+kind)
		},
		open:         c.options.Open,
		timer:        c.options.Timer,
		queryTimeout: c.monitorTimeout,
		reportQuery:  c.recordQuery,
	})
}

func (c *Coordinator) monitorTimeout() time.Duration {
	if state := c.state.Load(); state != nil {
		return state.timing.MonitorTimeout.Or(defaultMonitorTimeout)
	}

	return defaultMonitorTimeout
}

// setMonitorInterval sets the interval of the monitor queries. The mutex is held.
func (c *Coordinator) setMonitorInterval(interval time.Duration) {
	if interval == c.monitorInterval {
		return
	}

	if c.stopMonitor != nil {
		c.stopMonitor()
	}

	c.monitorInterval = interval
	c.stopMonitor = c.options.Timer.Every(interval, func(time.Time) { c.queryIdleMembers() })

	go c.queryIdleMembers()
}

// queryIdleMembers queries each member that is not being queried already.
func (c *Coordinator) queryIdleMembers() {
	state := c.state.Load()
	if state == nil {
		return
	}

	for _, member := range state.members {
		if !member.observations.Idle() {
			continue
		}

		go func() {
			if _, err := c.observeMember(c.context, member); err != nil {
				return
			}

			c.permits.countConnections(c.context, state, member)
		}()
	}
}

// observeMember queries a member. An answer of the primary is recorded in the samples and the listed terms.
func (c *Coordinator) observeMember(ctx context.Context, member *member) (TimedObservation, error) {
	observed, err := member.Observe(ctx)
	if err != nil {
		return observed, err
	}

	group := c.state.Load().group
	if member.name != group.Primary || !leadsTerm(observed, group.Term) {
		return observed, nil
	}

	c.observationMutex.Lock()
	defer c.observationMutex.Unlock()

	c.samples.add(group.Term, observed.InsertLSN, observed.AskedAt)

	for _, follower := range observed.Followers {
		if !follower.Attachment.Fenced {
			c.listedTerm[follower.Attachment.Name] = follower.Attachment.Term
		}
	}

	return observed, nil
}

// CheckServer queries a member at once instead of at the next interval, because a request could not use it.
func (c *Coordinator) CheckServer(server string) {
	state := c.state.Load()
	if state == nil || c.options.Passive {
		return
	}

	if member, found := state.members[server]; found && member.observations.Idle() {
		go func() { _, _ = c.observeMember(c.context, member) }()
	}
}

// recordQuery passes the outcome of a query to the member's failure detector and reports a server that seems dead.
func (c *Coordinator) recordQuery(member *member, query failover.Query, err error) {
	c.mutex.Lock()
	detector, found := c.detectors[member.name]
	state := failover.Healthy

	if found && c.members[member.name] == member {
		state = detector.Observe(query)
	}

	c.mutex.Unlock()

	if err != nil {
		metrics.GetOrRegisterCounter("monitor_failed", c.options.Metrics).Inc(1)
		c.options.Logger.Debug("query to backend server failed", "group", c.options.Group, "server", member.name,
			"fresh", query.NewConnection, "state", state.String(), "error", err)
	}

	if present := c.state.Load(); state == failover.Dead && present != nil && c.options.Suspect != nil {
		// The report must not delay further queries to the member.
		go c.options.Suspect(c.options.Group, present.group.Term, member.name, err.Error())
	}
}

// leadsTerm reports whether an observation shows the primary of a term.
func leadsTerm(observed TimedObservation, term position.Term) bool {
	return !observed.InRecovery && !observed.Attachment.Fenced && observed.Attachment.Term == term
}

// followsTerm reports whether an observation shows a replica that still follows a term.
func followsTerm(observed TimedObservation, term position.Term) bool {
	return observed.InRecovery && !observed.Attachment.Fenced && observed.Attachment.Term == term
}
