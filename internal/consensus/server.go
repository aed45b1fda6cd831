package consensus

import (
	"net/netip"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/io/control/controlpb"
)

// heard is the last batch received from an address.
type heard struct {
	instance uint64
	sequence uint64
}

// server receives the batches of other members.
type server struct {
	controlpb.UnimplementedLogServer
	group *Group
}

// Register adds the Log service to a gRPC server.
func (g *Group) Register(registrar grpc.ServiceRegistrar) {
	controlpb.RegisterLogServer(registrar, &server{group: g})
}

// Exchange implements controlpb.LogServer. It ends when the sender opens a new stream, so that a silent connection
// leaves nothing behind.
func (s *server) Exchange(stream grpc.ClientStreamingServer[controlpb.LogMessages, controlpb.LogClosed]) error {
	replaced := make(chan struct{})
	ended := make(chan error, 1)

	go func() { ended <- s.receive(stream, replaced) }()

	select {
	case err := <-ended:
		return err
	case <-replaced:
		return stream.SendAndClose(&controlpb.LogClosed{})
	case <-s.group.ctx.Done():
		return status.Error(codes.Unavailable, "the member is shutting down")
	}
}

func (s *server) receive(
	stream grpc.ClientStreamingServer[controlpb.LogMessages, controlpb.LogClosed], replaced chan struct{},
) error {
	for first := true; ; first = false {
		received, err := stream.Recv()
		if err != nil {
			return err
		}

		decoded, err := decodeBatch(received)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}

		address, err := netip.ParseAddrPort(decoded.hello.Address)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}

		if first {
			s.group.replaceStream(address, replaced)
		}

		s.group.noteHello(address, decoded.hello)

		// A loop that waits for its disk must not keep acknowledgements from being noted. Raft repeats what is
		// dropped; a leader's window bounds what can wait.
		select {
		case s.group.received <- decoded:
		default:
			s.group.overflow.Add(1)
		}
	}
}

// replaceStream ends the stream that an address used before.
func (g *Group) replaceStream(address netip.AddrPort, replaced chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if former := g.streams[address]; former != nil {
		close(former)
	}

	g.streams[address] = replaced
}

// noteHello keeps what proves connections alive. It runs apart from the loop, so that a slow disk doesn't look like a
// silent connection.
func (g *Group) noteHello(address netip.AddrPort, greeting hello) {
	g.mutex.Lock()
	g.heard[address] = heard{greeting.Instance, greeting.Sequence}
	to := g.links[address]
	g.mutex.Unlock()

	if to == nil {
		return
	}

	to.heard()

	if greeting.HeardInstance == g.instance {
		to.acknowledged(greeting.HeardSequence)
	}
}

func (g *Group) heardFrom(address netip.AddrPort) heard {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.heard[address]
}
