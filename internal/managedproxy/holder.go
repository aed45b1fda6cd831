package managedproxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondgrade/core/placement"
	"almondgrade/core/result"
	"almondgrade/core/share"
	"almondgrade/core/topology"
	"almondgrade/io/managedpeer"
)

const (
	// holderRetryInterval is the time for which a holder that did not answer or declined is tried only if no other one
	// is left. Control notices a lost proxy in about the same time. It doubles up to maxHolderRetryInterval with each
	// further failure.
	holderRetryInterval    = time.Second
	maxHolderRetryInterval = 4 * time.Second
	// maxUnanswered bounds the holders that may fail to answer one statement, maxHolderAttempts all holders that it is
	// sent to. A holder that declines, or says that it is stopping, does so at once.
	maxUnanswered     = 3
	maxHolderAttempts = 6
	// holderReadDivisor divides a read's timeout: after that part of it another holder is tried.
	holderReadDivisor = 2
)

// holderSet lists the proxies that hold the connections to the servers of a group. Nil means that each proxy holds its
// own.
type holderSet struct {
	proxies []placement.Proxy
	// includesSelf is true if this proxy is one of them.
	includesSelf bool
	// orders has the order in which each customer's statements go to the holders, as far as it was needed.
	orders sync.Map
}

// order returns the order in which a customer's statements go to the holders. It is the same at all proxies, so that the
// statements find an open connection of their customer; a customer with a connection in each data centre has its own order
// in each of them.
func (h *holderSet) order(current *view, group, customer, centre string) []placement.Proxy {
	if known, found := h.orders.Load(customer); found {
		return known.([]placement.Proxy) //nolint:forcetypeassert // Only such values are stored.
	}

	order := placement.Rank(group, customer, h.proxies)

	usable := current.maxConnections(group) - share.ReservedConnections
	if placement.KeepsToCentre(current.customers.LoadShare(customer), usable, h.proxies) {
		order = placement.NearFirst(centre, order)
	}

	h.orders.Store(customer, order)

	return order
}

// withoutOrders returns copies of the sets for another configuration, in which customers may have other shares.
func withoutOrders(sets map[string]*holderSet) map[string]*holderSet {
	copies := make(map[string]*holderSet, len(sets))
	for group, set := range sets {
		copies[group] = &holderSet{proxies: set.proxies, includesSelf: set.includesSelf}
	}

	return copies
}

// mustForward reports whether statements must be forwarded to another proxy.
func (h *holderSet) mustForward() bool {
	return h != nil && !h.includesSelf && len(h.proxies) > 0
}

// others returns the holders except the proxy with the given name.
func (h *holderSet) others(self string) []placement.Proxy {
	return slices.DeleteFunc(slices.Clone(h.proxies), func(proxy placement.Proxy) bool { return proxy.Name == self })
}

// holderFailure is a series of failures of one holder.
type holderFailure struct {
	// pause is the time for which the holder is avoided after the last failure, until the end of that time.
	pause time.Duration
	until time.Time
	// declinedAt is the time at which the holder last declined a statement or said that it is stopping, or zero.
	declinedAt time.Time
}

// holderHealth records which other proxies have lately failed to answer or declined a statement. It is safe for
// concurrent use.
//
// It is built for a partition between proxies that lasts for several seconds: each attempt to reach a holder on the other
// side costs a statement the time to connect, so that attempts become rarer.
type holderHealth struct {
	mutex    sync.Mutex
	failures map[string]holderFailure
}

// recordFailure records that a holder did not answer.
func (h *holderHealth) recordFailure(name string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.recordFailureLocked(name, now)
}

func (h *holderHealth) recordFailureLocked(name string, now time.Time) {
	if h.failures == nil {
		h.failures = make(map[string]holderFailure)
	}

	last := h.failures[name]
	if now.Before(last.until) {
		return // Statements that were sent at the same time fail together.
	}

	pause := min(max(2*last.pause, holderRetryInterval), maxHolderRetryInterval)
	h.failures[name] = holderFailure{pause: pause, until: now.Add(pause), declinedAt: last.declinedAt}
}

