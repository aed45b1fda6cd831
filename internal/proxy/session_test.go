package proxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Guards against statements that run outside their transaction or are lost, and against a failed transaction that
// accepts further statements.
func TestTransactions(t *testing.T) {
	c := newCluster(t, options{replicas: 2})
	conn, other := c.connect("p1", ""), c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	tests := []struct {
		name string
		run  func(tx pgx.Tx) error
		rows int64
	}{
		{"commit", func(tx pgx.Tx) error {
			_, err := tx.Exec(testContext(t), "INSERT INTO t VALUES (1)")
			require.NoError(t, err)
			assert.Zero(t, queryValue[int64](t, other, "SELECT count(*) FROM t"), "not committed yet")

			return tx.Commit(testContext(t))
		}, 1},
		{"rollback", func(tx pgx.Tx) error {
			_, err := tx.Exec(testContext(t), "INSERT INTO t VALUES (2)")
			require.NoError(t, err)

			return tx.Rollback(testContext(t))
		}, 1},
		{"error inside", func(tx pgx.Tx) error {
			_, err := tx.Exec(testContext(t), "INSERT INTO t VALUES ($1)", 3)
			require.NoError(t, err)
			_, err = tx.Exec(testContext(t), "INSERT INTO t VALUES ($1)", 3)
			require.Equal(t, "23505", stateOf(err))
			_, err = tx.Exec(testContext(t), "SELECT 1")
			require.Equal(t, "25P02", stateOf(err))

			return tx.Rollback(testContext(t))
		}, 1},
		{"savepoint", func(tx pgx.Tx) error {
			_, err := tx.Exec(testContext(t), "INSERT INTO t VALUES (4)")
			require.NoError(t, err)

			inner, err := tx.Begin(testContext(t))
			require.NoError(t, err)
			_, err = inner.Exec(testContext(t), "INSERT INTO t VALUES (4)")
			require.Equal(t, "23505", stateOf(err))
			require.NoError(t, inner.Rollback(testContext(t)))

			return tx.Commit(testContext(t))
		}, 2},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tx, err := conn.Begin(testContext(t))
			require.NoError(t, err)
			require.NoError(t, test.run(tx))
			assert.Equal(t, test.rows, queryValue[int64](t, other, "SELECT count(*) FROM t"))
		})
	}
}

// Guards against transactions that interfere on shared connections, and against a deadlock of transactions that hold
// locks but no slot with statements that hold all slots and wait for the locks.
func TestConcurrentTransactionsOnOneRow(t *testing.T) {
	c := newCluster(t, options{replicas: 2, slots: 2, connections: 4, proxies: []string{"p1", "p2"}})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key, n int)")
	c.exec(conn, "INSERT INTO t VALUES (1, 0)")

	const callers, rounds = 8, 5

	var group errgroup.Group

	for i := range callers {
		caller := c.connect([]string{"p1", "p2"}[i%2], "")

		group.Go(func() error {
			for range rounds {
				err := pgx.BeginFunc(testContext(t), caller, func(tx pgx.Tx) error {
					if _, err := tx.Exec(testContext(t), "UPDATE t SET n = n + 1 WHERE id = 1"); err != nil {
						return err
					}

					_, err := tx.Exec(testContext(t), "INSERT INTO t (id, n) SELECT max(id) + 1, 0 FROM t")

					return err
				})
				if err != nil {
					return err
				}
			}

			return nil
		})
	}

	require.NoError(t, group.Wait())
	assert.EqualValues(t, callers*rounds, queryValue[int64](t, conn, "SELECT n FROM t WHERE id = 1"))
	assert.EqualValues(t, callers*rounds+1, queryValue[int64](t, conn, "SELECT count(*) FROM t"))
}

