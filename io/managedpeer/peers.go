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
	// failedPause is the time after a failure to connect in which no further attempt is made. A process that restarts
	// takes about a second.
	failedPause = 100 * time.Millisecond
	// retireTime is the time that calls in progress get on a connection which may be silent. Statements take less.
	retireTime = 5 * time.Second
)

// ErrNotSent is returned by Peers.Call if the request was not sent.
var ErrNotSent = errors.New("the proxy is not reached")

// errEnded says that a connection ended before the reply.
var errEnded = errors.New("the connection ended")

// Peers calls other proxies, over one connection to each. It is safe for concurrent use.
type Peers struct {
	logger *slog.Logger

	mutex sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the connection to one proxy. Its mutex is held while a connection is opened, so that calls wait for it.
type peer struct {
	mutex   sync.Mutex
	present *connection
	// failed is the time of the last failure to connect.
	failed time.Time
}

// connection carries calls to a proxy.
type connection struct {
	wire *wire

	mutex   sync.Mutex
	number  uint64
	waiting map[uint64]chan []byte
	ended   bool
}

// NewPeers returns a Peers, which connects to a proxy at the first call.
func NewPeers(logger *slog.Logger) *Peers {
	return &Peers{logger: logger, peers: make(map[netip.AddrPort]*peer)}
}

// Call sends a request to another proxy and waits for the reply. It fails with ErrNotSent if the proxy can't have got
// the request.
func (p *Peers) Call(ctx context.Context, to netip.AddrPort, request, reply any) error {
	p.mutex.Lock()
	at := p.peers[to]

	if at == nil {
		at = &peer{}
		p.peers[to] = at
	}
	p.mutex.Unlock()

	used, err := at.connect(ctx, to)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}

	content, err := used.call(ctx, request)

	switch {
	case errors.Is(err, ErrNotSent):
		at.drop(used)

		return err
	case err != nil:
		// The connection may be silent; what is in progress on it may yet end.
		at.drop(used)
		time.AfterFunc(retireTime, used.close)

		return eris.Wrapf(err, "call proxy %s", to)
	case len(content) == 0:
		return eris.Errorf("proxy %s could not read the request", to)
	}

	return eris.Wrap(cbor.Unmarshal(content, reply), "decode reply")
}

// Close ends all connections.
func (p *Peers) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for _, at := range p.peers {
		at.mutex.Lock()
		if at.present != nil {
			at.present.close()
		}
		at.mutex.Unlock()
	}
}

// connect returns the present connection, or opens one.
func (p *peer) connect(ctx context.Context, to netip.AddrPort) (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.present != nil && !p.present.over() {
		return p.present, nil
	}

	// Calls that have waited for an attempt which failed don't make one each.
	if time.Since(p.failed) < failedPause {
		return nil, eris.New("the last attempt to connect has just failed")
	}

	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		p.failed = time.Now()

		return nil, eris.Wrap(err, "connect")
	}

	p.present = &connection{wire: newWire(conn), waiting: make(map[uint64]chan []byte)}

	go p.present.read()

	return p.present, nil
}

// drop makes the next call open another connection.
func (p *peer) drop(failed *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.present == failed {
		p.present = nil
	}
}

func (c *connection) over() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.ended
}

func (c *connection) call(ctx context.Context, request any) ([]byte, error) {
	answered := make(chan []byte, 1)

	c.mutex.Lock()
	if c.ended {
		c.mutex.Unlock()

		return nil, errors.Join(ErrNotSent, errEnded)
	}

	c.number++
	number := c.number
	c.waiting[number] = answered
	c.mutex.Unlock()

	if err := c.wire.send(number, request); err != nil {
		c.close()

		return nil, err
	}

	select {
	case content, open := <-answered:
		if !open {
			return nil, errEnded
		}

		return content, nil
	case <-ctx.Done():
		c.mutex.Lock()
		delete(c.waiting, number)
		c.mutex.Unlock()

		return nil, eris.Wrap(ctx.Err(), "wait for the reply")
	}
}

// read passes replies to the calls that wait for them until the connection ends.
func (c *connection) read() {
	defer c.close()

	for {
		number, content, err := c.wire.receive()
		if err != nil {
			return // The calls that wait get to know it.
		}

		c.mutex.Lock()
		answered := c.waiting[number]
		delete(c.waiting, number)
		c.mutex.Unlock()

		if answered != nil {
			answered <- content
		}
	}
}

// close ends the connection and the calls that wait for a reply.
func (c *connection) close() {
	_ = c.wire.conn.Close() // The calls below get to know it.

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.ended = true

	for number, answered := range c.waiting {
		delete(c.waiting, number)
		close(answered)
	}
}
