package coordinator

import (
	"context"
	"sync"
)

// Coalescer shares the runs of a function among concurrent callers. A caller gets the result of a run that began after
// its call. Callers that arrive while the maximum number of runs is in progress share the next run.
type Coalescer[T any] struct {
	context    context.Context //nolint:containedctx // Bounds the runs, which outlive their callers.
	run        func(ctx context.Context) (T, error)
	maxRunning int

	mutex   sync.Mutex
	running int
	next    *sharedRun[T]
}

type sharedRun[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// NewCoalescer returns a coalescer for a function, of which at most maxRunning runs are in progress at once. The context
// ends all runs.
func NewCoalescer[T any](ctx context.Context, maxRunning int, run func(ctx context.Context) (T, error)) *Coalescer[T] {
	return &Coalescer[T]{context: ctx, run: run, maxRunning: maxRunning}
}

// Do returns the result of a run that begins after the call.
func (c *Coalescer[T]) Do(ctx context.Context) (T, error) {
	joined := c.joinNext()

	select {
	case <-joined.done:
		return joined.value, joined.err
	case <-ctx.Done():
		var none T

		return none, ctx.Err()
	}
}

// Idle reports whether no run is in progress.
func (c *Coalescer[T]) Idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.running == 0
}

func (c *Coalescer[T]) joinNext() *sharedRun[T] {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.next == nil {
		c.next = &sharedRun[T]{done: make(chan struct{})}
	}

	joined := c.next
	if c.running < c.maxRunning {
		c.startNext()
	}

	return joined
}

// startNext starts the next run. The mutex is held.
func (c *Coalescer[T]) startNext() {
	started := c.next
	c.next = nil
	c.running++

	go func() {
		started.value, started.err = c.run(c.context)

		c.mutex.Lock()
		defer c.mutex.Unlock()

		close(started.done)

		c.running--

		if c.next != nil {
			c.startNext()
		}
	}()
}
