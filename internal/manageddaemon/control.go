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
	"google.golang.org/grpc/keepalive"

	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
	"almondgrade/internal/consensus"
	"almondgrade/internal/managedcontroller"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/dial"
	"almondgrade/io/managedcontrol"
)

const (
	// snapshotEntries is the number of log entries after which the log is compacted. An entry may hold a configuration
	// of 0.2 MB, and the data folder 64 MB.
	snapshotEntries = 64
	// connectTimeout bounds one attempt to connect to another process. Data centres are 2 ms apart.
	connectTimeout = 300 * time.Millisecond
	// heartbeatInterval is the interval of the log's heartbeats, and electionTimeout the shortest time without a leader
	// before an election. After a restart of all processes, nothing is served before the first election. A sync of a
	// slow disk takes 50 ms.
	heartbeatInterval = 60 * time.Millisecond
	electionTimeout   = 420 * time.Millisecond
	// reconnectMinDelay and reconnectMaxDelay bound the delay between two attempts to connect.
	reconnectMinDelay = 20 * time.Millisecond
	reconnectMaxDelay = 300 * time.Millisecond
	// maxMembers is the number of members up to which the log grows. With 6 or 7 it tolerates the loss of two at any
	// time; each further member adds a copy of every change.
	maxMembers = 7
	// maxMessageBytes bounds one gRPC message. A configuration of several hundred pools takes about 0.2 MB.
	maxMessageBytes = 16 << 20
	// transferTimeout bounds the transfer of the leadership at a planned stop, and transferShare is the fraction of the
	// shutdown grace that it may take.
	transferTimeout = time.Second
	transferShare   = 1.0 / 6
	// leaveTimeout bounds the replacement of this process in the log at a planned stop, if another one waits to join, and leaveShare is
	// the fraction of the shutdown grace that it may take. A replacement takes about five heartbeats.
	leaveTimeout = time.Second
	leaveShare   = 1.0 / 6
	// callShare is the fraction of the shutdown grace after which calls in progress are cut off. A call takes up to
	// managedcontrol.DeliverTimeout once it has arrived.
	callShare = 0.5
	// closeTimeout bounds the close of connections from other processes once all calls are answered, and closeShare is the
	// fraction of the shutdown grace that it may take. A process that is frozen does not close its own.
	closeTimeout = 500 * time.Millisecond
	closeShare   = 1.0 / 6
	// introduceInterval is the time between two calls to seeds that keep no log. After a restart of all processes, the
	// callers of such a seed wait for its first call.
	introduceInterval = 500 * time.Millisecond
	// idleConnectionTimeout is the time after which a control process closes a connection without calls. Proxies that
	// look for the leader call each control process once.
	idleConnectionTimeout = 30 * time.Second
	// handshakeTimeout bounds the opening of a connection. A caller gives up after connectTimeout, so that others have
	// long been closed.
	handshakeTimeout = 5 * time.Second
	// keepaliveInterval and keepaliveTimeout bound the time for which the connection of a VM that was lost stays open.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
)

// ControlOptions describe a ControlProcess.
type ControlOptions struct {
	Name string
	// Address is where other processes of the system reach this one.
	Address netip.AddrPort
	// Seeds returns the addresses of control processes, which may change. At the first start, these processes form the
	// group of the log.
	Seeds func() []netip.AddrPort
	// FormGroup lets the process form a new group with the seeds. Otherwise it only joins one.
	FormGroup bool
	// Folder is the data folder. A process without one is a Relay, which keeps no log.
	Folder           string
	Dial             managedproxy.Dialer
	Promote          func(ctx context.Context, order managedcontroller.Order) (managedcontroller.Promotion, error)
	AnnounceInterval time.Duration
	// MemoryLimit is the size in bytes above which the process is killed.
	MemoryLimit int64
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	Logger        *slog.Logger
}

