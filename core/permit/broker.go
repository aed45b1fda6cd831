package permit

import (
	"fmt"
	"slices"
	"time"

	"almondgrade/core/result"
)

// meanWeightDivisor defines the weight of one observed hold time in the moving mean, 1/meanWeightDivisor.
const meanWeightDivisor = 8

// Broker hands out the permits of one backend server. It is not safe for concurrent use.
type Broker struct {
	limits   Limits
	started  time.Time
	grace    time.Duration
	accounts map[Holder]*account
	queues   [kindCount]queue
	// allReportedAt is the time at which every live holder had reported, or zero before that.
	allReportedAt time.Time
	collected     bool
	// meanSlotHold is the moving mean of the time for which a slot is held.
	meanSlotHold time.Duration
}

// account is the broker's record of one holder.
type account struct {
	live       bool
	goneAt     time.Time
	reported   bool
	sequence   uint64
	nextNumber uint64
	held       map[uint64]grantedPermit
	pending    map[uint64]struct{}
	// released contains the numbers released since the last report, so that a request that arrives late is refused.
	released map[uint64]struct{}
	// shownConnections is the number of the holder's connections that the server showed when last asked.
	shownConnections int
}

type grantedPermit struct {
	kind  Kind
	since time.Time
}

// New returns a broker that first collects which permits are held and only then grants any. The grace period limits the
// wait for reports of live holders.
func New(limits Limits, now time.Time, grace time.Duration) *Broker {
	return &Broker{limits: limits, started: now, grace: grace, accounts: make(map[Holder]*account)}
}

// Acquire requests a permit. It returns the answer to this request, unless the request has to wait, and the answers to
// waiting requests that this call decided. A repeated request is answered again or keeps its place in the queue.
func (b *Broker) Acquire(now time.Time, request Request) []Answer {
	answers := b.ExpireRequests(now)

	account, found := b.accounts[request.Holder]
	if !found || !account.live || !account.reported {
		return append(answers, refuse(request.ID, result.OutdatedEpoch, "holder has not reported its permits"))
	}

	if _, held := account.held[request.Number]; held {
		return append(answers, Answer{ID: request.ID})
	}

	if account.abandoned(request.Number) {
		return append(answers, refuse(request.ID, result.NoPermit, "the request was withdrawn"))
	}

	waiting := &b.queues[request.Kind]
	if queued := waiting.find(request.ID); queued != nil {
		queued.Deadline = request.Deadline

		return answers
	}

	if !waiting.mustWait(request.Urgent) && b.freeFor(request.Kind, request.Urgent) > 0 {
		waiting.noteGrant(request.Urgent)

		return append(answers, b.grantPermit(now, request.ID))
	}

	if refusal, refused := b.refuseEarly(now, request); refused {
		return append(answers, refusal)
	}

	class := waiting.class(request.Urgent)
	*class = append(*class, request)

	return answers
}

// Release returns permits and withdraws waiting requests. Unknown numbers are remembered, so that a request that
// arrives after its release is refused.
func (b *Broker) Release(now time.Time, holder Holder, numbers ...uint64) []Answer {
	account, found := b.accounts[holder]
	if !found {
		return nil
	}

	for _, number := range numbers {
		b.endPermit(now, account, number)

		if account.released == nil {
			account.released = make(map[uint64]struct{})
		}

		account.released[number] = struct{}{}
		b.withdraw(func(waiting Request) bool { return waiting.Holder == holder && waiting.Number == number })
	}

	return b.grantWaiting(now)
}

// HandleReport processes a holder's report. It ignores the report of a holder that is not live and returns false.
func (b *Broker) HandleReport(now time.Time, report Report) ([]Answer, bool) {
	account, found := b.accounts[report.Holder]
	if !found || !account.live {
		return nil, false
	}

	if account.reported && report.Sequence <= account.sequence {
		return nil, true
	}

	b.applyReport(now, account, report)

	listed := make(map[uint64]struct{}, len(report.Held))
	for _, held := range report.Held {
		listed[held.Number] = struct{}{}
	}

	for number := range account.held {
		if _, present := listed[number]; !present && number < report.NextNumber {
			b.endPermit(now, account, number)
		}
	}

	b.withdraw(func(waiting Request) bool {
		_, present := listed[waiting.Number]

		return waiting.Holder == report.Holder && !present && waiting.Number < report.NextNumber
	})
	b.checkAllReported(now)

	return b.grantWaiting(now), true
}

