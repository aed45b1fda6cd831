package permit

import (
	"fmt"
	"slices"
	"time"

	"almondgrade/core/result"
)

// meanWeight is the weight of one observed hold time in the moving mean, as a divisor.
const meanWeight = 8

// Broker hands out the permits of one backend server. It is not safe for concurrent use.
type Broker struct {
	limits   Limits
	started  time.Time
	grace    time.Duration
	accounts map[Holder]*account
	queues   [kinds]queue
	// complete is the time at which every live holder had reported; zero before.
	complete  time.Time
	collected bool
	// mean is the moving mean of the time for which a slot is held.
	mean time.Duration
}

// account is what the broker knows of one holder.
type account struct {
	live     bool
	gone     time.Time
	reported bool
	sequence uint64
	next     uint64
	held     map[uint64]hold
	pending  map[uint64]struct{}
	// released are numbers that were released since the last report, so that a late request is refused.
	released map[uint64]struct{}
	// shown is the number of connections that the server last showed.
	shown int
}

type hold struct {
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
	answers := b.Expire(now)

	account, found := b.accounts[request.Holder]
	if !found || !account.live || !account.reported {
		return append(answers, refuse(request.Grant, result.OutdatedEpoch, "holder has not reported its permits"))
	}

	if _, held := account.held[request.Number]; held {
		return append(answers, Answer{Grant: request.Grant})
	}

	if account.settled(request.Number) {
		return append(answers, refuse(request.Grant, result.NoPermit, "the request was withdrawn"))
	}

	waiting := &b.queues[request.Kind]
	if present := waiting.find(request.Grant); present != nil {
		present.Deadline = request.Deadline

		return answers
	}

	if !waiting.before(request.Urgent) && b.free(request.Kind, request.Urgent) > 0 {
		waiting.granted(request.Urgent)

		return append(answers, b.grant(now, request.Grant))
	}

	if refusal, refused := b.early(now, request); refused {
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
		b.drop(now, account, number)

		if account.released == nil {
			account.released = make(map[uint64]struct{})
		}

		account.released[number] = struct{}{}
		b.withdraw(func(waiting Request) bool { return waiting.Holder == holder && waiting.Number == number })
	}

	return b.serve(now)
}

// Hold takes a holder's report. A report of a holder that is not live is ignored and returns false.
func (b *Broker) Hold(now time.Time, report Report) ([]Answer, bool) {
	account, found := b.accounts[report.Holder]
	if !found || !account.live {
		return nil, false
	}

	if account.reported && report.Sequence <= account.sequence {
		return nil, true
	}

	b.adopt(now, account, report)

	listed := make(map[uint64]struct{}, len(report.Held))
	for _, held := range report.Held {
		listed[held.Number] = struct{}{}
	}

	for number := range account.held {
		if _, present := listed[number]; !present && number < report.Next {
			b.drop(now, account, number)
		}
	}

	b.withdraw(func(waiting Request) bool {
		_, present := listed[waiting.Number]

		return waiting.Holder == report.Holder && !present && waiting.Number < report.Next
	})
	b.checkComplete(now)

	return b.serve(now), true
}

// Live sets the holders that exist at present. The waiting requests of others are dropped; their permits return
// through Counted.
func (b *Broker) Live(now time.Time, holders []Holder) []Answer {
	live := make(map[Holder]struct{}, len(holders))

	for _, holder := range holders {
		live[holder] = struct{}{}

		if _, found := b.accounts[holder]; !found {
			b.accounts[holder] = &account{held: make(map[uint64]hold)}
		}
	}

	var answers []Answer

	for holder, account := range b.accounts {
		_, present := live[holder]
		if account.live && !present {
			account.gone = now

			for _, dropped := range b.withdraw(func(waiting Request) bool { return waiting.Holder == holder }) {
				answers = append(answers, refuse(dropped.Grant, result.NoPermit, "the holder is gone"))
			}
		}

		account.live = present
	}

	b.checkComplete(now)

	return append(answers, b.serve(now)...)
}

