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
	// idleProbeAfter is the idle time after which a connection is probed before a statement is sent over it. The
	// connection may have gone silent meanwhile, and a statement that was sent can't be withdrawn.
	idleProbeAfter = time.Second
	// connSetupTimeout bounds such a probe, and each change of a connection's state.
	connSetupTimeout = time.Second
)

// connLease is a backend connection that a session holds, with the slot for its statement.
type connLease struct {
	pool   *serverPool
	conn   *backend.Conn
	slot   Permit
	server string
	// primary is true if the server was the primary of term when the lease was acquired.
	primary bool
	term    position.Term
}

// releaseSlot returns the slot, if the lease has one.
func (l *connLease) releaseSlot() {
	if l.slot != nil {
		l.pool.runningStatements.Add(-1)
		l.slot.Release()
		l.slot = nil
	}
}

// release returns the slot and the connection.
func (l *connLease) release() {
	l.releaseSlot()
	l.pool.Put(l.conn)
}

// acquireLease waits for a connection to a server and for a slot.
//
// No request waits for a connection while it holds a slot, because the holders of connections may themselves wait for
// slots. An idle connection is therefore taken once the slot is acquired; only a request that finds none holds a
// connection while it waits for a slot.
func (s *session) acquireLease(ctx context.Context, view *registry.View, server registry.Server, r *request) (*connLease, error) {
	pool := s.server.pools.get(server, view.Running.Pools[s.target.pool].Database)
	term := primaryTerm(view, server)
	want := backend.Criteria{SettingsKey: s.parameters.setupSQL, ReadOnly: r.class != classWrite, Term: term}
	lease := &connLease{pool: pool, server: server.Name, primary: term != 0, term: term}

	leave, err := s.enterQueue(r)
	if err != nil {
		return nil, err
	}

	defer leave()

	if _, idle := pool.Size(); idle > 0 {
		if err = s.acquireSlot(ctx, lease, r); err != nil {
			return nil, waitError(ctx, err)
		}

		if lease.conn = pool.TryGet(want); lease.conn != nil {
			return lease, nil
		}

		lease.releaseSlot()
	}

	if lease.conn, err = pool.Get(ctx, want, r.rule.Urgent); err != nil {
		return nil, waitError(ctx, err)
	}

	if err = s.acquireSlot(ctx, lease, r); err != nil {
		pool.Put(lease.conn)

		return nil, waitError(ctx, err)
	}

	return lease, nil
}

// acquireSlot waits for a slot of the lease's server.
func (s *session) acquireSlot(ctx context.Context, lease *connLease, r *request) error {
	slot, err := s.server.options.Coordination.AcquireSlot(ctx, lease.server, r.rule.Urgent)
	if err != nil {
		return err
	}

	lease.slot = slot
	lease.pool.runningStatements.Add(1)

	return nil
}

// enterQueue counts a request among those of its traffic rule that wait. The returned function ends that.
func (s *session) enterQueue(r *request) (func(), error) {
	counter := s.server.waitingRequests.counter(s.target.pool + "/" + r.rule.Name)

	if count := counter.Add(1); r.rule.QueueLimit > 0 && count > int64(r.rule.QueueLimit) {
		counter.Add(-1)

		return nil, result.New(result.QueueFull, "%d requests of traffic rule %q are waiting already", r.rule.QueueLimit, r.rule.Name)
	}

	return func() { counter.Add(-1) }, nil
}

// waitError returns the reason why a wait ended. Nothing has been sent.
func waitError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}

	return notStartedError(ctx)
}

// notStartedError returns the error of a request whose context ended before anything was sent.
func notStartedError(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && cause != context.DeadlineExceeded { //nolint:errorlint // The cause is not wrapped.
		if cause == errSessionEnded { //nolint:errorlint // As above.
			return errDraining()
		}

		return cause
	}

	return result.New(result.DeadlinePassed, "the request could not start before its deadline")
}

// prepareConn applies the session's settings to a connection. After an error other than a *backend.ServerError the
// connection is lost; nothing of the request has been sent.
func (s *session) prepareConn(lease *connLease, r *request) error {
	conn := lease.conn
	now := time.Now()
	deadline := now.Add(connSetupTimeout)
	clean := conn.SettingsKey == s.parameters.setupSQL && !conn.Dirty

	if conn.IdleTime(now) > idleProbeAfter && clean && conn.ReadOnly == (r.class != classWrite) {
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

		setup = s.parameters.setupSQL
	}

	if readOnly := r.class != classWrite; conn.ReadOnly != readOnly {
		setup += s.readOnlySQL(readOnly)
	}

	if setup == "" {
		return nil
	}

	if err := conn.Exec(deadline, setup); err != nil {
		// Some of the settings may be in force.
		conn.Taint()

		return err
	}

	conn.SettingsKey = s.parameters.setupSQL
	conn.ReadOnly = r.class != classWrite

	return nil
}

const readOnlyParameter = "default_transaction_read_only"

// readOnlySQL returns the SQL text that makes transactions read-only or ends that. It ends it with RESET and not "off",
// so that a server which was made read-only as a whole stays read-only.
func (s *session) readOnlySQL(readOnly bool) string {
	if readOnly {
		return "SET " + readOnlyParameter + " = on"
	}

	if sessionValue, found := s.parameters.values[readOnlyParameter]; found {
		return "SET " + readOnlyParameter + " = " + sessionValue
	}

	return "RESET " + readOnlyParameter
}