// SetLiveHolders sets the holders that currently exist. The waiting requests of other holders are refused; their
// permits are freed by HandleConnectionCounts.
func (b *Broker) SetLiveHolders(now time.Time, holders []Holder) []Answer {
	live := make(map[Holder]struct{}, len(holders))

	for _, holder := range holders {
		live[holder] = struct{}{}

		if _, found := b.accounts[holder]; !found {
			b.accounts[holder] = &account{held: make(map[uint64]grantedPermit)}
		}
	}

	var answers []Answer

	for holder, account := range b.accounts {
		_, present := live[holder]
		if account.live && !present {
			account.goneAt = now

			for _, dropped := range b.withdraw(func(waiting Request) bool { return waiting.Holder == holder }) {
				answers = append(answers, refuse(dropped.ID, result.NoPermit, "the holder is gone"))
			}
		}

		account.live = present
	}

	b.checkAllReported(now)

	return append(answers, b.grantWaiting(now)...)
}

// HandleConnectionCounts processes the number of connections of each holder that the server showed when it was asked at
// the given time. An instance of zero stands for connections that name only the proxy. The permits of a holder that was
// already gone at that time are freed if the server showed no connection of it.
func (b *Broker) HandleConnectionCounts(now, asked time.Time, shown map[Holder]int) []Answer {
	for holder, account := range b.accounts {
		account.shownConnections = shown[holder]
	}

	for holder, count := range shown {
		if _, found := b.accounts[holder]; !found {
			b.accounts[holder] = &account{goneAt: now, shownConnections: count, held: make(map[uint64]grantedPermit)}
		}
	}

	for holder, account := range b.accounts {
		if !account.live && asked.After(account.goneAt) && account.shownConnections+b.unattributed(holder) == 0 {
			delete(b.accounts, holder)
		}
	}

	if !b.collected && (!b.allReportedAt.IsZero() && asked.After(b.allReportedAt) || asked.After(b.started.Add(b.grace))) {
		b.collected = true
	}

	return b.grantWaiting(now)
}

// SetLimits changes the limits. Permits above a lower limit stay valid, and none is granted until enough of them have
// returned.
func (b *Broker) SetLimits(now time.Time, limits Limits) []Answer {
	b.limits = limits

	return b.grantWaiting(now)
}

// ExpireRequests refuses the waiting requests whose deadline has passed.
func (b *Broker) ExpireRequests(now time.Time) []Answer {
	var answers []Answer

	for _, expired := range b.withdraw(func(waiting Request) bool { return !now.Before(waiting.Deadline) }) {
		code := result.DeadlinePassed
		if expired.Kind == Connection {
			code = result.NoPermit
		}

		answers = append(answers, refuse(expired.ID, code,
			fmt.Sprintf("no %s permit became free in time", expired.Kind)))
	}

	return answers
}

// Close refuses every waiting request, because the broker's epoch has ended.
func (b *Broker) Close() []Answer {
	var answers []Answer

	for _, dropped := range b.withdraw(func(Request) bool { return true }) {
		answers = append(answers, refuse(dropped.ID, result.OutdatedEpoch, "the coordinator changed"))
	}

	return answers
}

// Collected reports whether the broker knows which permits are held and may grant others.
func (b *Broker) Collected() bool {
	return b.collected
}

// FreeCount returns the number of permits that may be granted now.
func (b *Broker) FreeCount(kind Kind) int {
	if !b.collected {
		return 0
	}

	return max(0, b.limits.forKind(kind)-b.UsedCount(kind))
}

// freeFor returns the number of permits that may be granted now to requests of one class.
func (b *Broker) freeFor(kind Kind, urgent bool) int {
	free := b.FreeCount(kind)
	if kind == Connection && !urgent {
		free -= b.limits.UrgentReserve
	}

	return max(0, free)
}

// UsedCount returns the number of permits that count as held.
func (b *Broker) UsedCount(kind Kind) int {
	used := 0

	for holder, account := range b.accounts {
		used += b.charge(holder, account, kind)
	}

	return used
}

// WaitingCount returns the number of requests that wait for a permit.
func (b *Broker) WaitingCount(kind Kind) int {
	return b.queues[kind].len()
}

// LiveHolders returns the live holders that hold permits of a kind, sorted by name.
func (b *Broker) LiveHolders(kind Kind) []Holder {
	var holders []Holder

	for holder, account := range b.accounts {
		if account.live && account.count(kind) > 0 {
			holders = append(holders, holder)
		}
	}

	slices.SortFunc(holders, compareHolders)

	return holders
}

// GoneHolders returns the holders that are gone and still count as holding permits, sorted by name. Their connections
// may be terminated.
func (b *Broker) GoneHolders() []Holder {
	var gone []Holder

	for holder, account := range b.accounts {
		if !account.live {
			gone = append(gone, holder)
		}
	}

	slices.SortFunc(gone, compareHolders)

	return gone
}

// charge returns the number of permits that count as held by a holder.
func (b *Broker) charge(holder Holder, account *account, kind Kind) int {
	switch {
	case account.reported:
		return account.count(kind)
	case holder.Instance == 0:
		return b.unattributed(holder)
	default:
		// The connections that the server shows are an upper bound for a holder that did not report, and each running
		// statement needs a connection.
		return account.shownConnections
	}
}

