package controller

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/container"
	"almondgrade/core/failover"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/io/backend"
)

// bootstrap records the first primary of a group. It waits while no server or more than one claims to be a primary,
// because choosing between two would be a promotion without a quorum.
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
				"group", group.Name, "servers", serverNames(primaries))
		}

		return retryPause
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.openAdmin(ctx, primaries[0])
	if err != nil {
		return retryPause
	}
	defer admin.Close()

	if err := admin.SetTerm(ctx, primaries[0].Name, 1); err != nil {
		return retryPause
	}

	w.lead.controller.recordCommand(ctx, "first primary recorded", registry.Command{Bootstrap: &registry.Bootstrap{
		Group: group.Name, Primary: primaries[0].Name,
	}}, "group", group.Name, "primary", primaries[0].Name)

	return stepPause
}

// reconcile attaches the replicas of a stable group to its primary and brings the member list up to date.
func (w *worker) reconcile(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	if len(group.PreviousMembers) > 0 {
		return w.settleMembers(ctx, view, group)
	}

	if w.removeLostMember(ctx, view, group) {
		return stepPause
	}

	primary, err := w.observePrimary(ctx, view, group)
	if err != nil {
		return retryPause
	}

	settled, _ := w.reconcileReplicas(ctx, view, group, primary)

	if w.removeLeaving(ctx, group) || w.removeDead(ctx, view, group) || !settled {
		return retryPause
	}

	return sweepInterval
}

// settlement is the position up to which writes may have been confirmed by the previous members of a group alone.
type settlement struct {
	changedIndex uint64
	term         position.Term
	end          position.LSN
}

// settleMembers ends a change of members, so that quorums need to hold in the new list only. That list must be in force on each proxy, and
// a commit quorum of it must hold every write that was confirmed before: the members that stay may lack what the removed one has
// confirmed, and a fence quorum of the new list may consist of them alone.
func (w *worker) settleMembers(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	if !w.lead.isInForce(group.MembersChangedIndex) {
		return stepPause
	}

	primary, err := w.observePrimary(ctx, view, group)
	if err != nil {
		return retryPause
	}

	if w.settlement.changedIndex != group.MembersChangedIndex || w.settlement.term != group.Term {
		w.settlement = settlement{changedIndex: group.MembersChangedIndex, term: group.Term, end: primary.InsertLSN}
	}

	primary.InsertLSN = w.settlement.end
	_, caughtUp := w.reconcileReplicas(ctx, view, group, primary)
	caughtUp.Add(group.Primary)

	for _, name := range group.Members {
		if server, found := view.Servers[name]; !found || w.isLost(ctx, view, group, server) {
			caughtUp.Add(name) // It can't catch up, and is removed next.
		}
	}

	if !failover.HasCommitQuorum(group.Members, caughtUp) {
		w.lead.controller.incrementCounter("member_change_waiting")
		w.lead.controller.options.Logger.Info("change of members waits for members that lack confirmed writes", "group", group.Name,
			"members", group.Members, "previous", group.PreviousMembers, "caught_up", container.Sorted(caughtUp), "end", w.settlement.end)

		return retryPause
	}

	w.lead.controller.recordCommand(ctx, "members settled", registry.Command{FinishMemberChange: &registry.FinishMemberChange{
		Group: group.Name, MembersChangedIndex: group.MembersChangedIndex,
	}}, "group", group.Name, "members", group.Members)

	return stepPause
}

// isLost reports whether a member has lost its data, or has been unreachable for so long that it is removed.
func (w *worker) isLost(ctx context.Context, view *registry.View, group registry.Group, server registry.Server) bool {
	if server.Identity != group.MemberIdentities[server.Name] {
		return true
	}

	since, unreachable := w.unreachableSince[server.Name]

	return unreachable && w.lead.controller.options.Timer.Now().Sub(since) >= forgetDelay(view) && w.lead.isDead(ctx, view, group, server)
}

// reconcileReplicas attaches the replicas and adds at most one replica that has caught up to the members, unless a
// change of members is not settled. It returns whether there was nothing left to do, and the replicas that have caught up.
func (w *worker) reconcileReplicas(
	ctx context.Context, view *registry.View, group registry.Group, primary backend.Observation,
) (settled bool, caughtUp container.Set[string]) {
	changing, added := len(group.PreviousMembers) > 0, false
	settled, caughtUp = true, container.NewSet[string]()

	for _, server := range w.servers {
		member := slices.Contains(group.Members, server.Name)

		// A member that has lost its data must not be attached before it is removed.
		lost := member && server.Identity != group.MemberIdentities[server.Name]
		ignored := server.Leaving && (!changing || !member)

		if server.Name == group.Primary || lost || ignored {
			continue
		}

		found := w.reconcileReplica(ctx, view, group, server, primary)
		settled = settled && found.attached && (found.caughtUp || member)

		if found.caughtUp {
			caughtUp.Add(server.Name)
		}

		if found.caughtUp && !added && !member && !changing {
			added = w.addMember(ctx, group, server)
			settled = false
		}

		w.recordReachability(server.Name, found.reachable)
	}

	return settled, caughtUp
}

// removeLostMember removes a member that has lost its data. This must happen before the server is attached, because the
// coordinator counts the positions that a member reports.
func (w *worker) removeLostMember(ctx context.Context, view *registry.View, group registry.Group) bool {
	for _, name := range group.Members {
		server, found := view.Servers[name]
		if !found || name == group.Primary || server.Identity == group.MemberIdentities[name] {
			continue
		}

		return w.lead.controller.recordCommand(ctx, "member with lost data removed", registry.Command{
			ChangeMembers: &registry.ChangeMembers{Group: group.Name, Term: group.Term, Remove: name},
		}, "group", group.Name, "server", name)
	}

	return false
}

