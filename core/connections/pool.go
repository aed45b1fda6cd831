package connections

import (
	"slices"
	"time"

	"almondgrade/core/share"
)

const (
	// MaxWaiters bounds the statements that wait before one. The server works off as many within a statement's timeout.
	MaxWaiters = 128
	// maxTotalWaiters bounds all waiting statements of customers that already have one waiting.
	maxTotalWaiters = 2 * MaxWaiters
	// maxPassed is the time since its arrival for which the first waiter may be passed by others for which a connection is
	// open. It is twice the cost of a new connection.
	maxPassed = 25 * time.Millisecond
	// recentUse is the time for which a customer counts as a user of the server after its last use.
	recentUse = 2 * time.Second
	// useTimeSmoothingDivisor divides the difference when one use of a connection enters the moving mean.
	useTimeSmoothingDivisor = 16
)

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Use means that the statement runs on the idle connection Conn.
	Use Kind = iota + 1
	// Open means that a connection is to be opened.
	Open
	// Replace means that Conn, which served another customer, is to be closed and then a connection opened.
	Replace
	// Wait means that the statement has a place in the queue.
	Wait
	// Refuse means that no connection is expected to be free in time.
	Refuse
	// Full means that too many statements wait.
	Full
	// Retry means that the waiting statement should call Take again.
	Retry
)

// Decision is the result of Take, or what a waiter has got.
type Decision[C, W any] struct {
	Kind Kind
	Conn C
	// Waiter is the waiter that the decision is for, after Wait the new one.
	Waiter *Waiter[W]
	// Before is the number of waiters that go before the statement, ExpectedWait the time that they are expected to take.
	// They are set for Refuse and Full.
	Before       int
	ExpectedWait time.Duration
}

// Request describes a statement that needs a connection.
type Request struct {
	// Customer is empty if the deployment does not distinguish customers, or for an anonymous caller.
	Customer string
	// Weight is the customer's share of the connections in relation to the others'. Zero counts as one.
	Weight float64
	// CustomerPriority is the priority of the customer, Priority that of the statement's pool. Lower numbers go first.
	CustomerPriority int
	Priority         int
	// LatestStart is the time by which the statement must start.
	LatestStart time.Time
}

// Waiter is a statement in the queue.
type Waiter[W any] struct {
	// Data belongs to the caller.
	Data        W
	priority    int
	latestStart time.Time
	owner       *customer
	// since is the time at which the waiter got its place.
	since time.Time
}

// Room tells what the server admits now. Its methods are called while a decision is made.
type Room interface {
	// MayRun reports whether one more statement may go to the server.
	MayRun(now time.Time) bool
	// MayOpen reports whether the server should be asked for one more connection, apart from the pool's limit.
	MayOpen(now time.Time) bool
	// ExpectedWait returns the time that a statement is expected to wait behind the given number of others.
	ExpectedWait(before int) time.Duration
}

type idleConn[C any] struct {
	conn     C
	owner    *customer
	lastUsed time.Time
}

// Pool holds what is known about the connections to one server. It is not safe for concurrent use.
type Pool[C, W any] struct {
	// idle is ordered by the time of the return.
	idle []idleConn[C]
	// open counts all connections, including those being opened, which opening counts.
	open, opening int
	limit         int
	// waiting is ordered by priority, then by latest start.
	waiting    []*Waiter[W]
	backoffEnd time.Time

	customers customers
	// peak is the greatest number of connections that could have been used at one time since the last report, without
	// the first one of each customer if there are customers.
	peak int
}

// New returns a pool that may hold limit connections.
func New[C, W any](limit int) *Pool[C, W] {
	return &Pool[C, W]{limit: limit}
}

// Limit returns the number of connections that the pool may hold.
func (p *Pool[C, W]) Limit() int { return p.limit }

// SetLimit sets the number of connections that the pool may hold.
func (p *Pool[C, W]) SetLimit(limit int) { p.limit = limit }

// Connections returns the number of connections, including those being opened.
func (p *Pool[C, W]) Connections() int { return p.open }

