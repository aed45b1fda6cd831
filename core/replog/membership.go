package replog

import "github.com/rotisserie/eris"

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
// configurations that differ by more than one member need not intersect.
func (n *Node) Change(change Change) (index uint64, err error) {
	configuration := n.configuration()
	id := change.Member.ID
	current, found := configuration.Find(id)

	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.transferee != 0:
		return 0, ErrTransferring
	case n.members[len(n.members)-1].index > n.commit:
		return 0, ErrChanging
	case !n.committedInTerm():
		return 0, ErrNotReady
	case change.Kind != Add && !found:
		return 0, ErrNoMember
	case change.Kind == Promote && n.matched(id) < current.Joined:
		return 0, ErrBehind
	case change.Kind == Remove && current.Voter && configuration.Voters() == 1:
		return 0, ErrLastVoter
	case change.Kind == Add && found, change.Kind == Promote && current.Voter:
		return n.commit, nil
	}

	index = n.log.last() + 1

	switch change.Kind {
	case Add:
		added := change.Member
		added.Voter, added.Joined = false, index
		configuration = configuration.with(added)
	case Promote:
		current.Voter = true
		configuration = configuration.with(current)
	case Remove:
		configuration = configuration.without(id)
	}

	data, err := encodeConfiguration(configuration)
	if err != nil {
		return 0, err
	}

	n.adopt([]Entry{n.appendOwn(Membership, data)})

	return index, nil
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
