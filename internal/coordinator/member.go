package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"almondgrade/core/failover"
	"almondgrade/core/registry"
	"almondgrade/core/timer"
	"almondgrade/io/backend"
)

const (
	// leastPatience is the least time that a query on an old connection gets before a new connection is tried.
	leastPatience = 250 * time.Millisecond
	// patienceFactor multiplies the time of the slowest recent answer.
	patienceFactor = 8
	// maxLost bounds the number of lost connections that are remembered.
	maxLost = 16
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

// Sight is one observation of a member.
type Sight struct {
	backend.Observation
	// Asked is a time before the query began.
	Asked time.Time
}

// member queries one backend server over one connection, which it replaces when it fails.
type member struct {
	name   string
	server registry.Server
	// application returns the application name of a new connection, each time another one.
	application func() string
	open        Opener
	timer       timer.Service
	timeout     func() time.Duration
	// report takes the outcome of each query, in order.
	report func(member *member, query failover.Query, err error)
	rounds *Rounds[Sight]
	end    context.CancelFunc

	last    atomic.Pointer[Sight]
	reached atomic.Bool

	// mutex serialises the use of the connection.
	mutex sync.Mutex
	conn  Admin
	// connName is the application name of the connection, lost are those of connections that were given up.
	connName string
	lost     []string
	slowest  time.Duration
}

func newMember(parent context.Context, made *member) *member {
	ctx, cancel := context.WithCancel(parent)
	made.end = cancel
	made.rounds = NewRounds(ctx, 1, made.observe)

	return made
}

// Observe returns an observation that began after the call.
func (m *member) Observe(ctx context.Context) (Sight, error) {
	return m.rounds.Do(ctx)
}

// Close ends the queries and the connection.
func (m *member) Close() {
	m.end()

	go func() { // The mutex is held until a running query has noticed the end.
		m.mutex.Lock()
		defer m.mutex.Unlock()

		m.discard()
	}()
}

func (m *member) observe(ctx context.Context) (Sight, error) {
	var sight Sight

	err := m.use(ctx, func(ctx context.Context, conn Admin) error {
		asked := m.timer.Now()
		seen, err := conn.Observe(ctx)
		sight = Sight{Observation: seen, Asked: asked}

		return err
	})
	m.reached.Store(err == nil)

	if err != nil {
		return Sight{}, err
	}

	m.last.Store(&sight)

	return sight, nil
}

// use runs a query on the connection. When it fails on an old connection, it runs again on a new one, because
// connections can be lost without notice.
func (m *member) use(ctx context.Context, query func(ctx context.Context, conn Admin) error) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if m.conn != nil {
		err := m.attempt(ctx, false, m.patience(), query)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}

	return m.attempt(ctx, true, m.timeout(), query)
}

func (m *member) attempt(
	parent context.Context, fresh bool, limit time.Duration, query func(ctx context.Context, conn Admin) error,
) error {
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()

	began := m.timer.Now()
	err := m.try(ctx, query)
	took := m.timer.Now().Sub(began)

	if err != nil {
		m.giveUp()
	} else {
		m.terminateLost(ctx)
		m.slowest = max(took, m.slowest-m.slowest/patienceFactor)
	}

	if parent.Err() == nil {
		m.report(m, failover.Query{StartedAt: began, Duration: took, NewConnection: fresh, Outcome: outcome(err)}, err)
	}

	return err
}

func (m *member) try(ctx context.Context, query func(ctx context.Context, conn Admin) error) error {
	if m.conn == nil {
		name := m.application()

		conn, err := m.open(ctx, m.server, name)
		if err != nil {
			return err
		}

		m.conn, m.connName = conn, name
	}

	return query(ctx, m.conn)
}

// terminateLost ends the connections that were given up but that the server may still show, because it has not noticed
// their loss. They would take up the reserve of connections.
func (m *member) terminateLost(ctx context.Context) {
	for len(m.lost) > 0 && m.conn != nil {
		if err := m.conn.Terminate(ctx, m.lost[0]); err != nil {
			m.discard()

			return
		}

		m.lost = m.lost[1:]
	}
}

// patience returns how long a query on an old connection may take: much longer than recent queries took, so that a
// slow server isn't taken for a lost connection.
func (m *member) patience() time.Duration {
	return min(max(leastPatience, patienceFactor*m.slowest), m.timeout())
}

// giveUp closes a connection that failed, and remembers to have the server end it.
func (m *member) giveUp() {
	if m.conn != nil && len(m.lost) < maxLost {
		m.lost = append(m.lost, m.connName)
	}

	m.discard()
}

func (m *member) discard() {
	if m.conn != nil {
		// Closing a silent connection takes a while, which the next query need not wait for.
		go m.conn.Close()

		m.conn = nil
	}
}

const (
	refusedClass = "57"
	classBytes   = 2
)

// outcome classifies an error. A server that answers with an error works, unless it says that it is down.
func outcome(err error) failover.Outcome {
	if err == nil {
		return failover.Answered
	}

	var answer *pgconn.PgError
	if errors.As(err, &answer) && len(answer.Code) > classBytes && answer.Code[:classBytes] != refusedClass {
		return failover.Answered
	}

	if errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err) {
		return failover.TimedOut
	}

	return failover.Refused
}
