package gateway

import (
	"slices"
	"sync"
	"time"

	"almondgrade/core/result"
)

const (
	// limitBackoff is the time for which a pool opens no connection after the server refused one for its limit.
	limitBackoff = 500 * time.Millisecond
	// surplusTime is the time after which an unused connection beyond the proxy's share is closed, so that other
	// proxies can open one.
	surplusTime = time.Second
	// waitingLimit bounds the statements that wait for a connection to one server. A member works off as many within
	// a statement's timeout.
	waitingLimit = 256
	// checkAfter is the time without use after which a connection is checked before it is used: a server that was
	// restarted has closed it.
	checkAfter = 200 * time.Millisecond
)

// waiter is a statement that waits for a connection. Its channel gets a connection, or nil if one may be opened.
type waiter struct {
	priority int
	ready    chan *conn
}

// pool holds the connections to one server.
type pool struct {
	server *server

	mutex sync.Mutex
	idle  []*conn
	// open counts all connections, including those that are being opened.
	open    int
	waiting []*waiter
	// share is the number of connections that the proxy may always hold, limit the most that it tries to open.
	share, limit int
	// refused is the time at which the server last refused a connection for its limit.
	refused time.Time
	closed  bool
}

// size sets the limits from the operator's bound for the server and the number of proxies.
func (p *pool) size(connections, proxies int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	// Control keeps one connection and needs a second one when the first goes silent.
	const reserve = 3

	p.limit = max(1, connections-reserve)
	p.share = max(1, p.limit/max(1, proxies))
}

// get returns a connection, opens one, or waits for one. A lower priority number goes first.
func (p *pool) get(deadline time.Time, priority int, session uint64, values map[string]string) (*conn, error) {
	for {
		found, waits, err := p.take(priority, session, values)
		if err != nil {
			return nil, err
		}

		if found == nil && waits != nil {
			if found, err = p.await(waits, deadline); err != nil {
				return nil, err
			}
		}

		if found == nil {
			return p.dial(deadline)
		}

		if now := time.Now(); now.Sub(found.used) < checkAfter || found.backend.Alive() {
			return found, nil
		}

		p.discard(found)
	}
}

// take returns an idle connection, or a waiter, or neither if the caller is to open a connection.
func (p *pool) take(priority int, session uint64, values map[string]string) (*conn, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed {
		return nil, nil, result.New(result.ServerUnreachable, "server %s is gone", p.server.id)
	}

	if len(p.idle) > 0 {
		return p.pick(session, values), nil, nil
	}

	if p.open < p.limit && (p.open < p.share || time.Since(p.refused) > limitBackoff) {
		p.open++

		return nil, nil, nil
	}

	if p.open == 0 {
		return nil, nil, result.New(result.NoPermit, "server %s has no connection to spare", p.server.id)
	}

	if len(p.waiting) >= waitingLimit {
		return nil, nil, result.New(result.QueueFull, "%d statements wait for server %s", len(p.waiting), p.server.id)
	}

	waits := &waiter{priority: priority, ready: make(chan *conn, 1)}
	at := len(p.waiting)

	for at > 0 && p.waiting[at-1].priority > priority {
		at--
	}

	p.waiting = slices.Insert(p.waiting, at, waits)

	return nil, waits, nil
}

// pick takes the idle connection that needs the least setup. The mutex is held.
func (p *pool) pick(session uint64, values map[string]string) *conn {
	best, rank := len(p.idle)-1, -1

	for i, candidate := range slices.Backward(p.idle) {
		ranked := 0

		switch {
		case candidate.session == session && candidate.matches(values):
			ranked = 3
		case candidate.matches(values):
			ranked = 2
		case len(candidate.values) == 0:
			ranked = 1
		}

		if ranked > rank {
			best, rank = i, ranked
		}
	}

	picked := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)

	return picked
}

// await waits for a connection. It returns nil without an error if the caller is to open one.
func (p *pool) await(waits *waiter, deadline time.Time) (*conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()

	select {
	case given, isOpen := <-waits.ready:
		if !isOpen {
			return nil, result.New(result.ServerUnreachable, "server %s is gone", p.server.id)
		}

		return given, nil
	case <-timer.C:
	}

	p.mutex.Lock()
	at := slices.Index(p.waiting, waits)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
	p.mutex.Unlock()

	if at < 0 {
		// The connection was handed over at the same moment.
		if given, isOpen := <-waits.ready; isOpen {
			return given, nil
		}
	}

	return nil, result.New(result.DeadlinePassed, "no connection to server %s was free in time", p.server.id)
}

// dial opens a connection that take has counted.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	opened, err := p.server.open(deadline)
	if err == nil {
		return opened, nil
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open--

	if outcomeOf(err) == ConnectionLimit {
		p.refused = time.Now()
		// A waiter must not wait for a connection that nobody holds.
		if p.open == 0 {
			p.failWaiting()
		}
	} else {
		p.wakeOne()
	}

	return nil, err
}

// put returns a connection for use by others.
func (p *pool) put(returned *conn) {
	if returned.broken {
		p.discard(returned)

		return
	}

	returned.used = time.Now()

	p.mutex.Lock()
	defer p.mutex.Unlock()

	switch {
	case p.closed:
		p.open--

		returned.backend.Close()
	case len(p.waiting) > 0:
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		next.ready <- returned
	default:
		p.idle = append(p.idle, returned)
	}
}

// discard closes a connection.
func (p *pool) discard(broken *conn) {
	broken.backend.Close()

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open--
	p.wakeOne()
}

// wakeOne lets the first waiter open a connection. The mutex is held.
func (p *pool) wakeOne() {
	if len(p.waiting) == 0 || p.closed {
		return
	}

	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.open++
	next.ready <- nil
}

// failWaiting ends the waiting of all. The mutex is held.
func (p *pool) failWaiting() {
	for _, waits := range p.waiting {
		close(waits.ready)
	}

	p.waiting = nil
}

// suspect closes the idle connections, because one of them went silent.
func (p *pool) suspect() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mutex.Unlock()

	for _, one := range idle {
		one.backend.Close()
	}
}

// trim closes connections beyond the share that were not used for some time.
func (p *pool) trim(now time.Time) {
	var surplus []*conn

	p.mutex.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(one *conn) bool {
		if p.open <= p.share || now.Sub(one.used) < surplusTime {
			return false
		}

		p.open--
		surplus = append(surplus, one)

		return true
	})
	p.mutex.Unlock()

	for _, one := range surplus {
		one.backend.Close()
	}
}

// close ends the pool. Connections in use are closed when they are returned.
func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.failWaiting()
	p.mutex.Unlock()

	p.suspect()
}
