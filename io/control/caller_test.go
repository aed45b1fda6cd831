package control_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
)

// suspicionReceiver is a control process that accepts suspicions.
type suspicionReceiver struct {
	controlpb.UnimplementedControlServer

	received chan *controlpb.Suspicion
}

// Suspect implements controlpb.ControlServer.
func (s *suspicionReceiver) Suspect(_ context.Context, suspicion *controlpb.Suspicion) (*controlpb.SuspectReply, error) {
	s.received <- suspicion

	return &controlpb.SuspectReply{}, nil
}

// Guards against a dead primary that control does not hear of, because the server's last error is not UTF-8.
func TestSuspicionWithAnErrorThatIsNotUTF8IsReported(t *testing.T) {
	t.Parallel()

	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test.
	require.NoError(t, err)

	server, receiver := grpc.NewServer(), &suspicionReceiver{received: make(chan *controlpb.Suspicion, 1)}
	controlpb.RegisterControlServer(server, receiver)

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(server.Stop)

	client := control.NewLeaderClient([]netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())},
		func(member netip.AddrPort) (*grpc.ClientConn, error) {
			return grpc.NewClient(member.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		})
	t.Cleanup(client.Close)

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	_, err = client.Suspect(ctx, &controlpb.Suspicion{Group: "g", Server: "db1", Reason: "das System f\xe4hrt herunter"})
	require.NoError(t, err)

	suspicion := <-receiver.received
	assert.Equal(t, "db1", suspicion.GetServer())
	assert.Contains(t, suspicion.GetReason(), "herunter")
}
