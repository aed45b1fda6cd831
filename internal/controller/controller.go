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
	// Leader returns the leader as far as it is known.
	Leader() (name string, address netip.AddrPort, self bool)
	// Changed returns a channel that is closed when the leader or the applied state changes.
	Changed() <-chan struct{}
}

// Members describes the members of the control log for status.
type Members func() []*controlpb.MemberStatus

// Options configure a Controller.
type Options struct {
	Name    string
	Log     Log
	State   *registry.State
	Members Members
	// First is the configuration that a new system starts with.
	First settings.Running
	// Login is how control logs in to backend servers.
	Login   func(settings.Running) backend.Login
	Dial    func(netip.AddrPort) (*grpc.ClientConn, error)
	Timer   timer.Service
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Controller serves the Control service. It is safe for concurrent use.
type Controller struct {
	controlpb.UnimplementedControlServer

	options Options
	confirm *batch.Rounds[uint64]
	leading atomic.Pointer[leadership]
	updates updates
	servers groupServers
	peers   peers

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// leadTick is the period of the leader's checks of leases, coordinators and groups.
const leadTick = 250 * time.Millisecond

// New starts a controller.
func New(options Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	controller := &Controller{
		options: options, confirm: batch.New(options.Log.Confirm), cancel: cancel,
		peers: peers{dial: options.Dial, connections: make(map[netip.AddrPort]*grpc.ClientConn)},
	}
	controller.done.Go(func() { controller.follow(ctx) })

	return controller
}

// Register adds the Control service to a gRPC server.
func (c *Controller) Register(server grpc.ServiceRegistrar) {
	controlpb.RegisterControlServer(server, c)
}

// Close stops acting as leader and ends all streams.
func (c *Controller) Close() {
	c.cancel()
	c.done.Wait()
	c.peers.close()
}

// follow starts and ends the work of a leader as the leadership changes.
func (c *Controller) follow(ctx context.Context) {
	var end func()

	defer func() {
		if end != nil {
			end()
		}
	}()

	for {
		changed := c.options.Log.Changed()
		_, _, self := c.options.Log.Leader()

		if self && end == nil {
			end = c.lead(ctx)
		}

		if !self && end != nil {
			end()
			end = nil
		}

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// lead begins a period of leadership and returns the function that ends it.
func (c *Controller) lead(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	lead := newLeadership(c, ctx)

	var work sync.WaitGroup

	work.Go(func() {
		if err := lead.begin(ctx); err != nil {
			if ctx.Err() == nil {
				c.options.Logger.Warn("leader could not begin", "error", err)
			}

			return
		}

		c.options.Logger.Info("control leader begins", "version", c.view().Version)
		c.leading.Store(lead)
		lead.run(ctx)
	})

	return func() {
		c.leading.Store(nil)
		cancel()
		work.Wait()
		c.options.Logger.Info("control leader ends")
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

// record proposes a command and logs its outcome. It returns whether the command took effect.
func (c *Controller) record(ctx context.Context, what string, command registry.Command, attributes ...any) bool {
	answer, err := c.propose(ctx, command)
	if err == nil {
		err = answer.Err()
	}

	if err != nil {
		if ctx.Err() == nil {
			c.options.Logger.Warn(what+" refused", append(attributes, "error", err)...)
		}

		return false
	}

	c.options.Logger.Info(what, attributes...)

	return true
}

func (c *Controller) login() backend.Login {
	return c.options.Login(c.view().Running)
}

// count adds one to the counter of a name.
func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter(name, c.options.Metrics).Inc(1)
}

// leader returns the leadership of this process, or an error that names the leader.
func (c *Controller) leader() (*leadership, error) {
	if lead := c.leading.Load(); lead != nil {
		return lead, nil
	}

	_, address, self := c.options.Log.Leader()
	if self || !address.IsValid() {
		return nil, result.New(result.NoQuorum, "no leader of control is known yet")
	}

	return nil, result.New(result.NotLeader, "%s", address)
}

func (c *Controller) confirmed(ctx context.Context) error {
	_, err := c.confirm.Do(ctx)

	return eris.Wrap(err, "confirm leadership")
}
