package coordinator

import (
	"almondgrade/core/container"
	"almondgrade/core/failover"
	"almondgrade/core/registry"
)

// isCommitQuorum reports whether the primary and the replicas together make a commit quorum of the members, and also of
// the previous members while a change of members is not in force everywhere.
func isCommitQuorum(group registry.Group, replicas container.Set[string]) bool {
	holders := container.NewSet(group.Primary)
	for replica := range replicas {
		holders.Add(replica)
	}

	return failover.HasCommitQuorum(group.Members, holders) && failover.HasCommitQuorum(group.PreviousMembers, holders)
}

// mayJudge reports whether the member lists of a state may be used for answers that have arrived before the call. Control drops a former
// list once the new one is in force on each proxy that holds a lease, and a quorum of the former one alone proves nothing after
// that.
func (c *Coordinator) mayJudge(state *groupState) bool {
	// In this order: the lease is renewed only once the view that came with it is in force.
	if !c.options.Confirmed() {
		return false
	}

	view := c.options.View()

	return view != nil && view.Groups[c.options.Group].MembersChangedIndex == state.group.MembersChangedIndex
}

// voters returns the replicas that count in the quorums of a group. A server that came back with another identity has
// lost its data and does not count until control has added it again.
func voters(state *groupState) container.Set[string] {
	counted := container.NewSet[string]()

	for _, list := range [][]string{state.group.Members, state.group.PreviousMembers} {
		for _, name := range list {
			server, found := state.servers[name]
			identity, recorded := state.group.MemberIdentities[name]

			if found && name != state.group.Primary && (!recorded || identity == server.Identity) {
				counted.Add(name)
			}
		}
	}

	return counted
}
