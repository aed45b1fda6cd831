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
	options Options
	context context.Context //nolint:containedctx // Ends everything that was started.
	cancel  context.CancelFunc
	stop    timer.StopFunc
	done    sync.WaitGroup
	// failed holds when each server was last reported as failed.
	failed sync.Map
	// suspected holds when each primary was last reported to control because a request could not use it.
	suspected sync.Map
	// links and coordinators are replaced by apply.
	links        atomic.Pointer[map[string]*link]
	coordinators atomic.Pointer[map[string]*coordinator.Coordinator]

	mutex   sync.Mutex
	clients map[netip.AddrPort]*peer.Client
	closed  bool
}

var _ proxy.Coordination = (*Coordination)(nil)

// New starts the coordination of a proxy.
func New(options Options) *Coordination {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordination{
		options: options.withDefaults(),
		context: ctx,
		cancel:  cancel,
		clients: make(map[netip.AddrPort]*peer.Client),
	}
	c.links.Store(&map[string]*link{})
	c.coordinators.Store(&map[string]*coordinator.Coordinator{})
	// The channel is taken before the view, so that no change is missed.
	changed := options.Source.Changed()
	c.apply()
	c.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				changed = options.Source.Changed()
				c.apply() //nolint:contextcheck // Coordinators have their own life.
			}
		}
	})
	c.stop = options.Timer.Every(holdInterval, func(time.Time) { c.tick() })

	return c
}

// Close ends the coordination. Waiting requests fail.
func (c *Coordination) Close() {
	c.cancel()
	c.stop()
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

// Application returns the beginning of the application name that connections to backend servers have to carry, such as
// "ag/p1/00000000000000a7/". With it the permits of a dead process return, although another one of the same name runs.
func (c *Coordination) Application() string {
	return coordinator.Application(c.options.Name, c.options.Instance, "")
}

// View implements proxy.Coordination.
func (c *Coordination) View() *registry.View {
	return c.options.Source.View()
}

// Confirmed implements proxy.Coordination.
func (c *Coordination) Confirmed() bool {
	return c.options.Source.Confirmed()
}

// Barrier implements proxy.Coordination.
func (c *Coordination) Barrier(ctx context.Context, group string) (proxy.Barrier, error) {
	link, err := c.link(group)
	if err != nil {
		return proxy.Barrier{}, err
	}

	return link.Barrier(ctx)
}

// Observations implements proxy.Coordination.
func (c *Coordination) Observations(group string) []proxy.Observation {
	link, err := c.link(group)
	if err != nil {
		return nil
	}

	return link.Observations()
}

// Confirm implements proxy.Coordination.
func (c *Coordination) Confirm(
	ctx context.Context, group string, term position.Term, unreplaced bool,
) (position.Position, error) {
	link, err := c.link(group)
	if err != nil {
		return position.Position{}, result.New(result.NotConfirmed, "%w", err)
	}

	return link.Confirm(ctx, term, unreplaced)
}

// Connection implements proxy.Coordination.
func (c *Coordination) Connection(ctx context.Context, server string, urgent bool) (proxy.Permit, error) {
	granted, err := c.acquire(ctx, server, permit.Connection, urgent)
	if err != nil {
		return nil, err
	}

	// Asked after the wait, because the permit of a proxy without its lease may have been taken back.
	if !c.Confirmed() {
		granted.Release()

		return nil, result.New(result.Unconfirmed, "the proxy opens no connection without its configuration lease")
	}

	return granted, nil
}

// Slot implements proxy.Coordination.
func (c *Coordination) Slot(ctx context.Context, server string, urgent bool) (proxy.Permit, error) {
	return c.acquire(ctx, server, permit.Slot, urgent)
}

func (c *Coordination) acquire(
	ctx context.Context, server string, kind permit.Kind, urgent bool,
) (proxy.Permit, error) {
	view := c.View()
	if view == nil {
		return nil, result.New(result.Unconfirmed, "the proxy has no view yet")
	}

	link, err := c.link(view.Servers[server].Group)
	if err != nil {
		return nil, result.New(result.NotFound, "backend server %q is unknown", server)
	}

	return link.acquire(ctx, server, kind, urgent)
}

// Failed implements proxy.Coordination.
func (c *Coordination) Failed(server string) {
	now := c.options.Timer.Now()
	last, again := c.failed.Swap(server, now)

	if again && now.Sub(last.(time.Time)) < failedTime/answerMargin {
		return // The coordinator was told a moment ago.
	}

	view := c.View()
	if view == nil {
		return
	}

	if link, err := c.link(view.Servers[server].Group); err == nil {
		link.failed(server)
	}

	c.suspectPrimary(view, server, now)
}

// suspectPrimary tells control that this proxy can't use a primary. The coordinator may be on the same side of a
// partition as the primary and see nothing wrong; control decides by what other observers see.
func (c *Coordination) suspectPrimary(view *registry.View, server string, now time.Time) {
	group, found := view.Groups[view.Servers[server].Group]
	if !found || group.Primary != server || c.options.Suspect == nil {
		return
	}

	last, again := c.suspected.Swap(server, now)
	if again && now.Sub(last.(time.Time)) < suspectInterval {
		c.suspected.Store(server, last)

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

	failed := error(result.New(result.NotFound, "no proxy has the number %d", process>>processBits))

	// The key holds only the lower bits of the number, which several proxies may share. The secret decides.
	for _, other := range view.Proxies {
		if other.Number&numberMask != process>>processBits || other.Name == c.options.Name {
			continue
		}

		client, err := c.client(other.Peer)
		if err == nil {
			_, err = client.Cancel(ctx, &peerpb.CancelRequest{Process: process, Secret: secret})
		}

		if err != nil || result.CodeOf(failed) == result.NotFound {
			failed = err
		}
	}

	return failed
}

// apply takes over the latest view.
func (c *Coordination) apply() {
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

// applyCoordinators starts and ends the coordinators of groups. The mutex is held.
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
			Recall:    c.recall(name, group.Epoch),
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

// applyLinks follows the groups of the view. The mutex is held.
func (c *Coordination) applyLinks(view *registry.View) {
	present := *c.links.Load()
	next := make(map[string]*link, len(view.Groups))

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
		link.update(view)
	}
}

func (c *Coordination) tick() {
	for _, link := range *c.links.Load() {
		if link.active() {
			go link.hold()
		}
	}
}

func (c *Coordination) link(group string) (*link, error) {
	link, found := (*c.links.Load())[group]
	if !found {
		return nil, result.New(result.NotFound, "group %q is unknown", group)
	}

	return link, nil
}

// coordinating returns the local coordinator of a group in an epoch.
func (c *Coordination) coordinating(group string, epoch uint64) (*coordinator.Coordinator, error) {
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

func (c *Coordination) client(address netip.AddrPort) (*peer.Client, error) {
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

// recall returns the function by which a coordinator asks holders for idle permits.
func (c *Coordination) recall(group string, epoch uint64) func(permit.Holder, string, permit.Kind, int) {
	return func(holder permit.Holder, server string, kind permit.Kind, count int) {
		go func() {
			if holder.Proxy == c.options.Name {
				if link, err := c.link(group); err == nil {
					link.recall(epoch, server, kind, count)
				}

				return
			}

			view := c.View()

			client, err := c.client(view.Proxies[holder.Proxy].Peer)
			if err != nil {
				return
			}

			// A lost recall is repeated while others wait.
			_, _ = client.Recall(c.context, &peerpb.RecallRequest{
				Group: group, Epoch: epoch, Server: server, Kind: peerpb.Kind(kind), Count: uint32(count),
			})
		}()
	}
}
