package managedpeer_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/managedpeer"
)

// relay passes a connection on, and holds back what the client sends while it is told to.
type relay struct {
	address netip.AddrPort
	// hold makes the relay keep what it receives from the client next, until release is closed.
	hold    atomic.Bool
	held    chan struct{}
	release chan struct{}
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	t.Helper()

	listener, address := listen(t)
	created := &relay{address: address, held: make(chan struct{}), release: make(chan struct{})}

	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		fromClient, err := listener.Accept()
		if err != nil {
			return
		}

		toServer, err := net.Dial("tcp", to.String())
		if err != nil {
			_ = fromClient.Close()

			return
		}

		go func() {
			_, _ = io.Copy(fromClient, toServer) // The end is passed on below.
			_ = fromClient.(*net.TCPConn).CloseWrite()
		}()

		defer toServer.Close()

		buffer := make([]byte, 64<<10)

		for {
			count, err := fromClient.Read(buffer)
			if err != nil {
				return
			}

			if created.hold.Load() {
				close(created.held)
				<-created.release
				created.hold.Store(false)
			}

			if _, err := toServer.Write(buffer[:count]); err != nil {
				return
			}
		}
	}()

	return created
}

// Guards against an unknown outcome of a call whose request was still on its way when the server closed, so that it never
// ran.
func TestRequestOnItsWayAtCloseIsNotSent(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	accepted, release := make(chan struct{}), make(chan struct{})

	var late atomic.Int64

	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		if request.Text == "late" {
			late.Add(1)

			return request
		}

		close(accepted)
		<-release

		return request
	})

	between, peers := newRelay(t, address), newClient(t)
	first, second := make(chan error, 1), make(chan error, 1)

	go func() { first <- peers.Call(t.Context(), between.address, &message{"first"}, new(message)) }()

	<-accepted
	between.hold.Store(true)

	go func() { second <- peers.Call(t.Context(), between.address, &message{"late"}, new(message)) }()

	<-between.held

	awaitClosing, closed := watchClose(t, address), make(chan struct{})

	go func() {
		defer close(closed)

		server.Close()
	}()

	awaitClosing()
	close(release)
	require.NoError(t, <-first, "it was accepted")

	err := <-second
	require.ErrorIs(t, err, managedpeer.ErrNotSent)
	require.ErrorIs(t, err, managedpeer.ErrStopping)

	close(between.release)
	<-closed
	assert.Zero(t, late.Load(), "a call that has failed with ErrNotSent runs")
}

// Guards against calls of unknown outcome, calls that run although they failed with ErrNotSent, and replies that are lost,
// while several proxies call a server that closes.
func TestCloseLeavesNoOutcomeUnknown(t *testing.T) {
	t.Parallel()

	const (
		clientCount    = 4
		callsPerClient = 25
	)

	listener, address := listen(t)

	var (
		mutex sync.Mutex
		ran   = make(map[string]bool)
	)

	warm := make(chan struct{}, 1)
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		mutex.Lock()
		defer mutex.Unlock()

		ran[request.Text] = true

		if len(ran) == clientCount*callsPerClient {
			warm <- struct{}{}
		}

		return request
	})

	var (
		calls   sync.WaitGroup
		unknown atomic.Int64
	)

	for client := range clientCount {
		peers := newClient(t)

		for caller := range callsPerClient {
			calls.Go(func() {
				for i := 0; ; i++ {
					text := fmt.Sprint(client, "/", caller, "/", i)
					err := peers.Call(t.Context(), address, &message{text}, new(message))

					if err == nil {
						continue
					}

					if !errors.Is(err, managedpeer.ErrNotSent) {
						unknown.Add(1)
						t.Log("unknown:", err)
					}

					mutex.Lock()
					assert.False(t, errors.Is(err, managedpeer.ErrNotSent) && ran[text], "call %s ran: %s", text, err)
					mutex.Unlock()

					return
				}
			})
		}
	}

	<-warm
	server.Close()
	calls.Wait()
	assert.Zero(t, unknown.Load(), "calls of unknown outcome")
}

// formerConn is a copy of the handling of frames in builds before the notice of a server that closes.
type formerConn struct {
	conn   net.Conn
	reader *bufio.Reader
	mutex  sync.Mutex
}

func newFormerConn(conn net.Conn) *formerConn {
	return &formerConn{conn: conn, reader: bufio.NewReaderSize(conn, 2<<10)}
}

