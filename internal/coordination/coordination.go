package coordination

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"almondgrade/core/permit"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/internal/coordinator"
	"almondgrade/internal/proxy"
	"almondgrade/io/peer"
	"almondgrade/io/peer/peerpb"
)

// Coordination implements proxy.Coordination. It is safe for concurrent use.
type Coordination struct {
	options     Options
	context     context.Context //nolint:containedctx // Ends everything that was started.
	cancel      context.CancelFunc
	stopReports timer.StopFunc
	done        sync.WaitGroup
	// failedAt holds when each server was last reported as failed.
	failedAt sync.Map
	// suspectedAt holds when each primary was last reported to control because a request could not use it.
	suspectedAt sync.Map
	// links and coordinators are replaced by applyView.
	links        atomic.Pointer[map[string]*groupLink]
	coordinators atomic.Pointer[map[string]*coordinator.Coordinator]

	mutex   sync.Mutex
	clients map[netip.AddrPort]*peer.Client
	closed  bool
}

var _ proxy.Coordination = (*Coordination)(nil)

// New starts a Coordination.
func New(options Options) *Coordination {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordination{
		options: options.withDefaults(),
		context: ctx,
		cancel:  cancel,
		clients: make(map[netip.AddrPort]*peer.Client),
	}
	c.links.Store(&map[string]*groupLink{})
	c.coordinators.Store(&map[string]*coordinator.Coordinator{})
	// The channel is taken before the view, so that no change is missed.
	changed := options.Source.Changed()
	c.applyView()
	c.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				changed = options.Source.Changed()
				c.applyView() //nolint:contextcheck // Coordinators have contexts of their own.
			}
		}
	})
	c.stopReports = options.Timer.Every(reportInterval, func(time.Time) { c.reportActiveLinks() })

	return c
}

// Close stops the coordination. Waiting requests fail.
func (c *Coordination) Close() {
	c.cancel()
	c.stopReports()
	c.done.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return
	}

	c.closed = true

	for _, group := range *c.coordinators.Load() {
		group.Close()
	}

	for _, link := range *c.links.Load() {
		link.close()
	}

	for _, client := range c.clients {
		client.Close()
	}
}

// Register adds the Peer service to a gRPC server.
func (c *Coordination) Register(registrar grpc.ServiceRegistrar) {
	peer.Register(registrar, &service{owner: c})
}

// ApplicationPrefix returns the prefix of the application name that connections to backend servers have to carry, such
// as "ag/p1/00000000000000a7/". With it the coordinator recovers the permits of a dead process even while another process
// of the same name runs.
func (c *Coordination) ApplicationPrefix() string {
	return coordinator.ApplicationName(c.options.Name, c.options.Instance, "")
}

// HandedOver reports whether a draining proxy may end without a delay for others: it coordinates no group that another
// proxy can take over, and the coordinators know which permits it holds. A new coordinator would otherwise wait for its
// report until its lease has expired, and grant nothing meanwhile.
func (c *Coordination) HandedOver() bool {
	view := c.View()
	if view == nil {
		return true
	}

	successor := false
	for name, other := range view.Proxies {
		successor = successor || name != c.options.Name && !other.Draining
	}

	if !successor {
		return true
	}

	for name, link := range *c.links.Load() {
		if view.Groups[name].Coordinator == c.options.Name || !link.isReported() {
			return false
		}
	}

	return true
}

// View implements proxy.Coordination.
func (c *Coordination) View() *registry.View {
	return c.options.Source.View()
}

// ConfigurationConfirmed implements proxy.Coordination.
func (c *Coordination) ConfigurationConfirmed() bool {
	return c.options.Source.Confirmed()
}

// Barrier implements proxy.Coordination.
func (c *Coordination) Barrier(ctx context.Context, group string) (proxy.Barrier, error) {
	link, err := c.linkTo(group)
	if err != nil {
		return proxy.Barrier{}, err
	}

	return link.Barrier(ctx)
}

// Observations implements proxy.Coordination.
func (c *Coordination) Observations(group string) []proxy.Observation {
	link, err := c.linkTo(group)
	if err != nil {
		return nil
	}

	return link.Observations()
}

