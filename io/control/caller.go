package control

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/io/control/controlpb"
)

const (
	// retryPause is the pause after all control processes have been tried.
	retryPause = 100 * time.Millisecond
	// callTimeout bounds one call to one control process.
	callTimeout = 2 * time.Second
)

// LeaderClient sends requests to the control process that is the leader. It is safe for concurrent use.
type LeaderClient struct {
	members []netip.AddrPort
	dial    func(netip.AddrPort) (*grpc.ClientConn, error)
	leader  atomic.Pointer[netip.AddrPort]

	mutex       sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
}

// NewLeaderClient returns a client that tries the given members first and learns the leader from their answers.
func NewLeaderClient(members []netip.AddrPort, dial func(netip.AddrPort) (*grpc.ClientConn, error)) *LeaderClient {
	return &LeaderClient{members: members, dial: dial, connections: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// Close closes all connections.
func (c *LeaderClient) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

// Announce forwards the announcement of a backend server.
func (c *LeaderClient) Announce(ctx context.Context, announcement *controlpb.Announcement) (*controlpb.AnnounceReply, error) {
	return call(ctx, c, announcement, controlpb.ControlClient.Announce)
}

// Suspect reports to control that a backend server can't be reached.
func (c *LeaderClient) Suspect(ctx context.Context, suspicion *controlpb.Suspicion) (*controlpb.SuspectReply, error) {
	suspicion.Reason = result.ValidText(suspicion.GetReason())

	return call(ctx, c, suspicion, controlpb.ControlClient.Suspect)
}

// Apply asks control to change the configuration.
func (c *LeaderClient) Apply(ctx context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error) {
	return call(ctx, c, change, controlpb.ControlClient.Apply)
}

// Status asks control for the replicated state.
func (c *LeaderClient) Status(ctx context.Context) (*controlpb.StatusReply, error) {
	return call(ctx, c, &controlpb.StatusRequest{}, controlpb.ControlClient.Status)
}

// Drain asks control to mark a server or proxy as leaving.
func (c *LeaderClient) Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error) {
	return call(ctx, c, request, controlpb.ControlClient.Drain)
}

// call tries the leader, then the other members, until one accepts the request. A member that is not the leader does
// nothing with it. Every request of this service is idempotent, so that it can also be repeated after a lost answer.
func call[Q, A any](ctx context.Context, c *LeaderClient, request Q,
	method func(controlpb.ControlClient, context.Context, Q, ...grpc.CallOption) (A, error),
) (A, error) {
	var (
		zero    A
		lastErr error
	)

	for {
		for _, member := range c.candidates() {
			connection, err := c.connection(member)
			if err != nil {
				lastErr = err

				continue
			}

			attempt, cancel := context.WithTimeout(ctx, callTimeout)
			answer, err := method(controlpb.NewControlClient(connection), attempt, request)

			cancel()

			if err == nil {
				c.leader.Store(&member)

				return answer, nil
			}

			lastErr = err
			c.learnLeader(err)
		}

		if err := timer.Sleep(ctx, retryPause); err != nil {
			return zero, result.New(result.NoQuorum, "no control process accepted the request (%v): %w", err, lastErr)
		}
	}
}

// candidates returns the addresses to try, beginning with the last known leader.
func (c *LeaderClient) candidates() []netip.AddrPort {
	leader := c.leader.Load()
	if leader == nil {
		return c.members
	}

	members := []netip.AddrPort{*leader}

	for _, member := range c.members {
		if member != *leader {
			members = append(members, member)
		}
	}

	return members
}

// learnLeader stores the leader's address if the error is the refusal of a member that is not the leader.
func (c *LeaderClient) learnLeader(err error) {
	if status.Code(err) != codes.FailedPrecondition {
		return
	}

	if address, err := netip.ParseAddrPort(status.Convert(err).Message()); err == nil {
		c.leader.Store(&address)
	}
}

func (c *LeaderClient) connection(member netip.AddrPort) (*grpc.ClientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if connection, found := c.connections[member]; found {
		return connection, nil
	}

	connection, err := c.dial(member)
	if err != nil {
		return nil, eris.Wrapf(err, "control member %s", member)
	}

	c.connections[member] = connection

	return connection, nil
}

// closeConnection closes a connection that may be lost, so that the next call opens a new one.
func (c *LeaderClient) closeConnection(member netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if connection, found := c.connections[member]; found {
		_ = connection.Close()

		delete(c.connections, member)
	}
}
