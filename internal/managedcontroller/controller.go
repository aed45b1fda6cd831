package managedcontroller

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"almondgrade/core/lateness"
	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/consensus"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

const (
	// leaseTime is the duration of a proxy's lease. It outlasts the failure of the leader with the election of the next
	// one, and a restart of all control processes within a second.
	leaseTime = 3 * time.Second
	// confirmInterval is the time between two confirmations that this process still leads. Leases count from them.
	confirmInterval = 200 * time.Millisecond
	// confirmTimeout bounds one confirmation.
	confirmTimeout = time.Second
	// longPollTimeout bounds how long a proxy's call waits for a change with up to 100 proxies; see syncInterval.
	longPollTimeout = 200 * time.Millisecond
	// tickInterval is the time between two checks for silent servers and expired leases.
	tickInterval = 100 * time.Millisecond
	// proposeTimeout bounds a proposal to the log. Callers give up after a second.
	proposeTimeout = 800 * time.Millisecond
	// allDeliveries is more than the number of calls of Deliver that can be in progress.
	allDeliveries = math.MaxInt64
)

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Confirm(ctx context.Context) (index uint64, err error)
	Leader() (name string, address netip.AddrPort, self bool)
	Changed() <-chan struct{}
	Status() consensus.Status
	// SetSeeds tells a process that belongs to no log yet which processes may keep one.
	SetSeeds(ctx context.Context, addresses []netip.AddrPort) error
}

// Order is an order to the platform to promote a backend server.
type Order struct {
	Group  string
	Server string
	Holder string
	Token  uint64
}

// Promotion is how the platform responded to an order.
type Promotion uint8

// The values of Promotion.
const (
	// Unanswered means that the order may be executed now, later or never.
	Unanswered Promotion = iota
	// Accepted means that the order is being executed.
	Accepted
	// Rejected means that a newer order was given, or that the server is not running.
	Rejected
)

// Options describe a Controller.
type Options struct {
	// Name is the name of this process in orders.
	Name  string
	Log   Log
	State *topology.State
	// Promote sends an order to the platform.
	Promote func(ctx context.Context, order Order) (Promotion, error)
	Dial    managedproxy.Dialer
	// Client sends calls to the leader.
	Client  *managedcontrol.Client
	Timer   timer.Service
	Logger  *slog.Logger
	Metrics *metrics.Metrics
	// AnnounceInterval is the interval at which backend servers announce themselves.
	AnnounceInterval time.Duration
	// BootTime is the clock for what must not outlast a suspension of the VM. Nil means timer.BootTimeNow.
	BootTime func() time.Time
}

// Controller implements managedcontrol.Service. It is safe for concurrent use.
type Controller struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	stop    timer.StopFunc
	ticks   chan struct{}
	// lateness measures the delays of this process, and stopLateness ends that.
	lateness     *lateness.Meter
	stopLateness timer.StopFunc

	compressed compressedConfigurations
	// deliveries admits calls of Deliver.
	deliveries *semaphore.Weighted

	mutex   sync.Mutex
	current *leadership
}

// New starts a controller.
func New(options Options) *Controller {
	if options.BootTime == nil {
		options.BootTime = timer.BootTimeNow
	}

	ctx, cancel := context.WithCancel(context.Background())
	created := &Controller{options: options, ctx: ctx, cancel: cancel, ticks: make(chan struct{}, 1), lateness: lateness.New(latenessInterval), deliveries: semaphore.NewWeighted(allDeliveries)}
	created.stopLateness = options.Timer.Every(latenessInterval, func(time.Time) { created.lateness.Tick(time.Now()) })
	created.stop = options.Timer.Every(tickInterval, func(time.Time) { created.requestTick() })

	created.running.Go(created.run)

	return created
}

// FinishDeliveries refuses further calls of Deliver and returns when those in progress have ended, or the context has.
func (c *Controller) FinishDeliveries(ctx context.Context) {
	if err := c.deliveries.Acquire(ctx, allDeliveries); err != nil {
		c.options.Logger.Warn("calls from other control processes are cut off by the end of the process", "error", err)
	}
}

