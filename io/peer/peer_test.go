package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/io/peer"
	"almondgrade/io/peer/peerpb"
)

// fakeHandler answers calls immediately. While blocked is set, it doesn't answer barriers.
type fakeHandler struct {
	peerpb.UnimplementedPeerServer
	blocked   atomic.Bool
	holdCount atomic.Int64
}

func (h *fakeHandler) Barrier(ctx context.Context, request *peerpb.BarrierRequest) (*peerpb.BarrierReply, error) {
	if h.blocked.Load() {
		<-ctx.Done()
	}

	return &peerpb.BarrierReply{Term: request.GetEpoch()}, nil
}

func (h *fakeHandler) Hold(context.Context, *peerpb.HoldRequest) (*peerpb.HoldReply, error) {
	h.holdCount.Add(1)

	return &peerpb.HoldReply{}, nil
}

// silenceable is a connection that can be made to discard what is written.
type silenceable struct {
	net.Conn
	silent atomic.Bool
}

func (s *silenceable) Write(data []byte) (int, error) {
	if s.silent.Load() {
		return len(data), nil
	}

	return s.Conn.Write(data)
}

// silenceableNetwork opens connections and can silence all of them.
type silenceableNetwork struct {
	mutex sync.Mutex
	open  []*silenceable
}

func (n *silenceableNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	opened := &silenceable{Conn: conn}
	n.open = append(n.open, opened)

	return opened, nil
}

// silence silences the connections that were opened so far and returns their number.
func (n *silenceableNetwork) silence() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	for _, conn := range n.open {
		conn.silent.Store(true)
	}

	return len(n.open)
}

func startPeer(t *testing.T, handler *fakeHandler) (*peer.Client, *silenceableNetwork) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := peer.NewServer(peer.Options{}, handler)

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(server.Stop)

	network := &silenceableNetwork{}
	client, err := peer.Dial(listener.Addr().(*net.TCPAddr).AddrPort(), peer.Options{Dial: network.dial})
	require.NoError(t, err)
	t.Cleanup(client.Close)

	return client, network
}

// TestSilentConnectionIsReplaced guards against a client that keeps using a connection which was lost without notice,
// so that its calls fail for as long as the connection looks open.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()

	handler := &fakeHandler{}
	client, network := startPeer(t, handler)

	reply, err := client.Barrier(t.Context(), &peerpb.BarrierRequest{Epoch: 7})
	require.NoError(t, err)
	assert.Equal(t, uint64(7), reply.GetTerm())

	for range 2 {
		require.Positive(t, network.silence())

		_, err = client.Hold(t.Context(), &peerpb.HoldRequest{})
		require.Equal(t, codes.DeadlineExceeded, status.Code(grpcError(err)), "%v", err)

		_, err = client.Hold(t.Context(), &peerpb.HoldRequest{})
		require.NoError(t, err, "the next call uses a new connection")
	}
}

// TestSlowCallKeepsConnection guards against the replacement of a working connection because one call on it takes long.
func TestSlowCallKeepsConnection(t *testing.T) {
	t.Parallel()

	handler := &fakeHandler{}
	handler.blocked.Store(true)

	client, network := startPeer(t, handler)

	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()

	answered := make(chan error, 1)

	go func() {
		_, err := client.Barrier(ctx, &peerpb.BarrierRequest{})
		answered <- err
	}()

	for ctx.Err() == nil {
		_, err := client.Hold(t.Context(), &peerpb.HoldRequest{})
		require.NoError(t, err)
	}

	<-answered
	assert.Positive(t, handler.holdCount.Load())

	_, err := client.Hold(t.Context(), &peerpb.HoldRequest{})
	require.NoError(t, err)
	assert.Len(t, network.open, 1)
}

// TestUnreachablePeer guards against calls that wait until their context ends although no process listens at the
// address.
func TestUnreachablePeer(t *testing.T) {
	t.Parallel()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	address := listener.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, listener.Close())

	client, err := peer.Dial(address, peer.Options{})
	require.NoError(t, err)

	defer client.Close()

	_, err = client.Barrier(t.Context(), &peerpb.BarrierRequest{})
	assert.Equal(t, codes.Unavailable, status.Code(grpcError(err)), "%v", err)
}

// grpcError returns the error of the gRPC library that err wraps.
func grpcError(err error) error {
	for {
		if _, ok := err.(interface{ GRPCStatus() *status.Status }); ok {
			return err
		}

		wrapper, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err
		}

		err = wrapper.Unwrap()
	}
}
