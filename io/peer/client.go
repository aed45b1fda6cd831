package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"almondgrade/io/dial"
	"almondgrade/io/peer/peerpb"
)

// Client calls the Peer service of one other proxy. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	options Options

	mutex   sync.Mutex
	current *link
	closed  bool
}

// link is a connection with the state that is needed to detect its loss.
type link struct {
	conn *grpc.ClientConn
	stub peerpb.PeerClient
	// answerCount is the number of successful answers to calls of any kind.
	answerCount atomic.Uint64
}

// Dial returns a client for an address. The client connects when it makes its first call.
func Dial(address netip.AddrPort, options Options) (*Client, error) {
	client := &Client{address: address, options: options}

	connected, err := client.connect()
	if err != nil {
		return nil, err
	}

	client.current = connected

	return client, nil
}

// Close closes the connection, which ends the calls in progress.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if !c.closed {
		c.closed = true
		_ = c.current.conn.Close()
	}
}

// Barrier calls Peer.Barrier. The context bounds the call.
func (c *Client) Barrier(ctx context.Context, request *peerpb.BarrierRequest) (*peerpb.BarrierReply, error) {
	return call(ctx, c, 0, request, peerpb.PeerClient.Barrier)
}

// Confirm calls Peer.Confirm. The context bounds the call.
func (c *Client) Confirm(ctx context.Context, request *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return call(ctx, c, 0, request, peerpb.PeerClient.Confirm)
}

// Acquire calls Peer.Acquire. The context bounds the call.
func (c *Client) Acquire(ctx context.Context, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return call(ctx, c, 0, request, peerpb.PeerClient.Acquire)
}

// Release calls Peer.Release.
func (c *Client) Release(ctx context.Context, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return call(ctx, c, shortCallTimeout, request, peerpb.PeerClient.Release)
}

// Hold calls Peer.Hold. As it is called each second, it also detects a lost connection.
func (c *Client) Hold(ctx context.Context, request *peerpb.HoldRequest) (*peerpb.HoldReply, error) {
	return call(ctx, c, shortCallTimeout, request, peerpb.PeerClient.Hold)
}

// Recall calls Peer.Recall.
func (c *Client) Recall(ctx context.Context, request *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	return call(ctx, c, shortCallTimeout, request, peerpb.PeerClient.Recall)
}

// Probe calls Peer.Probe. The context bounds the call.
func (c *Client) Probe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return call(ctx, c, 0, request, peerpb.PeerClient.Probe)
}

// Cancel calls Peer.Cancel.
func (c *Client) Cancel(ctx context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return call(ctx, c, shortCallTimeout, request, peerpb.PeerClient.Cancel)
}

// call makes one call. With a limit of zero only the context bounds it.
func call[Q, R any](
	parent context.Context, client *Client, limit time.Duration, request Q,
	method func(peerpb.PeerClient, context.Context, Q, ...grpc.CallOption) (R, error),
) (R, error) {
	ctx, cancel := parent, context.CancelFunc(func() {})
	if limit > 0 {
		ctx, cancel = context.WithTimeout(parent, limit)
	}
	defer cancel()

	current := client.currentLink()
	before := current.answerCount.Load()

	reply, err := method(current.stub, ctx, request)
	if err == nil {
		current.answerCount.Add(1)

		return reply, nil
	}

	if status.Code(err) == codes.DeadlineExceeded && current.answerCount.Load() == before {
		client.replaceLink(current)
	}

	return reply, eris.Wrapf(err, "call of proxy %s", client.address)
}

func (c *Client) currentLink() *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.current
}

// replaceLink replaces an unresponsive connection by a new one and ends the calls on it.
func (c *Client) replaceLink(unresponsive *link) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed || c.current != unresponsive {
		return
	}

	connected, err := c.connect()
	if err != nil {
		return // Unlikely, because the same settings worked before. The old connection stays in use.
	}

	c.current = connected
	_ = unresponsive.conn.Close()
}

func (c *Client) connect() (*link, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(c.options.credentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
	}

	if c.options.Dial != nil {
		options = append(options, grpc.WithContextDialer(c.options.Dial))
	}

	conn, err := dial.NewConn(c.address, dial.Backoff{AttemptTimeout: connectTimeout, MinDelay: minDelay, MaxDelay: maxDelay}, options...)
	if err != nil {
		return nil, eris.Wrapf(err, "client for proxy %s", c.address)
	}

	return &link{conn: conn, stub: peerpb.NewPeerClient(conn)}, nil
}
