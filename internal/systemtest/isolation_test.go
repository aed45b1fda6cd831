package systemtest_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rowsPerTransaction is the number of rows that each transaction inserts.
const rowsPerTransaction = 3

// transactionLoad runs more sessions with transactions than there are backend connections.
type transactionLoad struct {
	d     *deployment
	stop  chan struct{}
	tasks sync.WaitGroup

	committed, refused, unknown, checks atomic.Int64

	mutex      sync.Mutex
	outcomes   map[string]outcome
	violations []string
}

func (l *transactionLoad) recordViolation(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *transactionLoad) runSession(session int, random *rand.Rand) {
	var conn *pgx.Conn

	for n := 0; ; n++ {
		select {
		case <-l.stop:
			if conn != nil {
				_ = conn.Close(context.Background())
			}

			return
		default:
		}

		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = l.d.tryConnect(l.d.proxies[random.IntN(len(l.d.proxies))], "", ""); err != nil {
				conn = nil

				time.Sleep(pollInterval)

				continue
			}
		}

		id := fmt.Sprintf("s%d-%d", session, n)
		reported := l.runTransaction(conn, id)

		l.mutex.Lock()
		l.outcomes[id] = reported
		l.mutex.Unlock()

		switch reported {
		case outcomeAcknowledged:
			l.committed.Add(1)
		case outcomeNotRun:
			l.refused.Add(1)
		case outcomeUnknown:
			l.unknown.Add(1)
		}

		if reported != outcomeAcknowledged && !conn.IsClosed() {
			ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
			_, _ = conn.Exec(ctx, "ROLLBACK")

			cancel()
		}
	}
}

// runTransaction inserts rows with its id. After each one it checks that it sees its own rows, sees no incomplete
// transaction of others, and still runs on the same backend connection. Only a failed commit leaves the outcome unknown.
func (l *transactionLoad) runTransaction(conn *pgx.Conn, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()

	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		return outcomeNotRun
	}

	backendPID := 0

	for i := range rowsPerTransaction {
		var pid int
		if err := conn.QueryRow(ctx, "SELECT pg_backend_pid()").Scan(&pid); err != nil {
			return outcomeNotRun
		}

		if backendPID != 0 && pid != backendPID {
			l.recordViolation("transaction %s ran on backend connections %d and %d", id, backendPID, pid)
		}

		backendPID = pid

		if _, err := conn.Exec(ctx, "INSERT INTO cells VALUES ('"+id+"', $1)", i); err != nil {
			return outcomeNotRun
		}

		var own, torn int

		err := conn.QueryRow(ctx, "SELECT count(*) FROM cells WHERE owner = '"+id+"'").Scan(&own)
		if err != nil {
			return outcomeNotRun
		}

		err = conn.QueryRow(ctx, fmt.Sprintf("SELECT count(*) FROM (SELECT owner FROM cells WHERE owner <> '%s' "+
			"GROUP BY owner HAVING count(*) <> %d) AS torn", id, rowsPerTransaction)).Scan(&torn)
		if err != nil {
			return outcomeNotRun
		}

		l.checks.Add(1)

		if own != i+1 || torn != 0 {
			l.recordViolation("transaction %s sees %d of its %d rows and parts of %d other transactions", id, own, i+1, torn)
		}
	}

	_, err := conn.Exec(ctx, "COMMIT")

	return outcomeOf(err)
}

// checkIsolation runs sessions with transactions, injects faults, and compares the answers that callers got with the
// database. The function inject returns the number of faults.
func checkIsolation(t *testing.T, inject func(d *deployment, l *transactionLoad) int) {
	t.Helper()

	d := deploy(t, deployOptions{
		controls: 1, proxies: 2, members: 3, memberArgs: []string{"--slots", "4", "--connections", "8", "--statement-cost", "100us"},
	})
	_, err := d.connect(d.proxies[0], "").Exec(context.Background(), "CREATE TABLE cells (owner text, n integer)")
	require.NoError(t, err)

	const sessions, seed = 24, 10

	l := &transactionLoad{d: d, stop: make(chan struct{}), outcomes: map[string]outcome{}}

	for i := range sessions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.tasks.Go(func() { l.runSession(i, random) })
	}

	finish := sync.OnceFunc(func() {
		close(l.stop)
		l.tasks.Wait()
	})
	defer finish()

	d.waitForIncrease("transactions", &l.committed, 20)
	faults := inject(d, l)
	finish()

	rowCounts := d.rowsByOwner()

	for id, reported := range l.outcomes {
		switch count := rowCounts[id]; {
		case count != 0 && count != rowsPerTransaction:
			l.recordViolation("transaction %s has %d of %d rows in the database", id, count, rowsPerTransaction)
		case reported == outcomeAcknowledged && count == 0:
			l.recordViolation("transaction %s was acknowledged, but its rows are missing", id)
		case reported == outcomeNotRun && count != 0:
			l.recordViolation("transaction %s was refused as not run, but its rows exist", id)
		}
	}

	t.Logf("seed %d: %d faults; transactions: %d committed, %d not run, %d unknown; %d checks",
		seed, faults, l.committed.Load(), l.refused.Load(), l.unknown.Load(), l.checks.Load())

	for i, violation := range l.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	require.Positive(t, faults)
	require.Positive(t, l.committed.Load())
	require.Positive(t, l.checks.Load())
}

