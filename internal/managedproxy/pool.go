package managedproxy

import (
	"slices"
	"sync"
	"time"

	"almondgrade/core/result"
	"almondgrade/core/share"
)

const (
	// refusedPause is the time for which a pool opens no connection after the server refused one for its limit. It
	// doubles up to refusedPauseMost. Connections of a VM that lost power stay open at a server for 3 s.
	refusedPause     = 40 * time.Millisecond
	refusedPauseMost = 320 * time.Millisecond
	// idleTime is the time after which an unused connection is closed, so that others can open one.
	idleTime = 20 * time.Second
	// fairFactor is the number of statements for each slot that all proxies together may have at a server without room.
	// With fewer, slots would be free between two statements.
	fairFactor = 3
	// strictFactor is fairFactor for holders, which have no more statements at a server with room either: with four, the
	// last one waits for as long as three others take.
	strictFactor = 4
	// strictLeast is the least number of statements that a holder may have at a server at any time. With one, each
	// statement of a transaction would wait for another caller's.
	strictLeast = 2
	// waitingLimit bounds the statements that wait for a connection to one server. A server works off as many within
	// a statement's timeout.
	waitingLimit = 128
	// holdWeight is the weight of one use in the moving mean, as a divisor.
	holdWeight = 16
	// checkAfter is the time without use after which a connection is checked before it is used: a server that was
	// restarted has closed it.
	checkAfter = 200 * time.Millisecond
)

// waiter is a statement that waits for a connection. Its channel gets a connection, or nil if it is to try again.
type waiter struct {
	priority int
	// start is the time by which the statement has to start.
	start time.Time
	ready chan *conn
}

// before reports whether a statement of a priority that has to start by a time goes before the waiter.
func (w *waiter) before(priority int, start time.Time) bool {
	if priority != w.priority {
		return priority < w.priority
	}

	return start.Before(w.start)
}

// pool holds the connections to one server, and the statements that wait for one.
//
// The load that it answers: a primary that serves all reads of its group because its replicas are far behind, with half
// as many slots as the load needs. Urgent statements go first, and a statement that could not start in time is refused
// at once, so that those that are accepted are in time.
type pool struct {
	server *server

	mutex sync.Mutex
	idle  []*conn
	// open counts all connections, including those that are being opened.
	open int
	// opening counts those that are being opened.
	opening int64
	waiting []*waiter
	// limit is the number of connections that the proxy may hold. Until control has granted one it is an equal part. It is
	// zero while other proxies hold the connections to the server.
	limit   int
	granted bool
	// wanted is the greatest number of connections that could have been used at one moment since the last report.
	wanted int
	// fair is the number of statements that the proxy may have at the server while that has no room for more.
	fair int64
	// hold is the moving mean of the time for which a connection is in use.
	hold time.Duration
	// pause is the present pause after a refusal, until its end.
	pause  time.Duration
	until  time.Time
	closed bool
	// strict keeps the number of statements at the server below fair even while it has room. They wait here by priority;
	// at the server they would wait in the order of arrival.
	strict bool
}

// divide sets the limit to an equal part of what the server accepts, until control grants another one. With strict, the
// proxy never has more than its fair part of statements at the server.
func (p *pool) divide(connections, proxies int, strict bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	least, factor := int64(1), fairFactor
	if strict {
		least, factor = strictLeast, strictFactor
	}

	p.strict = strict
	p.fair = max(least, int64(factor*p.server.info.Load().Slots/max(1, proxies)))

	if !p.granted {
		p.limit = max(1, (connections-share.ReservedConnections)/max(1, proxies))
	}
}

// grant sets the limit that control has granted.
func (p *pool) grant(limit int) {
	p.mutex.Lock()

	if p.retired() {
		p.mutex.Unlock()

		return
	}

	p.limit, p.granted = max(1, limit), true
	p.wake()
	surplus := p.surplus(func(*conn) bool { return p.open > p.limit })
	p.mutex.Unlock()

	closeAll(surplus)
}

// retire makes the pool hold no connections, because other proxies do. Those in use are closed when they are returned.
func (p *pool) retire() {
	p.mutex.Lock()
	p.limit, p.granted = 0, false
	p.wake()
	p.mutex.Unlock()

	p.empty()
}

// retired reports whether other proxies hold the connections to the server. The mutex is held.
func (p *pool) retired() bool {
	return p.limit == 0
}