// recordDecline records that a holder has declined a statement, or said that it is stopping.
func (h *holderHealth) recordDecline(name string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.recordFailureLocked(name, now)

	last := h.failures[name]
	last.declinedAt = now
	h.failures[name] = last
}

// recordAnswer records the answer to a statement that was sent at the given time. A holder that has declined still answers
// the statements that it had accepted before, and those of its open transactions; only an answer to a later first statement
// shows that it accepts statements again.
func (h *holderHealth) recordAnswer(name string, first bool, sent time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	if last := h.failures[name]; last.declinedAt.IsZero() || first && sent.After(last.declinedAt) {
		delete(h.failures, name)
	}
}

// pick returns the holder for a statement, and never one that was tried before. It prefers holders that have not
// failed or declined lately, then those of the same data centre. It returns nil if all were tried.
func (h *holderHealth) pick(candidates []placement.Proxy, centre string, tried []string, now time.Time, rotation uint64) *placement.Proxy {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	var best *placement.Proxy

	lowestCost := 0

	for offset := range candidates {
		// A different start each time spreads statements over equal holders.
		candidate := &candidates[(uint64(offset)+rotation)%uint64(len(candidates))]
		if slices.Contains(tried, candidate.Name) {
			continue
		}

		cost := 0
		if candidate.Centre != centre {
			cost++
		}

		if now.Before(h.failures[candidate.Name].until) {
			cost += 2
		}

		if best == nil || cost < lowestCost {
			best, lowestCost = candidate, cost
		}
	}

	return best
}

// pickInOrder returns the first holder of the order that was not tried before and has not failed or declined lately. If
// all have, it returns the first that was not tried, and nil if all were.
func (h *holderHealth) pickInOrder(order []placement.Proxy, tried []string, now time.Time) *placement.Proxy {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	var fallback *placement.Proxy

	for i := range order {
		switch {
		case slices.Contains(tried, order[i].Name):
		case !now.Before(h.failures[order[i].Name].until):
			return &order[i]
		case fallback == nil:
			fallback = &order[i]
		}
	}

	return fallback
}

// runOrForward runs the first statement of a transaction, or one outside a transaction, here or on another holder of the
// group. It is built for a partition that cuts a part of the holders off from control or from a primary: a holder that
// can't serve a statement sends it to one that can.
func (s *session) runOrForward(group string, run func() Reply, forward func([]placement.Proxy) Reply) Reply {
	current := s.gateway.view.Load()
	holders := current.holders[group]

	if holders != nil && len(holders.proxies) > 0 && s.identity.customer != "" {
		return s.runInOrder(holders, holders.order(current, group, s.identity.customer, s.gateway.options.Centre), run, forward)
	}

	if holders.mustForward() {
		return forward(holders.proxies)
	}

	if holders == nil || !holders.includesSelf {
		return run()
	}

	return s.runHereOrForward(holders.others(s.gateway.options.Name), run, forward)
}

// runInOrder runs a statement of a customer on the first holder of the order that answers and does not decline, which may
// be this proxy.
func (s *session) runInOrder(holders *holderSet, order []placement.Proxy, run func() Reply, forward func([]placement.Proxy) Reply) Reply {
	if !holders.includesSelf {
		return forward(order)
	}

	self := s.gateway.options.Name

	if first := s.gateway.holderHealth.pickInOrder(order, nil, time.Now()); first.Name != self {
		s.ownTurn = false
		reply := forward(order)

		if !s.ownTurn {
			return reply
		}

		s.gateway.count("run_in_place_of_holder")
	}

	return s.runHereOrForward(slices.DeleteFunc(slices.Clone(order), func(p placement.Proxy) bool { return p.Name == self }), run, forward)
}

