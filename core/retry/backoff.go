package retry

import "time"

// Backoff is the growth of the time between attempts.
type Backoff struct {
	// First is the limit of the wait before the first retry; it doubles up to Most.
	First time.Duration
	Most  time.Duration
}

// DefaultBackoff is the backoff of requests to backend servers.
//
//nolint:gochecknoglobals // Constant.
var DefaultBackoff = Backoff{First: 10 * time.Millisecond, Most: time.Second}

// Delay returns the wait after the given number of failed attempts, counted from 1 over all layers. The random number
// is uniform in [0, 1). It is false if the retry would not begin before the deadline; a zero deadline is none.
func (b Backoff) Delay(attempts int, random float64, now, deadline time.Time) (time.Duration, bool) {
	delay := time.Duration(random * float64(b.limit(attempts)))

	return delay, deadline.IsZero() || now.Add(delay).Before(deadline)
}

// limit returns the greatest wait after a number of attempts.
func (b Backoff) limit(attempts int) time.Duration {
	limit := b.First

	for ; attempts > 1 && limit < b.Most; attempts-- {
		limit *= 2
	}

	return min(limit, b.Most)
}
