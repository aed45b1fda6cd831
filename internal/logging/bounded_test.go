package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/internal/logging"
)

// stuck is a writer that waits.
type stuck struct {
	bytes.Buffer
	free chan struct{}
}

// Write implements io.Writer.
func (s *stuck) Write(line []byte) (int, error) {
	<-s.free

	return s.Buffer.Write(line)
}

// Guards against requests that wait for the reader of the log, and against lines that are dropped without a word.
func TestBoundedNeverBlocks(t *testing.T) {
	t.Parallel()

	const lines = 5000

	to := &stuck{free: make(chan struct{})}
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
