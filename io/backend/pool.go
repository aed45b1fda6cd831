package backend

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Permit is the right to keep one connection open.
type Permit interface {
	// Release returns the permit. It may be called more than once.
	Release()
}

// Criteria describes the connection that a request needs. Any connection of the right term can serve it; one that also
// matches in the other fields needs no round trip to change its session state.
type Criteria struct {
	// SettingsKey identifies the session's parameters. ReadOnly is true if the request only reads.
	SettingsKey string
	ReadOnly    bool
	// Term is the primary's term for writes. A connection that was opened in another term is not used.
	Term position.Term
}

// Pool keeps the connections to one database of one server. It is safe for concurrent use.
type Pool struct {
	options Options
	acquire func(ctx context.Context, urgent bool) (Permit, error)

	mu      sync.Mutex
	idle    []*Conn // In order of last use; the last one was used most recently.
	waiters []*waiter
	open    int
	closed  bool
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready    chan *Conn
	urgent   bool
	criteria Criteria
}

// NewPool returns an empty pool. The function acquire waits for a permit to open one connection.
func NewPool(options Options, acquire func(ctx context.Context, urgent bool) (Permit, error)) *Pool {
	return &Pool{options: options, acquire: acquire}
}

// TryGet returns an idle connection, or nil if there is none. The caller must return it with Put.
func (p *Pool) TryGet(want Criteria) *Conn {
	for {
		p.mu.Lock()
		conn := p.takeIdle(want)
		p.mu.Unlock()

		if conn == nil {
			return nil
		}

		if conn.Alive() {
			return conn
		}

		p.closeConn(conn)
	}
}

// Get returns an idle connection, or waits until one is returned or opened, whichever comes first.
func (p *Pool) Get(ctx context.Context, want Criteria, urgent bool) (*Conn, error) {
	if conn := p.TryGet(want); conn != nil {
		return conn, nil
	}

	self := &waiter{ready: make(chan *Conn, 1), urgent: urgent, criteria: want}

	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()

		return nil, errPoolClosed(p.options)
	}

	p.waiters = append(p.waiters, self)
	p.mu.Unlock()

	permitCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	failed := make(chan error, 1)

	go func() {
		if err := p.openFor(permitCtx, self); err != nil {
			failed <- err
		}
	}()

	var err error

	select {
	case conn := <-self.ready:
		if conn == nil {
			return nil, errPoolClosed(p.options)
		}

		return conn, nil
	case err = <-failed:
	case <-ctx.Done():
		err = ctx.Err()
	}

	if !p.removeWaiter(self) {
		// Another goroutine has removed the waiter meanwhile: it passes a connection, or nil if the pool was closed.
		if conn := <-self.ready; conn != nil {
			return conn, nil
		}

		return nil, errPoolClosed(p.options)
	}

	return nil, err
}

// openFor opens a connection for one waiter. The wait for the permit ends when the waiter gives up. Once the permit is
// acquired the connection is opened in any case, and is put into the pool if the waiter has gone.
func (p *Pool) openFor(ctx context.Context, self *waiter) error {
	permit, err := p.acquire(ctx, self.urgent)
	if err != nil {
		return err
	}

	conn, err := open(context.WithoutCancel(ctx), p.options)
	if err != nil {
		if conn != nil && p.options.OnAbandoned != nil {
			p.options.OnAbandoned(conn, permit)
		} else {
			permit.Release()
		}

		return err
	}

	conn.permit = permit
	conn.Term = self.criteria.Term

	p.mu.Lock()
	p.open++

	if at := slices.Index(p.waiters, self); at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
		p.mu.Unlock()
		self.ready <- conn

		return nil
	}

	p.mu.Unlock()
	p.Put(conn)

	return nil
}

// Put returns a connection to the pool. It closes a connection that is not reusable.
func (p *Pool) Put(conn *Conn) {
	if !conn.Reusable() {
		p.closeConn(conn)

		return
	}

	conn.lastUsed = time.Now()

	p.mu.Lock()

	if p.closed {
		p.mu.Unlock()
		p.closeConn(conn)

		return
	}

	if next := p.nextWaiter(conn); next != nil {
		p.mu.Unlock()
		next.ready <- conn

		return
	}

	p.idle = append(p.idle, conn)
	p.mu.Unlock()
}

