package retry

import "time"

// Backoff configures the wait before each retry.
type Backoff struct {
	// Initial is the upper limit of the wait before the first retry. The limit doubles with each attempt, up to Max.
	Initial time.Duration
	Max     time.Duration
}

// DefaultBackoff is the backoff for requests to backend servers.
//
//nolint:gochecknoglobals // Constant.
var DefaultBackoff = Backoff{Initial: 10 * time.Millisecond, Max: time.Second}

// Delay returns the wait after the given number of failed attempts, counted from 1 over all layers. The random number
// is uniform in [0, 1). The second result is false if the retry would not start before the deadline; a zero deadline
// means none.
func (b Backoff) Delay(attempts int, random float64, now, deadline time.Time) (time.Duration, bool) {
	delay := time.Duration(random * float64(b.maxDelay(attempts)))

	return delay, deadline.IsZero() || now.Add(delay).Before(deadline)
}

// maxDelay returns the upper limit of the wait after a number of attempts.
func (b Backoff) maxDelay(attempts int) time.Duration {
	limit := b.Initial

	for ; attempts > 1 && limit < b.Max; attempts-- {
		limit *= 2
	}

	return min(limit, b.Max)
}
