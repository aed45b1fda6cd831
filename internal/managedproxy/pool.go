package managedproxy

import (
	"fmt"
	"sync"
	"time"

	"almondgrade/core/connections"
	"almondgrade/core/result"
	"almondgrade/core/share"
)

const (
	// connectBackoff is the time for which a pool opens no connection after the server refused one because of its
	// connection limit. It doubles up to maxConnectBackoff. Connections of a VM that lost power stay open at a server
	// for 3 s.
	connectBackoff    = 40 * time.Millisecond
	maxConnectBackoff = 320 * time.Millisecond
	// connIdleTimeout is the time after which an unused connection is closed, so that other proxies can open one.
	connIdleTimeout = 20 * time.Second
	// fairStatementsPerSlot is the number of statements for each slot that all proxies together may have at a busy
	// server. With fewer, slots would be idle between two statements.
	fairStatementsPerSlot = 3
	// strictStatementsPerSlot is fairStatementsPerSlot for holders, which keep to it even while the server is not
	// busy. With four, the last statement waits for as long as three others take.
	strictStatementsPerSlot = 4
	// minStrictStatements is the least number of statements that a holder may have at a server at any time. With one,
	// each statement of a transaction would wait for another caller's.
	minStrictStatements = 2
	// useTimeSmoothingDivisor divides the difference when one use of a connection enters the moving mean.
	useTimeSmoothingDivisor = 16
	// aliveCheckIdleTime is the time without use after which a connection is checked before its next use: a server
	// that was restarted has closed it.
	aliveCheckIdleTime = 200 * time.Millisecond
)

// connUser is the user of a connection.
type connUser struct {
	// customer is empty if the deployment does not distinguish customers, or for an anonymous caller.
	customer string
	// weight and priority are the customer's.
	weight    float64
	priority  int
	sessionID uint64
	variables map[string]string
	// caller tells whether the statement is still wanted; nil if it always is.
	caller waitingCaller
}

// grant is what a waiting statement has got. The connection is the one to use, or for connections.Replace the one to close.
type grant struct {
	kind connections.Kind
	conn *conn
}

// waiter is a statement that waits for a connection. Its channel receives one grant.
type waiter = connections.Waiter[chan grant]

// decision is a decision about a statement that needs a connection.
type decision = connections.Decision[*conn, chan grant]

// connPool holds the connections to one server and the queue of statements that wait for one. Package connections
// decides; connPool opens and closes connections, hands them out and locks.
//
// It is built for a primary that serves all reads of its group because the replicas lag far behind, with half of the
// slots that the load needs. High-priority statements go first, and a statement that can't start in time is refused at
// once, so that accepted statements finish in time.
type connPool struct {
	server *server

	mutex sync.Mutex
	// conns has the limit on the connections that the proxy may hold: an equal share until control has granted a
	// number, and zero while other proxies hold the connections to the server.
	conns   *connections.Pool[*conn, chan grant]
	granted bool
	// fairShare is the number of statements that the proxy may have at a busy server.
	fairShare int64
	// meanUseTime is the moving mean of the time for which a connection is in use.
	meanUseTime time.Duration
	// backoff is the current backoff after the server refused a connection.
	backoff time.Duration
	closed  bool
	// strict limits the statements at the server to fairShare even while it is not busy. They wait here by priority;
	// at the server they would wait in the order of arrival.
	strict bool
	counts poolCounts
}

// poolCounts counts what became of the statements' need of connections since the last report.
type poolCounts struct {
	// opened counts new connections, replaced those that were closed for another customer, and reused the statements
	// that found a connection.
	opened, replaced, reused int64
}

func newConnPool(of *server) *connPool {
	return &connPool{server: of, conns: connections.New[*conn, chan grant](1)}
}

// setEqualShare sets the limit to an equal share of the connections that the server accepts, until control grants a
// number. With strict, the proxy never has more than its fair share of statements at the server.
func (p *connPool) setEqualShare(maxConnections, proxies int, strict bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	minShare, factor := int64(1), fairStatementsPerSlot
	if strict {
		minShare, factor = minStrictStatements, strictStatementsPerSlot
	}

	p.strict = strict
	p.fairShare = max(minShare, int64(factor*p.server.info.Load().Slots/max(1, proxies)))
	p.server.setShare(p.fairShare, proxies)

	if !p.granted {
		p.conns.SetLimit(max(1, (maxConnections-share.ReservedConnections)/max(1, proxies)))
	}
}

