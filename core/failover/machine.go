package failover

import (
	"slices"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/position"
	"almondgrade/core/registry"
)

const (
	// fencingTimeout is the time after which fencing without a quorum is abandoned if the old primary answers again.
	fencingTimeout = 2 * time.Second
	// promotionTimeout is the time after which the promotion of a candidate that does not answer is recorded as failed.
	promotionTimeout = 3 * time.Second
)

// Facts are the observations made during one attempt of a group's failover.
type Facts struct {
	// FencedPositions holds the last flushed position of each member fenced in this attempt, with the term in which the
	// member was attached.
	FencedPositions map[string]position.Position
	// LostMembers are the members whose identity has changed. The data that they had flushed is gone, so they do not
	// count.
	LostMembers container.Set[string]
	// PhaseElapsed is the time since the current phase began for this leader.
	PhaseElapsed time.Duration
	// PrimaryAnswers is true if the old primary is reachable again and still is a primary.
	PrimaryAnswers bool
	// CandidatePromoted is true if the candidate answers as primary of the next term.
	CandidatePromoted bool
}

// Action is the result of NextAction: one of the types below, or nil if there is nothing to do.
type Action interface{ action() }

// FenceMembers requests that servers are fenced.
type FenceMembers struct{ Servers []string }

// RecordAbandonment requests a record that the failover is abandoned and the old primary stays.
type RecordAbandonment struct{}

// RecordCandidate requests a record of the candidate and of the position at which its term begins.
type RecordCandidate struct {
	Candidate string
	TermBegin position.LSN
}

// PromoteServer requests the promotion of the recorded candidate.
type PromoteServer struct{ Candidate string }

// RecordCompletion requests a record that the promotion has ended.
type RecordCompletion struct{ Failed bool }

func (FenceMembers) action()      {}
func (RecordAbandonment) action() {}
func (RecordCandidate) action()   {}
func (PromoteServer) action()     {}
func (RecordCompletion) action()  {}

// NextAction returns the next step of a group's failover.
func NextAction(group registry.Group, facts Facts) Action {
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

	for name := range facts.FencedPositions {
		if !facts.LostMembers.Has(name) && name != group.Primary {
			counted.Add(name)
		}
	}

	if HasFenceQuorum(group.Members, counted) && HasFenceQuorum(group.PreviousMembers, counted) {
		if candidate, found := chooseCandidate(group, facts, counted); found {
			return RecordCandidate{Candidate: candidate, TermBegin: facts.FencedPositions[candidate].LSN}
		}
	}

	if facts.PrimaryAnswers && facts.PhaseElapsed >= fencingTimeout {
		return RecordAbandonment{}
	}

	var missing []string

	for _, member := range union(group.Members, group.PreviousMembers) {
		if member != group.Primary && !counted.Has(member) && !facts.LostMembers.Has(member) {
			missing = append(missing, member)
		}
	}

	if len(missing) == 0 {
		return nil
	}

	return FenceMembers{Servers: missing}
}

// chooseCandidate returns the fenced member with the highest position, compared by term first: a member that was last
// attached in an older term may have a longer log that was discarded. Among equals it prefers the target of a planned
// move, then the first by name. Every attached member holds a prefix of its term's log, so that positions are
// comparable. There is no candidate if a fenced previous member holds more than all members: it may have confirmed that.
func chooseCandidate(group registry.Group, facts Facts, counted container.Set[string]) (string, bool) {
	best, found := "", false

	var highest position.Position

	for _, name := range container.Sorted(counted) {
		if highest.Less(facts.FencedPositions[name]) {
			highest = facts.FencedPositions[name]
		}

		if !slices.Contains(group.Members, name) {
			continue
		}

		better := !found || facts.FencedPositions[best].Less(facts.FencedPositions[name]) ||
			facts.FencedPositions[name] == facts.FencedPositions[best] && name == group.Target
		if better {
			best, found = name, true
		}
	}

	return best, found && !facts.FencedPositions[best].Less(highest)
}

func nextPromoting(group registry.Group, facts Facts) Action {
	if facts.CandidatePromoted {
		return RecordCompletion{}
	}

	if facts.PhaseElapsed >= promotionTimeout {
		return RecordCompletion{Failed: true}
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
