package raft

// Status describes a node for status pages and tests.
type Status struct {
	ID     ID
	Role   Role
	Term   uint64
	Leader ID
	Commit uint64
	Last   uint64
	// First is the first index that the log still holds.
	First         uint64
	Snapshot      uint64
	Configuration Configuration
	// Settled reports whether the configuration is committed.
	Settled bool
	// Match is the last saved index of each member, known to the leader only.
	Match map[ID]uint64
	// Transferring reports whether the leadership is being transferred.
	Transferring bool
}

// Status returns the present status.
func (n *Node) Status() Status {
	status := Status{
		ID: n.options.ID, Role: n.role, Term: n.state.Term, Leader: n.leader, Commit: n.commit, Last: n.log.last(),
		First: n.log.base + 1, Snapshot: n.snapshot.Index, Configuration: n.configuration(),
		Settled: n.members[len(n.members)-1].index <= n.commit, Transferring: n.transferee != 0,
	}

	if n.role == Leader {
		status.Match = make(map[ID]uint64)
		for _, member := range status.Configuration.Members {
			status.Match[member.ID] = n.matched(member.ID)
		}
	}

	return status
}

// Leads reports whether the node is the leader, its term and the known leader. It allocates nothing.
func (n *Node) Leads() (leads bool, term uint64, leader ID) {
	return n.role == Leader, n.state.Term, n.leader
}
