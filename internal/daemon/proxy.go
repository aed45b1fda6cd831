package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/route"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/internal/coordination"
	"almondgrade/internal/metrics"
	"almondgrade/internal/proxy"
	"almondgrade/internal/security"
	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
)

const (
	// suspectTimeout bounds the report of a suspicion; the coordinator repeats it while it lasts.
	suspectTimeout = 2 * time.Second
	// closeTimeout bounds the end of the HTTP listeners.
	closeTimeout = 2 * time.Second
	// balancerDelay is the time between the health address reporting the drain and the end of new connections, so
	// that the balancer has stopped sending callers.
	balancerDelay = 500 * time.Millisecond
)

// Parts are what a command gives to a process besides its settings.
type Parts struct {
	Settings settings.Settings
	Logger   *slog.Logger
	Level    *slog.LevelVar
	// Ready is called, if it is set, with the address for callers once the proxy listens.
	Ready func(netip.AddrPort)
	// Route names the routing policy of a proxy, for comparisons; empty means the default.
	Route string
}

// proxyProcess holds the parts of a running proxy.
type proxyProcess struct {
	Parts

	clock        *timer.Clock
	keys         *security.Keys
	counters     *metrics.Metrics
	client       *control.Client
	coordination *coordination.Coordination
	server       *proxy.Server
	peers        *grpc.Server
	closers      []func()
	// leaving is set when the proxy has been told to stop; the health address reports it before new connections
	// are refused.
	leaving atomic.Bool
}

// Proxy runs a proxy until the context ends, then shuts it down gracefully.
func Proxy(ctx context.Context, parts Parts) error {
	p := &proxyProcess{Parts: parts, clock: timer.New(), counters: metrics.New()}
	p.closers = append(p.closers, p.clock.Close)

	defer p.close()

	if err := p.build(ctx); err != nil {
		return err
	}

	// Sessions outlive the context: their end is the business of the drain.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	var group errgroup.Group

	ended := make(chan struct{})

	group.Go(func() error {
		defer close(ended)

		return eris.Wrap(p.server.Serve(serving), "serve callers")
	})
	group.Go(func() error {
		defer stop()

		select {
		case <-ctx.Done():
			return p.drain()
		case <-ended:
			return nil
		}
	})

	return group.Wait() //nolint:wrapcheck // The errors above are complete.
}

// build starts the parts in the order in which they need each other.
func (p *proxyProcess) build(ctx context.Context) error {
	var err error

	if p.keys, err = security.NewKeys(p.Settings.TLS, p.clock, p.Logger); err != nil {
		return err //nolint:wrapcheck // It names the file.
	}

	p.closers = append(p.closers, p.keys.Close)

	vm := p.Settings.VM
	self := registry.Proxy{Name: vm.Name, Instance: rand.Uint64(), Peer: vm.Peer, Centre: vm.Centre}

	p.client = control.New(control.Options{
		Members: controlAddresses(p.Settings), Proxy: self, Dial: dialer(p.keys), Timer: p.clock, Logger: p.Logger,
	})
	p.closers = append(p.closers, p.client.Close)

	p.coordination = coordination.New(coordination.Options{
		Name: vm.Name, Instance: self.Instance, Centre: vm.Centre, Source: p.client, Login: backendLogin(p.Settings.Running),
		Timer: p.clock, Logger: p.Logger, Metrics: p.counters.Registry, Suspect: p.suspect,
		CloseIdle: func(server string, count int) { p.server.Recall(server, count) },
		Cancel:    func(process uint32, secret []byte) { p.server.Cancel(context.WithoutCancel(ctx), process, secret) },
	})
	p.closers = append(p.closers, p.coordination.Close)

	if err := p.listenCallers(ctx); err != nil {
		return err
	}

	if err := p.listenPeers(ctx); err != nil {
		return err
	}

	return p.listenHTTP()
}

