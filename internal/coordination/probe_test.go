package coordination_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/registry"
	"almondgrade/core/timer"
	"almondgrade/internal/coordination"
	"almondgrade/io/peer/peerpb"
)

// noView is a source that has no view yet.
type noView struct{}

func (noView) View() *registry.View     { return nil }
func (noView) Confirmed() bool          { return false }
func (noView) Changed() <-chan struct{} { return nil }

// TestProbeOfASilentServerIsAnswered guards against an observer that waits for a silent server until control's call has
// timed out. The proxy then does not count as an observer, and a primary that only one proxy still reaches is never
// replaced.
func TestProbeOfASilentServerIsAnswered(t *testing.T) {
	t.Parallel()

	silent, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test.
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })

	clock := timer.New()
	t.Cleanup(clock.Close)

	observer := coordination.New(coordination.Options{Name: "p1", Instance: 1, Source: noView{}, Timer: clock})
	t.Cleanup(observer.Close)

	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test.
	require.NoError(t, err)

	server := grpc.NewServer()
	observer.Register(server)

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(server.Stop)

	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	reply, err := peerpb.NewPeerClient(connection).Probe(ctx, &peerpb.ProbeRequest{
		Server: "db1", Address: silent.Addr().String(),
	})
	require.NoError(t, err)
	assert.False(t, reply.GetReachable())
}
