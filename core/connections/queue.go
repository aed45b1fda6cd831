package connections

import (
	"slices"
	"time"
)

// goesBefore reports whether a waiter goes before another one.
func (p *Pool[C, W]) goesBefore(a, b *Waiter[W]) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}

	if a.owner != b.owner {
		aOver, bOver := p.customers.isOverShare(a.owner, p.limit), p.customers.isOverShare(b.owner, p.limit)
		if aOver != bOver {
			return bOver
		}

		if a.owner.priority != b.owner.priority {
			return a.owner.priority < b.owner.priority
		}

		aAt, bAt := p.customers.position(a.owner, p.limit), p.customers.position(b.owner, p.limit)
		if aAt != bAt {
			return aAt < bAt
		}
	}

	return a.latestStart.Before(b.latestStart)
}

// firstWaiters returns the index of the waiter that goes first, and that of the first one of the same priority whose
// customer has an idle connection. If none of that priority has, it is the first one of the next priority, or -1.
func (p *Pool[C, W]) firstWaiters() (first, reusing int) {
	reusing = -1

	if p.customers.active <= 1 || !p.HasCustomers() {
		if p.waiting[0].owner.idle > 0 {
			reusing = 0
		}

		return 0, reusing
	}

	for i, candidate := range p.waiting {
		if reusing >= 0 && candidate.priority > p.waiting[reusing].priority {
			break
		}

		if candidate.priority == p.waiting[0].priority && i > 0 && p.goesBefore(candidate, p.waiting[first]) {
			first = i
		}

		if candidate.owner.idle > 0 && (reusing < 0 || p.goesBefore(candidate, p.waiting[reusing])) {
			reusing = i
		}
	}

	return first, reusing
}

// mayPass reports whether a statement that needs no new connection may go before the first waiter, which needs one.
func (p *Pool[C, W]) mayPass(now time.Time, first *Waiter[W], passing *customer, priority int) bool {
	return priority == first.priority && passing.priority == first.owner.priority &&
		!p.customers.isOverShare(passing, p.limit) &&
		now.Sub(first.since) < maxPassed && now.Add(maxPassed).Before(first.latestStart)
}

// isTurn reports whether a new statement may be served before the waiters. Without customers, it may if there is room.
func (p *Pool[C, W]) isTurn(now time.Time, owner *customer, request *Request, room Room) bool {
	if len(p.waiting) == 0 || !p.HasCustomers() {
		return true
	}

	at, reusing := p.firstWaiters()
	first := p.waiting[at]
	candidate := Waiter[W]{priority: request.Priority, latestStart: request.LatestStart, owner: owner}

	p.customers.enter(owner)

	switch {
	case p.goesBefore(&candidate, first):
		return true
	case owner.idle == 0, reusing >= 0 && !p.goesBefore(&candidate, p.waiting[reusing]):
		return false
	}

	// The first waiter needs a new connection.
	return p.mayPass(now, first, owner, request.Priority) || !p.mayOpen(now, min(p.open, p.limit-1), room)
}

// Next serves the waiter that is due, if that is possible now. After a decision to open a connection, and while the
// server has little room, the caller should not ask for another one before it has used this one.
func (p *Pool[C, W]) Next(now time.Time, room Room) (Decision[C, W], bool) {
	if len(p.waiting) == 0 {
		return Decision[C, W]{}, false
	}

	at, reusing := p.firstWaiters()
	first := p.waiting[at]

	if first.owner.idle == 0 && reusing >= 0 && p.mayPass(now, first, p.waiting[reusing].owner, p.waiting[reusing].priority) {
		if decided, served := p.serveWaiter(now, reusing, room); served {
			return decided, true
		}
	}

	if decided, served := p.serveWaiter(now, at, room); served {
		return decided, true
	}

	if reusing >= 0 && reusing != at {
		return p.serveWaiter(now, reusing, room)
	}

	return Decision[C, W]{}, false
}

