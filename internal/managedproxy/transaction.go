package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/placement"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

// txPhase is the progress of a session's transaction.
type txPhase uint8

const (
	txNone txPhase = iota
	// txBegun means that the caller has begun a transaction and no backend server has.
	txBegun
	// txOpen means that the transaction holds a connection.
	txOpen
	// txAborted means that the transaction was rolled back and the caller has not ended it yet.
	txAborted
)

// transaction is the state of a session's transaction.
type transaction struct {
	phase    txPhase
	readOnly bool
	conn     *conn
	server   *server
	pool     topology.Pool
	wrote    bool
	// holder is the other proxy that keeps the transaction, under a number; nil for one that this proxy keeps.
	holder *placement.Proxy
	number uint64
}

func (t *transaction) state() State {
	switch t.phase {
	case txNone:
		return Idle
	case txAborted:
		return Aborted
	case txBegun, txOpen:
	}

	return Open
}

// rollbackTimeout bounds the rollback of a transaction that its caller has left. The connection is closed after it,
// which rolls back as well.
const rollbackTimeout = 500 * time.Millisecond

// errAborted answers statements after the failure of a transaction.
var errAborted = result.New(result.Protocol, "the transaction has failed and can only be ended")

// abortedError says that a transaction was rolled back.
type abortedError struct {
	cause error
}

// Error implements error.
func (e *abortedError) Error() string {
	return "the transaction was rolled back: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *abortedError) Unwrap() error {
	return e.cause
}

// IsRolledBack reports whether an error says that a transaction was rolled back.
func IsRolledBack(err error) bool {
	var aborted *abortedError

	return errors.As(err, &aborted)
}

// begin notes the beginning of a transaction. A backend server is chosen when the first statement shows what is needed,
// so that a pause of the caller holds no connection.
func (s *session) begin(statement Statement) Reply {
	switch s.tx.phase {
	case txAborted:
		return s.refuse(statement, errAborted)
	case txBegun, txOpen:
		return s.refuse(statement, result.New(result.Protocol, "a transaction is open already"))
	case txNone:
	}

	pool, err := s.pool()
	if err != nil {
		return s.refuse(statement, err)
	}

	s.tx = transaction{phase: txBegun, readOnly: statement.Kind == BeginRead, pool: pool}

	return Reply{State: Open}
}

// inAborted serves a statement after the failure of the transaction.
func (s *session) inAborted(statement Statement) Reply {
	switch statement.Kind {
	case Rollback:
		s.tx = transaction{}

		return Reply{}
	case Commit:
		s.tx = transaction{}

		return s.refuse(statement, &abortedError{result.New(result.NoPrimary, "a statement of the transaction failed")})
	default:
		return s.refuse(statement, errAborted)
	}
}

// inTransaction serves a statement of an open transaction.
func (s *session) inTransaction(command Command, needed *prepared) Reply {
	if s.tx.phase == txBegun {
		if command.Kind == Rollback {
			s.tx = transaction{}

			return Reply{}
		}

		if among := s.gateway.view.Load().holders[s.tx.pool.Group]; among.remote() {
			return s.forwardFirst(among.proxies, command, needed)
		}

		return s.first(command, needed)
	}

	if s.tx.holder != nil {
		return s.forwardNext(command, needed)
	}

	return s.next(command, needed)
}

// first runs the first statement of a transaction. Nothing of the transaction has run before, so that it may begin
// again elsewhere.
func (s *session) first(command Command, needed *prepared) Reply {
	w := &work{
		session: s, pool: s.tx.pool, command: command, needed: needed, deadline: time.Now().Add(s.tx.pool.Timeout),
	}
	begin, choose := Command{Statement: Statement{Kind: Begin}}, w.primary

	if s.tx.readOnly {
		begin.Kind, choose = BeginRead, w.choose
	}

	to, answer, done := w.run(choose, &begin, func(_ target, answer Answer, err error) bool {
		var lost *lostError

		// A commit that was sent may have been carried out, though the transaction holds nothing.
		return err == nil && answer.Outcome.Ran() || errors.As(err, &lost) && command.Kind == Commit
	})
	if done {
		s.tx.phase, s.tx.server = txOpen, to.server

		return s.ran(command, answer)
	}

	reply := w.give()

	var ran *OutcomeError
	if !errors.As(reply.Err, &ran) || !ran.Outcome.Ran() {
		reply.Err = &abortedError{reply.Err}
	}

	return s.abandon(command, reply.Err)
}