// ControlProcess is a Control or a Relay.
type ControlProcess interface {
	// Run serves until the context ends. It then calls finishCalls, which has to return once no call of DeliverToLeader is
	// in progress, or when its context ends.
	Run(ctx context.Context, finishCalls func(ctx context.Context)) error
	// Metrics returns the handler of the metrics address.
	Metrics() http.Handler
	// DeliverToLeader executes a call of a backend server or an operator at the leader.
	DeliverToLeader(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error)
	// LeaderVM returns the IP address of the VM that callers should send large calls to themselves. It is false if this
	// process delivers them as well, or knows no leader.
	LeaderVM() (netip.Addr, bool)
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
	setMemoryLimit(options.MemoryLimit)

	listener, err := net.Listen("tcp", options.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for other processes")
	}

	if options.Folder == "" {
		return newRelay(options, listener), nil
	}

	control, err := newControl(options, listener)
	if err != nil {
		_ = listener.Close() // The error of the log is returned.

		return nil, err
	}

	return control, nil
}

// newControl starts a member of the log. Members are named by their address, because nothing else is known of a seed.
func newControl(options ControlOptions, listener net.Listener) (*Control, error) {
	var initial []consensus.Member
	for _, seed := range options.Seeds() {
		initial = append(initial, consensus.Member{Name: seed.Addr().String(), Address: seed})
	}

	clock := timer.New()
	state := topology.NewState()

	group, err := consensus.New(consensus.Options{
		Self:    consensus.Member{Name: options.Address.Addr().String(), Address: options.Address},
		Initial: initial, JoinOnly: !options.FormGroup, AutoReplace: true, AutoGrowTo: maxMembers, Folder: options.Folder, Machine: state, Dial: dialProcess,
		Timer: clock, Logger: options.Logger, SnapshotEntries: snapshotEntries, HeartbeatInterval: heartbeatInterval,
		ElectionTimeout: electionTimeout,
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // It says what is wrong with the log.
	}

	counters := metrics.New()
	client := newClient(nil, options.Logger)

	return &Control{
		options: options, clock: clock, group: group, client: client, listener: listener,
		metrics: counters,
		controller: managedcontroller.New(managedcontroller.Options{
			Name: options.Name, Log: group, State: state, Promote: options.Promote, Dial: options.Dial, Client: client,
			Timer: clock, Logger: options.Logger, Metrics: counters, AnnounceInterval: options.AnnounceInterval,
		}),
	}, nil
}

// DeliverToLeader executes a call, here if this process leads, else at the leader.
func (c *Control) DeliverToLeader(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	return c.controller.DeliverToLeader(ctx, delivery) //nolint:wrapcheck // It carries a result code.
}

// LeaderVM implements ControlProcess. A process that keeps the log has a link that is fast enough to pass calls on.
func (c *Control) LeaderVM() (netip.Addr, bool) {
	return netip.Addr{}, false
}

// Metrics returns the handler of the metrics address.
func (c *Control) Metrics() http.Handler {
	return metrics.Handler(c.metrics.Registry)
}

// Run serves until the context ends or the log fails. When the context ends, it transfers the leadership, answers the
// calls in progress and lets a process that waits to join take its place in the log.
func (c *Control) Run(ctx context.Context, finishCalls func(ctx context.Context)) error {
	server := newServer()
	c.group.Register(server)
	managedcontrol.Register(server, c.controller)

	ended := make(chan error, 1)

	go func() { ended <- server.Serve(c.listener) }()

	c.options.Logger.Info("control process starts", "address", c.options.Address, "seeds", c.options.Seeds(), "first",
		c.options.FormGroup)

	introduceCtx, stop := context.WithCancel(ctx)

	var introducer sync.WaitGroup

	introducer.Go(func() { c.introduceToSeeds(introduceCtx) })

	var failure error

	select {
	case <-ctx.Done():
	case err := <-c.group.Failed():
		failure = eris.Wrap(err, "control log failed")
	case err := <-ended:
		failure = eris.Wrap(err, "serve other processes")
	}

	stopCtx, cancel := context.WithTimeout(context.Background(), shareOf(c.options.ShutdownGrace, callShare))
	defer cancel()

	if failure == nil {
		c.transferLeadership(stopCtx)
	}

	stop()
	introducer.Wait()
	finishCalls(stopCtx)

	// Another process that stops may have handed it over to this one meanwhile.
	if failure == nil {
		c.transferLeadership(stopCtx)
		c.leaveLog()
	}

	c.controller.FinishDeliveries(stopCtx)
	c.controller.Close()

	// The streams of the other members end with the group.
	err := c.group.Close()
	stopServer(server, c.options.ShutdownGrace)
	c.client.Close()

	if err != nil && failure == nil {
		failure = eris.Wrap(err, "close control log")
	}

	c.clock.Close()
	c.options.Logger.Info("control process ends", "error", failure)

	return failure
}

// shareOf returns a fraction of a time.
func shareOf(whole time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(whole))
}

