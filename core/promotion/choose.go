package promotion

import "almondgrade/core/position"

// Candidate is a server of the group that reported its state to the leader.
type Candidate struct {
	ID string
	// Term is the newest term that the server knows.
	Term position.Term
	// Received is the last position that the server has received.
	Received position.Position
	// Leaving servers have announced a planned stop. They are chosen only if there is no alternative.
	Leaving bool
	// Primary is true if the server reports that it is the primary.
	Primary bool
}

// Requirements are the conditions that a group's next primary must meet.
type Requirements struct {
	// Replicas is the number of servers of the group without the former primary.
	Replicas int
	// Absent is the number of servers that no longer count among the replicas, while acknowledged commits may be held by them alone.
	Absent int
	// SyncReplicas is the number of replicas that held each acknowledged commit. At most SyncReplicas-1 replicas may be
	// missing; otherwise an acknowledged commit could be on missing ones only.
	SyncReplicas int
	// Term is the newest term in which the group had a primary. A server that knows only older terms may hold commits
	// that an earlier promotion discarded, and lacks those that came after it.
	Term position.Term
	// Acknowledged is a position that the next primary must have received, because callers were told of the commit. Too few others may
	// hold it if a replica has received it that control does not know, or has removed while it still received.
	Acknowledged position.Position
}

// ChooseCandidate returns the ID of the server to promote. Possible is false if too few servers reported their state, or
// if all that did know only older terms or lack an acknowledged commit.
func ChooseCandidate(candidates []Candidate, requirements Requirements) (chosen string, possible bool) {
	if requirements.SyncReplicas > 0 && len(candidates) < requirements.Replicas+requirements.Absent-requirements.SyncReplicas+1 {
		return "", false
	}

	var best Candidate

	for _, candidate := range candidates {
		if candidate.Term < requirements.Term || candidate.Received.Less(requirements.Acknowledged) {
			continue
		}

		if !possible || better(candidate, best, requirements.SyncReplicas > 0) {
			best, possible = candidate, true
		}
	}

	return best.ID, possible
}

// IsHeld reports whether enough replicas have received all commits up to a position of the primary that servers which are absent since
// before it need not be waited for.
func IsHeld(replicas []Candidate, wanted position.Position, syncReplicas int) bool {
	holders := 0

	for _, replica := range replicas {
		if !replica.Primary && !replica.Received.Less(wanted) {
			holders++
		}
	}

	return holders >= max(1, syncReplicas)
}

// FindPrimary returns the candidate that is the primary already, in the given term or a newer one: an earlier order was
// executed late, or the former primary has returned under another ID and nobody was promoted meanwhile. A server that claims to be
// the primary, but knows an older term than another candidate or has received less, was isolated or has lost commits.
func FindPrimary(candidates []Candidate, newest position.Term) (primary Candidate, found bool) {
	for _, candidate := range candidates {
		if candidate.Primary && candidate.Term >= newest && (!found || candidate.Term > primary.Term) {
			primary, found = candidate, true
		}
	}

	for _, candidate := range candidates {
		if candidate.Term > primary.Term || candidate.Term == primary.Term && primary.Received.Less(candidate.Received) {
			return Candidate{}, false
		}
	}

	return primary, found
}

// better reports whether a is preferred to b. With strict, because commits wait for replicas, the position takes
// precedence over a planned stop.
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
