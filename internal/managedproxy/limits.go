package managedproxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"almondgrade/core/quota"
	"almondgrade/core/result"
	"almondgrade/core/topology"
	"almondgrade/io/managedpeer"
)

const (
	// takeTimeout bounds the wait for a counting proxy. Data centres are at most 2 ms apart.
	takeTimeout = 100 * time.Millisecond
	// silencePause is the time for which a counting proxy that did not answer is not asked. It doubles up to
	// maxSilencePause: each attempt to reach a lost one costs an operation takeTimeout. It begins short, because a proxy that
	// was only slow for a moment has a full bucket meanwhile, and what it does not grant is lost.
	silencePause    = 50 * time.Millisecond
	maxSilencePause = time.Second
	// listsTimeout bounds the wait for the first lists of counting proxies, which follow the first configuration with a
	// limit within two calls to control.
	listsTimeout = 500 * time.Millisecond
	// unconfirmedDelay is the time after which callers come back if no counting proxy is in reach. The list changes, or a
	// restarted proxy gets its lease, within about that time.
	unconfirmedDelay = 400 * time.Millisecond
	// returnSpread is the fraction by which times to come back vary in both directions.
	returnSpread = 0.25
)

// TakeRequest asks a counting proxy for units of a customer's limit.
type TakeRequest struct {
	Customer string `cbor:"1,keyasint"`
	Count    int    `cbor:"2,keyasint"`
	// Configuration is the number of the sender's configuration.
	Configuration uint64 `cbor:"3,keyasint"`
}

// TakeReply is the answer of a counting proxy.
type TakeReply struct {
	Granted int `cbor:"1,keyasint,omitempty"`
	// RetryAfter is the time until room is expected if nothing was granted.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// NoLease is true if the proxy can't count for the customer at present.
	NoLease bool `cbor:"3,keyasint,omitempty"`
}

// limiter admits the operations of customers with a limit, and counts them if this proxy is on the list of counting
// proxies. It is safe for concurrent use.
type limiter struct {
	gateway *Gateway

	mutex   sync.Mutex
	counter *quota.Counter
	store   *quota.Store
	limits  map[string]quota.Limit
	// number is the number of the configuration that the limits come from.
	number uint64
	// ranked are the counting proxies of the customers under the current list.
	ranked     map[string][]topology.CountingProxy
	listsKnown chan struct{}
	// silent are the counting proxies that did not answer, by name, and those that can't count for a customer, by name and
	// customer.
	silent map[string]holderFailure
	// atLimit are the customers that this proxy counts for and has lately refused.
	atLimit  map[string]*limitReached
	counters map[string]*customerCounters
}

// limitReached describes a customer at its limit.
type limitReached struct {
	since, last time.Time
	refused     int
}

// customerCounters count the operations of one customer.
type customerCounters struct {
	admitted, overLimit, unconfirmed gometrics.Counter
}

// limitedOperation is an operation as the limit of its customer sees it.
type limitedOperation struct {
	unit quota.Unit
	// counted is true if the operation has used the unit.
	counted bool
	// mayHaveRun is true if a server may have run a statement of it although it failed.
	mayHaveRun bool
}

func newLimiter(g *Gateway) *limiter {
	if g.options.Bounds.Window <= 0 {
		g.options.Bounds = quota.DefaultBounds()
	}

	return &limiter{
		gateway: g, counter: quota.NewCounter(g.options.Name, g.options.Bounds), store: quota.NewStore(g.options.Bounds),
		ranked: make(map[string][]topology.CountingProxy), listsKnown: make(chan struct{}), silent: make(map[string]holderFailure),
		atLimit: make(map[string]*limitReached), counters: make(map[string]*customerCounters),
	}
}

