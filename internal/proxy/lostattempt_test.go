package proxy_test

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutter is a network path to a backend server that loses the connection after the next ParseComplete once it is armed.
type cutter struct {
	listener net.Listener
	server   netip.AddrPort
	armed    atomic.Bool
}

func newCutter(t testing.TB, server netip.AddrPort) *cutter {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	p := &cutter{listener: listener, server: server}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go p.serve(conn)
		}
	}()

	return p
}

func (p *cutter) serve(client net.Conn) {
	defer func() { _ = client.Close() }()

	server, err := net.Dial("tcp", p.server.String())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()

	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()

	for {
		message, err := readMessage(server)
		if err != nil {
			return
		}

		if _, err := client.Write(message); err != nil || message[0] == '1' && p.armed.CompareAndSwap(true, false) {
			return
		}
	}
}

// readMessage reads one message of the PostgreSQL protocol with its header.
func readMessage(from io.Reader) ([]byte, error) {
	const headerBytes = 5

	message := make([]byte, headerBytes)
	if _, err := io.ReadFull(from, message); err != nil {
		return nil, err
	}

	message = append(message, make([]byte, binary.BigEndian.Uint32(message[1:])-4)...)
	_, err := io.ReadFull(from, message[headerBytes:])

	return message, err
}

// Guards against a read that fails with "prepared statement already exists" in its second attempt, after the connection
// of the first one was lost behind ParseComplete.
func TestPreparedStatementOfALostAttemptIsPreparedAgain(t *testing.T) {
	var paths []*cutter

	c := newCluster(t, options{relay: func(server netip.AddrPort) netip.AddrPort {
		paths = append(paths, newCutter(t, server))

		return netip.MustParseAddrPort(paths[0].listener.Addr().String())
	}})
	conn := c.connect("p1", "")

	paths[0].armed.Store(true)

	_, err := conn.Prepare(testContext(t), "s", "SELECT 'a'")
	require.NoError(t, err)
	require.False(t, paths[0].armed.Load())
	assert.Equal(t, "a", queryValue[string](t, conn, "s"))
}
