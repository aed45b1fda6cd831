package proxy

import (
	"math/rand/v2"
	"time"

	"almondgrade/core/retry"
)

// budgetFloor is the number of retries in each window that are granted where there is hardly any traffic.
const budgetFloor = 10

// newBudget returns the budget for the retries of a proxy.
func newBudget() *retry.Budget {
	return retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow).WithMinRetries(budgetFloor)
}

// backoff returns the time to wait before a retry, with full jitter. Attempts count from 1.
func backoff(attempt int) time.Duration {
	delay, _ := retry.DefaultBackoff.Delay(attempt, rand.Float64(), time.Time{}, time.Time{})

	return delay + 1
}
