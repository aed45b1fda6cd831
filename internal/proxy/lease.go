package proxy

import (
	"context"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/io/backend"
)

const (
	// staleAfter is the time after which an idle connection is tried before a statement is sent over it. An open
	// connection may have gone silent meanwhile, and a statement that was sent can't be taken back.
	staleAfter = time.Second
	// tryTimeout bounds such a trial, and each change of a connection's state.
	tryTimeout = time.Second
)

// lease is a backend connection that a session holds, with the slot of its statement.
type lease struct {
	pool   *serverPool
	conn   *backend.Conn
	slot   Permit
	server string
	// primary is true if the server was the primary of term when the connection was taken.
	primary bool
	term    position.Term
}

// free returns the slot.
func (l *lease) free() {
	if l.slot != nil {
		l.pool.load.Add(-1)
		l.slot.Release()
		l.slot = nil
	}
}

// put returns the slot and the connection.
func (l *lease) put() {
	l.free()
	l.pool.Put(l.conn)
}

// acquire waits for a connection to a server and for a slot.
//
// Nobody waits for a connection while holding a slot, because the holders of connections may themselves wait for
// slots. An idle connection is therefore taken when the slot is there; only a request that finds none holds a
// connection while it waits for a slot.
func (s *session) acquire(ctx context.Context, view *registry.View, server registry.Server, r *request) (*lease, error) {
	pool := s.server.pools.get(server, view.Running.Pools[s.target.pool].Database)
	term := primaryTerm(view, server)
	want := backend.Criteria{SettingsKey: s.parameters.key, ReadOnly: r.class != classWrite, Term: term}
	held := &lease{pool: pool, server: server.Name, primary: term != 0, term: term}

	leave, err := s.queue(r)
	if err != nil {
		return nil, err
	}

	defer leave()

	if _, idle := pool.Size(); idle > 0 {
		if err = s.occupy(ctx, held, r); err != nil {
			return nil, waitError(ctx, err)
		}

		if held.conn = pool.TryGet(want); held.conn != nil {
			return held, nil
		}

		held.free()
	}

	if held.conn, err = pool.Get(ctx, want, r.rule.Urgent); err != nil {
		return nil, waitError(ctx, err)
	}

	if err = s.occupy(ctx, held, r); err != nil {
		pool.Put(held.conn)

		return nil, waitError(ctx, err)
	}

	return held, nil
}

// occupy waits for a slot.
func (s *session) occupy(ctx context.Context, held *lease, r *request) error {
	slot, err := s.server.options.Coordination.Slot(ctx, held.server, r.rule.Urgent)
	if err != nil {
		return err
	}

	held.slot = slot
	held.pool.load.Add(1)

	return nil
}

// queue counts a request in among those of its rule that wait.
func (s *session) queue(r *request) (func(), error) {
	counter := s.server.waiting.of(s.target.pool + "/" + r.rule.Name)

	if count := counter.Add(1); r.rule.Queue > 0 && count > int64(r.rule.Queue) {
		counter.Add(-1)

		return nil, result.New(result.QueueFull, "%d requests of rule %q wait already", r.rule.Queue, r.rule.Name)
	}

	return func() { counter.Add(-1) }, nil
}

// waitError says why a wait ended. Nothing has been sent.
func waitError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}

	return startError(ctx)
}

// startError is the answer to a request that ended before anything was sent.
func startError(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && cause != context.DeadlineExceeded { //nolint:errorlint // The cause is not wrapped.
		if cause == errEnded { //nolint:errorlint // As above.
			return errDraining()
		}

		return cause
	}

	return result.New(result.DeadlinePassed, "the request could not start before its deadline")
}

// prepare brings a connection into the session's state. After an error that is no *backend.ServerError the
// connection is lost; nothing of the request has been sent.
func (s *session) prepare(held *lease, r *request) error {
	conn := held.conn
	now := time.Now()
	deadline := now.Add(tryTimeout)
	clean := conn.SettingsKey == s.parameters.key && !conn.Dirty

	if conn.IdleTime(now) > staleAfter && clean && conn.ReadOnly == (r.class != classWrite) {
		return conn.Exec(deadline, "")
	}

	setup := ""

	if !clean {
		if conn.Dirty || conn.SettingsKey != "" {
			if err := conn.Exec(deadline, "DISCARD ALL"); err != nil {
				conn.Taint()

				return err
			}

			conn.Prepared.Clear()
			conn.Dirty, conn.ReadOnly, conn.SettingsKey = false, false, ""
		}

		setup = s.parameters.key
	}

	if readOnly := r.class != classWrite; conn.ReadOnly != readOnly {
		setup += s.mode(readOnly)
	}

	if setup == "" {
		return nil
	}

	if err := conn.Exec(deadline, setup); err != nil {
		// Some of the settings may be in force.
		conn.Taint()

		return err
	}

	conn.SettingsKey = s.parameters.key
	conn.ReadOnly = r.class != classWrite

	return nil
}

const readOnlyParameter = "default_transaction_read_only"

// mode returns the SQL text that makes transactions read-only or ends that. The end is RESET and not "off", so that a
// server which was made read-only as a whole stays so.
func (s *session) mode(readOnly bool) string {
	if readOnly {
		return "SET " + readOnlyParameter + " = on"
	}

	if own, found := s.parameters.values[readOnlyParameter]; found {
		return "SET " + readOnlyParameter + " = " + own
	}

	return "RESET " + readOnlyParameter
}
