package consensus

import (
	"net/netip"
	"slices"

	"almondgrade/core/raft"
)

// Status describes a member for status pages.
type Status struct {
	Self Member
	ID   raft.ID
	// Stage is "blank" before the member belongs to a group, "prepared" while the group forms, then "active".
	Stage string
	// Role is "follower", "pre-candidate", "candidate" or "leader", or empty before the member is active.
	Role    string
	Leader  string
	Term    uint64
	Commit  uint64
	Applied uint64
	Last    uint64
	// Snapshot is the index of the last snapshot.
	Snapshot uint64
	// Members are the members of the group as far as this member knows.
	Members []MemberStatus
	Links   []LinkStatus
	// DroppedBatches counts the received batches that were dropped because this member's disk or state machine was slow.
	DroppedBatches uint64
	// Failure is the error after which the member stopped taking part in the log, or nil.
	Failure error
}

// MemberStatus describes a member of the group.
type MemberStatus struct {
	Member
	ID    raft.ID
	Voter bool
	// Match is the last entry that the member is known to have saved; only the leader knows it.
	Match uint64
}

// publish makes the current status visible to callers and wakes those who wait for a change.
func (g *Group) publish() {
	former := g.view.Load()
	next := &view{applied: g.applied, changed: former.changed, status: Status{
		Self: g.options.Self, ID: g.identity.ID, Stage: g.stage().String(), Applied: g.applied, Failure: g.failure,
	}}

	if g.node != nil {
		g.fillView(next, g.node.Status())
	}

	changed := next.leader != former.leader || next.self != former.self || next.applied != former.applied
	if changed {
		next.changed = make(chan struct{})
	}

	g.view.Store(next)

	if changed {
		close(former.changed)
	}

	if next.leader != former.leader {
		g.logger().Info("leader of the control log", "leader", next.leader.Name, "term", next.status.Term, "self",
			next.self)
	}
}

func (g *Group) fillView(next *view, status raft.Status) {
	if member, found := status.Configuration.FindMember(status.Leader); found {
		address, _ := netip.ParseAddrPort(member.Address)
		next.leader = Member{Name: member.Name, Address: address}
		next.self = status.Role == raft.Leader
	}

	described := &next.status
	described.Role, described.Leader, described.Term = status.Role.String(), next.leader.Name, status.Term
	described.Commit, described.Last, described.Snapshot = status.CommitIndex, status.LastIndex, status.SnapshotIndex

	for _, member := range status.Configuration.Members {
		address, _ := netip.ParseAddrPort(member.Address)
		described.Members = append(described.Members, MemberStatus{
			Member: Member{Name: member.Name, Address: address}, ID: member.ID, Voter: member.Voter,
			Match: status.MatchIndexes[member.ID],
		})
	}
}

func sortLinks(links []LinkStatus) {
	slices.SortFunc(links, func(a, b LinkStatus) int { return a.Address.Compare(b.Address) })
}
