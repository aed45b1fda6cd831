package retry

import (
	"sync"
	"time"
)

const (
	// DefaultBudgetShare is the share of the requests that may be retried.
	DefaultBudgetShare = 0.1
	// DefaultBudgetWindow is the length of the sliding window.
	DefaultBudgetWindow = 10 * time.Second
	// windowParts is the number of parts of the window that are counted separately.
	windowParts = 20
)

// Budget grants retries up to a share of the requests in a sliding window. It is safe for concurrent use.
type Budget struct {
	share      float64
	partWidth  time.Duration
	minRetries int

	mutex    sync.Mutex
	counts   [windowParts]partCounts
	origin   time.Time
	requests int
	retries  int
}

// partCounts are the counts of one part of the window.
type partCounts struct {
	number   int64
	requests int
	retries  int
}

// NewBudget returns a budget that grants a share of the requests in a sliding window.
func NewBudget(share float64, window time.Duration) *Budget {
	return &Budget{share: share, partWidth: window / windowParts}
}

// RecordRequest counts a request. It is called once for each request, not for its retries.
func (b *Budget) RecordRequest(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.advanceTo(now).requests++
	b.requests++
}

// WithMinRetries sets a number of retries that the budget grants in each window even if there are too few requests, and
// returns the budget. It must be called before the budget is used.
func (b *Budget) WithMinRetries(retries int) *Budget {
	b.minRetries = retries

	return b
}

// TakeRetry reports whether one more retry may be made, and counts it if so.
func (b *Budget) TakeRetry(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	current := b.advanceTo(now)
	if float64(b.retries+1) > max(float64(b.minRetries), b.share*float64(b.requests)) {
		return false
	}

	current.retries++
	b.retries++

	return true
}

// advanceTo returns the part of the window for a time and removes the expired parts from the totals. The mutex is held.
func (b *Budget) advanceTo(now time.Time) *partCounts {
	if b.origin.IsZero() {
		b.origin = now
	}

	// Times of concurrent callers may arrive slightly out of order; the window never moves backwards.
	number := max(int64(now.Sub(b.origin)/b.partWidth), b.newestPart())

	for i := range b.counts {
		if old := &b.counts[i]; old.number <= number-windowParts {
			b.requests -= old.requests
			b.retries -= old.retries
			*old = partCounts{}
		}
	}

	current := &b.counts[number%windowParts]
	current.number = number

	return current
}

func (b *Budget) newestPart() int64 {
	var newest int64

	for i := range b.counts {
		newest = max(newest, b.counts[i].number)
	}

	return newest
}
