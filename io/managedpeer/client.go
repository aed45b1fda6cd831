package managedpeer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

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

// CloseTimeout bounds Client.Close and Server.Close. Replies take milliseconds; a peer that does not answer, or accepts no
// data, must not delay the end of the process. Both fit into the 0.9 s that the drain leaves of a shutdown grace of 6 s.
const CloseTimeout = 300 * time.Millisecond

// ErrNotSent is returned by Client.Call if the request was not sent.
var ErrNotSent = errors.New("the request could not be sent to the proxy")

// ErrStopping is returned together with ErrNotSent if the proxy said that it is stopping and takes no more calls.
var ErrStopping = errors.New("the proxy is stopping")

// ErrUnsendable is returned together with ErrNotSent if no proxy could be sent the request, because it is too large.
var ErrUnsendable = errors.New("the request can't be sent to any proxy")

// errClosed means that the client was closed.
var errClosed = errors.New("this proxy is stopping")

// errConnectionEnded means that the connection ended before the reply arrived.
var errConnectionEnded = errors.New("the connection ended")

// Client calls other proxies over one connection to each. It is safe for concurrent use.
type Client struct {
	logger *slog.Logger

	// calls are the calls in progress. None begins once closed is true.
	calls sync.WaitGroup

	mutex  sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
}

// peer holds the current connection to one proxy. Its mutex is held while a connection is opened, so that other calls
// wait for it.
type peer struct {
	mutex   sync.Mutex
	current *connection
	// failedAt is the time of the last failed attempt to connect, or at which the proxy said that it is stopping, and failure
	// the reason.
	failedAt time.Time
	failure  error
}

// connection multiplexes calls to one proxy.
type connection struct {
	framed *framedConn

	mutex      sync.Mutex
	lastCallID uint64
	pending    map[uint64]chan callResult
	ended      bool
	// stoppingSince is the time at which the server said that it takes no more calls, or zero. The connection lasts until the
	// ones before are answered.
	stoppingSince time.Time
}

// callResult is the content of a reply, or the reason why there is none.
type callResult struct {
	content []byte
	err     error
}

// NewClient returns a client, which connects to a proxy when it first calls it.
func NewClient(logger *slog.Logger) *Client {
	return &Client{logger: logger, peers: make(map[netip.AddrPort]*peer)}
}

// Call sends a request to another proxy and waits for the reply. It fails with ErrNotSent if the proxy can't have
// received the request.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, request, reply any) error {
	target, err := c.begin(to)
	if err != nil {
		return err
	}

	defer c.calls.Done()

	conn, err := target.connect(ctx, to)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}

	content, err := conn.call(ctx, request)

	switch {
	case errors.Is(err, ErrUnsendable):
		return err
	case errors.Is(err, ErrNotSent):
		target.detach(conn)

		return err
	case err != nil:
		// The connection may be lost without notice, but other calls in progress on it may still be answered.
		target.detach(conn)
		time.AfterFunc(retirePeriod, conn.close)

		return eris.Wrapf(err, "call proxy %s", to)
	case len(content) == 0:
		return eris.Errorf("proxy %s could not decode the request, or not encode the reply", to)
	}

	return eris.Wrap(decodeMode.Unmarshal(content, reply), "decode reply")
}

// begin counts a call and returns the peer that it goes to.
func (c *Client) begin(to netip.AddrPort) (*peer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return nil, errors.Join(ErrNotSent, errClosed)
	}

	c.calls.Add(1)

	target := c.peers[to]
	if target == nil {
		target = &peer{}
		c.peers[to] = target
	}

	return target, nil
}

