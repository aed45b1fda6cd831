package managedproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"almondgrade/core/drain"
	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/route"
	"almondgrade/core/topology"
)

// loginTimeout bounds the wait for the first message of a new connection. Callers send it at once.
const loginTimeout = 5 * time.Second

// configurationTimeout bounds the time for which a new session waits for the first configuration. Callers give up
// after 2 s.
const configurationTimeout = 1500 * time.Millisecond

// session serves one caller. Its fields belong to its goroutine, except the atomic ones.
type session struct {
	gateway *Gateway
	caller  Caller
	id      uint64
	// began is the time at which the caller connected.
	began     time.Time
	database  string
	identity  sessionIdentity
	variables map[string]string
	prepared  map[string]*preparedStatement
	// lastCommit is the position of the session's last commit.
	lastCommit position.Position
	tx         transaction
	// statementBegan is the time at which the caller's current statement was received.
	statementBegan time.Time
	// mayDecline is true for a statement that can still be sent to another holder. declined is true if it has to: this
	// proxy does not reach the primary or does not hear from control, and the statement did not run.
	mayDecline bool
	declined   bool
	// ownTurn is true if a statement that was to run on another holder has not run, and has to run here.
	ownTurn bool
	// operation is what the limit of the session's customer needs to know of the operation in progress.
	operation limitedOperation
	// attemptsLeft is the number of attempts that the current statement may still make, here and on other proxies.
	attemptsLeft int8
	// abandoned is true in a session that stands in for another proxy's, once that has said that the caller is gone.
	abandoned atomic.Bool
	// token identifies the session to holders, or is the token of the sender's session in one that stands in for it.
	token uint64
	// watch is nil in a session that stands in for another proxy's.
	watch *forwardWatch
	// candidates is a buffer for routing decisions.
	candidates []route.Server
	// running is the statement in progress, or nil. Who replaces it by nil sends the answer: the goroutine of the session,
	// or a planned stop that can't wait any longer.
	running atomic.Pointer[runningStatement]
	// hasReceived is true once a statement has been received.
	hasReceived atomic.Bool
	// ending is true once the caller has been told that the session ends.
	ending atomic.Bool
	// answeredByStop is true once a planned stop has answered a statement. It then also ends the session.
	answeredByStop bool
	// interruptedIn is the last phase of a planned stop in which the session was interrupted. The gateway's mutex protects it.
	interruptedIn drain.Phase
}

func newSession(g *Gateway, caller Caller) *session {
	return &session{
		gateway: g, caller: caller, id: g.lastSessionID.Add(1), began: time.Now(),
		variables: make(map[string]string), prepared: make(map[string]*preparedStatement), attemptsLeft: maxAttempts,
		token: rand.Uint64() | 1, watch: &forwardWatch{},
	}
}

// serve runs the session from the login to its end.
func (s *session) serve() {
	accepted := s.login()
	s.gateway.endLogin(s, accepted)

	if accepted {
		s.run()
	}

	if s.answeredByStop {
		return
	}

	s.gateway.endSession(s)
	s.caller.Close()
}

// login reads the login and accepts the session. It returns false if there is no session.
func (s *session) login() bool {
	login, err := s.caller.Login(time.Now().Add(loginTimeout))
	if err != nil {
		return false
	}

	s.database = login.Database
	s.identity.setKey(login.Key)

	pool, err := s.databasePool()
	if err == nil {
		err = s.identify(pool)
	}

	if err == nil && s.gateway.refusesNewWork() {
		// Callers may come back many times a second, so these refusals are only counted.
		s.gateway.options.Metrics.Count(result.Draining)
		s.caller.RejectSession(errShuttingDown)

		return false
	}

	if err != nil {
		s.gateway.logRefusal(Statement{}, s.database, err, 0)
		s.caller.RejectSession(err)

		return false
	}

	return s.caller.AcceptSession() == nil
}

// databasePool returns the pool of the session's database. It waits for a first configuration, because the database
// may exist, and for a first view, which tells who holds the connections.
func (s *session) databasePool() (topology.Pool, error) {
	current, changed := s.gateway.watchView()

	for deadline := time.Now().Add(configurationTimeout); current.configuration == nil || !current.holdersKnown; {
		timer := time.NewTimer(time.Until(deadline))

		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return topology.Pool{}, result.New(result.Unconfirmed, "the proxy has not received a configuration and a view yet")
		}

		current, changed = s.gateway.watchView()
	}

	found := current.pools[s.database]
	if found == nil {
		return topology.Pool{}, result.New(result.PoolUnknown, "configuration %d has no database %q",
			current.configuration.Number, s.database)
	}

	return *found, nil
}

