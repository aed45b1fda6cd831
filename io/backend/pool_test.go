package backend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/io/backend"
)

const testTimeout = 20 * time.Second

func withTestTimeout(require.TestingT) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), testTimeout)
}

// server is a fake backend server that answers every query with one row.
type server struct {
	listener net.Listener
	opened   atomic.Int64
	cancels  atomic.Int64
	// lostLogins is the number of further connections whose login the server accepts and whose answers are lost.
	lostLogins atomic.Int64
	// lostQueries is the number of further queries whose answers are lost, lostNumber the number of the last connection
	// with a lost answer.
	lostQueries atomic.Int64
	lostNumber  atomic.Int64
	// losesEnds is true if the end of a connection does not reach the server.
	losesEnds atomic.Bool
	mu        sync.Mutex
	conns     []net.Conn
	// terminations are the queries that terminate connections.
	terminations []string
}

func newServer(t *testing.T) *server {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	s := &server{listener: listener}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()

			go s.serve(conn)
		}
	}()

	return s
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	to := pgproto3.NewBackend(conn, conn)

	startup, err := to.ReceiveStartupMessage()
	if err != nil {
		return
	}

	message, ok := startup.(*pgproto3.StartupMessage)
	if !ok {
		s.cancels.Add(1)

		return
	}

	number := s.opened.Add(1)

	if s.lostLogins.Add(-1) >= 0 {
		s.lostNumber.Store(number)

		_, _ = io.Copy(io.Discard, conn)

		return
	}

	if message.Parameters["user"] == "refused" {
		to.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28000", Message: "refused"})
		_ = to.Flush()

		return
	}

	to.Send(&pgproto3.AuthenticationOk{})
	to.Send(&pgproto3.ParameterStatus{Name: "application", Value: message.Parameters["application_name"]})
	to.Send(&pgproto3.BackendKeyData{ProcessID: uint32(number), SecretKey: []byte{1, 2, 3, 4}})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	status := byte('I')

	for to.Flush() == nil {
		message, err := to.Receive()
		if err != nil {
			return
		}

		var query *pgproto3.Query

		switch message := message.(type) {
		case *pgproto3.Query:
			query = message
		case *pgproto3.Close:
			to.Send(&pgproto3.CloseComplete{})

			continue
		case *pgproto3.Sync:
			to.Send(&pgproto3.ReadyForQuery{TxStatus: status})

			continue
		default:
			if s.losesEnds.Load() {
				_, _ = io.Copy(io.Discard, conn)
			}

			return
		}

		if strings.Contains(query.String, "pg_terminate_backend") {
			s.mu.Lock()
			s.terminations = append(s.terminations, query.String)
			s.mu.Unlock()
		} else if s.lostQueries.Add(-1) >= 0 {
			s.lostNumber.Store(number)

			_, _ = io.Copy(io.Discard, conn)

			return
		}

		status = 'I'

		switch query.String {
		case "BEGIN":
			status = 'T'
		case "fail":
			to.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "failed"})
			to.Send(&pgproto3.ReadyForQuery{TxStatus: status})

			continue
		case "half":
			to.Send(&pgproto3.CommandComplete{CommandTag: []byte("half")})

			continue
		}

		to.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("n")}}})
		to.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(strconv.FormatInt(number, 10))}})
		to.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		to.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	}
}

// hasTerminated reports whether a query has terminated the connection with an application name, given as an SQL literal.
func (s *server) hasTerminated(application string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.ContainsFunc(s.terminations, func(query string) bool { return strings.Contains(query, application) })
}

// closeConns closes all connections, like a restart of the server.
func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) options() backend.Options {
	return backend.Options{
		Address:        netip.MustParseAddrPort(s.listener.Addr().String()),
		Login:          func() (backend.Login, error) { return backend.Login{User: "u", Database: "d"}, nil },
		Application:    func() string { return "ag/p1/1" },
		ConnectTimeout: testTimeout,
	}
}

