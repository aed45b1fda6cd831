package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/failover"
	"almondgrade/core/registry"
	"almondgrade/core/timer"
	"almondgrade/io/backend"
)

const (
	// minReuseTimeout is the shortest timeout of a query on an existing connection, after which a new one is tried.
	minReuseTimeout = 250 * time.Millisecond
	// reuseTimeoutFactor multiplies the duration of the slowest recent query.
	reuseTimeoutFactor = 8
	// maxLostConnections bounds the number of lost connections that wait to be terminated.
	maxLostConnections = 16
)

// Admin is an administrative connection to a backend server.
type Admin interface {
	Observe(ctx context.Context) (backend.Observation, error)
	Connections(ctx context.Context) (map[string]int, error)
	Terminate(ctx context.Context, prefix string) error
	Close()
}

// Opener opens an administrative connection.
type Opener func(ctx context.Context, server registry.Server, application string) (Admin, error)

// TimedObservation is one observation of a server with its time.
type TimedObservation struct {
	backend.Observation
	// AskedAt is a time before the query began.
	AskedAt time.Time
}

// serverMonitor queries one backend server over one connection, which it replaces when it fails.
type serverMonitor struct {
	name   string
	server registry.Server
	// newApplicationName returns the application name of a new connection, a different one on each call.
	newApplicationName func() string
	open               Opener
	timer              timer.Service
	queryTimeout       func() time.Duration
	// reportQuery is called with the outcome of each query, in order.
	reportQuery  func(monitor *serverMonitor, query failover.Query, err error)
	observations *Coalescer[TimedObservation]
	cancel       context.CancelFunc

	lastObservation atomic.Pointer[TimedObservation]
	reachable       atomic.Bool

	// mutex serialises the queries on the connection.
	mutex sync.Mutex
	conn  Admin
	// connApplication is the application name of the connection; lostApplications are those of abandoned connections.
	connApplication  string
	lostApplications []string
	slowestQuery     time.Duration
}

func newServerMonitor(parent context.Context, made *serverMonitor) *serverMonitor {
	ctx, cancel := context.WithCancel(parent)
	made.cancel = cancel
	made.observations = NewCoalescer(ctx, 1, made.observe)

	return made
}

// Observe returns an observation that began after the call.
func (m *serverMonitor) Observe(ctx context.Context) (TimedObservation, error) {
	return m.observations.Do(ctx)
}

// Close cancels the queries and closes the connection.
func (m *serverMonitor) Close() {
	m.cancel()

	go func() { // A running query holds the mutex until it notices the cancellation.
		m.mutex.Lock()
		defer m.mutex.Unlock()

		m.closeConnection()
	}()
}

func (m *serverMonitor) observe(ctx context.Context) (TimedObservation, error) {
	var observed TimedObservation

	err := m.runQuery(ctx, func(ctx context.Context, conn Admin) error {
		askedAt := m.timer.Now()
		seen, err := conn.Observe(ctx)
		observed = TimedObservation{Observation: seen, AskedAt: askedAt}

		return err
	})
	m.reachable.Store(err == nil)

	if err != nil {
		return TimedObservation{}, err
	}

	m.lastObservation.Store(&observed)

	return observed, nil
}

// runQuery runs a query on the connection. A query that fails on an existing connection is repeated on a new one,
// because a connection can be lost without notice.
func (m *serverMonitor) runQuery(ctx context.Context, query func(ctx context.Context, conn Admin) error) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if m.conn != nil {
		err := m.attemptQuery(ctx, false, m.reuseTimeout(), query)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}

	return m.attemptQuery(ctx, true, m.queryTimeout(), query)
}

func (m *serverMonitor) attemptQuery(
	parent context.Context, fresh bool, limit time.Duration, query func(ctx context.Context, conn Admin) error,
) error {
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()

	began := m.timer.Now()
	err := m.tryQuery(ctx, query)
	took := m.timer.Now().Sub(began)

	if err != nil {
		m.abandonConnection()
	} else {
		m.terminateLost(ctx)
		m.slowestQuery = max(took, m.slowestQuery-m.slowestQuery/reuseTimeoutFactor)
	}

	if parent.Err() == nil {
		m.reportQuery(m, failover.Query{StartedAt: began, Duration: took, NewConnection: fresh, Outcome: outcomeOf(err)}, err)
	}

	return err
}

func (m *serverMonitor) tryQuery(ctx context.Context, query func(ctx context.Context, conn Admin) error) error {
	if m.conn == nil {
		name := m.newApplicationName()

		conn, err := m.open(ctx, m.server, name)
		if err != nil {
			return err
		}

		m.conn, m.connApplication = conn, name
	}

	return query(ctx, m.conn)
}

// terminateLost terminates the abandoned connections that the server may still keep open, because it has not noticed
// their loss. They would use up the reserved connections.
func (m *serverMonitor) terminateLost(ctx context.Context) {
	for len(m.lostApplications) > 0 && m.conn != nil {
		if err := m.conn.Terminate(ctx, m.lostApplications[0]); err != nil {
			m.closeConnection()

			return
		}

		m.lostApplications = m.lostApplications[1:]
	}
}

// reuseTimeout returns the timeout of a query on an existing connection. It is much longer than recent queries took, so
// that a slow server is not mistaken for a lost connection.
func (m *serverMonitor) reuseTimeout() time.Duration {
	return min(max(minReuseTimeout, reuseTimeoutFactor*m.slowestQuery), m.queryTimeout())
}

// abandonConnection closes a connection that failed, and notes its name so that the server can be told to terminate it.
func (m *serverMonitor) abandonConnection() {
	if m.conn != nil && len(m.lostApplications) < maxLostConnections {
		m.lostApplications = append(m.lostApplications, m.connApplication)
	}

	m.closeConnection()
}

func (m *serverMonitor) closeConnection() {
	if m.conn != nil {
		// Closing a silent connection takes a while, and must not delay the next query.
		go m.conn.Close()

		m.conn = nil
	}
}

const (
	// serverDownClass is the SQLSTATE class of operator intervention, with which a server refuses while it is down.
	serverDownClass = "57"
	classBytes      = 2
)

// outcomeOf classifies an error. A server that answers with an error works, unless the error says that it is down.
func outcomeOf(err error) failover.Outcome {
	if err == nil {
		return failover.Answered
	}

	if state := backend.SQLState(err); len(state) > classBytes && state[:classBytes] != serverDownClass {
		return failover.Answered
	}

	if errors.Is(err, context.DeadlineExceeded) {
		return failover.TimedOut
	}

	return failover.Refused
}
