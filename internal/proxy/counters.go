package proxy

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/result"
)

// Names of counters that belong to no result code.
const (
	counterRequests     = "requests"
	counterReplicaReads = "reads_replica"
	counterPrimaryReads = "reads_primary"
	counterPinned       = "session_pinned"
	counterRetryRead    = "retry_read_elsewhere"
	counterRetryWrite   = "retry_read_as_write"
	counterRetryNotRun  = "retry_not_run"
	counterRetryDenied  = "retry_budget_spent"
	counterReplicaWait  = "replica_wait"
	counterCancel       = "cancel"
	counterOutcome      = "outcome_asked"
	counterSlowCaller   = "caller_stalled"
)

// counters counts refusals, retries and requests by name.
type counters struct {
	registry metrics.Registry
}

func (c counters) add(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

// refused counts an error under the name of its code.
func (c counters) refused(err error) {
	var failure *result.Error
	if errors.As(err, &failure) {
		c.add(failure.Code.Describe().Name)
	}
}
