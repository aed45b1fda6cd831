package failover

import (
	"slices"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/position"
	"almondgrade/core/registry"
)

const (
	// fenceLimit is the time after which fencing without a quorum is abandoned if the old primary answers again.
	fenceLimit = 2 * time.Second
	// promoteLimit is the time after which a candidate that does not answer is given up.
	promoteLimit = 3 * time.Second
)

// Facts are what was gathered about one attempt of a group's failover.
type Facts struct {
	// Fenced holds, for every member fenced in this attempt, the last position that it has flushed, with the term in
	// which it was attached.
	Fenced map[string]position.Position
	// Lost are the members whose identity has changed: what they had flushed is gone, so that they don't count.
	Lost container.Set[string]
	// Elapsed is the time since the present phase began for this leader.
	Elapsed time.Duration
	// PrimaryAnswers is true when the old primary is reachable again and still is a primary.
	PrimaryAnswers bool
	// Promoted is true when the candidate answers as primary of the next term.
	Promoted bool
}

// Action is what Next asks for: one of the types below, or nil when there is nothing to do.
type Action interface{ action() }

// FenceMembers asks to fence servers.
type FenceMembers struct{ Servers []string }

// RecordAbandon asks to record that the old primary stays.
type RecordAbandon struct{}

// RecordPromote asks to record the candidate and the position at which its term begins.
type RecordPromote struct {
	Candidate string
	Begin     position.LSN
}

// PromoteServer asks to promote the recorded candidate.
type PromoteServer struct{ Candidate string }

// RecordFinish asks to record the end of the promotion.
type RecordFinish struct{ Failed bool }

func (FenceMembers) action()  {}
func (RecordAbandon) action() {}
func (RecordPromote) action() {}
func (PromoteServer) action() {}
func (RecordFinish) action()  {}

// Next returns the next step of a group's failover.
func Next(group registry.Group, facts Facts) Action {
	switch group.Phase {
	case registry.PhaseFencing:
		return nextFencing(group, facts)
	case registry.PhasePromoting:
		return nextPromoting(group, facts)
	case registry.PhaseStable:
	}

	return nil
}

func nextFencing(group registry.Group, facts Facts) Action {
	counted := container.NewSet[string]()

	for name := range facts.Fenced {
		if !facts.Lost.Has(name) && name != group.Primary {
			counted.Add(name)
		}
	}

	if Fenced(group.Members, counted) && Fenced(group.PreviousMembers, counted) {
		if candidate, found := candidate(group, facts, counted); found {
			return RecordPromote{Candidate: candidate, Begin: facts.Fenced[candidate].LSN}
		}
	}

	if facts.PrimaryAnswers && facts.Elapsed >= fenceLimit {
		return RecordAbandon{}
	}

	var missing []string

	for _, member := range union(group.Members, group.PreviousMembers) {
		if member != group.Primary && !counted.Has(member) && !facts.Lost.Has(member) {
			missing = append(missing, member)
		}
	}

	if len(missing) == 0 {
		return nil
	}

	return FenceMembers{Servers: missing}
}

// candidate picks the fenced member with the highest position, by term first: a member that was last attached in an older
// term may hold a longer log that was discarded. Of equals, the target of a planned move, then the
// first by name. Every member that is attached holds a prefix of its term's log, so that positions compare.
func candidate(group registry.Group, facts Facts, counted container.Set[string]) (string, bool) {
	best, found := "", false

	for _, name := range container.Sorted(counted) {
		if !slices.Contains(group.Members, name) {
			continue
		}

		better := !found || facts.Fenced[best].Less(facts.Fenced[name]) ||
			facts.Fenced[name] == facts.Fenced[best] && name == group.Target
		if better {
			best, found = name, true
		}
	}

	return best, found
}

func nextPromoting(group registry.Group, facts Facts) Action {
	if facts.Promoted {
		return RecordFinish{}
	}

	if facts.Elapsed >= promoteLimit {
		return RecordFinish{Failed: true}
	}

	return PromoteServer{Candidate: group.Candidate}
}

func union(a, b []string) []string {
	all := slices.Clone(a)

	for _, name := range b {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}

	return all
}