// countingPermits counts permits and refuses beyond a limit.
type countingPermits struct {
	limit   int64
	held    atomic.Int64
	maxHeld atomic.Int64
}

var errNoPermit = errors.New("no permit")

type countedPermit struct {
	from *countingPermits
	once sync.Once
}

func (p *countedPermit) Release() { p.once.Do(func() { p.from.held.Add(-1) }) }

func (p *countingPermits) acquire(context.Context, bool) (backend.Permit, error) {
	held := p.held.Add(1)
	if held > p.limit {
		p.held.Add(-1)

		return nil, errNoPermit
	}

	p.maxHeld.Store(max(p.maxHeld.Load(), held))

	return &countedPermit{from: p}, nil
}

// Guards against a connection that two requests use at once, a connection that is reused with an unread answer or an
// open transaction, more connections than permits, and a request that doesn't get an idle connection with matching
// session state. The model is a list of idle connections.
func TestPoolReuse(t *testing.T) {
	s := newServer(t)

	rapid.Check(t, func(t *rapid.T) {
		permits := &countingPermits{limit: int64(rapid.IntRange(1, 4).Draw(t, "permits"))}
		pool := backend.NewPool(s.options(), permits.acquire)

		type record struct {
			settings string
			readOnly bool
			term     position.Term
		}

		inUse := map[*backend.Conn]bool{}
		idle := map[*backend.Conn]record{}

		t.Repeat(map[string]func(*rapid.T){
			"get": func(t *rapid.T) {
				want := backend.Criteria{
					SettingsKey: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "settings"),
					ReadOnly:    rapid.Bool().Draw(t, "read only"),
					Term:        position.Term(rapid.IntRange(1, 2).Draw(t, "term")),
				}
				fits, exact := 0, 0

				for _, one := range idle {
					if one.term == want.Term {
						fits++

						if one.settings == want.SettingsKey && one.readOnly == want.ReadOnly {
							exact++
						}
					}
				}

				full := permits.held.Load() == permits.limit
				ctx, cancel := withTestTimeout(t)

				conn, err := pool.Get(ctx, want, false)

				cancel()

				if fits == 0 && full {
					require.ErrorIs(t, err, errNoPermit)

					return
				}

				require.NoError(t, err)
				require.False(t, inUse[conn], "the connection is in use")
				require.Equal(t, want.Term, conn.Term)

				was, known := idle[conn]
				require.Equal(t, fits > 0, known)

				if exact > 0 {
					require.Equal(t, record{want.SettingsKey, want.ReadOnly, want.Term}, was)
				}

				inUse[conn] = true
				delete(idle, conn)
			},
			"put": func(t *rapid.T) {
				for conn := range inUse {
					delete(inUse, conn)

					conn.SettingsKey = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "settings")
					conn.ReadOnly = rapid.Bool().Draw(t, "read only")
					reusable := true

					switch rapid.SampledFrom([]string{"clean", "query", "error", "open", "tainted", "unread"}).Draw(t, "use") {
					case "query":
						require.NoError(t, conn.Exec(time.Now().Add(testTimeout), "SELECT"))
					case "error":
						require.Equal(t, "42601", backend.SQLState(conn.Exec(time.Now().Add(testTimeout), "fail")))
					case "open":
						require.NoError(t, conn.Exec(time.Now().Add(testTimeout), "BEGIN"))

						reusable = false
					case "tainted":
						conn.Taint()

						reusable = false
					case "unread":
						require.Error(t, conn.Exec(time.Now().Add(time.Millisecond), "half"))

						reusable = false
					}

					pool.Put(conn)

					if reusable {
						idle[conn] = record{conn.SettingsKey, conn.ReadOnly, conn.Term}
					}

					return
				}
			},
			"reap": func(t *rapid.T) {
				term := position.Term(rapid.IntRange(1, 2).Draw(t, "term"))

				pool.CloseIdleIf(time.Now(), func(conn *backend.Conn, _ time.Duration) bool { return conn.Term == term })

				for conn, one := range idle {
					if one.term == term {
						delete(idle, conn)
					}
				}
			},
			"": func(t *rapid.T) {
				open, free := pool.Size()
				require.Equal(t, len(inUse)+len(idle), open)
				require.Equal(t, len(idle), free)
				require.EqualValues(t, open, permits.held.Load(), "permits are held by open connections only")
			},
		})

		for conn := range inUse {
			pool.Put(conn)
		}

		pool.Close()
		require.Zero(t, permits.held.Load(), "every permit was returned")
	})
}