// Guards against a statement that runs inside another session's transaction. More sessions than backend connections are
// in transactions, while backend sessions are terminated and proxies killed.
func TestTransactionsNeverMix(t *testing.T) {
	checkIsolation(t, func(d *deployment, l *transactionLoad) int {
		faults, killed := 0, 0
		primary := d.member(d.groupStatus("students").Primary)

		for i := range 6 {
			killed += d.terminateProxySessions(primary)
			faults++

			d.waitForIncrease("transactions after backend sessions ended", &l.committed, 10)

			proxy := d.proxies[i%2]
			proxy.kill()
			d.waitForIncrease("transactions without "+proxy.name, &l.committed, 5)
			proxy.start()

			faults++

			d.waitForIncrease("transactions", &l.committed, 10)
		}

		t.Logf("%d backend sessions ended", killed)
		require.Positive(t, killed)

		return faults
	})
}

// Guards against writers that are blocked by a transaction left open on a backend connection that no longer answers, and
// against statements that run in another session's transaction when the proxy gives up such a connection.
func TestTransactionsOnSilentConnections(t *testing.T) {
	checkIsolation(t, func(d *deployment, l *transactionLoad) int {
		faults := 0
		primary := d.member(d.groupStatus("students").Primary)

		for range 3 {
			primary.injectFault(map[string]any{"kind": "lose"})

			faults++

			d.waitForIncrease("transactions after open connections went silent", &l.committed, 10)
		}

		return faults
	})
}

// terminateProxySessions terminates the sessions of proxies on a member, except their monitors', and returns how many.
func (d *deployment) terminateProxySessions(member *process) int {
	d.t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()

	conn, err := pgx.Connect(ctx, "postgres://test@"+member.address+"/main?sslmode=disable&application_name=agcontrol/test")
	require.NoError(d.t, err)
	defer conn.Close(ctx)

	var count int

	require.NoError(d.t, conn.QueryRow(ctx, "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE 'ag/%' "+
		"AND application_name NOT LIKE '%/monitor' AND pg_terminate_backend(pid)").Scan(&count))

	return count
}

// rowsByOwner returns the number of rows of each transaction in the primary.
func (d *deployment) rowsByOwner() map[string]int {
	d.t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()

	primary := d.member(d.groupStatus("students").Primary)
	conn, err := pgx.Connect(ctx, "postgres://test@"+primary.address+"/main?sslmode=disable")
	require.NoError(d.t, err)
	defer conn.Close(ctx)

	rows, err := conn.Query(ctx, "SELECT owner, count(*) FROM cells GROUP BY owner")
	require.NoError(d.t, err)

	counts := map[string]int{}

	for rows.Next() {
		var (
			owner string
			count int
		)

		require.NoError(d.t, rows.Scan(&owner, &count))
		counts[owner] = count
	}

	require.NoError(d.t, rows.Err())

	return counts
}

// sendCancelRequest sends a connection's cancel request to the given proxy. Behind a load balancer, it may reach another
// proxy than the connection's.
func sendCancelRequest(proxy *process, conn *pgx.Conn) error {
	socket, err := net.DialTimeout("tcp", proxy.address, 5*time.Second) //nolint:noctx // A test.
	if err != nil {
		return err
	}
	defer socket.Close()

	request, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}).Encode(nil)
	if err != nil {
		return err
	}

	if _, err := socket.Write(request); err != nil {
		return err
	}

	// The proxy closes the connection when it has passed the request on.
	_ = socket.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = socket.Read(make([]byte, 1))

	return nil
}

// answerLoad runs sessions that compare each answer with their own query.
type answerLoad struct {
	d     *deployment
	stop  chan struct{}
	tasks sync.WaitGroup

	complete, pipelined, large, cancelRequests, cancelled atomic.Int64

	mutex      sync.Mutex
	violations []string
}

