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
	"almondgrade/core/topology"
	"almondgrade/io/managedpeer"
)

const (
	// holderPause is the time for which a holder that did not answer is asked only if no other one is left. Control notices
	// a lost proxy in about as much.
	holderPause = time.Second
	// holderAttempts bounds the holders that one statement is sent to.
	holderAttempts = 3
	// readPatience is the part of a read's timeout, as a divisor, for which a holder may take before another one is asked.
	readPatience = 2
)

// holders are the proxies that hold the connections to the servers of a group. A nil value stands for a group of which
// each proxy holds its own.
type holders struct {
	proxies []placement.Proxy
	// self is true if this proxy is one of them.
	self bool
}

// remote reports whether statements have to go to another proxy.
func (h *holders) remote() bool {
	return h != nil && !h.self && len(h.proxies) > 0
}

// hearing notes which other proxies have not answered lately. It is safe for concurrent use.
type hearing struct {
	mutex  sync.Mutex
	failed map[string]time.Time
}

func (h *hearing) fail(name string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	if h.failed == nil {
		h.failed = make(map[string]time.Time)
	}

	h.failed[name] = now
}

func (h *hearing) answered(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	delete(h.failed, name)
}

// pick returns the holder for a statement: one that has answered lately, if possible in the same data centre, and none
// that was tried before. It returns nil if all were.
func (h *hearing) pick(candidates []placement.Proxy, centre string, tried []string, now time.Time, turn uint64) *placement.Proxy {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	var best *placement.Proxy

	least := 0

	for offset := range candidates {
		// Beginning elsewhere each time spreads statements over equal holders.
		one := &candidates[(uint64(offset)+turn)%uint64(len(candidates))]
		if slices.Contains(tried, one.Name) {
			continue
		}

		cost := 0
		if one.Centre != centre {
			cost++
		}

		if now.Sub(h.failed[one.Name]) < holderPause {
			cost += 2
		}

		if best == nil || cost < least {
			best, least = one, cost
		}
	}

	return best
}

// forward is a statement on its way to a holder.
type forward struct {
	session *session
	message *Forwarded
	pool    topology.Pool
	began   time.Time
	// repeatable is true if the statement may run more than once.
	repeatable bool
}

// newForward returns a statement for a holder.
func (s *session) newForward(pool topology.Pool, command Command, needed *prepared) *forward {
	message := &Forwarded{
		Statement: command.Statement, Pool: pool, Values: s.values, Wrote: s.wrote,
	}

	if needed != nil {
		message.Shape, message.Writes = needed.shape, needed.writes
	}

	return &forward{session: s, message: message, pool: pool, began: time.Now(), repeatable: !command.Writes}
}

// send sends the statement to holders until one answers, and returns that one. A statement that may have run is sent
// again only if it may run twice.
func (f *forward) send(among []placement.Proxy) (*ForwardReply, *placement.Proxy, error) {
	gateway := f.session.gateway
	deadline := f.began.Add(f.pool.Timeout)

	var (
		tried []string
		last  error
	)

	for attempt := range holderAttempts {
		now := time.Now()
		f.message.Last = attempt+1 == min(holderAttempts, len(among))

		to := gateway.hearing.pick(among, gateway.options.Centre, tried, now, rand.Uint64())
		if to == nil || !now.Before(deadline) {
			break
		}

		reply, err := f.attempt(to, deadline, now)
		if err == nil && !reply.Declined {
			return reply, to, nil
		}

		if err == nil {
			err = errDeclined
		}

		tried = append(tried, to.Name)
		last = result.New(result.ServerUnreachable, "proxy %s, which holds the connections, did not answer: %w", to.Name, err)
		gateway.retried(f.message.Statement, to.Name, err, len(tried))

		if !f.repeatable && !errors.Is(err, managedpeer.ErrNotSent) && !errors.Is(err, errDeclined) {
			return nil, to, &lostError{last}
		}
	}

	if last == nil {
		last = result.New(result.ServerUnreachable, "no proxy holds connections of group %s", f.pool.Group)
	}

	return nil, nil, last
}

// errDeclined says that a proxy is no holder any more, or not yet, or does not reach the primary.
var errDeclined = errors.New("the proxy holds no connections of the group or does not reach its primary")

// attempt sends the statement to one holder.
func (f *forward) attempt(to *placement.Proxy, deadline, now time.Time) (*ForwardReply, error) {
	gateway := f.session.gateway
	f.message.Waited, f.message.Remaining = now.Sub(f.began), deadline.Sub(now)

	// A read may run again elsewhere, so it leaves time for that.
	limit := deadline
	if f.repeatable {
		limit = minTime(limit, now.Add(f.pool.Timeout/readPatience))
	}

	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(forwardMargin))
	defer cancel()

	gateway.count("forwarded_out")

	reply, err := gateway.options.Forward(ctx, to.Address, f.message)
	if err != nil {
		gateway.hearing.fail(to.Name, time.Now())
		gateway.count("forward_failed")

		return nil, err
	}

	gateway.hearing.answered(to.Name)

	return reply, nil
}

