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

// Want describes the connection that a request would like. Any connection of the pool serves it; one that fits
// needs no round trip to change its state.
type Want struct {
	// Settings is the key of the session's parameters, ReadOnly whether the request only reads.
	Settings string
	ReadOnly bool
	// Term is the term of the primary for writes. A connection that was opened in another term is not used.
	Term position.Term
}

// Pool keeps the connections to one database of one server. It is safe for concurrent use.
type Pool struct {
	options Options
	acquire func(ctx context.Context, urgent bool) (Permit, error)

	mu      sync.Mutex
	idle    []*Conn // The last one was used most recently.
	waiters []*waiter
	open    int
	closed  bool
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready  chan *Conn
	urgent bool
	want   Want
}

// NewPool returns an empty pool. The function acquire waits for the permit to open one connection.
func NewPool(options Options, acquire func(ctx context.Context, urgent bool) (Permit, error)) *Pool {
	return &Pool{options: options, acquire: acquire}
}

// TryGet returns an idle connection, or nil. The connection belongs to the caller until Put.
func (p *Pool) TryGet(want Want) *Conn {
	for {
		p.mu.Lock()
		conn := p.take(want)
		p.mu.Unlock()

		if conn == nil {
			return nil
		}

		if conn.Alive() {
			return conn
		}

		p.discard(conn)
	}
}

// Get returns an idle connection, or waits for one to be returned or opened, whichever is first.
func (p *Pool) Get(ctx context.Context, want Want, urgent bool) (*Conn, error) {
	if conn := p.TryGet(want); conn != nil {
		return conn, nil
	}

	self := &waiter{ready: make(chan *Conn, 1), urgent: urgent, want: want}

	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()

		return nil, errLeft(p.options)
	}

	p.waiters = append(p.waiters, self)
	p.mu.Unlock()

	permitted, cancel := context.WithCancel(ctx)
	defer cancel()

	failed := make(chan error, 1)

	go func() {
		if err := p.openFor(permitted, self); err != nil {
			failed <- err
		}
	}()

	var err error

	select {
	case conn := <-self.ready:
		if conn == nil {
			return nil, errLeft(p.options)
		}

		return conn, nil
	case err = <-failed:
	case <-ctx.Done():
		err = ctx.Err()
	}

	if !p.leave(self) {
		// A connection was handed over in the meantime.
		if conn := <-self.ready; conn != nil {
			return conn, nil
		}

		return nil, errLeft(p.options)
	}

	return nil, err
}

// openFor opens a connection for one waiter. The wait for the permit ends with the waiter's; a connection that is
// being opened is finished in any case and serves whoever is next.
func (p *Pool) openFor(ctx context.Context, self *waiter) error {
	permit, err := p.acquire(ctx, self.urgent)
	if err != nil {
		return err
	}

	conn, err := Open(context.WithoutCancel(ctx), p.options)
	if err != nil {
		permit.Release()

		return err
	}

	conn.permit = permit
	conn.Term = self.want.Term

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

// Put returns a connection. One that can't be used again is closed.
func (p *Pool) Put(conn *Conn) {
	if !conn.Reusable() {
		p.discard(conn)

		return
	}

	conn.since = time.Now()

	p.mu.Lock()

	if p.closed {
		p.mu.Unlock()
		p.discard(conn)

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

// Reap closes the idle connections that a function selects by the time since they were last used.
func (p *Pool) Reap(now time.Time, drop func(conn *Conn, idle time.Duration) bool) {
	p.mu.Lock()

	var dropped []*Conn

	p.idle = slices.DeleteFunc(p.idle, func(conn *Conn) bool {
		if !drop(conn, now.Sub(conn.since)) {
			return false
		}

		dropped = append(dropped, conn)

		return true
	})
	p.mu.Unlock()

	for _, conn := range dropped {
		p.discard(conn)
	}
}

// Shrink closes up to a number of idle connections, those that were unused for longest first, and returns how many.
func (p *Pool) Shrink(count int) int {
	p.mu.Lock()
	count = min(count, len(p.idle))
	dropped := slices.Clone(p.idle[:count])
	p.idle = slices.Delete(p.idle, 0, count)
	p.mu.Unlock()

	for _, conn := range dropped {
		p.discard(conn)
	}

	return count
}

// Close closes the idle connections now and the others when they are returned. Waiting requests fail.
func (p *Pool) Close() {
	p.mu.Lock()
	idle, waiters := p.idle, p.waiters
	p.idle, p.waiters, p.closed = nil, nil, true
	p.mu.Unlock()

	for _, conn := range idle {
		p.discard(conn)
	}

	for _, waiting := range waiters {
		waiting.ready <- nil
	}
}

// Size returns the number of open connections, and how many of them are idle.
func (p *Pool) Size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.open, len(p.idle)
}

// Waiting returns the number of requests that wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.waiters)
}

// Idle returns the time since a connection was last used.
func (c *Conn) Idle(now time.Time) time.Duration {
	return now.Sub(c.since)
}

// take removes the idle connection that fits best. It runs under the lock.
func (p *Pool) take(want Want) *Conn {
	best, score := -1, -1

	for at := len(p.idle) - 1; at >= 0; at-- {
		conn := p.idle[at]
		if conn.Term != want.Term {
			continue
		}

		if fit := fits(conn, want); fit > score {
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

func fits(conn *Conn, want Want) int {
	const (
		sameSettings = 4
		noSettings   = 2
		sameMode     = 1
	)

	score := 0

	switch {
	case conn.Dirty:
	case conn.Settings == want.Settings:
		score += sameSettings
	case conn.Settings == "":
		score += noSettings
	}

	if conn.ReadOnly == want.ReadOnly {
		score += sameMode
	}

	return score
}

// nextWaiter removes and returns the waiter to serve with a connection: urgent ones first, then in order of arrival.
// It runs under the lock.
func (p *Pool) nextWaiter(conn *Conn) *waiter {
	found := -1

	for at, waiting := range p.waiters {
		if waiting.want.Term != conn.Term {
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

// leave takes a waiter out of the queue. It reports false if the waiter has been served.
func (p *Pool) leave(self *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	at := slices.Index(p.waiters, self)
	if at < 0 {
		return false
	}

	p.waiters = slices.Delete(p.waiters, at, at+1)

	return true
}

func (p *Pool) discard(conn *Conn) {
	var kept Permit

	working := conn.Status != statusIdle && p.options.Abandoned != nil
	if working {
		kept, conn.permit = conn.permit, nil
	}

	conn.Close()

	p.mu.Lock()
	p.open--
	p.mu.Unlock()

	if working {
		p.options.Abandoned(conn, kept)
	}
}

func errLeft(options Options) error {
	return result.New(result.ServerUnreachable, "backend server %s is no longer used", options.Address)
}
