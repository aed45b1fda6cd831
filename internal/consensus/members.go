package consensus

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/raft"
	"almondgrade/core/result"
)

// silentElectionTimeouts is the number of election timeouts after which a member that was not heard counts as silent:
// another one with its name may replace it, and it is forgotten unless it is active.
const silentElectionTimeouts = 2

func (g *Group) silentTicks() int {
	return silentElectionTimeouts * int(g.options.ElectionTimeout/g.options.HeartbeatInterval)
}

// addressOf returns the address that a member last sent in a hello, or else its address in the log.
func (g *Group) addressOf(id raft.ID) (netip.AddrPort, bool) {
	if known, found := g.peers[id]; found {
		return known.address, true
	}

	if g.node == nil {
		return netip.AddrPort{}, false
	}

	member, found := g.node.Status().Configuration.FindMember(id)
	if !found {
		return netip.AddrPort{}, false
	}

	address, err := netip.ParseAddrPort(member.Address)

	return address, err == nil
}

// updateLinks opens and closes links so that there is one to each member, initial member and known peer.
func (g *Group) updateLinks() {
	wanted := make(container.Set[netip.AddrPort])

	for _, initial := range g.options.Initial {
		wanted.Add(initial.Address)
	}

	for _, known := range g.peers {
		wanted.Add(known.address)

		for _, text := range known.hello.Members {
			if address, err := netip.ParseAddrPort(text); err == nil && g.stage() == blank {
				wanted.Add(address)
			}
		}
	}

	if g.node == nil {
		for _, address := range g.seeds {
			wanted.Add(address)
		}
	} else {
		for _, member := range g.node.Status().Configuration.Members {
			if address, found := g.addressOf(member.ID); found {
				wanted.Add(address)
			}
		}
	}

	wanted.Remove(g.options.Self.Address)
	g.setLinks(wanted)
}

// SetSeeds sets the addresses of further processes that may be members. A process that belongs to no group contacts
// them.
func (g *Group) SetSeeds(ctx context.Context, addresses []netip.AddrPort) error {
	return g.callInLoop(ctx, func() error {
		if g.node == nil && len(addresses) > 0 && !slices.Equal(g.seeds, addresses) {
			g.seeds = slices.Clone(addresses)
			g.updateLinks()
		}

		return nil
	})
}

func (g *Group) setLinks(wanted container.Set[netip.AddrPort]) {
	var closed []*link

	g.mutex.Lock()

	for address := range wanted {
		if g.links[address] == nil {
			g.links[address] = newLink(g.ctx, g, address)
		}
	}

	for address, to := range g.links {
		if !wanted.Has(address) {
			delete(g.links, address)

			closed = append(closed, to)
		}
	}

	g.mutex.Unlock()

	for _, to := range closed {
		to.cancel()
	}
}

// refreshHello updates the hello of this member if the members of the group have changed.
func (g *Group) refreshHello() {
	if g.node != nil && !slices.Equal(g.ownHello.Load().Members, memberAddresses(g.node.Status())) {
		g.updateHello()
	}
}

// manageMembers lets the leader admit, promote, replace and remove members. It runs at each heartbeat and makes at most one
// change.
func (g *Group) manageMembers() {
	g.nodeTicks++

	for id, known := range g.peers {
		known.ticks++
		g.peers[id] = known

		if known.ticks > g.silentTicks() && known.hello.Stage != active {
			delete(g.peers, id)
		}
	}

	status := g.node.Status()
	g.countEvenTicks(status)

	if status.Role != raft.Leader || !status.ConfigurationCommitted {
		return
	}

	for _, member := range status.Configuration.Members {
		switch {
		case member.Voter:
		case status.MatchIndexes[member.ID] >= member.JoinIndex && status.CommitIndex >= member.JoinIndex:
			g.promoteMember(status, member)

			return
		case g.options.AutoReplace && g.silentForReplacement(member.ID):
			// No other member is admitted while one is joining.
			g.changeMembers(raft.RemoveMember, member)

			return
		}
	}

	if leaving, found := g.replacedVoter(status); found {
		g.changeMembers(raft.RemoveMember, leaving)

		return
	}

	for id, known := range g.peers {
		if _, found := status.Configuration.FindMember(id); found || !g.isJoinable(known) {
			continue
		}

		if g.mayJoin(status, known) {
			g.changeMembers(raft.AddMember, raft.Member{ID: id, Name: known.hello.Name, Address: known.hello.Address})

			return
		}
	}

	if surplus, found := g.surplusVoter(status); found {
		g.changeMembers(raft.RemoveMember, surplus)
	}
}

