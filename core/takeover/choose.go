package takeover

import "almondgrade/core/position"

// Candidate is a server of the group that answered the leader.
type Candidate struct {
	ID string
	// Received is the last position that it holds.
	Received position.Position
	// Leaving servers are chosen only if there is no other.
	Leaving bool
}

// Choose returns the server to promote. Members is the number of servers of the group without the former primary,
// syncReplicas the number that held each acknowledged commit: so many may be missing at most, less one, or an
// acknowledged commit could be on a missing one only.
func Choose(candidates []Candidate, members, syncReplicas int) (chosen string, possible bool) {
	if syncReplicas > 0 && len(candidates) < members-syncReplicas+1 {
		return "", false
	}

	var best Candidate

	for _, candidate := range candidates {
		if !possible || better(candidate, best, syncReplicas > 0) {
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