// Guards against a pool that hands out a connection which the server has closed.
func TestPoolSkipsConnectionsThatTheServerClosed(t *testing.T) {
	s := newServer(t)
	permits := &countingPermits{limit: 3}
	pool := backend.NewPool(s.options(), permits.acquire)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	for range 10 {
		first, err := pool.Get(ctx, backend.Criteria{}, false)
		require.NoError(t, err)
		pool.Put(first)
		s.closeConns()
		require.Eventually(t, func() bool { return !first.Alive() }, testTimeout, time.Millisecond)

		second, err := pool.Get(ctx, backend.Criteria{}, false)
		require.NoError(t, err)
		require.NotSame(t, first, second)
		require.NoError(t, second.Exec(time.Now().Add(testTimeout), "SELECT"))
		pool.Put(second)
	}

	assert.EqualValues(t, 1, permits.held.Load())
}

// Guards against requests that wait forever although a connection was returned, requests that are served in the wrong
// order, and permits that leak when a request gives up.
func TestPoolWaiters(t *testing.T) {
	s := newServer(t)
	granted := make(chan struct{}, 1)
	permits := &countingPermits{limit: 100}
	pool := backend.NewPool(s.options(), func(ctx context.Context, urgent bool) (backend.Permit, error) {
		select {
		case granted <- struct{}{}:
			return permits.acquire(ctx, urgent)
		case <-ctx.Done():
			return nil, result.New(result.NoPermit, "no permit in time")
		}
	})

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	only, err := pool.Get(ctx, backend.Criteria{}, false)
	require.NoError(t, err)

	type served struct {
		urgent bool
		conn   *backend.Conn
	}

	order := make(chan served, 3)

	for range 2 {
		go func() {
			conn, err := pool.Get(ctx, backend.Criteria{}, false)
			if err == nil {
				order <- served{false, conn}
			}
		}()
	}

	require.Eventually(t, func() bool { return pool.WaiterCount() == 2 }, testTimeout, time.Millisecond)

	go func() {
		conn, err := pool.Get(ctx, backend.Criteria{}, true)
		if err == nil {
			order <- served{true, conn}
		}
	}()

	require.Eventually(t, func() bool { return pool.WaiterCount() == 3 }, testTimeout, time.Millisecond)

	impatient, stop := context.WithCancel(ctx)
	gaveUp := make(chan error, 1)

	go func() {
		_, err := pool.Get(impatient, backend.Criteria{}, false)
		gaveUp <- err
	}()

	require.Eventually(t, func() bool { return pool.WaiterCount() == 4 }, testTimeout, time.Millisecond)
	stop()
	require.Error(t, <-gaveUp)

	pool.Put(only)

	for i := range 3 {
		next := <-order
		assert.Equal(t, i == 0, next.urgent, "the urgent request goes first")
		assert.Same(t, only, next.conn)
		pool.Put(next.conn)
	}

	assert.EqualValues(t, 1, permits.held.Load())
}

// Guards against a failed login that leaks a permit or has no result code.
func TestPoolFailedLogin(t *testing.T) {
	s := newServer(t)
	permits := &countingPermits{limit: 1}
	options := s.options()
	options.Login = func() (backend.Login, error) { return backend.Login{User: "refused"}, nil }
	pool := backend.NewPool(options, permits.acquire)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	_, err := pool.Get(ctx, backend.Criteria{}, false)
	assert.Equal(t, result.ServerUnreachable, result.CodeOf(err))
	assert.Zero(t, permits.held.Load())
	assert.Zero(t, pool.WaiterCount())
}