// Opening returns the number of connections being opened.
func (p *Pool[C, W]) Opening() int { return p.opening }

// Idle returns the number of idle connections.
func (p *Pool[C, W]) Idle() int { return len(p.idle) }

// Waiting returns the number of waiting statements.
func (p *Pool[C, W]) Waiting() int { return len(p.waiting) }

// WaitingUpTo returns the number of waiters with a pool priority number up to the given one.
func (p *Pool[C, W]) WaitingUpTo(priority int) int {
	count := 0

	for _, waiter := range p.waiting {
		if waiter.priority <= priority {
			count++
		}
	}

	return count
}

// HasCustomers reports whether the pool serves customers.
func (p *Pool[C, W]) HasCustomers() bool { return len(p.customers.named) > 0 }

// Take decides about a new statement. Among the idle connections of its customer it takes the one with the greatest rank,
// and among equal ones the most recently used; ranks are at most MaxRank.
func (p *Pool[C, W]) Take(now time.Time, request Request, room Room, rank func(C) int) Decision[C, W] {
	owner := p.customers.admit(now, &request)

	decided := Decision[C, W]{}
	if p.isTurn(now, owner, &request, room) {
		decided = p.serve(now, owner, room, rank)
	}

	if decided.Kind == 0 {
		decided = p.enqueue(owner, &request, now, room)
	}

	p.peak = max(p.peak, p.demand())

	return decided
}

// MaxRank is the greatest rank of a connection.
const MaxRank = 3

// serve gives a customer a connection if that is possible now.
func (p *Pool[C, W]) serve(now time.Time, owner *customer, room Room, rank func(C) int) Decision[C, W] {
	switch {
	case owner.idle > 0:
		if room.MayRun(now) {
			return Decision[C, W]{Kind: Use, Conn: p.takeIdle(p.bestIdle(owner, rank))}
		}
	case p.mayOpen(now, p.open, room):
		p.reserve(owner)

		return Decision[C, W]{Kind: Open}
	case (p.open >= p.limit || now.Before(p.backoffEnd)) && len(p.idle) > 0 && room.MayRun(now) && (p.open == 1 || room.MayOpen(now)):
		at := p.leastUseful()
		closing := p.idle[at]
		p.removeIdleAt(at)
		p.reserve(owner)

		return Decision[C, W]{Kind: Replace, Conn: closing.conn}
	}

	return Decision[C, W]{}
}

// mayOpen reports whether a connection may be opened if the pool has the given number of them.
func (p *Pool[C, W]) mayOpen(now time.Time, open int, room Room) bool {
	if open >= p.limit || now.Before(p.backoffEnd) {
		return false
	}

	return open == 0 || room.MayOpen(now)
}

// reserve counts a connection that is about to be opened.
func (p *Pool[C, W]) reserve(owner *customer) {
	p.open++
	p.opening++
	p.customers.change(owner, 1, 0)
}

// ReserveFirst counts a connection without a customer that is about to be opened, unless the pool has one or must not
// open one.
func (p *Pool[C, W]) ReserveFirst(now time.Time, room Room) bool {
	if p.open > 0 || !p.mayOpen(now, p.open, room) {
		return false
	}

	p.reserve(&p.customers.anonymous)

	return true
}

// bestIdle returns the index of the customer's idle connection with the greatest rank.
func (p *Pool[C, W]) bestIdle(owner *customer, rank func(C) int) int {
	best, bestRank := -1, -1

	for i := len(p.idle) - 1; i >= 0 && bestRank < MaxRank; i-- {
		if p.idle[i].owner != owner {
			continue
		}

		ranked := 0
		if rank != nil {
			ranked = rank(p.idle[i].conn)
		}

		if ranked > bestRank {
			best, bestRank = i, ranked
		}
	}

	return best
}

// leastUseful returns the index of the idle connection to close for another customer: the least recently used one,
// first of the customers that have several and more than they wait for, then of those that wait for none.
func (p *Pool[C, W]) leastUseful() int {
	best, bestSpare := 0, -1

	for i := range p.idle {
		spare := p.idle[i].owner.spare()
		if spare > bestSpare || spare == bestSpare && p.idle[i].lastUsed.Before(p.idle[best].lastUsed) {
			best, bestSpare = i, spare
		}
	}

	return best
}