// next runs a further statement of a transaction on its connection.
func (s *session) next(command Command, needed *prepared) Reply {
	used := s.tx.conn
	deadline := time.Now().Add(s.tx.pool.Timeout)
	commands := used.setup(s.values, needed)

	s.tx.server.running.Add(1)
	answer, err := used.run(deadline, append(commands, command)...)
	s.tx.server.end()

	for pause := busyPause; err == nil && answer.Outcome == Busy && answer.State == Open; pause *= 2 {
		// The statement did not run and the transaction is open: it waits for room.
		if time.Now().Add(pause).After(deadline) {
			break
		}

		time.Sleep(pause)
		s.gateway.count("retries")

		answer, err = used.run(deadline, append(used.setup(s.values, needed), command)...)
	}

	switch {
	case errors.Is(err, errSetup):
		return s.abort(command, &abortedError{result.New(result.ServerUnreachable, "session state: %s", answer.Detail)})
	case err != nil:
		return s.unanswered(command, err)
	case answer.Outcome != Done && answer.Outcome.Ran():
		return s.abort(command, answer.Err())
	case answer.Outcome != Done:
		return s.abort(command, &abortedError{answer.Err()})
	}

	return s.ran(command, answer)
}

// unanswered returns the reply to a statement of a transaction whose connection was lost. The server rolls back unless
// it had received a commit.
func (s *session) unanswered(command Command, err error) Reply {
	at := s.tx.server

	if command.Kind == Rollback {
		s.release(true)
		s.tx = transaction{}

		return Reply{}
	}

	at.fail(time.Now())

	if command.Kind == Commit && s.tx.wrote {
		return s.abort(command, result.New(result.ConnectionLost, "server %s did not answer the commit: %w", at.id, err))
	}

	return s.abort(command, &abortedError{result.New(result.ServerUnreachable, "server %s did not answer: %w", at.id, err)})
}

// busyPause is the first pause before a statement of a transaction is repeated at a server without room.
const busyPause = 5 * time.Millisecond

// ran returns the reply to a statement that a transaction has run.
func (s *session) ran(command Command, answer Answer) Reply {
	s.tx.server.answer(time.Now())

	reply := Reply{Rows: answer.Rows, Signature: answer.Signature, Position: answer.Position, State: Open}
	s.tx.wrote = s.tx.wrote || command.Writes

	if command.Kind != Commit && command.Kind != Rollback {
		return reply
	}

	if command.Kind == Commit && s.tx.wrote {
		s.wrote = answer.Position
	}

	s.release(answer.State != Idle)
	s.tx = transaction{}
	reply.State = Idle

	return reply
}

// abort ends the transaction on the backend server after a failure. For the caller it goes on until the caller ends it.
func (s *session) abort(command Command, err error) Reply {
	s.gateway.refused(command.Statement, s.database, err, 1)

	return s.abandon(command, err)
}

// abandon is abort for a failure that is logged already.
func (s *session) abandon(command Command, err error) Reply {
	s.rollback()
	s.tx = transaction{phase: txAborted}

	if command.Kind == Commit || command.Kind == Rollback {
		s.tx = transaction{}
	}

	return Reply{Err: err, State: s.tx.state()}
}

// expire ends a transaction whose caller has sent nothing for too long.
func (s *session) expire() {
	if s.tx.phase != txOpen {
		return
	}

	s.gateway.options.Logger.Info("idle transaction rolled back", "database", s.database)
	s.gateway.count("idle_transactions")
	s.rollback()
	s.tx = transaction{phase: txAborted}
}

// rollback ends an open transaction on the backend server.
func (s *session) rollback() {
	if s.tx.holder != nil {
		s.leaveHolder()
	}

	if s.tx.conn == nil {
		return
	}

	s.tx.conn.settle(Open)
	s.release(false)
}

// release returns the connection of the transaction.
func (s *session) release(broken bool) {
	if s.tx.conn == nil {
		return
	}

	s.tx.conn.broken = s.tx.conn.broken || broken
	s.tx.server.pool.put(s.tx.conn)
	s.tx.conn = nil
}
