package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/settings"
	"almondgrade/internal/logging"
)

// blockedWriter is a writer that blocks until free is closed.
type blockedWriter struct {
	bytes.Buffer
	free chan struct{}
}

// Write implements io.Writer.
func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.free

	return w.Buffer.Write(line)
}

// Guards against requests that block because the log's reader is slow, and against lines that are dropped without a
// report.
func TestBoundedNeverBlocks(t *testing.T) {
	t.Parallel()

	const lines = 5000

	to := &blockedWriter{free: make(chan struct{})}
	bounded := logging.NewBounded(to)
	began := time.Now()

	for i := range lines {
		_, err := fmt.Fprintf(bounded, "line %d\n", i)
		require.NoError(t, err)
	}

	assert.Less(t, time.Since(began), 5*time.Second)
	close(to.free)
	bounded.Close()
	bounded.Close()

	_, err := fmt.Fprintln(bounded, "after the end")
	require.NoError(t, err)

	written := strings.Count(to.String(), "line ")
	assert.Positive(t, written)
	assert.Contains(t, to.String(), fmt.Sprintf(`"msg":"log lines dropped","count":%d`, lines-written))
}

// Guards against a flood of routine lines that displaces the warnings which tell its cause.
func TestBoundedKeepsRoomForWarnings(t *testing.T) {
	t.Parallel()

	for _, format := range []string{"json", "text"} {
		t.Run(format, func(t *testing.T) {
			t.Parallel()

			to := &blockedWriter{free: make(chan struct{})}
			bounded := logging.NewBounded(to)
			logger, _ := logging.New(settings.Log{Format: format}, bounded)

			for range 5000 {
				logger.Info("request refused")
			}

			logger.Warn("work cut off by the end of the process")
			logger.Error("process failed")
			close(to.free)
			bounded.Close()
			assert.Contains(t, to.String(), "work cut off")
			assert.Contains(t, to.String(), "process failed")
		})
	}
}
