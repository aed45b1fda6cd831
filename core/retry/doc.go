// Package retry limits repeated attempts, so that retries do not overload a failing backend server.
//
// A Budget grants retries up to a share of the requests in a sliding window. Every request and every retry has to be
// counted, so that in any period the attempts stay within 1 + share times the requests, even if every attempt fails. By
// default there is no allowance for low traffic: without requests there are no retries.
//
// A Backoff determines how long to wait before a retry: a random time up to a limit that doubles with each attempt
// (full jitter), and never past the deadline of the request. The number of attempts is passed along with a request, so
// that several layers of retries do not multiply.
//
// The package reads no clock and no source of randomness; both are arguments.
//
// # Usage
//
//	budget := retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow)
//	budget.RecordRequest(now)
//	for attempt := 1; ; attempt++ {
//		err := try()
//		if err == nil || !safe(err) || !budget.TakeRetry(now) {
//			return err
//		}
//		delay, inTime := retry.DefaultBackoff.Delay(attempt, rand.Float64(), now, deadline)
//		if !inTime {
//			return err
//		}
//		sleep(delay)
//	}
package retry
