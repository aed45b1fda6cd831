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
	// suspicionTimeout bounds the report of a suspicion. The coordinator repeats the report while the suspicion lasts.
	suspicionTimeout = 2 * time.Second
	// httpCloseTimeout bounds the shutdown of an HTTP listener.
	httpCloseTimeout = 2 * time.Second
	// balancerDelay is the time from when the health address reports the drain until the proxy refuses new connections.
	// It lets the load balancer stop sending callers first.
	balancerDelay = 500 * time.Millisecond
	// handoverPollInterval is the interval between two checks whether other proxies have taken over.
	handoverPollInterval = 10 * time.Millisecond
)

// Options describe a process.
type Options struct {
	Settings settings.Settings
	Logger   *slog.Logger
	LogLevel *slog.LevelVar
	// OnListening is called, if it is set, with the address for callers once the proxy listens on it.
	OnListening func(netip.AddrPort)
	// RoutingPolicy is the name of a proxy's routing policy, for comparisons. An empty name means the default.
	RoutingPolicy string
}

// proxyProcess holds the components of a running proxy.
type proxyProcess struct {
	Options

	clock         *timer.Clock
	keys          *security.Keys
	counters      *metrics.Metrics
	controlClient *control.Client
	coordination  *coordination.Coordination
	server        *proxy.Server
	peerServer    *grpc.Server
	closers       []func()
	// shuttingDown is set when the proxy has been told to stop. The health address reports it before new connections are
	// refused.
	shuttingDown atomic.Bool
}

// RunProxy runs a proxy until the context ends, and then shuts it down gracefully.
func RunProxy(ctx context.Context, options Options) error {
	p := &proxyProcess{Options: options, clock: timer.New(), counters: metrics.New()}
	p.closers = append(p.closers, p.clock.Close)

	defer p.closeComponents()

	if err := p.startComponents(ctx); err != nil {
		return err
	}

	// Sessions outlive the context, because drain ends them.
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

// startComponents starts the components in the order of their dependencies.
func (p *proxyProcess) startComponents(ctx context.Context) error {
	var err error

	if p.keys, err = security.NewKeys(p.Settings.TLS, p.clock, p.Logger); err != nil {
		return err //nolint:wrapcheck // It names the file.
	}

	p.closers = append(p.closers, p.keys.Close)

	vm := p.Settings.VM
	self := registry.Proxy{Name: vm.Name, Instance: rand.Uint64(), Peer: vm.Peer, Centre: vm.Centre}

	p.controlClient = control.New(control.Options{
		Members: controlAddresses(p.Settings), Proxy: self, Dial: dialer(p.keys), Timer: p.clock, Logger: p.Logger,
	})
	p.closers = append(p.closers, p.controlClient.Close)

	p.coordination = coordination.New(coordination.Options{
		Name: vm.Name, Instance: self.Instance, Centre: vm.Centre, Source: p.controlClient, Login: backendLogin(p.Settings.Running),
		Timer: p.clock, Logger: p.Logger, Metrics: p.counters.Registry, Suspect: p.reportSuspicion,
		CloseIdle: func(server string, count int) { p.server.CloseIdleConnections(server, count) },
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

	if p.RoutingPolicy != "" {
		if router, err = route.NewPolicy(p.RoutingPolicy); err != nil {
			return err //nolint:wrapcheck // It lists the names.
		}
	}

	p.server = proxy.NewServer(proxy.Options{
		Coordination: p.coordination, Name: p.Settings.VM.Name, Application: p.coordination.ApplicationPrefix(), Listener: listener, Logger: p.Logger,
		Metrics: p.counters.Registry, TLS: callers, BackendTLS: backends, CallerLimit: p.Settings.VM.CallerLimit,
		Router: router,
	})

	if p.OnListening != nil {
		p.OnListening(netip.MustParseAddrPort(listener.Addr().String()))
	}

	return nil
}

func (p *proxyProcess) listenPeers(ctx context.Context) error {
	listener, err := listen(ctx, p.Settings.VM.Peer)
	if err != nil {
		return err
	}

	p.peerServer = newServer(p.keys.Server(security.Mutual))
	p.coordination.Register(p.peerServer)
	p.closers = append(p.closers, p.peerServer.Stop)

	go func() {
		if err := p.peerServer.Serve(listener); err != nil {
			p.Logger.Error("peer listener failed", "error", err)
		}
	}()

	return nil
}

// drain reports the shutdown to the load balancer, then refuses new work and waits until the work in progress has finished
// and other proxies coordinate the groups of this one, or DrainTimeout has passed.
func (p *proxyProcess) drain() error {
	p.Logger.Info("proxy draining", "sessions", p.server.SessionCount())
	p.shuttingDown.Store(true)
	p.controlClient.StartDraining()

	timing := settings.Defaults().Timing
	if view := p.controlClient.View(); view != nil {
		timing = view.Running.Timing
	}

	time.Sleep(balancerDelay)

	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainTimeout.Or(0))
	defer cancel()

	if err := p.server.Drain(ctx); err != nil {
		return eris.Wrap(err, "drain")
	}

	p.awaitHandover(ctx)

	return nil
}

// awaitHandover waits until the groups that this proxy coordinates are handed over. A proxy without its lease has lost
// them already.
func (p *proxyProcess) awaitHandover(ctx context.Context) {
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()

	for p.controlClient.HasLease() && !p.coordination.HandedOver() {
		select {
		case <-ctx.Done():
			p.Logger.Warn("groups are not handed over before the end of the drain")

			return
		case <-ticker.C:
		}
	}
}

func (p *proxyProcess) closeComponents() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// reportSuspicion reports to control that a server can't be reached. The proxy coordinates the server's group.
func (p *proxyProcess) reportSuspicion(group string, term position.Term, server, reason string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), suspicionTimeout)
		defer cancel()

		_, err := p.controlClient.Suspect(ctx, &controlpb.Suspicion{
			Group: group, Term: uint64(term), Server: server, Observer: p.Settings.VM.Name, Reason: reason,
		})
		if err != nil {
			p.Logger.Warn("suspicion could not be reported to control", "group", group, "server", server, "error", err)
		}
	}()
}

// checkHealth returns the reason why the load balancer should not send callers to this proxy, or nil.
func (p *proxyProcess) checkHealth() error {
	if p.shuttingDown.Load() || p.server.Draining() {
		return result.New(result.Draining, "proxy %s is shutting down", p.Settings.VM.Name)
	}

	return p.checkConfirmed()
}

func (p *proxyProcess) checkConfirmed() error {
	if !p.controlClient.Confirmed() {
		return result.New(result.Unconfirmed, "proxy %s can't confirm its configuration", p.Settings.VM.Name)
	}

	return nil
}

// Announce implements platformapi.Announcer. An announcement that changes nothing is answered from the view, so that
// control receives only changes.
func (p *proxyProcess) Announce(ctx context.Context, request *controlpb.Announcement) (*controlpb.AnnounceReply, error) {
	server, err := control.ServerFromMessage(request.GetServer())
	if err != nil {
		return nil, result.New(result.Protocol, "announcement: %w", err)
	}

	if view := p.controlClient.View(); view != nil && p.controlClient.HasLease() {
		if known, found := view.Servers[server.Name]; found && known.UnchangedBy(server) {
			return control.NewAnnounceReply(view, server), nil
		}
	}

	return p.controlClient.Announce(ctx, request) //nolint:wrapcheck // It carries its code.
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
		ctx, cancel := context.WithTimeout(context.Background(), httpCloseTimeout)
		defer cancel()

		_ = close(ctx)
	}
}