// setGrant sets the limit to the number of connections that control has granted.
func (p *connPool) setGrant(limit int) {
	p.mutex.Lock()

	if p.retired() {
		p.mutex.Unlock()

		return
	}

	p.conns.SetLimit(max(1, limit))
	p.granted = true
	p.wakeWaiters(time.Now())
	surplus := p.conns.RemoveIdle(func(*conn) bool { return p.conns.Connections() > p.conns.Limit() })
	p.mutex.Unlock()

	closeAll(surplus)
}

// retire makes the pool hold no connections, because other proxies do. Connections in use are closed when they are
// returned.
func (p *connPool) retire() {
	p.mutex.Lock()
	p.conns.SetLimit(0)
	p.granted = false
	p.wakeWaiters(time.Now())
	p.mutex.Unlock()

	p.closeIdle()
}

// retired reports whether other proxies hold the connections to the server. The mutex is held.
func (p *connPool) retired() bool {
	return p.conns.Limit() == 0
}

// takeDemand returns the demand since the last call and begins a new reporting period.
func (p *connPool) takeDemand() share.Demand {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.conns.TakeDemand(time.Now())
}

// takeCounts returns the counts since the last call, and adds what customers have here to the sums.
func (p *connPool) takeCounts(sums map[string]connections.Usage) poolCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.conns.AddUsage(sums)

	counts := p.counts
	p.counts = poolCounts{}

	return counts
}

// get returns an idle connection, opens one, or waits for one until the deadline. Lower priority numbers go first, and
// without customers among equal ones the earlier deadline. It fails at once if no connection is expected to be free in
// time.
func (p *connPool) get(deadline time.Time, priority int, user connUser) (*conn, error) {
	for {
		given, queued, err := p.take(deadline, priority, &user)
		if err != nil {
			return nil, err
		}

		if queued != nil {
			if given, err = p.awaitGrant(queued, user.caller, deadline); err != nil {
				return nil, err
			}
		}

		switch given.kind {
		case connections.Use:
			if now := time.Now(); now.Sub(given.conn.lastUsed) < aliveCheckIdleTime || given.conn.backend.Alive() {
				return given.conn, nil
			}

			p.discard(given.conn)

			continue
		case connections.Replace:
			given.conn.backend.Close()
		case connections.Open:
		default:
			continue
		}

		opened, err := p.dial(deadline, user.customer)
		if outcomeOf(err) == ConnectionLimit && time.Now().Before(deadline) {
			continue
		}

		return opened, err
	}
}

// take returns what a statement gets at once, or a new waiter.
func (p *connPool) take(deadline time.Time, priority int, user *connUser) (grant, *waiter, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed {
		return grant{}, nil, result.New(result.ServerUnreachable, "the proxy no longer uses server %s", p.server.id)
	}

	if p.retired() {
		return grant{}, nil, result.New(result.ServerUnreachable, "other proxies hold the connections to server %s", p.server.id)
	}

	now := time.Now()
	decided := p.conns.Take(now, connections.Request{
		Customer: user.customer, Weight: user.weight, CustomerPriority: user.priority, Priority: priority, LatestStart: deadline,
	}, poolRoom{p}, user.rank)

	switch decided.Kind {
	case connections.Full:
		return grant{}, nil, result.New(result.QueueFull, "%d statements wait for server %s%s", decided.Before, p.server.id, p.figures(user.customer))
	case connections.Refuse:
		return grant{}, nil, result.New(result.DeadlinePassed, "server %s is overloaded; the expected wait is %s%s",
			p.server.id, decided.ExpectedWait.Round(time.Millisecond), p.figures(user.customer))
	case connections.Wait:
		decided.Waiter.Data = make(chan grant, 1)

		return grant{}, decided.Waiter, nil
	default:
		return p.recordGrant(now, decided), nil, nil
	}
}

// figures describes the state on which a refusal is based. The mutex is held.
func (p *connPool) figures(customer string) string {
	text := fmt.Sprintf(" (%d waiting, %d of %d connections, mean use %s", p.conns.Waiting(), p.conns.Connections(), p.conns.Limit(),
		p.meanUseTime.Round(time.Millisecond))

	if customer != "" {
		usage, fairShare := p.conns.Usage(customer)
		text += fmt.Sprintf("; the customer: %d waiting, %d connections, share %.1f", usage.Waiting, usage.Connections, fairShare)
	}

	return text + ")"
}

// recordGrant counts a decision that gives a statement a connection, and returns it as a grant. The mutex is held.
func (p *connPool) recordGrant(now time.Time, decided decision) grant {
	switch decided.Kind {
	case connections.Use:
		p.counts.reused++
		decided.Conn.inUseSince = now
	case connections.Replace:
		p.counts.replaced++
	default:
	}

	return grant{kind: decided.Kind, conn: decided.Conn}
}

