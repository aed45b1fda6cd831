package manageddaemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/drain"
	"almondgrade/core/quota"
	"almondgrade/core/timer"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
	"almondgrade/io/managedpeer"
)

const (
	// syncRetryDelay is the delay after a failed call to control. It doubles up to syncRetryMaxDelay.
	syncRetryDelay    = 20 * time.Millisecond
	syncRetryMaxDelay = 100 * time.Millisecond
	// retrySpreadDivisor sets the further random delay after a failed call: the interval of calls beyond its shortest
	// length, divided by it. There is none with up to 100 proxies, up to 0.2 s with 300, and 0.4 s with 500 or more, so that
	// a proxy still renews its lease. Otherwise the proxies that have lost a leader come to the next one all at once.
	retrySpreadDivisor = 2
	// loadBalancerDelay is the time after which a proxy that reports not ready gets no new callers: two probes of the
	// load balancer, a second each, and some delay.
	loadBalancerDelay = 2300 * time.Millisecond
	// drainInterval is the time between two looks at what is left to do while a proxy shuts down.
	drainInterval = 50 * time.Millisecond
	// lastAnswersTimeout bounds the sending of answers when there was no time for it before.
	lastAnswersTimeout = 200 * time.Millisecond
	// gcPercent makes the garbage collector keep the heap small, and softMemoryShare is the fraction of the memory limit
	// above which the collector runs more often.
	gcPercent       = 50
	softMemoryShare = 0.6
)

// ProxyOptions describe a Proxy.
type ProxyOptions struct {
	Name   string
	Centre string
	// Address is where the proxy accepts statements from other proxies.
	Address netip.AddrPort
	// ControlAddresses returns the addresses of control processes to begin with. It is called again while none is
	// reachable.
	ControlAddresses func() []netip.AddrPort
	Dial             managedproxy.Dialer
	// MemoryLimit is the size in bytes above which the process is killed.
	MemoryLimit int64
	// ShutdownGrace is the time within which the process must end after the context has ended.
	ShutdownGrace time.Duration
	// Bounds say how far the operations of a customer may exceed its limit.
	Bounds quota.Bounds
	Logger *slog.Logger
}

// Proxy is a proxy process.
type Proxy struct {
	options  ProxyOptions
	clock    *timer.Clock
	gateway  *managedproxy.Gateway
	metrics  *metrics.Metrics
	listener net.Listener
	peers    *managedpeer.Client
}

// NewProxy returns a proxy that is not ready yet.
func NewProxy(options ProxyOptions) (*Proxy, error) {
	setMemoryLimit(options.MemoryLimit)

	listener, err := net.Listen("tcp", options.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for other proxies")
	}

	created := &Proxy{
		options: options, clock: timer.New(), metrics: metrics.New(), listener: listener,
		peers: managedpeer.NewClient(options.Logger),
	}
	created.gateway = managedproxy.New(managedproxy.Options{
		Name: options.Name, Dial: options.Dial, Forward: created.forward, Centre: options.Centre, Logger: options.Logger,
		Metrics: created.metrics, Timer: created.clock, Bounds: options.Bounds,
	})

	return created, nil
}

// forward sends a statement to another proxy.
func (p *Proxy) forward(
	ctx context.Context, to netip.AddrPort, forwarded *managedproxy.ForwardRequest,
) (*managedproxy.ForwardReply, error) {
	reply := new(managedproxy.ForwardReply)

	return reply, p.peers.Call(ctx, to, forwarded, reply)
}

func setMemoryLimit(limit int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softMemoryShare * float64(limit)))
}

// Gateway returns the gateway that serves the callers.
func (p *Proxy) Gateway() *managedproxy.Gateway {
	return p.gateway
}

// Metrics returns the handler of the metrics address.
func (p *Proxy) Metrics() http.Handler {
	return metrics.Handler(p.metrics.Registry)
}

// Run follows control until the context ends. It then drains the callers and returns. When there is nothing left to do, it
// calls stopAccepting, which returns when the gateway has every caller that was accepted and no more are.
func (p *Proxy) Run(ctx context.Context, stopAccepting func()) {
	p.options.Logger.Info("proxy starts", "centre", p.options.Centre)

	server := managedpeer.Serve(p.listener, p.options.Logger, p.gateway.Forward)

	followCtx, stop := context.WithCancel(context.Background())
	followed := make(chan struct{})

	go func() {
		defer close(followed)

		p.followControl(followCtx)
	}()

	<-ctx.Done()
	p.drain(stopAccepting)
	stop()
	<-followed
	p.closePeers(server)
	p.gateway.Close()
	p.clock.Close()
	p.gateway.LogUnfinished()
	p.options.Logger.Info("proxy ends")
}

// closePeers closes the connections of other proxies and those to them. Both may take managedpeer.CloseTimeout.
func (p *Proxy) closePeers(server *managedpeer.Server) {
	var closing sync.WaitGroup

	closing.Go(server.Close)
	closing.Go(p.peers.Close)
	closing.Wait()
}

