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
	// urgentStreak is the number of urgent waiters in a row after which one routine waiter is served.
	urgentStreak = 7
	// owedTime is the time for which a recall asks for permits that are released later.
	owedTime = 100 * time.Millisecond
	// defaultWait bounds the wait of a request without a deadline.
	defaultWait = 30 * time.Second
)

type poolKey struct {
	server string
	kind   permit.Kind
}

// pool holds this proxy's permits of one kind for one server. The mutex of its link guards it.
type pool struct {
	spare   []*grant
	urgent  []*waiter
	routine []*waiter
	streak  int
	// owed is the number of permits that others wait for, until a time.
	owed      int
	owedUntil time.Time
	expiry    timer.StopFunc
}

// grant is a permit that this proxy holds or, while pending, has asked for.
type grant struct {
	number  uint64
	server  string
	kind    permit.Kind
	pending bool
	// idle is the time since which the permit has been spare.
	idle time.Time
}

// waiter is a request of this proxy that waits for a permit.
type waiter struct {
	urgent bool
	done   chan outcome
}

type outcome struct {
	grant *grant
	err   error
}

// holding is a permit in use.
type holding struct {
	link  *link
	grant *grant
	once  sync.Once
}

// Release implements proxy.Permit.
func (h *holding) Release() {
	h.once.Do(func() { h.link.release(h.grant) })
}

