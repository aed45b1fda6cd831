package managedproxy

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"almondgrade/core/customer"
	"almondgrade/core/freshness"
	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/share"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// view is the state that requests act on. It is immutable.
type view struct {
	version       managedcontrol.Version
	configuration *topology.Configuration
	pools         map[string]*topology.Pool
	customers     *customer.Directory
	groups        map[string]*viewGroup
	controlView   *managedcontrol.View
	// holdersKnown is true once a view has named the holders.
	holdersKnown bool
	// holders has the holders of each group in which only some proxies hold connections.
	holders map[string]*holderSet
}

// viewGroup is a group of a view with its servers.
type viewGroup struct {
	topology.Group
	primary *server
	servers []*server
	track   *freshnessTrack
	// syncReplicas is the number of replicas that must hold an acknowledged commit.
	syncReplicas int
	// commitStop is set while commits to the primary end because it is replaced.
	commitStop *commitStop
}

// freshnessTrack guards a freshness.Tracker for concurrent use.
type freshnessTrack struct {
	mutex sync.Mutex
	track *freshness.Tracker
}

func (t *freshnessTrack) recordPosition(at time.Time, seen position.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.track.Observe(at, seen)
}

// newest returns the position that was last observed of the primary of a term, or zero if none was.
func (t *freshnessTrack) newest(term position.Term) position.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if seen, _, known := t.track.Latest(); known && seen.Term == term {
		return seen
	}

	return position.Position{}
}

func (t *freshnessTrack) floor(now time.Time, maxAge time.Duration) (position.Position, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.track.Floor(now, maxAge)
}

func (t *freshnessTrack) lag(now time.Time, held position.Position) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.track.Lag(now, held)
}

// AppliedVersions returns the version of the view in force and the number of the configuration in force.
func (g *Gateway) AppliedVersions() (version managedcontrol.Version, configuration uint64) {
	current := g.view.Load()
	if current.configuration != nil {
		configuration = current.configuration.Number
	}

	return current.version, configuration
}

// ApplyDelta returns the configuration that results from applying a delta to the one in force.
func (g *Gateway) ApplyDelta(delta *topology.ConfigurationDelta) (*topology.Configuration, error) {
	base := g.view.Load().configuration
	if base == nil {
		base = &topology.Configuration{}
	}

	return base.Apply(delta) //nolint:wrapcheck // It names both configurations.
}

// Apply puts a configuration and a view into force; nil keeps the current one. A configuration is ignored unless its
// number is greater than that of the current one.
func (g *Gateway) Apply(configuration *topology.Configuration, control *managedcontrol.View) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	next := *g.view.Load()

	if configuration != nil && configuration.Number > 0 &&
		(next.configuration == nil || configuration.Number > next.configuration.Number) {
		next.configuration = configuration
		next.customers = customer.NewDirectory(configuration.Customers)
		next.holders = withoutOrders(next.holders)
		g.limits.setCustomers(configuration)
		next.pools = make(map[string]*topology.Pool, len(configuration.Pools))

		for i := range configuration.Pools {
			next.pools[configuration.Pools[i].Database] = &configuration.Pools[i]
		}

		g.options.Logger.Info("configuration in force", "number", configuration.Number, "pools", len(configuration.Pools))
	}

	if control != nil {
		next.version, next.controlView = control.Version, control

		if control.HoldersKnown {
			next.holdersKnown, next.holders = true, g.buildHolders(control)
		}
	}

	if next.controlView != nil {
		next.groups = g.buildGroups(next.controlView, &next)
		g.setConnectionLimits(&next)
	}

	previous := g.view.Load().customers
	g.view.Store(&next)

	if next.customers != previous {
		g.endWithdrawnSessions()
	}

	close(g.viewChanged)
	g.viewChanged = make(chan struct{})
}

