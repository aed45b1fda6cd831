package controller

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/container"
	"almondgrade/core/registry"
	"almondgrade/io/backend"
)

// bootstrap names the first primary of a group. It waits while no server, or more than one, says it is a primary:
// choosing between two would be a promotion without a quorum.
func (w *worker) bootstrap(ctx context.Context, group registry.Group) time.Duration {
	var primaries []registry.Server

	for _, server := range w.servers {
		if !server.Recovery && !server.Leaving {
			primaries = append(primaries, server)
		}
	}

	if len(primaries) != 1 {
		if len(primaries) > 1 {
			w.lead.controller.options.Logger.Error("group has several primaries and no history; stop all but one",
				"group", group.Name, "servers", names(primaries))
		}

		return retryPeriod
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.admin(ctx, primaries[0])
	if err != nil {
		return retryPeriod
	}
	defer admin.Close()

	if err := admin.SetTerm(ctx, primaries[0].Name, 1); err != nil {
		return retryPeriod
	}

	w.lead.controller.record(ctx, "first primary recorded", registry.Command{Bootstrap: &registry.Bootstrap{
		Group: group.Name, Primary: primaries[0].Name,
	}}, "group", group.Name, "primary", primaries[0].Name)

	return busyPeriod
}

// reconcile attaches the replicas of a stable group to its primary and brings the member list up to date.
func (w *worker) reconcile(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	if len(group.Previous) > 0 {
		if !w.lead.inForce(group.Changed) {
			return busyPeriod
		}

		w.lead.controller.record(ctx, "members settled", registry.Command{Settle: &registry.Settle{
			Group: group.Name, Version: group.Changed,
		}}, "group", group.Name, "members", group.Members)

		return busyPeriod
	}

	if w.dropLost(ctx, view, group) {
		return busyPeriod
	}

	primary, err := w.observePrimary(ctx, view, group)
	if err != nil {
		return retryPeriod
	}

	settled := w.reconcileReplicas(ctx, view, group, primary)

	if w.dropLeaving(ctx, group) || w.dropDead(ctx, view, group) || !settled {
		return retryPeriod
	}

	return sweepPeriod
}

// reconcileReplicas attaches the replicas and adds at most one that has caught up to the members. It returns whether
// all are as they should be.
func (w *worker) reconcileReplicas(
	ctx context.Context, view *registry.View, group registry.Group, primary backend.Observation,
) bool {
	settled, added := true, false

	for _, server := range w.servers {
		if server.Name == group.Primary || server.Leaving {
			continue
		}

		member := slices.Contains(group.Members, server.Name)
		found := w.reconcileReplica(ctx, view, group, server, primary)
		settled = settled && found.attached && (found.caughtUp || member)

		if found.caughtUp && !added && !member {
			added = w.addMember(ctx, group, server)
			settled = false
		}

		w.noteReachable(server.Name, found.reachable)
	}

	return settled
}

// dropLost takes a member out whose data were lost. It must not be attached before: the coordinator would count
// positions that it reports while it is a member.
func (w *worker) dropLost(ctx context.Context, view *registry.View, group registry.Group) bool {
	for _, name := range group.Members {
		server, found := view.Servers[name]
		if !found || name == group.Primary || server.Identity == group.Identities[name] {
			continue
		}

		return w.lead.controller.record(ctx, "member with lost data removed", registry.Command{
			Members: &registry.ChangeMembers{Group: group.Name, Term: group.Term, Remove: name},
		}, "group", group.Name, "server", name)
	}

	return false
}

// dropLeaving takes leaving servers out of the quorums. One that no longer answers is forgotten.
func (w *worker) dropLeaving(ctx context.Context, group registry.Group) bool {
	for _, server := range w.servers {
		if !server.Leaving || server.Name == group.Primary {
			continue
		}

		if slices.Contains(group.Members, server.Name) {
			return w.lead.controller.record(ctx, "leaving member removed", registry.Command{
				Members: &registry.ChangeMembers{Group: group.Name, Term: group.Term, Remove: server.Name},
			}, "group", group.Name, "server", server.Name)
		}

		if !w.lead.controller.probe(ctx, server).Reachable {
			return w.forget(ctx, server)
		}
	}

	return false
}

// observePrimary asks the primary for its position and makes it carry its term.
func (w *worker) observePrimary(ctx context.Context, view *registry.View, group registry.Group) (backend.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.admin(ctx, view.Servers[group.Primary])
	if err != nil {
		return backend.Observation{}, err
	}
	defer admin.Close()

	seen, err := admin.Observe(ctx)
	if err != nil {
		return seen, err //nolint:wrapcheck // It names the statement.
	}

	if seen.InRecovery {
		return seen, eris.Errorf("server %s is recorded as primary of group %s but is a replica", group.Primary, group.Name)
	}

	if seen.Attachment.Term < group.Term {
		err = admin.SetTerm(ctx, group.Primary, group.Term)
	}

	return seen, err //nolint:wrapcheck // It names the statement.
}

// replicaState is what reconcileReplica found.
type replicaState struct {
	reachable bool
	// attached is true if the server follows the primary, caughtUp if it has everything that the primary held when
	// it was observed.
	attached bool
	caughtUp bool
}

// reconcileReplica attaches one server.
func (w *worker) reconcileReplica(
	ctx context.Context, view *registry.View, group registry.Group, server registry.Server, primary backend.Observation,
) replicaState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.admin(ctx, server)
	if err != nil {
		return replicaState{}
	}
	defer admin.Close()

	seen, err := admin.Observe(ctx)
	if err != nil || !seen.InRecovery {
		// A primary of an old term waits for the platform, which rewinds it.
		return replicaState{reachable: err == nil}
	}

	address := view.Servers[group.Primary].Address
	if seen.Attachment.Term == group.Term && !seen.Attachment.Fenced && seen.Attachment.Primary == address {
		return replicaState{reachable: true, attached: true, caughtUp: seen.ReceivedLSN >= primary.InsertLSN}
	}

	w.attach(ctx, admin, group, server, seen, address)

	return replicaState{reachable: true}
}