// unattributed returns the number of connections that the server shows under the proxy's name alone, less those that
// the proxy's live instances hold.
func (b *Broker) unattributed(holder Holder) int {
	byName, found := b.accounts[Holder{Proxy: holder.Proxy}]
	if !found {
		return 0
	}

	count := byName.shownConnections

	for other, account := range b.accounts {
		if other.Proxy == holder.Proxy && account.live && account.reported {
			count -= account.count(Connection)
		}
	}

	return max(0, count)
}

// refuseEarly refuses a request that can't be queued or is expected to miss its deadline.
func (b *Broker) refuseEarly(now time.Time, request Request) (Answer, bool) {
	waiting := &b.queues[request.Kind]

	if len(*waiting.class(request.Urgent)) >= b.limits.MaxWaiting {
		return refuse(request.ID, result.QueueFull,
			fmt.Sprintf("%d requests wait for a %s permit", b.limits.MaxWaiting, request.Kind)), true
	}

	if !now.Before(request.Deadline) {
		return refuse(request.ID, result.DeadlinePassed, "the deadline has passed"), true
	}

	// Connections are held for an unknown time, so only the wait for a slot can be estimated.
	if request.Kind == Slot {
		wait := waiting.estimate(request.Urgent, b.limits.forKind(Slot), b.meanSlotHold)
		if now.Add(wait).After(request.Deadline) {
			return refuse(request.ID, result.DeadlinePassed, fmt.Sprintf("the expected wait is %s", wait)), true
		}
	}

	return Answer{}, false
}

// applyReport records the permits in a report that the broker does not know yet.
func (b *Broker) applyReport(now time.Time, account *account, report Report) {
	account.reported = true
	account.sequence = report.Sequence
	account.nextNumber = max(account.nextNumber, report.NextNumber)
	account.pending = make(map[uint64]struct{})
	account.released = nil

	for _, held := range report.Held {
		if held.Pending {
			account.pending[held.Number] = struct{}{}

			continue
		}

		if _, known := account.held[held.Number]; !known {
			account.held[held.Number] = grantedPermit{kind: held.Kind, since: now}
		}
	}
}

// endPermit removes a permit and, for a slot, adds its hold time to the mean.
func (b *Broker) endPermit(now time.Time, account *account, number uint64) {
	held, found := account.held[number]
	if !found {
		return
	}

	delete(account.held, number)

	if held.kind == Slot {
		b.meanSlotHold += (now.Sub(held.since) - b.meanSlotHold) / meanWeightDivisor
	}
}

// grantWaiting grants free permits to waiting requests.
func (b *Broker) grantWaiting(now time.Time) []Answer {
	if !b.collected {
		return nil
	}

	answers := b.ExpireRequests(now)

	for kind := range kindCount {
		for {
			routine := b.freeFor(kind, false) > 0
			if b.freeFor(kind, true) == 0 || !b.queues[kind].hasServable(routine) {
				break
			}

			answers = append(answers, b.grantPermit(now, b.queues[kind].next(routine).ID))
		}
	}

	return answers
}

func (b *Broker) grantPermit(now time.Time, id ID) Answer {
	b.accounts[id.Holder].held[id.Number] = grantedPermit{kind: id.Kind, since: now}

	return Answer{ID: id}
}

func (b *Broker) withdraw(match func(Request) bool) []Request {
	var removed []Request

	for kind := range kindCount {
		removed = append(removed, b.queues[kind].remove(match)...)
	}

	return removed
}

func (b *Broker) checkAllReported(now time.Time) {
	if b.collected || !b.allReportedAt.IsZero() {
		return
	}

	live := 0

	for _, account := range b.accounts {
		if account.live {
			live++

			if !account.reported {
				return
			}
		}
	}

	if live > 0 {
		b.allReportedAt = now
	}
}

func (a *account) count(kind Kind) int {
	count := 0

	for _, held := range a.held {
		if held.kind == kind {
			count++
		}
	}

	return count
}

// abandoned reports whether the holder no longer wants a permit that it doesn't hold.
func (a *account) abandoned(number uint64) bool {
	if _, released := a.released[number]; released {
		return true
	}

	_, pending := a.pending[number]

	return number < a.nextNumber && !pending
}

func refuse(id ID, code result.Code, reason string) Answer {
	return Answer{ID: id, Code: code, Reason: reason}
}

func compareHolders(a, b Holder) int {
	if a.Proxy != b.Proxy {
		if a.Proxy < b.Proxy {
			return -1
		}

		return 1
	}

	if a.Instance < b.Instance {
		return -1
	}

	return 1
}