// Close stops the controller. Calls of Sync that wait are answered.
func (c *Controller) Close() {
	c.stop()
	c.stopLateness()
	c.cancel()
	c.running.Wait()
}

// requestTick makes run check the view soon.
func (c *Controller) requestTick() {
	select {
	case c.ticks <- struct{}{}:
	default:
	}
}

// run follows the log: it begins and ends leaderships and refreshes the view.
func (c *Controller) run() {
	for {
		changed := c.options.Log.Changed()
		c.followLog()

		select {
		case <-c.ctx.Done():
			c.setLeadership(nil)

			return
		case <-changed:
		case <-c.ticks:
		}
	}
}

func (c *Controller) followLog() {
	_, _, self := c.options.Log.Leader()
	term := c.options.Log.Status().Term
	current := c.leadership()

	switch {
	case !self:
		c.setLeadership(nil)
	case current == nil || current.term != term:
		c.setLeadership(newLeadership(c, term))
	default:
		current.refreshView(time.Now())
	}
}

// setLeadership ends the current leadership and begins the next one, which may be nil.
func (c *Controller) setLeadership(next *leadership) {
	c.mutex.Lock()
	former := c.current
	c.current = next
	c.mutex.Unlock()

	if former != nil {
		former.end()
		c.options.Logger.Info("leadership of control ended", "term", former.term)
	}

	if next != nil {
		c.options.Logger.Info("leadership of control begins", "term", next.term)
		next.begin()
	}
}

// addConfiguration adds the current configuration to a reply: the difference to the one that the proxy has, if that is
// known and the proxy accepts it, or else all of it.
func (c *Controller) addConfiguration(reply *managedcontrol.SyncReply, request *managedcontrol.SyncRequest) error {
	latest := c.options.State.View().Configuration
	if latest.Number <= request.Configuration {
		return nil
	}

	if request.AcceptsDeltas {
		reply.ConfigurationDelta = c.options.State.ConfigurationDelta(request.Configuration)
	}

	from := request.Configuration

	if reply.ConfigurationDelta != nil {
		c.options.Metrics.Counter("configuration_deltas").Inc(1)
	} else {
		from, latest.Document = 0, nil
		reply.Configuration = &latest

		c.options.Metrics.Counter("configuration_wholes").Inc(1)
	}

	if !request.AcceptsCompressed {
		return nil
	}

	compressed, err := c.compressed.get(from, latest.Number, reply)
	if compressed != nil {
		reply.Configuration, reply.ConfigurationDelta, reply.Compressed = nil, nil, compressed
	}

	return err
}

// compressedConfigurations keeps the compressed forms of the newest configuration, because all proxies need the same at
// the same time. It is safe for concurrent use.
type compressedConfigurations struct {
	mutex  sync.Mutex
	number uint64
	// byBase are the compressed deltas by the number to which they apply, and the whole configuration at 0. An entry is
	// nil if it is too small to be compressed.
	byBase map[uint64][]byte
}

func (c *compressedConfigurations) get(from, number uint64, reply *managedcontrol.SyncReply) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.number != number || c.byBase == nil {
		c.number, c.byBase = number, make(map[uint64][]byte)
	}

	if known, found := c.byBase[from]; found {
		return known, nil
	}

	compressed, err := managedcontrol.Compress(reply.Configuration, reply.ConfigurationDelta)
	if err == nil {
		c.byBase[from] = compressed
	}

	return compressed, err //nolint:wrapcheck // It says what failed.
}

func (c *Controller) leadership() *leadership {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.current
}

// Sync implements managedcontrol.Service.
func (c *Controller) Sync(ctx context.Context, request *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, error) {
	if current := c.leadership(); current != nil {
		return current.sync(ctx, request)
	}

	return &managedcontrol.SyncReply{Leader: c.awaitLeader(ctx)}, nil
}

