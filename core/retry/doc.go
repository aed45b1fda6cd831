// Package retry limits repeated attempts, so that a failing backend server is not buried under them.
//
// A Budget grants retries up to a share of the requests in a sliding window. Every request and every retry has to be
// noted, so that attempts stay within 1 + share times the requests over any time, even if every attempt fails. There
// is no allowance for little traffic: without requests there are no retries.
//
// A Backoff tells how long to wait before a retry: a random time up to a limit that doubles with each attempt (full
// jitter), and never past the deadline of the request. The number of attempts travels with a request, so that layers
// of retries don't multiply.
//
// The package reads no clock and no source of randomness; both are arguments.
//
// # Usage
//
//	budget := retry.NewBudget(retry.DefaultShare, retry.DefaultWindow)
//	budget.Request(now)
//	for attempt := 1; ; attempt++ {
//		err := try()
//		if err == nil || !safe(err) || !budget.Retry(now) {
//			return err
//		}
//		delay, inTime := retry.DefaultBackoff.Delay(attempt, rand.Float64(), now, deadline)
//		if !inTime {
//			return err
//		}
//		sleep(delay)
//	}
package retry
