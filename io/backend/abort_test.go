package backend

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/wire"
)

// answeringConn returns data at each read, after it has called the function.
type answeringConn struct {
	net.Conn

	beforeRead func()
	data       []byte
}

// Read implements net.Conn.
func (c *answeringConn) Read(buffer []byte) (int, error) {
	c.beforeRead()

	return copy(buffer, c.data), nil
}

// SetDeadline implements net.Conn.
func (*answeringConn) SetDeadline(time.Time) error { return nil }

// Guards against an answer to a cancel request that is relayed to a caller after Abort. The answer arrives while the goroutine
// that reads has not noticed the abort yet, which the deadline alone does not prevent.
func TestAbortedReadReturnsNoData(t *testing.T) {
	var conn *Conn

	arriving := &answeringConn{beforeRead: func() { conn.Abort() }, data: []byte("Z\x00\x00\x00\x05I")}
	monitor := &monitoredConn{Conn: arriving}
	conn = &Conn{net: arriving, monitor: monitor, Reader: wire.NewReader(monitor, 0)}

	require.ErrorIs(t, conn.WaitForHeader(), ErrAborted)
	assert.Zero(t, conn.Buffered())
	assert.False(t, conn.Reusable())
	require.ErrorIs(t, conn.SetReadDeadline(time.Now()), ErrAborted)
}
