package proxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// budgetWindow and budgetShare bound retries to a tenth of the requests in a window.
	budgetWindow = 10 * time.Second
	budgetShare  = 10
	budgetSlices = 10
	// budgetFloor allows a few retries where there is hardly any traffic to take a tenth of.
	budgetFloor = 10

	backoffFirst = 10 * time.Millisecond
	backoffLast  = time.Second
)

// budget limits retries to a share of the requests in a sliding window. It is safe for concurrent use.
type budget struct {
	mu       sync.Mutex
	slices   [budgetSlices]budgetSlice
	requests int
	retries  int
}

type budgetSlice struct {
	number   int64
	requests int
	retries  int
}

// request notes one request.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.slice(now).requests++
	b.requests++
}

// retry reports whether one more retry is allowed, and notes it if so.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	slice := b.slice(now)
	if b.retries >= max(budgetFloor, b.requests/budgetShare) {
		return false
	}

	slice.retries++
	b.retries++

	return true
}

// slice returns the part of the window that a time falls into and empties the parts that are over.
func (b *budget) slice(now time.Time) *budgetSlice {
	number := now.UnixNano() / int64(budgetWindow/budgetSlices)

	for i := range b.slices {
		if slice := &b.slices[i]; slice.number <= number-budgetSlices {
			b.requests -= slice.requests
			b.retries -= slice.retries
			*slice = budgetSlice{number: slice.number}
		}
	}

	slice := &b.slices[number%budgetSlices]
	slice.number = number

	return slice
}

// backoff returns the time to wait before a retry, with full jitter. Attempts count from 1.
func backoff(attempt int) time.Duration {
	limit := backoffLast
	if attempt < 8 {
		limit = min(limit, backoffFirst<<(attempt-1))
	}

	return time.Duration(rand.Int64N(int64(limit))) + 1
}