// rank ranks idle connections by the setup that they need: greater ranks need less.
func (u *connUser) rank(candidate *conn) int {
	switch {
	case candidate.lastSessionID == u.sessionID && candidate.hasVariables(u.variables):
		return connections.MaxRank
	case candidate.hasVariables(u.variables):
		return 2
	case len(candidate.variables) == 0:
		return 1
	}

	return 0
}

// poolRoom tells package connections what the server of a pool admits.
type poolRoom struct {
	*connPool
}

// MayRun implements connections.Room.
func (r poolRoom) MayRun(now time.Time) bool { return r.mayRun(now) }

// MayOpen implements connections.Room.
func (r poolRoom) MayOpen(now time.Time) bool { return r.mayOpen(now) }

// ExpectedWait implements connections.Room.
func (r poolRoom) ExpectedWait(before int) time.Duration { return r.expectedWait(before) }

// statementLimit returns the number of statements that the proxy may have at a busy server. The mutex is held.
func (p *connPool) statementLimit() int64 {
	return p.server.statementLimit(p.fairShare)
}

// expectedWait returns the time that a statement is expected to wait behind the given number of others. The mutex is
// held.
func (p *connPool) expectedWait(before int) time.Duration {
	expected := p.meanUseTime * time.Duration(before+1) / time.Duration(max(1, p.conns.Connections()))
	if p.strict {
		expected = max(expected, p.server.meanLatency()*time.Duration(before+1)/time.Duration(p.statementLimit()))
	}

	return expected
}

// mayOpen reports whether another connection may be opened now, if the pool has one and may hold more. Opening one takes
// a slot of the server for as long as a statement does. Connections that are opened all at once after a restart of all
// proxies keep statements from running: 112 did, at a server with two slots. The mutex is held.
func (p *connPool) mayOpen(now time.Time) bool {
	// A busy server would take longer to open a connection than to free an open one.
	return int64(p.conns.Opening()) < max(1, p.statementLimit()) && !p.server.isBusy(now) && (!p.strict || p.mayRun(now))
}

// mayRun reports whether one more statement may go to the server now. The mutex is held.
func (p *connPool) mayRun(now time.Time) bool {
	return p.server.runningStatements.Load()+int64(p.conns.Opening()) < p.statementLimit() && !p.server.awaitsRoom(now) ||
		!p.strict && !p.server.isBusy(now)
}

// servesOneByOne reports whether only one waiter may be served at a time, because its statement does not count among the
// running ones yet. The mutex is held.
func (p *connPool) servesOneByOne(now time.Time) bool {
	return p.strict || p.server.isBusy(now)
}

// serveWaiters gives connections to waiters after a statement has ended.
func (p *connPool) serveWaiters() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.conns.Waiting() > 0 {
		p.serveWaitersAt(time.Now())
	}
}

// serveWaitersAt is serveWaiters with the mutex held.
func (p *connPool) serveWaitersAt(now time.Time) {
	for p.serveNext(now) == connections.Use && !p.servesOneByOne(now) {
	}
}

// serveNext serves the waiter that is due, and returns the kind of the decision, or zero. The mutex is held.
func (p *connPool) serveNext(now time.Time) connections.Kind {
	decided, served := p.conns.Next(now, poolRoom{p})
	if !served {
		return 0
	}

	decided.Waiter.Data <- p.recordGrant(now, decided)

	return decided.Kind
}

// awaitGrant waits for a grant. It returns connections.Retry if the statement should try again.
func (p *connPool) awaitGrant(queued *waiter, caller waitingCaller, deadline time.Time) (grant, error) {
	until, stays := p.nextCheck(deadline)

	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()

	for {
		given, served, gone := await(queued.Data, caller, timer.C)
		if served {
			return given, nil
		}

		if gone {
			return p.cancelWait(queued, errCallerGone)
		}

		if !stays || !until.Before(deadline) {
			break
		}

		p.serveWaiters()

		until, stays = p.nextCheck(deadline)
		timer.Reset(time.Until(until))
	}

	if until.Before(deadline) {
		return p.cancelWait(queued, nil)
	}

	return p.cancelWait(queued, result.New(result.DeadlinePassed, "no connection to server %s became free before the deadline", p.server.id))
}

// cancelWait ends the wait of a statement for a reason. Without one the statement should try again.
func (p *connPool) cancelWait(queued *waiter, reason error) (grant, error) {
	p.mutex.Lock()
	cancelled := p.conns.Cancel(queued)
	p.mutex.Unlock()

	if !cancelled {
		// The waiter was served at the same moment.
		return <-queued.Data, nil
	}

	return grant{kind: connections.Retry}, reason
}

