package coordinator

import (
	"slices"

	"almondgrade/core/registry"
)

// commitQuorum reports whether servers that hold, together with the primary, make a commit quorum: n/2+1 of the
// members, and of the previous members while a change of members is not in force everywhere.
func commitQuorum(group registry.Group, holds func(server string) bool) bool {
	return listQuorum(group.Primary, group.Members, holds) &&
		(len(group.Previous) == 0 || listQuorum(group.Primary, group.Previous, holds))
}

func listQuorum(primary string, members []string, holds func(server string) bool) bool {
	count := 0

	for _, member := range members {
		if member == primary || holds(member) {
			count++
		}
	}

	return count >= len(members)/2+1
}

// voters returns the servers that quorums of a group count, without duplicates.
func voters(group registry.Group) []string {
	all := slices.Concat(group.Members, group.Previous)
	slices.Sort(all)

	return slices.Compact(all)
}
