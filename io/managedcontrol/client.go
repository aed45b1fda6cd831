package managedcontrol

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"almondgrade/core/result"
	"almondgrade/core/timer"
)

const (
	// SyncTimeout bounds a Sync beyond the time for which the leader holds it: one round of its replicated log and a slow
	// link. A connection without an answer by then is replaced.
	SyncTimeout = time.Second
	// DefaultInterval is the time for which the leader holds a call, until a reply says how long.
	DefaultInterval = 200 * time.Millisecond
	// DeliverTimeout bounds a Deliver. Backend servers and operators give up after a second.
	DeliverTimeout = 900 * time.Millisecond
	// introduceTimeout bounds an Introduce, which is repeated each second.
	introduceTimeout = 500 * time.Millisecond
	// retryPause is the pause before a request that no leader accepted is repeated.
	retryPause = 50 * time.Millisecond
	// maxRedirects bounds how many redirects to a leader one call follows.
	maxRedirects = 3
)

// ClientOptions describe a Client.
type ClientOptions struct {
	// Seeds are the control processes that are known from the start.
	Seeds []netip.AddrPort
	// Dial opens a new connection to a control process.
	Dial func(netip.AddrPort) (*grpc.ClientConn, error)
	// Acknowledged reports whether all that was sent to a process has reached its machine. It may be nil.
	Acknowledged func(netip.AddrPort) bool
	Logger       *slog.Logger
}

// Client calls the leader of the control processes. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	conns *connections

	mutex     sync.Mutex
	addresses []netip.AddrPort
	target    netip.AddrPort
	interval  time.Duration
}

// NewClient returns a client, which connects when it makes its first call.
func NewClient(options ClientOptions) *Client {
	client := &Client{options: options, conns: newConnections(options), interval: DefaultInterval}
	client.SetAddresses(nil)

	return client
}

// SetAddresses replaces the addresses of the known control processes. The seeds are always kept.
func (c *Client) SetAddresses(control []netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.addresses = nil

	for _, address := range slices.Concat(control, c.options.Seeds) {
		// With a duplicate, moveOnFrom could return to the address that failed.
		if !slices.Contains(c.addresses, address) {
			c.addresses = append(c.addresses, address)
		}
	}

	if !c.target.IsValid() && len(c.addresses) > 0 {
		c.target = c.addresses[0]
	}
}

// Sync calls the leader. After a failed call the next one begins at another control process.
func (c *Client) Sync(ctx context.Context, request *SyncRequest) (*SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, SyncTimeout+c.Interval())
	defer cancel()

	accepting := *request
	accepting.AcceptsCompressed = true

	for range maxRedirects {
		address := c.Target()
		reply := new(SyncReply)

		if err := c.invoke(ctx, address, syncMethod, &accepting, reply); err != nil {
			c.moveOnFrom(address)

			return nil, err
		}

		switch {
		case !reply.Leader.IsValid() && reply.Lease > 0:
			c.setInterval(reply.Interval)

			return reply, reply.expand()
		case !reply.Leader.IsValid():
			c.moveOnFrom(address)

			return nil, result.New(result.NoQuorum, "control process %s knows no leader", address)
		}

		c.setTarget(reply.Leader)
	}

	return nil, result.New(result.NotLeader, "the control processes name each other as leader")
}

// Deliver sends a request to the given control process.
func (c *Client) Deliver(ctx context.Context, to netip.AddrPort, request *DeliverRequest) (*DeliverReply, error) {
	ctx, cancel := context.WithTimeout(ctx, DeliverTimeout)
	defer cancel()

	reply := new(DeliverReply)
	err := c.invoke(ctx, to, deliverMethod, request, reply)

	return reply, err
}

// Introduce sends the addresses in known to a control process and returns the addresses that this process knows.
func (c *Client) Introduce(ctx context.Context, to netip.AddrPort, known []netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()

	reply := new(Introduction)
	err := c.invoke(ctx, to, introduceMethod, &Introduction{Control: known}, reply)

	return reply.Control, err
}

// DeliverToLeader sends a request to the leader that the last Sync found. While there is no leader, or it has just
// changed, the request is repeated. This is safe: the leader acknowledges a request that it has already carried out
// again.
func (c *Client) DeliverToLeader(ctx context.Context, request *DeliverRequest) (*DeliverReply, error) {
	ctx, cancel := context.WithTimeout(ctx, DeliverTimeout)
	defer cancel()

	for {
		reply, err := c.Deliver(ctx, c.Target(), request)
		if err == nil && reply.Code != result.NotLeader {
			return reply, nil
		}

		if err := timer.Sleep(ctx, retryPause); err != nil {
			return reply, result.New(result.NoQuorum, "no leader of the control processes accepted the request: %w", err)
		}
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.conns.close()
}

func (c *Client) invoke(ctx context.Context, to netip.AddrPort, method string, request, reply any) error {
	connection, err := c.conns.get(ctx, to)
	if err != nil {
		return eris.Wrapf(err, "connect to control process %s", to)
	}

	began := time.Now()

	err = connection.Invoke(ctx, methodPrefix+method, request, reply, grpc.ForceCodec(codec{}))
	if err != nil {
		c.conns.recordFailure(to, connection, began, err)
	} else {
		c.conns.recordAnswer(to)
	}

	return eris.Wrapf(err, "call %s of control process %s", method, to)
}

// Target returns the control process that receives the next call. It is the leader if the last call succeeded.
func (c *Client) Target() netip.AddrPort {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.target
}

// Interval returns the time for which the leader holds a call of Sync. It grows with the number of proxies.
func (c *Client) Interval() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.interval
}

func (c *Client) setInterval(interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.interval = max(interval, DefaultInterval)
	c.conns.setInterval(c.interval)
}

func (c *Client) setTarget(leader netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.target = leader
}

// moveOnFrom selects the control process that follows a failed one in the list.
func (c *Client) moveOnFrom(failed netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.target != failed || len(c.addresses) == 0 {
		return
	}

	c.target = c.addresses[(slices.Index(c.addresses, failed)+1)%len(c.addresses)]
}
