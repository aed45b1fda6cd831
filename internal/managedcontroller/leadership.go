package managedcontroller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/lease"
	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/share"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

const (
	// silentIntervals is the number of announce intervals after which a server that has not announced itself is silent:
	// one announcement may be lost and the next one late.
	silentIntervals = 2.5
	// forgetTime is the time after which a silent server is removed. It exceeds the time for which members and VMs are
	// usually away, so that a server that returns is known.
	forgetTime = 12 * time.Second
	// positionTime is the age up to which a position of a primary is passed on.
	positionTime = 2 * time.Second
	// sightTime is the age up to which a proxy's report counts.
	sightTime = 1500 * time.Millisecond
	// placeTime is the time after the beginning of a leadership in which each proxy has called: half of it is a call that
	// another process holds. It is also the least time between two counts.
	placeTime = 400 * time.Millisecond
	// placeShare is the part of the proxies that are known when holders are chosen earlier: a few VMs are usually down.
	placeShare = 0.95
	// fewerTime is the time for which the number of proxies must have been smaller before that is recorded. VMs that
	// restart are back sooner.
	fewerTime = time.Minute
	// peerTime is the time after its last call for which a proxy stays a holder. A call is held for holdTime; a restart
	// takes about a second.
	peerTime = time.Second
)

// heard is the last announcement of a server.
type heard struct {
	server topology.Server
	at     time.Time
}

// report is what a proxy said last.
type report struct {
	at     time.Time
	sights []managedcontrol.PrimaryReport
}

// peer is a proxy that takes statements from others.
type peer struct {
	proxy placement.Proxy
	at    time.Time
}

// leadership is the soft state of one term as leader. It is safe for concurrent use.
type leadership struct {
	controller *Controller
	term       uint64
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup

	mutex  sync.Mutex
	began  time.Time
	leases *lease.Table
	heard  map[string]heard
	// ended are the servers that were withdrawn, with their last announcement.
	ended   map[string]topology.Server
	reports map[string]report
	// peers are the proxies that take statements from others.
	peers map[string]peer
	// fewer is the last time at which as many proxies were known as are recorded, counted that of the last record.
	fewer   time.Time
	counted time.Time
	// confirmed is the beginning of the last proof that this process led.
	confirmed time.Time
	view      managedcontrol.View
	index     uint64
	changed   chan struct{}
	stewards  container.Set[string]
	// used is the number of the last view in which a proxy held connections of a group, by group and proxy.
	used map[string]map[string]uint64
	// shares divide the connections of each server.
	shares map[string]*share.Table
	// positions are the last positions of the primaries, by group.
	positions map[string]sighting
}

// sighting is a position of a primary and the time at which the question for it was sent.
type sighting struct {
	position position.Position
	at       time.Time
}

func newLeadership(c *Controller, term uint64) *leadership {
	ctx, cancel := context.WithCancel(c.ctx)
	now := time.Now()

	return &leadership{
		controller: c, term: term, ctx: ctx, cancel: cancel, began: now, leases: lease.New(now, leaseTime),
		heard: make(map[string]heard), ended: make(map[string]topology.Server), reports: make(map[string]report),
		peers: make(map[string]peer), fewer: now, used: make(map[string]map[string]uint64),
		changed: make(chan struct{}), stewards: make(container.Set[string]),
		shares: make(map[string]*share.Table), positions: make(map[string]sighting),
	}
}

func (l *leadership) begin() {
	l.refresh(time.Now())
	l.running.Go(l.confirm)
}

func (l *leadership) end() {
	l.cancel()
	l.running.Wait()
}

// confirm proves again and again that this process leads.
func (l *leadership) confirm() {
	for l.ctx.Err() == nil {
		began := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
		_, err := l.controller.options.Log.Confirm(ctx)

		cancel()

		if err == nil {
			l.prove(began)
		} else {
			l.controller.options.Logger.Warn("leadership could not be confirmed", "term", l.term, "error", err)
		}

		l.pause(confirmInterval)
	}
}

// prove notes a proof of leadership. The first one releases the calls that wait for a lease.
func (l *leadership) prove(began time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.confirmed.IsZero() {
		close(l.changed)
		l.changed = make(chan struct{})
	}

	l.confirmed = began
}

// pause waits. It is false if the leadership ended.
func (l *leadership) pause(delay time.Duration) bool {
	return timer.Sleep(l.ctx, delay) == nil
}

