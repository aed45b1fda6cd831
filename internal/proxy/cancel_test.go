package proxy

import (
	"context"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondgrade/io/backend"
	"almondgrade/io/wire"
)

// Guards against a cancel request for a statement that has ended, which cancels the next statement of the session on the same
// connection. The context of the first statement ends together with the statement.
func TestLateCancelSparesTheNextStatement(t *testing.T) {
	const (
		rounds = 10_000
		yields = 10
	)

	s := &session{terminated: make(chan struct{})}
	late := 0

	for range rounds {
		conn := &backend.Conn{TxStatus: statusIdle, Reader: wire.NewReader(strings.NewReader(""), 0)}

		ctx, cancel := context.WithCancel(context.Background())
		end := s.cancelOnDone(ctx, conn)

		cancel()
		end()

		if !conn.Reusable() {
			continue // The cancel request was sent before the end of the statement.
		}

		late++
		end = s.cancelOnDone(context.Background(), conn)

		for range yields {
			runtime.Gosched()
		}

		require.True(t, conn.Reusable(), "the next statement was cancelled, after %d rounds with a late cancel", late)
		end()
	}

	require.Positive(t, late)
	t.Logf("%d of %d cancels were late", late, rounds)
}