// Counted takes the connections that the server showed, by holder, when it was asked at the given time. An instance
// of zero stands for connections that name only the proxy. Permits of a holder that was gone before return if the
// server showed no connection of it.
func (b *Broker) Counted(now, asked time.Time, shown map[Holder]int) []Answer {
	for holder, account := range b.accounts {
		account.shown = shown[holder]
	}

	for holder, count := range shown {
		if _, found := b.accounts[holder]; !found {
			b.accounts[holder] = &account{gone: now, shown: count, held: make(map[uint64]hold)}
		}
	}

	for holder, account := range b.accounts {
		if !account.live && asked.After(account.gone) && account.shown+b.unnamed(holder) == 0 {
			delete(b.accounts, holder)
		}
	}

	if !b.collected && (!b.complete.IsZero() && asked.After(b.complete) || asked.After(b.started.Add(b.grace))) {
		b.collected = true
	}

	return b.serve(now)
}

// Limit changes the limits. Permits beyond a smaller limit stay valid, and none is granted until enough returned.
func (b *Broker) Limit(now time.Time, limits Limits) []Answer {
	b.limits = limits

	return b.serve(now)
}

// Expire refuses the waiting requests whose deadline has passed.
func (b *Broker) Expire(now time.Time) []Answer {
	var answers []Answer

	for _, expired := range b.withdraw(func(waiting Request) bool { return !now.Before(waiting.Deadline) }) {
		code := result.DeadlinePassed
		if expired.Kind == Connection {
			code = result.NoPermit
		}

		answers = append(answers, refuse(expired.Grant, code,
			fmt.Sprintf("no %s permit became free in time", expired.Kind)))
	}

	return answers
}

// Close refuses every waiting request, because the broker's epoch has ended.
func (b *Broker) Close() []Answer {
	var answers []Answer

	for _, dropped := range b.withdraw(func(Request) bool { return true }) {
		answers = append(answers, refuse(dropped.Grant, result.OutdatedEpoch, "the coordinator changed"))
	}

	return answers
}

// Collected reports whether the broker knows what is held and may grant permits.
func (b *Broker) Collected() bool {
	return b.collected
}

// Free returns the number of permits that may be granted now.
func (b *Broker) Free(kind Kind) int {
	if !b.collected {
		return 0
	}

	return max(0, b.limits.of(kind)-b.Used(kind))
}

// free returns the number of permits that may be granted now to requests of a class.
func (b *Broker) free(kind Kind, urgent bool) int {
	free := b.Free(kind)
	if kind == Connection && !urgent {
		free -= b.limits.Urgent
	}

	return max(0, free)
}

// Used returns the number of permits that count as held.
func (b *Broker) Used(kind Kind) int {
	used := 0

	for holder, account := range b.accounts {
		used += b.charge(holder, account, kind)
	}

	return used
}

// Waiting returns the number of requests that wait for a permit.
func (b *Broker) Waiting(kind Kind) int {
	return b.queues[kind].len()
}

// Holders returns the live holders that hold permits of a kind, in order of name.
func (b *Broker) Holders(kind Kind) []Holder {
	var holders []Holder

	for holder, account := range b.accounts {
		if account.live && account.count(kind) > 0 {
			holders = append(holders, holder)
		}
	}

	slices.SortFunc(holders, compare)

	return holders
}

// Gone returns the holders that are gone and still count as holding permits, in order of name. Their connections
// may be terminated.
func (b *Broker) Gone() []Holder {
	var gone []Holder

	for holder, account := range b.accounts {
		if !account.live {
			gone = append(gone, holder)
		}
	}

	slices.SortFunc(gone, compare)

	return gone
}

// charge returns the number of permits that a holder counts for.
func (b *Broker) charge(holder Holder, account *account, kind Kind) int {
	switch {
	case account.reported:
		return account.count(kind)
	case holder.Instance == 0:
		return b.unnamed(holder)
	default:
		// What the server shows bounds the connections of a holder that did not report, and each running
		// statement needs a connection.
		return account.shown
	}
}

