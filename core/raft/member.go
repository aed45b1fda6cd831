package raft

import (
	"cmp"
	"slices"
)

// ID identifies a member together with its disk. Zero is not a valid ID. A member that lost its disk gets another ID.
type ID uint64

// Member is a process that keeps a copy of the log.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"`
	// Voter reports whether the member counts towards quorums.
	Voter bool `cbor:"4,keyasint,omitempty"`
	// JoinIndex is the index of the entry that added the member. The member may be promoted once it has that entry,
	// because the entry follows everything that was committed when the member joined.
	JoinIndex uint64 `cbor:"5,keyasint,omitempty"`
}

// Configuration is the list of members at some index, in ascending order of IDs.
type Configuration struct {
	Members []Member `cbor:"1,keyasint,omitempty"`
}

// NewConfiguration returns a configuration of the given members.
func NewConfiguration(members ...Member) Configuration {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })

	return Configuration{Members: sorted}
}

// FindMember returns the member with the given ID.
func (c Configuration) FindMember(id ID) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}

	return Member{}, false
}

// IsVoter reports whether a member has a vote.
func (c Configuration) IsVoter(id ID) bool {
	member, found := c.FindMember(id)

	return found && member.Voter
}

// VoterCount returns the number of members with a vote.
func (c Configuration) VoterCount() int {
	count := 0

	for _, member := range c.Members {
		if member.Voter {
			count++
		}
	}

	return count
}

// HasQuorum reports whether a majority of the voters satisfies a condition.
func (c Configuration) HasQuorum(holds func(ID) bool) bool {
	count := 0

	for _, member := range c.Members {
		if member.Voter && holds(member.ID) {
			count++
		}
	}

	return count > c.VoterCount()/2
}

// with returns the configuration with one member added or replaced.
func (c Configuration) with(member Member) Configuration {
	return NewConfiguration(append(c.without(member.ID).Members, member)...)
}

// without returns the configuration with one member removed.
func (c Configuration) without(id ID) Configuration {
	kept := slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.ID == id })

	return Configuration{Members: kept}
}
