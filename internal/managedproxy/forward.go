package managedproxy

import (
	"context"
	"errors"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

// Forwarded is a statement that a proxy sends to one that holds connections to the servers of its group. It carries all
// that the holder needs to know of the session, so that each statement may go to another holder.
type Forwarded struct {
	Statement Statement `cbor:"1,keyasint"`
	// Pool is the pool as the sender's configuration describes it.
	Pool   topology.Pool     `cbor:"3,keyasint"`
	Values map[string]string `cbor:"4,keyasint,omitempty"`
	// Shape and Writes describe the prepared statement that an Execute needs.
	Shape  string `cbor:"5,keyasint,omitempty"`
	Writes bool   `cbor:"6,keyasint,omitempty"`
	// Wrote is the position of the session's last commit.
	Wrote position.Position `cbor:"7,keyasint,omitempty"`
	// Transaction identifies the transaction that the statement belongs to; zero outside of one.
	Transaction uint64 `cbor:"8,keyasint,omitempty"`
	// Begin is set with the first statement of a transaction.
	Begin Kind `cbor:"9,keyasint,omitempty"`
	// Last is true if no other holder is left to send the statement to.
	Last bool `cbor:"12,keyasint,omitempty"`
	// Waited is the time since the sender has got the statement, Remaining that in which it has to be answered.
	Waited    time.Duration `cbor:"10,keyasint,omitempty"`
	Remaining time.Duration `cbor:"11,keyasint"`
}

// first reports whether the statement belongs to no transaction that a holder keeps already.
func (f *Forwarded) first() bool {
	return f.Transaction == 0 || f.Begin != Malformed
}

// ForwardReply is the holder's answer.
type ForwardReply struct {
	Rows      []string          `cbor:"1,keyasint,omitempty"`
	Signature string            `cbor:"2,keyasint,omitempty"`
	Position  position.Position `cbor:"4,keyasint,omitempty"`
	// Wrote is the position of the session's last commit after the statement.
	Wrote position.Position `cbor:"5,keyasint,omitempty"`
	// Failure is nil after success.
	Failure *Failure `cbor:"6,keyasint,omitempty"`
	// Declined is true if the statement did not run because the proxy is no holder of the group, or does not reach its
	// primary.
	Declined bool `cbor:"7,keyasint,omitempty"`
}

// Failure is the Err of a Reply between proxies.
type Failure struct {
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Reason string      `cbor:"2,keyasint"`
	// Outcome is the server's own answer, or Done.
	Outcome Outcome `cbor:"3,keyasint,omitempty"`
	// RolledBack is true if the transaction was rolled back.
	RolledBack bool `cbor:"4,keyasint,omitempty"`
}

// failureOf returns an error for another proxy, or nil.
func failureOf(err error) *Failure {
	if err == nil {
		return nil
	}

	failure := &Failure{Code: result.CodeOf(err), Reason: err.Error(), RolledBack: IsRolledBack(err)}

	var (
		outcome *OutcomeError
		coded   *result.Error
	)

	switch {
	case errors.As(err, &outcome):
		failure.Outcome, failure.Reason = outcome.Outcome, outcome.Detail
	case errors.As(err, &coded):
		failure.Reason = coded.Reason
	}

	return failure
}

// Err returns the error that the failure stands for.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}

	var err error = result.New(f.Code, "%s", f.Reason)
	if f.Outcome != Done {
		err = &OutcomeError{Outcome: f.Outcome, Detail: f.Reason}
	}

	if f.RolledBack {
		return &abortedError{err}
	}

	return err
}

// guest is the session of another proxy's caller, with a transaction that this proxy holds.
type guest struct {
	session *session
	// turn holds a token while no statement of the transaction is in progress.
	turn chan struct{}
	// used is the end of the last statement.
	used time.Time
}

// guestTime is added to the time after which an idle transaction is rolled back, for a transaction whose proxy was lost
// and ends nothing.
const guestTime = time.Second