// mayJoin reports whether a member outside the group may join: an operator asked for it, it has the name of a silent
// member and so has lost its disk, the group may grow, or it may replace a silent member and no other member is joining.
func (g *Group) mayJoin(status raft.Status, candidate peer) bool {
	if address, found := g.requestedMembers[candidate.hello.Name]; found && address == candidate.address {
		return true
	}

	for _, member := range status.Configuration.Members {
		if member.Name == candidate.hello.Name {
			return g.isSilent(member.ID)
		}
	}

	if g.mayGrow(status) {
		return true
	}

	return g.hasVacancy(status, candidate)
}

// mayGrow reports whether a further member may join. The number of members stays odd: an even number tolerates no more
// failures than the odd number below it, and a partition into halves leaves no quorum. Six members that were partitioned
// into halves served no reads of the latest data for five seconds.
func (g *Group) mayGrow(status raft.Status) bool {
	present, joining := len(status.Configuration.Members), 0

	for id, known := range g.peers {
		if _, found := status.Configuration.FindMember(id); !found && g.isJoinable(known) {
			joining++
		}
	}

	odd := present%2 == 1

	return present < g.options.AutoGrowTo && (!odd || joining > 1 && present+1 < g.options.AutoGrowTo)
}

// isJoinable reports whether a peer outside the group may be admitted: it is blank, or it was replaced while it was
// silent and still has its log and its votes.
func (g *Group) isJoinable(candidate peer) bool {
	if candidate.ticks > g.silentTicks() || candidate.hello.Leaving {
		return false
	}

	return candidate.hello.Stage == blank ||
		g.options.AutoReplace && candidate.hello.Stage == active && candidate.hello.Group == g.identity.Group
}

// hasVacancy reports whether there is a voter that a new member may replace: a silent one or, for a blank candidate, one that is
// about to stop. A member that was replaced and returns does not replace the next one that stops, or each planned restart would change
// the members. There is no vacancy while another member is joining, because that one replaces the voter.
func (g *Group) hasVacancy(status raft.Status, candidate peer) bool {
	if hasLearner(status) {
		return false
	}

	_, silent := g.replaceableVoter(status, "")
	_, leaving := g.leavingVoter(status)

	return silent || leaving && candidate.hello.Stage == blank
}

// hasLearner reports whether a member without a vote is joining.
func hasLearner(status raft.Status) bool {
	return slices.ContainsFunc(status.Configuration.Members, func(m raft.Member) bool { return !m.Voter })
}

// hasEvenVoters reports whether the number of voters is even and no member is joining.
func hasEvenVoters(status raft.Status) bool {
	return !hasLearner(status) && len(status.Configuration.Members)%2 == 0
}

// leavingVoter returns another voter that is about to stop and has not ended yet.
func (g *Group) leavingVoter(status raft.Status) (leaving raft.Member, found bool) {
	if !g.options.AutoReplace {
		return raft.Member{}, false
	}

	for _, member := range status.Configuration.Members {
		if member.Voter && member.ID != g.identity.ID && g.peers[member.ID].hello.Leaving && !g.isSilent(member.ID) {
			return member, true
		}
	}

	return raft.Member{}, false
}

// replacedVoter returns a voter that was about to stop when another member took its place. It still counts until the other one has its
// vote, so that the group tolerates the loss of any member meanwhile. It may have ended since.
func (g *Group) replacedVoter(status raft.Status) (replaced raft.Member, found bool) {
	if !g.options.AutoReplace || !hasEvenVoters(status) {
		return raft.Member{}, false
	}

	for _, member := range status.Configuration.Members {
		if member.ID != g.identity.ID && g.peers[member.ID].hello.Leaving {
			return member, true
		}
	}

	return raft.Member{}, false
}

// countEvenTicks counts the heartbeats for which this member has led an even number of voters.
func (g *Group) countEvenTicks(status raft.Status) {
	if status.Role == raft.Leader && hasEvenVoters(status) {
		g.evenTicks++
	} else {
		g.evenTicks = 0
	}
}

