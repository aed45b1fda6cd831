package managedcontrol

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/core/timer"
)

const (
	// replaceDelay is the bound of the random delay before the second connection in a row is opened to a process whose
	// connections fail. It doubles with each further failure.
	replaceDelay = 50 * time.Millisecond
	// replaceDelayIntervals bounds that delay as a multiple of the interval of calls: 0.3 s with up to 100 proxies, and
	// half of a lease with 500. Without it, 300 proxies open 250 connections a second to a leader that takes longer
	// than a call to answer, and each of them costs it more than the call.
	replaceDelayIntervals = 1.5
	// maxLateCalls is the number of calls in a row that a process may leave without an answer on a connection on which
	// its machine acknowledges what is sent. Such a process is short of time or frozen.
	maxLateCalls = 2
)

// connections holds one connection for each process. It is safe for concurrent use.
type connections struct {
	options ClientOptions

	mutex sync.Mutex
	peers map[netip.AddrPort]*peerConn
	// interval is the interval of calls, which grows with the number of proxies.
	interval time.Duration
}

// peerConn is the connection to one process.
type peerConn struct {
	open *grpc.ClientConn
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// lateCalls is the number of calls that had no answer in time since the last answer.
	lateCalls int
	// failures is the number of connections that have failed since the last answer, and retryAt the time before which
	// no other is opened.
	failures int
	retryAt  time.Time
}

func newConnections(options ClientOptions) *connections {
	return &connections{options: options, peers: make(map[netip.AddrPort]*peerConn), interval: DefaultInterval}
}

// get returns the connection to a process and creates it if there is none. After several failures it waits first.
func (c *connections) get(ctx context.Context, to netip.AddrPort) (*grpc.ClientConn, error) {
	for {
		connection, wait, err := c.openOrWait(to)
		if connection != nil || err != nil {
			return connection, err
		}

		if err := timer.Sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// openOrWait returns the connection to a process, or the time to wait before one may be opened.
func (c *connections) openOrWait(to netip.AddrPort) (connection *grpc.ClientConn, wait time.Duration, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	known := c.peers[to]
	if known == nil {
		known = &peerConn{}
		c.peers[to] = known
	}

	if known.open != nil {
		return known.open, 0, nil
	}

	if wait := time.Until(known.retryAt); wait > 0 {
		return nil, wait, nil
	}

	known.open, err = c.options.Dial(to)

	return known.open, 0, err
}

// recordAnswer records that a call was answered.
func (c *connections) recordAnswer(to netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if known := c.peers[to]; known != nil {
		known.answeredAt, known.failures, known.lateCalls = time.Now(), 0, 0
	}
}

// recordFailure closes a connection after a failed call if the connection may be the cause, so that a later call opens
// another one. It is not the cause if the caller gave up, if the process answered with an error or has answered another
// call since this one began, or if the process is late but its machine answers.
func (c *connections) recordFailure(to netip.AddrPort, failed *grpc.ClientConn, began time.Time, cause error) {
	code := status.Code(cause)
	if code != codes.DeadlineExceeded && code != codes.Unavailable {
		return
	}

	c.mutex.Lock()
	known := c.peers[to]
	replace := known != nil && known.open == failed && !known.answeredAt.After(began)

	if replace && code == codes.DeadlineExceeded && c.options.Acknowledged != nil && c.options.Acknowledged(to) {
		known.lateCalls++
		replace = known.lateCalls > maxLateCalls
	}

	if replace {
		known.open, known.lateCalls = nil, 0

		if known.failures++; known.failures > 1 {
			known.retryAt = time.Now().Add(rand.N(replaceDelayAfter(known.failures, c.interval)))
		}
	}
	c.mutex.Unlock()

	if replace {
		c.closeConnection(to, failed)
	}
}

// replaceDelayAfter returns the bound of the delay after a number of failed connections.
func replaceDelayAfter(failures int, interval time.Duration) time.Duration {
	return min(replaceDelay<<min(failures-2, 8), time.Duration(replaceDelayIntervals*float64(interval)))
}

// setInterval sets the interval of calls.
func (c *connections) setInterval(interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.interval = interval
}

func (c *connections) closeConnection(to netip.AddrPort, connection *grpc.ClientConn) {
	if err := connection.Close(); err != nil {
		c.options.Logger.Debug("connection did not close cleanly", "address", to, "error", err)
	}
}

func (c *connections) close() {
	c.mutex.Lock()
	peers := c.peers
	c.peers = make(map[netip.AddrPort]*peerConn)
	c.mutex.Unlock()

	for to, known := range peers {
		if known.open != nil {
			c.closeConnection(to, known.open)
		}
	}
}
