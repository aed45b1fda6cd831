package managedproxy

import (
	"context"
	"errors"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

// ForwardRequest is a statement that a proxy sends to a holder of connections to the servers of the group. It carries
// all session state that the holder needs, so that each statement may go to another holder.
type ForwardRequest struct {
	Statement Statement `cbor:"1,keyasint,omitzero"`
	// Pool is the pool as the sender's configuration describes it.
	Pool      topology.Pool     `cbor:"3,keyasint,omitzero"`
	Variables map[string]string `cbor:"4,keyasint,omitempty"`
	// Shape and Writes describe the prepared statement that an Execute needs.
	Shape  string `cbor:"5,keyasint,omitempty"`
	Writes bool   `cbor:"6,keyasint,omitempty"`
	// LastCommit is the position of the session's last commit.
	LastCommit position.Position `cbor:"7,keyasint,omitzero"`
	// Transaction identifies the transaction of the statement; it is zero outside of one.
	Transaction uint64 `cbor:"8,keyasint,omitempty"`
	// Begin is Begin or BeginRead in the request with the first statement of a transaction, and Malformed otherwise.
	Begin Kind `cbor:"9,keyasint,omitempty"`
	// LastAttempt is true if no other holder is left to try.
	LastAttempt bool `cbor:"12,keyasint,omitempty"`
	// Customer is the caller's customer, or empty. Key identifies the key by which the sender knows that, and
	// ConfigurationNumber is the sender's configuration.
	Customer            string          `cbor:"13,keyasint,omitempty"`
	Key                 *topology.KeyID `cbor:"14,keyasint,omitempty"`
	ConfigurationNumber uint64          `cbor:"15,keyasint,omitempty"`
	// Waited is the time since the sender received the statement, Remaining the time until its deadline.
	Waited    time.Duration `cbor:"10,keyasint,omitempty"`
	Remaining time.Duration `cbor:"11,keyasint,omitzero"`
	// Take asks for units of a customer's limit. Then nothing else is set.
	Take *TakeRequest `cbor:"20,keyasint,omitempty"`
	// Token identifies the sender's session. A request with Abandon has no statement: the caller is gone, and the statement
	// of its session need not wait any longer.
	Token   uint64 `cbor:"21,keyasint,omitempty"`
	Abandon bool   `cbor:"22,keyasint,omitempty"`
	// AttemptsLeft is the number of attempts that the holder may make. Zero means maxAttempts, also because the sender may
	// be of a build that does not count them together.
	AttemptsLeft int8 `cbor:"23,keyasint,omitempty"`
}

// isFirst reports whether the statement belongs to no transaction that a holder already keeps.
func (r *ForwardRequest) isFirst() bool {
	return r.Transaction == 0 || r.Begin != Malformed
}

// ForwardReply is the holder's answer.
type ForwardReply struct {
	Rows      []string          `cbor:"1,keyasint,omitempty"`
	Signature string            `cbor:"2,keyasint,omitempty"`
	Position  position.Position `cbor:"4,keyasint,omitzero"`
	// LastCommit is the position of the session's last commit after the statement.
	LastCommit position.Position `cbor:"5,keyasint,omitzero"`
	// Failure is nil after success.
	Failure *Failure `cbor:"6,keyasint,omitempty"`
	// Declined is true if the statement did not run because the proxy is not a holder of the group, or does not reach
	// its primary or control.
	Declined bool `cbor:"7,keyasint,omitempty"`
	// Taken is the answer to Take.
	Taken *TakeReply `cbor:"20,keyasint,omitempty"`
	// NotRun is true if the statement failed or was declined and certainly did not run on any server.
	NotRun bool `cbor:"21,keyasint,omitempty"`
	// AttemptsUsed is the number of attempts that have failed.
	AttemptsUsed int8 `cbor:"22,keyasint,omitempty"`
}

// Failure is the Err of a Reply as proxies exchange it.
type Failure struct {
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Reason string      `cbor:"2,keyasint"`
	// Outcome is the outcome with which the server answered, or Done.
	Outcome Outcome `cbor:"3,keyasint,omitempty"`
	// RolledBack is true if the transaction was rolled back.
	RolledBack bool `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time after which the caller should come back, if the refusal carries one.
	RetryAfter time.Duration `cbor:"20,keyasint,omitempty"`
}

// newFailure returns an error in the form for another proxy, or nil.
func newFailure(err error) *Failure {
	if err == nil {
		return nil
	}

	failure := &Failure{Code: result.CodeOf(err), Reason: err.Error(), RolledBack: IsRolledBack(err)}

	var (
		outcome *OutcomeError
		coded   *result.Error
		timed   *retryAfterError
	)

	if errors.As(err, &timed) {
		failure.RetryAfter = timed.after
	}

	switch {
	case errors.As(err, &outcome):
		failure.Outcome, failure.Reason = outcome.Outcome, outcome.Detail
	case errors.As(err, &coded):
		failure.Reason = coded.Reason
	}

	return failure
}

// Err returns the error that the failure was made from, or nil.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}

	var err error = result.New(f.Code, "%s", f.Reason)
	if f.Outcome != Done {
		err = &OutcomeError{Outcome: f.Outcome, Detail: f.Reason}
	}

	if f.RetryAfter > 0 {
		err = &retryAfterError{err, f.RetryAfter}
	}

	if f.RolledBack {
		return &rolledBackError{err}
	}

	return err
}

// forwardedSession stands in for the session of another proxy's caller. This proxy keeps it while its transaction is
// open.
type forwardedSession struct {
	session *session
	// idleToken holds one token while no statement of the transaction is in progress.
	idleToken chan struct{}
	// lastUsed is the time at which the last statement ended.
	lastUsed time.Time
}

// heldTransactionMargin is added to the idle timeout of a transaction that is kept for another proxy, because that
// proxy normally ends it. The sum counts only if the proxy was lost.
const heldTransactionMargin = time.Second

// Forward runs a statement of another proxy's caller.
func (g *Gateway) Forward(_ context.Context, request *ForwardRequest) *ForwardReply {
	if request.Take != nil {
		return &ForwardReply{Taken: g.limits.answer(request.Take)}
	}

	if request.Abandon {
		g.waits.abandon(request.Token)

		return &ForwardReply{}
	}

	g.incomingForwards.Add(1)
	defer g.incomingForwards.Add(-1)

	if request.isFirst() && (g.refusesNewWork() || g.declinesForwards.Load() || g.view.Load().holders[request.Pool.Group].mustForward()) {
		g.count("forward_declined")

		return &ForwardReply{Declined: true, NotRun: true}
	}

	if err := g.checkForwardedKey(request); err != nil {
		g.logRefusal(request.Statement, request.Pool.Database, err, 0)

		return &ForwardReply{Failure: newFailure(err), NotRun: true}
	}

	g.count("forwarded_in")

	held, err := g.sessionFor(request)
	if err != nil {
		g.logRefusal(request.Statement, request.Pool.Database, err, 0)

		return &ForwardReply{Failure: newFailure(err), NotRun: true}
	}

	<-held.idleToken
	defer func() { held.idleToken <- struct{}{} }()

	granted := int8(maxAttempts)
	if request.AttemptsLeft > 0 {
		granted = min(granted, request.AttemptsLeft)
	}

	held.session.attemptsLeft = granted
	held.session.token = request.Token
	reply := held.session.runForwarded(request)
	held.lastUsed = time.Now()
	used := granted - held.session.attemptsLeft

	if held.session.declined {
		g.count("forward_declined")

		return &ForwardReply{Declined: true, NotRun: !held.session.operation.mayHaveRun, AttemptsUsed: used}
	}

	g.trackTransaction(request.Transaction, held, held.session.tx.phase == txOpen)

	return &ForwardReply{
		Rows: reply.Rows, Signature: reply.Signature, Position: reply.Position,
		LastCommit: held.session.lastCommit, Failure: newFailure(reply.Err), AttemptsUsed: used,
		NotRun: held.session.operation.certainlyNotRun(reply.Err),
	}
}

// sessionFor returns the session that has the statement's transaction, or a new one.
func (g *Gateway) sessionFor(request *ForwardRequest) (*forwardedSession, error) {
	if !request.isFirst() {
		g.mutex.Lock()
		defer g.mutex.Unlock()

		if held := g.heldTransactions[request.Transaction]; held != nil {
			return held, nil
		}

		// It was idle for too long, or this process has restarted: in both cases it was rolled back.
		return nil, &rolledBackError{result.New(result.ConnectionLost, "the proxy no longer holds the transaction")}
	}

	created := &forwardedSession{
		idleToken: make(chan struct{}, 1),
		session: &session{
			gateway: g, id: g.lastSessionID.Add(1), database: request.Pool.Database, lastCommit: request.LastCommit,
		},
	}
	created.session.identity.customer = request.Customer
	created.idleToken <- struct{}{}

	return created, nil
}

// trackTransaction stores a transaction that is open after a statement, or removes one that has ended.
func (g *Gateway) trackTransaction(id uint64, held *forwardedSession, open bool) {
	if id == 0 {
		return
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	if open {
		g.heldTransactions[id] = held
	} else {
		delete(g.heldTransactions, id)
	}
}

// rollbackIdleTransactions rolls back the transactions of other proxies' callers that got no statement for too long.
// With all, it rolls back each one that has no statement in progress.
func (g *Gateway) rollbackIdleTransactions(now time.Time, all bool) {
	idle := heldTransactionMargin
	if current := g.view.Load(); current.configuration != nil {
		idle += current.configuration.Limits.IdleTransactionTimeout
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for id, held := range g.heldTransactions {
		select {
		case <-held.idleToken:
		default:
			continue // A statement is in progress.
		}

		if !all && now.Sub(held.lastUsed) < idle {
			held.idleToken <- struct{}{}

			continue
		}

		delete(g.heldTransactions, id)

		go func() {
			held.session.rollbackIdle()
			held.idleToken <- struct{}{}
		}()
	}
}

// runForwarded runs a statement of another proxy's caller.
func (s *session) runForwarded(request *ForwardRequest) Reply {
	command, prepared := Command{Statement: request.Statement}, (*preparedStatement)(nil)
	s.variables = request.Variables
	s.mayDecline = request.isFirst() && !request.LastAttempt

	if request.Statement.Kind == Execute {
		prepared = s.gateway.statementNames.get(request.Shape, request.Writes)
		command.Prepared, command.Writes = prepared.name, prepared.writes
	}

	// The sender's remaining time replaces the timeout of the pool.
	pool, now := request.Pool, time.Now()
	pool.Timeout = request.Remaining

	s.gateway.budget.RecordRequest(now)

	switch {
	case request.Begin != Malformed:
		s.tx = transaction{phase: txBegun, readOnly: request.Begin == BeginRead, pool: pool}

		return s.runFirst(command, prepared)
	case request.Transaction != 0 && s.tx.phase != txOpen:
		return s.refuse(request.Statement, &rolledBackError{result.New(result.ConnectionLost,
			"the transaction was rolled back before the statement could run")})
	case request.Transaction != 0:
		s.tx.pool.Timeout = request.Remaining

		return s.runNext(command, prepared)
	}

	return s.runSingle(&statementRun{
		session: s, pool: pool, command: command, prepared: prepared, began: now.Add(-request.Waited),
		deadline: now.Add(pool.Timeout),
	})
}
