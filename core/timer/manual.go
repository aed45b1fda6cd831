package timer

import (
	"sync"
	"time"
)

// Manual is a Service whose time changes only by Advance. Callbacks run in the goroutine that calls Advance, in the order
// in which they are due.
type Manual struct {
	mutex         sync.Mutex
	now           time.Time
	subscriptions map[*subscription]struct{}
}

type subscription struct {
	due      time.Time
	interval time.Duration
	callback func(now time.Time)
}

// NewManual returns a service that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subscriptions: make(map[*subscription]struct{})}
}

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.now
}

// Every implements Service.
func (m *Manual) Every(interval time.Duration, call func(now time.Time)) StopFunc {
	return m.subscribe(interval, interval, call)
}

// After implements Service.
func (m *Manual) After(delay time.Duration, call func(now time.Time)) StopFunc {
	return m.subscribe(delay, 0, call)
}

// Close implements Service.
func (m *Manual) Close() {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	clear(m.subscriptions)
}

// Advance advances the time and calls all callbacks that become due.
func (m *Manual) Advance(by time.Duration) {
	end := m.Now().Add(by)

	for {
		next, now := m.takeNextDue(end)
		if next == nil {
			return
		}

		next.callback(now)
	}
}

func (m *Manual) subscribe(delay, interval time.Duration, call func(now time.Time)) StopFunc {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	added := &subscription{due: m.now.Add(delay), interval: interval, callback: call}
	m.subscriptions[added] = struct{}{}

	return func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()

		delete(m.subscriptions, added)
	}
}

// takeNextDue returns the earliest subscription that is due by the end and advances the time to it. If there is none, it
// advances the time to the end.
func (m *Manual) takeNextDue(end time.Time) (*subscription, time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var earliest *subscription

	for candidate := range m.subscriptions {
		if !candidate.due.After(end) && (earliest == nil || candidate.due.Before(earliest.due)) {
			earliest = candidate
		}
	}

	if earliest == nil {
		m.now = end

		return nil, end
	}

	m.now = earliest.due
	if earliest.interval > 0 {
		earliest.due = earliest.due.Add(earliest.interval)
	} else {
		delete(m.subscriptions, earliest)
	}

	return earliest, m.now
}