func (p *Pool[C, W]) serveWaiter(now time.Time, at int, room Room) (Decision[C, W], bool) {
	served := p.waiting[at]

	decided := p.serve(now, served.owner, room, nil)
	if decided.Kind == 0 {
		return decided, false
	}

	p.customers.floor = max(p.customers.floor, served.owner.virtual)
	p.removeWaiter(at)

	decided.Waiter = served

	return decided, true
}

// enqueue gives a statement a place in the queue, or refuses it.
func (p *Pool[C, W]) enqueue(owner *customer, request *Request, now time.Time, room Room) Decision[C, W] {
	before := p.countBefore(owner, request)
	decided := Decision[C, W]{Before: before}

	if before >= MaxWaiters || owner.waiting > 0 && p.HasCustomers() && len(p.waiting) >= maxTotalWaiters {
		decided.Kind = Full

		return decided
	}

	decided.ExpectedWait = room.ExpectedWait(before)
	if now.Add(decided.ExpectedWait).After(request.LatestStart) {
		decided.Kind = Refuse

		return decided
	}

	if len(p.waiting) == 0 {
		p.customers.period++
		p.customers.floor = 0
	}

	p.customers.enter(owner)
	p.customers.change(owner, 0, 1)

	decided.Kind = Wait
	decided.Waiter = &Waiter[W]{priority: request.Priority, latestStart: request.LatestStart, owner: owner, since: now}

	at := len(p.waiting)
	for at > 0 && precedes(decided.Waiter, p.waiting[at-1]) {
		at--
	}

	p.waiting = slices.Insert(p.waiting, at, decided.Waiter)

	return decided
}

// precedes reports whether a new waiter has its place in the queue before another one.
func precedes[W any](added, other *Waiter[W]) bool {
	if added.priority != other.priority {
		return added.priority < other.priority
	}

	return added.latestStart.Before(other.latestStart)
}

// countBefore returns the number of waiters that are expected to go before a new statement: those of lower priority
// numbers, and of the same one the earlier ones of its customer and as many of other customers as their shares allow in
// that time.
func (p *Pool[C, W]) countBefore(owner *customer, request *Request) int {
	placed := Waiter[W]{priority: request.Priority, latestStart: request.LatestStart}

	if !p.HasCustomers() {
		at := len(p.waiting)
		for at > 0 && precedes(&placed, p.waiting[at-1]) {
			at--
		}

		return at
	}

	urgent, own, others := 0, 0, 0

	for _, other := range p.waiting {
		switch {
		case other.priority < request.Priority:
			urgent++
		case other.priority > request.Priority:
		case other.owner == owner && !precedes(&placed, other):
			own++
		case other.owner != owner && other.owner.priority <= owner.priority:
			others++
		}
	}

	shared := p.customers.fairShare(owner, p.limit)
	behind := float64(own+1) * max(0, float64(p.limit)-shared) / shared

	return urgent + own + min(others, int(behind))
}

// Cancel removes a waiter from the queue. It returns false if a decision about the waiter was made before.
func (p *Pool[C, W]) Cancel(waiter *Waiter[W]) bool {
	at := slices.Index(p.waiting, waiter)
	if at >= 0 {
		p.removeWaiter(at)
	}

	return at >= 0
}

// PopForRetry removes and returns the first waiter, which should call Take again.
func (p *Pool[C, W]) PopForRetry() *Waiter[W] {
	first := p.waiting[0]
	p.removeWaiter(0)

	return first
}

func (p *Pool[C, W]) removeWaiter(at int) {
	p.customers.change(p.waiting[at].owner, 0, -1)
	p.waiting = slices.Delete(p.waiting, at, at+1)
}

// WaitsForRoom reports whether the waiters wait for room at the server or for the end of a backoff, and not only for a
// connection to be returned.
func (p *Pool[C, W]) WaitsForRoom() bool {
	return p.HasCustomers() || p.open < p.limit || len(p.idle) > 0
}
