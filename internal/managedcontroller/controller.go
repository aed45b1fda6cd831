package managedcontroller

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/consensus"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

const (
	// leaseTime is the duration of a proxy's lease. It covers the death of the leader and the election of another one,
	// and all control processes that restart within a second.
	leaseTime = 3 * time.Second
	// confirmInterval is the time between two proofs that this process still leads, on which leases are based.
	confirmInterval = 200 * time.Millisecond
	// confirmTimeout bounds one proof.
	confirmTimeout = time.Second
	// holdTime is the time for which a call of a proxy waits for something new.
	holdTime = 200 * time.Millisecond
	// tickInterval is the time between two looks at silent servers and expired leases.
	tickInterval = 100 * time.Millisecond
	// proposeTimeout bounds a change of the log. Callers give up after a second.
	proposeTimeout = 800 * time.Millisecond
)

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Confirm(ctx context.Context) (index uint64, err error)
	Leader() (name string, address netip.AddrPort, self bool)
	Changed() <-chan struct{}
	Status() consensus.Status
	// Seek names processes that may keep the log to a process that keeps none yet.
	Seek(ctx context.Context, addresses []netip.AddrPort) error
}

// Order is the order to promote a backend server.
type Order struct {
	Group  string
	Server string
	Holder string
	Token  uint64
}

// Promotion is how the platform took an order.
type Promotion uint8

// The values of Promotion.
const (
	// Unanswered means that the order may be carried out now, later or never.
	Unanswered Promotion = iota
	// Accepted means that the order is being carried out.
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
	// Promote gives an order to the platform.
	Promote func(ctx context.Context, order Order) (Promotion, error)
	Dial    managedproxy.Dialer
	// Client carries calls to the leader.
	Client  *managedcontrol.Client
	Timer   timer.Service
	Logger  *slog.Logger
	Metrics *metrics.Metrics
	// Announce is the interval at which backend servers announce themselves.
	Announce time.Duration
}

// Controller implements managedcontrol.Service. It is safe for concurrent use.
type Controller struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	stop    timer.Stop
	ticks   chan struct{}

	mutex   sync.Mutex
	leading *leadership
}

// New starts a controller.
func New(options Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	created := &Controller{options: options, ctx: ctx, cancel: cancel, ticks: make(chan struct{}, 1)}
	created.stop = options.Timer.Every(tickInterval, func(time.Time) {
		select {
		case created.ticks <- struct{}{}:
		default:
		}
	})

	created.running.Go(created.run)

	return created
}

// Close stops the controller.
func (c *Controller) Close() {
	c.stop()
	c.cancel()
	c.running.Wait()
}

// run follows the log: it begins and ends leaderships and renews the view.
func (c *Controller) run() {
	for {
		changed := c.options.Log.Changed()
		c.follow()

		select {
		case <-c.ctx.Done():
			c.lead(nil)

			return
		case <-changed:
		case <-c.ticks:
		}
	}
}

func (c *Controller) follow() {
	_, _, self := c.options.Log.Leader()
	term := c.options.Log.Status().Term
	present := c.leadership()

	switch {
	case !self:
		c.lead(nil)
	case present == nil || present.term != term:
		c.lead(newLeadership(c, term))
	default:
		present.refresh(time.Now())
	}
}

// lead ends the present leadership and begins the next one, if there is one.
func (c *Controller) lead(next *leadership) {
	c.mutex.Lock()
	former := c.leading
	c.leading = next
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

func (c *Controller) leadership() *leadership {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.leading
}

// Sync implements managedcontrol.Service.
func (c *Controller) Sync(ctx context.Context, request *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, error) {
	if present := c.leadership(); present != nil {
		return present.sync(ctx, request)
	}

	return &managedcontrol.SyncReply{Leader: c.leader(ctx)}, nil
}

// leader returns the address of the leader. While none is known it waits a moment for one.
func (c *Controller) leader(ctx context.Context) netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()

	for {
		changed := c.options.Log.Changed()
		if _, leader, self := c.options.Log.Leader(); leader.IsValid() || self {
			return leader
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return netip.AddrPort{}
		}
	}
}

// Deliver implements managedcontrol.Service.
func (c *Controller) Deliver(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	present := c.leadership()
	if present == nil {
		return receipt(result.New(result.NotLeader, "this process does not lead")), nil
	}

	switch {
	case delivery.Configure != nil:
		return receipt(present.configure(ctx, *delivery.Configure)), nil
	case delivery.Announce != nil:
		return receipt(present.announce(ctx, *delivery.Announce)), nil
	case delivery.Withdraw != "":
		return receipt(present.withdraw(ctx, delivery.Withdraw)), nil
	case delivery.Read:
		latest, err := present.latest(ctx)
		answer := receipt(err)
		answer.Configuration = latest

		return answer, nil
	default:
		return receipt(result.New(result.Protocol, "the call is empty")), nil
	}
}

// Introduce implements managedcontrol.Service.
func (c *Controller) Introduce(ctx context.Context, introduction *managedcontrol.Introduction) (*managedcontrol.Introduction, error) {
	return &managedcontrol.Introduction{Control: c.Control()}, c.options.Log.Seek(ctx, introduction.Control)
}

// Control returns the addresses of the processes with the log, as far as this one knows.
func (c *Controller) Control() []netip.AddrPort {
	var control []netip.AddrPort
	for _, member := range c.options.Log.Status().Members {
		control = append(control, member.Address)
	}

	return control
}

// Carry carries out a call of a backend server or an operator, here or at the leader.
func (c *Controller) Carry(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	if c.leadership() != nil {
		return c.Deliver(ctx, delivery)
	}

	_, leader, self := c.options.Log.Leader()

	switch {
	case self:
		return nil, result.New(result.NoQuorum, "the leadership of this process begins")
	case leader.IsValid():
		return c.options.Client.Deliver(ctx, leader, delivery)
	case !c.options.Client.Target().IsValid():
		return nil, result.New(result.NoQuorum, "no leader of control is known")
	}

	// The log tells nothing to a process that was replaced in it, but the other processes may know the leader.
	return c.options.Client.DeliverToLeader(ctx, delivery)
}

func receipt(err error) *managedcontrol.DeliverReply {
	if err == nil {
		return &managedcontrol.DeliverReply{}
	}

	code := result.CodeOf(err)
	if code == result.OK {
		// The outcome of a call that failed without a code is unknown.
		code = result.NoQuorum
	}

	return &managedcontrol.DeliverReply{Code: code, Reason: err.Error()}
}

// propose makes a change of the log and returns the state's answer.
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
