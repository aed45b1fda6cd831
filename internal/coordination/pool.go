package coordination

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondgrade/core/permit"
	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/internal/proxy"
)

const (
	// maxUrgentStreak is the number of urgent waiters in a row after which one routine waiter is served.
	maxUrgentStreak = 7
	// recallTime is the time for which a recall also applies to permits that are released later.
	recallTime = 100 * time.Millisecond
	// maxAcquireWait bounds the wait of a request that has no deadline or a later one.
	maxAcquireWait = 30 * time.Second
)

type poolKey struct {
	server string
	kind   permit.Kind
}

// pool holds this proxy's permits of one kind for one server. The mutex of its link guards it.
type pool struct {
	spare        []*grant
	urgent       []*waiter
	routine      []*waiter
	urgentStreak int
	// recalledCount is the number of permits that other proxies wait for. They are returned on release until recalledUntil.
	recalledCount int
	recalledUntil time.Time
	stopExpiry    timer.StopFunc
}

// grant is a permit that this proxy holds or, while pending, has asked for.
type grant struct {
	number  uint64
	server  string
	kind    permit.Kind
	pending bool
	// idleSince is the time at which the permit became spare.
	idleSince time.Time
}

// waiter is a request of this proxy that waits for a permit.
type waiter struct {
	urgent bool
	done   chan waitOutcome
}

type waitOutcome struct {
	grant *grant
	err   error
}

// heldPermit is a permit in use.
type heldPermit struct {
	link  *link
	grant *grant
	once  sync.Once
}

// Release implements proxy.Permit.
func (h *heldPermit) Release() {
	h.once.Do(func() { h.link.releaseGrant(h.grant) })
}

// acquire waits for a permit: a spare one, one that another request of this proxy releases, or a new one that the
// coordinator grants.
func (l *link) acquire(
	ctx context.Context, server string, kind permit.Kind, urgent bool,
) (proxy.Permit, error) {
	waiting, taken := l.takeSpareOrQueue(server, kind, urgent)
	if taken != nil {
		return &heldPermit{link: l, grant: taken}, nil
	}

	waitCtx, cancel := context.WithTimeout(ctx, maxAcquireWait)
	defer cancel()

	go l.requestUntilSettled(waitCtx, waiting, poolKey{server, kind})

	select {
	case settled := <-waiting.done:
		return l.permitOf(settled)
	case <-waitCtx.Done():
	case <-l.context.Done():
	}

	if !l.dequeue(server, kind, waiting) {
		return l.permitOf(<-waiting.done)
	}

	if l.context.Err() != nil {
		return nil, result.New(result.Draining, "the proxy is shutting down")
	}

	code := result.DeadlinePassed
	if kind == permit.Connection {
		code = result.NoPermit
	}

	return nil, result.New(code, "no %s permit of backend server %s became free in time", kind, server)
}

func (l *link) permitOf(settled waitOutcome) (proxy.Permit, error) {
	if settled.err != nil {
		return nil, settled.err
	}

	return &heldPermit{link: l, grant: settled.grant}, nil
}

// takeSpareOrQueue takes a spare permit or queues a waiter.
func (l *link) takeSpareOrQueue(server string, kind permit.Kind, urgent bool) (*waiter, *grant) {
	now := l.owner.options.Timer.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.usedAt = now
	p := l.poolOf(poolKey{server, kind})

	if last := len(p.spare) - 1; last >= 0 && l.permitsAreValid() {
		taken := p.spare[last]
		p.spare = p.spare[:last]

		return nil, taken
	}

	waiting := &waiter{urgent: urgent, done: make(chan waitOutcome, 1)}
	if urgent {
		p.urgent = append(p.urgent, waiting)
	} else {
		p.routine = append(p.routine, waiting)
	}

	// While the coordinator can't be reached, only a permit that this proxy holds can become free.
	if kind == permit.Connection && !l.reachable && l.owner.options.CloseIdle != nil {
		go l.owner.options.CloseIdle(server, 1)
	}

	return waiting, nil
}