// unnamed returns how many connections the server shows under the proxy's name alone beyond those that its live
// instances hold.
func (b *Broker) unnamed(holder Holder) int {
	plain, found := b.accounts[Holder{Proxy: holder.Proxy}]
	if !found {
		return 0
	}

	count := plain.shown

	for other, account := range b.accounts {
		if other.Proxy == holder.Proxy && account.live && account.reported {
			count -= account.count(Connection)
		}
	}

	return max(0, count)
}

// early refuses a request that can't be queued or would not be served in time.
func (b *Broker) early(now time.Time, request Request) (Answer, bool) {
	waiting := &b.queues[request.Kind]

	if len(*waiting.class(request.Urgent)) >= b.limits.Queue {
		return refuse(request.Grant, result.QueueFull,
			fmt.Sprintf("%d requests wait for a %s permit", b.limits.Queue, request.Kind)), true
	}

	if !now.Before(request.Deadline) {
		return refuse(request.Grant, result.DeadlinePassed, "the deadline has passed"), true
	}

	// Connections are held for an unknown time, so that only the wait for a slot can be estimated.
	if request.Kind == Slot {
		wait := waiting.estimate(request.Urgent, b.limits.of(Slot), b.mean)
		if now.Add(wait).After(request.Deadline) {
			return refuse(request.Grant, result.DeadlinePassed, fmt.Sprintf("the expected wait is %s", wait)), true
		}
	}

	return Answer{}, false
}

// adopt records the permits of a report that the broker does not know.
func (b *Broker) adopt(now time.Time, account *account, report Report) {
	account.reported = true
	account.sequence = report.Sequence
	account.next = max(account.next, report.Next)
	account.pending = make(map[uint64]struct{})
	account.released = nil

	for _, held := range report.Held {
		if held.Pending {
			account.pending[held.Number] = struct{}{}

			continue
		}

		if _, known := account.held[held.Number]; !known {
			account.held[held.Number] = hold{kind: held.Kind, since: now}
		}
	}
}

// drop ends a permit.
func (b *Broker) drop(now time.Time, account *account, number uint64) {
	held, found := account.held[number]
	if !found {
		return
	}

	delete(account.held, number)

	if held.kind == Slot {
		b.mean += (now.Sub(held.since) - b.mean) / meanWeight
	}
}

// serve grants free permits to waiting requests.
func (b *Broker) serve(now time.Time) []Answer {
	if !b.collected {
		return nil
	}

	answers := b.Expire(now)

	for kind := range kinds {
		for {
			routine := b.free(kind, false) > 0
			if b.free(kind, true) == 0 || !b.queues[kind].ready(routine) {
				break
			}

			answers = append(answers, b.grant(now, b.queues[kind].next(routine).Grant))
		}
	}

	return answers
}

func (b *Broker) grant(now time.Time, grant Grant) Answer {
	b.accounts[grant.Holder].held[grant.Number] = hold{kind: grant.Kind, since: now}

	return Answer{Grant: grant}
}

func (b *Broker) withdraw(match func(Request) bool) []Request {
	var removed []Request

	for kind := range kinds {
		removed = append(removed, b.queues[kind].remove(match)...)
	}

	return removed
}

func (b *Broker) checkComplete(now time.Time) {
	if b.collected || !b.complete.IsZero() {
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
		b.complete = now
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

// settled reports whether the holder no longer wants a permit that the broker does not know.
func (a *account) settled(number uint64) bool {
	if _, released := a.released[number]; released {
		return true
	}

	_, pending := a.pending[number]

	return number < a.next && !pending
}

func refuse(grant Grant, code result.Code, reason string) Answer {
	return Answer{Grant: grant, Code: code, Reason: reason}
}

func compare(a, b Holder) int {
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
