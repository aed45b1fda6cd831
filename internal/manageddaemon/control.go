package manageddaemon

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/consensus"
	"almondgrade/internal/managedcontroller"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/dial"
	"almondgrade/io/managedcontrol"
)

const (
	// snapshotEvery is the number of log entries after which the log is compacted. An entry may hold a configuration
	// of 0.2 MB, and the data folder 64 MB.
	snapshotEvery = 64
	// connectTimeout bounds one attempt to connect to another process. Data centres are 2 ms apart.
	connectTimeout = 300 * time.Millisecond
	// heartbeat is the interval of the log's heartbeats and election the shortest time without a leader before an
	// election: nothing is served before the first one after a restart of all processes. A sync of a slow disk takes
	// 50 ms.
	heartbeat = 60 * time.Millisecond
	election  = 420 * time.Millisecond
	// reconnectLeast and reconnectMost bound the pause between two attempts to connect.
	reconnectLeast = 20 * time.Millisecond
	reconnectMost  = 300 * time.Millisecond
	// votersMost is the number of members up to which the log grows. With 6 or 7 it bears the loss of two at any time;
	// each further one adds a copy of every change.
	votersMost = 7
	// messageLimit bounds one message in bytes. A configuration of several hundred pools takes about 0.2 MB.
	messageLimit = 16 << 20
	// transferTimeout bounds the hand-over of the leadership at a planned stop.
	transferTimeout = time.Second
	// introduceInterval is the time between two calls to seeds without a log. After a restart of all processes, the
	// callers of such a seed wait for the first one.
	introduceInterval = 500 * time.Millisecond
)

// ControlOptions describe a control process.
type ControlOptions struct {
	Name string
	// Address is where other processes of the system reach this one.
	Address netip.AddrPort
	// Seeds returns the addresses of control processes, which may change. At the first start they are those that form
	// the group.
	Seeds func() []netip.AddrPort
	First bool
	// Folder is the data folder. A process without one keeps no log and is a Relay.
	Folder   string
	Dial     managedproxy.Dialer
	Promote  func(ctx context.Context, order managedcontroller.Order) (managedcontroller.Promotion, error)
	Announce time.Duration
	// Memory is the size in bytes above which the process is ended.
	Memory int64
	Logger *slog.Logger
}

// ControlProcess is a Control or a Relay.
type ControlProcess interface {
	// Run serves until the context ends.
	Run(ctx context.Context) error
	// Metrics returns the handler of the metrics address.
	Metrics() http.Handler
	// Carry carries out a call of a backend server or an operator at the leader.
	Carry(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error)
}

// Control is a control process that keeps the log.
type Control struct {
	options    ControlOptions
	clock      *timer.Clock
	group      *consensus.Group
	client     *managedcontrol.Client
	controller *managedcontroller.Controller
	listener   net.Listener
	metrics    *metrics.Metrics
}

// NewControl starts a control process.
func NewControl(options ControlOptions) (ControlProcess, error) {
	limitMemory(options.Memory)

	listener, err := net.Listen("tcp", options.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for other processes")
	}

	if options.Folder == "" {
		return newRelay(options, listener), nil
	}

	control, err := newControl(options, listener)
	if err != nil {
		_ = listener.Close() // The failure of the log is what counts.

		return nil, err
	}

	return control, nil
}