// runHereOrForward runs a statement here, or on another holder if this proxy declines it.
func (s *session) runHereOrForward(others []placement.Proxy, run func() Reply, forward func([]placement.Proxy) Reply) Reply {
	if len(others) == 0 {
		return run()
	}

	before := s.tx
	s.mayDecline, s.declined = true, false
	reply := run()
	s.mayDecline = false

	if !s.declined {
		return reply
	}

	s.declined, s.tx = false, before
	s.gateway.count("forwarded_by_holder")

	return forward(others)
}

// forward is a statement that is being sent to a holder.
type forward struct {
	session *session
	request *ForwardRequest
	pool    topology.Pool
	began   time.Time
	// repeatable is true if the statement may run more than once.
	repeatable bool
	// granted is the number of attempts that the holder may make.
	granted int8
}

// newForward returns a statement ready to be sent to a holder.
func (s *session) newForward(pool topology.Pool, command Command, prepared *preparedStatement) *forward {
	request := &ForwardRequest{
		Statement: command.Statement, Pool: pool, Variables: s.variables, LastCommit: s.lastCommit,
		Customer: s.identity.customer,
	}

	if s.identity.hasKey {
		request.Key = &s.identity.key
		_, request.ConfigurationNumber = s.gateway.AppliedVersions()
	}

	if prepared != nil {
		request.Shape, request.Writes = prepared.shape, prepared.writes
	}

	return &forward{session: s, request: request, pool: pool, began: s.statementBegan, repeatable: !command.Writes}
}

// send tries holders until one answers, and returns its reply. A statement that may have run is sent again only if it
// is repeatable. It fails with errOwnTurn if the statement has not run and this proxy is the holder that is due.
func (f *forward) send(holders []placement.Proxy) (*ForwardReply, *placement.Proxy, error) {
	gateway := f.session.gateway
	deadline := f.began.Add(f.pool.Timeout)

	var (
		tried      []string
		unanswered int
		lastErr    error
	)

	for attempt := range maxHolderAttempts {
		now := time.Now()
		f.request.LastAttempt = attempt+1 == min(maxHolderAttempts, len(holders))

		to := f.pick(holders, tried, now)
		if to == nil || unanswered == maxUnanswered || !now.Before(deadline) {
			break
		}

		if to.Name == gateway.options.Name {
			return nil, nil, errOwnTurn
		}

		if f.session.attemptsLeft <= 0 {
			break
		}

		f.grantAttempts(len(holders) - len(tried))
		reply, err := f.attempt(to, deadline, now)
		f.chargeAttempts(reply, err)
		f.session.operation.recordForward(reply, err)

		if err == nil && !reply.Declined {
			return reply, to, nil
		}

		switch {
		case err == nil:
			err = errDeclined
		case errors.Is(err, managedpeer.ErrStopping):
			// Like one that declines, it has said so at once.
		default:
			unanswered++
		}

		tried = append(tried, to.Name)
		lastErr = result.New(result.ServerUnreachable, "proxy %s, which holds the connections, did not answer: %w", to.Name, err)
		gateway.logFailedAttempt(f.request.Statement, to.Name, err, len(tried))

		if errors.Is(err, managedpeer.ErrUnsendable) {
			return nil, nil, lastErr
		}

		if !f.repeatable && !errors.Is(err, managedpeer.ErrNotSent) && !errors.Is(err, errDeclined) {
			return nil, to, &noAnswerError{lastErr}
		}
	}

	self := func(p placement.Proxy) bool { return p.Name == gateway.options.Name }
	if slices.ContainsFunc(holders, self) && time.Now().Before(deadline) {
		return nil, nil, errOwnTurn
	}

	if lastErr == nil {
		lastErr = result.New(result.ServerUnreachable, "no proxy holds connections to group %s", f.pool.Group)
	}

	return nil, nil, lastErr
}

// errOwnTurn means that the statement has not run on another holder, and that this proxy should run it.
var errOwnTurn = errors.New("this proxy is the next holder")

// pick returns the holder to try next, or nil.
func (f *forward) pick(holders []placement.Proxy, tried []string, now time.Time) *placement.Proxy {
	gateway := f.session.gateway
	if f.request.Customer != "" {
		return gateway.holderHealth.pickInOrder(holders, tried, now)
	}

	return gateway.holderHealth.pick(holders, gateway.options.Centre, tried, now, rand.Uint64())
}