// stopServer closes the connections of a server whose calls have been answered, once the answers are sent.
func stopServer(server *grpc.Server, grace time.Duration) {
	stopped := make(chan struct{})

	go func() {
		defer close(stopped)

		server.GracefulStop()
	}()

	ctx, cancel := context.WithTimeout(context.Background(), min(closeTimeout, shareOf(grace, closeShare)))
	defer cancel()

	select {
	case <-stopped:
	case <-ctx.Done():
		server.Stop()
		<-stopped
	}
}

// newServer returns the gRPC server of a control process.
func newServer() *grpc.Server {
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: idleConnectionTimeout, Time: keepaliveInterval, Timeout: keepaliveTimeout,
		}),
	)
}

// introduceToSeeds tells the seeds that keep no log which processes are its members. The group gets the members that
// these seeds know, and contacts them while this process belongs to no group.
func (c *Control) introduceToSeeds(ctx context.Context) {
	for timer.Sleep(ctx, introduceInterval) == nil {
		known := c.controller.MemberAddresses()

		var introductions errgroup.Group

		for _, seed := range c.options.Seeds() {
			if seed == c.options.Address || slices.Contains(known, seed) {
				continue
			}

			introductions.Go(func() error {
				answer, err := c.client.Introduce(ctx, seed, known)
				if err != nil {
					c.options.Logger.Debug("seed is unreachable", "seed", seed, "error", err)

					return nil
				}

				return c.group.SetSeeds(ctx, answer)
			})
		}

		if err := introductions.Wait(); err != nil && ctx.Err() == nil {
			c.options.Logger.Warn("members of the log could not be asked to admit this process", "error", err)
		}

		if _, leader, self := c.group.Leader(); !leader.IsValid() && !self {
			c.findLeader(ctx, known)
		}
	}
}

// findLeader asks the other processes which one leads. A process that was replaced in the log while it was down receives
// nothing from the log.
func (c *Control) findLeader(ctx context.Context, known []netip.AddrPort) {
	c.client.SetAddresses(slices.Concat(c.options.Seeds(), known))

	_, err := c.client.Sync(ctx, &managedcontrol.SyncRequest{
		Configuration: math.MaxUint64, ViewPosition: &viewlog.Position{},
	})
	if err != nil {
		c.options.Logger.Debug("leader of control not found", "error", err)
	}
}

func (c *Control) transferLeadership(ctx context.Context) {
	if _, _, self := c.group.Leader(); !self {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, min(transferTimeout, shareOf(c.options.ShutdownGrace, transferShare)))
	defer cancel()

	if err := c.group.Transfer(ctx); err != nil {
		c.options.Logger.Info("leadership could not be transferred", "error", err)
	}
}

// leaveLog lets a process that waits to join take the place of this one in the log. Calls have been answered by then: a process that
// was replaced receives nothing from the log.
func (c *Control) leaveLog() {
	ctx, cancel := context.WithTimeout(context.Background(), min(leaveTimeout, shareOf(c.options.ShutdownGrace, leaveShare)))
	defer cancel()

	if err := c.group.Leave(ctx); err != nil {
		c.options.Logger.Info("no other process took the place of this one in the log", "error", err)
	}
}

// dialProcess returns a connection to another process of the system.
func dialProcess(address netip.AddrPort) (*grpc.ClientConn, error) {
	return dialWith(address)
}

func dialWith(address netip.AddrPort, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	return dial.NewConn(address, dial.Backoff{AttemptTimeout: connectTimeout, MinDelay: reconnectMinDelay, MaxDelay: reconnectMaxDelay},
		append(options, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))...,
	)
}

// newClient returns a client of the control processes.
func newClient(seeds []netip.AddrPort, logger *slog.Logger) *managedcontrol.Client {
	tracker := dial.NewTracker()

	return managedcontrol.NewClient(managedcontrol.ClientOptions{
		Seeds: seeds, Logger: logger, Acknowledged: tracker.Acknowledged,
		Dial: func(to netip.AddrPort) (*grpc.ClientConn, error) { return dialWith(to, tracker.Option(to)) },
	})
}
