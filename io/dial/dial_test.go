package dial_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/io/dial"
)

// Guards against a restarted process that stays unreachable for long because the delay between two attempts grows
// beyond the given bound: with the default delays of the gRPC library, 30 attempts take half an hour.
func TestPausesAreBounded(t *testing.T) {
	t.Parallel()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	var attempts atomic.Int64

	ended := make(chan struct{})

	go func() {
		defer close(ended)

		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			attempts.Add(1)
			assert.NoError(t, conn.Close())
		}
	}()

	connection, err := dial.NewConn(netip.MustParseAddrPort(listener.Addr().String()), dial.Backoff{
		AttemptTimeout: time.Second, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
	}, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)

	const wanted = 30

	assert.Eventually(t, func() bool {
		connection.Connect()

		return attempts.Load() >= wanted
	}, 30*time.Second, time.Millisecond)

	require.NoError(t, connection.Close())
	require.NoError(t, listener.Close())
	<-ended
}