// forwardMargin is the time that an answer which a holder sends at the deadline takes.
const forwardMargin = 30 * time.Millisecond

// forwardSingle runs a statement outside a transaction at a holder.
func (s *session) forwardSingle(among []placement.Proxy, pool topology.Pool, command Command, needed *prepared) Reply {
	reply, to, err := s.newForward(pool, command, needed).send(among)

	var lost *lostError

	switch {
	case errors.As(err, &lost):
		return s.refuse(command.Statement, result.New(result.ConnectionLost, "the write may have run: %w", lost.cause))
	case err != nil:
		return s.refuse(command.Statement, err)
	}

	s.settleForward(command.Statement, reply, to)

	return Reply{Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position, Err: reply.Failure.Err()}
}

// settleForward notes what a reply says of the session.
func (s *session) settleForward(statement Statement, reply *ForwardReply, from *placement.Proxy) {
	if s.wrote.Less(reply.Wrote) {
		s.wrote = reply.Wrote
	}

	if reply.Failure != nil {
		s.gateway.options.Logger.Info("holder refused the request", "request", statement.ID, "holder", from.Name, "error",
			reply.Failure.Err())
		s.gateway.count("refused_by_holder")
	}
}

// forwardFirst runs the first statement of a transaction at a holder, which keeps the transaction. Nothing of the
// transaction has run before, so that it may begin again at another one.
func (s *session) forwardFirst(among []placement.Proxy, command Command, needed *prepared) Reply {
	sent := s.newForward(s.tx.pool, command, needed)
	sent.repeatable = command.Kind != Commit
	sent.message.Transaction, sent.message.Begin = rand.Uint64()|1, Begin

	if s.tx.readOnly {
		sent.message.Begin = BeginRead
	}

	reply, to, err := sent.send(among)

	var lost *lostError

	switch {
	case errors.As(err, &lost):
		return s.abort(command, lost.cause)
	case err != nil:
		return s.abort(command, &abortedError{err})
	}

	s.tx.phase, s.tx.holder, s.tx.number = txOpen, to, sent.message.Transaction

	return s.forwardedReply(command, reply)
}

// forwardNext runs a further statement of a transaction at the holder that keeps it.
func (s *session) forwardNext(command Command, needed *prepared) Reply {
	sent := s.newForward(s.tx.pool, command, needed)
	sent.repeatable = false
	sent.message.Transaction = s.tx.number
	holder := s.tx.holder

	reply, err := sent.attempt(holder, sent.began.Add(s.tx.pool.Timeout), sent.began)
	if err == nil {
		return s.forwardedReply(command, reply)
	}

	// The holder rolls back what it holds when no statement comes.
	reason := result.New(result.ConnectionLost, "proxy %s, which holds the transaction, did not answer: %w", holder.Name, err)
	if command.Kind == Commit && s.tx.wrote && !errors.Is(err, managedpeer.ErrNotSent) {
		s.tx.holder = nil

		return s.abort(command, reason)
	}

	if command.Kind == Rollback {
		s.tx = transaction{}

		return Reply{}
	}

	return s.abort(command, &abortedError{reason})
}

// forwardedReply returns the reply to a statement of a transaction that a holder keeps.
func (s *session) forwardedReply(command Command, reply *ForwardReply) Reply {
	s.settleForward(command.Statement, reply, s.tx.holder)
	s.tx.wrote = s.tx.wrote || command.Writes

	if err := reply.Failure.Err(); err != nil {
		// The holder has ended the transaction.
		s.tx.holder = nil

		return s.abandon(command, err)
	}

	answer := Reply{Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position, State: Open}

	if command.Kind == Commit || command.Kind == Rollback {
		s.tx = transaction{}
		answer.State = Idle
	}

	return answer
}

// leaveHolder tells the holder of a transaction to roll it back.
func (s *session) leaveHolder() {
	sent := s.newForward(s.tx.pool, Command{Statement: Statement{Kind: Rollback}}, nil)
	sent.message.Transaction, sent.message.Values = s.tx.number, nil
	holder := s.tx.holder
	s.tx.holder = nil

	// The caller doesn't wait for a holder that may be gone.
	go func() {
		if _, err := sent.attempt(holder, sent.began.Add(rollbackTimeout), sent.began); err != nil {
			s.gateway.options.Logger.Info("holder was not told to roll back; it does so after the idle time", "holder",
				holder.Name, "error", err)
		}
	}()
}
