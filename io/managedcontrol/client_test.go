package managedcontrol

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/topology"
)

// Guards against a client that calls a control process which does not answer again and again, because the settings and
// the view both name it. Seen on kalasag-reg, hunt-162d-7: a proxy stayed with a frozen leader for 7 s and answered
// with an old configuration.
func TestLeaveReachesEveryProcess(t *testing.T) {
	t.Parallel()

	a, b, c := address("10.0.0.1:1"), address("10.0.0.2:1"), address("10.0.0.3:1")

	for _, control := range [][]netip.AddrPort{nil, {a, b, c, c, a, b}, {c, b, a}, {b, b}} {
		client := NewClient(ClientOptions{Seeds: []netip.AddrPort{a, b, c}, Logger: slog.New(slog.DiscardHandler)})
		client.Learn(control)

		visited := make(map[netip.AddrPort]bool)

		for range 3 {
			visited[client.Present()] = true
			client.leave(client.Present())
		}

		assert.Len(t, visited, 3, control)
	}
}

func address(text string) netip.AddrPort {
	return netip.MustParseAddrPort(text)
}

// process is a control process of a test.
type process struct {
	reply    SyncReply
	received []*SyncRequest
	receipt  Receipt
}

func (p *process) Sync(_ context.Context, request *SyncRequest) (*SyncReply, error) {
	p.received = append(p.received, request)

	return &p.reply, nil
}

func (p *process) Deliver(context.Context, *Delivery) (*Receipt, error) {
	return &p.receipt, nil
}

func (p *process) Introduce(context.Context, *Introduction) (*Introduction, error) {
	return &Introduction{}, nil
}

func start(t *testing.T, served *process) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := grpc.NewServer()
	Register(server, served)

	ended := make(chan error, 1)

	go func() { ended <- server.Serve(listener) }()

	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, <-ended)
	})

	return address(listener.Addr().String())
}

func dial(to netip.AddrPort) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+to.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// Guards against a proxy that stays with a process which doesn't lead, and against fields that are lost on the way.
func TestSyncFollowsTheLeader(t *testing.T) {
	t.Parallel()

	leader := &process{reply: SyncReply{Lease: 1, View: &View{
		Version: Version{Term: 2, Number: 3}, Proxies: 4, Groups: []topology.Group{{Name: "g", Primary: "a"}},
		Servers: []Server{{Server: topology.Server{ID: "a", Address: address("10.0.0.1:1")}, Silent: true}},
		Control: []netip.AddrPort{address("10.0.0.1:1")},
	}}}
	leads := start(t, leader)
	follows := start(t, &process{reply: SyncReply{Leader: leads}})

	client := NewClient(ClientOptions{Seeds: []netip.AddrPort{follows}, Dial: dial, Logger: slog.New(slog.DiscardHandler)})
	defer client.Close()

	request := &SyncRequest{Proxy: "p", Instance: 7, Sights: []Sight{{Server: "a", Failing: 5}}}
	reply, err := client.Sync(t.Context(), request)
	require.NoError(t, err)
	assert.Equal(t, leader.reply, *reply)
	assert.Equal(t, []*SyncRequest{request}, leader.received)
}

// Guards against a call that waits for a process which knows no leader in place of trying another one.
func TestSyncLeavesAProcessWithoutLeader(t *testing.T) {
	t.Parallel()

	lost := start(t, &process{})
	leads := start(t, &process{reply: SyncReply{Lease: 1}})

	client := NewClient(ClientOptions{
		Seeds: []netip.AddrPort{lost, leads}, Dial: dial, Logger: slog.New(slog.DiscardHandler),
	})
	defer client.Close()

	_, err := client.Sync(t.Context(), &SyncRequest{})
	require.Error(t, err)

	_, err = client.Sync(t.Context(), &SyncRequest{})
	require.NoError(t, err)
}
