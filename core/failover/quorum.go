package failover

import "almondgrade/core/container"

// CommitQuorum returns the number of members, including the primary, that must hold a write before it is acknowledged.
func CommitQuorum(members int) int {
	return members/2 + 1
}

// FenceQuorum returns the number of members that must be fenced before a promotion. Any set of that size shares a
// member with every commit quorum.
func FenceQuorum(members int) int {
	return members - CommitQuorum(members) + 1
}

// HasFenceQuorum reports whether the fenced servers are a fence quorum of a member list. An empty list needs no quorum.
func HasFenceQuorum(members []string, fenced container.Set[string]) bool {
	return len(members) == 0 || countMembers(members, fenced) >= FenceQuorum(len(members))
}

// HasCommitQuorum reports whether the servers that hold a write are a commit quorum of a member list. An empty list
// needs no quorum.
func HasCommitQuorum(members []string, holders container.Set[string]) bool {
	return len(members) == 0 || countMembers(members, holders) >= CommitQuorum(len(members))
}

func countMembers(members []string, set container.Set[string]) int {
	found := 0

	for _, member := range members {
		if set.Has(member) {
			found++
		}
	}

	return found
}
