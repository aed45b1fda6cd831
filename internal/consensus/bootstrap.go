package consensus

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/netip"

	"almondgrade/core/raft"
	"almondgrade/io/disk"
)

// peer is the last hello received from one ID.
type peer struct {
	hello   hello
	address netip.AddrPort
	// ticks is the number of heartbeats since it was received.
	ticks int
}

// recordPeer records the hello of another member.
func (g *Group) recordPeer(received hello) {
	address, err := netip.ParseAddrPort(received.Address)
	if err != nil || received.ID == g.identity.ID {
		return
	}

	former, known := g.peers[received.ID]
	g.peers[received.ID] = peer{hello: received, address: address}

	if !known || former.address != address {
		g.updateLinks()
	}

	if g.node == nil {
		g.formGroup()
	}
}

// peerNamed returns the peer that last sent a hello with the given name.
func (g *Group) peerNamed(name string) (peer, bool) {
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

// formGroup forms a new group in two steps. First each initial member stores the IDs of all initial members. Once all
// are known to have stored the same IDs, the group begins. A member that has stored the IDs never joins another group.
func (g *Group) formGroup() {
	members, possible := g.foundingMembers()
	if !possible || g.failure != nil || g.options.JoinOnly && g.stage() == blank {
		return
	}

	group := groupNumber(members)

	if g.stage() == blank {
		next := g.identity
		next.Group, next.FoundingMembers = group, members

		if !g.saveIdentity(next) {
			return
		}

		g.updateHello()
	}

	if g.failure != nil || g.identity.Group != group {
		return
	}

	for _, member := range members {
		if member.ID != g.identity.ID && g.peers[member.ID].hello.Group != group {
			return
		}
	}

	g.beginGroup()
}

// logWaiting logs every waitLogInterval which initial members have not been heard, as long as this member has no group.
func (g *Group) logWaiting() {
	g.ticksWithoutNode++

	if g.node != nil || g.ticksWithoutNode%g.waitLogTicks() != 0 {
		return
	}

	var missing []string

	for _, initial := range g.options.Initial {
		if _, heard := g.peerNamed(initial.Name); !heard && initial.Name != g.options.Self.Name {
			missing = append(missing, initial.Name)
		}
	}

	g.options.Logger.Warn("still waiting to form or join a group", "stage", g.stage(), "not heard", missing)
}

func (g *Group) waitLogTicks() int {
	return max(1, int(waitLogInterval/g.options.HeartbeatInterval))
}

// foundingMembers returns the initial members with their IDs, and whether this member is one of them and all were heard.
func (g *Group) foundingMembers() ([]raft.Member, bool) {
	var members []raft.Member

	self := false

	for _, initial := range g.options.Initial {
		member := raft.Member{Name: initial.Name, Address: initial.Address.String(), Voter: true}

		if initial.Name == g.options.Self.Name {
			self = true
			member.ID = g.identity.ID
		} else {
			known, found := g.peerNamed(initial.Name)
			if !found || (known.hello.Stage == active && g.stage() == blank) {
				return nil, false
			}

			member.ID = known.hello.ID
		}

		members = append(members, member)
	}

	return raft.NewConfiguration(members...).Members, self
}

// groupNumber returns the number that identifies the group of the given members.
func groupNumber(members []raft.Member) uint64 {
	var ids []byte
	for _, member := range members {
		ids = binary.BigEndian.AppendUint64(ids, uint64(member.ID))
	}

	sum := sha256.Sum256(ids)

	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// beginGroup starts the log of a new group with a snapshot of the empty state machine at entry 1, which is the same on
// each member.
func (g *Group) beginGroup() {
	data, err := g.options.Machine.Snapshot()
	if err != nil {
		g.fail(err)

		return
	}

	snapshot := raft.Snapshot{
		Index: 1, Term: 1, Configuration: raft.NewConfiguration(g.identity.FoundingMembers...), Data: data,
	}
	saved := raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: snapshot}
	if err := g.log.Save(&saved.HardState, &saved.Snapshot, nil); err != nil {
		g.failUnlessFull(err)

		return
	}

	g.becomeActive(g.identity, saved)
}

// joinGroup joins the group of a sender whose batch contains messages for this member.
func (g *Group) joinGroup(received batch) {
	invited := false

	for _, message := range received.messages {
		invited = invited || message.To == g.identity.ID
	}

	if !invited || received.hello.Stage != active || received.hello.Group == 0 {
		return
	}

	switch g.stage() {
	case blank:
		next := g.identity
		next.Group, next.FoundingMembers = received.hello.Group, nil
		g.becomeActive(next, raft.PersistentState{})
	case prepared:
		// A member is active only after all founding members have stored the group.
		if received.hello.Group == g.identity.Group {
			g.beginGroup()
		}
	case active:
	}
}

// becomeActive makes this member active, with the given identity and state of the log.
func (g *Group) becomeActive(next disk.Identity, saved raft.PersistentState) {
	next.Active = true
	if !g.saveIdentity(next) {
		return
	}

	if err := g.activate(saved); err != nil {
		g.fail(err)

		return
	}

	g.updateHello()
	g.updateLinks()
	g.publish()
}

// saveIdentity saves and adopts an identity. It returns false if it could not be saved; if the disk is full, the caller's
// step is repeated with the next heartbeat.
func (g *Group) saveIdentity(next disk.Identity) bool {
	if err := g.log.SaveIdentity(next); err != nil {
		g.failUnlessFull(err)

		return false
	}

	g.identity = next

	return true
}

// failUnlessFull handles an error of the log before this member is active. A full disk only delays that.
func (g *Group) failUnlessFull(err error) {
	var full *disk.FullError
	if !errors.As(err, &full) {
		g.fail(err)

		return
	}

	g.logger().Warn("no room to form or join a group", "error", err)
}

// updateHello updates what the hello of every batch says about this member.
func (g *Group) updateHello() {
	updated := &hello{
		Name: g.options.Self.Name, Address: g.options.Self.Address.String(), ID: g.identity.ID, Instance: g.instance,
		Group: g.identity.Group, Stage: g.stage(), AcceptsBulk: true, Impaired: g.disk.impaired(),
		Leaving: g.leaving,
	}

	if g.node != nil {
		updated.Members = memberAddresses(g.node.Status())
	}

	g.ownHello.Store(updated)
}

func memberAddresses(status raft.Status) (addresses []string) {
	for _, member := range status.Configuration.Members {
		addresses = append(addresses, member.Address)
	}

	return addresses
}