// run serves statements until the caller leaves or the session is closed.
func (s *session) run() {
	defer s.rollback()

	for {
		statement, err := s.caller.Next(s.idleDeadline())

		var answered *Statement

		switch {
		case errors.Is(err, ErrInterrupted):
		case errors.Is(err, ErrIdleTimeout):
			s.rollbackIdle()

			if s.identity.ended.Load() {
				s.end(&rolledBackError{errKeyWithdrawn})

				return
			}
		case err != nil:
			if !errors.Is(err, io.EOF) {
				s.gateway.options.Logger.Debug("caller's connection ended", "error", err)
			}

			return
		default:
			running := &runningStatement{id: statement.ID, kind: statement.Kind, received: time.Now(), inTransaction: s.tx.phase != txNone}
			s.hasReceived.Store(true)
			s.running.Store(running)

			reply := s.serveStatement(statement)
			if !s.running.CompareAndSwap(running, nil) {
				s.answeredByStop = true

				return
			}

			if err := s.caller.Reply(reply); err != nil {
				s.gateway.options.Logger.Debug("answer could not be sent to the caller", "request", statement.ID, "error", err)

				return
			}

			answered = &statement
		}

		if s.identity.ended.Load() && s.tx.phase == txNone {
			s.end(errKeyWithdrawn)

			return
		}

		if s.endsForStop(answered) {
			s.end(errShuttingDown)

			return
		}
	}
}

// endTimeout is the time that a caller has to close its connection after it was told that its session ends.
const endTimeout = 300 * time.Millisecond

// end tells the caller why its session ends, and waits until it has closed its connection. A statement that was on its way
// is refused.
func (s *session) end(reason error) {
	s.ending.Store(true)

	for _, id := range s.caller.EndSession(reason, time.Now().Add(endTimeout)) {
		s.gateway.logRefusal(Statement{ID: id}, s.database, reason, 0)
	}
}

// idleDeadline returns the time at which an open transaction that gets no statement is rolled back, or at which the
// session ends because its key was withdrawn.
func (s *session) idleDeadline() time.Time {
	current := s.gateway.view.Load()
	if s.tx.phase != txOpen || current.configuration == nil || current.configuration.Limits.IdleTransactionTimeout <= 0 {
		return s.identity.limitDeadline(time.Time{})
	}

	return s.identity.limitDeadline(time.Now().Add(current.configuration.Limits.IdleTransactionTimeout))
}

// serveStatement runs a statement and returns the reply.
func (s *session) serveStatement(statement Statement) Reply {
	if s.tx.stopped {
		return s.serveStopped(statement)
	}

	switch statement.Kind {
	case Malformed:
		return s.refuse(statement, result.New(result.Protocol, "%s", statement.Text))
	case Set, Prepare, Deallocate:
		return s.updateState(statement)
	case Begin, BeginRead:
		return s.begin(statement)
	case Read, Write, Execute, Commit, Rollback:
		reply := s.runOnServer(statement)
		s.gateway.countForCustomer(s.identity.customer, reply.Err)

		return reply
	default:
		return s.refuse(statement, result.New(result.Protocol, "callers can't send statements of this kind"))
	}
}

// updateState serves the statements that change only session state in the proxy.
func (s *session) updateState(statement Statement) Reply {
	if s.tx.phase == txAborted {
		return s.refuse(statement, errAborted)
	}

	switch statement.Kind {
	case Set:
		s.variables[statement.Name] = statement.Value
	case Prepare:
		s.prepared[statement.Name] = s.gateway.statementNames.get(statement.Value, statement.Writes)
	default:
		if s.prepared[statement.Name] == nil {
			return s.refuse(statement, &OutcomeError{Outcome: UnknownStatement, Detail: statement.Name})
		}

		delete(s.prepared, statement.Name)
	}

	return Reply{State: s.tx.state()}
}

// runOnServer serves the statements that run on a backend server.
func (s *session) runOnServer(statement Statement) Reply {
	command := Command{Statement: statement}

	var prepared *preparedStatement

	if statement.Kind == Execute {
		prepared = s.prepared[statement.Name]
		if prepared == nil {
			return s.refuse(statement, &OutcomeError{Outcome: UnknownStatement, Detail: statement.Name})
		}

		command.Prepared, command.Writes = prepared.name, prepared.writes
	}

	s.statementBegan = time.Now()
	s.attemptsLeft = maxAttempts
	s.gateway.budget.RecordRequest(s.statementBegan)

	if s.tx.phase == txOpen && s.identity.isPastGrace(s.statementBegan) || s.tx.phase == txBegun && s.identity.ended.Load() {
		return s.abort(command, &rolledBackError{errKeyWithdrawn})
	}

	switch s.tx.phase {
	case txAborted:
		return s.serveAborted(statement)
	case txBegun, txOpen:
		return s.serveInTransaction(command, prepared)
	case txNone:
	}

	if statement.Kind == Commit || statement.Kind == Rollback {
		return s.refuse(statement, result.New(result.Protocol, "no transaction is open"))
	}

	pool, err := s.databasePool()
	if err == nil {
		err = s.identify(pool)
	}

	if err == nil {
		err = s.admit(s.statementBegan.Add(pool.Timeout))
	}

	if err != nil {
		return s.refuse(statement, err)
	}

	return s.settle(s.runOrForward(pool.Group, func() Reply {
		return s.runSingle(&statementRun{
			session: s, pool: pool, command: command, prepared: prepared, began: s.statementBegan,
			deadline: s.statementBegan.Add(pool.Timeout),
		})
	}, func(holders []placement.Proxy) Reply {
		return s.forwardSingle(holders, pool, command, prepared)
	}))
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(run *statementRun) Reply {
	if run.command.Writes {
		return run.runWrite()
	}

	return run.runRead()
}

// refuse logs the failure of a statement that no backend server has answered, and returns the reply.
func (s *session) refuse(statement Statement, err error) Reply {
	s.gateway.logRefusal(statement, s.database, err, 0)

	return Reply{Err: err, State: s.tx.state()}
}
