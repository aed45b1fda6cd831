package coordinator_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/internal/coordinator"
)

// TestRunsBeginAfterTheCall guards against a caller that gets the result of a run that had begun before its call, and
// against callers that each cause a run of their own.
func TestRunsBeginAfterTheCall(t *testing.T) {
	t.Parallel()

	const callers = 8

	var clock, runs atomic.Int64

	coalescer := coordinator.NewCoalescer(t.Context(), 2, func(context.Context) (int64, error) {
		runs.Add(1)

		return clock.Add(1), nil
	})

	var group sync.WaitGroup

	for range callers {
		group.Go(func() {
			for range 500 {
				called := clock.Add(1)

				began, err := coalescer.Do(t.Context())
				if err != nil || began <= called {
					t.Errorf("called at %d, run began at %d, error %v", called, began, err)

					return
				}
			}
		})
	}

	group.Wait()
	assert.Positive(t, runs.Load())
}

// TestRunsAreShared guards against one run for each caller, against a blocked run that also blocks callers whose context
// has ended, and against waiting callers that get the result of a run that had begun before their calls.
func TestRunsAreShared(t *testing.T) {
	t.Parallel()

	var runs atomic.Int64

	begun, release := make(chan struct{}), make(chan struct{})
	coalescer := coordinator.NewCoalescer(t.Context(), 1, func(context.Context) (int64, error) {
		if number := runs.Add(1); number > 1 {
			return number, nil
		}

		close(begun)
		<-release

		return 1, nil
	})

	first := make(chan int64, 1)

	go func() {
		number, _ := coalescer.Do(context.Background())
		first <- number
	}()

	<-begun

	ended, cancel := context.WithCancel(context.Background())
	cancel()

	_, err := coalescer.Do(ended)
	require.ErrorIs(t, err, context.Canceled)
	assert.False(t, coalescer.Idle())

	others := make(chan int64, 20)

	for range 20 {
		go func() {
			number, _ := coalescer.Do(context.Background())
			others <- number
		}()
	}

	close(release)
	assert.Equal(t, int64(1), <-first)

	for range 20 {
		assert.Greater(t, <-others, int64(1))
	}
}