// surplusVoter returns the voter to remove from an even number that has lasted for replaceAfter: a leader that ended a replacement
// halfway leaves one. An even number tolerates no more failures than the odd number below it. A voter that is silent for a shorter time
// is waited for, because it may be the one to remove.
func (g *Group) surplusVoter(status raft.Status) (surplus raft.Member, found bool) {
	const leastVoters = 4

	settled := g.evenTicks > int(replaceAfter/g.options.HeartbeatInterval)
	if !g.options.AutoReplace || !settled || len(status.Configuration.Members) < leastVoters {
		return raft.Member{}, false
	}

	for _, member := range status.Configuration.Members {
		switch {
		case g.silentForReplacement(member.ID):
			return member, true
		case g.isSilent(member.ID):
			return raft.Member{}, false
		case member.ID != g.identity.ID:
			surplus, found = member, true
		}
	}

	return surplus, found
}

// isSilent reports whether no hello of another member was received for silentElectionTimeouts.
func (g *Group) isSilent(id raft.ID) bool {
	return g.silentForTicks(id, g.silentTicks())
}

// silentForReplacement reports whether a member has been silent for replaceAfter, so that another one may replace it.
func (g *Group) silentForReplacement(id raft.ID) bool {
	return g.silentForTicks(id, int(replaceAfter/g.options.HeartbeatInterval))
}

// silentForTicks reports whether no hello of another member was received for a number of heartbeats.
func (g *Group) silentForTicks(id raft.ID, ticks int) bool {
	known, found := g.peers[id]

	return id != g.identity.ID && g.nodeTicks > ticks && (!found || known.ticks > ticks)
}

// promoteMember gives a member that has caught up its vote, after the member that it replaces is removed: a former ID
// with its name, or a silent voter.
func (g *Group) promoteMember(status raft.Status, member raft.Member) {
	for _, other := range status.Configuration.Members {
		if other.Name == member.Name && other.ID != member.ID {
			if g.isSilent(other.ID) {
				g.changeMembers(raft.RemoveMember, other)
			}

			return
		}
	}

	if replaced, found := g.replaceableVoter(status, member.Name); found {
		g.changeMembers(raft.RemoveMember, replaced)

		return
	}

	g.changeMembers(raft.PromoteMember, member)
}

// replaceableVoter returns a silent voter that a joining member with another name may replace.
func (g *Group) replaceableVoter(status raft.Status, joining string) (silent raft.Member, found bool) {
	if !g.options.AutoReplace {
		return raft.Member{}, false
	}

	for _, member := range status.Configuration.Members {
		if member.Voter && member.Name != joining && g.silentForReplacement(member.ID) {
			silent, found = member, true
		}
	}

	return silent, found
}

func (g *Group) changeMembers(kind raft.ChangeKind, member raft.Member) {
	index, err := g.node.ChangeMembership(raft.MembershipChange{Kind: kind, Member: member})
	if err != nil {
		g.logger().Debug("change of log members has to wait", "member", member.Name, "error", err)

		return
	}

	g.updateHello()
	g.updateLinks()
	g.logger().Info("changing log members", "change", describeChange(kind), "member", member.Name, "id", member.ID,
		"entry", index)
}

func describeChange(kind raft.ChangeKind) string {
	switch kind {
	case raft.AddMember:
		return "add without vote"
	case raft.PromoteMember:
		return "give vote"
	case raft.RemoveMember:
		return "remove"
	}

	return "unknown"
}

// AddMember admits a member whose process runs with an empty folder, and returns once the member has its vote. It may be
// repeated. On a follower it fails with result.NotLeader.
func (g *Group) AddMember(ctx context.Context, member Member) error {
	defer func() {
		_ = g.callInLoop(context.WithoutCancel(ctx), func() error { delete(g.requestedMembers, member.Name); return nil })
	}()

	return g.repeatInLoop(ctx, func() (bool, error) {
		if g.node == nil {
			return false, g.notLeaderError("this member does not take part in the log")
		}

		status := g.node.Status()

		for _, present := range status.Configuration.Members {
			if present.Name == member.Name && present.Voter && present.Address == member.Address.String() {
				return status.ConfigurationCommitted, nil
			}
		}

		if status.Role != raft.Leader {
			return false, g.notLeaderError("members are changed by the leader")
		}

		g.requestedMembers[member.Name] = member.Address

		return false, nil
	})
}

