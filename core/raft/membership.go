package raft

import (
	"slices"

	"github.com/rotisserie/eris"
)

// membership lists the configurations of the log in ascending order of their index. The first one is that of the
// log's base or snapshot, the last one is in force.
type membership []versioned

type versioned struct {
	index         uint64
	configuration Configuration
}

func (m membership) latest() Configuration {
	return m[len(m)-1].configuration
}

// at returns the configuration in force at an index.
func (m membership) at(index uint64) Configuration {
	found := m[0].configuration

	for _, version := range m {
		if version.index <= index {
			found = version.configuration
		}
	}

	return found
}

// extend adds the configurations in entries.
func (m *membership) extend(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != Membership {
			continue
		}

		configuration, err := DecodeConfiguration(entry.Data)
		if err != nil {
			return eris.Wrapf(err, "entry %d", entry.Index)
		}

		*m = append(*m, versioned{entry.Index, configuration})
	}

	return nil
}

// truncate drops the configurations from an index on.
func (m *membership) truncate(from uint64) {
	for len(*m) > 1 && (*m)[len(*m)-1].index >= from {
		*m = (*m)[:len(*m)-1]
	}
}

// compact drops the configurations that are replaced at or before an index.
func (m *membership) compact(to uint64) {
	for len(*m) > 1 && (*m)[1].index <= to {
		*m = (*m)[1:]
	}
}

// ChangeKind tells how the membership changes.
type ChangeKind uint8

// The kinds of changes.
const (
	// Add adds a member without a vote.
	Add ChangeKind = iota + 1
	// Promote gives a member that has caught up its vote.
	Promote
	// Remove removes a member.
	Remove
)

// Change is a change of one member.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// Change appends a change of one member. It is refused while another change is not committed, because quorums of
// configurations that differ by more than one member need not intersect. A change that is in force already succeeds
// without an entry.
func (n *Node) Change(change Change) (index uint64, err error) {
	if err := n.changeable(); err != nil {
		return 0, err
	}

	index = n.log.last() + 1

	configuration, err := n.changed(change, index)
	if err != nil {
		return 0, err
	}

	if slices.Equal(configuration.Members, n.configuration().Members) {
		return n.commit, nil
	}

	data, err := encodeConfiguration(configuration)
	if err != nil {
		return 0, err
	}

	n.adopt([]Entry{n.appendOwn(Membership, data)})

	return index, nil
}

// changeable returns why no member can be changed at present.
func (n *Node) changeable() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferee != 0:
		return ErrTransferring
	case n.members[len(n.members)-1].index > n.commit:
		return ErrChanging
	case !n.committedInTerm():
		return ErrNotReady
	default:
		return nil
	}
}

// changed returns the configuration after a change by the entry at an index.
func (n *Node) changed(change Change, index uint64) (Configuration, error) {
	configuration := n.configuration()
	id := change.Member.ID
	current, found := configuration.Find(id)

	switch change.Kind {
	case Add:
		if found {
			return configuration, nil
		}

		added := change.Member
		added.Voter, added.Joined = false, index

		return configuration.with(added), nil
	case Promote:
		if !found {
			return Configuration{}, ErrNoMember
		}

		if n.matched(id) < current.Joined {
			return Configuration{}, ErrBehind
		}

		current.Voter = true

		return configuration.with(current), nil
	case Remove:
		if !found {
			return Configuration{}, ErrNoMember
		}

		if current.Voter && configuration.Voters() == 1 {
			return Configuration{}, ErrLastVoter
		}

		return configuration.without(id), nil
	}

	return Configuration{}, eris.Errorf("unknown kind of change %d", change.Kind)
}

// adopt puts the configurations in appended entries in force. An entry that can't be decoded leaves the membership
// as it is: it was written by a leader that could decode it, and refusing it would only stop this member.
func (n *Node) adopt(entries []Entry) {
	before := len(n.members)
	if err := n.members.extend(entries); err != nil || len(n.members) == before {
		return
	}

	if n.role == Leader {
		n.trackMembers()
		n.announce = true
	}
}

// settleMembership steps down once a configuration without this member's vote is committed.
func (n *Node) settleMembership() {
	if n.members[len(n.members)-1].index <= n.commit && !n.configuration().Voter(n.options.ID) {
		n.flush()
		n.follow(n.state.Term, 0)
	}
}

// committedInTerm reports whether the leader has committed an entry of its term. Before that it doesn't know how far
// the log was committed.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.commit)

	return term == n.state.Term
}

// Transfer asks another member with a vote to take over the leadership. Commands are refused until it did, or until
// an election timeout has passed.
func (n *Node) Transfer(to ID) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case to == n.options.ID || !n.configuration().Voter(to):
		return ErrNoMember
	case n.transferee != 0:
		return ErrTransferring
	}

	n.transferee, n.transfer, n.urged = to, 0, false
	n.hurryTransfer()

	return nil
}

// hurryTransfer makes the chosen member start an election once it holds the whole log, at most once per heartbeat.
func (n *Node) hurryTransfer() {
	if n.role == Leader && n.transferee != 0 && !n.urged && n.matched(n.transferee) == n.log.last() {
		n.urged = true
		n.send(Message{Kind: TimeoutNow, To: n.transferee})
	}
}
