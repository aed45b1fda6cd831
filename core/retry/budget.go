package retry

import (
	"sync"
	"time"
)

const (
	// DefaultShare is the part of the requests that may be retried.
	DefaultShare = 0.1
	// DefaultWindow is the length of the sliding window.
	DefaultWindow = 10 * time.Second
	// parts is the number of parts of the window that are counted separately.
	parts = 20
)

// Budget grants retries up to a share of the requests in a sliding window. It is safe for concurrent use.
type Budget struct {
	share float64
	width time.Duration
	floor int

	mutex    sync.Mutex
	counts   [parts]count
	origin   time.Time
	requests int
	retries  int
}

// count is what happened in one part of the window.
type count struct {
	number   int64
	requests int
	retries  int
}

// NewBudget returns a budget for a share of the requests in a window.
func NewBudget(share float64, window time.Duration) *Budget {
	return &Budget{share: share, width: window / parts}
}

// Request notes a request. It is called once for each request, not for its retries.
func (b *Budget) Request(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.at(now).requests++
	b.requests++
}

// WithFloor returns a budget that grants a number of retries in each window even where there is hardly any traffic to
// take a share of. It is called before the budget is used.
func (b *Budget) WithFloor(retries int) *Budget {
	b.floor = retries

	return b
}

// Retry reports whether one more retry may be made, and notes it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	present := b.at(now)
	if float64(b.retries+1) > max(float64(b.floor), b.share*float64(b.requests)) {
		return false
	}

	present.retries++
	b.retries++

	return true
}

// at returns the part of the window for a time and forgets the parts that are over. The mutex is held.
func (b *Budget) at(now time.Time) *count {
	if b.origin.IsZero() {
		b.origin = now
	}

	// Times of concurrent callers may arrive slightly out of order; the window never moves back.
	number := max(int64(now.Sub(b.origin)/b.width), b.newest())

	for i := range b.counts {
		if old := &b.counts[i]; old.number <= number-parts {
			b.requests -= old.requests
			b.retries -= old.retries
			*old = count{}
		}
	}

	present := &b.counts[number%parts]
	present.number = number

	return present
}

func (b *Budget) newest() int64 {
	var newest int64

	for i := range b.counts {
		newest = max(newest, b.counts[i].number)
	}

	return newest
}