// followControl calls control continuously and applies its replies.
func (p *Proxy) followControl(ctx context.Context) {
	client := newClient(p.options.ControlAddresses(), p.options.Logger)
	defer client.Close()

	instance, replica := rand.Uint64(), managedcontrol.NewViewReplica()
	delay, reached, acceptsDeltas := syncRetryDelay, true, true

	for ctx.Err() == nil {
		_, number := p.gateway.AppliedVersions()
		version := p.gateway.SettledVersion()
		sent := timer.BootTimeNow()

		reply, err := client.Sync(ctx, &managedcontrol.SyncRequest{
			Proxy: p.options.Name, Instance: instance, AppliedVersion: version, Configuration: number, PrimaryReports: p.gateway.PrimaryReachability(),
			Demands: p.gateway.Demands(), Centre: p.options.Centre, Address: p.options.Address, Leaving: p.gateway.Draining(),
			AcceptsDeltas: acceptsDeltas, CounterEpoch: p.gateway.CounterEpoch(), ViewPosition: replica.Position(),
			// After the version: the leader chooses no candidate before it knows the commits that were acknowledged under earlier views.
			Acknowledged: p.gateway.AcknowledgedCommits(),
		})
		if err != nil {
			if reached && ctx.Err() == nil {
				p.options.Logger.Warn("control is unreachable", "error", err)
			}

			reached = false

			client.SetAddresses(p.controlAddresses())
			_ = timer.Sleep(ctx, delay+rand.N(1+(client.Interval()-managedcontrol.DefaultInterval)/retrySpreadDivisor)) // The loop checks the context.
			delay = min(2*delay, syncRetryMaxDelay)

			continue
		}

		if !reached {
			p.options.Logger.Info("control is reachable again")
		}

		delay, reached = syncRetryDelay, true
		acceptsDeltas = true

		if reply.ConfigurationDelta != nil {
			reply.Configuration, err = p.gateway.ApplyDelta(reply.ConfigurationDelta)
			if err != nil {
				p.options.Logger.Warn("configuration delta can't be applied; asking for the whole configuration", "error", err)
				p.metrics.Counter("configuration_delta_refused").Inc(1)

				acceptsDeltas = false
			}
		}

		if reply.ViewDelta != nil {
			reply.View, err = replica.Apply(reply.ViewDelta)
			if err != nil {
				p.options.Logger.Warn("view delta can't be applied; asking for the whole view", "error", err)
				p.metrics.Counter("view_delta_refused").Inc(1)
			}
		}

		if reply.View != nil || reply.Configuration != nil {
			p.gateway.Apply(reply.Configuration, reply.View)
		}

		if reply.View != nil {
			client.SetAddresses(reply.View.Control)
		}

		p.gateway.GrantConnections(reply.ConnectionLimits)
		p.applyCounters(reply, sent)

		// The reply was sent at least Held after the request, so ages that count from then can't make a position look
		// younger than it is.
		held := sent.Add(reply.Held)

		for group, seen := range reply.Positions {
			p.gateway.ObservePosition(group, held.Add(-seen.Age), seen.Position)
		}

		p.gateway.ExtendLease(held.Add(reply.Lease))
	}

	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), syncRetryMaxDelay)
	defer cancel()

	if _, err := client.Sync(stopCtx, &managedcontrol.SyncRequest{Proxy: p.options.Name, Instance: instance, Stopping: true}); err != nil {
		p.options.Logger.Info("control could not be told of the stop", "error", err)
	}
}

// applyCounters applies the lists of counting proxies and the counting lease of a reply to a call sent at the given time.
func (p *Proxy) applyCounters(reply *managedcontrol.SyncReply, sent time.Time) {
	var leaseUntil time.Time
	if reply.CounterLease > 0 {
		leaseUntil = sent.Add(reply.CounterLease)
	}

	p.gateway.ApplyCounters(reply.Counters, leaseUntil)
}

// controlAddresses returns the addresses of control processes from the settings, which may have changed, and from the
// last view.
func (p *Proxy) controlAddresses() []netip.AddrPort {
	return append(p.options.ControlAddresses(), p.gateway.ControlAddresses()...)
}

// drain ends the work of the callers as package drain schedules it.
func (p *Proxy) drain(stopAccepting func()) {
	began := time.Now()
	schedule := drain.NewSchedule(p.options.ShutdownGrace, loadBalancerDelay)
	phase, accepting := drain.Serving, true

	p.gateway.Drain()
	p.logDrain("shutdown begins", phase, began)

	for {
		next := schedule.Phase(time.Since(began), p.gateway.WorkLeft().Total())

		if next == drain.Ended {
			if !accepting {
				p.answerLeft(phase)

				break
			}

			// A caller or a statement of another proxy may have been accepted since the last look.
			stopAccepting()
			p.gateway.DeclineForwards()

			accepting = false

			continue
		}

		if next != phase {
			p.logDrain("shutdown goes on", next, began)

			phase = next

			if phase == drain.Answering {
				p.gateway.AbandonForwards()
			}
		}

		p.gateway.ContinueDrain(phase)
		_ = timer.Sleep(context.Background(), drainInterval) // The context never ends.
	}

	p.logDrain("draining of callers ended", drain.Ended, began)
}

// answerLeft answers the statements that still run if the phase of that was skipped, because the process did not run for a
// while or the grace period is short.
func (p *Proxy) answerLeft(phase drain.Phase) {
	if phase >= drain.Answering {
		return
	}

	for range int(lastAnswersTimeout / drainInterval) {
		if p.gateway.WorkLeft().Total() == 0 {
			return
		}

		p.gateway.ContinueDrain(drain.Answering)
		_ = timer.Sleep(context.Background(), drainInterval) // The context never ends.
	}
}

func (p *Proxy) logDrain(event string, phase drain.Phase, began time.Time) {
	left := p.gateway.WorkLeft()
	p.options.Logger.Info(event, "phase", phase.String(), "sessions", left.Sessions, "logins", left.Logins, "forwardedStatements",
		left.ForwardedStatements, "heldTransactions", left.HeldTransactions, "elapsed", time.Since(began))
}
