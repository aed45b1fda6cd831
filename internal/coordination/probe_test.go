package coordination_test

import (
	"context"
	"encoding/binary"
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

// serveObserver returns a client of a proxy.
func serveObserver(t *testing.T) peerpb.PeerClient {
	t.Helper()

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

	return peerpb.NewPeerClient(connection)
}

// TestProbeOfASilentServerIsAnswered guards against an observer that waits for a silent server until control's call has
// timed out. The proxy then does not count as an observer, and a primary that only one proxy still reaches is never
// replaced.
func TestProbeOfASilentServerIsAnswered(t *testing.T) {
	t.Parallel()

	silent, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test.
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })

	client := serveObserver(t)

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	reply, err := client.Probe(ctx, &peerpb.ProbeRequest{
		Server: "db1", Address: silent.Addr().String(),
	})
	require.NoError(t, err)
	assert.False(t, reply.GetReachable())
}

// Guards against an answer that can't be sent because the server's error is not UTF-8: servers write errors of a login in the
// encoding of their own language. The proxy then did not count as an observer, although it had reached the server.
func TestProbeReportsAServerWhoseErrorsAreNotUTF8(t *testing.T) {
	t.Parallel()

	full, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test.
	require.NoError(t, err)
	t.Cleanup(func() { _ = full.Close() })

	go func() {
		for {
			conn, err := full.Accept()
			if err != nil {
				return
			}

			fields := "SFATAL\x00C53300\x00Mes sind zu viele Verbindungen f\xfcr Benutzer offen\x00\x00"
			_, _ = conn.Read(make([]byte, 1024))
			_, _ = conn.Write(append(binary.BigEndian.AppendUint32([]byte{'E'}, uint32(len(fields)+4)), fields...))
		}
	}()

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	reply, err := serveObserver(t).Probe(ctx, &peerpb.ProbeRequest{Server: "db1", Address: full.Addr().String()})
	require.NoError(t, err)
	assert.True(t, reply.GetReachable())
	assert.Contains(t, reply.GetReason(), "Verbindungen")
}
