package failover

import (
	"time"

	"almondgrade/core/position"
)

// replicaSilenceLimit is the time without a message from the primary after which a replica is no longer evidence that
// the primary is alive.
const replicaSilenceLimit = 2 * time.Second

// Report is what one observer saw when it opened a new connection to a server.
type Report struct {
	Observer string
	// Reachable is true if the server answered.
	Reachable bool
	// InRecovery is true if the server answered as a replica.
	InRecovery bool
	Term       position.Term
	// SinceLastReceive is, for a replica that follows the primary, the time since it last received a message from it.
	SinceLastReceive time.Duration
	Receiving        bool
}

// Verdict is the result of JudgePrimary.
type Verdict uint8

// The verdicts.
const (
	// VerdictAlive means that the primary works, or that there is not enough evidence against it.
	VerdictAlive Verdict = iota
	// VerdictDead means that a failover may start.
	VerdictDead
)

// JudgePrimary decides whether the primary of a term is dead. The primary's reports come from observers on different
// VMs, the replicas' reports from any observer. A majority of at least two observers must have failed to open a
// connection; a single observer is sufficient only if it is the only one that was asked. A replica that still receives
// messages from the primary shows that the primary is alive: the observers are cut off.
//
// A server that answers as a replica under the primary's name is no longer a primary and counts as failed.
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
		receives := report.Reachable && report.InRecovery && report.Receiving && report.Term == term
		if receives && report.SinceLastReceive < replicaSilenceLimit {
			return VerdictAlive
		}
	}

	return VerdictDead
}