// Guards against a caller's prepared statement that is missing, or is another caller's, on the pooled connection that
// the caller gets next.
func TestPreparedStatementsAcrossPooledConnections(t *testing.T) {
	c := newCluster(t, options{replicas: 1, connections: 2})

	var group errgroup.Group

	for i := range 6 {
		conn := c.connect("p1", "")

		group.Go(func() error {
			// Each caller uses the same name for a different text.
			if _, err := conn.Prepare(testContext(t), "mine", fmt.Sprintf("SELECT $1 || '-%d'", i)); err != nil {
				return err
			}

			for n := range 20 {
				var got string
				if err := conn.QueryRow(testContext(t), "mine", fmt.Sprint(n)).Scan(&got); err != nil {
					return err
				}

				if want := fmt.Sprintf("%d-%d", n, i); got != want {
					return fmt.Errorf("caller %d got %s, want %s", i, got, want)
				}
			}

			return nil
		})
	}

	require.NoError(t, group.Wait())

	conn := c.connect("p1", "")
	_, err := conn.Prepare(testContext(t), "one", "SELECT 1")
	require.NoError(t, err)
	_, err = conn.PgConn().Prepare(testContext(t), "one", "SELECT 2", nil)
	assert.Equal(t, "42P05", stateOf(err), "a name can't be used twice")
	require.NoError(t, conn.Deallocate(testContext(t), "one"))
	_, err = conn.PgConn().Prepare(testContext(t), "one", "SELECT 2", nil)
	require.NoError(t, err, "a name can be used again after it was closed")
	require.NoError(t, conn.DeallocateAll(testContext(t)))

	failed := conn.PgConn().ExecPrepared(testContext(t), "one", nil, nil, nil).Read()
	assert.Equal(t, "26000", stateOf(failed.Err))
}

// Guards against more prepared statements on one connection than allowed, and against statements that are missing after
// their eviction.
func TestPreparedStatementsBeyondTheLimit(t *testing.T) {
	c := newCluster(t, options{connections: 1})
	conn := c.connect("p1", "")

	for i := range 300 {
		_, err := conn.Prepare(testContext(t), fmt.Sprintf("s%d", i), fmt.Sprintf("SELECT %d", i))
		require.NoError(t, err)
	}

	for _, i := range []int{0, 299, 1, 150} {
		assert.Equal(t, i, queryValue[int](t, conn, fmt.Sprintf("s%d", i)))
	}
}

// Guards against session parameters that leak to other callers or are missing on another pooled connection.
func TestParametersFollowTheSession(t *testing.T) {
	c := newCluster(t, options{replicas: 1, connections: 2})
	first, second := c.connect("p1", ""), c.connect("p1", "")

	c.exec(first, "SET work_mem = '7MB'")

	for range 5 {
		assert.Equal(t, "7MB", queryValue[string](t, first, "SHOW work_mem"))
		assert.Equal(t, "4MB", queryValue[string](t, second, "SHOW work_mem"))
	}

	tx, err := first.Begin(testContext(t))
	require.NoError(t, err)
	_, err = tx.Exec(testContext(t), "SET work_mem = '9MB'")
	require.NoError(t, err)
	require.NoError(t, tx.Rollback(testContext(t)))
	assert.Equal(t, "7MB", queryValue[string](t, first, "SHOW work_mem"), "a rolled back SET has no effect")

	c.exec(first, "BEGIN; SET LOCAL work_mem = '8MB'; COMMIT")
	assert.Equal(t, "7MB", queryValue[string](t, first, "SHOW work_mem"), "SET LOCAL ends with its transaction")

	_, err = first.Exec(testContext(t), "SET nonsense = 1")
	require.Error(t, err)
	assert.Equal(t, "7MB", queryValue[string](t, first, "SHOW work_mem"))

	c.exec(first, "RESET work_mem")
	assert.Equal(t, "4MB", queryValue[string](t, first, "SHOW work_mem"))

	third := c.connect("p1", "&options=-c%20work_mem%3D3MB")
	assert.Equal(t, "3MB", queryValue[string](t, third, "SHOW work_mem"))
	c.exec(third, "SET application_name = 'changed'")
	assert.Equal(t, "changed", queryValue[string](t, third, "SHOW application_name"))
	assert.Equal(t, "changed", third.PgConn().ParameterStatus("application_name"))
}

