package controller

import (
	"context"
	"slices"
	"time"

	"almondgrade/core/registry"
)

// leastMembers is the number of members that a group keeps although some are dead. With one member left, a write
// would be acknowledged by the primary alone.
const leastMembers = 2

// noteReachable records since when a server could not be reached.
func (w *worker) noteReachable(server string, reachable bool) {
	if reachable {
		delete(w.unreachable, server)

		return
	}

	if _, found := w.unreachable[server]; !found {
		w.unreachable[server] = w.lead.controller.options.Timer.Now()
	}
}

// dropDead takes a server that died without a word out of the quorums and then forgets it. It returns by announcing
// itself. One server is dropped at a time.
func (w *worker) dropDead(ctx context.Context, view *registry.View, group registry.Group) bool {
	limit := view.Running.Timing.AnnounceTimeout.Or(defaultForget)

	for name, since := range w.unreachable {
		server, found := view.Servers[name]
		if !found || server.Group != group.Name {
			delete(w.unreachable, name)

			continue
		}

		if w.lead.controller.options.Timer.Now().Sub(since) < limit || !w.lead.dead(ctx, view, group, server) {
			continue
		}

		if !slices.Contains(group.Members, name) {
			delete(w.unreachable, name)

			return w.forget(ctx, server)
		}

		if len(group.Members) > leastMembers {
			w.lead.controller.count("member_dropped")

			return w.lead.controller.record(ctx, "dead member removed", registry.Command{
				ChangeMembers: &registry.ChangeMembers{Group: group.Name, Term: group.Term, Remove: name},
			}, "group", group.Name, "server", name, "unreachable_since", since)
		}
	}

	return false
}

// defaultForget is the time after which an unreachable server is dropped if the settings leave it out.
const defaultForget = 10 * time.Second

// dead reports whether every observer that answered failed to reach a server.
func (l *leadership) dead(ctx context.Context, view *registry.View, group registry.Group, server registry.Server) bool {
	for _, report := range l.reports(ctx, view, group, server) {
		if report.Reachable {
			return false
		}
	}

	return true
}

func (w *worker) forget(ctx context.Context, server registry.Server) bool {
	w.lead.controller.count("server_forgotten")

	return w.lead.controller.record(ctx, "server forgotten", registry.Command{
		ForgetServer: &registry.ForgetServer{Server: server.Name, Incarnation: server.Incarnation},
	}, "group", server.Group, "server", server.Name)
}
