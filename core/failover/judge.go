package failover

import (
	"time"

	"almondgrade/core/position"
)

// replicaSilenceLimit is the time without a message from the primary after which a replica no longer speaks for it.
const replicaSilenceLimit = 2 * time.Second

// Report is what one observer saw when it opened a new connection to a server.
type Report struct {
	Observer string
	// Reachable is true when the server answered.
	Reachable bool
	// InRecovery is true when the server answered as a replica.
	InRecovery bool
	Term       position.Term
	// SinceLastReceive is, for a replica that follows the primary, the time since it last heard from it.
	SinceLastReceive time.Duration
	Receiving        bool
}

// Verdict is the outcome of Judge.
type Verdict uint8

// The verdicts.
const (
	// VerdictAlive says that the primary serves, or that the evidence is not sufficient against it.
	VerdictAlive Verdict = iota
	// VerdictDead says that a failover may start.
	VerdictDead
)

// JudgePrimary decides whether the primary of a term is dead. The primary's reports come from observers on different VMs,
// the replicas' reports from any observer. A majority of at least two observers must have failed to open a
// connection; a single observer decides only if it is the only one asked. A replica that still hears from the
// primary speaks for it: the observers are cut off, not the primary.
//
// A server that answers as a replica under the primary's name is not a primary any more and counts as failed.
func JudgePrimary(term position.Term, primary []Report, replicas []Report) Verdict {
	failed := 0

	for _, report := range primary {
		if !report.Reachable || report.InRecovery {
			failed++
		}
	}

	if failed == 0 || failed*2 <= len(primary) {
		return VerdictAlive
	}

	for _, report := range replicas {
		hears := report.Reachable && report.InRecovery && report.Receiving && report.Term == term
		if hears && report.SinceLastReceive < replicaSilenceLimit {
			return VerdictAlive
		}
	}

	return VerdictDead
}
