package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/placement"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

// txPhase is the phase of a session's transaction.
type txPhase uint8

const (
	txNone txPhase = iota
	// txBegun means that the caller has begun a transaction, but no backend server is involved yet.
	txBegun
	// txOpen means that the transaction holds a connection.
	txOpen
	// txAborted means that the transaction was rolled back, but the caller has not ended it yet.
	txAborted
)

// transaction is the state of a session's transaction.
type transaction struct {
	phase    txPhase
	readOnly bool
	conn     *conn
	server   *server
	// group is the group as it was known when the server was chosen.
	group      *viewGroup
	pool       topology.Pool
	hasWritten bool
	// stopped is true if a planned stop has rolled the transaction back and the caller has not been told yet.
	stopped bool
	// holder is the other proxy that keeps the transaction, under id; nil if this proxy keeps it.
	holder *placement.Proxy
	id     uint64
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

// rollbackTimeout bounds the rollback of a transaction that its caller has abandoned. After it the connection is
// closed, which rolls back as well.
const rollbackTimeout = 500 * time.Millisecond

// errAborted is returned for statements after the failure of a transaction.
var errAborted = result.New(result.Protocol, "the transaction has failed and can only be ended")

// rolledBackError means that a transaction was rolled back.
type rolledBackError struct {
	cause error
}

// Error implements error.
func (e *rolledBackError) Error() string {
	return "the transaction was rolled back: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *rolledBackError) Unwrap() error {
	return e.cause
}

// IsRolledBack reports whether an error says that a transaction was rolled back.
func IsRolledBack(err error) bool {
	var rolledBack *rolledBackError

	return errors.As(err, &rolledBack)
}

// begin records the beginning of a transaction. The backend server is chosen at the first statement, when the need is
// known; a caller that pauses before it occupies no connection.
func (s *session) begin(statement Statement) Reply {
	switch s.tx.phase {
	case txAborted:
		return s.refuse(statement, errAborted)
	case txBegun, txOpen:
		return s.refuse(statement, result.New(result.Protocol, "a transaction is already open"))
	case txNone:
	}

	pool, err := s.databasePool()
	if err == nil {
		err = s.identify(pool)
	}

	if err != nil {
		return s.refuse(statement, err)
	}

	s.tx = transaction{phase: txBegun, readOnly: statement.Kind == BeginRead, pool: pool}

	return Reply{State: Open}
}

// serveAborted serves a statement after the transaction has failed.
func (s *session) serveAborted(statement Statement) Reply {
	switch statement.Kind {
	case Rollback:
		s.tx = transaction{}

		return Reply{}
	case Commit:
		s.tx = transaction{}

		return s.refuse(statement, &rolledBackError{result.New(result.NoPrimary, "a statement of the transaction failed")})
	default:
		return s.refuse(statement, errAborted)
	}
}

// serveInTransaction serves a statement of an open transaction.
func (s *session) serveInTransaction(command Command, prepared *preparedStatement) Reply {
	if s.tx.phase == txBegun {
		if command.Kind == Rollback {
			s.tx = transaction{}

			return Reply{}
		}

		if err := s.admit(s.statementBegan.Add(s.tx.pool.Timeout)); err != nil {
			return s.abort(command, err)
		}

		return s.settle(s.runOrForward(s.tx.pool.Group, func() Reply {
			return s.runFirst(command, prepared)
		}, func(holders []placement.Proxy) Reply {
			return s.forwardFirst(holders, command, prepared)
		}))
	}

	if s.tx.holder != nil {
		return s.forwardNext(command, prepared)
	}

	return s.runNext(command, prepared)
}

// runFirst runs the first statement of a transaction. Nothing of the transaction has run before, so it may begin again
// on another server.
func (s *session) runFirst(command Command, prepared *preparedStatement) Reply {
	run := &statementRun{session: s, pool: s.tx.pool, command: command, prepared: prepared, began: s.statementBegan}
	if run.began.IsZero() {
		run.began = time.Now() // The statement of another proxy's caller.
	}

	run.deadline = run.began.Add(s.tx.pool.Timeout)
	begin, choose := Command{Statement: Statement{Kind: Begin}}, run.choosePrimary

	if s.tx.readOnly {
		begin.Kind, choose = BeginRead, run.chooseForRead
	}

	to, answer, done := run.run(choose, &begin, func(_ target, answer Answer, err error) bool {
		var lost *noAnswerError

		// A commit that was sent may have succeeded, even though the transaction is empty.
		return err == nil && answer.Outcome.Ran() || errors.As(err, &lost) && command.Kind == Commit
	})
	if done {
		s.tx.phase, s.tx.server, s.tx.group = txOpen, to.server, to.group

		return s.completeStatement(command, answer)
	}

	reply := run.failureReply()

	var outcome *OutcomeError
	if !errors.As(reply.Err, &outcome) || !outcome.Outcome.Ran() {
		reply.Err = &rolledBackError{reply.Err}
	}

	return s.abortLogged(command, reply.Err)
}

// runNext runs a further statement of a transaction on its connection.
func (s *session) runNext(command Command, prepared *preparedStatement) Reply {
	conn := s.tx.conn
	deadline := time.Now().Add(s.tx.pool.Timeout)
	commands := conn.setupCommands(s.variables, prepared)

	var commit *sentCommit

	if command.Kind == Commit && s.tx.hasWritten {
		var refusal error

		commit, refusal = s.gateway.beginCommit(s.tx.group, s.tx.server)
		if refusal != nil {
			s.gateway.count("commits_stopped")

			return s.abort(command, &rolledBackError{refusal})
		}

		defer commit.end()
	}

	began := time.Now()

	s.tx.server.runningStatements.Add(1)
	s.tx.server.recordStart(began)
	answer, err := conn.run(deadline, append(commands, command)...)
	ended := time.Now()
	s.tx.server.recordEnd(ended, statementKind(&s.tx.pool, &command, len(commands) > 0), answer, err, ended.Sub(began))
	s.tx.server.endStatement()

	for pause := firstBusyPause; err == nil && answer.Outcome == Busy && answer.State == Open; pause *= 2 {
		// The statement did not run and the transaction is still open, so it is retried.
		if time.Now().Add(pause).After(deadline) {
			break
		}

		time.Sleep(pause)
		s.gateway.count("retries")

		answer, err = conn.run(deadline, append(conn.setupCommands(s.variables, prepared), command)...)
	}

	switch {
	case errors.Is(err, errSetup):
		return s.abort(command, &rolledBackError{result.New(result.ServerUnreachable, "session state could not be set up: %s", answer.Detail)})
	case errors.Is(err, errAmbiguous) && command.Kind != Commit:
		return s.abort(command, &rolledBackError{result.New(result.ServerUnreachable, "it can't be told whether the statement failed: %s", answer.Detail)})
	case err != nil:
		return s.failUnanswered(command, err)
	case answer.Outcome != Done && answer.Outcome.Ran():
		return s.abort(command, answer.Err())
	case answer.Outcome != Done:
		return s.abort(command, &rolledBackError{answer.Err()})
	}

	lastCommit := s.lastCommit
	reply := s.completeStatement(command, answer)

	if commit != nil {
		if err := commit.confirm(answer.Position, deadline); err != nil {
			s.lastCommit = lastCommit

			return s.refuse(command.Statement, err)
		}
	}

	return reply
}

// failUnanswered returns the reply to a statement of a transaction whose connection was lost. The server rolls back
// unless it has received a commit.
func (s *session) failUnanswered(command Command, err error) Reply {
	server := s.tx.server

	if command.Kind == Rollback {
		s.releaseConn(true)
		s.tx = transaction{}

		return Reply{}
	}

	server.recordFailure(time.Now())

	if command.Kind == Commit && s.tx.hasWritten {
		return s.abort(command, result.New(result.ConnectionLost, "server %s did not answer the commit: %w", server.id, err))
	}

	return s.abort(command, &rolledBackError{result.New(result.ServerUnreachable, "server %s did not answer: %w", server.id, err)})
}

// firstBusyPause is the first pause before a statement of a transaction is retried on a busy server.
const firstBusyPause = 5 * time.Millisecond

// completeStatement returns the reply to a statement that ran in the transaction, and ends the transaction after a
// commit or rollback.
func (s *session) completeStatement(command Command, answer Answer) Reply {
	s.tx.server.recordAnswer(time.Now())

	reply := Reply{Rows: answer.Rows, Signature: answer.Signature, Position: answer.Position, State: Open}
	if command.Writes && !s.tx.hasWritten {
		s.tx.hasWritten = true
		s.tx.server.openWrites.Add(1)
	}

	if command.Kind != Commit && command.Kind != Rollback {
		if answer.State != Open {
			// The statement may have run outside the transaction, so nothing is promised about it.
			return s.abort(command, result.New(result.ConnectionLost, "server %s has no transaction open for the statement", s.tx.server.id))
		}

		return reply
	}

	if command.Kind == Commit && s.tx.hasWritten {
		s.lastCommit = answer.Position
	}

	s.releaseConn(false)
	s.tx = transaction{}
	reply.State = Idle

	return reply
}

// abort logs a failure and ends the transaction on the backend server. For the caller it stays aborted until the
// caller ends it.
func (s *session) abort(command Command, err error) Reply {
	s.gateway.logRefusal(command.Statement, s.database, err, 1)

	return s.abortLogged(command, err)
}

// abortLogged is abort for a failure that was logged before.
func (s *session) abortLogged(command Command, err error) Reply {
	s.rollback()
	s.tx = transaction{phase: txAborted}

	if command.Kind == Commit || command.Kind == Rollback {
		s.tx = transaction{}
	}

	return Reply{Err: err, State: s.tx.state()}
}

// rollbackIdle rolls back a transaction whose caller has sent nothing for too long.
func (s *session) rollbackIdle() {
	if s.tx.phase != txOpen {
		return
	}

	s.gateway.options.Logger.Info("idle transaction rolled back", "database", s.database)
	s.gateway.count("idle_transactions")
	s.rollback()
	s.tx = transaction{phase: txAborted}
}

// rollback rolls back an open transaction on the backend server or at its holder.
func (s *session) rollback() {
	if s.tx.holder != nil {
		s.rollbackAtHolder()
	}

	if s.tx.conn == nil {
		return
	}

	s.tx.conn.rollbackUnlessIdle()
	s.releaseConn(false)
}

// releaseConn returns the transaction's connection to its pool.
func (s *session) releaseConn(broken bool) {
	if s.tx.conn == nil {
		return
	}

	s.tx.conn.broken = s.tx.conn.broken || broken
	s.tx.server.connPool.put(s.tx.conn)
	s.tx.conn = nil

	if s.tx.hasWritten {
		s.tx.server.openWrites.Add(-1)
	}
}