// setCustomers puts the limits of a configuration into force.
func (l *limiter) setCustomers(configuration *topology.Configuration) {
	limits := make(map[string]quota.Limit)

	if configuration.Customers != nil {
		for _, customer := range configuration.Customers.Entries {
			if customer.Rate != nil {
				limits[customer.Name] = quota.Limit{Rate: *customer.Rate, Burst: customer.Burst}
			}
		}
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.limits, l.number = limits, configuration.Number
	l.counter.SetLimits(l.gateway.options.BootTime(), limits)
	l.store.Keep(limits)
	clear(l.ranked)
}

// CounterEpoch returns the epoch of the lists of counting proxies in force.
func (g *Gateway) CounterEpoch() uint64 {
	g.limits.mutex.Lock()
	defer g.limits.mutex.Unlock()

	return g.limits.counter.Epoch()
}

// ApplyCounters puts lists of counting proxies into force; nil keeps the present ones. It then sets the end of the lease
// under which this proxy counts, as a boot time; zero keeps the present one.
func (g *Gateway) ApplyCounters(lists *topology.Counters, leaseUntil time.Time) {
	l := g.limits

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if lists != nil && lists.Epoch > l.counter.Epoch() {
		if l.counter.Epoch() == 0 {
			close(l.listsKnown)
		}

		l.counter.SetLists(g.options.BootTime(), *lists)
		clear(l.ranked)
		clear(l.silent)
	}

	if !leaseUntil.IsZero() {
		l.counter.ExtendLease(leaseUntil)
	}
}

// answer grants units to another proxy, or to this one.
func (l *limiter) answer(request *TakeRequest) *TakeReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	limit, limited := l.limits[request.Customer]
	if !limited && l.number >= request.Configuration {
		return &TakeReply{Granted: request.Count} // The sender doesn't know yet that the customer has no limit.
	}

	now := l.gateway.options.BootTime()

	taken := l.counter.Take(now, request.Customer, request.Count)
	if taken.Granted == 0 && !taken.NoLease {
		l.recordRefusal(now, request.Customer, limit)
	}

	return &TakeReply{Granted: taken.Granted, RetryAfter: taken.RetryAfter, NoLease: taken.NoLease}
}

// recordRefusal logs that a customer has reached its limit. Only one counting proxy does so: the second, which is asked
// once the first has refused. The mutex is held.
func (l *limiter) recordRefusal(now time.Time, customer string, limit quota.Limit) {
	ranked := l.rankedFor(customer)
	if len(ranked) == 0 || ranked[min(1, len(ranked)-1)].Name != l.gateway.options.Name {
		return
	}

	reached := l.atLimit[customer]
	if reached == nil {
		reached = &limitReached{since: now}
		l.atLimit[customer] = reached
		l.gateway.options.Logger.Info("customer has reached its limit", "customer", customer, "rate", limit.Rate, "burst", limit.Burst,
			"configuration", l.number)
	}

	reached.last = now
	reached.refused++
}

// logLimitsLeft logs which customers are below their limit again: those that were refused nothing for a window.
func (l *limiter) logLimitsLeft(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	for customer, reached := range l.atLimit {
		if now.Sub(reached.last) > l.gateway.options.Bounds.Window {
			delete(l.atLimit, customer)
			l.gateway.options.Logger.Info("customer is below its limit again", "customer", customer, "refused requests for units",
				reached.refused, "lasted", reached.last.Sub(reached.since))
		}
	}
}

// rankedFor returns the counting proxies that grant units to a customer, in order. The mutex is held.
func (l *limiter) rankedFor(customer string) []topology.CountingProxy {
	ranked, known := l.ranked[customer]
	if !known {
		ranked = quota.Ranked(customer, l.counter.Lists().Current)
		l.ranked[customer] = ranked
	}

	return ranked
}

// admission is an operation that waits for a unit.
type admission struct {
	customer string
	deadline time.Time
	// room is the earliest time at which a counting proxy that refused expects room; zero if none has answered.
	room time.Time
}

