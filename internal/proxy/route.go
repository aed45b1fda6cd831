package proxy

import (
	"slices"
	"time"

	"almondgrade/core/registry"
	"almondgrade/core/route"
)

// Router chooses the backend server for a read. The policies of package route implement it.
type Router interface {
	Choose(request route.Request) route.Choice
}

// candidates describes the servers of a group for a choice. The result is valid until the next call.
func (s *session) candidates(r *request, view *registry.View, group *registry.Group, seen []Observation) []route.Server {
	s.servers = s.servers[:0]
	primary := false

	for i := range seen {
		one := &seen[i]

		server, known := view.Servers[one.Server]
		if !known || server.Group != group.Name {
			continue
		}

		candidate := route.Server{
			Name: one.Server, Centre: server.Centre, Primary: one.Server == group.Primary, Reachable: one.Reachable,
			Leaving: server.Leaving, Position: one.Replayed, DataAge: one.Age, ObservedAt: one.At, Slots: server.Slots,
			RunningStatements: int(s.server.pools.load(one.Server, view.Running.Pools[s.target.pool].Database)),
		}

		if candidate.Primary {
			primary = true
			// Whether the primary can be reached shows when the read gets there; there is no other choice by then.
			candidate.Reachable = true
		} else if one.Replayed.Term < group.Term || slices.Contains(r.avoid, one.Server) {
			// A server of an old term may show what the change of primary has discarded.
			candidate.Reachable = false
		}

		s.servers = append(s.servers, candidate)
	}

	if server, known := view.Servers[group.Primary]; known && !primary {
		s.servers = append(s.servers, route.Server{
			Name: group.Primary, Centre: server.Centre, Primary: true, Reachable: true, Leaving: server.Leaving, Slots: server.Slots,
		})
	}

	return s.servers
}

// routeRequest returns what the choice for a read depends on.
func (s *session) routeRequest(
	r *request, view *registry.View, group *registry.Group, seen []Observation, now time.Time,
) route.Request {
	return route.Request{
		Now: now, History: group.History, MaxAge: time.Duration(r.rule.MaxAge), Rotation: s.server.turn.Add(1),
		Centre: view.Proxies[s.server.options.Name].Centre, Servers: s.candidates(r, view, group, seen),
	}
}
