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

// cells is the number of rows that one transaction writes.
const cells = 3

// mixing is a number of sessions whose transactions share few backend connections.
type mixing struct {
	d     *deployment
	stop  chan struct{}
	tasks sync.WaitGroup

	committed, refused, unknown, checks atomic.Int64

	mutex      sync.Mutex
	told       map[string]outcome
	violations []string
}

func (m *mixing) violate(format string, args ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *mixing) run(session int, random *rand.Rand) {
	var conn *pgx.Conn

	for n := 0; ; n++ {
		select {
		case <-m.stop:
			if conn != nil {
				_ = conn.Close(context.Background())
			}

			return
		default:
		}

		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = m.d.tryConnect(m.d.proxies[random.IntN(len(m.d.proxies))], "", ""); err != nil {
				conn = nil

				time.Sleep(waitPeriod)

				continue
			}
		}

		id := fmt.Sprintf("s%d-%d", session, n)
		told := m.transaction(conn, id)

		m.mutex.Lock()
		m.told[id] = told
		m.mutex.Unlock()

		switch told {
		case outcomeAcknowledged:
			m.committed.Add(1)
		case outcomeNotRun:
			m.refused.Add(1)
		case outcomeUnknown:
			m.unknown.Add(1)
		}

		if told != outcomeAcknowledged && !conn.IsClosed() {
			ctx, cancel := context.WithTimeout(context.Background(), callLimit)
			_, _ = conn.Exec(ctx, "ROLLBACK")

			cancel()
		}
	}
}

// transaction writes rows with its id and checks in between that it sees its own rows, no part of another's, and the
// same backend connection throughout. Only a failure of the commit itself leaves the outcome unknown.
func (m *mixing) transaction(conn *pgx.Conn, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		return outcomeNotRun
	}

	connection := 0

	for i := range cells {
		var pid int
		if err := conn.QueryRow(ctx, "SELECT pg_backend_pid()").Scan(&pid); err != nil {
			return outcomeNotRun
		}

		if connection != 0 && pid != connection {
			m.violate("transaction %s ran on backend connections %d and %d", id, connection, pid)
		}

		connection = pid

		if _, err := conn.Exec(ctx, "INSERT INTO cells VALUES ('"+id+"', $1)", i); err != nil {
			return outcomeNotRun
		}

		var own, torn int

		err := conn.QueryRow(ctx, "SELECT count(*) FROM cells WHERE owner = '"+id+"'").Scan(&own)
		if err != nil {
			return outcomeNotRun
		}

		err = conn.QueryRow(ctx, fmt.Sprintf("SELECT count(*) FROM (SELECT owner FROM cells WHERE owner <> '%s' "+
			"GROUP BY owner HAVING count(*) <> %d) AS torn", id, cells)).Scan(&torn)
		if err != nil {
			return outcomeNotRun
		}

		m.checks.Add(1)

		if own != i+1 || torn != 0 {
			m.violate("transaction %s sees %d of its %d rows and parts of %d other transactions", id, own, i+1, torn)
		}
	}

	_, err := conn.Exec(ctx, "COMMIT")

	return outcomeOf(err)
}