func (w *formerConn) send(callID uint64, message any) error {
	frame := make([]byte, 12)
	binary.BigEndian.PutUint64(frame[4:], callID)

	if message != nil {
		content, err := cbor.Marshal(message)
		if err != nil {
			return err
		}

		frame = append(frame, content...)
	}

	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))

	w.mutex.Lock()
	defer w.mutex.Unlock()

	_, err := w.conn.Write(frame)

	return err
}

func (w *formerConn) receive() (callID uint64, content []byte, err error) {
	var header [12]byte

	if _, err := io.ReadFull(w.reader, header[:]); err != nil {
		return 0, nil, err
	}

	length := binary.BigEndian.Uint32(header[:])
	if length < 8 || length > 2<<20 {
		return 0, nil, fmt.Errorf("a frame has the length %d", length)
	}

	content = make([]byte, length-8)
	if _, err := io.ReadFull(w.reader, content); err != nil {
		return 0, nil, err
	}

	return binary.BigEndian.Uint64(header[4:]), content, nil
}

// formerClient is a copy of one connection of a client of those builds.
type formerClient struct {
	framed *formerConn

	mutex      sync.Mutex
	lastCallID uint64
	pending    map[uint64]chan []byte
	// ignored counts the frames that belonged to no call.
	ignored atomic.Int64
	ended   chan struct{}
}

func (c *formerClient) call(request any) ([]byte, error) {
	replies := make(chan []byte, 1)

	c.mutex.Lock()
	c.lastCallID++
	callID := c.lastCallID
	c.pending[callID] = replies
	c.mutex.Unlock()

	if err := c.framed.send(callID, request); err != nil {
		return nil, err
	}

	content, open := <-replies
	if !open {
		return nil, errors.New("the connection ended")
	}

	return content, nil
}

func (c *formerClient) dispatchReplies() {
	defer close(c.ended)

	for {
		callID, content, err := c.framed.receive()
		if err != nil {
			break
		}

		c.mutex.Lock()
		replies := c.pending[callID]
		delete(c.pending, callID)
		c.mutex.Unlock()

		if replies != nil {
			replies <- content
		} else {
			c.ignored.Add(1)
		}
	}

	_ = c.framed.conn.Close()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	for callID, replies := range c.pending {
		delete(c.pending, callID)
		close(replies)
	}
}

// Guards against a rolling update that cuts calls off: a client of a former build ignores the notice, and its calls that
// arrive after it are still answered.
func TestClientOfAFormerBuildIsAnsweredUntilTheEnd(t *testing.T) {
	t.Parallel()

	const lateCalls = 10 // One after the other within CloseTimeout.

	listener, address := listen(t)
	accepted, release := make(chan struct{}), make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		if request.Text == "first" {
			close(accepted)
			<-release
		}

		return request
	})

	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)

	former := &formerClient{framed: newFormerConn(conn), pending: make(map[uint64]chan []byte), ended: make(chan struct{})}

	go former.dispatchReplies()

	first := make(chan error, 1)

	go func() {
		_, err := former.call(&message{"first"})
		first <- err
	}()

	<-accepted

	closed := make(chan struct{})

	go func() {
		defer close(closed)

		server.Close()
	}()

	require.Eventually(t, func() bool { return former.ignored.Load() == 1 }, 5*time.Second, time.Millisecond)

	for i := range lateCalls {
		content, err := former.call(&message{strconv.Itoa(i)})
		require.NoError(t, err)

		reply := new(message)
		require.NoError(t, cbor.Unmarshal(content, reply))
		assert.Equal(t, strconv.Itoa(i), reply.Text)
	}

	close(release)
	require.NoError(t, <-first)
	<-former.ended
	<-closed
	assert.EqualValues(t, 1, former.ignored.Load())
}

// Guards against replies of a server of a former build that are not matched with their calls, and against ErrNotSent for a
// request that such a server may have run before it closed the connection.
func TestServerOfAFormerBuild(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)

	defer listener.Close()

	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		defer conn.Close()

		for framed := newFormerConn(conn); ; {
			callID, content, err := framed.receive()
			if err != nil {
				return
			}

			request := new(message)
			if !assert.NoError(t, cbor.Unmarshal(content, request)) || request.Text == "end" {
				return
			}

			assert.NoError(t, framed.send(callID, request))
		}
	}()

	peers := newClient(t)

	for i := range 10 {
		reply := new(message)
		require.NoError(t, peers.Call(t.Context(), address, &message{strconv.Itoa(i)}, reply))
		assert.Equal(t, strconv.Itoa(i), reply.Text)
	}

	err := peers.Call(t.Context(), address, &message{"end"}, new(message))
	require.Error(t, err)
	require.NotErrorIs(t, err, managedpeer.ErrNotSent)
}
