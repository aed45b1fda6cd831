package managedpeer_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/managedpeer"
)

type message struct {
	Text string `cbor:"1,keyasint"`
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

func newClient(t *testing.T) *managedpeer.Client {
	t.Helper()

	peers := managedpeer.NewClient(slog.New(slog.DiscardHandler))
	t.Cleanup(peers.Close)

	return peers
}

// Guards against a reply that is passed to the wrong call, and against calls that block each other.
func TestConcurrentCalls(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	release := make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		if request.Text == "call 0 " {
			<-release
		}

		return &message{request.Text + "answered"}
	})

	defer server.Close()

	peers := newClient(t)

	var calls sync.WaitGroup

	for i := range 50 {
		calls.Go(func() {
			text := fmt.Sprintf("call %d ", i)
			reply := new(message)

			if assert.NoError(t, peers.Call(t.Context(), address, &message{text}, reply)) {
				assert.Equal(t, text+"answered", reply.Text)
			}

			if i == 49 {
				close(release)
			}
		})
	}

	calls.Wait()

	large := &message{strings.Repeat("x", 1<<20)}
	reply := new(message)
	require.NoError(t, peers.Call(t.Context(), address, large, reply))
	assert.Len(t, reply.Text, 1<<20+len("answered"))
}

// Guards against ErrNotSent for a request that the proxy may have run, and against a client that doesn't reconnect to a
// proxy which has restarted.
func TestErrNotSent(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	require.NoError(t, listener.Close())

	peers := newClient(t)
	require.ErrorIs(t, peers.Call(t.Context(), address, &message{}, new(message)), managedpeer.ErrNotSent)

	// For 100 ms after a failure to connect, no new attempt is made.
	time.Sleep(150 * time.Millisecond)

	// This listener receives a request and closes the connection without a reply.
	listener, err := net.Listen("tcp", address.String())
	require.NoError(t, err)

	ended := make(chan struct{})

	go func() {
		defer close(ended)

		conn, err := listener.Accept()
		if assert.NoError(t, err) {
			var length [4]byte

			_, err := io.ReadFull(conn, length[:])
			assert.NoError(t, err)
			_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(length[:])))
			assert.NoError(t, err)
			assert.NoError(t, conn.Close())
		}
	}()

	err = peers.Call(t.Context(), address, &message{"x"}, new(message))
	require.Error(t, err)
	require.NotErrorIs(t, err, managedpeer.ErrNotSent)
	<-ended

	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message { return request })
	defer server.Close()

	require.NoError(t, peers.Call(t.Context(), address, &message{"x"}, new(message)))
}

// Guards against calls to a VM without power that wait for one failed attempt to connect after the other.
func TestUnreachableProxy(t *testing.T) {
	t.Parallel()

	// This address is reserved for documentation, so nothing answers; some networks refuse it at once.
	address := netip.MustParseAddrPort("192.0.2.1:9")
	peers := newClient(t)

	var calls sync.WaitGroup

	began := time.Now()

	for range 20 {
		calls.Go(func() {
			assert.ErrorIs(t, peers.Call(t.Context(), address, &message{}, new(message)), managedpeer.ErrNotSent)
		})
	}

	calls.Wait()
	assert.Less(t, time.Since(began), 2*time.Second, "20 attempts of 0.25 s")
}

// Guards against new calls over a connection that no longer answers, and against a late call that ends the other calls
// in progress on its connection.
func TestSilentConnection(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	release := make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		if request.Text != "quick" {
			<-release
		}

		return request
	})

	defer server.Close()

	peers := newClient(t)
	slow := make(chan error, 1)

	go func() { slow <- peers.Call(t.Context(), address, &message{"slow"}, new(message)) }()

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	err := peers.Call(ctx, address, &message{"late"}, new(message))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, managedpeer.ErrNotSent)
	require.NoError(t, peers.Call(t.Context(), address, &message{"quick"}, new(message)))

	close(release)
	assert.NoError(t, <-slow)
}

// Guards against a request that is too large for a frame and ends the calls of others in progress on the connection.
func TestRequestThatIsTooLargeEndsNoOtherCall(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		close(started)
		<-release

		return request
	})

	defer server.Close()

	peers, other := newClient(t), make(chan error, 1)

	go func() { other <- peers.Call(t.Context(), address, &message{"other"}, new(message)) }()

	<-started

	err := peers.Call(t.Context(), address, &message{strings.Repeat("x", 2<<20)}, new(message))
	assert.ErrorIs(t, err, managedpeer.ErrNotSent)
	close(release)
	require.NoError(t, <-other)
}

// Guards against a call that waits until its deadline because the reply is too large for a frame.
func TestReplyThatIsTooLargeIsReportedAtOnce(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(context.Context, *message) *message {
		return &message{strings.Repeat("x", 2<<20)}
	})

	defer server.Close()

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	err := newClient(t).Call(ctx, address, &message{"x"}, new(message))
	require.Error(t, err)
	require.NotErrorIs(t, err, managedpeer.ErrNotSent, "it has run")
	require.NotErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against malformed frames that stop the server. Only the connection may end.
func TestMalformedFrames(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message { return request })

	defer server.Close()

	for _, content := range []string{"\xff\xff\xff\xff of a length", "\x00\x00\x00\x01 too short", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", address.String())
		require.NoError(t, err)

		_, err = conn.Write([]byte(content))
		require.NoError(t, err)

		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err, "the connection ends")
		require.NoError(t, conn.Close())
	}

	// A frame whose content can't be decoded gets a reply without content.
	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)

	defer conn.Close()

	_, err = conn.Write([]byte("\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x07\xff"))
	require.NoError(t, err)

	reply := make([]byte, 12)
	_, err = io.ReadFull(conn, reply)
	require.NoError(t, err)
	assert.Equal(t, "\x00\x00\x00\x08\x00\x00\x00\x00\x00\x00\x00\x07", string(reply))

	require.NoError(t, newClient(t).Call(t.Context(), address, &message{"x"}, new(message)))
}