// admit returns a unit for an operation of a customer, or the refusal.
func (l *limiter) admit(customer string, deadline time.Time) (quota.Unit, error) {
	waiting := &admission{customer: customer, deadline: deadline}
	now := l.gateway.options.BootTime()

	l.mutex.Lock()
	unit, found := l.store.Use(now, customer)
	ranked, count := l.rankedFor(customer), l.store.Batch(now, customer)
	l.mutex.Unlock()

	if found {
		l.countersOf(customer).admitted.Inc(1)

		return unit, nil
	}

	if len(ranked) == 0 {
		ranked = l.awaitLists(waiting)
	}

	for _, to := range ranked {
		// A counting proxy must not look silent because the time of the statement is over.
		if !time.Now().Before(deadline) {
			break
		}

		if unit, granted := l.askOne(waiting, to, count); granted {
			l.countersOf(customer).admitted.Inc(1)

			return unit, nil
		}
	}

	return quota.Unit{}, l.refusal(waiting)
}

// awaitLists waits for the first lists.
func (l *limiter) awaitLists(waiting *admission) []topology.CountingProxy {
	limit := time.NewTimer(min(listsTimeout, time.Until(waiting.deadline)))
	defer limit.Stop()

	select {
	case <-l.listsKnown:
	case <-limit.C:
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.rankedFor(waiting.customer)
}

// askOne asks one counting proxy, unless it has lately refused or not answered.
func (l *limiter) askOne(waiting *admission, to topology.CountingProxy, count int) (quota.Unit, bool) {
	askedAt := l.gateway.options.BootTime()
	notCounting := to.Name + "\x00" + waiting.customer

	l.mutex.Lock()
	room, number := l.store.Room(waiting.customer, to.Name), l.number
	paused := askedAt.Before(l.silent[to.Name].until) || askedAt.Before(l.silent[notCounting].until)
	l.mutex.Unlock()

	if askedAt.Before(room) {
		waiting.expectRoom(room)

		return quota.Unit{}, false
	}

	if paused {
		return quota.Unit{}, false
	}

	taken, err := l.call(to, &TakeRequest{Customer: waiting.customer, Count: count, Configuration: number})
	now := l.gateway.options.BootTime()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	switch {
	case err != nil:
		l.pause(to.Name, now)
	case taken.NoLease:
		l.pause(notCounting, now)
	case taken.Granted > 0:
		delete(l.silent, to.Name)
		delete(l.silent, notCounting)

		return l.store.Add(waiting.customer, taken.Granted, askedAt), true
	default:
		delete(l.silent, to.Name)
		delete(l.silent, notCounting)

		room = now.Add(taken.RetryAfter)
		l.store.SetRoom(waiting.customer, to.Name, room)
		waiting.expectRoom(room)
	}

	return quota.Unit{}, false
}

func (a *admission) expectRoom(room time.Time) {
	if a.room.IsZero() || room.Before(a.room) {
		a.room = room
	}
}

// call asks a counting proxy, which may be this one.
func (l *limiter) call(to topology.CountingProxy, request *TakeRequest) (*TakeReply, error) {
	if to.Name == l.gateway.options.Name {
		return l.answer(request), nil
	}

	l.gateway.count("limit_calls")

	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()

	reply, err := l.gateway.options.Forward(ctx, to.Address, &ForwardRequest{Take: request})
	if err == nil && reply.Taken == nil {
		err = errNoTaken
	}

	if err != nil {
		l.gateway.count("limit_calls_failed")
		l.gateway.options.Logger.Debug("counting proxy did not answer", "proxy", to.Name, "customer", request.Customer, "error", err)

		return nil, err
	}

	return reply.Taken, nil
}

// errNoTaken means that the proxy has a build that does not count.
var errNoTaken = errors.New("the proxy does not count operations")

// pause avoids a counting proxy, by name or by name and customer, for a time that doubles. The mutex is held.
func (l *limiter) pause(key string, now time.Time) {
	last := l.silent[key]
	if now.Before(last.until) {
		return // Calls that were made at the same time fail together.
	}

	pause := min(max(2*last.pause, silencePause), maxSilencePause)
	l.silent[key] = holderFailure{pause: pause, until: now.Add(pause)}
}

// refusal returns the refusal of an operation with the time to come back.
func (l *limiter) refusal(waiting *admission) error {
	spread := 1 - returnSpread + 2*returnSpread*rand.Float64()

	if waiting.room.IsZero() {
		l.countersOf(waiting.customer).unconfirmed.Inc(1)

		return &retryAfterError{
			result.New(result.LimitUnconfirmed, "no proxy that counts the operations of customer %q is in reach", waiting.customer),
			time.Duration(spread * float64(unconfirmedDelay)),
		}
	}

	l.countersOf(waiting.customer).overLimit.Inc(1)

	now := l.gateway.options.BootTime()

	l.mutex.Lock()
	limit := l.limits[waiting.customer]
	after := l.store.ReturnDelay(now, waiting.customer, waiting.room)
	l.mutex.Unlock()

	return &retryAfterError{
		result.New(result.CallerLimit, "customer %q has used its limit of %g operations a second with a burst of %g; room is expected in %s",
			waiting.customer, limit.Rate, limit.Burst, max(0, waiting.room.Sub(now)).Round(time.Millisecond)),
		time.Duration(spread * float64(after)),
	}
}

// countersOf returns the counters of a customer.
func (l *limiter) countersOf(customer string) *customerCounters {
	label := l.gateway.customerCounts.label(customer)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if known := l.counters[label]; known != nil {
		return known
	}

	created := &customerCounters{
		admitted:    l.gateway.options.Metrics.Counter("limit_admitted." + label),
		overLimit:   l.gateway.options.Metrics.Counter("limit_over." + label),
		unconfirmed: l.gateway.options.Metrics.Counter("limit_unconfirmed." + label),
	}
	l.counters[label] = created

	return created
}

// admit asks for a unit before the first statement of an operation, if the session's customer has a limit.
func (s *session) admit(deadline time.Time) error {
	s.operation.counted, s.operation.mayHaveRun = false, false

	if !s.identity.limited {
		return nil
	}

	unit, err := s.gateway.limits.admit(s.identity.customer, deadline)
	s.operation.unit, s.operation.counted = unit, err == nil

	return err
}

// settle returns the unit of an operation whose first statement certainly did not run.
func (s *session) settle(reply Reply) Reply {
	if s.operation.counted && s.operation.certainlyNotRun(reply.Err) {
		s.operation.counted = false
		s.gateway.limits.returnUnit(s.identity.customer, s.operation.unit)
	}

	return reply
}

func (l *limiter) returnUnit(customer string, unit quota.Unit) {
	l.gateway.count("limit_units_returned")

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.store.Return(l.gateway.options.BootTime(), customer, unit)
}

// certainlyNotRun reports whether a statement failed and no server may have run it.
func (o *limitedOperation) certainlyNotRun(err error) bool {
	var outcome *OutcomeError

	switch code := result.CodeOf(err); {
	case err == nil || o.mayHaveRun:
		return false
	case errors.As(err, &outcome):
		return !outcome.Outcome.Ran()
	default:
		return code != result.OK && code.Ran() == result.RanNo
	}
}

// recordAttempt records a failed attempt to run a statement on a server.
func (o *limitedOperation) recordAttempt(answer Answer, err error) {
	var lost *noAnswerError

	o.mayHaveRun = o.mayHaveRun || errors.As(err, &lost) || err == nil && answer.Outcome.Ran()
}

// recordForward records how a holder replied to a statement.
func (o *limitedOperation) recordForward(reply *ForwardReply, err error) {
	if err != nil {
		o.mayHaveRun = o.mayHaveRun || !errors.Is(err, managedpeer.ErrNotSent)
	} else if reply.Declined || reply.Failure != nil {
		o.mayHaveRun = o.mayHaveRun || !reply.NotRun
	}
}
