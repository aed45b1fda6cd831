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

// Options are the parts that a Coordinator works with. All are required but Suspect and Recall.
type Options struct {
	// Proxy and Instance name this process.
	Proxy    string
	Instance uint64
	// Group and Epoch say what is coordinated.
	Group string
	Epoch uint64
	// View returns the latest view, or nil.
	View func() *registry.View
	// Confirmed reports whether the process holds its configuration lease.
	Confirmed func() bool
	Open      Opener
	Timer     timer.Service
	Logger    *slog.Logger
	Metrics   metrics.Registry
	// Passive makes a coordinator that only answers Barrier and Confirm. It asks members only when it has to, and
	// its connections hold permits.
	Passive bool
	// Suspect is called when a server did not answer on several new connections in a row, and again with each
	// further failure.
	Suspect func(group string, term position.Term, server, reason string)
	// Recall asks a holder to return permits that others wait for. It must not block.
	Recall func(holder permit.Holder, server string, kind permit.Kind, count int)
}

// Coordinator coordinates one group in one epoch. It is safe for concurrent use.
type Coordinator struct {
	options Options
	context context.Context //nolint:containedctx // Ends everything that the coordinator started.
	cancel  context.CancelFunc
	// state is the group in the latest view; replaced by Update.
	state    atomic.Pointer[state]
	barriers *Rounds[Answer]
	// connections numbers the connections to members.
	connections atomic.Uint64
	confirms    confirms
	permits     permits

	mutex     sync.Mutex
	members   map[string]*member
	detectors map[string]*failover.Detector
	interval  time.Duration
	stop      timer.Stop
	closed    bool

	// sightings guards what is derived from observations.
	sightings sync.Mutex
	samples   samples
	// followed holds the term in which the primary last listed each replica.
	followed map[string]position.Term
	changed  atomic.Pointer[chan struct{}]
}

// state is the part of a view that concerns the group. It is immutable.
type state struct {
	group   registry.Group
	servers map[string]registry.Server
	// members are the connections to the servers of the group, by name.
	members map[string]*member
	timing  settings.Timing
	// ended is closed when the term of the group changes.
	ended chan struct{}
}

// New starts a coordinator. The group is looked up in the view; Update has to be called when the view changes.
func New(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options:   options,
		context:   ctx,
		cancel:    cancel,
		members:   make(map[string]*member),
		detectors: make(map[string]*failover.Detector),
		followed:  make(map[string]position.Term),
	}
	changed := make(chan struct{})
	c.changed.Store(&changed)
	c.permits.init(c)
	c.confirms.init(c)
	c.barriers = NewRounds(ctx, barrierWidth, c.barrier)
	c.Update()

	return c
}

// Epoch returns the epoch that the coordinator serves.
func (c *Coordinator) Epoch() uint64 {
	return c.options.Epoch
}

// Update takes over the latest view.
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

	next := &state{
		group:   view.Groups[c.options.Group],
		servers: make(map[string]registry.Server),
		timing:  view.Running.Timing,
		ended:   make(chan struct{}),
	}

	for name, server := range view.Servers {
		if server.Group == c.options.Group {
			next.servers[name] = server
		}
	}

	c.updateMembers(next)

	last := c.state.Load()
	if last != nil && last.group.Term == next.group.Term && last.group.Primary == next.group.Primary {
		next.ended = last.ended
	}

	c.state.Store(next)

	if last != nil && next.ended != last.ended {
		close(last.ended)
	}

	if !c.options.Passive {
		c.monitor(next.timing.Monitor.Or(defaultMonitor))
		c.permits.update(view, next)
	}

	c.confirms.update(next.group)
	// Requests that wait for another view try again.
	changed := make(chan struct{})
	close(*c.changed.Swap(&changed))
}

// Close ends the coordinator. Waiting requests fail.
func (c *Coordinator) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return
	}

	c.closed = true
	c.cancel()

	if c.stop != nil {
		c.stop()
	}

	c.permits.close()

	for _, member := range c.members {
		member.Close()
	}
}

