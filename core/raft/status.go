package raft

// Status describes a node for status pages and tests.
type Status struct {
	ID          ID
	Role        Role
	Term        uint64
	Leader      ID
	CommitIndex uint64
	LastIndex   uint64
	// FirstIndex is the first index that is still in the log.
	FirstIndex    uint64
	SnapshotIndex uint64
	Configuration Configuration
	// ConfigurationCommitted reports whether the configuration is committed.
	ConfigurationCommitted bool
	// MatchIndexes holds the last saved index of each member. It is known to the leader only.
	MatchIndexes map[ID]uint64
	// Transferring reports whether the leadership is being transferred.
	Transferring bool
}

// Status returns the current status.
func (n *Node) Status() Status {
	status := Status{
		ID: n.options.ID, Role: n.role, Term: n.hardState.Term, Leader: n.leader, CommitIndex: n.commit, LastIndex: n.log.last(),
		FirstIndex: n.log.base + 1, SnapshotIndex: n.snapshot.Index, Configuration: n.configuration(),
		ConfigurationCommitted: n.configurations[len(n.configurations)-1].index <= n.commit, Transferring: n.transferee != 0,
	}

	if n.role == Leader {
		status.MatchIndexes = make(map[ID]uint64)
		for _, member := range status.Configuration.Members {
			status.MatchIndexes[member.ID] = n.matchIndex(member.ID)
		}
	}

	return status
}

// Leadership reports whether the node is the leader, and returns its term and the known leader. It does not allocate.
func (n *Node) Leadership() (leads bool, term uint64, leader ID) {
	return n.role == Leader, n.hardState.Term, n.leader
}
