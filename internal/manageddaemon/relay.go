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
	"google.golang.org/grpc"

	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// relayInterval is the time between two questions for the leader.
const relayInterval = 500 * time.Millisecond

// Relay passes the calls of backend servers and operators on to the leader of control, and tells proxies who leads. It
// keeps no state: the processes with the log introduce themselves to it.
type Relay struct {
	options  ControlOptions
	client   *managedcontrol.Client
	listener net.Listener
	metrics  *metrics.Metrics

	mutex sync.Mutex
	// leader is the process that led when it was asked last, or invalid.
	leader netip.AddrPort
	// control are the processes with the log that are known, and turn counts the times that one was named without
	// knowing whether it leads.
	control []netip.AddrPort
	turn    int
}

func newRelay(options ControlOptions, listener net.Listener) *Relay {
	return &Relay{options: options, listener: listener, metrics: metrics.New(), client: managedcontrol.NewClient(managedcontrol.ClientOptions{
		Seeds: options.Seeds(), Dial: connect, Logger: options.Logger,
	})}
}

// Metrics returns the handler of the metrics address.
func (r *Relay) Metrics() http.Handler {
	return metrics.Handler(r.metrics.Registry)
}

// Run keeps track of the leader until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(messageLimit))
	managedcontrol.Register(server, r)

	ended := make(chan error, 1)

	go func() { ended <- server.Serve(r.listener) }()

	r.options.Logger.Info("relay starts", "address", r.options.Address)
	r.follow(ctx)
	server.Stop()
	r.client.Close()
	r.options.Logger.Info("relay ends")

	return eris.Wrap(<-ended, "serve other processes")
}

// follow asks for the leader again and again.
func (r *Relay) follow(ctx context.Context) {
	var version managedcontrol.Version

	for ctx.Err() == nil {
		// A relay needs no configuration, so it claims the highest one.
		reply, err := r.client.Sync(ctx, &managedcontrol.SyncRequest{AppliedVersion: version, Configuration: math.MaxUint64})
		if err != nil {
			r.lost(err)
			_ = timer.Sleep(ctx, syncPauseMost) // The loop looks at the context.

			continue
		}

		if reply.View != nil {
			version = reply.View.Version
		}

		r.found(r.client.Target(), reply.View)
		_ = timer.Sleep(ctx, relayInterval) // The loop looks at the context.
	}
}

func (r *Relay) found(leader netip.AddrPort, view *managedcontrol.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.leader != leader {
		r.options.Logger.Info("leader of control found", "leader", leader)
	}

	r.leader = leader

	if view != nil {
		r.control = view.Control
		r.client.SetAddresses(r.control)
	}
}

func (r *Relay) lost(err error) {
	seeds := r.options.Seeds()

	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.leader.IsValid() {
		r.options.Logger.Warn("control is not reached", "error", err)
	}

	r.leader = netip.AddrPort{}
	r.metrics.Counter("control_lost").Inc(1)
	r.client.SetAddresses(slices.Concat(r.control, seeds))
}

// Carry carries out a call at the leader.
func (r *Relay) Carry(ctx context.Context, delivery *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	r.metrics.Counter("calls").Inc(1)

	return r.client.DeliverToLeader(ctx, delivery)
}

// Sync implements managedcontrol.Service. It names the leader, or else each process with the log in turn.
func (r *Relay) Sync(context.Context, *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.leader.IsValid() || len(r.control) == 0 {
		return &managedcontrol.SyncReply{Leader: r.leader}, nil
	}

	r.turn++

	return &managedcontrol.SyncReply{Leader: r.control[r.turn%len(r.control)]}, nil
}

// Deliver implements managedcontrol.Service. Calls go to the leader without a further hop.
func (r *Relay) Deliver(context.Context, *managedcontrol.DeliverRequest) (*managedcontrol.DeliverReply, error) {
	return &managedcontrol.DeliverReply{Code: result.NotLeader, Reason: "this process keeps no log"}, nil
}

// Introduce implements managedcontrol.Service.
func (r *Relay) Introduce(_ context.Context, introduction *managedcontrol.Introduction) (*managedcontrol.Introduction, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	// Without a leader's view, the processes that introduced themselves last are the best knowledge.
	if !r.leader.IsValid() && len(introduction.Control) > 0 && !slices.Equal(r.control, introduction.Control) {
		r.options.Logger.Info("processes with the log introduced themselves", "control", introduction.Control)
		r.control = introduction.Control
		r.client.SetAddresses(r.control)
	}

	return &managedcontrol.Introduction{Control: r.control}, nil
}