func (a *answerLoad) recordViolation(format string, args ...any) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

func (a *answerLoad) runSession(session int, random *rand.Rand, cancels bool) {
	var conn *pgx.Conn

	for n := 0; ; n++ {
		select {
		case <-a.stop:
			if conn != nil {
				_ = conn.Close(context.Background())
			}

			return
		default:
		}

		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = a.d.tryConnect(a.d.proxies[random.IntN(len(a.d.proxies))], "session", ""); err != nil {
				a.recordViolation("session %d failed to connect: %v", session, err)

				return
			}
		}

		id := fmt.Sprintf("a%d-%d-", session, n)

		var sent sync.WaitGroup

		if cancels {
			proxy := a.d.proxies[random.IntN(len(a.d.proxies))]

			sent.Go(func() {
				if err := sendCancelRequest(proxy, conn); err != nil {
					a.recordViolation("cancel at %s: %v", proxy.name, err)
				}

				a.cancelRequests.Add(1)
			})
		}

		var err error

		switch n % 3 {
		case 0:
			err = a.queryRows(conn, id, 200+random.IntN(3000), false)
		case 1:
			err = a.queryPipelined(conn, id)
		case 2:
			err = a.queryRows(conn, id, 200, true)
		}

		sent.Wait()

		switch {
		case err == nil:
		case cancels && isCancelled(err):
			a.cancelled.Add(1)
		default:
			a.recordViolation("session %d (cancels: %v), query %s: %v", session, cancels, id, err)
		}
	}
}

func isCancelled(err error) bool {
	var failure *pgconn.PgError

	return errors.As(err, &failure) && failure.Code == "57014"
}

// queryRows reads an answer of many rows; slow makes it pause between rows.
func (a *answerLoad) queryRows(conn *pgx.Conn, id string, count int, slow bool) error {
	rows, err := conn.Query(context.Background(), fmt.Sprintf(streamQuery, count, id))
	if err != nil {
		return err
	}
	defer rows.Close()

	received := 0

	for rows.Next() {
		var (
			number int
			text   string
		)

		if err := rows.Scan(&number, &text); err != nil {
			return err
		}

		received++

		if want := fmt.Sprintf("%s%dx", id, received); number != received || text[:min(len(text), len(want))] != want {
			a.recordViolation("query %s: row %d is %d, %q", id, received, number, text)
		}

		if slow && received%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}

	if err := rows.Err(); err != nil {
		return err
	}

	a.complete.Add(1)
	a.large.Add(1)

	if received != count {
		a.recordViolation("query %s: got %d of %d rows and no error", id, received, count)
	}

	return nil
}

// queryPipelined sends several queries before it reads the first answer.
func (a *answerLoad) queryPipelined(conn *pgx.Conn, id string) error {
	const questions = 20

	batch := &pgx.Batch{}
	for i := range questions {
		batch.Queue("SELECT $1::text || '"+id+"'", fmt.Sprint(i, "-"))
	}

	results := conn.SendBatch(context.Background(), batch)
	defer results.Close()

	for i := range questions {
		var text string
		if err := results.QueryRow().Scan(&text); err != nil {
			return err
		}

		if want := fmt.Sprint(i, "-") + id; text != want {
			a.recordViolation("query %s: answer %q, want %q", id, text, want)
		}

		a.complete.Add(1)
		a.pipelined.Add(1)
	}

	return results.Close()
}

// Guards against an answer that reaches another caller, is truncated without an error, or is cancelled by another
// caller's request. Answers are pipelined, large or read slowly, and cancel requests arrive through random proxies.
func TestAnswersAreCompleteAndNotMixed(t *testing.T) {
	d := deploy(t, deployOptions{controls: 1, proxies: 2, members: 3})

	const sessions, seed = 12, 11

	a := &answerLoad{d: d, stop: make(chan struct{})}

	for i := range sessions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		a.tasks.Go(func() { a.runSession(i, random, i%2 == 0) })
	}

	d.waitForIncrease("cancelled answers", &a.cancelled, 30)
	d.waitForIncrease("large answers", &a.large, 200)
	d.waitForIncrease("pipelined answers", &a.pipelined, 1000)
	close(a.stop)
	a.tasks.Wait()

	t.Logf("seed %d: %d cancel requests, %d answers cancelled; %d complete answers, of them %d large and %d pipelined", seed,
		a.cancelRequests.Load(), a.cancelled.Load(), a.complete.Load(), a.large.Load(), a.pipelined.Load())

	for i, violation := range a.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	assert.Empty(t, a.violations)
	require.Positive(t, a.cancelled.Load())
}
