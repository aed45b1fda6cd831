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