// buildGroups returns the groups of a view. It reuses the server objects that exist and closes the pools of removed
// servers. The view may lack the groups whose connections other proxies hold. The mutex is held.
func (g *Gateway) buildGroups(control *managedcontrol.View, next *view) map[string]*viewGroup {
	previousGroups := g.view.Load().groups
	groups := make(map[string]*viewGroup, len(control.Groups))
	listed := make(map[string]bool, len(control.Servers))
	syncReplicas := next.configuredSyncReplicas()

	for _, info := range control.Groups {
		if g.tracks[info.Name] == nil {
			g.tracks[info.Name] = &freshnessTrack{track: freshness.New()}
		}

		groups[info.Name] = &viewGroup{
			Group: info, track: g.tracks[info.Name], syncReplicas: syncReplicas[info.Name],
			commitStop: newCommitStop(previousGroups[info.Name], info, syncReplicas[info.Name], time.Now()),
		}

		if previous := previousGroups[info.Name]; previous != nil && (previous.Primary != info.Primary || previous.Phase != info.Phase) {
			g.options.Logger.Info("primary or phase of a group changed", "group", info.Name, "primary", info.Primary,
				"phase", info.Phase.String(), "former", previous.Primary, "version", control.Version)
		}
	}

	for _, info := range control.Servers {
		group := groups[info.Group]
		if group == nil {
			continue
		}

		listed[info.ID] = true
		known := g.servers[info.ID]

		if known == nil || known.info.Load().Address != info.Address || known.info.Load().StartedAtMillis != info.StartedAtMillis {
			if known != nil {
				known.connPool.close()
				known.leaveGroup()
			}

			known = newServer(info, g.options.Dial)
			known.answers.metrics, known.answers.logger = g.options.Metrics, g.options.Logger
			known.joinGroup(g.groupCapacity(info.Group))
			g.servers[info.ID] = known
		}

		known.info.Store(&info)

		group.servers = append(group.servers, known)
		if info.ID == group.Primary {
			group.primary = known
		}
	}

	for id, known := range g.servers {
		if listed[id] {
			continue
		}

		// Transactions that were begun while the proxy was a holder end on their connections.
		if next.holders[known.info.Load().Group].mustForward() {
			known.connPool.retire()

			if known.connPool.takeDemand().Open > 0 {
				continue
			}
		}

		known.connPool.close()
		known.leaveGroup()
		delete(g.servers, id)
	}

	for name, group := range groups {
		g.groupCapacity(name).setReplicas(group)
	}

	return groups
}

// buildHolders returns the holders by group, as the view names them.
func (g *Gateway) buildHolders(control *managedcontrol.View) map[string]*holderSet {
	byGroup := make(map[string]*holderSet, len(control.Holders))

	for group, proxies := range control.Holders {
		byGroup[group] = &holderSet{proxies: proxies, includesSelf: slices.ContainsFunc(proxies, func(p placement.Proxy) bool {
			return p.Name == g.options.Name
		})}
	}

	return byGroup
}

// configuredSyncReplicas returns the number of replicas that must hold an acknowledged commit, by group, where it is not zero.
func (v *view) configuredSyncReplicas() map[string]int {
	if v.configuration == nil {
		return nil
	}

	numbers := make(map[string]int)

	for _, settings := range v.configuration.Groups {
		if settings.SyncReplicas > 0 {
			numbers[settings.Name] = settings.SyncReplicas
		}
	}

	return numbers
}

// syncReplicas returns the number of replicas that must hold an acknowledged commit of a group, or zero if the group is not in the
// view.
func (v *view) syncReplicas(group string) int {
	if known := v.groups[group]; known != nil {
		return known.syncReplicas
	}

	return 0
}

// maxConnections returns the number of connections to each server of a group that the configuration permits.
func (v *view) maxConnections(group string) int {
	for _, settings := range v.configuration.Groups {
		if settings.Name == group {
			return settings.MaxConnections
		}
	}

	return 0
}

// setConnectionLimits sets how many connections each pool may hold: none if other proxies hold those of the group. The
// mutex is held.
func (g *Gateway) setConnectionLimits(next *view) {
	if next.configuration == nil {
		return
	}

	limits := make(map[string]int, len(next.configuration.Groups))
	for _, settings := range next.configuration.Groups {
		limits[settings.Name] = settings.MaxConnections
	}

	for name, group := range next.groups {
		groupHolders := next.holders[name]
		limit := limits[name]

		if next.customers != nil && groupHolders != nil {
			limit -= share.RestartReserve(limit, len(groupHolders.proxies))
		}

		for _, server := range group.servers {
			switch {
			case !next.holdersKnown || groupHolders.mustForward():
				server.connPool.retire()
			case groupHolders != nil:
				server.connPool.setEqualShare(limit, len(groupHolders.proxies), true)
			default:
				server.connPool.setEqualShare(limit, next.controlView.Proxies, false)
			}
		}
	}
}

// Demands returns for each server the connections that the proxy holds and wants, and begins a new reporting period.
func (g *Gateway) Demands() map[string]share.Demand {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	demands := make(map[string]share.Demand, len(g.servers))

	for id, server := range g.servers {
		// A server without connections or demand is left out.
		if demand := server.connPool.takeDemand(); demand != (share.Demand{}) {
			demands[id] = demand
		}
	}

	return demands
}

// GrantConnections sets the numbers of connections that control has granted, by server.
func (g *Gateway) GrantConnections(connections map[string]int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	for id, limit := range connections {
		if known := g.servers[id]; known != nil {
			known.connPool.setGrant(limit)
		}
	}
}

// ObservePosition records a position of a group's primary. The position covers every commit that was acknowledged
// before the given boot time.
func (g *Gateway) ObservePosition(group string, at time.Time, seen position.Position) {
	if known := g.view.Load().groups[group]; known != nil {
		known.track.recordPosition(at, seen)
	}
}

// watchView returns the current view and a channel that is closed when it changes.
func (g *Gateway) watchView() (*view, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.view.Load(), g.viewChanged
}

// ControlAddresses returns the addresses of the control processes in the view.
func (g *Gateway) ControlAddresses() []netip.AddrPort {
	if current := g.view.Load(); current.controlView != nil {
		return current.controlView.Control
	}

	return nil
}
