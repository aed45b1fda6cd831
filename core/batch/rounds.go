package batch

import (
	"context"
	"sync"
)

// Rounds runs a function in rounds, one at a time. It is safe for concurrent use.
type Rounds[T any] struct {
	run func(context.Context) (T, error)

	mutex     sync.Mutex
	running   bool
	nextRound *round[T]
}

type round[T any] struct {
	done    chan struct{}
	value   T
	err     error
	waiters int
	ctx     context.Context //nolint:containedctx // Cancels the round when its last caller has left.
	cancel  context.CancelFunc
}

// New returns a Rounds that runs the given function. The function must return soon after its context ends.
func New[T any](run func(context.Context) (T, error)) *Rounds[T] {
	return &Rounds[T]{run: run}
}

// Do returns the result of a round that begins after the call. If the caller's context ends first, Do returns its cause;
// the round continues for the other callers and is cancelled when none is left.
func (r *Rounds[T]) Do(ctx context.Context) (T, error) {
	joined := r.joinNextRound()
	defer r.leaveRound(joined)

	select {
	case <-joined.done:
		return joined.value, joined.err
	case <-ctx.Done():
		var none T

		return none, context.Cause(ctx)
	}
}

func (r *Rounds[T]) joinNextRound() *round[T] {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.nextRound == nil {
		ctx, cancel := context.WithCancel(context.Background()) //nolint:gosec // runRounds and leaveRound call it.
		r.nextRound = &round[T]{done: make(chan struct{}), ctx: ctx, cancel: cancel}
	}

	joined := r.nextRound
	joined.waiters++

	if !r.running {
		r.running = true

		go r.runRounds()
	}

	return joined
}

func (r *Rounds[T]) leaveRound(joined *round[T]) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	joined.waiters--
	if joined.waiters == 0 {
		joined.cancel()

		if r.nextRound == joined {
			r.nextRound = nil
		}
	}
}

// runRounds runs rounds until no caller waits for one.
func (r *Rounds[T]) runRounds() {
	for {
		r.mutex.Lock()

		current := r.nextRound
		r.nextRound = nil
		r.running = current != nil
		r.mutex.Unlock()

		if current == nil {
			return
		}

		current.value, current.err = r.run(current.ctx)
		current.cancel()
		close(current.done)
	}
}