// nextCheck returns the time until which a waiter waits for a grant, and whether it keeps its place then. With customers
// it does, because a new place could let others pass it again.
func (p *connPool) nextCheck(deadline time.Time) (until time.Time, staysQueued bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.conns.WaitsForRoom() {
		// The statement does not wait for a connection to be freed, but for the end of a backoff or for room at the
		// server.
		deadline = earlierTime(deadline, laterTime(p.conns.BackoffEnd(), time.Now().Add(busyPeriod)))
	}

	return deadline, p.conns.HasCustomers()
}

// dial opens a connection that take, serveNext or reserveFirst has already counted.
func (p *connPool) dial(deadline time.Time, customer string) (*conn, error) {
	opened, err := p.server.openConn(deadline, customer)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := time.Now()

	if err == nil {
		p.counts.opened++
		p.backoff = 0
		p.conns.Opened()

		opened.inUseSince = now

		if p.conns.HasCustomers() || p.conns.Idle() == 0 {
			p.serveNext(now)
		}

		return opened, nil
	}

	p.conns.OpenFailed(customer)

	if outcomeOf(err) == ConnectionLimit {
		p.backoff = min(max(2*p.backoff, connectBackoff), maxConnectBackoff)
		p.conns.BackOff(now.Add(p.backoff))
	} else {
		p.wakeWaiters(now)
	}

	return nil, err
}

// put returns a connection to the pool, or closes it if it is broken, has an open transaction or is beyond the limit.
func (p *connPool) put(returned *conn) {
	if !returned.mayBeReused() {
		p.discard(returned)

		return
	}

	now := time.Now()
	returned.lastUsed = now

	p.mutex.Lock()
	defer p.mutex.Unlock()

	used := now.Sub(returned.inUseSince)
	p.meanUseTime += (used - p.meanUseTime) / useTimeSmoothingDivisor

	switch {
	case p.closed:
		p.conns.Discard(returned.customer)
		returned.backend.Close()
	case !p.conns.Put(now, returned, returned.customer, used):
		returned.backend.Close()
	default:
		p.serveNext(now)
	}
}

// discard closes a connection and lets waiters open others.
func (p *connPool) discard(discarded *conn) {
	discarded.backend.Close()

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.conns.Discard(discarded.customer)
	p.wakeWaiters(time.Now())
}

// wakeWaiters serves as many waiters as may open a connection. Without customers, and if the pool will never open one, it
// makes them try again. The mutex is held.
func (p *connPool) wakeWaiters(now time.Time) {
	all := p.closed || p.retired()

	for room := p.conns.Limit() - p.conns.Connections(); (room > 0 || all) && p.conns.Waiting() > 0; room-- {
		if !all && p.conns.HasCustomers() {
			if p.serveNext(now) == 0 {
				return
			}

			continue
		}

		p.conns.PopForRetry().Data <- grant{kind: connections.Retry}
	}
}

// closeIdle closes the idle connections, because one of them stopped answering or the pool may not hold any.
func (p *connPool) closeIdle() {
	p.mutex.Lock()
	idle := p.conns.RemoveIdle(func(*conn) bool { return true })
	p.mutex.Unlock()

	closeAll(idle)
}

// reserveFirst counts a first connection for openReserved, unless the pool has one or must not open one now.
func (p *connPool) reserveFirst() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := time.Now()

	return !p.closed && !p.server.isUnreachable(now) && p.conns.ReserveFirst(now, poolRoom{p})
}

// openReserved opens the connection that reserveFirst has counted. If that fails, the server has recorded it.
func (p *connPool) openReserved(deadline time.Time) {
	if opened, err := p.dial(deadline, ""); err == nil {
		p.put(opened)
	}
}

// closeUnused closes the connections that were not used for connIdleTimeout, but keeps one.
func (p *connPool) closeUnused(now time.Time) {
	p.mutex.Lock()
	unused := p.conns.RemoveIdle(func(candidate *conn) bool {
		return p.conns.Connections() > 1 && now.Sub(candidate.lastUsed) > connIdleTimeout
	})
	p.mutex.Unlock()

	closeAll(unused)
}

// close closes the pool. Connections in use are closed when they are returned.
func (p *connPool) close() {
	p.mutex.Lock()
	p.closed = true
	p.wakeWaiters(time.Now())
	p.mutex.Unlock()

	p.closeIdle()
}

func closeAll(closing []*conn) {
	for _, each := range closing {
		each.backend.Close()
	}
}
