package proxy

import (
	"math/rand/v2"
	"time"

	"almondgrade/core/retry"
)

// minRetriesPerWindow is the number of retries that each window allows even with hardly any traffic.
const minRetriesPerWindow = 10

// newRetryBudget returns the retry budget of a proxy.
func newRetryBudget() *retry.Budget {
	return retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow).WithMinRetries(minRetriesPerWindow)
}

// backoff returns the delay before a retry, with full jitter. Attempts count from 1.
func backoff(attempt int) time.Duration {
	delay, _ := retry.DefaultBackoff.Delay(attempt, rand.Float64(), time.Time{}, time.Time{})

	return delay + 1
}