// demand returns what the pool holds and wants, and begins a new period.
func (p *pool) demand() share.Demand {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	demand := share.Demand{Open: p.open, Wanted: max(p.wanted, p.used())}
	p.wanted = p.used()

	return demand
}

// used returns the number of connections that are in use or waited for. The mutex is held.
func (p *pool) used() int {
	return p.open - len(p.idle) + len(p.waiting)
}

// get returns a connection, opens one, or waits for one until the deadline. A lower priority number goes first, and of
// equal ones the earlier deadline. It fails at once if none is expected to be free in time.
func (p *pool) get(deadline time.Time, priority int, session uint64, values map[string]string) (*conn, error) {
	for {
		found, waits, err := p.take(deadline, priority, session, values)
		if err != nil {
			return nil, err
		}

		if waits != nil {
			if found, err = p.await(waits, deadline); err != nil {
				return nil, err
			}

			if found == nil {
				continue
			}
		}

		if found == nil {
			opened, err := p.dial(deadline)
			if outcomeOf(err) == ConnectionLimit && time.Now().Before(deadline) {
				continue
			}

			return opened, err
		}

		if now := time.Now(); now.Sub(found.used) < checkAfter || found.backend.Alive() {
			return found, nil
		}

		p.discard(found)
	}
}

// take returns an idle connection, or a waiter, or neither if the caller is to open a connection.
func (p *pool) take(deadline time.Time, priority int, session uint64, values map[string]string) (*conn, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	defer func() { p.wanted = max(p.wanted, p.used()) }()

	if p.closed {
		return nil, nil, result.New(result.ServerUnreachable, "server %s is gone", p.server.id)
	}

	if p.retired() {
		return nil, nil, result.New(result.ServerUnreachable, "other proxies hold the connections to server %s", p.server.id)
	}

	now := time.Now()

	if len(p.idle) > 0 && p.admits(now) {
		return p.pick(session, values), nil, nil
	}

	if len(p.idle) == 0 && p.opens(now) {
		p.open++
		p.opening++

		return nil, nil, nil
	}

	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].before(priority, deadline) {
		at--
	}

	if at >= waitingLimit {
		return nil, nil, result.New(result.QueueFull, "%d statements wait for server %s", at, p.server.id)
	}

	if wait := p.wait(at); now.Add(wait).After(deadline) {
		return nil, nil, result.New(result.DeadlinePassed, "server %s has too much work; the expected wait is %s",
			p.server.id, wait.Round(time.Millisecond))
	}

	waits := &waiter{priority: priority, start: deadline, ready: make(chan *conn, 1)}
	p.waiting = slices.Insert(p.waiting, at, waits)

	return nil, waits, nil
}

// wait returns the time for which a statement is expected to wait behind a number of others. The mutex is held.
func (p *pool) wait(before int) time.Duration {
	expected := p.hold * time.Duration(before+1) / time.Duration(max(1, p.open))
	if p.strict {
		expected = max(expected, p.server.mean()*time.Duration(before+1)/time.Duration(p.fair))
	}

	return expected
}

// opens reports whether another connection may be opened now. Each takes a slot of the server for as long as a statement,
// so that after a restart of all proxies, connections that are opened all at once keep statements from running: on
// kalasag-reg-grown, 112 to a server with two slots. The mutex is held.
func (p *pool) opens(now time.Time) bool {
	switch {
	case p.open >= p.limit || now.Before(p.until):
		return false
	case p.open == 0:
		return true
	}

	// A server without room would take longer to open a connection than to free one that is open.
	return p.opening < max(1, p.fair) && !p.server.crowded(now) && (!p.strict || p.admits(now))
}

// admits reports whether one more statement may go to the server now. The mutex is held.
func (p *pool) admits(now time.Time) bool {
	return p.server.running.Load()+p.opening < p.fair || !p.strict && !p.server.crowded(now)
}

// nudge hands idle connections to waiters after a statement has ended.
func (p *pool) nudge() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for now := time.Now(); len(p.waiting) > 0 && len(p.idle) > 0 && p.admits(now); {
		last := len(p.idle) - 1
		given := p.idle[last]
		p.idle = p.idle[:last]
		given.taken = now
		p.next().ready <- given

		if p.strict || p.server.crowded(now) {
			return // The waiter's statement is not counted yet.
		}
	}

	p.openNext(time.Now())
}

