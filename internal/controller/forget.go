package controller

import (
	"context"
	"slices"
	"time"

	"almondgrade/core/registry"
)

// minMembers is the number of members that a group keeps even if some of them are dead. In a group of one member, the
// primary alone would acknowledge writes.
const minMembers = 2

// recordReachability records since when a server has been unreachable.
func (w *worker) recordReachability(server string, reachable bool) {
	if reachable {
		delete(w.unreachableSince, server)

		return
	}

	if _, found := w.unreachableSince[server]; !found {
		w.unreachableSince[server] = w.lead.controller.options.Timer.Now()
	}
}

// removeDead removes a server that died without announcing that it leaves: first from the members, then from the state.
// The server comes back by announcing itself. One server is removed at a time.
func (w *worker) removeDead(ctx context.Context, view *registry.View, group registry.Group) bool {
	limit := forgetDelay(view)

	for name, since := range w.unreachableSince {
		server, found := view.Servers[name]
		if !found || server.Group != group.Name {
			delete(w.unreachableSince, name)

			continue
		}

		if w.lead.controller.options.Timer.Now().Sub(since) < limit || !w.lead.isDead(ctx, view, group, server) {
			continue
		}

		if !slices.Contains(group.Members, name) {
			delete(w.unreachableSince, name)

			return w.forgetServer(ctx, server)
		}

		if len(group.Members) > minMembers {
			w.lead.controller.incrementCounter("member_dropped")

			return w.lead.controller.recordCommand(ctx, "dead member removed", registry.Command{
				ChangeMembers: &registry.ChangeMembers{Group: group.Name, Term: group.Term, Remove: name},
			}, "group", group.Name, "server", name, "unreachable_since", since)
		}
	}

	return false
}

// defaultForgetDelay is the time after which an unreachable server is removed if the settings don't set it.
const defaultForgetDelay = 10 * time.Second

func forgetDelay(view *registry.View) time.Duration {
	return view.Running.Timing.AnnounceTimeout.Or(defaultForgetDelay)
}

// isDead reports whether no observer that answered could reach a server.
func (l *leadership) isDead(ctx context.Context, view *registry.View, group registry.Group, server registry.Server) bool {
	for _, report := range l.collectReports(ctx, view, group, server) {
		if report.Reachable {
			return false
		}
	}

	return true
}

func (w *worker) forgetServer(ctx context.Context, server registry.Server) bool {
	w.lead.controller.incrementCounter("server_forgotten")

	return w.lead.controller.recordCommand(ctx, "server forgotten", registry.Command{
		ForgetServer: &registry.ForgetServer{Server: server.Name, Incarnation: server.Incarnation},
	}, "group", server.Group, "server", server.Name)
}
