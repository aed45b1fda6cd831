package manageddaemon

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/core/viewlog"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// leaderPollInterval is the time between two queries for the leader.
const leaderPollInterval = 500 * time.Millisecond

// Relay passes the calls of backend servers and operators on to the leader of control, and tells proxies which process
// leads. It stores nothing: the members of the log introduce themselves to it.
type Relay struct {
	options  ControlOptions
	client   *managedcontrol.Client
	listener net.Listener
	metrics  *metrics.Metrics

	mutex sync.Mutex
	// leader is the leader according to the last query, or invalid if the query failed.
	leader netip.AddrPort
	// logMembers are the known members of the log, and redirects counts the replies that named one of them in turn
	// because the leader was unknown.
	logMembers []netip.AddrPort
	redirects  int
}

func newRelay(options ControlOptions, listener net.Listener) *Relay {
	return &Relay{options: options, listener: listener, metrics: metrics.New(), client: newClient(options.Seeds(), options.Logger)}
}

// Metrics returns the handler of the metrics address.
func (r *Relay) Metrics() http.Handler {
	return metrics.Handler(r.metrics.Registry)
}

// Run keeps track of the leader until the context ends and the calls in progress are answered.
func (r *Relay) Run(ctx context.Context, finishCalls func(ctx context.Context)) error {
	server := newServer()
	managedcontrol.Register(server, r)

	ended := make(chan error, 1)

	go func() { ended <- server.Serve(r.listener) }()

	r.options.Logger.Info("relay starts", "address", r.options.Address)

	trackCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	var tracker sync.WaitGroup

	tracker.Go(func() { r.trackLeader(trackCtx) })

	<-ctx.Done()

	stopCtx, cancel := context.WithTimeout(context.Background(), shareOf(r.options.ShutdownGrace, callShare))
	defer cancel()

	finishCalls(stopCtx)
	stop()
	tracker.Wait()
	stopServer(server, r.options.ShutdownGrace)
	r.client.Close()
	r.options.Logger.Info("relay ends")

	return eris.Wrap(<-ended, "serve other processes")
}

// trackLeader queries for the leader every leaderPollInterval.
func (r *Relay) trackLeader(ctx context.Context) {
	var version managedcontrol.Version

	for ctx.Err() == nil {
		// A relay needs no configuration, so it claims to have the highest number.
		reply, err := r.client.Sync(ctx, &managedcontrol.SyncRequest{
			AppliedVersion: version, Configuration: math.MaxUint64, ViewPosition: &viewlog.Position{},
		})
		if err != nil {
			r.recordFailure(err)
			_ = timer.Sleep(ctx, syncRetryMaxDelay) // The loop checks the context.

			continue
		}

		if reply.View != nil {
			version = reply.View.Version
		}

		r.recordLeader(r.client.Target(), reply.View)
		_ = timer.Sleep(ctx, leaderPollInterval) // The loop checks the context.
	}
}

func (r *Relay) recordLeader(leader netip.AddrPort, view *managedcontrol.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.leader != leader {
		r.options.Logger.Info("leader of control found", "leader", leader)
	}

	r.leader = leader

	if view != nil {
		r.logMembers = view.Control
		r.client.SetAddresses(r.logMembers)
	}
}

func (r *Relay) recordFailure(err error) {
	seeds := r.options.Seeds()

	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.leader.IsValid() {
		r.options.Logger.Warn("control is unreachable", "error", err)
	}

	r.leader = netip.AddrPort{}
	r.metrics.Counter("control_lost").Inc(1)
	r.client.SetAddresses(slices.Concat(r.logMembers, seeds))
}

// DeliverToLeader executes a call at the leader.
func (r *Relay) DeliverToLeader(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	r.metrics.Counter("calls").Inc(1)

	return r.client.DeliverToLeader(ctx, delivery)
}

// LeaderVM implements ControlProcess. The VM of a relay may have a slow link, over which a configuration of thousands of
// pools would pass twice.
func (r *Relay) LeaderVM() (netip.Addr, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.leader.Addr(), r.leader.IsValid()
}

// Sync implements managedcontrol.Service. It names the leader or, if none is known, each member of the log in turn.
func (r *Relay) Sync(context.Context, *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.leader.IsValid() || len(r.logMembers) == 0 {
		return &managedcontrol.SyncReply{Leader: r.leader}, nil
	}

	r.redirects++

	return &managedcontrol.SyncReply{Leader: r.logMembers[r.redirects%len(r.logMembers)]}, nil
}

// Deliver implements managedcontrol.Service. It refuses the call: callers must send it to the leader themselves.
func (r *Relay) Deliver(context.Context, *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	return &managedcontrol.DeliverReply{Code: result.NotLeader, Reason: "this process keeps no log"}, nil
}

// Introduce implements managedcontrol.Service.
func (r *Relay) Introduce(_ context.Context, introduction *managedcontrol.Introduction) (*managedcontrol.Introduction, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	// Without a leader, the members that were introduced last are the best information.
	if !r.leader.IsValid() && len(introduction.Control) > 0 && !slices.Equal(r.logMembers, introduction.Control) {
		r.options.Logger.Info("members of the log introduced themselves", "control", introduction.Control)
		r.logMembers = introduction.Control
		r.client.SetAddresses(r.logMembers)
	}

	return &managedcontrol.Introduction{Control: r.logMembers}, nil
}
