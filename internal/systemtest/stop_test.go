package systemtest_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
)

// health returns the status of a proxy's health address, or zero if it doesn't answer.
func (p *process) health() int {
	reply, err := http.Get("http://" + p.fault + "/health") //nolint:noctx // A test.
	if err != nil {
		return 0
	}
	defer reply.Body.Close()

	return reply.StatusCode
}

// streamRows is large enough that an answer doesn't fit into the buffers between server and caller.
const streamRows = 60000

const streamQuery = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) " +
	"SELECT i, '%s' || i || 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' FROM n"

// work is one kind of work in progress when a proxy is told to stop.
type work struct {
	name string
	// begin starts the work on a connection; finish ends it and returns an error if it was cut.
	begin  func(conn *pgx.Conn) error
	finish func(conn *pgx.Conn) error
}

func workInProgress(kind, i int) work {
	ctx := context.Background()

	var rows pgx.Rows

	slept := make(chan error, 1)

	return []work{
		{
			"open transaction",
			func(conn *pgx.Conn) error {
				// One transaction at a time can write on the stand-in, so that the others only read before the stop.
				begin := "BEGIN; SELECT count(*) FROM kept"
				if i == 0 {
					begin = "BEGIN; INSERT INTO kept VALUES ('a')"
				}

				_, err := conn.Exec(ctx, begin)

				return err
			},
			func(conn *pgx.Conn) error {
				_, err := conn.Exec(ctx, "INSERT INTO kept VALUES ('b"+fmt.Sprint(i)+"'); COMMIT")

				return err
			},
		},
		{
			"streamed answer",
			func(conn *pgx.Conn) error {
				var err error
				if rows, err = conn.Query(ctx, fmt.Sprintf(streamQuery, streamRows, "s")); err != nil {
					return err
				}

				if !rows.Next() {
					return fmt.Errorf("no row: %w", rows.Err())
				}

				return nil
			},
			func(*pgx.Conn) error {
				count := 1
				for rows.Next() {
					count++
				}

				if rows.Err() == nil && count != streamRows {
					return fmt.Errorf("%d rows", count)
				}

				return rows.Err()
			},
		},
		{
			"running statement",
			func(conn *pgx.Conn) error {
				go func() {
					_, err := conn.Exec(ctx, "SELECT pg_sleep(6)")
					slept <- err
				}()

				return nil
			},
			func(*pgx.Conn) error { return <-slept },
		},
	}[kind]
}

// Guards against a planned stop of a proxy that cuts a transaction, a statement or an answer in progress, that
// refuses new connections before the load balancer could notice, or that ends with a failure.
func TestStopOfProxyCutsNothing(t *testing.T) {
	d := deploy(t, shape{controls: 1, proxies: 2, members: 3, memberArgs: []string{"--slots", "20"}})
	proxy := d.proxies[0]
	setup := d.connect(d.proxies[1], "")
	_, err := setup.Exec(context.Background(), "CREATE TABLE kept (id text)")
	require.NoError(t, err)

	const kindSessions, sessions = 3, 9

	var (
		works [sessions]work
		conns [sessions]*pgx.Conn
	)

	for i := range sessions {
		// The statements begin last, so that they still run when the others have begun.
		works[i], conns[i] = workInProgress(i/kindSessions, i), d.connect(proxy, "session")
		require.NoError(t, works[i].begin(conns[i]), works[i].name)
	}

	// The statements run once a server shows them.
	eventually(t, "running statements", startLimit, func() error {
		running := 0

		for _, member := range d.members {
			running += countActivity(t, member, "state = 'active' AND query LIKE '%pg_sleep(6)%' AND application_name LIKE 'ag/%'")
		}

		if running < kindSessions {
			return fmt.Errorf("%d", running)
		}

		return nil
	})

	require.Equal(t, http.StatusOK, proxy.health())
	proxy.signal(syscall.SIGTERM)
	eventually(t, "health address reports the stop", startLimit, func() error {
		if status := proxy.health(); status != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d", status)
		}

		return nil
	})

	conn, err := d.tryConnect(proxy, "", "")
	if assert.NoError(t, err, "a connection after the health address changed and before the load balancer noticed") {
		require.NoError(t, conn.Close(context.Background()))
	}

	eventually(t, "new connections are refused", startLimit, func() error {
		conn, err := d.tryConnect(proxy, "", "")
		if err == nil {
			_ = conn.Close(context.Background())

			return fmt.Errorf("accepted")
		}

		return nil
	})

	for i := range sessions {
		require.NoError(t, works[i].finish(conns[i]), "%s of session %d", works[i].name, i)
	}

	<-proxy.ended
	assert.Equal(t, 0, proxy.command.ProcessState.ExitCode(), "exit code of the proxy")

	var kept int

	require.NoError(t, d.connect(d.proxies[1], "").QueryRow(context.Background(), "SELECT count(*) FROM kept").Scan(&kept))
	assert.Equal(t, kindSessions+1, kept)
	t.Logf("1 stop; %d transactions, %d statements and %d answers of %d rows were finished", kindSessions, kindSessions, kindSessions, streamRows)
}