// Guards against a session that loses state of its backend connection, such as advisory locks and temporary tables, and
// against other sessions that see it.
func TestPinnedSessions(t *testing.T) {
	c := newCluster(t, options{replicas: 1, connections: 3})
	first, second := c.connect("p1", ""), c.connect("p1", "")

	assert.True(t, queryValue[bool](t, first, "SELECT pg_try_advisory_lock(1)"))
	assert.False(t, queryValue[bool](t, second, "SELECT pg_try_advisory_lock(1)"))
	assert.EqualValues(t, 2, c.proxies["p1"].count("session_pinned"))

	c.exec(first, "CREATE TEMP TABLE mine (v int)")
	c.exec(first, "INSERT INTO mine VALUES (1)")
	assert.EqualValues(t, 1, queryValue[int64](t, first, "SELECT count(*) FROM mine"))
	assert.False(t, queryValue[bool](t, second, "SELECT pg_try_advisory_lock(1)"), "the lock is still held after later statements")

	process := queryValue[int](t, first, "SELECT pg_backend_pid()")
	assert.Equal(t, process, queryValue[int](t, first, "SELECT pg_backend_pid()"))
	require.NoError(t, first.Close(testContext(t)))

	eventually(t, "the lock is released with the session", func() bool {
		return queryValue[bool](t, second, "SELECT pg_try_advisory_lock(1)")
	})
}

// Guards against COPY that loses or duplicates rows, and against a session that is out of sync with its caller after a
// failed COPY.
func TestCopy(t *testing.T) {
	c := newCluster(t, options{replicas: 1})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key, v text)")

	const rows = 2000

	var in strings.Builder
	for i := range rows {
		fmt.Fprintf(&in, "%d\tvalue\n", i)
	}

	tag, err := conn.PgConn().CopyFrom(testContext(t), strings.NewReader(in.String()), "COPY t FROM STDIN")
	require.NoError(t, err)
	assert.EqualValues(t, rows, tag.RowsAffected())
	assert.EqualValues(t, rows, queryValue[int64](t, conn, "SELECT count(*) FROM t"))

	var out strings.Builder

	tag, err = conn.PgConn().CopyTo(testContext(t), &out, "COPY t TO STDOUT")
	require.NoError(t, err)
	assert.EqualValues(t, rows, tag.RowsAffected())
	assert.Equal(t, rows, strings.Count(out.String(), "\n"))

	failures := []struct {
		name string
		text string
	}{
		{"duplicate key", "1\tx\n"},
		{"wrong number of columns", "1\t2\t3\t4\n" + strings.Repeat("100000\tx\n", 20_000)},
	}

	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			_, err := conn.PgConn().CopyFrom(testContext(t), strings.NewReader(failure.text), "COPY t FROM STDIN")
			require.Error(t, err)
			assert.EqualValues(t, rows, queryValue[int64](t, conn, "SELECT count(*) FROM t"))
		})
	}
}

// Guards against answers of a pipeline that arrive out of order, and against a batch that runs on several connections.
func TestPipelines(t *testing.T) {
	c := newCluster(t, options{replicas: 1})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	batch := &pgx.Batch{}
	for i := range 500 {
		batch.Queue("INSERT INTO t VALUES ($1)", i)
		batch.Queue("SELECT count(*) FROM t")
	}

	results := conn.SendBatch(testContext(t), batch)

	for i := range 500 {
		_, err := results.Exec()
		require.NoError(t, err)

		var count int
		require.NoError(t, results.QueryRow().Scan(&count))
		require.Equal(t, i+1, count)
	}

	require.NoError(t, results.Close())

	pipeline := conn.PgConn().StartPipeline(testContext(t))
	pipeline.SendPrepare("p", "SELECT $1::int", nil)
	pipeline.SendFlushRequest()
	require.NoError(t, pipeline.Flush())

	got, err := pipeline.GetResults()
	require.NoError(t, err)
	assert.IsType(t, &pgconn.StatementDescription{}, got, "a flushed batch is answered before Sync")

	for i := range 3 {
		pipeline.SendQueryPrepared("p", [][]byte{[]byte(fmt.Sprint(i))}, nil, nil)
	}

	require.NoError(t, pipeline.Sync())

	for i := range 3 {
		got, err := pipeline.GetResults()
		require.NoError(t, err)

		reader, ok := got.(*pgconn.ResultReader)
		require.True(t, ok)

		read := reader.Read()
		require.NoError(t, read.Err)
		assert.Equal(t, fmt.Sprint(i), string(read.Rows[0][0]))
	}

	_, err = pipeline.GetResults()
	require.NoError(t, err)
	require.NoError(t, pipeline.Close())

	// An error in the middle of a batch ends this batch only.
	broken := &pgx.Batch{}
	broken.Queue("INSERT INTO t VALUES (1000)")
	broken.Queue("INSERT INTO t VALUES (1)")
	broken.Queue("INSERT INTO t VALUES (1001)")
	assert.Equal(t, "23505", stateOf(conn.SendBatch(testContext(t), broken).Close()))
	assert.EqualValues(t, 500, queryValue[int64](t, conn, "SELECT count(*) FROM t"))
}

