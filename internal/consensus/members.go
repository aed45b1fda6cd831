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

// silentElections is the time, in election timeouts, after which a member that was not heard is taken as gone when
// another one has its name, or a blank one is forgotten.
const silentElections = 2

func (g *Group) silentTicks() int {
	return silentElections * int(g.options.Election/g.options.Heartbeat)
}

// addressOf returns where a member is reached: where it was heard from last, or what the log says.
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

// connect makes the links cover the members, the initial members and those that were heard lately.
func (g *Group) connect() {
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
		for _, address := range g.sought {
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

// Seek names further processes that may be members. A process that belongs to no group yet introduces itself to them.
func (g *Group) Seek(ctx context.Context, addresses []netip.AddrPort) error {
	return g.call(ctx, func() error {
		if g.node == nil && len(addresses) > 0 && !slices.Equal(g.sought, addresses) {
			g.sought = slices.Clone(addresses)
			g.connect()
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

// tend lets the leader admit, promote and replace members. It runs at each heartbeat and makes one change at a time.
func (g *Group) tend() {
	g.age++

	for id, known := range g.peers {
		known.ticks++
		g.peers[id] = known

		if known.ticks > g.silentTicks() && known.hello.Stage != active {
			delete(g.peers, id)
		}
	}

	status := g.node.Status()
	if status.Role != raft.Leader || !status.ConfigurationCommitted {
		return
	}

	for _, member := range status.Configuration.Members {
		if !member.Voter && status.MatchIndexes[member.ID] >= member.JoinIndex && status.CommitIndex >= member.JoinIndex {
			g.promote(status, member)

			return
		}
	}

	for id, known := range g.peers {
		if _, found := status.Configuration.FindMember(id); found || !g.joinable(known) {
			continue
		}

		if g.admits(status, known) {
			g.change(raft.AddMember, raft.Member{ID: id, Name: known.hello.Name, Address: known.hello.Address})

			return
		}
	}
}

// admits reports whether a blank member may join: an operator asked for it, it has the name of a member that is silent
// and so lost its disk, or it may replace any silent member and no other member is joining.
func (g *Group) admits(status raft.Status, known peer) bool {
	if address, found := g.admitted[known.hello.Name]; found && address == known.address {
		return true
	}

	for _, member := range status.Configuration.Members {
		if member.Name == known.hello.Name {
			return g.silent(member.ID)
		}
	}

	if g.grows(status) {
		return true
	}

	return g.vacant(status)
}

// grows reports whether a further member may join. The number of members stays odd, because an even one bears no more
// losses than the odd one below it, and half of an even one can't go on without the other: on teranga-postal-grown, six
// members that were cut in two served no reads of the latest data for five seconds.
func (g *Group) grows(status raft.Status) bool {
	present, joining := len(status.Configuration.Members), 0

	for id, known := range g.peers {
		if _, found := status.Configuration.FindMember(id); !found && g.joinable(known) {
			joining++
		}
	}

	odd := present%2 == 1

	return present < g.options.Grow && (!odd || joining > 1 && present+1 < g.options.Grow)
}

// joinable reports whether a peer outside the group may be admitted: it is blank, or was replaced while it was silent
// and has kept its log and its votes.
func (g *Group) joinable(known peer) bool {
	if known.ticks > g.silentTicks() {
		return false
	}

	return known.hello.Stage == blank ||
		g.options.Replace && known.hello.Stage == active && known.hello.Group == g.identity.Group
}

// vacant reports whether there is a silent voter that a new member may replace. There is none while another member is
// joining: it takes the place.
func (g *Group) vacant(status raft.Status) bool {
	joining := slices.ContainsFunc(status.Configuration.Members, func(m raft.Member) bool { return !m.Voter })
	_, found := g.replaceable(status, "")

	return !joining && found
}

// silent reports whether nothing was heard of a member for some time.
func (g *Group) silent(id raft.ID) bool {
	return g.unheard(id, g.silentTicks())
}

// gone reports whether a member has been silent for so long that another one may take its place.
func (g *Group) gone(id raft.ID) bool {
	return g.unheard(id, int(replaceSilence/g.options.Heartbeat))
}

// unheard reports whether nothing was heard of another member for a number of heartbeats.
func (g *Group) unheard(id raft.ID, ticks int) bool {
	known, found := g.peers[id]

	return id != g.identity.ID && g.age > ticks && (!found || known.ticks > ticks)
}

// promote gives a member that has caught up its vote, after the former identities of its name are removed.
func (g *Group) promote(status raft.Status, member raft.Member) {
	for _, other := range status.Configuration.Members {
		if other.Name == member.Name && other.ID != member.ID {
			if g.silent(other.ID) {
				g.change(raft.RemoveMember, other)
			}

			return
		}
	}

	if replaced, found := g.replaceable(status, member.Name); found {
		g.change(raft.RemoveMember, replaced)

		return
	}

	g.change(raft.PromoteMember, member)
}

// replaceable returns a silent voter whose place a joining member of another name may take.
func (g *Group) replaceable(status raft.Status, joining string) (silent raft.Member, found bool) {
	if !g.options.Replace {
		return raft.Member{}, false
	}

	for _, member := range status.Configuration.Members {
		if member.Voter && member.Name != joining && g.gone(member.ID) {
			silent, found = member, true
		}
	}

	return silent, found
}

func (g *Group) change(kind raft.ChangeKind, member raft.Member) {
	index, err := g.node.ChangeMembership(raft.MembershipChange{Kind: kind, Member: member})
	if err != nil {
		g.logger().Debug("change of log members has to wait", "member", member.Name, "error", err)

		return
	}

	g.greet()
	g.connect()
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

// AddMember admits a member whose process runs with an empty folder, and returns once it has its vote. It may be
// repeated. Only the leader can do it.
func (g *Group) AddMember(ctx context.Context, member Member) error {
	defer func() {
		_ = g.call(context.WithoutCancel(ctx), func() error { delete(g.admitted, member.Name); return nil })
	}()

	return g.until(ctx, func() (bool, error) {
		if g.node == nil {
			return false, g.notLeader("this member does not take part in the log")
		}

		status := g.node.Status()

		for _, present := range status.Configuration.Members {
			if present.Name == member.Name && present.Voter && present.Address == member.Address.String() {
				return status.ConfigurationCommitted, nil
			}
		}

		if status.Role != raft.Leader {
			return false, g.notLeader("members are changed by the leader")
		}

		g.admitted[member.Name] = member.Address

		return false, nil
	})
}

// RemoveMember takes a member out of the group and returns once that is committed. Only the leader can do it; a
// leader that removes itself stops leading.
func (g *Group) RemoveMember(ctx context.Context, name string) error {
	begun := false

	return g.until(ctx, func() (bool, error) {
		if g.node == nil {
			return false, g.notLeader("this member does not take part in the log")
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
				return false, g.notLeader("members are changed by the leader")
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

// Transfer hands the leadership to the member that is furthest ahead and returns once another member leads. On a
// follower it fails with result.NotLeader.
func (g *Group) Transfer(ctx context.Context) error {
	begun := false

	return g.until(ctx, func() (bool, error) {
		if g.node == nil {
			return false, g.notLeader("this member does not take part in the log")
		}

		status := g.node.Status()

		switch {
		case status.Role != raft.Leader && begun:
			return status.Leader != 0, nil
		case status.Role != raft.Leader:
			return false, g.notLeader("the leadership is handed over by the leader")
		case status.Transferring:
			return false, nil
		}

		var target raft.Member

		for _, member := range status.Configuration.Members {
			if member.Voter && member.ID != status.ID && !g.silent(member.ID) &&
				(target.ID == 0 || status.MatchIndexes[member.ID] > status.MatchIndexes[target.ID]) {
				target = member
			}
		}

		if target.ID == 0 {
			return false, result.New(result.NoQuorum, "no other member can take over the leadership")
		}

		begun = true

		return false, g.node.TransferLeadership(target.ID)
	})
}

// until repeats a step in the loop at each heartbeat until it is done.
func (g *Group) until(ctx context.Context, step func() (done bool, err error)) error {
	for {
		done := false

		if err := g.call(ctx, func() (err error) {
			done, err = step()

			return err
		}); err != nil || done {
			return err
		}

		passed := make(chan struct{})
		stop := g.options.Timer.After(g.options.Heartbeat, func(time.Time) { close(passed) })

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
