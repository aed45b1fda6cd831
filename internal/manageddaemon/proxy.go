package manageddaemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/timer"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
	"almondgrade/io/managedpeer"
)

const (
	// syncPause is the pause after a failed call of control. It doubles up to syncPauseMost.
	syncPause     = 20 * time.Millisecond
	syncPauseMost = 100 * time.Millisecond
	// rotationTime is the time after which a proxy that reports not ready gets no new callers: two probes of a second
	// each, and some delay.
	rotationTime = 2300 * time.Millisecond
	// closeInterval is the time between two searches for idle sessions of a proxy that stops.
	closeInterval = 50 * time.Millisecond
	// lastShare is the part of the grace in which a stop must be done.
	lastShare = 0.85
	// collectPercent makes the garbage collector keep the heap small, and memoryShare is the part of the memory limit
	// above which it works harder.
	collectPercent = 50
	memoryShare    = 0.6
)

// ProxyOptions describe a Proxy.
type ProxyOptions struct {
	Name   string
	Centre string
	// Address is where the proxy takes statements from other proxies.
	Address netip.AddrPort
	// Control returns the addresses of control processes to begin with. It is called again while none is reached.
	Control func() []netip.AddrPort
	Dial    managedproxy.Dialer
	// Memory is the size in bytes above which the process is ended.
	Memory int64
	// Grace is the time in which the process must end after the context has.
	Grace  time.Duration
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
	limitMemory(options.Memory)

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
		Metrics: created.metrics, Timer: created.clock,
	})

	return created, nil
}

// forward sends a statement to another proxy.
func (p *Proxy) forward(
	ctx context.Context, to netip.AddrPort, forwarded *managedproxy.Forwarded,
) (*managedproxy.ForwardReply, error) {
	reply := new(managedproxy.ForwardReply)

	return reply, p.peers.Call(ctx, to, forwarded, reply)
}

func limitMemory(limit int64) {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
}

// Gateway returns the gateway that serves callers.
func (p *Proxy) Gateway() *managedproxy.Gateway {
	return p.gateway
}

// Metrics returns the handler of the metrics address.
func (p *Proxy) Metrics() http.Handler {
	return metrics.Handler(p.metrics.Registry)
}

// Run follows control until the context ends. It then finishes what is in progress and returns.
func (p *Proxy) Run(ctx context.Context) {
	p.options.Logger.Info("proxy starts", "centre", p.options.Centre)

	server := managedpeer.Serve(p.listener, p.options.Logger, p.gateway.Forward)

	following, stop := context.WithCancel(context.Background())
	followed := make(chan struct{})

	go func() {
		defer close(followed)

		p.follow(following)
	}()

	<-ctx.Done()
	p.drain()
	stop()
	<-followed
	server.Close()
	p.gateway.Close()
	p.peers.Close()
	p.clock.Close()
	p.options.Logger.Info("proxy ends")
}

// follow calls control without a pause and applies what it says.
func (p *Proxy) follow(ctx context.Context) {
	client := managedcontrol.NewClient(managedcontrol.ClientOptions{Seeds: p.options.Control(), Dial: connect, Logger: p.options.Logger})
	defer client.Close()

	instance := rand.Uint64()
	pause, reached := syncPause, true

	for ctx.Err() == nil {
		version, number := p.gateway.Applied()
		sent := timer.Boot()

		reply, err := client.Sync(ctx, &managedcontrol.SyncRequest{
			Proxy: p.options.Name, Instance: instance, AppliedVersion: version, Configuration: number, PrimaryReports: p.gateway.Sights(),
			Demands: p.gateway.Demands(), Centre: p.options.Centre, Address: p.options.Address, Leaving: p.gateway.Leaving(),
		})
		if err != nil {
			if reached && ctx.Err() == nil {
				p.options.Logger.Warn("control is not reached", "error", err)
			}

			reached = false

			client.SetAddresses(p.known())
			_ = timer.Sleep(ctx, pause) // The loop looks at the context.
			pause = min(2*pause, syncPauseMost)

			continue
		}

		if !reached {
			p.options.Logger.Info("control is reached again")
		}

		pause, reached = syncPause, true

		if reply.View != nil || reply.Configuration != nil {
			p.gateway.Apply(reply.Configuration, reply.View)
		}

		if reply.View != nil {
			client.SetAddresses(reply.View.Control)
		}

		p.gateway.Grant(reply.ConnectionLimits)

		// The answer was sent after the request, so that the ages count from a moment that is early enough.
		for group, seen := range reply.Positions {
			p.gateway.Observe(group, sent.Add(-seen.Age), seen.Position)
		}

		p.gateway.Extend(sent.Add(reply.Lease))
	}

	goodbye, cancel := context.WithTimeout(context.WithoutCancel(ctx), syncPauseMost)
	defer cancel()

	if _, err := client.Sync(goodbye, &managedcontrol.SyncRequest{Proxy: p.options.Name, Instance: instance, Stopping: true}); err != nil {
		p.options.Logger.Info("control was not told of the stop", "error", err)
	}
}

// known returns the addresses of control from the settings, which may have changed, and from the last view.
func (p *Proxy) known() []netip.AddrPort {
	return append(p.options.Control(), p.gateway.Control()...)
}

// drain lets callers leave. Until the load balancer has noticed, new ones may still come. Open transactions get half of
// the grace.
func (p *Proxy) drain() {
	began := time.Now()
	p.options.Logger.Info("shutdown begins", "sessions", p.gateway.Sessions())
	p.gateway.Drain()

	last := time.Duration(lastShare * float64(p.options.Grace))

	for passed := time.Duration(0); passed < last; passed = time.Since(began) {
		if passed >= rotationTime && p.gateway.CloseIdle(passed >= p.options.Grace/2) == 0 {
			break
		}

		_ = timer.Sleep(context.Background(), closeInterval) // The context never ends.
	}

	p.options.Logger.Info("callers have left", "sessions", p.gateway.Sessions(), "took", time.Since(began))
}