// acquire waits for a permit: a spare one, one that another request of this proxy releases, or one that the
// coordinator grants.
func (l *link) acquire(
	ctx context.Context, server string, kind permit.Kind, urgent bool,
) (proxy.Permit, error) {
	waiting, taken := l.join(server, kind, urgent)
	if taken != nil {
		return &holding{link: l, grant: taken}, nil
	}

	bounded, cancel := context.WithTimeout(ctx, defaultWait)
	defer cancel()

	go l.request(bounded, waiting, poolKey{server, kind})

	select {
	case settled := <-waiting.done:
		return l.settle(settled)
	case <-bounded.Done():
	case <-l.context.Done():
	}

	if !l.leave(server, kind, waiting) {
		return l.settle(<-waiting.done)
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

func (l *link) settle(settled outcome) (proxy.Permit, error) {
	if settled.err != nil {
		return nil, settled.err
	}

	return &holding{link: l, grant: settled.grant}, nil
}

// join takes a spare permit or queues a waiter.
func (l *link) join(server string, kind permit.Kind, urgent bool) (*waiter, *grant) {
	now := l.owner.options.Timer.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.used = now
	p := l.pool(poolKey{server, kind})

	if last := len(p.spare) - 1; last >= 0 && l.current() {
		taken := p.spare[last]
		p.spare = p.spare[:last]

		return nil, taken
	}

	waiting := &waiter{urgent: urgent, done: make(chan outcome, 1)}
	if urgent {
		p.urgent = append(p.urgent, waiting)
	} else {
		p.routine = append(p.routine, waiting)
	}

	// Without the coordinator only this proxy's own permits are left.
	if kind == permit.Connection && !l.reachable && l.owner.options.Recall != nil {
		go l.owner.options.Recall(server, 1)
	}

	return waiting, nil
}

// leave takes a waiter out of the queue. It is false if the waiter was settled already.
func (l *link) leave(server string, kind permit.Kind, waiting *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.pool(poolKey{server, kind}).remove(waiting)
}

// request asks the coordinator for a permit for a waiter until the waiter is settled.
func (l *link) request(ctx context.Context, waiting *waiter, key poolKey) {
	for backoff := leastBackoff; ; backoff = min(2*backoff, mostBackoff) {
		granted, err := l.ask(ctx, waiting, key)
		if granted != nil || final(err) {
			l.finish(waiting, key, outcome{grant: granted, err: err})

			return
		}

		if !l.waits(waiting, key) {
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

// final reports whether a refusal settles a request.
func final(err error) bool {
	switch result.CodeOf(err) {
	case result.QueueFull, result.DeadlinePassed, result.NoPermit, result.NotFound:
		return true
	default:
		return false
	}
}

// ask makes one request to the coordinator.
func (l *link) ask(ctx context.Context, waiting *waiter, key poolKey) (*grant, error) {
	if !l.told() {
		if _, err := l.reports.Do(ctx); err != nil {
			return nil, err
		}
	}

	l.mutex.Lock()

	if !l.reported || l.to == nil {
		l.mutex.Unlock()

		return nil, result.New(result.NotCoordinator, "group %s has no coordinator yet", l.group)
	}

	asked := &grant{number: l.next, server: key.server, kind: key.kind, pending: true}
	l.next++
	l.held[asked.number] = asked
	to, registration := l.to, l.registration

	l.mutex.Unlock()

	deadline, _ := ctx.Deadline()
	err := to.Acquire(ctx, key.server, permit.Request{
		Grant:  permit.Grant{Holder: l.holder(), Number: asked.number, Kind: key.kind},
		Urgent: waiting.urgent, Deadline: deadline,
	})

	l.mutex.Lock()
	defer l.mutex.Unlock()

	switch {
	case err == nil && l.registration == registration && l.current():
		asked.pending = false
		l.reachable = true

		return asked, nil
	case err == nil:
		err = result.New(result.OutdatedEpoch, "the coordinator changed")
	case result.CodeOf(err) == result.OutdatedEpoch && l.registration == registration:
		l.reported = false
	case result.CodeOf(err) == result.OK && ctx.Err() == nil:
		l.reachable = false
	}

	l.giveBack(asked)

	return nil, err
}

func (l *link) told() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.reported
}

func (l *link) waits(waiting *waiter, key poolKey) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	p := l.pool(key)

	return slices.Contains(p.urgent, waiting) || slices.Contains(p.routine, waiting)
}

// finish settles a waiter. A permit that it needs no more is released.
func (l *link) finish(waiting *waiter, key poolKey, settled outcome) {
	l.mutex.Lock()
	waits := l.pool(key).remove(waiting)
	l.mutex.Unlock()

	switch {
	case waits:
		waiting.done <- settled
	case settled.grant != nil:
		l.release(settled.grant)
	}
}

// release passes a permit on: to the coordinator if others wait, to a waiter of this proxy, or to the spare ones.
func (l *link) release(released *grant) {
	now := l.owner.options.Timer.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	p := l.pool(poolKey{released.server, released.kind})

	switch {
	case !l.current() || l.context.Err() != nil:
		l.giveBack(released)
	case p.owed > 0 && now.Before(p.owedUntil) && l.reachable:
		p.owed--
		l.giveBack(released)
	case p.waiting() > 0:
		p.next().done <- outcome{grant: released}
	case released.kind == permit.Slot || !l.reachable:
		released.idle = now
		p.spare = append(p.spare, released)
		l.expire(p)
	default:
		l.giveBack(released)
	}
}

// expire returns the spare slots that have been idle for long. The mutex is held.
func (l *link) expire(p *pool) {
	if p.expiry != nil || len(p.spare) == 0 || p.spare[0].kind != permit.Slot {
		return
	}

	p.expiry = l.owner.options.Timer.After(l.slots, func(now time.Time) {
		l.mutex.Lock()
		defer l.mutex.Unlock()

		p.expiry = nil

		for len(p.spare) > 0 && now.Sub(p.spare[0].idle) >= l.slots {
			l.giveBack(p.spare[0])
			p.spare = p.spare[1:]
		}

		l.expire(p)
	})
}

// recall returns spare permits because others wait, and notes how many more to return when they are released.
func (l *link) recall(epoch uint64, server string, kind permit.Kind, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if epoch != l.epoch {
		return
	}

	p := l.pool(poolKey{server, kind})

	for ; count > 0 && len(p.spare) > 0; count-- {
		l.giveBack(p.spare[0])
		p.spare = p.spare[1:]
	}

	p.owed = count
	p.owedUntil = l.owner.options.Timer.Now().Add(owedTime)

	if kind == permit.Connection && count > 0 && l.owner.options.Recall != nil {
		go l.owner.options.Recall(server, count)
	}
}

// returnSpareConnections returns what was kept while the coordinator could not be reached. The mutex is held.
func (l *link) returnSpareConnections() {
	for key, p := range l.pools {
		if key.kind != permit.Connection {
			continue
		}

		for _, spare := range p.spare {
			l.giveBack(spare)
		}

		p.spare = nil
	}
}

// discardSpare forgets the spare permits, because the epoch ended that they were granted in. The mutex is held.
func (l *link) discardSpare() {
	for _, p := range l.pools {
		for _, spare := range p.spare {
			delete(l.held, spare.number)
		}

		p.spare = nil
	}
}

// giveBack tells the coordinator that a permit is held no more. If the message is lost, the next report tells it. The
// mutex is held.
func (l *link) giveBack(returned *grant) {
	delete(l.held, returned.number)

	l.back = append(l.back, returned.number)
	if l.flushing {
		return
	}

	l.flushing = true

	go l.flush()
}

func (l *link) flush() {
	for {
		l.mutex.Lock()

		numbers, to := l.back, l.to
		l.back = nil

		if len(numbers) == 0 || l.context.Err() != nil {
			l.flushing = false
			l.mutex.Unlock()

			return
		}

		l.mutex.Unlock()

		if to != nil {
			_ = to.Release(l.context, l.holder(), numbers)
		}
	}
}

// pool returns the pool of a server. The mutex is held.
func (l *link) pool(key poolKey) *pool {
	found := l.pools[key]
	if found == nil {
		found = &pool{}
		l.pools[key] = found
	}

	return found
}

func (p *pool) waiting() int {
	return len(p.urgent) + len(p.routine)
}

func (p *pool) idle() bool {
	return p.waiting() == 0 && len(p.spare) == 0
}

// next takes the waiter to serve.
func (p *pool) next() *waiter {
	class := &p.urgent
	if len(p.urgent) == 0 || p.streak >= urgentStreak && len(p.routine) > 0 {
		class = &p.routine
	}

	p.streak++
	if class == &p.routine {
		p.streak = 0
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