// dequeue removes a waiter from the queue. It returns false if the waiter is settled already.
func (l *link) dequeue(server string, kind permit.Kind, waiting *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.poolOf(poolKey{server, kind}).remove(waiting)
}

// requestUntilSettled requests a permit for a waiter from the coordinator until the waiter is settled.
func (l *link) requestUntilSettled(ctx context.Context, waiting *waiter, key poolKey) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		granted, err := l.askCoordinator(ctx, waiting, key)
		if granted != nil || isFinal(err) {
			l.settleWaiter(waiting, key, waitOutcome{grant: granted, err: err})

			return
		}

		if !l.isWaiting(waiting, key) {
			return
		}

		pause := time.NewTimer(backoff)

		select {
		case <-ctx.Done():
			pause.Stop()

			return
		case <-pause.C:
		}
	}
}

// isFinal reports whether a refusal settles a request, so that it is not repeated.
func isFinal(err error) bool {
	switch result.CodeOf(err) {
	case result.QueueFull, result.DeadlinePassed, result.NoPermit, result.NotFound:
		return true
	default:
		return false
	}
}

// askCoordinator requests a permit from the coordinator once.
func (l *link) askCoordinator(ctx context.Context, waiting *waiter, key poolKey) (*grant, error) {
	if !l.hasReported() {
		if _, err := l.reports.Do(ctx); err != nil {
			return nil, err
		}
	}

	l.mutex.Lock()

	if !l.reported || l.target == nil {
		l.mutex.Unlock()

		return nil, result.New(result.NotCoordinator, "group %s has no coordinator yet", l.group)
	}

	requested := &grant{number: l.nextPermit, server: key.server, kind: key.kind, pending: true}
	l.nextPermit++
	l.held[requested.number] = requested
	to, registration := l.target, l.registration

	l.mutex.Unlock()

	deadline, _ := ctx.Deadline()
	err := to.Acquire(ctx, key.server, permit.Request{
		ID:     permit.ID{Holder: l.holder(), Number: requested.number, Kind: key.kind},
		Urgent: waiting.urgent, Deadline: deadline,
	})

	l.mutex.Lock()
	defer l.mutex.Unlock()

	switch {
	case err == nil && l.registration == registration && l.permitsAreValid():
		requested.pending = false
		l.reachable = true

		return requested, nil
	case err == nil:
		err = result.New(result.OutdatedEpoch, "the coordinator changed")
	case result.CodeOf(err) == result.OutdatedEpoch && l.registration == registration:
		l.reported = false
	case result.CodeOf(err) == result.OK && ctx.Err() == nil:
		l.reachable = false
	}

	l.returnPermit(requested)

	return nil, err
}

func (l *link) hasReported() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.reported
}

func (l *link) isWaiting(waiting *waiter, key poolKey) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	p := l.poolOf(key)

	return slices.Contains(p.urgent, waiting) || slices.Contains(p.routine, waiting)
}

// settleWaiter gives a waiter its outcome. A permit that the waiter no longer needs is released.
func (l *link) settleWaiter(waiting *waiter, key poolKey, settled waitOutcome) {
	l.mutex.Lock()
	waits := l.poolOf(key).remove(waiting)
	l.mutex.Unlock()

	switch {
	case waits:
		waiting.done <- settled
	case settled.grant != nil:
		l.releaseGrant(settled.grant)
	}
}

// releaseGrant passes a released permit on: to the coordinator if other proxies wait, to a waiter of this proxy, or to
// the spare permits.
func (l *link) releaseGrant(released *grant) {
	now := l.owner.options.Timer.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	p := l.poolOf(poolKey{released.server, released.kind})

	switch {
	case !l.permitsAreValid() || l.context.Err() != nil:
		l.returnPermit(released)
	case p.recalledCount > 0 && now.Before(p.recalledUntil) && l.reachable:
		p.recalledCount--
		l.returnPermit(released)
	case p.waitingCount() > 0:
		p.takeWaiter().done <- waitOutcome{grant: released}
	case released.kind == permit.Slot || !l.reachable:
		released.idleSince = now
		p.spare = append(p.spare, released)
		l.scheduleExpiry(p)
	default:
		l.returnPermit(released)
	}
}

