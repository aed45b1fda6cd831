package freshness

import (
	"time"

	"almondgrade/core/position"
)

const (
	// pointSpacing is the minimum time between two points. Closer points would hardly lower a floor.
	pointSpacing = 25 * time.Millisecond
	// maxPoints is the number of points kept. With pointSpacing they cover more than the greatest maximum age in use,
	// 2.5 s.
	maxPoints = 160
)

// point records that the log up to a position covers every commit acknowledged before a time.
type point struct {
	at       time.Time
	position position.Position
}

// Tracker holds the recently observed positions of a primary. It is not safe for concurrent use.
type Tracker struct {
	points [maxPoints]point
	next   int
	count  int
	last   point
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{}
}

// Observe records that a position covers every commit acknowledged before the given time. That time must not be later
// than the sending of the request that returned the position.
func (t *Tracker) Observe(at time.Time, seen position.Position) {
	if seen == (position.Position{}) {
		return
	}

	tooClose := t.count > 0 && at.Sub(t.points[(t.next+maxPoints-1)%maxPoints].at) < pointSpacing
	if !tooClose {
		t.points[t.next] = point{at, seen}
		t.next = (t.next + 1) % maxPoints
		t.count = min(t.count+1, maxPoints)
	}

	if t.last.at.Before(at) {
		t.last = point{at, seen}
	}
}

// Floor returns the lowest known position that covers every commit acknowledged longer than maxAge before now.
func (t *Tracker) Floor(now time.Time, maxAge time.Duration) (floor position.Position, known bool) {
	since := now.Add(-maxAge)

	consider := func(p point) {
		if !p.at.Before(since) && (!known || p.position.Less(floor)) {
			floor, known = p.position, true
		}
	}

	for i := range t.count {
		consider(t.points[i])
	}

	if !t.last.at.IsZero() {
		consider(t.last)
	}

	return floor, known
}

// Latest returns the latest observation.
func (t *Tracker) Latest() (seen position.Position, at time.Time, known bool) {
	return t.last.position, t.last.at, !t.last.at.IsZero()
}

// Lag returns how long ago the primary is known to have passed a position, or zero if it isn't known to have passed it.
func (t *Tracker) Lag(now time.Time, held position.Position) time.Duration {
	var behind time.Duration

	for i := range t.count {
		if p := t.points[i]; held.Less(p.position) {
			behind = max(behind, now.Sub(p.at))
		}
	}

	return behind
}