// mix runs sessions with transactions, injects faults, and compares what callers were told with the database. The
// function inject returns the number of faults.
func mix(t *testing.T, inject func(d *deployment, m *mixing) int) {
	t.Helper()

	d := deploy(t, shape{
		controls: 1, proxies: 2, members: 3, memberArgs: []string{"--slots", "4", "--connections", "8", "--statement-cost", "100us"},
	})
	_, err := d.connect(d.proxies[0], "").Exec(context.Background(), "CREATE TABLE cells (owner text, n integer)")
	require.NoError(t, err)

	const sessions, seed = 24, 10

	m := &mixing{d: d, stop: make(chan struct{}), told: map[string]outcome{}}

	for i := range sessions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		m.tasks.Go(func() { m.run(i, random) })
	}

	finish := sync.OnceFunc(func() {
		close(m.stop)
		m.tasks.Wait()
	})
	defer finish()

	d.more("transactions", &m.committed, 20)
	faults := inject(d, m)
	finish()

	held := d.owners()

	for id, told := range m.told {
		switch count := held[id]; {
		case count != 0 && count != cells:
			m.violate("transaction %s stands with %d of %d rows in the database", id, count, cells)
		case told == outcomeAcknowledged && count == 0:
			m.violate("transaction %s was acknowledged and is absent", id)
		case told == outcomeNotRun && count != 0:
			m.violate("transaction %s was refused as not run and is present", id)
		}
	}

	t.Logf("seed %d: %d faults; transactions: %d committed, %d not run, %d unknown; %d checks",
		seed, faults, m.committed.Load(), m.refused.Load(), m.unknown.Load(), m.checks.Load())

	for i, violation := range m.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	require.Positive(t, faults)
	require.Positive(t, m.committed.Load())
	require.Positive(t, m.checks.Load())
}

// Guards against statements of one transaction that run in another's, when more sessions than backend connections are
// in transactions and backend sessions and proxies are killed in their midst.
func TestTransactionsNeverMix(t *testing.T) {
	mix(t, func(d *deployment, m *mixing) int {
		faults, killed := 0, 0
		primary := d.member(d.group("students").Primary)

		for i := range 6 {
			killed += d.endSessions(primary)
			faults++

			d.more("transactions after backend sessions ended", &m.committed, 10)

			proxy := d.proxies[i%2]
			proxy.kill()
			d.more("transactions without "+proxy.name, &m.committed, 5)
			proxy.start()

			faults++

			d.more("transactions", &m.committed, 10)
		}

		t.Logf("%d backend sessions ended", killed)
		require.Positive(t, killed)

		return faults
	})
}

// Guards against writers that stand still because a transaction is open on a backend connection that has gone silent,
// and against transactions that mix when such connections are given up.
func TestTransactionsOnSilentConnections(t *testing.T) {
	mix(t, func(d *deployment, m *mixing) int {
		faults := 0
		primary := d.member(d.group("students").Primary)

		for range 3 {
			primary.inject(map[string]any{"kind": "lose"})

			faults++

			d.more("transactions after open connections went silent", &m.committed, 10)
		}

		return faults
	})
}

// endSessions ends the sessions of proxies on a member and returns their number.
func (d *deployment) endSessions(member *process) int {
	d.t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	conn, err := pgx.Connect(ctx, "postgres://test@"+member.address+"/main?sslmode=disable&application_name=agcontrol/test")
	require.NoError(d.t, err)
	defer conn.Close(ctx)

	var count int

	require.NoError(d.t, conn.QueryRow(ctx, "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE 'ag/%' "+
		"AND application_name NOT LIKE '%/monitor' AND pg_terminate_backend(pid)").Scan(&count))

	return count
}

// owners returns how many rows each transaction has in the primary.
func (d *deployment) owners() map[string]int {
	d.t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	primary := d.member(d.group("students").Primary)
	conn, err := pgx.Connect(ctx, "postgres://test@"+primary.address+"/main?sslmode=disable")
	require.NoError(d.t, err)
	defer conn.Close(ctx)

	rows, err := conn.Query(ctx, "SELECT owner, count(*) FROM cells GROUP BY owner")
	require.NoError(d.t, err)

	held := map[string]int{}

	for rows.Next() {
		var (
			owner string
			count int
		)

		require.NoError(d.t, rows.Scan(&owner, &count))
		held[owner] = count
	}

	require.NoError(d.t, rows.Err())

	return held
}

// cancelAt sends the cancel request of a connection to any proxy, as a caller behind a load balancer does.
func cancelAt(proxy *process, conn *pgx.Conn) error {
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

	// The proxy closes the connection once the request is passed on.
	_ = socket.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = socket.Read(make([]byte, 1))

	return nil
}

