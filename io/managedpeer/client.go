package managedpeer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// connectTimeout bounds the opening of a connection. Data centres are 2 ms apart.
	connectTimeout = 250 * time.Millisecond
	// reconnectPause is the time after a failure to connect during which no new attempt is made. A restart of a process
	// takes about a second.
	reconnectPause = 100 * time.Millisecond
	// retirePeriod is the time that calls in progress still get on a connection which may be lost. Statements take
	// less.
	retirePeriod = 5 * time.Second
)

// ErrNotSent is returned by Client.Call if the request was not sent.
var ErrNotSent = errors.New("the request could not be sent to the proxy")

// errConnectionEnded means that the connection ended before the reply arrived.
var errConnectionEnded = errors.New("the connection ended")

// Client calls other proxies over one connection to each. It is safe for concurrent use.
type Client struct {
	logger *slog.Logger

	mutex sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer holds the current connection to one proxy. Its mutex is held while a connection is opened, so that other calls
// wait for it.
type peer struct {
	mutex   sync.Mutex
	current *connection
	// failedAt is the time of the last failed attempt to connect.
	failedAt time.Time
}

// connection multiplexes calls to one proxy.
type connection struct {
	framed *framedConn

	mutex      sync.Mutex
	lastCallID uint64
	pending    map[uint64]chan []byte
	ended      bool
}

// NewClient returns a client, which connects to a proxy when it first calls it.
func NewClient(logger *slog.Logger) *Client {
	return &Client{logger: logger, peers: make(map[netip.AddrPort]*peer)}
}

// Call sends a request to another proxy and waits for the reply. It fails with ErrNotSent if the proxy can't have
// received the request.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, request, reply any) error {
	c.mutex.Lock()
	target := c.peers[to]

	if target == nil {
		target = &peer{}
		c.peers[to] = target
	}
	c.mutex.Unlock()

	conn, err := target.connect(ctx, to)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}

	content, err := conn.call(ctx, request)

	switch {
	case errors.Is(err, ErrNotSent):
		target.detach(conn)

		return err
	case err != nil:
		// The connection may be lost without notice, but other calls in progress on it may still be answered.
		target.detach(conn)
		time.AfterFunc(retirePeriod, conn.close)

		return eris.Wrapf(err, "call proxy %s", to)
	case len(content) == 0:
		return eris.Errorf("proxy %s could not decode the request", to)
	}

	return eris.Wrap(cbor.Unmarshal(content, reply), "decode reply")
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, target := range c.peers {
		target.mutex.Lock()
		if target.current != nil {
			target.current.close()
		}
		target.mutex.Unlock()
	}
}

// connect returns the current connection, or opens a new one.
func (p *peer) connect(ctx context.Context, to netip.AddrPort) (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.current != nil && !p.current.hasEnded() {
		return p.current, nil
	}

	// Calls that waited for a failed attempt must not each make an attempt of their own.
	if time.Since(p.failedAt) < reconnectPause {
		return nil, eris.New("the last attempt to connect failed a moment ago")
	}

	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		p.failedAt = time.Now()

		return nil, eris.Wrap(err, "connect")
	}

	p.current = &connection{framed: newFramedConn(conn), pending: make(map[uint64]chan []byte)}

	go p.current.dispatchReplies()

	return p.current, nil
}

// detach makes the next call open a new connection.
func (p *peer) detach(failed *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.current == failed {
		p.current = nil
	}
}

func (c *connection) hasEnded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.ended
}

func (c *connection) call(ctx context.Context, request any) ([]byte, error) {
	replies := make(chan []byte, 1)

	c.mutex.Lock()
	if c.ended {
		c.mutex.Unlock()

		return nil, errors.Join(ErrNotSent, errConnectionEnded)
	}

	c.lastCallID++
	callID := c.lastCallID
	c.pending[callID] = replies
	c.mutex.Unlock()

	if err := c.framed.send(callID, request); err != nil {
		c.close()

		return nil, err
	}

	select {
	case content, open := <-replies:
		if !open {
			return nil, errConnectionEnded
		}

		return content, nil
	case <-ctx.Done():
		c.mutex.Lock()
		delete(c.pending, callID)
		c.mutex.Unlock()

		return nil, eris.Wrap(ctx.Err(), "wait for the reply")
	}
}

// dispatchReplies passes each reply to the call that waits for it, until the connection ends.
func (c *connection) dispatchReplies() {
	defer c.close()

	for {
		callID, content, err := c.framed.receive()
		if err != nil {
			return // Method close ends the calls that wait.
		}

		c.mutex.Lock()
		replies := c.pending[callID]
		delete(c.pending, callID)
		c.mutex.Unlock()

		if replies != nil {
			replies <- content
		}
	}
}

// close closes the connection and ends the calls that wait for a reply.
func (c *connection) close() {
	_ = c.framed.conn.Close() // The pending calls are ended below.

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.ended = true

	for callID, replies := range c.pending {
		delete(c.pending, callID)
		close(replies)
	}
}
