package permit

import (
	"fmt"
	"slices"
	"time"

	"almondgrade/core/result"
)

// meanWeightDivisor is the weight of one observed hold time in the moving mean, as a divisor.
const meanWeightDivisor = 8

// Broker hands out the permits of one backend server. It is not safe for concurrent use.
type Broker struct {
	limits   Limits
	started  time.Time
	grace    time.Duration
	accounts map[Holder]*account
	queues   [kindCount]queue
	// allReportedAt is the time at which every live holder had reported; zero before.
	allReportedAt time.Time
	collected     bool
	// meanSlotHold is the moving mean of the time for which a slot is held.
	meanSlotHold time.Duration
}

// account is what the broker knows of one holder.
type account struct {
	live       bool
	goneAt     time.Time
	reported   bool
	sequence   uint64
	nextNumber uint64
	held       map[uint64]grantedPermit
	pending    map[uint64]struct{}
	// released are numbers that were released since the last report, so that a late request is refused.
	released map[uint64]struct{}
	// shownConnections is the number of connections that the server last showed.
	shownConnections int
}

type grantedPermit struct {
	kind  Kind
	since time.Time
}

// New returns a broker that collects what is held before it grants anything. The grace period bounds the wait for
// reports of live holders.
func New(limits Limits, now time.Time, grace time.Duration) *Broker {
	return &Broker{limits: limits, started: now, grace: grace, accounts: make(map[Holder]*account)}
}

// Acquire asks for a permit. The answers are those of this request, if it need not wait, and of waiting requests
// that this call settled. A repeated request is answered again or keeps its place.
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
	if present := waiting.find(request.ID); present != nil {
		present.Deadline = request.Deadline

		return answers
	}

	if !waiting.mustWait(request.Urgent) && b.freeFor(request.Kind, request.Urgent) > 0 {
		waiting.noteGrant(request.Urgent)

		return append(answers, b.id(now, request.ID))
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

// HandleReport takes a holder's report. A report of a holder that is not live is ignored and returns false.
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

// SetLiveHolders sets the holders that exist at present. The waiting requests of others are dropped; their permits return
// through Counted.
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

// HandleConnectionCounts takes the connections that the server showed, by holder, when it was asked at the given time. An instance
// of zero stands for connections that name only the proxy. Permits of a holder that was gone before return if the
// server showed no connection of it.
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

// SetLimits changes the limits. Permits beyond a smaller limit stay valid, and none is granted until enough returned.
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

// Collected reports whether the broker knows what is held and may grant permits.
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

// freeFor returns the number of permits that may be granted now to requests of a class.
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

// LiveHolders returns the live holders that hold permits of a kind, in order of name.
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

// GoneHolders returns the holders that are gone and still count as holding permits, in order of name. Their connections
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

// charge returns the number of permits that a holder counts for.
func (b *Broker) charge(holder Holder, account *account, kind Kind) int {
	switch {
	case account.reported:
		return account.count(kind)
	case holder.Instance == 0:
		return b.unattributed(holder)
	default:
		// What the server shows bounds the connections of a holder that did not report, and each running
		// statement needs a connection.
		return account.shownConnections
	}
}

// unattributed returns how many connections the server shows under the proxy's name alone beyond those that its live
// instances hold.
func (b *Broker) unattributed(holder Holder) int {
	plain, found := b.accounts[Holder{Proxy: holder.Proxy}]
	if !found {
		return 0
	}

	count := plain.shownConnections

	for other, account := range b.accounts {
		if other.Proxy == holder.Proxy && account.live && account.reported {
			count -= account.count(Connection)
		}
	}

	return max(0, count)
}

// refuseEarly refuses a request that can't be queued or would not be served in time.
func (b *Broker) refuseEarly(now time.Time, request Request) (Answer, bool) {
	waiting := &b.queues[request.Kind]

	if len(*waiting.class(request.Urgent)) >= b.limits.MaxWaiting {
		return refuse(request.ID, result.QueueFull,
			fmt.Sprintf("%d requests wait for a %s permit", b.limits.MaxWaiting, request.Kind)), true
	}

	if !now.Before(request.Deadline) {
		return refuse(request.ID, result.DeadlinePassed, "the deadline has passed"), true
	}

	// Connections are held for an unknown time, so that only the wait for a slot can be estimated.
	if request.Kind == Slot {
		wait := waiting.estimate(request.Urgent, b.limits.forKind(Slot), b.meanSlotHold)
		if now.Add(wait).After(request.Deadline) {
			return refuse(request.ID, result.DeadlinePassed, fmt.Sprintf("the expected wait is %s", wait)), true
		}
	}

	return Answer{}, false
}

// applyReport records the permits of a report that the broker does not know.
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

// endPermit ends a permit.
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

			answers = append(answers, b.id(now, b.queues[kind].next(routine).ID))
		}
	}

	return answers
}

func (b *Broker) id(now time.Time, grant ID) Answer {
	b.accounts[grant.Holder].held[grant.Number] = grantedPermit{kind: grant.Kind, since: now}

	return Answer{ID: grant}
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

// abandoned reports whether the holder no longer wants a permit that the broker does not know.
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
