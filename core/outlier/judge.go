package outlier

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which outcomes are forgotten. At ten statements per second and replica it covers
	// enough of them to tell a failing fifth from single failures.
	memory = 5 * time.Second
	// forgetInterval is the least time between two reductions of the weight of earlier outcomes.
	forgetInterval = memory / 50
	// minFailures is the weight of failures below which a server is not ejected.
	minFailures = 3
	// minFailedShare is the share of failures from which a server is an outlier. A read that fails is run again
	// elsewhere, so a smaller share costs callers little.
	minFailedShare = 0.2
	// othersFactor is the multiple of the other replicas' share that the share must exceed as well.
	othersFactor = 3
	// slowFactor is the slowness from which a server is an outlier. Target latencies are 13 to 30 times the time that a
	// sound server takes; up to half of that a slow server helps.
	slowFactor = 8
	// firstEjection is the first time of an ejection, maxEjection the longest one.
	firstEjection = 2 * time.Second
	maxEjection   = 30 * time.Second
	// holdPeriod is the time without an ejection for which the time of the next one is halved.
	holdPeriod = 10 * time.Second
	// trickleInterval is the time between two statements on a server that was ejected, trickleSuccesses the number of
	// them that must succeed before it is readmitted.
	trickleInterval  = 100 * time.Millisecond
	trickleSuccesses = 5
)

// Outcome is what a statement has seen of a server.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed
)

// replica is the state of one server.
type replica struct {
	successes float64
	failures  float64
	updated   time.Time
	// ejection is the time of the last ejection, until its end; zero if there was none.
	ejection time.Duration
	until    time.Time
	// onTrial is true from the ejection until the readmission. trialSuccesses counts the statements since the end of the
	// ejection, nextTrial is the earliest time of the next one.
	onTrial        bool
	trialSuccesses int
	nextTrial      time.Time
}

// Judge judges the replicas of a group.
type Judge struct {
	replicas map[string]*replica
	// ejected is the number of replicas that are on trial.
	ejected int
}

// NewJudge returns a judge of no replicas.
func NewJudge() *Judge {
	return &Judge{replicas: make(map[string]*replica)}
}

// SetReplicas makes the judge forget all other servers, for example one that has become the primary.
func (j *Judge) SetReplicas(ids []string) {
	kept := make(map[string]*replica, len(ids))
	j.ejected = 0

	for _, id := range ids {
		known := j.replicas[id]
		if known == nil {
			known = &replica{}
		}

		if kept[id] = known; known.onTrial {
			j.ejected++
		}
	}

	j.replicas = kept
}

// AllAdmitted reports whether no replica is ejected or on trial.
func (j *Judge) AllAdmitted() bool {
	return j.ejected == 0
}

// Admits reports whether a statement may go to the server now. A server that is not a replica is always admitted.
func (j *Judge) Admits(now time.Time, id string) bool {
	known := j.replicas[id]

	return known == nil || !known.onTrial || !now.Before(known.until) && !now.Before(known.nextTrial)
}

// Take records that a statement goes to the server.
func (j *Judge) Take(now time.Time, id string) {
	if known := j.replicas[id]; known != nil && known.onTrial {
		known.nextTrial = now.Add(trickleInterval)
	}
}

// Record records what a statement has seen. It returns true if the server is ejected because of it.
func (j *Judge) Record(now time.Time, id string, outcome Outcome) bool {
	known := j.replicas[id]
	if known == nil {
		return false
	}

	known.forget(now)

	if outcome == Succeeded {
		known.successes++

		if known.onTrial && !now.Before(known.until) {
			known.trialSuccesses++
			if known.trialSuccesses >= trickleSuccesses {
				known.onTrial = false
				j.ejected--
			}
		}

		return false
	}

	known.failures++

	if known.onTrial {
		// Statements that had been sent before the ejection may fail during it.
		return !now.Before(known.until) && j.eject(now, known)
	}

	share := known.failures / (known.successes + known.failures)
	if known.failures < minFailures || share < minFailedShare || share < othersFactor*j.othersShare(now, known) {
		return false
	}

	return j.eject(now, known)
}

// RecordSlowness records how many times longer the server takes than the others. It returns true if the server is
// ejected because of it.
func (j *Judge) RecordSlowness(now time.Time, id string, slowness float64) bool {
	known := j.replicas[id]

	return known != nil && !known.onTrial && slowness >= slowFactor && j.eject(now, known)
}

// eject ejects a replica unless it is the last one that works.
func (j *Judge) eject(now time.Time, known *replica) bool {
	if !j.othersWork(now, known) {
		return false
	}

	held := now.Sub(known.until)

	switch {
	case known.ejection == 0:
		known.ejection = firstEjection
	case known.onTrial || held < holdPeriod:
		known.ejection = min(2*known.ejection, maxEjection)
	default:
		known.ejection = max(known.ejection>>min(int(held/holdPeriod), 8), firstEjection)
	}

	if !known.onTrial {
		j.ejected++
	}

	known.until = now.Add(known.ejection)
	known.onTrial, known.trialSuccesses = true, 0
	known.successes, known.failures = 0, 0

	return true
}

// othersWork reports whether another replica is admitted and has served a statement lately.
func (j *Judge) othersWork(now time.Time, except *replica) bool {
	for _, other := range j.replicas {
		if other == except || other.onTrial {
			continue
		}

		other.forget(now)

		if other.successes >= 1 && other.successes > other.failures {
			return true
		}
	}

	return false
}

// othersShare returns the share of failures of the other admitted replicas.
func (j *Judge) othersShare(now time.Time, except *replica) float64 {
	successes, failures := 0.0, 0.0

	for _, other := range j.replicas {
		if other != except && !other.onTrial {
			other.forget(now)
			successes += other.successes
			failures += other.failures
		}
	}

	if failures == 0 {
		return 0
	}

	return failures / (successes + failures)
}

// forget reduces the weight of earlier outcomes.
func (r *replica) forget(now time.Time) {
	if passed := now.Sub(r.updated); passed > forgetInterval {
		if r.successes+r.failures > 0 {
			factor := math.Exp(-float64(passed) / float64(memory))
			r.successes *= factor
			r.failures *= factor
		}

		r.updated = now
	}
}