// CloseIdleIf closes the idle connections that shouldClose selects. The function gets the time since a connection was
// last used.
func (p *Pool) CloseIdleIf(now time.Time, shouldClose func(conn *Conn, idle time.Duration) bool) {
	p.mu.Lock()

	var toClose []*Conn

	p.idle = slices.DeleteFunc(p.idle, func(conn *Conn) bool {
		if !shouldClose(conn, now.Sub(conn.lastUsed)) {
			return false
		}

		toClose = append(toClose, conn)

		return true
	})
	p.mu.Unlock()

	for _, conn := range toClose {
		p.closeConn(conn)
	}
}

// Shrink closes up to count idle connections, the least recently used first, and returns how many it closed.
func (p *Pool) Shrink(count int) int {
	p.mu.Lock()
	count = min(count, len(p.idle))
	toClose := slices.Clone(p.idle[:count])
	p.idle = slices.Delete(p.idle, 0, count)
	p.mu.Unlock()

	for _, conn := range toClose {
		p.closeConn(conn)
	}

	return count
}

// Close closes idle connections at once and the others when they are returned. Waiting requests fail.
func (p *Pool) Close() {
	p.mu.Lock()
	idle, waiters := p.idle, p.waiters
	p.idle, p.waiters, p.closed = nil, nil, true
	p.mu.Unlock()

	for _, conn := range idle {
		p.closeConn(conn)
	}

	for _, waiting := range waiters {
		waiting.ready <- nil
	}
}

// Size returns the number of open connections and how many of them are idle.
func (p *Pool) Size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.open, len(p.idle)
}

// WaiterCount returns the number of requests that wait for a connection.
func (p *Pool) WaiterCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.waiters)
}

// IdleTime returns the time since a connection was last used.
func (c *Conn) IdleTime(now time.Time) time.Duration {
	return now.Sub(c.lastUsed)
}

// takeIdle removes and returns the idle connection that matches best, or returns nil. The caller holds the lock.
func (p *Pool) takeIdle(want Criteria) *Conn {
	best, score := -1, -1

	for at := len(p.idle) - 1; at >= 0; at-- {
		conn := p.idle[at]
		if conn.Term != want.Term {
			continue
		}

		if fit := fitScore(conn, want); fit > score {
			best, score = at, fit
		}
	}

	if best < 0 {
		return nil
	}

	conn := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)

	return conn
}

func fitScore(conn *Conn, want Criteria) int {
	const (
		sameSettings = 4
		noSettings   = 2
		sameMode     = 1
	)

	score := 0

	switch {
	case conn.Dirty:
	case conn.SettingsKey == want.SettingsKey:
		score += sameSettings
	case conn.SettingsKey == "":
		score += noSettings
	}

	if conn.ReadOnly == want.ReadOnly {
		score += sameMode
	}

	return score
}

// nextWaiter removes and returns the waiter that gets a connection: urgent ones first, then in order of arrival. The
// caller holds the lock.
func (p *Pool) nextWaiter(conn *Conn) *waiter {
	found := -1

	for at, waiting := range p.waiters {
		if waiting.criteria.Term != conn.Term {
			continue
		}

		if waiting.urgent {
			found = at

			break
		}

		if found < 0 {
			found = at
		}
	}

	if found < 0 {
		return nil
	}

	next := p.waiters[found]
	p.waiters = slices.Delete(p.waiters, found, found+1)

	return next
}

// removeWaiter removes a waiter from the queue. It returns false if the waiter was already removed.
func (p *Pool) removeWaiter(self *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	at := slices.Index(p.waiters, self)
	if at < 0 {
		return false
	}

	p.waiters = slices.Delete(p.waiters, at, at+1)

	return true
}

// closeConn closes a connection. Its permit is released once the server has ended the connection, in the background if
// it is idle.
func (p *Pool) closeConn(conn *Conn) {
	abandon := p.options.OnAbandoned
	if abandon == nil {
		conn.Close()
		p.forget()

		return
	}

	var permit Permit

	permit, conn.permit = conn.permit, nil

	if conn.TxStatus != txStatusIdle {
		conn.Close()
		p.forget()
		abandon(conn, permit)

		return
	}

	conn.sendTerminate()
	p.forget()

	go func() {
		if conn.awaitEnd() {
			permit.Release()
		} else {
			abandon(conn, permit)
		}
	}()
}

// forget stops counting a connection as open.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.open--
}

func errPoolClosed(options Options) error {
	return result.New(result.ServerUnreachable, "backend server %s is no longer used", options.Address)
}