// Forward runs a statement of another proxy's caller.
func (g *Gateway) Forward(_ context.Context, forwarded *Forwarded) *ForwardReply {
	g.forwards.Add(1)
	defer g.forwards.Add(-1)

	if forwarded.first() && g.view.Load().holders[forwarded.Pool.Group].remote() {
		g.count("forward_declined")

		return &ForwardReply{Declined: true}
	}

	g.count("forwarded_in")

	one, err := g.guest(forwarded)
	if err != nil {
		g.refused(forwarded.Statement, forwarded.Pool.Database, err, 0)

		return &ForwardReply{Failure: failureOf(err)}
	}

	<-one.turn
	defer func() { one.turn <- struct{}{} }()

	reply := one.session.forwarded(forwarded)
	one.used = time.Now()

	if one.session.declined {
		g.count("forward_declined")

		return &ForwardReply{Declined: true}
	}

	g.keep(forwarded.Transaction, one, one.session.tx.phase == txOpen)

	return &ForwardReply{
		Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position,
		Wrote: one.session.wrote, Failure: failureOf(reply.Err),
	}
}

// guest returns the session that holds the statement's transaction, or a new one.
func (g *Gateway) guest(forwarded *Forwarded) (*guest, error) {
	if !forwarded.first() {
		g.mutex.Lock()
		defer g.mutex.Unlock()

		if held := g.guests[forwarded.Transaction]; held != nil {
			return held, nil
		}

		// It was idle for too long, or this process has started since: in both cases nothing of it is kept.
		return nil, &abortedError{result.New(result.ConnectionLost, "the transaction is not held by this proxy any more")}
	}

	created := &guest{
		turn: make(chan struct{}, 1),
		session: &session{
			gateway: g, number: g.sequence.Add(1), database: forwarded.Pool.Database, wrote: forwarded.Wrote,
		},
	}
	created.turn <- struct{}{}

	return created, nil
}

// keep notes a transaction that is open after a statement, or forgets one that has ended.
func (g *Gateway) keep(transaction uint64, held *guest, open bool) {
	if transaction == 0 {
		return
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	if open {
		g.guests[transaction] = held
	} else {
		delete(g.guests, transaction)
	}
}

// dismiss rolls back transactions of other proxies' callers that no statement has come for, or all that are at rest.
func (g *Gateway) dismiss(now time.Time, all bool) {
	idle := guestTime
	if present := g.view.Load(); present.configuration != nil {
		idle += present.configuration.Limits.IdleTransactionTimeout
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for transaction, held := range g.guests {
		select {
		case <-held.turn:
		default:
			continue // A statement is in progress.
		}

		if !all && now.Sub(held.used) < idle {
			held.turn <- struct{}{}

			continue
		}

		delete(g.guests, transaction)

		go func() {
			held.session.expire()
			held.turn <- struct{}{}
		}()
	}
}

// forwarded serves a statement of another proxy's caller.
func (s *session) forwarded(forwarded *Forwarded) Reply {
	command, needed := Command{Statement: forwarded.Statement}, (*prepared)(nil)
	s.values = forwarded.Values
	s.elsewhere = forwarded.first() && !forwarded.Last

	if forwarded.Statement.Kind == Execute {
		needed = s.gateway.names.get(forwarded.Shape, forwarded.Writes)
		command.Prepared, command.Writes = needed.name, needed.writes
	}

	// The sender's time limits hold in place of the pool's.
	pool, now := forwarded.Pool, time.Now()
	pool.Timeout = forwarded.Remaining

	s.gateway.budget.Request(now)

	switch {
	case forwarded.Begin != Malformed:
		s.tx = transaction{phase: txBegun, readOnly: forwarded.Begin == BeginRead, pool: pool}

		return s.first(command, needed)
	case forwarded.Transaction != 0 && s.tx.phase != txOpen:
		return s.refuse(forwarded.Statement, &abortedError{result.New(result.ConnectionLost,
			"the transaction was rolled back before the statement had its turn")})
	case forwarded.Transaction != 0:
		s.tx.pool.Timeout = forwarded.Remaining

		return s.next(command, needed)
	}

	return s.single(&work{
		session: s, pool: pool, command: command, needed: needed, began: now.Add(-forwarded.Waited),
		deadline: now.Add(pool.Timeout),
	})
}