// awaitLeader returns the address of the leader. While none is known, it waits for one up to longPollTimeout, unless the
// controller is closed.
func (c *Controller) awaitLeader(ctx context.Context) netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()

	for {
		changed := c.options.Log.Changed()
		_, leader, self := c.options.Log.Leader()

		switch {
		case self && c.ctx.Err() != nil:
			return netip.AddrPort{} // This process still leads because the transfer failed.
		case leader.IsValid() || self:
			return leader
		}

		select {
		case <-changed:
		case <-c.ctx.Done():
			return netip.AddrPort{}
		case <-ctx.Done():
			return netip.AddrPort{}
		}
	}
}

// Deliver implements managedcontrol.Service.
func (c *Controller) Deliver(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	if !c.deliveries.TryAcquire(1) {
		return receiptFor(result.New(result.NotLeader, "this process is shutting down")), nil
	}

	defer c.deliveries.Release(1)

	current := c.leadership()
	if current == nil {
		return receiptFor(result.New(result.NotLeader, "this process does not lead")), nil
	}

	switch {
	case delivery.Configure != nil:
		return receiptFor(current.configure(ctx, *delivery.Configure)), nil
	case delivery.Announce != nil:
		return receiptFor(current.announce(ctx, *delivery.Announce)), nil
	case delivery.Withdraw != "":
		return receiptFor(current.withdraw(ctx, delivery.Withdraw)), nil
	case delivery.Read:
		latest, err := current.latestConfiguration(ctx)
		answer := receiptFor(err)
		answer.Configuration = latest

		return answer, nil
	default:
		return receiptFor(result.New(result.Protocol, "the delivery contains no call")), nil
	}
}

// Introduce implements managedcontrol.Service.
func (c *Controller) Introduce(ctx context.Context, introduction *managedcontrol.Introduction) (*managedcontrol.Introduction, error) {
	return &managedcontrol.Introduction{Control: c.MemberAddresses()}, c.options.Log.SetSeeds(ctx, introduction.Control)
}

// MemberAddresses returns the addresses of the members of the log that this process knows.
func (c *Controller) MemberAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, member := range c.options.Log.Status().Members {
		addresses = append(addresses, member.Address)
	}

	return addresses
}

// DeliverToLeader executes a call of a backend server or an operator, here if this process leads, else at the leader.
func (c *Controller) DeliverToLeader(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	if c.leadership() != nil {
		return c.Deliver(ctx, delivery)
	}

	_, leader, self := c.options.Log.Leader()

	switch {
	case self:
		return nil, result.New(result.NoQuorum, "this process was elected and has not begun to lead yet")
	case leader.IsValid():
		return c.options.Client.Deliver(ctx, leader, delivery)
	case !c.options.Client.Target().IsValid():
		return nil, result.New(result.NoQuorum, "no leader of control is known")
	}

	// A process that was replaced in the log receives nothing from it, but the other processes may know the leader.
	return c.options.Client.DeliverToLeader(ctx, delivery)
}

func receiptFor(err error) *managedcontrol.DeliverReply {
	if err == nil {
		return &managedcontrol.DeliverReply{}
	}

	code := result.CodeOf(err)
	if code == result.OK {
		// A call that failed without a code has an unknown outcome.
		code = result.NoQuorum
	}

	return &managedcontrol.DeliverReply{Code: code, Reason: err.Error()}
}

// propose proposes a command to the log and returns the answer of the state machine.
func (c *Controller) propose(ctx context.Context, command topology.Command) (topology.Answer, error) {
	encoded, err := command.Encode()
	if err != nil {
		return topology.Answer{}, err
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	reply, err := c.options.Log.Propose(ctx, encoded)
	if err != nil {
		return topology.Answer{}, err //nolint:wrapcheck // It carries a result code.
	}

	answer, err := topology.DecodeAnswer(reply)
	if err != nil {
		return answer, err
	}

	return answer, answer.Err()
}
