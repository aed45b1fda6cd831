package batch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/batch"
)

// Guards against a caller that gets the result of a round that began before its call and may therefore be stale.
func TestRoundsBeginAfterTheCall(t *testing.T) {
	t.Parallel()

	var clock atomic.Int64

	rounds := batch.New(func(context.Context) (int64, error) { return clock.Add(1), nil })

	var group sync.WaitGroup

	for range 50 {
		group.Go(func() {
			for range 200 {
				before := clock.Load()
				began, err := rounds.Do(context.Background())
				assert.NoError(t, err)
				assert.Greater(t, began, before)
			}
		})
	}

	group.Wait()
	assert.Less(t, clock.Load(), int64(50*200+1))
}

// Guards against a caller that waits for a hanging round after its context has ended.
func TestCallerReturnsWhenItsContextEnds(t *testing.T) {
	t.Parallel()

	rounds := batch.New(func(ctx context.Context) (int, error) {
		<-ctx.Done()

		return 0, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	_, err := rounds.Do(ctx)
	require.ErrorIs(t, err, context.Canceled)

	// The first round was cancelled, so that a later caller starts a new one.
	_, err = rounds.Do(ctx)
	require.ErrorIs(t, err, context.Canceled)
}