// refresh renews the view if anything in it has changed, starts the stewards of new groups and removes servers that
// were silent for long.
func (l *leadership) refresh(now time.Time) {
	state := l.controller.options.State.View()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	for name := range state.Groups {
		if !l.stewards.Has(name) {
			l.stewards.Add(name)
			l.running.Go(newSteward(l, name).run)
		}
	}

	next := l.compose(now, state)

	same := l.index == state.Index && slices.Equal(next.Servers, l.view.Servers) && next.Proxies == l.view.Proxies &&
		slices.Equal(next.Control, l.view.Control) && next.HoldersKnown == l.view.HoldersKnown &&
		maps.EqualFunc(next.Holders, l.view.Holders, slices.Equal) && l.view.Version.Number > 0
	if !same {
		next.Version = managedcontrol.Version{Term: l.term, Number: l.view.Version.Number + 1}
		l.view, l.index = next, state.Index
		l.use()
		close(l.changed)
		l.changed = make(chan struct{})
	}

	l.forgetSilent(now, state)
}

// compose returns the present view without a version. The mutex is held.
func (l *leadership) compose(now time.Time, state *topology.View) managedcontrol.View {
	next := managedcontrol.View{Proxies: l.leases.Holders(now), Control: l.controller.Control()}
	next.HoldersKnown, next.Holders = l.place(now, state)

	for _, name := range slices.Sorted(maps.Keys(state.Groups)) {
		next.Groups = append(next.Groups, state.Groups[name])
	}

	for _, id := range slices.Sorted(maps.Keys(state.Servers)) {
		server := state.Servers[id]
		// The sequence grows with each announcement and says nothing to a proxy.
		server.Sequence = 0
		next.Servers = append(next.Servers, managedcontrol.Server{Server: server, Silent: l.silence(now, id) > l.silentTime()})
	}

	return next
}

// place chooses the holders of each group. It is not done before the proxies are known. The mutex is held.
func (l *leadership) place(now time.Time, state *topology.View) (placed bool, holders map[string][]placement.Proxy) {
	proxies := make([]placement.Proxy, 0, len(l.peers))

	for name, one := range l.peers {
		if now.Sub(one.at) > peerTime {
			delete(l.peers, name)

			continue
		}

		proxies = append(proxies, one.proxy)
	}

	known := len(proxies) >= int(placeShare*float64(state.Proxies)) || now.Sub(l.began) >= placeTime
	l.count(now, state.Proxies, len(proxies))

	for _, settings := range state.Configuration.Groups {
		connections := settings.Connections - share.Reserve
		if !placement.Shared(connections, max(len(proxies), state.Proxies)) {
			continue
		}

		if !known {
			return false, nil
		}

		if holders == nil {
			holders = make(map[string][]placement.Proxy)
		}

		holders[settings.Name] = placement.Holders(settings.Name, proxies)
	}

	return state.Proxies > 0, holders
}

// count records the number of proxies when it has grown, or has been smaller for some time. The mutex is held.
func (l *leadership) count(now time.Time, recorded, present int) {
	if present >= recorded {
		l.fewer = now
	}

	if present == recorded || present < recorded && now.Sub(l.fewer) < fewerTime || now.Sub(l.counted) < placeTime {
		return
	}

	l.counted = now

	l.running.Go(func() {
		_, err := l.controller.propose(l.ctx, topology.Command{Count: &topology.Count{Proxies: present}})
		l.controller.options.Logger.Info("proxies counted", "proxies", present, "before", recorded, "error", err)
		l.refresh(time.Now())
	})
}

// meet notes a proxy that takes statements from others. The mutex is held.
func (l *leadership) meet(now time.Time, request *managedcontrol.SyncRequest) {
	if request.Leaving || !request.Address.IsValid() {
		delete(l.peers, request.Proxy)

		return
	}

	l.peers[request.Proxy] = peer{at: now, proxy: placement.Proxy{
		Name: request.Proxy, Centre: request.Centre, Address: request.Address,
	}}
}

func (l *leadership) silentTime() time.Duration {
	return time.Duration(silentIntervals * float64(l.controller.options.Announce))
}

// silence returns the time since a server announced itself, or since this process leads. The mutex is held.
func (l *leadership) silence(now time.Time, id string) time.Duration {
	if last, known := l.heard[id]; known {
		return now.Sub(last.at)
	}

	return now.Sub(l.began)
}

// forgetSilent removes servers that were silent for long, except primaries, whose stewards replace them. The mutex is
// held.
func (l *leadership) forgetSilent(now time.Time, state *topology.View) {
	for id, server := range state.Servers {
		if l.silence(now, id) < forgetTime || state.Groups[server.Group].Primary == id {
			continue
		}

		l.heard[id] = heard{server, now} // The next attempt comes after as long a time.

		l.running.Go(func() {
			if err := l.forget(l.ctx, server); err != nil {
				l.controller.options.Logger.Warn("silent server could not be removed", "server", id, "error", err)
			}
		})
	}
}

