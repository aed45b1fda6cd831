package coordinator

import (
	"almondgrade/core/container"
	"almondgrade/core/failover"
	"almondgrade/core/registry"
)

// commitQuorum reports whether the replicas make, together with the primary, a commit quorum of the members, and of
// the previous members while a change of members is not in force everywhere.
func commitQuorum(group registry.Group, replicas container.Set[string]) bool {
	holders := container.NewSet(group.Primary)
	for replica := range replicas {
		holders.Add(replica)
	}

	return failover.Committed(group.Members, holders) && failover.Committed(group.PreviousMembers, holders)
}

// voters returns the replicas that quorums of a group count. A server that came back with another identity has lost
// what it held and does not count until control has taken it in again.
func voters(state *state) container.Set[string] {
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