// ConfirmCommits implements proxy.Coordination.
func (c *Coordination) ConfirmCommits(
	ctx context.Context, group string, term position.Term, unreplaced bool,
) (position.Position, error) {
	link, err := c.linkTo(group)
	if err != nil {
		return position.Position{}, result.New(result.NotConfirmed, "%w", err)
	}

	return link.Confirm(ctx, term, unreplaced)
}

// AcquireConnection implements proxy.Coordination.
func (c *Coordination) AcquireConnection(ctx context.Context, server string, urgent bool) (proxy.Permit, error) {
	granted, err := c.acquirePermit(ctx, server, permit.Connection, urgent)
	if err != nil {
		return nil, err
	}

	// Checked after the wait, because the permit of a proxy that lost its lease may have been revoked.
	if !c.ConfigurationConfirmed() {
		granted.Release()

		return nil, result.New(result.Unconfirmed, "the proxy opens no connection without its configuration lease")
	}

	return granted, nil
}

// AcquireSlot implements proxy.Coordination.
func (c *Coordination) AcquireSlot(ctx context.Context, server string, urgent bool) (proxy.Permit, error) {
	return c.acquirePermit(ctx, server, permit.Slot, urgent)
}

func (c *Coordination) acquirePermit(
	ctx context.Context, server string, kind permit.Kind, urgent bool,
) (proxy.Permit, error) {
	view := c.View()
	if view == nil {
		return nil, result.New(result.Unconfirmed, "the proxy has no view yet")
	}

	link, err := c.linkTo(view.Servers[server].Group)
	if err != nil {
		return nil, result.New(result.NotFound, "backend server %q is unknown", server)
	}

	return link.acquire(ctx, server, kind, urgent)
}

// ReportFailure implements proxy.Coordination.
func (c *Coordination) ReportFailure(server string) {
	now := c.options.Timer.Now()
	last, reported := c.failedAt.Swap(server, now)

	if reported && now.Sub(last.(time.Time)) < failedServerTime/answerMarginDivisor {
		return // The coordinator was told a moment before.
	}

	view := c.View()
	if view == nil {
		return
	}

	if link, err := c.linkTo(view.Servers[server].Group); err == nil {
		link.reportFailed(server)
	}

	c.suspectPrimary(view, server, now)
}

// suspectPrimary reports to control that this proxy can't use a primary. The coordinator may be on the same side of a
// partition as the primary and notice no failure; control decides by the reports of other observers.
func (c *Coordination) suspectPrimary(view *registry.View, server string, now time.Time) {
	group, found := view.Groups[view.Servers[server].Group]
	if !found || group.Primary != server || c.options.Suspect == nil {
		return
	}

	last, reported := c.suspectedAt.Swap(server, now)
	if reported && now.Sub(last.(time.Time)) < minSuspectInterval {
		c.suspectedAt.Store(server, last)

		return
	}

	c.options.Suspect(group.Name, group.Term, server, "a request could not use the primary")
}

// ForwardCancel implements proxy.Coordination.
func (c *Coordination) ForwardCancel(ctx context.Context, process uint32, secret []byte) error {
	view := c.View()
	if view == nil {
		return result.New(result.NotFound, "the proxy has no view yet")
	}

	failed := error(result.New(result.NotFound, "no proxy has the number %d", process>>sessionBits))

	// The key holds only the lower bits of the proxy's number, which several proxies may share. Each of them compares the
	// secret.
	for _, other := range view.Proxies {
		if other.Number&proxyNumberMask != process>>sessionBits || other.Name == c.options.Name {
			continue
		}

		client, err := c.clientFor(other.Peer)
		if err == nil {
			_, err = client.Cancel(ctx, &peerpb.CancelRequest{Process: process, Secret: secret})
		}

		if err != nil || result.CodeOf(failed) == result.NotFound {
			failed = err
		}
	}

	return failed
}

// applyView applies the latest view.
func (c *Coordination) applyView() {
	view := c.options.Source.View()
	if view == nil {
		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return
	}

	c.applyCoordinators(view)
	c.applyLinks(view)

	used := make(map[netip.AddrPort]struct{}, len(view.Proxies))
	for _, other := range view.Proxies {
		used[other.Peer] = struct{}{}
	}

	for address, client := range c.clients {
		if _, found := used[address]; !found {
			client.Close()
			delete(c.clients, address)
		}
	}
}