// addMember makes a server count in the quorums of its group.
func (w *worker) addMember(ctx context.Context, group registry.Group, server registry.Server) bool {
	return w.lead.controller.record(ctx, "member added", registry.Command{Members: &registry.ChangeMembers{
		Group: group.Name, Term: group.Term, Add: server.Name, Identity: server.Identity,
	}}, "group", group.Name, "server", server.Name)
}

// attach makes a server follow the primary if its log is a prefix of the primary's. A server that has received more
// than survived must be rewound by the platform first: attached as it is, its position would not tell what it holds.
func (w *worker) attach(
	ctx context.Context, admin *backend.Admin, group registry.Group, server registry.Server, seen backend.Observation,
	address netip.AddrPort,
) {
	if !prefix(group, seen) {
		w.lead.controller.count("attach_needs_rewind")
		w.lead.controller.options.Logger.Warn("server must be rewound before it can be attached", "group", group.Name,
			"server", server.Name, "term", seen.Attachment.Term, "received", seen.ReceivedLSN)

		return
	}

	if err := admin.Attach(ctx, server.Name, group.Term, address); err != nil {
		w.lead.controller.options.Logger.Warn("attaching failed", "group", group.Name, "server", server.Name, "error", err)

		return
	}

	w.lead.controller.options.Logger.Info("server attached", "group", group.Name, "server", server.Name, "term", group.Term)
}

// prefix reports whether what a replica has received is a prefix of the log of the present term. A server that was
// attached in some term holds a prefix of that term's log, so that only later terms can have discarded some of it.
func prefix(group registry.Group, seen backend.Observation) bool {
	for _, begin := range group.History.Begins() {
		if begin.Term > max(seen.Attachment.Term, 1) && seen.ReceivedLSN > begin.LSN {
			return false
		}
	}

	return true
}

func names(servers []registry.Server) []string {
	set := container.NewSet[string]()
	for _, server := range servers {
		set.Add(server.Name)
	}

	return container.Sorted(set)
}