// newControl starts a member of the log. Members are named by their address, because nothing else of a seed is known.
func newControl(options ControlOptions, listener net.Listener) (*Control, error) {
	var initial []consensus.Member
	for _, seed := range options.Seeds() {
		initial = append(initial, consensus.Member{Name: seed.Addr().String(), Address: seed})
	}

	clock := timer.New()
	state := topology.NewState()

	group, err := consensus.New(consensus.Options{
		Self:    consensus.Member{Name: options.Address.Addr().String(), Address: options.Address},
		Initial: initial, Join: !options.First, Replace: true, Grow: votersMost, Folder: options.Folder, Machine: state, Dial: connect,
		Timer: clock, Logger: options.Logger, SnapshotEvery: snapshotEvery, Heartbeat: heartbeat,
		Election: election,
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // It says what is wrong with the log.
	}

	counts := metrics.New()
	client := managedcontrol.NewClient(managedcontrol.ClientOptions{Dial: connect, Logger: options.Logger})

	return &Control{
		options: options, clock: clock, group: group, client: client, listener: listener,
		metrics: counts,
		controller: managedcontroller.New(managedcontroller.Options{
			Name: options.Name, Log: group, State: state, Promote: options.Promote, Dial: options.Dial, Client: client,
			Timer: clock, Logger: options.Logger, Metrics: counts, Announce: options.Announce,
		}),
	}, nil
}

// Carry carries out a call here or at the leader.
func (c *Control) Carry(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	return c.controller.Carry(ctx, delivery) //nolint:wrapcheck // It carries a result code.
}

// Metrics returns the handler of the metrics address.
func (c *Control) Metrics() http.Handler {
	return metrics.Handler(c.metrics.Registry)
}

// Run serves until the context ends or the log fails. At the end it hands the leadership over.
func (c *Control) Run(ctx context.Context) error {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(messageLimit))
	c.group.Register(server)
	managedcontrol.Register(server, c.controller)

	ended := make(chan error, 1)

	go func() { ended <- server.Serve(c.listener) }()

	c.options.Logger.Info("control process starts", "address", c.options.Address, "seeds", c.options.Seeds(), "first",
		c.options.First)

	introducing, stop := context.WithCancel(ctx)

	var introduced sync.WaitGroup

	introduced.Go(func() { c.introduce(introducing) })

	var failure error

	select {
	case <-ctx.Done():
		c.handOver()
	case err := <-c.group.Failed():
		failure = eris.Wrap(err, "control log failed")
	case err := <-ended:
		failure = eris.Wrap(err, "serve other processes")
	}

	stop()
	introduced.Wait()
	c.controller.Close()
	server.Stop()
	c.client.Close()

	if err := c.group.Close(); err != nil && failure == nil {
		failure = eris.Wrap(err, "close control log")
	}

	c.clock.Close()
	c.options.Logger.Info("control process ends", "error", failure)

	return failure
}

// introduce names the processes with the log to the seeds that keep none, and asks them for the log while this process
// has none.
func (c *Control) introduce(ctx context.Context) {
	for timer.Sleep(ctx, introduceInterval) == nil {
		known := c.controller.Control()

		var asked errgroup.Group

		for _, seed := range c.options.Seeds() {
			if seed == c.options.Address || slices.Contains(known, seed) {
				continue
			}

			asked.Go(func() error {
				answer, err := c.client.Introduce(ctx, seed, known)
				if err != nil {
					c.options.Logger.Debug("seed is not reached", "seed", seed, "error", err)

					return nil
				}

				return c.group.Seek(ctx, answer)
			})
		}

		if err := asked.Wait(); err != nil && ctx.Err() == nil {
			c.options.Logger.Warn("processes with the log can't be asked to admit this one", "error", err)
		}

		if _, leader, self := c.group.Leader(); !leader.IsValid() && !self {
			c.seekLeader(ctx, known)
		}
	}
}

// seekLeader asks the other processes who leads. A process that was replaced in the log while it was away hears nothing
// from the log.
func (c *Control) seekLeader(ctx context.Context, known []netip.AddrPort) {
	c.client.SetAddresses(slices.Concat(c.options.Seeds(), known))

	if _, err := c.client.Sync(ctx, &managedcontrol.SyncRequest{Configuration: math.MaxUint64}); err != nil {
		c.options.Logger.Debug("leader of control is not found", "error", err)
	}
}

func (c *Control) handOver() {
	if _, _, self := c.group.Leader(); !self {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()

	if err := c.group.Transfer(ctx); err != nil {
		c.options.Logger.Info("leadership could not be handed over", "error", err)
	}
}

// connect connects to another process of the system.
func connect(address netip.AddrPort) (*grpc.ClientConn, error) {
	return dial.NewConn(address, dial.Backoff{AttemptTimeout: connectTimeout, MinDelay: reconnectLeast, MaxDelay: reconnectMost},
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageLimit)),
	)
}