// applyCoordinators starts and stops local coordinators according to the view. The mutex is held.
func (c *Coordination) applyCoordinators(view *registry.View) {
	present := *c.coordinators.Load()
	next := make(map[string]*coordinator.Coordinator)

	for name, group := range view.Groups {
		if group.Coordinator != c.options.Name || view.Proxies[c.options.Name].Instance != c.options.Instance {
			continue
		}

		if running, found := present[name]; found && running.Epoch() == group.Epoch {
			running.Update()

			next[name] = running

			continue
		}

		next[name] = coordinator.New(coordinator.Options{
			Proxy:     c.options.Name,
			Instance:  c.options.Instance,
			Group:     name,
			Epoch:     group.Epoch,
			View:      c.options.Source.View,
			Confirmed: c.options.Source.Confirmed,
			Open:      c.options.Open,
			Timer:     c.options.Timer,
			Logger:    c.options.Logger,
			Metrics:   c.options.Metrics,
			Suspect:   c.options.Suspect,
			Recall:    c.recallFunc(name, group.Epoch),
		})
		c.options.Logger.Info("coordinating group", "group", name, "epoch", group.Epoch)
	}

	c.coordinators.Store(&next)

	for name, running := range present {
		if next[name] != running {
			running.Close()
		}
	}
}

// applyLinks opens and closes links according to the groups of the view. The mutex is held.
func (c *Coordination) applyLinks(view *registry.View) {
	present := *c.links.Load()
	next := make(map[string]*groupLink, len(view.Groups))

	for name := range view.Groups {
		if known, found := present[name]; found {
			next[name] = known
		} else {
			next[name] = newLink(c, name)
		}
	}

	c.links.Store(&next)

	for name, known := range present {
		if _, found := next[name]; !found {
			known.close()
		}
	}

	for _, link := range next {
		link.applyView(view)
	}
}

func (c *Coordination) reportActiveLinks() {
	for _, link := range *c.links.Load() {
		if link.needsReports() {
			go link.reportHeld()
		}
	}
}

func (c *Coordination) linkTo(group string) (*groupLink, error) {
	link, found := (*c.links.Load())[group]
	if !found {
		return nil, result.New(result.NotFound, "group %q is unknown", group)
	}

	return link, nil
}

// localCoordinator returns the coordinator of a group that this process runs in an epoch.
func (c *Coordination) localCoordinator(group string, epoch uint64) (*coordinator.Coordinator, error) {
	running, found := (*c.coordinators.Load())[group]
	if !found {
		return nil, result.New(result.NotCoordinator, "proxy %s does not coordinate group %s", c.options.Name, group)
	}

	if running.Epoch() != epoch {
		return nil, result.New(result.OutdatedEpoch, "proxy %s coordinates group %s in epoch %d, not %d",
			c.options.Name, group, running.Epoch(), epoch)
	}

	return running, nil
}

func (c *Coordination) clientFor(address netip.AddrPort) (*peer.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.clientLocked(address)
}

// clientLocked returns the client for an address. The mutex is held.
func (c *Coordination) clientLocked(address netip.AddrPort) (*peer.Client, error) {
	if client, found := c.clients[address]; found {
		return client, nil
	}

	if c.closed {
		return nil, result.New(result.Draining, "the proxy is shutting down")
	}

	client, err := peer.Dial(address, c.options.Peer)
	if err != nil {
		return nil, err
	}

	c.clients[address] = client

	return client, nil
}

// recallFunc returns the function with which a coordinator asks holders to return idle permits.
func (c *Coordination) recallFunc(group string, epoch uint64) func(permit.Holder, string, permit.Kind, int) {
	return func(holder permit.Holder, server string, kind permit.Kind, count int) {
		go func() {
			if holder.Proxy == c.options.Name {
				if link, err := c.linkTo(group); err == nil {
					link.returnRecalled(epoch, server, kind, count)
				}

				return
			}

			view := c.View()

			client, err := c.clientFor(view.Proxies[holder.Proxy].Peer)
			if err != nil {
				return
			}

			// The coordinator repeats the recall while requests wait, so a lost one does no harm.
			_, _ = client.Recall(c.context, &peerpb.RecallRequest{
				Group: group, Epoch: epoch, Server: server, Kind: peerpb.Kind(kind), Count: uint32(count),
			})
		}()
	}
}