// Guards against a deadlock on a large batch: the proxy writes it without reading, and the server waits for its answer
// to be read before it reads on.
func TestLargeBatch(t *testing.T) {
	c := newCluster(t, options{replicas: 1})
	conn := c.connect("p1", "")
	batch := &pgx.Batch{}
	text := strings.Repeat("x", 2000)

	for range 3000 {
		batch.Queue("SELECT $1::text", text)
	}

	results := conn.SendBatch(testContext(t), batch)

	for range 3000 {
		var got string
		require.NoError(t, results.QueryRow().Scan(&got))
		require.Equal(t, text, got)
	}

	require.NoError(t, results.Close())
}

// Guards against a statement that is cancelled with a wrong key, a cancel request without effect, and one that cancels
// a later statement on the same backend connection.
func TestCancel(t *testing.T) {
	c := newCluster(t, options{connections: 1, slots: 1, proxies: []string{"p1", "p2"}})

	for _, through := range []string{"p1", "p2"} {
		t.Run("through "+through, func(t *testing.T) {
			conn := c.connect("p1", "")
			started := make(chan struct{})
			done := make(chan error, 1)

			go func() {
				close(started)

				_, err := conn.Exec(testContext(t), "SELECT pg_sleep(20)")
				done <- err
			}()

			<-started
			eventually(t, "the statement runs", func() bool { return len(c.slots[0]) > 0 })

			wrong := append([]byte(nil), conn.PgConn().SecretKey()...)
			wrong[0]++
			c.proxies[through].Cancel(testContext(t), conn.PgConn().PID(), wrong)

			select {
			case err := <-done:
				t.Fatalf("a wrong key cancelled the statement: %v", err)
			case <-time.After(20 * time.Millisecond):
			}

			// The statement may not have reached the server yet, so the cancel request is repeated.
			require.Eventually(t, func() bool {
				c.proxies[through].Cancel(testContext(t), conn.PgConn().PID(), conn.PgConn().SecretKey())

				select {
				case err := <-done:
					done <- err

					return true
				default:
					return false
				}
			}, testTimeout, 20*time.Millisecond)
			assert.Equal(t, "57014", stateOf(<-done))

			// The only connection serves the next statement, which must not be cancelled.
			for range 20 {
				c.exec(c.connect("p1", ""), "SELECT 1")
			}
		})
	}

	assert.Positive(t, c.forwardCancelCalls.Load())
}

// Guards against a request or application that gets another name than its caller has set, because the proxy reads the constant
// otherwise than a server would, and against a value that is dropped.
func TestProxyParametersKeepTheirValues(t *testing.T) {
	c := newCluster(t, options{replicas: 1})
	conn := c.connect("p1", "")

	for _, parameter := range []string{"application_name", "almondgrade.request"} {
		for constant, want := range map[string]string{`E'a\\b\''`: `a\b'`, `'a\b'`: `a\b`, "Name": "name", "'a\nb'": "a\nb", "$$a'b$$": "a'b"} {
			c.exec(conn, "SET "+parameter+" = "+constant)
			assert.Equal(t, want, queryValue[string](t, conn, "SHOW "+parameter), "%s = %s", parameter, constant)
		}

		for _, constant := range []string{`U&'\0061'`, `E'\x61'`, "-5", "a, b", "B'1'"} {
			_, err := conn.Exec(testContext(t), "SET "+parameter+" = "+constant)
			assert.ErrorContains(t, err, "22023", "%s = %s", parameter, constant)
		}
	}
}