// Guards against the reuse of a connection after a cancel request, which may take effect late.
func TestCancelTaints(t *testing.T) {
	s := newServer(t)
	pool := backend.NewPool(s.options(), (&countingPermits{limit: 2}).acquire)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	conn, err := pool.Get(ctx, backend.Criteria{}, false)
	require.NoError(t, err)
	require.NoError(t, conn.Cancel(ctx))
	assert.EqualValues(t, 1, s.cancels.Load())
	pool.Put(conn)

	open, idle := pool.Size()
	assert.Zero(t, open)
	assert.Zero(t, idle)
}

// Guards against the eviction of a statement that is not the least recently used, and against more statements than the
// limit. The model is a slice in order of use.
func TestPrepared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		prepared := backend.NewPreparedStatements(limit)

		var model []string

		remove := func(name string) bool {
			for i, one := range model {
				if one == name {
					model = append(model[:i:i], model[i+1:]...)

					return true
				}
			}

			return false
		}

		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			name := strconv.Itoa(rapid.IntRange(0, 7).Draw(t, "name"))

			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				found := remove(name)
				if found {
					model = append(model, name)
				}

				require.Equal(t, found, prepared.MarkUsed(name))
			case 1, 2:
				want := ""

				remove(name)

				if model = append(model, name); len(model) > limit {
					want, model = model[0], model[1:]
				}

				require.Equal(t, want, prepared.Add(name))
			default:
				remove(name)
				prepared.Remove(name)
			}

			require.Equal(t, len(model), prepared.Len())
		}
	})
}

// TestPoolShrinkReturnsPermits guards against idle connections that keep their permits although other proxies wait for
// permits, and against Shrink closing a connection in use.
func TestPoolShrinkReturnsPermits(t *testing.T) {
	t.Parallel()

	permits := &countingPermits{limit: 3}
	pool := backend.NewPool(newServer(t).options(), permits.acquire)
	ctx, cancel := withTestTimeout(t)

	defer cancel()

	var conns []*backend.Conn

	for range 3 {
		conn, err := pool.Get(ctx, backend.Criteria{}, false)
		require.NoError(t, err)

		conns = append(conns, conn)
	}

	pool.Put(conns[0])
	pool.Put(conns[1])

	require.Equal(t, 1, pool.Shrink(1))
	require.EqualValues(t, 2, permits.held.Load())
	require.Same(t, conns[1], pool.TryGet(backend.Criteria{}), "the connection that was used last stays")
	pool.Put(conns[1])
	require.Equal(t, 1, pool.Shrink(5))
	require.EqualValues(t, 1, permits.held.Load())
	require.True(t, conns[2].Reusable())
}

// TestAbandonedConnectionKeepsItsPermit guards against a permit that is reused while the server still counts the
// abandoned connection, and against a permit that is never released.
func TestAbandonedConnectionKeepsItsPermit(t *testing.T) {
	t.Parallel()

	options := newServer(t).options()
	inquirer := backend.NewActivityChecker(options)
	permits := &countingPermits{limit: 1}

	var heldWhenAbandoned atomic.Int64

	options.OnAbandoned = func(conn *backend.Conn, permit backend.Permit) {
		heldWhenAbandoned.Store(permits.held.Load())
		inquirer.Terminate(conn, permit)
	}
	pool := backend.NewPool(options, permits.acquire)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	conn, err := pool.Get(ctx, backend.Criteria{}, false)
	require.NoError(t, err)

	conn.TxStatus = 0 // An answer is unread.
	pool.Put(conn)
	require.EqualValues(t, 1, heldWhenAbandoned.Load(), "the permit was not released with the connection")
	require.Eventually(t, func() bool { return permits.held.Load() == 0 }, testTimeout, time.Millisecond,
		"the permit returns once the server has ended the connection")
}

