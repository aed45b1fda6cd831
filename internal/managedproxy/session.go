package managedproxy

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/route"
	"almondgrade/core/topology"
)

// loginTimeout bounds the time between a connection and its first message. Callers send it at once.
const loginTimeout = 5 * time.Second

// configurationWait is the time for which a new session waits for the first configuration. Callers give up after 2 s.
const configurationWait = 1500 * time.Millisecond

// session serves one caller. Its fields belong to its goroutine, except the atomic ones.
type session struct {
	gateway  *Gateway
	caller   Caller
	number   uint64
	database string
	values   map[string]string
	prepared map[string]*prepared
	// wrote is the position of the session's last commit.
	wrote position.Position
	tx    transaction
	// elsewhere is true for a statement that may go to another holder, and declined if it has to: this proxy does not reach
	// the primary, and the statement did not run.
	elsewhere bool
	declined  bool
	// candidates is reused for routing decisions.
	candidates []route.Server
	// closing makes the session end when it is idle, ending also in a transaction.
	closing atomic.Bool
	ending  atomic.Bool
}

func newSession(g *Gateway, caller Caller) *session {
	return &session{
		gateway: g, caller: caller, number: g.sequence.Add(1),
		values: make(map[string]string), prepared: make(map[string]*prepared),
	}
}

// login begins the session. It is false if the caller was rejected.
func (s *session) login() bool {
	database, err := s.caller.Login(time.Now().Add(loginTimeout))
	if err != nil {
		return false
	}

	s.database = database

	if _, err := s.pool(); err != nil {
		s.gateway.refused(Statement{}, s.database, err, 0)
		s.caller.Reject(err)

		return false
	}

	return s.caller.Welcome() == nil
}

// pool returns the pool of the session's database. Without a configuration it waits for one, because the database may
// exist, and without a view it waits to learn who holds the connections.
func (s *session) pool() (topology.Pool, error) {
	present, changed := s.gateway.wait()

	for deadline := time.Now().Add(configurationWait); present.configuration == nil || !present.placed; {
		timer := time.NewTimer(time.Until(deadline))

		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return topology.Pool{}, result.New(result.Unconfirmed, "the proxy has no configuration or no view yet")
		}

		present, changed = s.gateway.wait()
	}

	found := present.pools[s.database]
	if found == nil {
		return topology.Pool{}, result.New(result.PoolUnknown, "configuration %d has no database %q",
			present.configuration.Number, s.database)
	}

	return *found, nil
}

// run serves the caller until it leaves or the session is closed.
func (s *session) run() {
	defer s.rollback()

	for {
		statement, err := s.caller.Next(s.idleDeadline())

		switch {
		case errors.Is(err, ErrInterrupted):
		case errors.Is(err, ErrIdle):
			s.expire()
		case err != nil:
			if !errors.Is(err, io.EOF) {
				s.gateway.options.Logger.Debug("caller's connection ended", "error", err)
			}

			return
		default:
			if err := s.caller.Reply(s.serve(statement)); err != nil {
				s.gateway.options.Logger.Debug("caller did not take the answer", "request", statement.ID, "error", err)

				return
			}
		}

		if s.closing.Load() && s.tx.phase == txNone || s.ending.Load() {
			return
		}
	}
}

// idleDeadline returns the time at which an open transaction without a statement is ended.
func (s *session) idleDeadline() time.Time {
	present := s.gateway.view.Load()
	if s.tx.phase != txOpen || present.configuration == nil || present.configuration.Limits.IdleTransactionTimeout <= 0 {
		return time.Time{}
	}

	return time.Now().Add(present.configuration.Limits.IdleTransactionTimeout)
}

// serve runs a statement and returns the reply.
func (s *session) serve(statement Statement) Reply {
	switch statement.Kind {
	case Malformed:
		return s.refuse(statement, result.New(result.Protocol, "%s", statement.Text))
	case Set, Prepare, Deallocate:
		return s.define(statement)
	case Begin, BeginRead:
		return s.begin(statement)
	case Read, Write, Execute, Commit, Rollback:
		return s.execute(statement)
	default:
		return s.refuse(statement, result.New(result.Protocol, "statements of this kind are not for callers"))
	}
}

// define serves the statements that change only what the proxy keeps of the session.
func (s *session) define(statement Statement) Reply {
	if s.tx.phase == txAborted {
		return s.refuse(statement, errAborted)
	}

	switch statement.Kind {
	case Set:
		s.values[statement.Name] = statement.Value
	case Prepare:
		s.prepared[statement.Name] = s.gateway.names.get(statement.Value, statement.Writes)
	default:
		if s.prepared[statement.Name] == nil {
			return s.refuse(statement, &OutcomeError{Outcome: UnknownStatement, Detail: statement.Name})
		}

		delete(s.prepared, statement.Name)
	}

	return Reply{State: s.tx.state()}
}

// execute serves the statements that a backend server runs.
func (s *session) execute(statement Statement) Reply {
	command := Command{Statement: statement}

	var needed *prepared

	if statement.Kind == Execute {
		needed = s.prepared[statement.Name]
		if needed == nil {
			return s.refuse(statement, &OutcomeError{Outcome: UnknownStatement, Detail: statement.Name})
		}

		command.Prepared, command.Writes = needed.name, needed.writes
	}

	s.gateway.budget.Request(time.Now())

	switch s.tx.phase {
	case txAborted:
		return s.inAborted(statement)
	case txBegun, txOpen:
		return s.inTransaction(command, needed)
	case txNone:
	}

	if statement.Kind == Commit || statement.Kind == Rollback {
		return s.refuse(statement, result.New(result.Protocol, "no transaction is open"))
	}

	pool, err := s.pool()
	if err != nil {
		return s.refuse(statement, err)
	}

	if among := s.gateway.view.Load().holders[pool.Group]; among.remote() {
		return s.forwardSingle(among.proxies, pool, command, needed)
	}

	return s.single(&work{
		session: s, pool: pool, command: command, needed: needed, deadline: time.Now().Add(pool.Timeout),
	})
}

// single runs a statement outside a transaction.
func (s *session) single(work *work) Reply {
	if work.command.Writes {
		return work.write()
	}

	return work.read()
}

// refuse returns the reply to a statement that a backend server did not run or did not answer.
func (s *session) refuse(statement Statement, err error) Reply {
	s.gateway.refused(statement, s.database, err, 0)

	return Reply{Err: err, State: s.tx.state()}
}
