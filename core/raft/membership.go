package raft

import (
	"slices"

	"github.com/rotisserie/eris"
)

// configurationHistory lists the configurations of the log in ascending order of their index. The first one is that of
// the log's base or snapshot, the last one is in effect.
type configurationHistory []indexedConfiguration

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

func (h configurationHistory) latest() Configuration {
	return h[len(h)-1].configuration
}

// at returns the configuration in effect at an index.
func (h configurationHistory) at(index uint64) Configuration {
	found := h[0].configuration

	for _, version := range h {
		if version.index <= index {
			found = version.configuration
		}
	}

	return found
}

// extend appends the configurations in entries.
func (h *configurationHistory) extend(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != ConfigurationEntry {
			continue
		}

		configuration, err := DecodeConfiguration(entry.Data)
		if err != nil {
			return eris.Wrapf(err, "entry %d", entry.Index)
		}

		*h = append(*h, indexedConfiguration{entry.Index, configuration})
	}

	return nil
}

// truncate deletes the configurations from an index on.
func (h *configurationHistory) truncate(from uint64) {
	for len(*h) > 1 && (*h)[len(*h)-1].index >= from {
		*h = (*h)[:len(*h)-1]
	}
}

// compact deletes the configurations that were replaced at or before an index.
func (h *configurationHistory) compact(to uint64) {
	for len(*h) > 1 && (*h)[1].index <= to {
		*h = (*h)[1:]
	}
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// AddMember adds a member without a vote.
	AddMember ChangeKind = iota + 1
	// PromoteMember gives a vote to a member that has caught up.
	PromoteMember
	// RemoveMember removes a member.
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind   ChangeKind
	Member Member
}

// ChangeMembership appends a change of one member. It fails while another change is not committed, because quorums of
// configurations that differ by more than one member need not intersect. If the change is already in effect, it
// succeeds without an entry.
func (n *Node) ChangeMembership(change MembershipChange) (index uint64, err error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}

	index = n.log.last() + 1

	configuration, err := n.configurationAfter(change, index)
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

	n.adoptConfigurations([]Entry{n.appendAsLeader(ConfigurationEntry, data)})

	return index, nil
}

// checkChangeAllowed returns the reason why the membership can't be changed now, or nil.
func (n *Node) checkChangeAllowed() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferee != 0:
		return ErrTransferring
	case n.configurations[len(n.configurations)-1].index > n.commit:
		return ErrChangePending
	case !n.committedInTerm():
		return ErrNoCommitInTerm
	default:
		return nil
	}
}

// configurationAfter returns the configuration after a change by the entry at the given index.
func (n *Node) configurationAfter(change MembershipChange, index uint64) (Configuration, error) {
	configuration := n.configuration()
	id := change.Member.ID
	current, found := configuration.FindMember(id)

	switch change.Kind {
	case AddMember:
		if found {
			return configuration, nil
		}

		added := change.Member
		added.Voter, added.JoinIndex = false, index

		return configuration.with(added), nil
	case PromoteMember:
		if !found {
			return Configuration{}, ErrUnknownMember
		}

		if n.matchIndex(id) < current.JoinIndex {
			return Configuration{}, ErrNotCaughtUp
		}

		current.Voter = true

		return configuration.with(current), nil
	case RemoveMember:
		if !found {
			return Configuration{}, ErrUnknownMember
		}

		if current.Voter && configuration.VoterCount() == 1 {
			return Configuration{}, ErrLastVoter
		}

		return configuration.without(id), nil
	}

	return Configuration{}, eris.Errorf("unknown membership change kind %d", change.Kind)
}

// adoptConfigurations puts the configurations in appended entries into effect. An entry that can't be decoded leaves
// the membership as it is: the leader that wrote it could decode it, and refusing it would only stop this member.
func (n *Node) adoptConfigurations(entries []Entry) {
	before := len(n.configurations)
	if err := n.configurations.extend(entries); err != nil || len(n.configurations) == before {
		return
	}

	if n.role == Leader {
		n.trackMembers()
		n.broadcast = true
	}
}

// stepDownIfNotVoter makes the leader step down once a configuration in which it has no vote is committed.
func (n *Node) stepDownIfNotVoter() {
	if n.configurations[len(n.configurations)-1].index <= n.commit && !n.configuration().IsVoter(n.options.ID) {
		n.sendUpdates()
		n.becomeFollower(n.hardState.Term, 0)
	}
}

// committedInTerm reports whether the leader has committed an entry of its term. Before that it doesn't know the commit
// index of earlier leaders.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.commit)

	return term == n.hardState.Term
}

// TransferLeadership asks another member with a vote to take over the leadership. Commands are refused until it has
// done so or an election timeout has passed.
func (n *Node) TransferLeadership(to ID) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case to == n.options.ID || !n.configuration().IsVoter(to):
		return ErrUnknownMember
	case n.transferee != 0:
		return ErrTransferring
	}

	n.transferee, n.transferElapsed, n.timeoutNowSent = to, 0, false
	n.maybeSendTimeoutNow()

	return nil
}

// maybeSendTimeoutNow tells the transferee to start an election once it has the whole log, at most once per heartbeat.
func (n *Node) maybeSendTimeoutNow() {
	if n.role == Leader && n.transferee != 0 && !n.timeoutNowSent && n.matchIndex(n.transferee) == n.log.last() {
		n.timeoutNowSent = true
		n.send(Message{Kind: TimeoutNow, To: n.transferee})
	}
}