const (
	defaultMonitor        = 500 * time.Millisecond
	defaultMonitorTimeout = time.Second
	defaultFailures       = 3
	defaultLease          = 3 * time.Second
	// barrierWidth is the number of barriers at once, so that one with a slow server delays no other.
	barrierWidth = 2
)

// updateMembers opens and closes connections. The mutex is held.
func (c *Coordinator) updateMembers(next *state) {
	for name, member := range c.members {
		// A restarted server may have gone back behind what it showed before.
		if server, found := next.servers[name]; !found || server.Address != member.server.Address ||
			server.Identity != member.server.Identity || server.Incarnation != member.server.Incarnation {
			member.Close()
			delete(c.members, name)
			delete(c.detectors, name)
		}
	}

	thresholds := failover.Thresholds{
		Failures: max(1, orDefault(next.timing.Failures, defaultFailures)),
		Spacing:  next.timing.Monitor.Or(defaultMonitor),
		Slow:     next.timing.Monitor.Or(defaultMonitor),
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
		application: func() string {
			number := strconv.FormatUint(c.connections.Add(1), 10)

			return Application(c.options.Proxy, c.options.Instance, number+"/"+kind)
		},
		open:    c.options.Open,
		timer:   c.options.Timer,
		timeout: c.timeout,
		report:  c.observed,
	})
}

func (c *Coordinator) timeout() time.Duration {
	if state := c.state.Load(); state != nil {
		return state.timing.MonitorTimeout.Or(defaultMonitorTimeout)
	}

	return defaultMonitorTimeout
}

// monitor sets the interval of the queries. The mutex is held.
func (c *Coordinator) monitor(interval time.Duration) {
	if interval == c.interval {
		return
	}

	if c.stop != nil {
		c.stop()
	}

	c.interval = interval
	c.stop = c.options.Timer.Every(interval, func(time.Time) { c.tick() })

	go c.tick()
}

// tick queries each member that isn't being queried already.
func (c *Coordinator) tick() {
	state := c.state.Load()
	if state == nil {
		return
	}

	for _, member := range state.members {
		if !member.rounds.Idle() {
			continue
		}

		go func() {
			if _, err := c.observe(c.context, member); err != nil {
				return
			}

			c.permits.count(c.context, state, member)
		}()
	}
}

// observe queries a member and keeps what follows from the answer.
func (c *Coordinator) observe(ctx context.Context, member *member) (Sight, error) {
	sight, err := member.Observe(ctx)
	if err != nil {
		return sight, err
	}

	group := c.state.Load().group
	if member.name != group.Primary || !leads(sight, group.Term) {
		return sight, nil
	}

	c.sightings.Lock()
	defer c.sightings.Unlock()

	c.samples.add(group.Term, sight.InsertLSN, sight.Asked)

	for _, follower := range sight.Followers {
		if !follower.Attachment.Fenced {
			c.followed[follower.Attachment.Name] = follower.Attachment.Term
		}
	}

	return sight, nil
}

// Check asks a member at once, because a request could not use it.
func (c *Coordinator) Check(server string) {
	state := c.state.Load()
	if state == nil || c.options.Passive {
		return
	}

	if member, found := state.members[server]; found && member.rounds.Idle() {
		go func() { _, _ = c.observe(c.context, member) }()
	}
}

// observed feeds the detector of a member.
func (c *Coordinator) observed(member *member, query failover.Query, err error) {
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
			"fresh", query.Fresh, "state", state.String(), "error", err)
	}

	if present := c.state.Load(); state == failover.Dead && present != nil && c.options.Suspect != nil {
		// Queries to the member go on meanwhile.
		go c.options.Suspect(c.options.Group, present.group.Term, member.name, err.Error())
	}
}

// leads reports whether an observation shows the primary of a term.
func leads(sight Sight, term position.Term) bool {
	return !sight.InRecovery && !sight.Attachment.Fenced && sight.Attachment.Term == term
}

// follows reports whether an observation shows a replica that still follows a term.
func follows(sight Sight, term position.Term) bool {
	return sight.InRecovery && !sight.Attachment.Fenced && sight.Attachment.Term == term
}