// RemoveMember removes a member from the group and returns once that is committed. On a follower it fails with
// result.NotLeader; a leader that removes itself stops leading.
func (g *Group) RemoveMember(ctx context.Context, name string) error {
	begun := false

	return g.repeatInLoop(ctx, func() (bool, error) {
		if g.node == nil {
			return false, g.notLeaderError("this member does not take part in the log")
		}

		status := g.node.Status()

		for _, member := range status.Configuration.Members {
			if member.Name != name {
				continue
			}

			begun = true

			_, err := g.node.ChangeMembership(raft.MembershipChange{Kind: raft.RemoveMember, Member: member})
			switch {
			case errors.Is(err, raft.ErrNotLeader):
				return false, g.notLeaderError("members are changed by the leader")
			case errors.Is(err, raft.ErrLastVoter):
				return false, result.New(result.ChangeInvalid, "%s: %w", name, err)
			}

			return false, nil
		}

		if !begun {
			return false, result.New(result.NotFound, "the control log has no member %q", name)
		}

		return status.ConfigurationCommitted, nil
	})
}

// Transfer transfers the leadership to the member whose log is furthest ahead and returns once another member leads. On
// a follower it fails with result.NotLeader.
func (g *Group) Transfer(ctx context.Context) error {
	begun := false

	return g.repeatInLoop(ctx, func() (bool, error) {
		if g.node == nil {
			return false, g.notLeaderError("this member does not take part in the log")
		}

		status := g.node.Status()

		switch {
		case status.Role != raft.Leader && begun:
			return status.Leader != 0, nil
		case status.Role != raft.Leader:
			return false, g.notLeaderError("only the leader can transfer the leadership")
		case status.Transferring:
			return false, nil
		}

		target := g.transferTarget(status)
		if target == 0 {
			return false, result.New(result.NoQuorum, "no other member can take over the leadership")
		}

		begun = true

		return false, g.node.TransferLeadership(target)
	})
}

// Leave asks the leader to replace this member, which is about to stop, by a process that waits to join. It returns once this member is
// replaced, or at once if no process waits. Without it, a member that stops for good counts as a voter until it has been silent for
// replaceAfter, and the loss of another one meanwhile can leave the group without a quorum for good.
func (g *Group) Leave(ctx context.Context) error {
	var leader raft.ID

	return g.repeatInLoop(ctx, func() (bool, error) {
		if !g.leaving {
			g.leaving = true
			g.updateHello()
		}

		if g.node == nil {
			return true, nil
		}

		status := g.node.Status()
		if status.Leader != 0 {
			leader = status.Leader
		}

		return g.isReplaced(status, leader) || !g.mayBeReplaced(status), nil
	})
}

// isReplaced reports whether this member does not belong to the group any more. The last known leader says so: a member that was
// removed receives no further entries, and soon knows no leader.
func (g *Group) isReplaced(status raft.Status, leader raft.ID) bool {
	if _, member := status.Configuration.FindMember(g.identity.ID); !member {
		return true
	}

	members := g.peers[leader].hello.Members

	return len(members) > 0 && !slices.Contains(members, g.options.Self.Address.String())
}

// mayBeReplaced reports whether a blank process waits to join, or the replacement of a member is in progress.
func (g *Group) mayBeReplaced(status raft.Status) bool {
	for _, known := range g.peers {
		member := slices.ContainsFunc(status.Configuration.Members, func(m raft.Member) bool { return m.Name == known.hello.Name })
		if !member && known.hello.Stage == blank && g.isJoinable(known) {
			return true
		}
	}

	return hasLearner(status) || hasEvenVoters(status)
}

// repeatInLoop runs a step in the event loop, at each change and at least once per heartbeat interval, until it is done.
func (g *Group) repeatInLoop(ctx context.Context, step func() (done bool, err error)) error {
	for {
		done := false

		if err := g.callInLoop(ctx, func() (err error) {
			done, err = step()

			return err
		}); err != nil || done {
			return err
		}

		passed := make(chan struct{})
		stop := g.options.Timer.After(g.options.HeartbeatInterval, func(time.Time) { close(passed) })

		select {
		case <-passed:
		case <-g.Changed():
		case <-ctx.Done():
			stop()

			return result.New(result.NoQuorum, "the change was not confirmed in time: %w", ctx.Err())
		case <-g.ctx.Done():
			stop()

			return result.New(result.NoQuorum, "the member is shutting down")
		}

		stop()
	}
}
