package standin

import (
	"context"
	"errors"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against waiters that are served out of order, and slots that get lost with a cancelled waiter.
func TestSlotsServeInOrder(t *testing.T) {
	t.Parallel()

	s := newSlots(1)
	require.NoError(t, s.acquire(t.Context(), false))

	served := make(chan int)
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()

		return s.waiting.Len()
	}

	ctx, cancel := context.WithCancelCause(t.Context())
	cancelled := make(chan error, 1)

	for i := range 4 {
		go func() {
			if i == 1 {
				cancelled <- s.acquire(ctx, false)
				return
			}

			// The last one resumes a statement and goes first.
			if err := s.acquire(t.Context(), i == 3); err == nil {
				served <- i
			}
		}()

		for waiting() <= i {
			// Each waiter must be in place before the next one comes.
		}
	}

	cancel(errCancelled)
	require.ErrorIs(t, <-cancelled, errCancelled)

	for _, want := range []int{3, 0, 2} {
		s.release()
		assert.Equal(t, want, <-served)
	}

	s.release()
	assert.Equal(t, 0, s.used)
	s.resize(2)
	require.NoError(t, s.acquire(t.Context(), false))
	require.NoError(t, s.acquire(t.Context(), false))
}

// Guards against a log whose torn tail is replayed, or whose intact part is lost.
func TestLogSurvivesTornTail(t *testing.T) {
	t.Parallel()

	path := filepath.Join(t.TempDir(), "log")

	w, err := openWAL(path)
	require.NoError(t, err)

	first, err := w.append([]byte("one"))
	require.NoError(t, err)

	second, err := w.append([]byte("two two"))
	require.NoError(t, err)
	w.publish()

	for size := int64(second - walBegin); size >= 0; size-- {
		require.NoError(t, w.file.Truncate(size))

		again, err := openWAL(path)
		require.NoError(t, err)

		want := walBegin
		if size >= int64(first-walBegin) {
			want = first
		}

		if size == int64(second-walBegin) {
			want = second
		}

		assert.Equal(t, want, again.end(), "size %d", size)
		require.NoError(t, again.file.Close())
		require.NoError(t, w.file.Truncate(size))
	}

	assert.True(t, w.holds(first, w.records[0].sum))
	assert.False(t, w.holds(first, w.records[1].sum))
	require.NoError(t, w.file.Close())
}

// Guards against messages of the database that reach callers without their SQLSTATE.
func TestDescribeErrorFindsEmbeddedState(t *testing.T) {
	t.Parallel()

	described := describeError(errors.New("SQL logic error: [55000] recovery is not in progress (1)"))
	assert.Equal(t, "55000", described.state)
	assert.Equal(t, "recovery is not in progress", described.message)
	assert.Equal(t, stateInternal, describeError(errors.New("anything else")).state)
}
