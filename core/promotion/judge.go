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

// proxyLossTimeout is the time for which most proxies must have lost a primary that the leader reaches. A cut that heals
// sooner costs less than a promotion, which takes about a second.
const proxyLossTimeout = 1500 * time.Millisecond

// proxyLossDivisor is the part of the proxies, as a divisor, that must have lost a primary which the leader reaches.
const proxyLossDivisor = 3

// ProxyReport is what one proxy says of a primary.
type ProxyReport struct {
	// Reached is true if the primary answered it after its last failure.
	Reached bool
	// FailingFor is the time for which the proxy has failed to reach the primary.
	FailingFor time.Duration
}

// Evidence is what the leader knows of a primary.
type Evidence struct {
	// ProbeState is the leader's own conclusion.
	ProbeState failover.State
	// Leaving is true if the primary has announced a planned stop.
	Leaving      bool
	ProxyReports []ProxyReport
}

// JudgePrimary decides whether a primary is to be replaced.
func JudgePrimary(e Evidence) Verdict {
	if e.Leaving {
		return Replace
	}

	reached, lost, failing := 0, 0, 0

	for _, sight := range e.ProxyReports {
		switch {
		case sight.Reached:
			reached++
		case sight.FailingFor > 0:
			failing++

			if sight.FailingFor >= proxyLossTimeout {
				lost++
			}
		}
	}

	if e.ProbeState == failover.Dead {
		if reached > failing {
			return Keep
		}

		return Replace
	}

	// A server without room answers late, so that a few proxies lose it for a moment.
	if lost > 1 && lost > reached && lost*proxyLossDivisor >= len(e.ProxyReports) {
		return Replace
	}

	return Keep
}