// forget removes a server unless it has announced itself after the given announcement.
func (l *leadership) forget(ctx context.Context, last topology.Server) error {
	_, err := l.controller.propose(ctx, topology.Command{
		Forget: &topology.Forget{ID: last.ID, Started: last.Started, Sequence: last.Sequence},
	})
	if err == nil {
		l.controller.options.Logger.Info("server removed", "server", last.ID)
		l.refresh(time.Now())
	}

	return err
}

// sync answers a proxy once there is something new for it.
func (l *leadership) sync(ctx context.Context, request *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, error) {
	holder := lease.Holder{Name: request.Proxy, Instance: request.Instance}

	l.mutex.Lock()
	if request.Stopping {
		l.leases.Release(holder)
		delete(l.reports, request.Proxy)
		delete(l.peers, request.Proxy)
		l.mutex.Unlock()

		return &managedcontrol.SyncReply{Lease: 1}, nil
	}

	applied := uint64(0)
	if request.AppliedVersion.Term == l.term {
		applied = request.AppliedVersion.Number
	}

	var granted map[string]int

	// A call without a proxy's name only asks for the leader and the view.
	if now := time.Now(); request.Proxy != "" {
		l.leases.Grant(now, holder, applied)
		l.reports[request.Proxy] = report{at: now, sights: request.PrimaryReports}
		l.meet(now, request)
		granted = l.divide(now, request)
	}
	l.mutex.Unlock()

	hold, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()

	for {
		reply, changed := l.reply(request)
		if reply.Lease > 0 && (reply.View != nil || reply.Configuration != nil || hold.Err() != nil) {
			reply.ConnectionLimits = granted

			return reply, nil
		}

		select {
		case <-changed:
		case <-hold.Done():
			if reply.Lease <= 0 {
				return &managedcontrol.SyncReply{}, nil
			}
		case <-l.ctx.Done():
			return &managedcontrol.SyncReply{}, nil
		}
	}
}

// see notes a position of a group's primary.
func (l *leadership) see(group string, seen sighting) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.positions[group] = seen
}

// divide returns the numbers of connections that a proxy may hold. The mutex is held.
func (l *leadership) divide(now time.Time, request *managedcontrol.SyncRequest) map[string]int {
	state := l.controller.options.State.View()
	granted := make(map[string]int, len(request.Demands))

	for id, demand := range request.Demands {
		settings, known := groupSettings(state, state.Servers[id].Group)
		if !known {
			continue
		}

		limit := settings.Connections - share.Reserve
		if l.shares[id] == nil {
			l.shares[id] = share.New(limit, leaseTime)
		}

		l.shares[id].SetLimit(limit)
		granted[id] = l.shares[id].Report(now, request.Proxy, demand)
	}

	return granted
}

// groupSettings returns the operator's settings for a group.
func groupSettings(state *topology.View, group string) (topology.GroupSettings, bool) {
	for _, settings := range state.Configuration.Groups {
		if settings.Name == group {
			return settings, true
		}
	}

	return topology.GroupSettings{}, false
}

// reply returns what is new for a proxy, and the channel that is closed when that changes.
func (l *leadership) reply(request *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	// The lease counts from the last proof of leadership.
	reply := &managedcontrol.SyncReply{Lease: leaseTime - time.Since(l.confirmed)}

	now := time.Now()
	reply.Positions = make(map[string]managedcontrol.ObservedPosition, len(l.positions))

	for group, seen := range l.positions {
		// A proxy that forwards a group's statements needs no positions of it.
		if holders, placed := l.view.Holders[group]; placed && !named(holders, request.Proxy) {
			continue
		}

		if age := now.Sub(seen.at); age < positionTime {
			reply.Positions[group] = managedcontrol.ObservedPosition{Position: seen.position, Age: age}
		}
	}

	if request.AppliedVersion != l.view.Version {
		view := l.view
		reply.View = &view
	}

	if latest := l.controller.options.State.View().Configuration; latest.Number > request.Configuration {
		latest.Document = nil
		reply.Configuration = &latest
	}

	return reply, l.changed
}

func named(proxies []placement.Proxy, name string) bool {
	return slices.ContainsFunc(proxies, func(p placement.Proxy) bool { return p.Name == name })
}

