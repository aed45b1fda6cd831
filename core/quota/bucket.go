package quota

import "time"

// Part is what one proxy may grant of a customer's limit: at most Capacity at once and Rate per second.
type Part struct {
	Rate, Capacity float64
}

// min returns the lower of two parts.
func (p Part) min(other Part) Part {
	return Part{Rate: min(p.Rate, other.Rate), Capacity: min(p.Capacity, other.Capacity)}
}

// Bucket is a token bucket. The zero value is empty and has no part.
type Bucket struct {
	part    Part
	content float64
	// at is the time up to which the content has been filled.
	at time.Time
}

// SetPart replaces the part. The content is kept as far as the new capacity permits.
func (b *Bucket) SetPart(now time.Time, part Part) {
	b.fill(now)
	b.part = part
	b.content = min(b.content, part.Capacity)
}

// Empty removes the content.
func (b *Bucket) Empty(now time.Time) {
	b.fill(now)
	b.content = 0
}

// Take removes up to n units and returns how many it has removed.
func (b *Bucket) Take(now time.Time, n int) int {
	b.fill(now)

	taken := max(0, min(n, int(b.content)))
	b.content -= float64(taken)

	return taken
}

// Wait returns the time until the bucket holds a unit, or maxWait if that is less.
func (b *Bucket) Wait() time.Duration {
	missing := 1 - b.content
	if missing <= 0 {
		return 0
	}

	if b.part.Capacity < 1 || missing/b.part.Rate > maxWait.Seconds() {
		return maxWait
	}

	return time.Duration(missing / b.part.Rate * float64(time.Second))
}

// maxWait bounds the time for which a refusal is remembered. A changed limit takes effect within it.
const maxWait = 2 * time.Second

func (b *Bucket) fill(now time.Time) {
	// Concurrent callers may have read the clock in another order than they call.
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.content = min(b.part.Capacity, b.content+b.part.Rate*elapsed.Seconds())
		b.at = now
	}
}