// grantAttempts sets the number of attempts that the next holder may make. A statement that may be sent to another holder
// if this one does not answer keeps half of them for that.
func (f *forward) grantAttempts(untried int) {
	f.granted = f.session.attemptsLeft
	if f.repeatable && untried > 1 {
		f.granted = (f.granted + 1) / 2
	}

	f.request.AttemptsLeft = f.granted
	if f.granted == maxAttempts {
		f.request.AttemptsLeft = 0
	}
}

// chargeAttempts takes off the attempts that a holder has made. One that did not answer may have made all of them.
func (f *forward) chargeAttempts(reply *ForwardReply, err error) {
	switch {
	case err == nil:
		f.session.attemptsLeft -= min(max(0, reply.AttemptsUsed), f.granted)
	case !errors.Is(err, managedpeer.ErrNotSent):
		f.session.attemptsLeft -= f.granted
	}
}

// errDeclined means that the proxy is not, or not yet, a holder, or does not reach the primary or control.
var errDeclined = errors.New("the proxy holds no connections to the group, or does not reach its primary or control")

// attempt sends the statement to one holder.
func (f *forward) attempt(to *placement.Proxy, deadline, now time.Time) (*ForwardReply, error) {
	gateway := f.session.gateway
	f.request.Waited, f.request.Remaining = now.Sub(f.began), deadline.Sub(now)

	// A read may run again elsewhere, so time is left for that.
	limit := deadline
	if f.repeatable {
		limit = earlierTime(limit, now.Add(f.pool.Timeout/holderReadDivisor))
	}

	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(replyMargin))
	defer cancel()

	if f.request.Statement.Kind != Rollback {
		f.request.Token = f.session.token

		f.session.watch.begin(to.Address, now)
		defer f.session.watch.end()

		if gateway.waits.ended.Load() {
			return nil, errors.Join(managedpeer.ErrNotSent, errEnding)
		}
	}

	gateway.count("forwarded_out")

	reply, err := gateway.options.Forward(ctx, to.Address, f.request)
	gateway.holderHealth.record(to.Name, f.request, now, reply, err)

	if err != nil {
		gateway.count("forward_failed")

		return nil, err
	}

	return reply, nil
}

// record records what became of a request that was sent at the given time.
func (h *holderHealth) record(name string, request *ForwardRequest, sent time.Time, reply *ForwardReply, err error) {
	switch {
	case errors.Is(err, managedpeer.ErrUnsendable): // It says nothing about the holder.
	case errors.Is(err, managedpeer.ErrStopping), err == nil && reply.Declined:
		h.recordDecline(name, time.Now())
	case err != nil:
		h.recordFailure(name, time.Now())
	default:
		h.recordAnswer(name, request.isFirst(), sent)
	}
}

// replyMargin is added to the deadline of a call, so that an answer sent at the deadline can still arrive.
const replyMargin = 30 * time.Millisecond

// forwardSingle runs a statement outside a transaction on a holder.
func (s *session) forwardSingle(holders []placement.Proxy, pool topology.Pool, command Command, prepared *preparedStatement) Reply {
	reply, to, err := s.newForward(pool, command, prepared).send(holders)

	var lost *noAnswerError

	switch {
	case errors.Is(err, errOwnTurn):
		s.ownTurn = true

		return Reply{}
	case errors.As(err, &lost):
		return s.refuse(command.Statement, result.New(result.ConnectionLost, "the write may have run: %w", lost.cause))
	case err != nil:
		return s.refuse(command.Statement, err)
	}

	s.applyForwardReply(command.Statement, reply, to)

	return Reply{Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position, Err: reply.Failure.Err()}
}