// configure accepts a configuration.
func (l *leadership) configure(ctx context.Context, configuration topology.Configuration) error {
	logger := l.controller.options.Logger

	if err := configuration.Check(); err != nil {
		logger.Info("configuration refused", "number", configuration.Number, "error", err)

		return err
	}

	if held := l.controller.options.State.View().Configuration.Number; configuration.Number < held {
		logger.Info("configuration is older than the one in force", "number", configuration.Number, "held", held)

		return nil
	}

	answer, err := l.controller.propose(ctx, topology.Command{Configure: &configuration})
	if err == nil {
		l.refresh(time.Now())
	}

	l.controller.options.Metrics.Counter("configurations").Inc(1)
	logger.Info("configuration proposed", "number", configuration.Number, "in force", answer.Number, "reason",
		answer.Reason, "error", err)

	return err
}

// latest returns the newest configuration, after a proof that there is no newer one.
func (l *leadership) latest(ctx context.Context) (*topology.Configuration, error) {
	if _, err := l.controller.options.Log.Confirm(ctx); err != nil {
		return nil, err //nolint:wrapcheck // It carries a result code.
	}

	latest := l.controller.options.State.View().Configuration
	if latest.Number == 0 {
		return nil, result.New(result.NotFound, "no configuration has been accepted yet")
	}

	return &latest, nil
}

// announce notes an announcement and records what is new in it.
func (l *leadership) announce(ctx context.Context, server topology.Server) error {
	l.mutex.Lock()
	last, known := l.heard[server.ID]
	over, ended := l.ended[server.ID]

	if known && !server.Newer(last.server) || ended && !server.Newer(over) {
		l.mutex.Unlock()

		return nil
	}

	l.heard[server.ID] = heard{server, time.Now()}
	l.mutex.Unlock()

	recorded, exists := l.controller.options.State.View().Servers[server.ID]
	if exists && (recorded.Same(server) || !server.Newer(recorded)) {
		return nil
	}

	_, err := l.controller.propose(ctx, topology.Command{Announce: &server})

	if result.CodeOf(err) == result.OutdatedEpoch {
		// A newer announcement came first.
		return nil
	}

	if err != nil {
		return err
	}

	l.controller.options.Logger.Info("server announced a change", "server", server.ID, "group", server.Group, "address",
		server.Address, "leaving", server.Leaving, "primary", server.Claims)
	l.refresh(time.Now())

	return nil
}

// withdraw removes a server that has ended.
func (l *leadership) withdraw(ctx context.Context, id string) error {
	last, known := l.controller.options.State.View().Servers[id]
	if !known {
		return nil
	}

	l.mutex.Lock()
	if newest, announced := l.heard[id]; announced && newest.server.Newer(last) {
		last = newest.server
	}

	l.ended[id] = last
	l.mutex.Unlock()

	return l.forget(ctx, last)
}

// pending returns the proxies that may still use the servers of a group as a view before the given version says. One
// that has applied a view after the last one in which it held connections of the group uses them no more.
func (l *leadership) pending(now time.Time, group string, version uint64) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.leases.Pending(now, func(name string) uint64 {
		return min(version, max(l.used[group][everyProxy], l.used[group][name])+1)
	})
}

// everyProxy is the name under which used keeps the views in which each proxy holds connections of a group.
const everyProxy = ""

// use notes who holds connections in the present view. The mutex is held.
func (l *leadership) use() {
	for _, group := range l.view.Groups {
		if l.used[group.Name] == nil {
			l.used[group.Name] = make(map[string]uint64)
		}

		// Before the holders are chosen, proxies go by an earlier view.
		holders, placed := l.view.Holders[group.Name]
		if !placed || !l.view.HoldersKnown {
			l.used[group.Name][everyProxy] = l.view.Version.Number
		}

		for _, holder := range holders {
			l.used[group.Name][holder.Name] = l.view.Version.Number
		}
	}
}

// version returns the number of the present view, after it was renewed.
func (l *leadership) version() uint64 {
	l.refresh(time.Now())

	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.view.Version.Number
}

// sights returns what the proxies say of a server.
func (l *leadership) sights(now time.Time, server string) []managedcontrol.PrimaryReport {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	var sights []managedcontrol.PrimaryReport

	for name, last := range l.reports {
		if now.Sub(last.at) > sightTime {
			delete(l.reports, name)

			continue
		}

		for _, sight := range last.sights {
			if sight.Server == server {
				sights = append(sights, sight)
			}
		}
	}

	return sights
}

// announced reports whether a server has announced itself lately.
func (l *leadership) announced(now time.Time, server string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	_, known := l.heard[server]

	return known && l.silence(now, server) <= l.silentTime()
}
