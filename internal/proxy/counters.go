package proxy

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/result"
)

// Names of counters that don't correspond to a result code.
const (
	counterRequests           = "requests"
	counterReplicaReads       = "reads_replica"
	counterPrimaryReads       = "reads_primary"
	counterSessionPinned      = "session_pinned"
	counterRetryReadElsewhere = "retry_read_elsewhere"
	counterRetryReadAsWrite   = "retry_read_as_write"
	counterRetryNotRun        = "retry_not_run"
	counterRetryBudgetSpent   = "retry_budget_spent"
	counterReplicaWait        = "replica_wait"
	counterCancelRequests     = "cancel"
	counterOutcomeQueries     = "outcome_asked"
	counterSlowCaller         = "caller_stalled"
)

// counters counts errors, retries and requests by name.
type counters struct {
	registry metrics.Registry
}

func (c counters) increment(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

// countError counts an error under the name of its code.
func (c counters) countError(err error) {
	var failure *result.Error
	if errors.As(err, &failure) {
		c.increment(failure.Code.Describe().Name)
	}
}
