package controller

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"almondgrade/core/batch"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/io/backend"
	"almondgrade/io/control/controlpb"
)

// Log is the replicated log as the controller uses it.
type Log interface {
	// Propose appends a command and returns its answer once a quorum has synced it and it has been applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns once a quorum has confirmed, after the call, that this process leads, and everything that
	// was accepted before has been applied.
	Confirm(ctx context.Context) (uint64, error)
	// Leader returns the leader, if it is known, and whether it is this process.
	Leader() (name string, address netip.AddrPort, self bool)
	// Changed returns a channel that is closed when the leader or the applied state changes.
	Changed() <-chan struct{}
}

// LogMembers returns the status of each member of the control log.
type LogMembers func() []*controlpb.MemberStatus

// Options configure a Controller.
type Options struct {
	Name       string
	Log        Log
	State      *registry.State
	LogMembers LogMembers
	// InitialSettings is the configuration of a new system.
	InitialSettings settings.Running
	// Login returns the login for connections of control to backend servers.
	Login   func(settings.Running) backend.Login
	Dial    func(netip.AddrPort) (*grpc.ClientConn, error)
	Timer   timer.Service
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Controller serves the Control service. It is safe for concurrent use.
type Controller struct {
	controlpb.UnimplementedControlServer

	options      Options
	confirmCalls *batch.Rounds[uint64]
	leading      atomic.Pointer[leadership]
	updateCache  updateCache
	servers      groupServers
	peers        peers

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// leaderCheckInterval is the time between the leader's checks of leases, coordinators and groups.
const leaderCheckInterval = 250 * time.Millisecond

// New starts a Controller.
func New(options Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	controller := &Controller{
		options: options, confirmCalls: batch.New(options.Log.Confirm), cancel: cancel,
		peers: peers{dial: options.Dial, connections: make(map[netip.AddrPort]*grpc.ClientConn)},
	}
	controller.done.Go(func() { controller.followLeadership(ctx) })

	return controller
}

// Register adds the Control service to a gRPC server.
func (c *Controller) Register(server grpc.ServiceRegistrar) {
	controlpb.RegisterControlServer(server, c)
}

// Close ends the work of a leader and all streams.
func (c *Controller) Close() {
	c.cancel()
	c.done.Wait()
	c.peers.close()
}

// followLeadership starts and ends the work of a leader when this process gains or loses the leadership.
func (c *Controller) followLeadership(ctx context.Context) {
	var stopLeading func()

	defer func() {
		if stopLeading != nil {
			stopLeading()
		}
	}()

	for {
		changed := c.options.Log.Changed()
		_, _, self := c.options.Log.Leader()

		if self && stopLeading == nil {
			stopLeading = c.startLeading(ctx)
		}

		if !self && stopLeading != nil {
			stopLeading()
			stopLeading = nil
		}

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// startLeading starts a period of leadership and returns the function that ends it.
func (c *Controller) startLeading(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	lead := newLeadership(c, ctx)

	var work sync.WaitGroup

	work.Go(func() {
		if err := lead.initialise(ctx); err != nil {
			if ctx.Err() == nil {
				c.options.Logger.Warn("starting the work of the control leader failed", "error", err)
			}

			return
		}

		c.options.Logger.Info("control leadership started", "version", c.view().Version)
		c.leading.Store(lead)
		lead.run(ctx)
	})

	return func() {
		c.leading.Store(nil)
		cancel()
		work.Wait()
		c.options.Logger.Info("control leadership ended")
	}
}

func (c *Controller) view() *registry.View {
	return c.options.State.View()
}

// propose writes a command to the control log and returns its answer.
func (c *Controller) propose(ctx context.Context, command registry.Command) (registry.Answer, error) {
	encoded, err := command.Encode()
	if err != nil {
		return registry.Answer{}, err
	}

	reply, err := c.options.Log.Propose(ctx, encoded)
	if err != nil {
		return registry.Answer{}, err //nolint:wrapcheck // The error carries its code.
	}

	return registry.DecodeAnswer(reply)
}

// recordCommand proposes a command and logs the outcome with a message. It returns whether the command took effect.
func (c *Controller) recordCommand(ctx context.Context, message string, command registry.Command, attributes ...any) bool {
	answer, err := c.propose(ctx, command)
	if err == nil {
		err = answer.Err()
	}

	if err != nil {
		if ctx.Err() == nil {
			c.options.Logger.Warn(message+": recording failed", append(attributes, "error", err)...)
		}

		return false
	}

	c.options.Logger.Info(message, attributes...)

	return true
}

func (c *Controller) login() backend.Login {
	return c.options.Login(c.view().Running)
}

// incrementCounter adds one to the counter with a name.
func (c *Controller) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, c.options.Metrics).Inc(1)
}

// currentLeadership returns the leadership of this process, or an error that names the leader.
func (c *Controller) currentLeadership() (*leadership, error) {
	if lead := c.leading.Load(); lead != nil {
		return lead, nil
	}

	_, address, self := c.options.Log.Leader()
	if self || !address.IsValid() {
		return nil, result.New(result.NoQuorum, "no leader of control is known yet")
	}

	return nil, result.New(result.NotLeader, "%s", address)
}

func (c *Controller) confirmLeadership(ctx context.Context) error {
	_, err := c.confirmCalls.Do(ctx)

	return eris.Wrap(err, "confirm leadership")
}
