package promotion

import (
	"time"

	"almondgrade/core/failover"
)

// Verdict is the result of JudgePrimary.
type Verdict uint8

// The verdicts.
const (
	// Keep means that the primary stays.
	Keep Verdict = iota
	// Replace means that another server becomes primary.
	Replace
)

// proxyLossTimeout is the time for which most proxies must have lost a primary that the leader reaches. A partition
// that ends sooner costs less than a promotion, which takes about a second.
const proxyLossTimeout = 1500 * time.Millisecond

// proxyLossDivisor defines the share of the proxies, 1/proxyLossDivisor, that must have lost a primary which the leader
// reaches.
const proxyLossDivisor = 3

// unconfirmedDeadTimeout is the time for which the leader's probes must have failed if no proxy reports on the primary.
// With 3 s for the leases of proxies and a promotion, the group has a new primary within 12 s. A group that no proxy uses
// loses nothing meanwhile.
const unconfirmedDeadTimeout = 4 * time.Second

// ProxyReport is what one proxy reports about a primary.
type ProxyReport struct {
	// Reached is true if the primary has answered the proxy after the proxy's last failure.
	Reached bool
	// Failing is the time for which the proxy has failed to reach the primary, since it became the primary.
	Failing time.Duration
}

// Evidence is the leader's information about a primary.
type Evidence struct {
	// ProbeState is the result of the leader's own probes.
	ProbeState failover.State
	// FailedFor is the time between the first and the last of the consecutive failures that ProbeState counts.
	FailedFor time.Duration
	// Demoted is true if the primary itself answers that it is a replica and no other server is the primary, for example
	// because it has started again without its data.
	Demoted bool
	// Gone is true if the primary has withdrawn, so that there is nothing to probe.
	Gone bool
	// Leaving is true if the primary has announced a planned stop.
	Leaving      bool
	ProxyReports []ProxyReport
}

// JudgePrimary decides whether a primary is to be replaced. Failed probes alone don't suffice, because the fault may lie
// in the leader's process or network: either a proxy that uses the primary has lost it as well, or the probes have failed
// for unconfirmedDeadTimeout and no proxy reports on it.
func JudgePrimary(e Evidence) Verdict {
	if e.Leaving || e.Demoted {
		return Replace
	}

	reached, lost, failing := 0, 0, 0

	for _, report := range e.ProxyReports {
		switch {
		case report.Reached:
			reached++
		case report.Failing > 0:
			failing++

			if report.Failing >= proxyLossTimeout {
				lost++
			}
		}
	}

	if e.ProbeState == failover.Dead {
		confirmed := failing > 0 || e.Gone || e.FailedFor >= unconfirmedDeadTimeout
		if reached > failing || !confirmed {
			return Keep
		}

		return Replace
	}

	// A server whose connections are all in use answers late, so that a few proxies lose it for a moment.
	if lost > 1 && lost > reached && lost*proxyLossDivisor >= len(e.ProxyReports) {
		return Replace
	}

	return Keep
}