// Close makes further calls fail with ErrNotSent, waits for those in progress, CloseTimeout at most, and closes all
// connections.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()

	answered := make(chan struct{})

	go func() {
		defer close(answered)

		c.calls.Wait()
	}()

	limit := time.NewTimer(CloseTimeout)
	defer limit.Stop()

	select {
	case <-answered:
	case <-limit.C:
		c.logger.Warn("calls to other proxies are cut off, because they were not answered in time")
	}

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

	if p.current != nil {
		stoppingSince, ended := p.current.status()

		switch {
		case !stoppingSince.IsZero():
			p.current, p.failedAt, p.failure = nil, stoppingSince, errNotAccepted
		case !ended:
			return p.current, nil
		}
	}

	// Calls that waited for a failed attempt must not each make an attempt of their own.
	if time.Since(p.failedAt) < reconnectPause {
		return nil, eris.Wrap(p.failure, "the last attempt failed a moment ago")
	}

	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		p.failedAt, p.failure = time.Now(), err

		return nil, eris.Wrap(err, "connect")
	}

	p.current = &connection{framed: newFramedConn(conn), lastCallID: knowsStop, pending: make(map[uint64]chan callResult)}

	go p.current.dispatchReplies()

	return p.current, nil
}

// detach makes the next call open a new connection. One to a stopping proxy stays for the pause before that.
func (p *peer) detach(failed *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if stoppingSince, _ := failed.status(); p.current == failed && stoppingSince.IsZero() {
		p.current = nil
	}
}

// status returns the time since which the server takes no more calls, or zero, and whether the connection has ended.
func (c *connection) status() (stoppingSince time.Time, ended bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.stoppingSince, c.ended
}

func (c *connection) call(ctx context.Context, request any) ([]byte, error) {
	callID, results, err := c.send(request)
	if err != nil {
		return nil, err
	}

	select {
	case result := <-results:
		return result.content, result.err
	case <-ctx.Done():
		c.mutex.Lock()
		delete(c.pending, callID)
		c.mutex.Unlock()

		return nil, eris.Wrap(ctx.Err(), "wait for the reply")
	}
}

// send sends a request. It assigns the call ID while it holds the lock for writing, so that IDs rise in the order of the
// requests on the wire.
func (c *connection) send(request any) (callID uint64, results <-chan callResult, err error) {
	frame, err := newFrame(request)
	if err != nil {
		return 0, nil, errors.Join(ErrNotSent, ErrUnsendable, err)
	}

	c.framed.mutex.Lock()
	defer c.framed.mutex.Unlock()

	callID, results, err = c.register()
	if err != nil {
		return 0, nil, err
	}

	if err := c.framed.write(callID, frame); err != nil {
		c.close()

		// The server may have said before that it does not accept the call.
		if result := <-results; errors.Is(result.err, ErrNotSent) {
			return 0, nil, result.err
		}

		return 0, nil, err
	}

	return callID, results, nil
}

// register returns the ID of a new call and the channel for its result.
func (c *connection) register() (callID uint64, results <-chan callResult, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	switch {
	case !c.stoppingSince.IsZero():
		return 0, nil, errNotAccepted
	case c.ended:
		return 0, nil, errors.Join(ErrNotSent, errConnectionEnded)
	}

	created := make(chan callResult, 1)
	c.lastCallID++
	c.pending[c.lastCallID] = created

	return c.lastCallID, created, nil
}

// errNotAccepted is the error of a call that a stopping proxy has not accepted.
var errNotAccepted = errors.Join(ErrNotSent, ErrStopping)

// dispatchReplies passes each reply to the call that waits for it, until the connection ends.
func (c *connection) dispatchReplies() {
	defer c.close()

	for {
		callID, content, err := c.framed.receive()
		if err != nil {
			return // Method close ends the calls that wait.
		}

		if callID == stopCallID {
			notice := new(stopNotice)
			if err := decodeMode.Unmarshal(content, notice); err != nil {
				return
			}

			c.stop(notice.LastCall)

			continue
		}

		c.mutex.Lock()
		results := c.pending[callID]
		delete(c.pending, callID)
		c.mutex.Unlock()

		if results != nil {
			results <- callResult{content: content}
		}
	}
}

// stop ends the calls after the last one that the server has accepted.
func (c *connection) stop(lastCall uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.stoppingSince = time.Now()

	for callID, results := range c.pending {
		if callID > lastCall {
			delete(c.pending, callID)

			results <- callResult{err: errNotAccepted}
		}
	}
}

// close closes the connection and ends the calls that wait for a reply.
func (c *connection) close() {
	_ = c.framed.conn.Close() // The pending calls are ended below.

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.ended = true

	for callID, results := range c.pending {
		delete(c.pending, callID)

		results <- callResult{err: errConnectionEnded}
	}
}
