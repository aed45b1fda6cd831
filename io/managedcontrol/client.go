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
	// SyncTimeout bounds a Sync: the hold, plus a round of the leader's own log, plus a slow link. A connection that
	// has gone silent is replaced after it.
	SyncTimeout = 1200 * time.Millisecond
	// DeliverTimeout bounds a Deliver. Backend servers and operators give up after a second.
	DeliverTimeout = 900 * time.Millisecond
	// introduceTimeout bounds an Introduce, which is repeated each second.
	introduceTimeout = 500 * time.Millisecond
	// carryPause is the pause before a call that no leader took is repeated.
	carryPause = 50 * time.Millisecond
	// redirects bounds how often one call follows a named leader.
	redirects = 3
)

// ClientOptions describe a Client.
type ClientOptions struct {
	// Seeds are the control processes to begin with.
	Seeds []netip.AddrPort
	// Dial opens a new connection to a control process.
	Dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	Logger *slog.Logger
}

// Client calls the leader of control. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	conns *connections

	mutex   sync.Mutex
	known   []netip.AddrPort
	present netip.AddrPort
}

// NewClient returns a client, which connects at its first call.
func NewClient(options ClientOptions) *Client {
	client := &Client{options: options, conns: newConnections(options.Dial, options.Logger)}
	client.Learn(nil)

	return client
}

// Learn replaces the known control processes. The seeds stay known.
func (c *Client) Learn(control []netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.known = nil

	for _, address := range slices.Concat(control, c.options.Seeds) {
		// An address that is listed twice would be followed by itself.
		if !slices.Contains(c.known, address) {
			c.known = append(c.known, address)
		}
	}

	if !c.present.IsValid() && len(c.known) > 0 {
		c.present = c.known[0]
	}
}

// Sync calls the leader. A failed call makes the next one begin at another control process.
func (c *Client) Sync(ctx context.Context, request *SyncRequest) (*SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, SyncTimeout)
	defer cancel()

	for range redirects {
		address := c.Present()
		reply := new(SyncReply)

		if err := c.invoke(ctx, address, syncMethod, request, reply); err != nil {
			c.leave(address)

			return nil, err
		}

		switch {
		case !reply.Leader.IsValid() && reply.Lease > 0:
			return reply, nil
		case !reply.Leader.IsValid():
			c.leave(address)

			return nil, result.New(result.NoQuorum, "control process %s knows no leader", address)
		}

		c.follow(reply.Leader)
	}

	return nil, result.New(result.NotLeader, "the control processes name each other as leader")
}

// Deliver sends a call to the given control process.
func (c *Client) Deliver(ctx context.Context, to netip.AddrPort, delivery *Delivery) (*Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, DeliverTimeout)
	defer cancel()

	receipt := new(Receipt)
	err := c.invoke(ctx, to, deliverMethod, delivery, receipt)

	return receipt, err
}

// Introduce tells a control process which ones the caller knows, and returns those that it knows.
func (c *Client) Introduce(ctx context.Context, to netip.AddrPort, known []netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()

	answer := new(Introduction)
	err := c.invoke(ctx, to, introduceMethod, &Introduction{Control: known}, answer)

	return answer.Control, err
}

// Carry carries out a call at the leader that the last Sync has found. While there is none, or it has just changed, the
// call is repeated: a call that was carried out is acknowledged again.
func (c *Client) Carry(ctx context.Context, delivery *Delivery) (*Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, DeliverTimeout)
	defer cancel()

	for {
		receipt, err := c.Deliver(ctx, c.Present(), delivery)
		if err == nil && receipt.Code != result.NotLeader {
			return receipt, nil
		}

		if err := timer.Sleep(ctx, carryPause); err != nil {
			return receipt, result.New(result.NoQuorum, "no leader of control took the call: %w", err)
		}
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.conns.close()
}

func (c *Client) invoke(ctx context.Context, to netip.AddrPort, method string, request, reply any) error {
	connection, err := c.conns.get(to)
	if err != nil {
		return err
	}

	err = connection.Invoke(ctx, prefix+method, request, reply, grpc.ForceCodec(codec{}))
	if err != nil {
		c.conns.drop(to, connection)
	}

	return eris.Wrapf(err, "call %s of control process %s", method, to)
}

// Present returns the control process that the next call goes to: the leader, if the last one succeeded.
func (c *Client) Present() netip.AddrPort {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.present
}

func (c *Client) follow(leader netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.present = leader
}

// leave moves on to the control process after a failed one.
func (c *Client) leave(failed netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.present != failed || len(c.known) == 0 {
		return
	}

	c.present = c.known[(slices.Index(c.known, failed)+1)%len(c.known)]
}
