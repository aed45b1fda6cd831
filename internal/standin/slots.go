package standin

import (
	"container/list"
	"context"
	"sync"
)

// slots limits how many statements run concurrently. Waiters are served in the order of arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiting list.List
}

func newSlots(limit int) *slots {
	return &slots{limit: limit}
}

// acquire waits for a slot. A caller that resumes a statement takes precedence over callers that start one.
func (s *slots) acquire(ctx context.Context, resume bool) error {
	s.mu.Lock()

	if s.used < s.limit && s.waiting.Len() == 0 {
		s.used++
		s.mu.Unlock()

		return nil
	}

	granted := make(chan struct{})

	var waiter *list.Element
	if resume {
		waiter = s.waiting.PushFront(granted)
	} else {
		waiter = s.waiting.PushBack(granted)
	}
	s.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	select {
	case <-granted:
		s.used--
		s.grantLocked()
	default:
		s.waiting.Remove(waiter)
	}

	return context.Cause(ctx)
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.used--
	s.grantLocked()
}

func (s *slots) resize(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.limit = limit
	s.grantLocked()
}

func (s *slots) grantLocked() {
	for s.used < s.limit && s.waiting.Len() > 0 {
		granted, _ := s.waiting.Remove(s.waiting.Front()).(chan struct{})
		close(granted)
		s.used++
	}
}

func (s *slots) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.limit
}
