package promotion

import "almondgrade/core/position"

// Candidate is a server of the group that told the leader its state.
type Candidate struct {
	ID string
	// Term is the newest term that it knows.
	Term position.Term
	// Received is the last position that it holds.
	Received position.Position
	// Leaving servers are chosen only if there is no other.
	Leaving bool
}

// Requirements are what a group asks of its next primary.
type Requirements struct {
	// Replicas is the number of servers of the group without the former primary.
	Replicas int
	// SyncReplicas is the number of replicas that held each acknowledged commit: so many may be missing at most, less
	// one, or an acknowledged commit could be on a missing one only.
	SyncReplicas int
	// Term is the newest term in which the group was led. A server that knows only older ones may hold commits which an
	// earlier takeover discarded, and lacks those that came after it.
	Term position.Term
}

// ChooseCandidate returns the server to promote.
func ChooseCandidate(candidates []Candidate, needs Requirements) (chosen string, possible bool) {
	if needs.SyncReplicas > 0 && len(candidates) < needs.Replicas-needs.SyncReplicas+1 {
		return "", false
	}

	var best Candidate

	for _, candidate := range candidates {
		if candidate.Term < needs.Term {
			continue
		}

		if !possible || better(candidate, best, needs.SyncReplicas > 0) {
			best, possible = candidate, true
		}
	}

	return best.ID, possible
}

// better reports whether a candidate goes before another. Where commits wait for replicas, nothing but the position
// counts.
func better(a, b Candidate, strict bool) bool {
	if !strict && a.Leaving != b.Leaving {
		return !a.Leaving
	}

	if a.Received != b.Received {
		return b.Received.Less(a.Received)
	}

	if a.Leaving != b.Leaving {
		return !a.Leaving
	}

	return a.ID < b.ID
}