// scheduleExpiry starts a timer that returns the spare slots that have been idle for slotCacheTime. The mutex is held.
func (l *link) scheduleExpiry(p *pool) {
	if p.stopExpiry != nil || len(p.spare) == 0 || p.spare[0].kind != permit.Slot {
		return
	}

	p.stopExpiry = l.owner.options.Timer.After(l.slotCacheTime, func(now time.Time) {
		l.mutex.Lock()
		defer l.mutex.Unlock()

		p.stopExpiry = nil

		for len(p.spare) > 0 && now.Sub(p.spare[0].idleSince) >= l.slotCacheTime {
			l.returnPermit(p.spare[0])
			p.spare = p.spare[1:]
		}

		l.scheduleExpiry(p)
	})
}

// returnRecalled handles a recall: it returns spare permits, and notes how many more to return when they are released.
func (l *link) returnRecalled(epoch uint64, server string, kind permit.Kind, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if epoch != l.epoch {
		return
	}

	p := l.poolOf(poolKey{server, kind})

	for ; count > 0 && len(p.spare) > 0; count-- {
		l.returnPermit(p.spare[0])
		p.spare = p.spare[1:]
	}

	p.recalledCount = count
	p.recalledUntil = l.owner.options.Timer.Now().Add(recallTime)

	if kind == permit.Connection && count > 0 && l.owner.options.CloseIdle != nil {
		go l.owner.options.CloseIdle(server, count)
	}
}

// returnSpareConnections returns the connection permits that were kept while the coordinator could not be reached. The
// mutex is held.
func (l *link) returnSpareConnections() {
	for key, p := range l.pools {
		if key.kind != permit.Connection {
			continue
		}

		for _, spare := range p.spare {
			l.returnPermit(spare)
		}

		p.spare = nil
	}
}

// discardSpares drops the spare permits, because the epoch in which they were granted has ended. The mutex is held.
func (l *link) discardSpares() {
	for _, p := range l.pools {
		for _, spare := range p.spare {
			delete(l.held, spare.number)
		}

		p.spare = nil
	}
}

// returnPermit tells the coordinator that a permit is no longer held. If the message is lost, the next report makes up
// for it. The mutex is held.
func (l *link) returnPermit(returned *grant) {
	delete(l.held, returned.number)

	l.unsentReturns = append(l.unsentReturns, returned.number)
	if l.sendingReturns {
		return
	}

	l.sendingReturns = true

	go l.sendReturns()
}

func (l *link) sendReturns() {
	for {
		l.mutex.Lock()

		numbers, to := l.unsentReturns, l.target
		l.unsentReturns = nil

		if len(numbers) == 0 || l.context.Err() != nil {
			l.sendingReturns = false
			l.mutex.Unlock()

			return
		}

		l.mutex.Unlock()

		if to != nil {
			_ = to.Release(l.context, l.holder(), numbers)
		}
	}
}

// poolOf returns the pool of one kind of permit of a server, and creates it if needed. The mutex is held.
func (l *link) poolOf(key poolKey) *pool {
	found := l.pools[key]
	if found == nil {
		found = &pool{}
		l.pools[key] = found
	}

	return found
}

func (p *pool) waitingCount() int {
	return len(p.urgent) + len(p.routine)
}

func (p *pool) isEmpty() bool {
	return p.waitingCount() == 0 && len(p.spare) == 0
}

// takeWaiter removes and returns the waiter to serve next.
func (p *pool) takeWaiter() *waiter {
	class := &p.urgent
	if len(p.urgent) == 0 || p.urgentStreak >= maxUrgentStreak && len(p.routine) > 0 {
		class = &p.routine
	}

	p.urgentStreak++
	if class == &p.routine {
		p.urgentStreak = 0
	}

	taken := (*class)[0]
	*class = (*class)[1:]

	return taken
}

func (p *pool) remove(waiting *waiter) bool {
	for _, class := range []*[]*waiter{&p.urgent, &p.routine} {
		if at := slices.Index(*class, waiting); at >= 0 {
			*class = slices.Delete(*class, at, at+1)

			return true
		}
	}

	return false
}
