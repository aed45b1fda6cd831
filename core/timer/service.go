package timer

import (
	"sync"
	"time"
)

// StopFunc ends a subscription. It doesn't interrupt a running callback. It may be called more than once.
type StopFunc func()

// Service provides the time and calls subscribed callbacks. Implementations are safe for concurrent use.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Every calls a function at each interval, one call at a time. Intervals that end during a call are skipped.
	Every(interval time.Duration, call func(now time.Time)) StopFunc
	// After calls a function once after a delay.
	After(delay time.Duration, call func(now time.Time)) StopFunc
	// Close ends all subscriptions.
	Close()
}

// Clock is the Service that uses the process's monotonic clock.
type Clock struct {
	done chan struct{}
	once sync.Once
}

// New returns a Clock.
func New() *Clock {
	return &Clock{done: make(chan struct{})}
}

// Now implements Service.
func (c *Clock) Now() time.Time {
	return time.Now()
}

// Every implements Service.
func (c *Clock) Every(interval time.Duration, call func(now time.Time)) StopFunc {
	ticker := time.NewTicker(interval)
	stopped := make(chan struct{})

	go func() {
		defer ticker.Stop()

		for {
			select {
			case <-c.done:
				return
			case <-stopped:
				return
			case now := <-ticker.C:
				call(now)
			}
		}
	}()

	return sync.OnceFunc(func() { close(stopped) })
}

// After implements Service.
func (c *Clock) After(delay time.Duration, call func(now time.Time)) StopFunc {
	timer := time.AfterFunc(delay, func() {
		select {
		case <-c.done:
		default:
			call(time.Now())
		}
	})

	return func() { timer.Stop() }
}

// Close implements Service.
func (c *Clock) Close() {
	c.once.Do(func() { close(c.done) })
}