func (p *Pool[C, W]) takeIdle(at int) C {
	taken := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	taken.owner.idle--
	p.customers.change(taken.owner, 1, 0)

	return taken.conn
}

func (p *Pool[C, W]) removeIdleAt(at int) {
	p.idle[at].owner.idle--
	p.idle = slices.Delete(p.idle, at, at+1)
	p.open--
}

// Opened records that a connection was opened for a customer. It is in use now.
func (p *Pool[C, W]) Opened() {
	p.opening--
	p.backoffEnd = time.Time{}
}

// OpenFailed records that a connection could not be opened for a customer.
func (p *Pool[C, W]) OpenFailed(customer string) {
	p.opening--
	p.Discard(customer)
}

// BackOff makes the pool open no connection until the given time.
func (p *Pool[C, W]) BackOff(until time.Time) { p.backoffEnd = until }

// BackoffEnd returns the time until which the pool opens no connection.
func (p *Pool[C, W]) BackoffEnd() time.Time { return p.backoffEnd }

// Discard records that a connection in use by a customer was closed.
func (p *Pool[C, W]) Discard(customer string) {
	p.open--
	p.customers.change(p.customers.get(customer), -1, 0)
}

// Put records the end of a use of a connection. It returns false if the connection has to be closed because the pool
// holds too many; otherwise it is idle.
func (p *Pool[C, W]) Put(now time.Time, returned C, customer string, used time.Duration) bool {
	owner := p.customers.get(customer)
	p.customers.change(owner, -1, 0)
	p.customers.charge(owner, used, p.limit, len(p.waiting) > 0)
	owner.lastUsed = now

	if p.open > p.limit {
		p.open--

		return false
	}

	owner.idle++
	p.idle = append(p.idle, idleConn[C]{conn: returned, owner: owner, lastUsed: now})

	return true
}

// RemoveIdle removes the idle connections for which the condition holds, and returns them. The condition sees the
// number of connections without those removed before.
func (p *Pool[C, W]) RemoveIdle(condition func(C) bool) []C {
	var removed []C

	p.idle = slices.DeleteFunc(p.idle, func(candidate idleConn[C]) bool {
		if !condition(candidate.conn) {
			return false
		}

		p.open--
		candidate.owner.idle--
		removed = append(removed, candidate.conn)

		return true
	})

	return removed
}

// demand returns the number of connections in use or waited for, without the first one of each customer if there are
// customers.
func (p *Pool[C, W]) demand() int {
	used := p.open - len(p.idle) + len(p.waiting)
	if p.HasCustomers() {
		used -= p.customers.active
	}

	return used
}

// TakeDemand returns the demand since the last call and begins a new reporting period. With customers, the server is
// wanted for one connection for each customer that used it lately, and for the statements beyond one per customer.
func (p *Pool[C, W]) TakeDemand(now time.Time) share.Demand {
	demand := share.Demand{Open: p.open, Wanted: max(p.peak, p.demand())}

	if p.HasCustomers() {
		demand.Wanted += p.customers.countRecent(now)
		p.customers.forget(now)
	}

	p.peak = p.demand()

	return demand
}

// Usage is what a customer has at the server.
type Usage struct {
	Waiting, Connections int
}

// Usage returns what a customer that the pool knows has, and its share of the connections.
func (p *Pool[C, W]) Usage(customer string) (has Usage, fairShare float64) {
	known := p.customers.get(customer)

	return Usage{Waiting: known.waiting, Connections: known.inUse + known.idle}, p.customers.fairShare(known, p.limit)
}

// AddUsage adds what each customer with a name has to the sums.
func (p *Pool[C, W]) AddUsage(sums map[string]Usage) {
	for name, known := range p.customers.named {
		sum := sums[name]
		sum.Waiting += known.waiting
		sum.Connections += known.inUse + known.idle
		sums[name] = sum
	}
}
