package managedproxy

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"almondgrade/core/freshness"
	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/share"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// view is what requests act on. It is immutable.
type view struct {
	version       managedcontrol.Version
	configuration *topology.Configuration
	pools         map[string]*topology.Pool
	groups        map[string]*group
	control       *managedcontrol.View
	// placed is true once a view has said who holds connections.
	placed bool
	// holders are the holders of the groups of which not each proxy holds its own connections.
	holders map[string]*holders
}

// group is a group of a view.
type group struct {
	topology.Group
	primary *server
	servers []*server
	track   *track
}

// track is a freshness.Track for concurrent use.
type track struct {
	mutex sync.Mutex
	track *freshness.Track
}

func (t *track) observe(at time.Time, seen position.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.track.Observe(at, seen)
}

func (t *track) floor(now time.Time, maxAge time.Duration) (position.Position, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.track.Floor(now, maxAge)
}

func (t *track) behind(now time.Time, held position.Position) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.track.Behind(now, held)
}

// Applied returns the version of the view and the number of the configuration in force.
func (g *Gateway) Applied() (version managedcontrol.Version, configuration uint64) {
	present := g.view.Load()
	if present.configuration != nil {
		configuration = present.configuration.Number
	}

	return present.version, configuration
}

// Apply puts a configuration and a view into force; nil keeps the present one. A configuration with a lower number than
// the present one is left out.
func (g *Gateway) Apply(configuration *topology.Configuration, control *managedcontrol.View) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	next := *g.view.Load()

	if configuration != nil && configuration.Number > 0 &&
		(next.configuration == nil || configuration.Number > next.configuration.Number) {
		next.configuration = configuration
		next.pools = make(map[string]*topology.Pool, len(configuration.Pools))

		for i := range configuration.Pools {
			next.pools[configuration.Pools[i].Database] = &configuration.Pools[i]
		}

		g.options.Logger.Info("configuration in force", "number", configuration.Number, "pools", len(configuration.Pools))
	}

	if control != nil {
		next.version, next.control = control.Version, control

		if control.HoldersKnown {
			next.placed, next.holders = true, g.holders(control)
		}
	}

	if next.control != nil {
		next.groups = g.groups(next.control)
		g.size(&next)
	}

	g.view.Store(&next)
	close(g.changed)
	g.changed = make(chan struct{})
}

// groups returns the groups of a view, with the server objects that exist already. The mutex is held.
func (g *Gateway) groups(control *managedcontrol.View) map[string]*group {
	former := g.view.Load().groups
	groups := make(map[string]*group, len(control.Groups))
	present := make(map[string]bool, len(control.Servers))

	for _, one := range control.Groups {
		if g.tracks[one.Name] == nil {
			g.tracks[one.Name] = &track{track: freshness.New()}
		}

		groups[one.Name] = &group{Group: one, track: g.tracks[one.Name]}

		if before := former[one.Name]; before != nil && (before.Primary != one.Primary || before.Phase != one.Phase) {
			g.options.Logger.Info("view of a group changed", "group", one.Name, "primary", one.Primary,
				"phase", one.Phase.String(), "former", before.Primary, "version", control.Version)
		}
	}

	for _, info := range control.Servers {
		within := groups[info.Group]
		if within == nil {
			continue
		}

		present[info.ID] = true
		known := g.servers[info.ID]

		if known == nil || known.info.Load().Address != info.Address || known.info.Load().Started != info.Started {
			if known != nil {
				known.pool.close()
			}

			known = newServer(info, g.options.Dial)
			g.servers[info.ID] = known
		}

		known.info.Store(&info)

		within.servers = append(within.servers, known)
		if info.ID == within.Primary {
			within.primary = known
		}
	}

	for id, known := range g.servers {
		if !present[id] {
			known.pool.close()
			delete(g.servers, id)
		}
	}

	return groups
}

// holders returns the holders of a view.
func (g *Gateway) holders(control *managedcontrol.View) map[string]*holders {
	placed := make(map[string]*holders, len(control.Holders))

	for group, proxies := range control.Holders {
		placed[group] = &holders{proxies: proxies, self: slices.ContainsFunc(proxies, func(p placement.Proxy) bool {
			return p.Name == g.options.Name
		})}
	}

	return placed
}

// size tells the pools how many connections they may hold: none if other proxies hold those of the group. The mutex is
// held.
func (g *Gateway) size(next *view) {
	if next.configuration == nil {
		return
	}

	limits := make(map[string]int, len(next.configuration.Groups))
	for _, one := range next.configuration.Groups {
		limits[one.Name] = one.Connections
	}

	for name, within := range next.groups {
		placed := next.holders[name]

		for _, one := range within.servers {
			switch {
			case !next.placed || placed.remote():
				one.pool.retire()
			case placed != nil:
				one.pool.divide(limits[name], len(placed.proxies), true)
			default:
				one.pool.divide(limits[name], next.control.Proxies, false)
			}
		}
	}
}

// Demands returns what the proxy holds and wants of each server's connections.
func (g *Gateway) Demands() map[string]share.Demand {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	demands := make(map[string]share.Demand, len(g.servers))

	for id, one := range g.servers {
		// A server without connections or demand is left out.
		if demand := one.pool.demand(); demand != (share.Demand{}) {
			demands[id] = demand
		}
	}

	return demands
}

// Grant sets the numbers of connections that control has granted.
func (g *Gateway) Grant(connections map[string]int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	for id, limit := range connections {
		if known := g.servers[id]; known != nil {
			known.pool.grant(limit)
		}
	}
}

// Observe notes a position of a group's primary: it covers every commit that was acknowledged before a boot time.
func (g *Gateway) Observe(group string, at time.Time, seen position.Position) {
	if known := g.view.Load().groups[group]; known != nil {
		known.track.observe(at, seen)
	}
}

// wait returns the present view and a channel that is closed when it changes.
func (g *Gateway) wait() (*view, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.view.Load(), g.changed
}

// Control returns the addresses of the control processes of the view.
func (g *Gateway) Control() []netip.AddrPort {
	if present := g.view.Load(); present.control != nil {
		return present.control.Control
	}

	return nil
}
