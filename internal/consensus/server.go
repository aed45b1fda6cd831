package consensus

import (
	"net/netip"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/io/control/controlpb"
)

// receivedBatch identifies the last batches received from another member.
type receivedBatch struct {
	instance uint64
	sequence uint64
	// bulk is the number of the last batch of the connection for entries and snapshots.
	bulk uint64
}

// streamKey identifies a stream from another member: there is one for urgent messages and one for bulk.
type streamKey struct {
	address netip.AddrPort
	bulk    bool
}

// server receives batches from other members.
type server struct {
	controlpb.UnimplementedLogServer
	group *Group
}

// Register adds the Log service to a gRPC server.
func (g *Group) Register(registrar grpc.ServiceRegistrar) {
	controlpb.RegisterLogServer(registrar, &server{group: g})
}

// Exchange implements controlpb.LogServer. It ends when the sender opens a new stream, so that no goroutine remains for
// a silent connection.
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
			s.group.replaceStream(streamKey{address, decoded.hello.Bulk}, replaced)
		}

		s.group.recordLiveness(address, decoded.hello)

		// While the event loop waits for its disk, acknowledgements must still be recorded, so a full queue drops the
		// batch. Raft repeats dropped messages, and the leader's window bounds how many can wait.
		queue := s.group.received
		if decoded.isUrgent() {
			queue = s.group.urgent
		}

		select {
		case queue <- decoded:
		default:
			s.group.droppedBatches.Add(1)
		}
	}
}

// replaceStream ends the previous stream of the same kind from an address.
func (g *Group) replaceStream(key streamKey, replaced chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if former := g.streams[key]; former != nil {
		close(former)
	}

	g.streams[key] = replaced
}

// recordLiveness records the batch and the acknowledgement in a hello. It runs outside the event loop, so that a slow
// disk doesn't look like a silent connection.
func (g *Group) recordLiveness(address netip.AddrPort, received hello) {
	g.mutex.Lock()
	last := g.lastBatches[address]

	if last.instance != received.Instance {
		last = receivedBatch{instance: received.Instance}
	}

	if received.Bulk {
		last.bulk = received.Sequence
	} else {
		last.sequence = received.Sequence
	}

	g.lastBatches[address] = last
	to := g.links[address]
	g.mutex.Unlock()

	if to == nil {
		return
	}

	to.reconnectNow()
	to.bulk.allowed.Store(received.AcceptsBulk)

	if received.AckInstance == g.instance && !received.Bulk {
		to.recordAck(received.AckSequence)
		to.bulk.recordAck(received.AckBulk)
	}
}

func (g *Group) lastBatchFrom(address netip.AddrPort) receivedBatch {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.lastBatches[address]
}
