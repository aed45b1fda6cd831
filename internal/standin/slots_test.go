package standin

import (
	"context"
	"errors"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against waiters that are served out of order, and against slots that leak when a waiter is cancelled.
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

			// The last waiter resumes a statement and is served first.
			if err := s.acquire(t.Context(), i == 3); err == nil {
				served <- i
			}
		}()

		for waiting() <= i {
			// Each waiter must be queued before the next one starts.
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

// Guards against a torn record at the end of the log that is replayed, and against the loss of the intact records
// before it.
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

	for size := int64(second - walStart); size >= 0; size-- {
		require.NoError(t, w.file.Truncate(size))

		reopened, err := openWAL(path)
		require.NoError(t, err)

		want := walStart
		if size >= int64(first-walStart) {
			want = first
		}

		if size == int64(second-walStart) {
			want = second
		}

		assert.Equal(t, want, reopened.end(), "size %d", size)
		require.NoError(t, reopened.file.Close())
		require.NoError(t, w.file.Truncate(size))
	}

	assert.True(t, w.matches(first, w.records[0].checksum))
	assert.False(t, w.matches(first, w.records[1].checksum))
	require.NoError(t, w.file.Close())
}

// Guards against errors of the SQL functions that lose their SQLSTATE on the way through SQLite.
func TestDescribeErrorFindsEmbeddedState(t *testing.T) {
	t.Parallel()

	described := describeError(errors.New("SQL logic error: [55000] recovery is not in progress (1)"))
	assert.Equal(t, "55000", described.state)
	assert.Equal(t, "recovery is not in progress", described.message)
	assert.Equal(t, stateInternal, describeError(errors.New("anything else")).state)
}