func (p *proxyProcess) listenCallers(ctx context.Context) error {
	listener, err := listen(ctx, p.Settings.VM.Caller)
	if err != nil {
		return err
	}

	var callers, backends *tls.Config
	if p.Settings.TLS.Callers {
		callers = p.keys.Server(security.Anonymous)
	}

	if p.Settings.TLS.Backend {
		backends = p.keys.Client("")
	}

	var router proxy.Router

	if p.Route != "" {
		if router, err = route.NewPolicy(p.Route); err != nil {
			return err //nolint:wrapcheck // It lists the names.
		}
	}

	p.server = proxy.NewServer(proxy.Options{
		Coordination: p.coordination, Name: p.Settings.VM.Name, Application: p.coordination.ApplicationPrefix(), Listener: listener, Logger: p.Logger,
		Metrics: p.counters.Registry, TLS: callers, BackendTLS: backends, CallerLimit: p.Settings.VM.CallerLimit,
		Router: router,
	})

	if p.Ready != nil {
		p.Ready(netip.MustParseAddrPort(listener.Addr().String()))
	}

	return nil
}

func (p *proxyProcess) listenPeers(ctx context.Context) error {
	listener, err := listen(ctx, p.Settings.VM.Peer)
	if err != nil {
		return err
	}

	p.peers = newServer(p.keys.Server(security.Mutual))
	p.coordination.Register(p.peers)
	p.closers = append(p.closers, p.peers.Stop)

	go func() {
		if err := p.peers.Serve(listener); err != nil {
			p.Logger.Error("peer listener ended", "error", err)
		}
	}()

	return nil
}

// drain reports the stop to the load balancer, then stops new work, finishes what is in progress and returns.
func (p *proxyProcess) drain() error {
	p.Logger.Info("proxy drains", "sessions", p.server.SessionCount())
	p.leaving.Store(true)
	p.client.StartDraining()

	timing := settings.Defaults().Timing
	if view := p.client.View(); view != nil {
		timing = view.Running.Timing
	}

	time.Sleep(balancerDelay)

	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainTimeout.Or(0))
	defer cancel()

	return eris.Wrap(p.server.Drain(ctx), "drain")
}

func (p *proxyProcess) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// suspect reports to control that a server of a group that this proxy coordinates can't be reached.
func (p *proxyProcess) suspect(group string, term position.Term, server, reason string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
		defer cancel()

		_, err := p.client.Suspect(ctx, &controlpb.Suspicion{
			Group: group, Term: uint64(term), Server: server, Observer: p.Settings.VM.Name, Reason: reason,
		})
		if err != nil {
			p.Logger.Warn("suspicion could not be reported", "group", group, "server", server, "error", err)
		}
	}()
}

// health returns why the balancer should not send callers here.
func (p *proxyProcess) health() error {
	if p.leaving.Load() || p.server.Draining() {
		return result.New(result.Draining, "proxy %s is shutting down", p.Settings.VM.Name)
	}

	return p.ready()
}

func (p *proxyProcess) ready() error {
	if !p.client.Confirmed() {
		return result.New(result.Unconfirmed, "proxy %s can't confirm its configuration", p.Settings.VM.Name)
	}

	return nil
}

// Announce implements platformapi.Announcer. What the view already says is answered from the view, so that control
// hears only of changes.
func (p *proxyProcess) Announce(ctx context.Context, request *controlpb.Announcement) (*controlpb.AnnounceReply, error) {
	server, err := control.ServerFromMessage(request.GetServer())
	if err != nil {
		return nil, result.New(result.Protocol, "announcement: %w", err)
	}

	if view := p.client.View(); view != nil && p.client.HasLease() {
		if known, found := view.Servers[server.Name]; found && known.UnchangedBy(server) {
			return control.NewAnnounceReply(view, server), nil
		}
	}

	return p.client.Announce(ctx, request) //nolint:wrapcheck // It carries its code.
}

func controlAddresses(loaded settings.Settings) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(loaded.Control))
	for _, member := range loaded.Control {
		addresses = append(addresses, member.Address)
	}

	return addresses
}

func closeHTTP(close func(context.Context) error) func() {
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()

		_ = close(ctx)
	}
}
