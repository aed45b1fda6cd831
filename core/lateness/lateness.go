package lateness

import (
	"slices"
	"sync"
	"time"
)

const (
	// retention is the age up to which delays are kept. It exceeds the longest time over which a caller judges.
	retention = 15 * time.Second
	// recent is the period over which Extend and Worst look back. It covers several rounds of probes, and a process that
	// has time again is back to its usual limits soon.
	recent = 2 * time.Second
	// maxStalls bounds the stored delays. With the shortest interval in use, 20 ms, at most retention/40 ms fit.
	maxStalls = 512
	// missShare is the part of a time limit for which the process must have waited while it was running. The rest allows
	// for delays below one interval, which the Meter does not see.
	missShare = 0.75
)

// stall is a period in which the process did not run, or had work that was due and did not begin.
type stall struct {
	from time.Time
	to   time.Time
}

// Meter measures the delays of one process. It is safe for concurrent use. All times must be of one clock.
type Meter struct {
	interval time.Duration

	mutex sync.Mutex
	// lastTick is the time of the last Tick, or zero before the first one.
	lastTick time.Time
	// stalls are in ascending order and don't overlap.
	stalls []stall
}

// New returns a Meter whose Tick is called once per interval.
func New(interval time.Duration) *Meter {
	return &Meter{interval: interval}
}

// Interval returns the interval at which Tick is to be called.
func (m *Meter) Interval() time.Duration {
	return m.interval
}

// Tick records that the periodic timer has run. A gap of more than two intervals is a delay; below that, the delay can't
// be distinguished from the usual variation of timers.
func (m *Meter) Tick(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if current, late := m.currentStall(now); late {
		m.add(current)
	}

	if now.After(m.lastTick) {
		m.lastTick = now
	}
}

// Observe records that work that was due at one time began at a later one, for example a heartbeat that was handled
// late or a query that waited to be sent.
func (m *Meter) Observe(due, began time.Time) {
	if began.Sub(due) <= m.interval {
		return
	}

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.add(stall{due, began})
}

// LateDuring returns how much of a period, which ends now, the process was late.
func (m *Meter) LateDuring(from, now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.lateDuring(from, now)
}

// Missed reports whether an answer to a query that began at a time is missing: the process has waited for the limit
// while it was running. If it returns false, the query says nothing about the server.
func (m *Meter) Missed(began, now time.Time, limit time.Duration) bool {
	waited := now.Sub(began) - m.LateDuring(began, now)

	return waited >= time.Duration(missShare*float64(limit))
}

// Extend returns a time limit that is longer in proportion to the time for which the process was late recently, up to a
// maximum.
func (m *Meter) Extend(now time.Time, limit, maximum time.Duration) time.Duration {
	running := recent - m.LateDuring(now.Add(-recent), now)
	if running <= 0 {
		return maximum
	}

	return min(maximum, time.Duration(float64(limit)*float64(recent)/float64(running)))
}

// Worst returns the longest delay that lasted into the recent past.
func (m *Meter) Worst(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	worst := time.Duration(0)

	for _, one := range m.stalls {
		if now.Sub(one.to) <= recent {
			worst = max(worst, one.to.Sub(one.from))
		}
	}

	if current, late := m.currentStall(now); late {
		worst = max(worst, current.to.Sub(current.from))
	}

	return worst
}

// currentStall returns the delay of the next Tick, and whether it is late at all.
func (m *Meter) currentStall(now time.Time) (stall, bool) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) <= 2*m.interval {
		return stall{}, false
	}

	return stall{m.lastTick.Add(m.interval), now}, true
}

func (m *Meter) lateDuring(from, now time.Time) time.Duration {
	late := time.Duration(0)

	for _, one := range m.stalls {
		late += overlap(one, from, now)
	}

	current, overdue := m.currentStall(now)
	if !overdue {
		return late
	}

	// Work that was observed late may cover a part of the current delay.
	late += overlap(current, from, now)

	for _, one := range m.stalls {
		late -= overlap(one, laterOf(from, current.from), now)
	}

	return late
}

// add adds a delay and merges it with those that it overlaps.
func (m *Meter) add(added stall) {
	first, _ := slices.BinarySearchFunc(m.stalls, added.from, func(one stall, from time.Time) int { return one.to.Compare(from) })
	last := first

	for ; last < len(m.stalls) && !m.stalls[last].from.After(added.to); last++ {
		if m.stalls[last].from.Before(added.from) {
			added.from = m.stalls[last].from
		}

		added.to = laterOf(added.to, m.stalls[last].to)
	}

	m.stalls = slices.Replace(m.stalls, first, last, added)

	outdated := max(0, len(m.stalls)-maxStalls)
	for outdated < len(m.stalls) && added.to.Sub(m.stalls[outdated].to) > retention {
		outdated++
	}

	m.stalls = slices.Delete(m.stalls, 0, outdated)
}

// overlap returns how much of a delay lies in a period.
func overlap(one stall, from, to time.Time) time.Duration {
	if one.to.Before(to) {
		to = one.to
	}

	return max(0, to.Sub(laterOf(from, one.from)))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
