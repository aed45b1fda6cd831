package proxy_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// connectNotices returns a connection and the notices that it receives.
func connectNotices(c *cluster, proxy string) (*pgx.Conn, *[]string) {
	c.t.Helper()

	config, err := pgx.ParseConfig(c.url(proxy, ""))
	require.NoError(c.t, err)

	var notices []string

	config.OnNotice = func(_ *pgconn.PgConn, notice *pgconn.Notice) { notices = append(notices, notice.Message) }

	conn, err := pgx.ConnectConfig(testContext(c.t), config)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close(testContext(c.t)) })

	return conn, &notices
}

// Guards against a named request that runs again when it is repeated, perhaps through another proxy, and against a
// repetition that is answered differently.
func TestNamedRequestRunsOnce(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	check := c.connect("p1", "")
	c.exec(check, "CREATE TABLE t (v int)")

	transaction := func(conn *pgx.Conn) string {
		tx, err := conn.Begin(testContext(t))
		require.NoError(t, err)
		tag, err := tx.Exec(testContext(t), "INSERT INTO t VALUES ($1), ($2)", 1, 2)
		require.NoError(t, err)
		_, err = tx.Exec(testContext(t), "UPDATE t SET v = v + 1")
		require.NoError(t, err)
		require.NoError(t, tx.Commit(testContext(t)))

		return tag.String()
	}
	single := func(sql string, arguments ...any) func(conn *pgx.Conn) string {
		return func(conn *pgx.Conn) string {
			tag, err := conn.Exec(testContext(t), sql, arguments...)
			require.NoError(t, err)

			return tag.String()
		}
	}

	tests := []struct {
		name string
		run  func(conn *pgx.Conn) string
		rows int64
	}{
		{"simple statement", single("INSERT INTO t VALUES (1)"), 1},
		{"extended statement", single("INSERT INTO t VALUES ($1)", 2), 2},
		{"transaction", transaction, 4},
		{"set in the same text", single("SET almondgrade.request = 'inline'; INSERT INTO t VALUES (5)"), 5},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var first string

			for i, through := range []string{"p1", "p2", "p1"} {
				conn, notices := connectNotices(c, through)
				c.exec(conn, "SET almondgrade.request = '"+test.name+"'")

				tag := test.run(conn)
				if i == 0 {
					first = tag
				}

				assert.Equal(t, first, tag)
				assert.Equal(t, test.rows, queryValue[int64](t, check, "SELECT count(*) FROM t"))

				if i > 0 {
					require.Len(t, *notices, 1)
					assert.Contains(t, (*notices)[0], "AG1101")
				}

				assert.Contains(t, queryValue[string](t, conn, "SHOW almondgrade.outcome"), "ran: ")
			}
		})
	}
}

// Guards against a failed named request that can't be repeated, and against one that runs while another transaction
// with its name is open.
func TestNamedRequestThatFailsOrStillRuns(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	first, second := c.connect("p1", ""), c.connect("p2", "")
	c.exec(first, "CREATE TABLE t (id int primary key)")
	c.exec(first, "INSERT INTO t VALUES (1)")

	c.exec(first, "SET almondgrade.request = 'a'")
	_, err := first.Exec(testContext(t), "INSERT INTO t VALUES (1)")
	require.Equal(t, "23505", stateOf(err))
	c.exec(first, "SET almondgrade.request = 'a'")
	c.exec(first, "INSERT INTO t VALUES (2)")

	c.exec(first, "SET almondgrade.request = 'b'")

	tx, err := first.Begin(testContext(t))
	require.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO t VALUES (3)")
	require.NoError(t, err)

	c.exec(second, "SET almondgrade.request = 'b'")
	_, err = second.Exec(testContext(t), "INSERT INTO t VALUES (3)")
	assert.Equal(t, "1102", codeOf(err), "%v", err)
	require.NoError(t, tx.Commit(testContext(t)))
	assert.EqualValues(t, 3, queryValue[int64](t, second, "SELECT count(*) FROM t"))
}

// Guards against a named request that runs after SHOW almondgrade.outcome has answered that it did not.
func TestOutcomeCancelsARequestThatDidNotRun(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	conn, other := c.connect("p1", ""), c.connect("p2", "")
	c.exec(conn, "CREATE TABLE t (id int)")

	_, err := conn.Exec(testContext(t), "SHOW almondgrade.outcome")
	require.Equal(t, "1508", codeOf(err))

	c.exec(conn, "SET almondgrade.request = 'late'")
	assert.Equal(t, "not run", queryValue[string](t, conn, "SHOW almondgrade.outcome"))
	assert.Equal(t, "not run", queryValue[string](t, conn, "SHOW almondgrade.outcome"))

	c.exec(other, "SET almondgrade.request = 'late'")
	_, err = other.Exec(testContext(t), "INSERT INTO t VALUES (1)")
	require.Error(t, err)
	assert.Zero(t, queryValue[int64](t, other, "SELECT count(*) FROM t"))
}

// Guards against an outcome that stays unknown after a commit that could not be confirmed at first.
func TestOutcomeAfterAnUnconfirmedCommit(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	conn, other := c.connect("p1", ""), c.connect("p2", "")
	c.exec(conn, "CREATE TABLE t (id int)")
	c.exec(conn, "SET almondgrade.request = 'r'")
	c.confirmFailure.Store(result.New(result.NotConfirmed, "no quorum"))

	_, err := conn.Exec(testContext(t), "INSERT INTO t VALUES (1)")
	require.Equal(t, "1402", codeOf(err))

	_, err = conn.Exec(testContext(t), "SHOW almondgrade.outcome")
	assert.Equal(t, "1402", codeOf(err), "the record itself is not confirmed")

	c.confirmFailure.Store(nil)
	c.exec(other, "SET almondgrade.request = 'r'")
	assert.Equal(t, "ran: INSERT 0 1", queryValue[string](t, other, "SHOW almondgrade.outcome"))
}

// Guards against a named request that is reported as unknown at its deadline, although the server answers that it has cancelled
// the statement.
func TestNamedRequestAwaitsTheAnswerToItsCancel(t *testing.T) {
	c := newCluster(t, options{replicas: 1, timing: func(timing *settings.Timing) {
		timing.Deadline = settings.Duration(time.Second)
	}})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	requests := []struct {
		name string
		sql  []string
	}{
		{"single", []string{"INSERT INTO t VALUES (1); SELECT pg_sleep(20)"}},
		{"transaction", []string{"BEGIN; INSERT INTO t VALUES (2)", "SELECT pg_sleep(20); COMMIT"}},
	}

	for _, request := range requests {
		t.Run(request.name, func(t *testing.T) {
			c.exec(conn, "SET almondgrade.request = '"+request.name+"'")

			last := len(request.sql) - 1
			for _, sql := range request.sql[:last] {
				c.exec(conn, sql)
			}

			_, err := conn.Exec(testContext(t), request.sql[last])
			assert.Equal(t, "57014", stateOf(err), "%v", err)
			c.exec(conn, "ROLLBACK")
			assert.Zero(t, queryValue[int64](t, conn, "SELECT count(*) FROM t"))
			assert.Equal(t, "not run", queryValue[string](t, conn, "SHOW almondgrade.outcome"))
		})
	}
}
