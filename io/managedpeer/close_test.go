package managedpeer_test

import (
	"context"
	"errors"
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

// watchClose opens a connection and returns a function that waits until the server uses or ends it, as it does when it
// begins to close.
func watchClose(t *testing.T, address netip.AddrPort) (await func()) {
	t.Helper()

	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)

	return func() {
		_, _ = conn.Read(make([]byte, 1)) // Data and the end both show it.
		_ = conn.Close()
	}
}

// Guards against replies that are lost because the server closes the connections before it has written them.
func TestCloseAnswersCallsInProgress(t *testing.T) {
	t.Parallel()

	const callCount = 20

	listener, address := listen(t)
	started, release := make(chan struct{}, callCount), make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		started <- struct{}{}

		<-release

		return &message{request.Text + " answered"}
	})

	peers := newClient(t)

	var calls sync.WaitGroup

	for i := range callCount {
		calls.Go(func() {
			text, reply := fmt.Sprintf("call %d", i), new(message)

			if assert.NoError(t, peers.Call(t.Context(), address, &message{text}, reply)) {
				assert.Equal(t, text+" answered", reply.Text)
			}
		})
	}

	for range callCount {
		<-started
	}

	awaitClosing, closed := watchClose(t, address), make(chan struct{})

	go func() {
		defer close(closed)

		server.Close()
	}()

	awaitClosing()
	close(release)
	calls.Wait()
	<-closed
}

// Guards against a process that doesn't end in time because a client accepts no replies, or because a call takes long.
func TestCloseIsBounded(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name string
		// blocks is true if the calls never end, and false if the client doesn't read their replies.
		blocks bool
	}{
		{"client does not read", false},
		{"call does not end", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			const callCount = 20

			listener, address := listen(t)
			started, release := make(chan struct{}, callCount), make(chan struct{})
			server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, _ *message) *message {
				started <- struct{}{}

				if test.blocks {
					<-release
				}

				return &message{strings.Repeat("x", 1<<20)}
			})

			defer close(release)

			conn, err := net.Dial("tcp", address.String())
			require.NoError(t, err)

			defer conn.Close()

			for i := range callCount {
				_, err = conn.Write([]byte{0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, byte(i + 1), 0xa1, 0x01, 0x61, 'x'})
				require.NoError(t, err)
			}

			for range callCount {
				<-started
			}

			began := time.Now()

			server.Close()
			assert.Less(t, time.Since(began), 2*managedpeer.CloseTimeout)
		})
	}
}

// Guards against unknown outcomes of statements that a proxy has forwarded when it stops itself: its client closed the
// connections without waiting for the replies. Seen in TestPlannedStopAnswersCallersThatComeBack.
func TestClientCloseWaitsForCallsInProgress(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		if request.Text == "slow" {
			close(started)
			<-release
		}

		return request
	})

	defer server.Close()

	peers, slow := newClient(t), make(chan error, 1)

	go func() { slow <- peers.Call(t.Context(), address, &message{"slow"}, new(message)) }()

	<-started

	closed := make(chan struct{})

	go func() {
		defer close(closed)

		peers.Close()
	}()

	assert.Eventually(t, func() bool {
		return errors.Is(peers.Call(t.Context(), address, &message{"new"}, new(message)), managedpeer.ErrNotSent)
	}, 2*time.Second, time.Millisecond, "a client that closes takes no more calls")
	close(release)
	require.NoError(t, <-slow)
	<-closed
}

// Guards against a process that doesn't end in time because another proxy does not answer.
func TestClientCloseIsBounded(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message {
		close(started)
		<-release

		return request
	})

	defer server.Close()
	defer close(release)

	peers, unanswered := newClient(t), make(chan error, 1)

	go func() { unanswered <- peers.Call(t.Context(), address, &message{"x"}, new(message)) }()

	<-started

	began := time.Now()

	peers.Close()
	assert.Less(t, time.Since(began), 2*managedpeer.CloseTimeout)

	err := <-unanswered
	require.Error(t, err)
	require.NotErrorIs(t, err, managedpeer.ErrNotSent)
}

// Guards against connections that are reset because the server closes before it has accepted them: their clients could not
// tell whether their requests have run.
func TestCloseTellsConnectionsThatWaitToBeAccepted(t *testing.T) {
	t.Parallel()

	const connCount = 32

	listener, address := listen(t)
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, request *message) *message { return request })

	var clients sync.WaitGroup

	for range connCount {
		conn, err := net.Dial("tcp", address.String())
		require.NoError(t, err)

		_, err = conn.Write([]byte{0, 0, 0, 12, 0x80, 0, 0, 0, 0, 0, 0, 1, 0xa1, 0x01, 0x61, 'x'})
		require.NoError(t, err)

		clients.Go(func() {
			defer conn.Close()

			_, err := io.ReadAll(conn)
			assert.NoError(t, err, "the connection was reset")
		})
	}

	server.Close()
	clients.Wait()
}
