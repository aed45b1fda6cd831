package retry

import "time"

// Backoff is the growth of the time between attempts.
type Backoff struct {
	// Initial is the limit of the wait before the first retry; it doubles up to Most.
	Initial time.Duration
	Max     time.Duration
}

// DefaultBackoff is the backoff of requests to backend servers.
//
//nolint:gochecknoglobals // Constant.
var DefaultBackoff = Backoff{Initial: 10 * time.Millisecond, Max: time.Second}

// Delay returns the wait after the given number of failed attempts, counted from 1 over all layers. The random number
// is uniform in [0, 1). It is false if the retry would not begin before the deadline; a zero deadline is none.
func (b Backoff) Delay(attempts int, random float64, now, deadline time.Time) (time.Duration, bool) {
	delay := time.Duration(random * float64(b.maxDelay(attempts)))

	return delay, deadline.IsZero() || now.Add(delay).Before(deadline)
}

// maxDelay returns the greatest wait after a number of attempts.
func (b Backoff) maxDelay(attempts int) time.Duration {
	limit := b.Initial

	for ; attempts > 1 && limit < b.Max; attempts-- {
		limit *= 2
	}

	return min(limit, b.Max)
}
