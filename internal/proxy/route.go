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

// readCandidates describes the servers of a group to the router. The result is valid until the next call.
func (s *session) readCandidates(r *request, view *registry.View, group *registry.Group, observations []Observation) []route.Server {
	s.candidateBuffer = s.candidateBuffer[:0]
	primary := false

	for i := range observations {
		observation := &observations[i]

		server, known := view.Servers[observation.Server]
		if !known || server.Group != group.Name {
			continue
		}

		candidate := route.Server{
			Name: observation.Server, Centre: server.Centre, Primary: observation.Server == group.Primary, Reachable: observation.Reachable,
			Leaving: server.Leaving, Position: observation.Replayed, DataAge: observation.Age, ObservedAt: observation.At, Slots: server.Slots,
			RunningStatements: int(s.server.pools.runningStatements(observation.Server, view.Running.Pools[s.target.pool].Database)),
		}

		if candidate.Primary {
			primary = true
			// Whether the primary is reachable shows when the read is sent; at that point there is no alternative to
			// it.
			candidate.Reachable = true
		} else if observation.Replayed.Term < group.Term || slices.Contains(r.avoidServers, observation.Server) {
			// A server of an old term may return data that the change of primary has discarded.
			candidate.Reachable = false
		}

		s.candidateBuffer = append(s.candidateBuffer, candidate)
	}

	if server, known := view.Servers[group.Primary]; known && !primary {
		s.candidateBuffer = append(s.candidateBuffer, route.Server{
			Name: group.Primary, Centre: server.Centre, Primary: true, Reachable: true, Leaving: server.Leaving, Slots: server.Slots,
		})
	}

	return s.candidateBuffer
}

// routeRequest returns the router's input for a read.
func (s *session) routeRequest(
	r *request, view *registry.View, group *registry.Group, observations []Observation, now time.Time,
) route.Request {
	return route.Request{
		Now: now, History: group.History, MaxAge: time.Duration(r.rule.MaxAge), Rotation: s.server.turn.Add(1),
		Centre: view.Proxies[s.server.options.Name].Centre, Servers: s.readCandidates(r, view, group, observations),
	}
}
