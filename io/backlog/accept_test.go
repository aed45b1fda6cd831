package backlog_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/backlog"
)

// Guards against queued connections that are reset by the close of a listener, and against a wait for further ones.
func TestAcceptTakesQueuedConnections(t *testing.T) {
	t.Parallel()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	const callers = 3

	for range callers {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
		require.NoError(t, err)

		defer func() { _ = conn.Close() }()
	}

	for range callers {
		conn, queued := backlog.Accept(listener)
		require.True(t, queued)

		_, err := conn.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}

	_, queued := backlog.Accept(listener)
	assert.False(t, queued, "none is left")
	require.NoError(t, listener.Close())

	_, queued = backlog.Accept(listener)
	assert.False(t, queued, "the listener is closed")
}