// TestLostLoginKeepsItsPermit guards against a permit that is released while the server still counts a connection whose
// login was lost. The next connection would then take the one that the server keeps free for administration.
func TestLostLoginKeepsItsPermit(t *testing.T) {
	t.Parallel()

	s := newServer(t)
	s.lostLogins.Store(1)

	options := s.options()
	options.ConnectTimeout = 100 * time.Millisecond
	permits := &countingPermits{limit: 1}

	type abandoned struct {
		conn   *backend.Conn
		permit backend.Permit
	}

	reported := make(chan abandoned, 1)
	options.OnAbandoned = func(conn *backend.Conn, permit backend.Permit) { reported <- abandoned{conn, permit} }
	pool := backend.NewPool(options, permits.acquire)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	_, err := pool.Get(ctx, backend.Criteria{}, false)
	require.Equal(t, result.ServerUnreachable, result.CodeOf(err))

	select {
	case lost := <-reported:
		require.EqualValues(t, 1, permits.held.Load(), "the server still counts the connection")
		require.NotNil(t, lost.permit)

		options.ConnectTimeout = testTimeout
		backend.NewActivityChecker(options).Terminate(lost.conn, lost.permit)
	default:
		require.Fail(t, "the connection was not reported as abandoned")
	}

	require.Eventually(t, func() bool { return permits.held.Load() == 0 }, testTimeout, time.Millisecond,
		"the permit returns once the server has ended the connection")
}

// TestLostCheckIsTerminated guards against a connection of the ActivityChecker that the server counts after it was lost:
// it takes the place that the server keeps free for such checks.
func TestLostCheckIsTerminated(t *testing.T) {
	t.Parallel()

	s := newServer(t)
	options := s.options()
	options.Application = numberedApplication("check/")
	checker := backend.NewActivityChecker(options)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	conn, err := backend.Open(ctx, options)
	require.NoError(t, err)

	defer conn.Close()

	for name, lose := range map[string]func(){
		"login": func() { s.lostLogins.Store(1) },
		"query": func() { s.lostQueries.Store(1) },
	} {
		lose()

		checkCtx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		_, err := checker.HasActiveStatement(checkCtx, conn)

		stop()
		require.Error(t, err, name)

		lost := "'check/" + strconv.FormatInt(s.lostNumber.Load(), 10) + "'"
		require.Eventually(t, func() bool { return s.hasTerminated(lost) }, testTimeout, time.Millisecond,
			"the connection with the lost %s is terminated", name)
	}
}

// numberedApplication returns a function that appends 1, 2 and so on to a prefix.
func numberedApplication(prefix string) func() string {
	var count atomic.Int64

	return func() string { return prefix + strconv.FormatInt(count.Add(1), 10) }
}

// TestLostIdleConnectionKeepsItsPermit guards against a permit that is released when a lost idle connection is closed,
// which the server still counts, and against a connection that is reported although the server has ended it.
func TestLostIdleConnectionKeepsItsPermit(t *testing.T) {
	t.Parallel()

	s := newServer(t)
	options := s.options()
	permits := &countingPermits{limit: 1}
	reported := make(chan backend.Permit, 1)
	options.OnAbandoned = func(_ *backend.Conn, permit backend.Permit) { reported <- permit }
	pool := backend.NewPool(options, permits.acquire)

	ctx, cancel := withTestTimeout(t)
	defer cancel()

	for _, lost := range []bool{false, true} {
		conn, err := pool.Get(ctx, backend.Criteria{}, false)
		require.NoError(t, err)
		pool.Put(conn)

		s.losesEnds.Store(lost)
		require.Equal(t, 1, pool.Shrink(1))

		if !lost {
			require.Eventually(t, func() bool { return permits.held.Load() == 0 }, testTimeout, time.Millisecond,
				"the permit returns once the server has ended the connection")

			continue
		}

		select {
		case permit := <-reported:
			require.EqualValues(t, 1, permits.held.Load(), "the server still counts the connection")
			permit.Release()
		case <-ctx.Done():
			require.Fail(t, "the connection was not reported as abandoned")
		}
	}

	require.Empty(t, reported)
}