// openNext lets the first waiter open a connection, if one may be opened. The mutex is held.
func (p *pool) openNext(now time.Time) {
	if len(p.waiting) > 0 && len(p.idle) == 0 && p.opens(now) {
		p.next().ready <- nil
	}
}

// pick takes the idle connection that needs the least setup, of those the one used last. The mutex is held.
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
	picked.taken = time.Now()
	p.idle = slices.Delete(p.idle, best, best+1)

	return picked
}

// await waits for a connection. It returns nil without an error if the statement is to try again.
func (p *pool) await(waits *waiter, deadline time.Time) (*conn, error) {
	until := deadline

	p.mutex.Lock()
	if p.open < p.limit || len(p.idle) > 0 {
		// Only a pause keeps the statement from opening a connection.
		until = minTime(until, laterTime(p.until, time.Now().Add(crowdedTime)))
	}
	p.mutex.Unlock()

	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()

	select {
	case given := <-waits.ready:
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
		// Something was handed over at the same moment.
		return <-waits.ready, nil
	}

	if until.Before(deadline) {
		return nil, nil
	}

	return nil, result.New(result.DeadlinePassed, "no connection to server %s was free in time", p.server.id)
}

// dial opens a connection that take has counted.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	opened, err := p.server.open(deadline)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.opening--

	if err == nil {
		p.pause, p.until = 0, time.Time{}
		opened.taken = time.Now()
		p.openNext(opened.taken)

		return opened, nil
	}

	p.open--

	if outcomeOf(err) == ConnectionLimit {
		p.pause = min(max(2*p.pause, refusedPause), refusedPauseMost)
		p.until = time.Now().Add(p.pause)
	} else {
		p.wake()
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

	p.hold += (returned.used.Sub(returned.taken) - p.hold) / holdWeight

	switch {
	case p.closed || p.open > p.limit:
		p.open--

		returned.backend.Close()
	case len(p.waiting) > 0 && p.admits(returned.used):
		returned.taken = returned.used
		p.next().ready <- returned
	default:
		p.idle = append(p.idle, returned)
	}
}

// next takes the first waiter. The mutex is held.
func (p *pool) next() *waiter {
	first := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)

	return first
}

// discard closes a connection.
func (p *pool) discard(broken *conn) {
	broken.backend.Close()

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open--
	p.wake()
}

// wake lets as many waiters try again as may open a connection, or all if none ever will. The mutex is held.
func (p *pool) wake() {
	for room := p.limit - p.open; (room > 0 || p.closed || p.retired()) && len(p.waiting) > 0; room-- {
		p.next().ready <- nil
	}
}

// surplus takes out the idle connections for which the condition holds. The mutex is held.
func (p *pool) surplus(condition func(*conn) bool) []*conn {
	var surplus []*conn

	p.idle = slices.DeleteFunc(p.idle, func(one *conn) bool {
		if !condition(one) {
			return false
		}

		p.open--
		surplus = append(surplus, one)

		return true
	})

	return surplus
}

// empty closes the idle connections: one of them went silent, or the pool holds none any more.
func (p *pool) empty() {
	p.mutex.Lock()
	idle := p.surplus(func(*conn) bool { return true })
	p.mutex.Unlock()

	closeAll(idle)
}

// reserve counts a first connection that warm is to open, if there is none and nothing speaks against it.
func (p *pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := time.Now()
	if p.open > 0 || p.closed || !p.opens(now) || p.server.unreachable(now) {
		return false
	}

	p.open++
	p.opening++

	return true
}

// warm opens the connection that reserve has counted. Its failure is noted by the server.
func (p *pool) warm(deadline time.Time) {
	if opened, err := p.dial(deadline); err == nil {
		p.put(opened)
	}
}

// trim closes connections that were not used for a long time, but for one.
func (p *pool) trim(now time.Time) {
	p.mutex.Lock()
	unused := p.surplus(func(one *conn) bool { return p.open > 1 && now.Sub(one.used) > idleTime })
	p.mutex.Unlock()

	closeAll(unused)
}

// close ends the pool. Connections in use are closed when they are returned.
func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.wake()
	p.mutex.Unlock()

	p.empty()
}

func closeAll(connections []*conn) {
	for _, one := range connections {
		one.backend.Close()
	}
}