func countActivity(t *testing.T, member *process, condition string) int {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	conn, err := pgx.Connect(ctx, "postgres://test@"+member.address+"/main?sslmode=disable")
	require.NoError(t, err)
	defer conn.Close(ctx)

	var count int

	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM pg_stat_activity WHERE "+condition).Scan(&count))

	return count
}

// Guards against a planned stop that answers a running caller with anything but success or a refusal of a request
// that did not run. Callers connect again through the other proxies, as a load balancer makes them.
func TestStopOfProxyUnderLoad(t *testing.T) {
	d := deploy(t, shape{controls: 1, proxies: 3, members: 3})
	h := startHistory(d, 8)
	h.progress(20)

	for i := range 3 {
		proxy := d.proxies[i]

		h.fault("stop "+proxy.name, func() {
			proxy.signal(syscall.SIGTERM)
			<-proxy.ended
		})
		assert.Equal(t, 0, proxy.command.ProcessState.ExitCode(), "exit code of %s", proxy.name)
		h.progress(20)
		h.fault("start "+proxy.name, proxy.start)
		h.progress(20)
	}

	h.finish()
	assert.Empty(t, h.unplanned, "answers that a planned stop must not give")
}

// Guards against a planned move of the primary that loses an acknowledged write, leaves an outcome unknown, or shows
// callers the errors of a server that no longer takes writes.
func TestDrainOfPrimaryUnderLoad(t *testing.T) {
	d := deploy(t, shape{controls: 3, proxies: 2, members: 3})
	h := startHistory(d, 9)
	h.progress(20)

	drained := ""

	for range 2 {
		old := d.group("students")
		h.fault("drain "+old.Primary, func() {
			_, err := d.operate("drain", "--server", old.Primary)
			require.NoError(t, err)
		})

		next := d.waitTerm("students", old.Term)
		assert.Equal(t, old.Term+1, next.Term, "a move takes one term")
		assert.NotEqual(t, old.Primary, next.Primary)
		h.progress(20)

		if drained == "" {
			drained = old.Primary
			_, err := d.operate("drain", "--server", drained, "--undo")
			require.NoError(t, err)
			d.waitLeaving(drained, false)
			h.progress(20)
		}
	}

	h.finish()
	assert.Empty(t, h.unplanned, "answers that a planned move must not give")
}

// Guards against requests that stop making progress, or sessions that are cut, when a proxy stops while callers hold
// many idle connections: each learns by a "not run" code that it has to connect again.
func TestStopOfProxyTellsIdleSessions(t *testing.T) {
	d := deploy(t, shape{controls: 1, proxies: 2, members: 3})
	proxy := d.proxies[0]

	const sessions = 20

	var (
		told  atomic.Int64
		tasks sync.WaitGroup
	)

	for range sessions {
		conn := d.connect(proxy, "")

		tasks.Go(func() {
			_, err := conn.PgConn().ReceiveMessage(context.Background())
			if _, code := codeOf(err); code == result.Draining {
				told.Add(1)
			} else {
				t.Errorf("an idle session was told %v", err)
			}
		})
	}

	proxy.signal(syscall.SIGTERM)
	tasks.Wait()
	<-proxy.ended
	assert.Equal(t, 0, proxy.command.ProcessState.ExitCode())
	t.Logf("1 stop; %d idle sessions told", told.Load())
	assert.EqualValues(t, sessions, told.Load())
}
