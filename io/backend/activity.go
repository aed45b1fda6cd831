package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// terminateTimeout bounds one request to terminate connections.
	terminateTimeout = 3 * time.Second
	// abandonedPermitTimeout is the time for which the permit of an abandoned connection is held while requests to
	// terminate the connection fail. By then the server has lost its connections or noticed itself that they are dead.
	abandonedPermitTimeout = time.Minute
	// maxTerminatePause bounds the random pause between two requests. Several proxies may ask at once, and the server
	// keeps only one connection free for all of them.
	maxTerminatePause = time.Second
)

// ActivityChecker checks the activity of connections that may have lost their server without notice, and terminates
// abandoned ones. Each query uses a new connection without a permit: the connections in doubt may hold all permits, and
// the connections reserved for administration are meant for this. It is safe for concurrent use.
type ActivityChecker struct {
	options Options

	mu sync.Mutex
	// abandoned are the connections that the server still has to terminate.
	abandoned   []abandonedConn
	terminating bool
}

// abandonedConn is a connection that was closed while the server may still be running a statement of it. Its permit is
// held until the server has ended it, because until then it counts against the server's limit.
type abandonedConn struct {
	application string
	permit      Permit
	since       time.Time
}

// NewActivityChecker returns an ActivityChecker for the server of the options.
func NewActivityChecker(options Options) *ActivityChecker {
	return &ActivityChecker{options: options}
}

// monitoredConn counts the reads of a connection, which distinguishes a read that has waited for long from a new one. After
// an abort it returns no data.
type monitoredConn struct {
	net.Conn

	readCount atomic.Uint64
	isReading atomic.Bool
	aborted   atomic.Bool
}

// Read implements net.Conn.
func (m *monitoredConn) Read(buffer []byte) (int, error) {
	m.readCount.Add(1)
	m.isReading.Store(true)

	n, err := m.Conn.Read(buffer)

	m.isReading.Store(false)

	// Data that arrives before the goroutine that waits for it has noticed the deadline ends the wait without an error.
	if m.aborted.Load() {
		return 0, ErrAborted
	}

	return n, err
}

// ReadProgress returns the number of the current or last read and whether it is waiting for the server. A connection
// whose answer is not being read, because the caller is slow, is not waiting.
func (c *Conn) ReadProgress() (read uint64, waits bool) {
	return c.monitor.readCount.Load(), c.monitor.isReading.Load()
}

// HasActiveStatement asks the server whether it is running a statement of a connection. If it is not, an answer that
// has not arrived yet is lost or in transit.
func (a *ActivityChecker) HasActiveStatement(ctx context.Context, conn *Conn) (bool, error) {
	var active bool

	err := a.runOnNewConn(ctx, time.Now(), func(other *Conn, deadline time.Time) error {
		rows, _, err := other.Query(deadline, "SELECT count(*) FROM pg_stat_activity WHERE state = 'active' AND "+
			"application_name = "+quoteLiteral(conn.application))
		active = len(rows) == 1 && len(rows[0]) == 1 && rows[0][0] != "0"

		return err
	})

	return active, err
}

// Terminate makes the server terminate, in the background, a connection that was closed while the server may still be
// running a statement of it. The server may never notice the end by itself if the network has lost the connection's
// state, and an open transaction would keep its locks. The application name distinguishes the connection from a later
// one with the same process id.
//
// The permit of the connection is released once the server has ended it, or after abandonedPermitTimeout.
func (a *ActivityChecker) Terminate(conn *Conn, permit Permit) {
	a.enqueue(abandonedConn{application: conn.application, permit: permit, since: time.Now()})
}

func (a *ActivityChecker) enqueue(conn abandonedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.abandoned = append(a.abandoned, conn)

	if !a.terminating {
		a.terminating = true

		go a.terminateAbandoned()
	}
}

func (a *ActivityChecker) terminateAbandoned() {
	for {
		a.mu.Lock()
		batch := a.abandoned
		a.abandoned = nil
		a.terminating = len(batch) > 0
		a.mu.Unlock()

		if len(batch) == 0 {
			return
		}

		if err := a.terminateBatch(batch); err == nil {
			releasePermits(batch)

			continue
		}

		a.requeue(batch)
		time.Sleep(time.Duration(rand.Int64N(int64(maxTerminatePause))))
	}
}

// terminateBatch makes the server terminate connections.
func (a *ActivityChecker) terminateBatch(batch []abandonedConn) error {
	names := make([]string, len(batch))
	for at, conn := range batch {
		names[at] = quoteLiteral(conn.application)
	}

	ctx, cancel := context.WithTimeout(context.Background(), terminateTimeout)
	defer cancel()

	// A lost connection of this attempt counts as abandoned with the oldest one, so that the attempts end.
	oldest := slices.MinFunc(batch, func(one, other abandonedConn) int { return one.since.Compare(other.since) })

	return a.runOnNewConn(ctx, oldest.since, func(other *Conn, deadline time.Time) error {
		return other.Exec(deadline, "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE "+
			"application_name IN ("+strings.Join(names, ", ")+")")
	})
}

// requeue queues connections for another attempt and releases the permits of those that were abandoned too long ago.
func (a *ActivityChecker) requeue(batch []abandonedConn) {
	now := time.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	for _, conn := range batch {
		if now.Sub(conn.since) < abandonedPermitTimeout {
			a.abandoned = append(a.abandoned, conn)
		} else {
			releasePermits([]abandonedConn{conn})
		}
	}
}

func releasePermits(batch []abandonedConn) {
	for _, conn := range batch {
		if conn.permit != nil {
			conn.permit.Release()
		}
	}
}

// runOnNewConn runs a query over a new connection: an open one may be lost like the one that is in doubt. A new one that
// is lost as well is terminated like a connection that was abandoned at the given time.
func (a *ActivityChecker) runOnNewConn(ctx context.Context, since time.Time, run func(*Conn, time.Time) error) error {
	other, err := open(ctx, a.options)
	lost := err != nil && other != nil

	if err == nil {
		deadline, _ := ctx.Deadline()
		err = run(other, deadline)
		lost = other.TxStatus != txStatusIdle

		other.Close()
	}

	if lost {
		a.enqueue(abandonedConn{application: other.application, since: since})
	}

	return err
}

// CloseIdleBefore closes the idle connections that were last used before the given time.
func (p *Pool) CloseIdleBefore(before time.Time) {
	p.CloseIdleIf(before, func(_ *Conn, idle time.Duration) bool { return idle > 0 })
}