// applyForwardReply updates the session from a holder's reply and logs a refusal.
func (s *session) applyForwardReply(statement Statement, reply *ForwardReply, from *placement.Proxy) {
	if s.lastCommit.Less(reply.LastCommit) {
		s.lastCommit = reply.LastCommit
	}

	if reply.Failure != nil {
		s.gateway.options.Logger.Info("holder refused the request", "request", statement.ID, "holder", from.Name, "error",
			reply.Failure.Err())
		s.gateway.count("refused_by_holder")
	}
}

// forwardFirst runs the first statement of a transaction on a holder, which then keeps the transaction. Nothing of the
// transaction has run before, so it may begin again on another holder.
func (s *session) forwardFirst(holders []placement.Proxy, command Command, prepared *preparedStatement) Reply {
	outgoing := s.newForward(s.tx.pool, command, prepared)
	outgoing.repeatable = command.Kind != Commit
	outgoing.request.Transaction, outgoing.request.Begin = rand.Uint64()|1, Begin

	if s.tx.readOnly {
		outgoing.request.Begin = BeginRead
	}

	reply, to, err := outgoing.send(holders)

	var lost *noAnswerError

	switch {
	case errors.Is(err, errOwnTurn):
		s.ownTurn = true

		return Reply{}
	case errors.As(err, &lost):
		return s.abort(command, lost.cause)
	case err != nil:
		return s.abort(command, &rolledBackError{err})
	}

	s.tx.phase, s.tx.holder, s.tx.id = txOpen, to, outgoing.request.Transaction

	return s.transactionReply(command, reply)
}

// forwardNext runs a further statement of a transaction on the holder that keeps it.
func (s *session) forwardNext(command Command, prepared *preparedStatement) Reply {
	outgoing := s.newForward(s.tx.pool, command, prepared)
	outgoing.repeatable = false
	outgoing.request.Transaction = s.tx.id
	holder := s.tx.holder

	reply, err := outgoing.attempt(holder, outgoing.began.Add(s.tx.pool.Timeout), outgoing.began)
	if err == nil {
		return s.transactionReply(command, reply)
	}

	// The holder rolls the transaction back when no statement arrives for the idle timeout.
	reason := result.New(result.ConnectionLost, "proxy %s, which holds the transaction, did not answer: %w", holder.Name, err)
	if command.Kind == Commit && s.tx.hasWritten && !errors.Is(err, managedpeer.ErrNotSent) {
		s.tx.holder = nil

		return s.abort(command, reason)
	}

	if command.Kind == Rollback {
		s.tx = transaction{}

		return Reply{}
	}

	return s.abort(command, &rolledBackError{reason})
}

// transactionReply returns the reply to a statement of a transaction that a holder keeps.
func (s *session) transactionReply(command Command, reply *ForwardReply) Reply {
	s.applyForwardReply(command.Statement, reply, s.tx.holder)
	s.tx.hasWritten = s.tx.hasWritten || command.Writes

	if err := reply.Failure.Err(); err != nil {
		// The holder has already ended the transaction.
		s.tx.holder = nil

		return s.abortLogged(command, err)
	}

	answer := Reply{Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position, State: Open}

	if command.Kind == Commit || command.Kind == Rollback {
		s.tx = transaction{}
		answer.State = Idle
	}

	return answer
}

// rollbackAtHolder asks the holder of a transaction to roll it back.
func (s *session) rollbackAtHolder() {
	outgoing := s.newForward(s.tx.pool, Command{Statement: Statement{Kind: Rollback}}, nil)
	outgoing.request.Transaction, outgoing.request.Variables = s.tx.id, nil
	outgoing.began = time.Now()
	holder := s.tx.holder
	s.tx.holder = nil

	rollback := func() {
		if _, err := outgoing.attempt(holder, outgoing.began.Add(rollbackTimeout), outgoing.began); err != nil {
			s.gateway.options.Logger.Info("holder could not be asked to roll back; it does so after the idle timeout", "holder",
				holder.Name, "error", err)
		}
	}

	if s.gateway.Draining() && s.running.Load() == nil {
		// No caller waits, and the session counts until then, so that the process doesn't end before the holder was asked.
		rollback()
	} else {
		go rollback() // The caller doesn't wait for a holder that may be gone.
	}
}
