package consensus

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

	"almondgrade/core/raft"
)

// peer is the last hello under one ID.
type peer struct {
	hello   hello
	address netip.AddrPort
	// ticks is the number of heartbeats since then.
	ticks int
}

// meet keeps the hello of another member.
func (g *Group) meet(greeting hello) {
	address, err := netip.ParseAddrPort(greeting.Address)
	if err != nil || greeting.ID == g.identity.ID {
		return
	}

	former, known := g.peers[greeting.ID]
	g.peers[greeting.ID] = peer{hello: greeting, address: address}

	if !known || former.address != address {
		g.connect()
	}

	if g.node == nil {
		g.found()
	}
}

// named returns the peer that last introduced itself by a name.
func (g *Group) named(name string) (peer, bool) {
	var (
		found  peer
		exists bool
	)

	for _, candidate := range g.peers {
		if candidate.hello.Name == name && (!exists || candidate.ticks < found.ticks) {
			found, exists = candidate, true
		}
	}

	return found, exists
}

func (g *Group) stage() stage {
	switch {
	case g.identity.Active:
		return active
	case g.identity.Group != 0:
		return prepared
	default:
		return blank
	}
}

// found forms a new group in two steps. First each initial member stores the IDs of all of them. Once all are known
// to have stored the same IDs, the group begins. A member that has stored them never joins another group.
func (g *Group) found() {
	members, possible := g.founders()
	if !possible || g.broken != nil || g.options.Join && g.stage() == blank {
		return
	}

	group := groupOf(members)

	if g.stage() == blank {
		g.identity.Group, g.identity.FoundingMembers = group, members
		g.identify()
		g.greet()
	}

	if g.broken != nil || g.identity.Group != group {
		return
	}

	for _, member := range members {
		if member.ID != g.identity.ID && g.peers[member.ID].hello.Group != group {
			return
		}
	}

	g.begin()
}

// remind tells the operator which initial members keep this one from forming or joining a group.
func (g *Group) remind() {
	g.waited++

	if g.node != nil || g.waited%g.remindTicks() != 0 {
		return
	}

	var missing []string

	for _, initial := range g.options.Initial {
		if _, heard := g.named(initial.Name); !heard && initial.Name != g.options.Self.Name {
			missing = append(missing, initial.Name)
		}
	}

	g.options.Logger.Warn("still waiting to form or join a group", "stage", g.stage(), "not heard", missing)
}

func (g *Group) remindTicks() int {
	return max(1, int(remindInterval/g.options.Heartbeat))
}

// founders returns the initial members with their IDs, if this member is one of them and all were heard.
func (g *Group) founders() ([]raft.Member, bool) {
	var members []raft.Member

	self := false

	for _, initial := range g.options.Initial {
		member := raft.Member{Name: initial.Name, Address: initial.Address.String(), Voter: true}

		if initial.Name == g.options.Self.Name {
			self = true
			member.ID = g.identity.ID
		} else {
			known, found := g.named(initial.Name)
			if !found || (known.hello.Stage == active && g.stage() == blank) {
				return nil, false
			}

			member.ID = known.hello.ID
		}

		members = append(members, member)
	}

	return raft.NewConfiguration(members...).Members, self
}

// groupOf returns the number of the group that the given members form.
func groupOf(members []raft.Member) uint64 {
	var ids []byte
	for _, member := range members {
		ids = binary.BigEndian.AppendUint64(ids, uint64(member.ID))
	}

	sum := sha256.Sum256(ids)

	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// begin starts the log of a new group with a snapshot of the empty state machine at entry 1, the same on each member.
func (g *Group) begin() {
	data, err := g.options.Machine.Snapshot()
	if err != nil {
		g.fail(err)

		return
	}

	snapshot := raft.Snapshot{
		Index: 1, Term: 1, Configuration: raft.NewConfiguration(g.identity.FoundingMembers...), Data: data,
	}
	saved := raft.Saved{State: raft.State{Term: 1}, Snapshot: snapshot}
	if err := g.log.Save(&saved.State, &saved.Snapshot, nil); err != nil {
		g.fail(err)

		return
	}

	g.enter(saved)
}

// join enters the group that another member invites this one to.
func (g *Group) join(received batch) {
	invited := false

	for _, message := range received.messages {
		invited = invited || message.To == g.identity.ID
	}

	if !invited || received.hello.Stage != active || received.hello.Group == 0 {
		return
	}

	switch g.stage() {
	case blank:
		g.identity.Group, g.identity.FoundingMembers = received.hello.Group, nil
		g.enter(raft.Saved{})
	case prepared:
		// An active member proves that every founder had stored the group.
		if received.hello.Group == g.identity.Group {
			g.begin()
		}
	case active:
	}
}

// enter becomes an active member.
func (g *Group) enter(saved raft.Saved) {
	g.identity.Active = true
	g.identify()

	if g.broken != nil {
		return
	}

	if err := g.activate(saved); err != nil {
		g.fail(err)

		return
	}

	g.greet()
	g.connect()
	g.publish()
}

func (g *Group) identify() {
	if err := g.log.SaveIdentity(g.identity); err != nil {
		g.fail(err)
	}
}

// greet renews what every batch says about this member.
func (g *Group) greet() {
	greeting := &hello{
		Name: g.options.Self.Name, Address: g.options.Self.Address.String(), ID: g.identity.ID, Instance: g.instance,
		Group: g.identity.Group, Stage: g.stage(),
	}

	if g.node != nil {
		for _, member := range g.node.Status().Configuration.Members {
			greeting.Members = append(greeting.Members, member.Address)
		}
	}

	g.greeting.Store(greeting)
}
