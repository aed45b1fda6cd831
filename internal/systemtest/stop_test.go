package systemtest_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
)

// healthStatus returns the HTTP status of a proxy's health check, or zero if it doesn't answer.
func (p *process) healthStatus() int {
	reply, err := http.Get("http://" + p.httpAddress + "/health") //nolint:noctx // A test.
	if err != nil {
		return 0
	}
	defer reply.Body.Close()

	return reply.StatusCode
}

// streamRows is the number of rows of a streamed answer, too large for the buffers between server and caller.
const streamRows = 60000

const streamQuery = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) " +
	"SELECT i, '%s' || i || 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' FROM n"

// openWork is a transaction, answer or statement in progress when a proxy is told to stop.
type openWork struct {
	name string
	// begin starts the work on a connection; finish completes it and returns an error if it was interrupted.
	begin  func(conn *pgx.Conn) error
	finish func(conn *pgx.Conn) error
}

func newOpenWork(kind, i int) openWork {
	ctx := context.Background()

	var rows pgx.Rows

	slept := make(chan error, 1)

	return []openWork{
		{
			"open transaction",
			func(conn *pgx.Conn) error {
				// The stand-in allows one writing transaction at a time, so the others only read before the stop.
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

// Guards against a planned stop of a proxy that interrupts a transaction, a statement or an answer in progress, refuses
// new connections before the load balancer could notice, or exits with a failure.
func TestStopOfProxyFinishesOpenWork(t *testing.T) {
	d := deploy(t, deployOptions{controls: 1, proxies: 2, members: 3, memberArgs: []string{"--slots", "20"}})
	proxy := d.proxies[0]
	setup := d.connect(d.proxies[1], "")
	_, err := setup.Exec(context.Background(), "CREATE TABLE kept (id text)")
	require.NoError(t, err)

	const kindSessions, sessions = 3, 9

	var (
		works [sessions]openWork
		conns [sessions]*pgx.Conn
	)

	for i := range sessions {
		// The running statements begin last, so that they are still running when all work has begun.
		works[i], conns[i] = newOpenWork(i/kindSessions, i), d.connect(proxy, "session")
		require.NoError(t, works[i].begin(conns[i]), works[i].name)
	}

	// A statement is known to run when a server lists it.
	eventually(t, "running statements", conditionTimeout, func() error {
		running := 0

		for _, member := range d.members {
			running += countActivity(t, member, "state = 'active' AND query LIKE '%pg_sleep(6)%' AND application_name LIKE 'ag/%'")
		}

		if running < kindSessions {
			return fmt.Errorf("%d", running)
		}

		return nil
	})

	require.Equal(t, http.StatusOK, proxy.healthStatus())
	proxy.signal(syscall.SIGTERM)
	eventually(t, "health check reports the stop", conditionTimeout, func() error {
		if status := proxy.healthStatus(); status != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d", status)
		}

		return nil
	})

	conn, err := d.tryConnect(proxy, "", "")
	if assert.NoError(t, err, "a connection after the health check failed and before the load balancer noticed") {
		require.NoError(t, conn.Close(context.Background()))
	}

	eventually(t, "new connections are refused", conditionTimeout, func() error {
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

	<-proxy.exited
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

// Guards against a planned stop of a proxy that answers a caller with anything but success or a refusal that says the
// request did not run. Callers reconnect to random proxies, as they would through a load balancer.
func TestStopOfProxyUnderLoad(t *testing.T) {
	d := deploy(t, deployOptions{controls: 1, proxies: 3, members: 3})
	h := startHistory(d, 8)
	h.waitForWrites(20)

	for i := range 3 {
		proxy := d.proxies[i]

		h.injectFault("stop "+proxy.name, func() {
			proxy.signal(syscall.SIGTERM)
			<-proxy.exited
		})
		assert.Equal(t, 0, proxy.command.ProcessState.ExitCode(), "exit code of %s", proxy.name)
		h.waitForWrites(20)
		h.injectFault("start "+proxy.name, proxy.start)
		h.waitForWrites(20)
	}

	h.stopAndCheck()
	assert.Empty(t, h.unexpectedErrors, "a planned stop must only cause refusals as not run")
}

// Guards against a planned move of the primary that loses an acknowledged write, leaves an outcome unknown, or passes on
// to callers the errors of a server that no longer accepts writes.
func TestDrainOfPrimaryUnderLoad(t *testing.T) {
	d := deploy(t, deployOptions{controls: 3, proxies: 2, members: 3})
	h := startHistory(d, 9)
	h.waitForWrites(20)

	drained := ""

	for range 2 {
		old := d.groupStatus("students")
		h.injectFault("drain "+old.Primary, func() {
			_, err := d.runOperatorCommand("drain", "--server", old.Primary)
			require.NoError(t, err)
		})

		next := d.waitForTerm("students", old.Term)
		assert.Equal(t, old.Term+1, next.Term, "a planned move takes exactly one term")
		assert.NotEqual(t, old.Primary, next.Primary)
		h.waitForWrites(20)

		if drained == "" {
			drained = old.Primary
			_, err := d.runOperatorCommand("drain", "--server", drained, "--undo")
			require.NoError(t, err)
			d.waitForLeaving(drained, false)
			h.waitForWrites(20)
		}
	}

	h.stopAndCheck()
	assert.Empty(t, h.unexpectedErrors, "a planned move must only cause refusals as not run")
}

// Guards against sessions that are closed without a reason, or whose requests then make no progress, when a proxy stops
// while callers hold many idle connections. Each session must get the code for a draining proxy, a "not run" code that
// tells its caller to reconnect.
func TestStopOfProxyTellsIdleSessions(t *testing.T) {
	d := deploy(t, deployOptions{controls: 1, proxies: 2, members: 3})
	proxy := d.proxies[0]

	const sessions = 20

	var (
		informed atomic.Int64
		tasks    sync.WaitGroup
	)

	for range sessions {
		conn := d.connect(proxy, "")

		tasks.Go(func() {
			_, err := conn.PgConn().ReceiveMessage(context.Background())
			if _, code := codeOf(err); code == result.Draining {
				informed.Add(1)
			} else {
				t.Errorf("an idle session got %v instead of the draining code", err)
			}
		})
	}

	proxy.signal(syscall.SIGTERM)
	tasks.Wait()
	<-proxy.exited
	assert.Equal(t, 0, proxy.command.ProcessState.ExitCode())
	t.Logf("1 stop; %d idle sessions informed", informed.Load())
	assert.EqualValues(t, sessions, informed.Load())
}

// Guards against callers whose login is cut off without an answer because the proxy has no session left and ends.
func TestStopOfProxyAnswersCallersThatLogIn(t *testing.T) {
	// The verifier of the password "secret".
	const verifier = "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$" +
		"bpSY5Ze9NUH+I35LC3gVq+DpBfK46iXBxvhAKqVu9pE=:VpYlBuxyzeCI1KnctrefdljpB1mk3Gp7sBI/t11+NkQ="

	d := deploy(t, deployOptions{controls: 1, proxies: 1, members: 3, runningSettings: map[string]any{
		"users": map[string]any{"clerk": map[string]any{}, "guarded": map[string]any{"verifier": verifier}},
	}})
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "guarded", "database": poolName},
	}).Encode(nil)
	require.NoError(t, err)
	encryption, err := (&pgproto3.SSLRequest{}).Encode(nil)
	require.NoError(t, err)

	tests := []struct {
		name string
		// sent is sent before the stop, answerBytes is the size of the answer to it.
		sent        []byte
		answerBytes int
	}{
		{"connected", nil, 0},
		{"encryption refused", encryption, 1},
		{"part of the startup packet sent", startup[:10], 0},
		{"authentication in progress", startup, 24},
	}

	conns := make([]net.Conn, len(tests))

	for i, test := range tests {
		conns[i], err = net.Dial("tcp", d.proxies[0].address)
		require.NoError(t, err)

		defer conns[i].Close()

		_, err = conns[i].Write(test.sent)
		require.NoError(t, err)
		_, err = io.ReadFull(conns[i], make([]byte, test.answerBytes))
		require.NoError(t, err, test.name)
	}

	// A later connection is accepted after the earlier ones.
	require.NoError(t, d.connect(d.proxies[0], "").Close(context.Background()))
	d.proxies[0].signal(syscall.SIGTERM)

	for i, test := range tests {
		message, err := pgproto3.NewFrontend(conns[i], conns[i]).Receive()
		if !assert.NoError(t, err, test.name) {
			continue
		}

		failure, failed := message.(*pgproto3.ErrorResponse)
		require.True(t, failed, "%s: %T", test.name, message)
		assert.Equal(t, "FATAL", failure.Severity, test.name)
		assert.Contains(t, failure.Message, "AG1305", test.name)
	}

	<-d.proxies[0].exited
	assert.Equal(t, 0, d.proxies[0].command.ProcessState.ExitCode(), "exit code of the proxy")
}

// Guards against errors and unknown outcomes for callers of other proxies, only because the proxy that coordinates the group
// is stopped: barriers, confirmations and permits that it was asked for must be served by another one.
func TestStopOfCoordinatorDisturbsNoOtherProxy(t *testing.T) {
	const callersPerProxy, stops = 4, 6

	d := deploy(t, deployOptions{controls: 1, proxies: 3, members: 3})
	_, err := d.connect(d.proxies[0], "").Exec(context.Background(), "CREATE TABLE kept (id text PRIMARY KEY)")
	require.NoError(t, err)

	var statements, failures atomic.Int64

	for round := range stops {
		coordinator := d.proxyNamed(d.groupStatus("students").Coordinator)
		running := make(chan struct{})

		var (
			callers sync.WaitGroup
			mutex   sync.Mutex
			slowest time.Duration
		)

		for i, proxy := range d.proxies {
			if proxy == coordinator {
				continue
			}

			for n := range callersPerProxy {
				conn := d.connect(proxy, "")
				// Shorter than the lease of the stopped proxy.
				_, err := conn.Exec(context.Background(), "SET statement_timeout = '1s'")
				require.NoError(t, err)

				callers.Go(func() {
					for count := 0; ; count++ {
						select {
						case <-running:
							return
						default:
						}

						id := fmt.Sprintf("%d-%d-%d-%d", round, i, n, count)

						for _, sql := range []string{"INSERT INTO kept VALUES ('" + id + "')", "SELECT count(*) FROM kept WHERE id = '" + id + "'"} {
							begin := time.Now()

							if _, err := conn.Exec(context.Background(), sql); err != nil {
								failures.Add(1)
								t.Errorf("%s through %s: %v", sql, proxy.name, err)

								return
							}

							statements.Add(1)
							mutex.Lock()
							slowest = max(slowest, time.Since(begin))
							mutex.Unlock()
						}
					}
				})
			}
		}

		before := statements.Load()
		await := func(what string) {
			start := statements.Load()
			eventually(t, what, conditionTimeout, func() error {
				if now := statements.Load(); now < start+100 {
					return fmt.Errorf("%d statements", now-start)
				}

				return nil
			})
		}

		await("statements before the stop")
		coordinator.signal(syscall.SIGTERM)
		<-coordinator.exited
		assert.Equal(t, 0, coordinator.command.ProcessState.ExitCode(), "exit code of %s", coordinator.name)
		await("statements after the stop")
		close(running)
		callers.Wait()
		t.Logf("stop of %s: %d statements, the slowest took %s", coordinator.name, statements.Load()-before, slowest)
		coordinator.start()
		d.waitUntilServing(coordinator, "students", 3)
	}

	t.Logf("%d stops, %d statements, %d failed", stops, statements.Load(), failures.Load())
}

func (d *deployment) proxyNamed(name string) *process {
	d.t.Helper()

	for _, proxy := range d.proxies {
		if proxy.name == name {
			return proxy
		}
	}

	d.t.Fatalf("no proxy %q", name)

	return nil
}

// Guards against callers of a stopping proxy whose connection ends without an answer or an error with a code, when they keep
// coming back and the time limit of the drain passes while their statements run.
func TestStopOfProxyAtItsLimitAnswersCallersThatComeBack(t *testing.T) {
	const (
		callersPerKind = 4
		drainTimeout   = 2 * time.Second
	)

	d := deploy(t, deployOptions{controls: 1, proxies: 2, members: 3, memberArgs: []string{"--slots", "20", "--connections", "60"}, runningSettings: map[string]any{
		"timing": map[string]any{"drain_timeout": drainTimeout.String()},
	}})
	proxy := d.proxies[0]
	_, err := d.connect(d.proxies[1], "").Exec(context.Background(), "CREATE TABLE kept (id text PRIMARY KEY)")
	require.NoError(t, err)

	writesDone := make(chan struct{})
	kinds := []struct {
		name string
		run  func(ctx context.Context, conn *pgx.Conn, id string) error
	}{
		{"simple", func(ctx context.Context, conn *pgx.Conn, id string) error {
			_, err := conn.PgConn().Exec(ctx, "INSERT INTO kept VALUES ('"+id+"')").ReadAll()

			return err
		}},
		{"transaction", func(ctx context.Context, conn *pgx.Conn, id string) error {
			return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
				_, err := tx.Exec(ctx, "INSERT INTO kept VALUES ($1)", id)

				return err
			})
		}},
		{"batch", func(ctx context.Context, conn *pgx.Conn, id string) error {
			requests := &pgx.Batch{}
			requests.Queue("INSERT INTO kept VALUES ($1)", id)
			requests.Queue("SELECT count(*) FROM kept WHERE id = $1", id)

			return conn.SendBatch(ctx, requests).Close()
		}},
		{"long read", func(ctx context.Context, conn *pgx.Conn, _ string) error {
			_, err := conn.Exec(ctx, "SELECT pg_sleep(20)")

			return err
		}},
		{"long write", func(ctx context.Context, conn *pgx.Conn, id string) error {
			// The stand-in allows one writing transaction at a time, so the other writes wait for this one.
			<-writesDone
			_, err := conn.PgConn().Exec(ctx, "INSERT INTO kept VALUES ('"+id+"'); SELECT pg_sleep(20)").ReadAll()

			return err
		}},
	}

	var (
		callers  sync.WaitGroup
		mutex    sync.Mutex
		outcomes = make(map[string]outcome)
		codes    = make(map[result.Code]int)
		cut      []string
	)

	for _, kind := range kinds {
		for n := range callersPerKind {
			callers.Go(func() {
				for count := 0; ; count++ {
					conn, err := d.tryConnect(proxy, "", "")
					if err != nil {
						select {
						case <-proxy.exited:
							return
						default:
							continue
						}
					}

					for ; err == nil; count++ {
						id := fmt.Sprintf("%s-%d-%d", kind.name, n, count)
						err = kind.run(context.Background(), conn, id)
						_, code := codeOf(err)

						mutex.Lock()
						outcomes[id] = outcomeOf(err)

						if err != nil {
							codes[code]++
						}

						if err != nil && code == result.OK {
							cut = append(cut, fmt.Sprintf("%s: %v", id, err))
						}
						mutex.Unlock()
					}

					_ = conn.Close(context.Background())
				}
			})
		}
	}

	eventually(t, "answers", conditionTimeout, func() error {
		mutex.Lock()
		defer mutex.Unlock()

		if len(outcomes) < 100 {
			return fmt.Errorf("%d", len(outcomes))
		}

		return nil
	})
	close(writesDone)
	eventually(t, "long reads and a long write", conditionTimeout, func() error {
		running := 0
		for _, member := range d.members {
			running += countActivity(t, member, "state = 'active' AND query LIKE '%pg_sleep(20)%' AND application_name LIKE 'ag/%'")
		}

		if running <= callersPerKind {
			return fmt.Errorf("%d", running)
		}

		return nil
	})
	proxy.signal(syscall.SIGTERM)
	<-proxy.exited
	callers.Wait()

	counts := map[outcome]int{}
	for _, reported := range outcomes {
		counts[reported]++
	}

	t.Logf("1 stop; %d acknowledged, %d not run, %d unknown, codes %v; %d cut off", counts[outcomeAcknowledged], counts[outcomeNotRun],
		counts[outcomeUnknown], codes, len(cut))
	assert.Empty(t, cut)

	rows, err := d.connect(d.proxies[1], "").Query(context.Background(), "SELECT id FROM kept")
	require.NoError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	require.NoError(t, err)

	kept := make(map[string]bool)
	for _, id := range ids {
		kept[id] = true
	}

	for id, reported := range outcomes {
		assert.False(t, reported == outcomeAcknowledged && !kept[id], "%s was acknowledged and is missing", id)
		assert.False(t, reported == outcomeNotRun && kept[id], "%s was refused as not run and exists", id)
	}

	require.Positive(t, counts[outcomeAcknowledged])
	require.Positive(t, counts[outcomeUnknown])
}

// Guards against an operator's call that is cut off because its control process stops answering other processes, and itself,
// before the calls in progress have ended. The call is in progress from when the process asks for its body.
func TestStopOfControlAnswersOperators(t *testing.T) {
	d := deploy(t, deployOptions{controls: 1, proxies: 1, members: 3})
	control := d.controls[0]
	body := `{"server":"studentsc","undo":true}`
	conn, err := net.Dial("tcp", control.operatorAddress)
	require.NoError(t, err)

	defer conn.Close()

	_, err = fmt.Fprintf(conn, "POST /v1/drain HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"Expect: 100-continue\r\n\r\n", control.operatorAddress, len(body))
	require.NoError(t, err)

	reader := bufio.NewReader(conn)
	status, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, status, "100")
	_, err = reader.ReadString('\n')
	require.NoError(t, err)

	control.signal(syscall.SIGTERM)
	eventually(t, "new calls are refused", conditionTimeout, func() error {
		other, err := net.Dial("tcp", control.operatorAddress)
		if err == nil {
			_ = other.Close()

			return fmt.Errorf("accepted")
		}

		return nil
	})

	_, err = conn.Write([]byte(body))
	require.NoError(t, err)

	reply, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.NoError(t, reply.Body.Close())
	assert.Equal(t, http.StatusOK, reply.StatusCode)

	<-control.exited
	assert.Equal(t, 0, control.command.ProcessState.ExitCode(), "exit code of the control process")
}