// answering is a number of sessions that compare each answer with their own question.
type answering struct {
	d     *deployment
	stop  chan struct{}
	tasks sync.WaitGroup

	whole, pipelined, large, cancels, cancelled atomic.Int64

	mutex      sync.Mutex
	violations []string
}

func (a *answering) violate(format string, args ...any) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

func (a *answering) run(session int, random *rand.Rand, cancels bool) {
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
				a.violate("session %d can't connect: %v", session, err)

				return
			}
		}

		id := fmt.Sprintf("a%d-%d-", session, n)

		var sent sync.WaitGroup

		if cancels {
			proxy := a.d.proxies[random.IntN(len(a.d.proxies))]

			sent.Go(func() {
				if err := cancelAt(proxy, conn); err != nil {
					a.violate("cancel at %s: %v", proxy.name, err)
				}

				a.cancels.Add(1)
			})
		}

		var err error

		switch n % 3 {
		case 0:
			err = a.askLarge(conn, id, 200+random.IntN(3000), false)
		case 1:
			err = a.askPipelined(conn, id)
		case 2:
			err = a.askLarge(conn, id, 200, true)
		}

		sent.Wait()

		switch {
		case err == nil:
		case cancels && isCancelled(err):
			a.cancelled.Add(1)
		default:
			a.violate("session %d (cancels: %v), question %s: %v", session, cancels, id, err)
		}
	}
}

func isCancelled(err error) bool {
	var failure *pgconn.PgError

	return errors.As(err, &failure) && failure.Code == "57014"
}

// askLarge reads an answer of many rows, slowly if asked to.
func (a *answering) askLarge(conn *pgx.Conn, id string, count int, slow bool) error {
	rows, err := conn.Query(context.Background(), fmt.Sprintf(streamQuery, count, id))
	if err != nil {
		return err
	}
	defer rows.Close()

	read := 0

	for rows.Next() {
		var (
			number int
			text   string
		)

		if err := rows.Scan(&number, &text); err != nil {
			return err
		}

		read++

		if want := fmt.Sprintf("%s%dx", id, read); number != read || text[:min(len(text), len(want))] != want {
			a.violate("question %s: row %d is %d, %q", id, read, number, text)
		}

		if slow && read%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}

	if err := rows.Err(); err != nil {
		return err
	}

	a.whole.Add(1)
	a.large.Add(1)

	if read != count {
		a.violate("question %s: %d rows of %d without an error", id, read, count)
	}

	return nil
}

// askPipelined sends questions without waiting for answers.
func (a *answering) askPipelined(conn *pgx.Conn, id string) error {
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
			a.violate("question %s: answer %q, want %q", id, text, want)
		}

		a.whole.Add(1)
		a.pipelined.Add(1)
	}

	return results.Close()
}

// Guards against an answer that reaches another caller, is cut without an error, or is cancelled by another caller's
// request, when answers are pipelined, large and slowly read and cancel requests arrive through any proxy.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	d := deploy(t, shape{controls: 1, proxies: 2, members: 3})

	const sessions, seed = 12, 11

	a := &answering{d: d, stop: make(chan struct{})}

	for i := range sessions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		a.tasks.Go(func() { a.run(i, random, i%2 == 0) })
	}

	d.more("cancelled answers", &a.cancelled, 30)
	d.more("large answers", &a.large, 200)
	d.more("pipelined answers", &a.pipelined, 1000)
	close(a.stop)
	a.tasks.Wait()

	t.Logf("seed %d: %d cancel requests, %d answers cancelled; %d whole answers, of them %d large and %d pipelined", seed,
		a.cancels.Load(), a.cancelled.Load(), a.whole.Load(), a.large.Load(), a.pipelined.Load())

	for i, violation := range a.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	assert.Empty(t, a.violations)
	require.Positive(t, a.cancelled.Load())
}
