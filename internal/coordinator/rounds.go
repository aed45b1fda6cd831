package coordinator

import (
	"context"
	"sync"
)

// Rounds shares the runs of a function among concurrent callers. A caller gets the result of a run that began after
// its call. Callers that arrive while all permitted runs are going on share the next one.
type Rounds[T any] struct {
	context context.Context //nolint:containedctx // Bounds the runs, which outlive their callers.
	run     func(ctx context.Context) (T, error)
	width   int

	mutex   sync.Mutex
	running int
	next    *round[T]
}

type round[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// NewRounds returns rounds of a function, at most width at once. The context ends all runs.
func NewRounds[T any](ctx context.Context, width int, run func(ctx context.Context) (T, error)) *Rounds[T] {
	return &Rounds[T]{context: ctx, run: run, width: width}
}

// Do returns the result of a run that begins after the call.
func (r *Rounds[T]) Do(ctx context.Context) (T, error) {
	joined := r.join()

	select {
	case <-joined.done:
		return joined.value, joined.err
	case <-ctx.Done():
		var none T

		return none, ctx.Err()
	}
}

// Idle reports whether no run is going on.
func (r *Rounds[T]) Idle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.running == 0
}

func (r *Rounds[T]) join() *round[T] {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.next == nil {
		r.next = &round[T]{done: make(chan struct{})}
	}

	joined := r.next
	if r.running < r.width {
		r.start()
	}

	return joined
}

// start begins the next round. The mutex is held.
func (r *Rounds[T]) start() {
	started := r.next
	r.next = nil
	r.running++

	go func() {
		started.value, started.err = r.run(r.context)

		r.mutex.Lock()
		defer r.mutex.Unlock()

		close(started.done)

		r.running--

		if r.next != nil {
			r.start()
		}
	}()
}