// removeLeaving removes a leaving server from the members, and from the state once it no longer answers.
func (w *worker) removeLeaving(ctx context.Context, group registry.Group) bool {
	for _, server := range w.servers {
		if !server.Leaving || server.Name == group.Primary {
			continue
		}

		if slices.Contains(group.Members, server.Name) {
			return w.lead.controller.recordCommand(ctx, "leaving member removed", registry.Command{
				ChangeMembers: &registry.ChangeMembers{Group: group.Name, Term: group.Term, Remove: server.Name},
			}, "group", group.Name, "server", server.Name)
		}

		if !w.lead.controller.probeServer(ctx, server).Reachable {
			return w.forgetServer(ctx, server)
		}
	}

	return false
}

// observePrimary queries the primary for its position and marks it with the current term if it has an older one.
func (w *worker) observePrimary(ctx context.Context, view *registry.View, group registry.Group) (backend.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.openAdmin(ctx, view.Servers[group.Primary])
	if err != nil {
		return backend.Observation{}, err
	}
	defer admin.Close()

	seen, err := admin.Observe(ctx)
	if err != nil {
		return seen, err //nolint:wrapcheck // The error names the statement.
	}

	if seen.InRecovery {
		return seen, eris.Errorf("server %s is recorded as primary of group %s but is a replica", group.Primary, group.Name)
	}

	if seen.Attachment.Term < group.Term {
		err = admin.SetTerm(ctx, group.Primary, group.Term)
	}

	return seen, err //nolint:wrapcheck // The error names the statement.
}

// replicaState is the state in which reconcileReplica found a replica.
type replicaState struct {
	reachable bool
	// attached is true if the server follows the primary, caughtUp if it also has received everything that the primary
	// held when the primary was observed.
	attached bool
	caughtUp bool
}

// reconcileReplica attaches a server to the primary unless it is attached already.
func (w *worker) reconcileReplica(
	ctx context.Context, view *registry.View, group registry.Group, server registry.Server, primary backend.Observation,
) replicaState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.openAdmin(ctx, server)
	if err != nil {
		return replicaState{}
	}
	defer admin.Close()

	seen, err := admin.Observe(ctx)
	if err != nil || !seen.InRecovery {
		// The platform has to rewind a primary of an old term first.
		return replicaState{reachable: err == nil}
	}

	address := view.Servers[group.Primary].Address
	if seen.Attachment.Term == group.Term && !seen.Attachment.Fenced && seen.Attachment.Primary == address {
		return replicaState{reachable: true, attached: true, caughtUp: seen.ReceivedLSN >= primary.InsertLSN}
	}

	w.attachReplica(ctx, admin, group, server, address)

	return replicaState{reachable: true}
}

// addMember makes a server count in the quorums of its group.
func (w *worker) addMember(ctx context.Context, group registry.Group, server registry.Server) bool {
	return w.lead.controller.recordCommand(ctx, "member added", registry.Command{ChangeMembers: &registry.ChangeMembers{
		Group: group.Name, Term: group.Term, Add: server.Name, Identity: server.Identity,
	}}, "group", group.Name, "server", server.Name)
}

// attachReplica makes a server follow the primary if its log is a prefix of the primary's. If the server has received a
// part of the log that was discarded, the platform must rewind it first: otherwise its position would not show what it
// holds. The server is fenced before its log is judged, because until then it may still receive from the primary of an
// older term. The leadership is confirmed before it is attached: the next leader may have fenced it for a failover, and
// the former primary could acknowledge commits by it that the failover does not count.
func (w *worker) attachReplica(
	ctx context.Context, admin *backend.Admin, group registry.Group, server registry.Server, address netip.AddrPort,
) {
	logger := w.lead.controller.options.Logger.With("group", group.Name, "server", server.Name)

	end, err := admin.Fence(ctx, server.Name)
	if err != nil {
		logger.Warn("fencing before attaching failed", "error", err)

		return
	}

	if !group.History.IsPrefix(end) {
		w.lead.controller.incrementCounter("attach_needs_rewind")
		logger.Warn("server must be rewound before it can be attached: it has received writes that were discarded",
			"term", end.Term, "received", end.LSN)

		return
	}

	if err := w.confirmGroup(ctx, group); err != nil {
		w.lead.controller.incrementCounter("attach_unconfirmed")
		logger.Warn("server is not attached: the leadership can't be confirmed or the group has changed", "error", err)

		return
	}

	if err := admin.Attach(ctx, server.Name, group.Term, address); err != nil {
		logger.Warn("attaching failed", "error", err)

		return
	}

	logger.Info("server attached", "term", group.Term)
}

// confirmGroup returns nil if this process still leads control and the group is stable in the given term.
func (w *worker) confirmGroup(ctx context.Context, group registry.Group) error {
	if err := w.lead.controller.confirmLeadership(ctx); err != nil {
		return err
	}

	current := w.lead.controller.view().Groups[group.Name]
	if current.Term != group.Term || current.Phase != registry.PhaseStable || current.Primary != group.Primary {
		return eris.Errorf("group %s is in term %d, phase %s, primary %s", group.Name, current.Term, current.Phase, current.Primary)
	}

	return nil
}

func serverNames(servers []registry.Server) []string {
	set := container.NewSet[string]()
	for _, server := range servers {
		set.Add(server.Name)
	}

	return container.Sorted(set)
}
