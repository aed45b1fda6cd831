package promotion

import (
	"time"

	"almondgrade/core/failover"
)

// Verdict is the outcome of Judge.
type Verdict uint8

// The verdicts.
const (
	// Keep means that the primary stays.
	Keep Verdict = iota
	// Replace means that another server becomes primary.
	Replace
)

// lostTime is the time for which most proxies must have lost a primary that the leader reaches. A cut that heals
// sooner costs less than a promotion, which takes about a second.
const lostTime = 1500 * time.Millisecond

// lostShare is the part of the proxies, as a divisor, that must have lost a primary which the leader reaches.
const lostShare = 3

// Sight is what one proxy says of a primary.
type Sight struct {
	// Reached is true if the primary answered it after its last failure.
	Reached bool
	// Failing is the time for which the proxy has failed to reach the primary.
	Failing time.Duration
}

// Evidence is what the leader knows of a primary.
type Evidence struct {
	// Probes is the leader's own conclusion.
	Probes failover.State
	// Leaving is true if the primary has announced a planned stop.
	Leaving bool
	Sights  []Sight
}

// Judge decides whether a primary is to be replaced.
func Judge(e Evidence) Verdict {
	if e.Leaving {
		return Replace
	}

	reached, lost, failing := 0, 0, 0

	for _, sight := range e.Sights {
		switch {
		case sight.Reached:
			reached++
		case sight.Failing > 0:
			failing++

			if sight.Failing >= lostTime {
				lost++
			}
		}
	}

	if e.Probes == failover.Dead {
		if reached > failing {
			return Keep
		}

		return Replace
	}

	// A server without room answers late, so that a few proxies lose it for a moment.
	if lost > 1 && lost > reached && lost*lostShare >= len(e.Sights) {
		return Replace
	}

	return Keep
}
