package standin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/internal/standin"
)

// Guards against errors with a wrong SQLSTATE, by which clients tell errors apart.
func TestSQLStates(t *testing.T) {
	t.Parallel()

	conn := connect(t, startMember(t, standin.Options{Primary: true}), "app")
	mustExec(t, conn, "CREATE TABLE t (id int PRIMARY KEY, v int NOT NULL CHECK (v > 0))")
	mustExec(t, conn, "INSERT INTO t VALUES (1, 1)")

	tests := []struct{ sql, state string }{
		{"SELEC 1", "42601"},
		{"SELECT FROM WHERE", "42601"},
		{"SELECT * FROM missing", "42P01"},
		{"SELECT missing FROM t", "42703"},
		{"SELECT missing(1)", "42883"},
		{"CREATE TABLE t (id int)", "42P07"},
		{"INSERT INTO t VALUES (1, 1)", "23505"},
		{"INSERT INTO t VALUES (2, NULL)", "23502"},
		{"INSERT INTO t VALUES (2, 0)", "23514"},
		{"SHOW missing", "42704"},
		{"SET missing = 1", "42704"},
		{"SELECT pg_promote()", "55000"},
		{"SELECT pg_last_wal_replay_lsn() FROM nowhere", "42P01"},
		{"SAVEPOINT a", "25P01"},
		{"SET statement_timeout = 20; SELECT pg_sleep(600)", "57014"},
	}

	for _, test := range tests {
		_, err := conn.Exec(testContext(t), test.sql, pgx.QueryExecModeSimpleProtocol)
		assert.Equal(t, test.state, sqlState(err), "simple: %s: %v", test.sql, err)

		if !strings.Contains(test.sql, ";") {
			_, err = conn.Exec(testContext(t), test.sql)
			assert.Equal(t, test.state, sqlState(err), "extended: %s: %v", test.sql, err)
		}
	}

	assert.Equal(t, int64(1), queryNumber(t, conn, "SELECT count(*) FROM t"))
}

// Guards against statements of a failed or read-only transaction that take effect, and against a wrong
// transaction status, by which the proxy decides whether it may reuse the connection.
func TestTransactionStatus(t *testing.T) {
	t.Parallel()

	conn := connect(t, startMember(t, standin.Options{Primary: true}), "app")
	mustExec(t, conn, "CREATE TABLE t (id int PRIMARY KEY)")

	steps := []struct {
		sql, state string
		status     byte
	}{
		{"BEGIN", "", 'T'},
		{"INSERT INTO t VALUES (1)", "", 'T'},
		{"INSERT INTO t VALUES (1)", "23505", 'E'},
		{"SELECT 1", "25P02", 'E'},
		{"COMMIT", "", 'I'},
		{"BEGIN READ ONLY", "", 'T'},
		{"INSERT INTO t VALUES (2)", "25006", 'E'},
		{"ROLLBACK", "", 'I'},
		{"BEGIN", "", 'T'},
		{"INSERT INTO t VALUES (3)", "", 'T'},
		{"SAVEPOINT s", "", 'T'},
		{"INSERT INTO t VALUES (4)", "", 'T'},
		{"INSERT INTO t VALUES (3)", "23505", 'E'},
		{"ROLLBACK TO SAVEPOINT s", "", 'T'},
		{"COMMIT", "", 'I'},
		{"INSERT INTO t VALUES (5); INSERT INTO t VALUES (3)", "23505", 'I'},
		{"BEGIN; INSERT INTO t VALUES (6); COMMIT; INSERT INTO t VALUES (3)", "23505", 'I'},
		{"SET default_transaction_read_only = on", "", 'I'},
		{"INSERT INTO t VALUES (7)", "25006", 'I'},
		{"SET default_transaction_read_only = off", "", 'I'},
		{"START TRANSACTION ISOLATION LEVEL REPEATABLE READ", "", 'T'},
		{"SELECT count(*) FROM t", "", 'T'},
		{"INSERT INTO t VALUES (8)", "", 'T'},
		{"END", "", 'I'},
	}

	for _, step := range steps {
		_, err := conn.PgConn().Exec(testContext(t), step.sql).ReadAll()
		assert.Equal(t, step.state, sqlState(err), step.sql)
		assert.Equal(t, string(step.status), string(conn.PgConn().TxStatus()), step.sql)
	}

	rows, err := conn.Query(testContext(t), "SELECT id FROM t ORDER BY id")
	require.NoError(t, err)

	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	require.NoError(t, err)
	assert.Equal(t, []int64{3, 6, 8}, ids)
}

// Guards against a batch in one implicit transaction that is applied partially.
func TestPipelineIsOneTransaction(t *testing.T) {
	t.Parallel()

	conn := connect(t, startMember(t, standin.Options{Primary: true}), "app")
	mustExec(t, conn, "CREATE TABLE t (id int PRIMARY KEY)")

	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO t VALUES ($1)", 1)
	batch.Queue("INSERT INTO t VALUES ($1)", 2)
	batch.Queue("INSERT INTO t VALUES ($1)", 1)
	batch.Queue("INSERT INTO t VALUES ($1)", 3)

	err := conn.SendBatch(testContext(t), batch).Close()
	assert.Equal(t, "23505", sqlState(err))
	assert.Equal(t, int64(0), queryNumber(t, conn, "SELECT count(*) FROM t"))
}

// Guards against values that change in a round trip through a driver, in the text or the binary format.
func TestValuesRoundTrip(t *testing.T) {
	t.Parallel()

	conn := connect(t, startMember(t, standin.Options{Primary: true}), "app")
	mustExec(t, conn, `CREATE TABLE t (i bigint, f float8, s text, b bytea, o boolean, at timestamptz, u uuid, j jsonb,
		d date, n numeric(10,2), missing text)`)

	at := time.Date(2026, 3, 4, 5, 6, 7, 890123000, time.UTC)

	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		mustExec(t, conn, "DELETE FROM t")
		mustExec(t, conn, "INSERT INTO t VALUES ($1,$2,$3,$4,$5::bool,$6,$7,$8,$9,$10,$11)", mode, int64(1)<<53+1, 2.5,
			"a'b\\c\n$1 é", []byte{0, 1, 255}, true, at, "0f0e0d0c-0b0a-0908-0706-050403020100", `{"a": 1}`, "2026-03-04", "12.34",
			nil)

		var (
			i              int64
			f              float64
			s, u, j, n     string
			b              []byte
			o              bool
			returned, date time.Time
			missing        *string
		)

		require.NoError(t, conn.QueryRow(testContext(t), "SELECT i, f, s, b, o, at, u::text, j, d, n::text, missing FROM t WHERE i = $1",
			mode, int64(1)<<53+1).Scan(&i, &f, &s, &b, &o, &returned, &u, &j, &date, &n, &missing), mode)
		assert.Equal(t, int64(1)<<53+1, i)
		assert.Equal(t, 2.5, f)
		assert.Equal(t, "a'b\\c\n$1 é", s)
		assert.Equal(t, []byte{0, 1, 255}, b)
		assert.True(t, o)
		assert.True(t, at.Equal(returned), "%v %v", mode, returned)
		assert.Equal(t, "0f0e0d0c-0b0a-0908-0706-050403020100", u)
		assert.JSONEq(t, `{"a": 1}`, j)
		assert.Equal(t, "2026-03-04", date.Format(time.DateOnly))
		assert.Equal(t, "12.34", n)
		assert.Nil(t, missing)
	}
}

// Guards against PostgreSQL syntax that is not rewritten for SQLite, or rewritten wrongly.
func TestRewriting(t *testing.T) {
	t.Parallel()

	conn := connect(t, startMember(t, standin.Options{Primary: true}), "app")
	mustExec(t, conn, "CREATE TABLE public.t (id serial PRIMARY KEY, name text, at timestamptz DEFAULT now())")
	mustExec(t, conn, "INSERT INTO t (name) VALUES ('a%b'), ('axb')")

	tests := []struct{ sql, want string }{
		{"SELECT '12'::int + 1", "13"},
		{"SELECT (1 + 2)::text || 'x'", "3x"},
		{"SELECT length('a)b')::int8", "3"},
		{"SELECT t.id::text FROM t WHERE id = 2", "2"},
		{"SELECT 'it''s'::varchar(20)", "it's"},
		{"SELECT 't'::boolean", "t"},
		{"SELECT $$a'b$$", "a'b"},
		{`SELECT E'a\nb'`, "a\nb"},
		{"SELECT 1 <= 2 AND 2 >= 1 AND 1 <> 2 AND 1 != 2", "1"},
		{"SELECT name FROM t WHERE name LIKE 'a\\%b'", "a%b"},
		{"SELECT count(*) FROM t WHERE name LIKE 'A%'", "0"},
		{"SELECT /* a comment; with $1 */ 1 -- and another", "1"},
		{"SELECT extract(epoch FROM now()) > 1700000000", "1"},
		{"SELECT id FROM t WHERE name = 'axb' FOR UPDATE", "2"},
		{"SELECT sum(id) FROM (SELECT id FROM t) AS s", "3"},
		{"SELECT count(*) FROM t WHERE at > '2020-01-01'", "2"},
		{"SELECT count(*) FROM pg_stat_activity a WHERE a.application_name = 'app'", "1"},
		{"WITH x AS (SELECT 7 AS v) SELECT v FROM x", "7"},
		{"UPDATE t SET name = name WHERE id = 2 RETURNING id", "2"},
		{"WITH x AS (SELECT 2 AS v) DELETE FROM t WHERE id IN (SELECT v FROM x) RETURNING id", "2"},
		{"SELECT current_database() || current_user", "registry1app"},
		{"SELECT current_setting('application_name')", "app"},
		{"SELECT set_config('app.x', 'y', false)", "y"},
		{"SHOW app.x", "y"},
		{"SELECT pg_wal_lsn_diff('1/0', '0/FFFFFFFF')", "1"},
		{"SELECT pg_is_in_recovery()", "f"},
		{"SELECT 1e3 + .5", "1000.5"},
	}

	for _, test := range tests {
		results, err := conn.PgConn().Exec(testContext(t), test.sql).ReadAll()
		if assert.NoError(t, err, test.sql) && assert.Len(t, results[0].Rows, 1, test.sql) {
			assert.Equal(t, test.want, string(results[0].Rows[0][0]), test.sql)
		}

		read := conn.PgConn().ExecParams(testContext(t), test.sql, nil, nil, nil, nil).Read()
		assert.NoError(t, read.Err, "extended: %s", test.sql)
	}
}

// Guards against results that are collected in memory before they are sent: the result of this query is infinite.
func TestResultsAreStreamed(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Primary: true})
	conn := connect(t, m, "app")

	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()

	rows, err := conn.Query(ctx, "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c) SELECT x FROM c")
	require.NoError(t, err)

	var x int64
	for range 20_000 {
		require.True(t, rows.Next())
		require.NoError(t, rows.Scan(&x))
	}

	assert.Equal(t, int64(20_000), x)
	require.NoError(t, conn.PgConn().CancelRequest(ctx))

	for rows.Next() {
		require.NoError(t, ctx.Err())
	}

	assert.Equal(t, "57014", sqlState(rows.Err()))
	assert.Equal(t, int64(1), queryNumber(t, conn, "SELECT 1"))
}

// Guards against a cancel request that does nothing, or that ends the session or a later statement.
func TestCancelEndsOnlyTheStatement(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Primary: true})
	conn, other := connect(t, m, "app"), connect(t, m, "other")
	mustExec(t, conn, "CREATE TABLE t (v int)")

	for _, sql := range []string{
		"SELECT pg_sleep(600)",
		"SELECT /* cost 10m */ 1",
		"WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c) SELECT count(*) FROM c",
	} {
		failed := make(chan error, 1)

		go func() {
			_, err := conn.PgConn().Exec(context.Background(), sql).ReadAll()
			failed <- err
		}()

		eventually(t, "the statement to run", func() bool {
			return queryNumber(t, other, "SELECT count(*) FROM pg_stat_activity WHERE application_name = 'app' AND state = 'active' AND query = $1",
				sql) == 1
		})
		require.NoError(t, conn.PgConn().CancelRequest(testContext(t)))
		assert.Equal(t, "57014", sqlState(<-failed), sql)

		// A cancel request that arrives too late does nothing.
		require.NoError(t, conn.PgConn().CancelRequest(testContext(t)))
		mustExec(t, conn, "INSERT INTO t VALUES (1)")
	}

	assert.Equal(t, int64(3), queryNumber(t, conn, "SELECT count(*) FROM t"))
}

// Guards against more sessions than the limit, and against ended sessions that still count towards it.
func TestConnectionLimitAndTerminate(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Primary: true, Connections: 3})
	a := openAdmin(t, m)
	first, second := connect(t, m, "ag/p1"), connect(t, m, "ag/p2")

	_, err := pgx.Connect(testContext(t), connString(m, "ag/p3"))
	assert.Equal(t, "53300", sqlState(err))

	counts, err := a.Connections(testContext(t))
	require.NoError(t, err)
	assert.Equal(t, map[string]int{"ag/test": 1, "ag/p1": 1, "ag/p2": 1}, counts)

	require.NoError(t, a.Terminate(testContext(t), "ag/p1"))

	_, err = first.Exec(testContext(t), "SELECT 1")
	require.Error(t, err)
	assert.Contains(t, []string{"57P01", ""}, sqlState(err)) // The driver may see the closed socket first.
	mustExec(t, second, "SELECT 1")
	eventually(t, "room for a connection", func() bool {
		conn, err := pgx.Connect(testContext(t), connString(m, "ag/p3"))
		if err == nil {
			defer conn.Close(testContext(t))
		}

		return err == nil
	})

	m.SetLimits(0, 1)

	_, err = pgx.Connect(testContext(t), connString(m, "ag/p4"))
	assert.Equal(t, "53300", sqlState(err))
}

// Guards against a deadlock in which waiters for a lock occupy the slots that the holder of the lock needs.
func TestLockWaitersReleaseTheirSlots(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Primary: true, Slots: 1})
	holder := connect(t, m, "holder")
	mustExec(t, holder, "CREATE TABLE t (v int)")

	for _, test := range []struct{ lock, wait, release string }{
		{"BEGIN; INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (2)", "COMMIT"},
		{"SELECT pg_advisory_lock(7)", "SELECT pg_advisory_lock(7)", "SELECT pg_advisory_unlock(7)"},
		{"BEGIN; SELECT pg_advisory_xact_lock(8)", "SELECT pg_advisory_lock(8)", "COMMIT"},
	} {
		_, err := holder.PgConn().Exec(testContext(t), test.lock).ReadAll()
		require.NoError(t, err)

		done := make(chan error, 3)

		for i := range 3 {
			waiter := connect(t, m, fmt.Sprint("waiter", i))

			go func() {
				_, err := waiter.Exec(context.Background(), test.wait)
				done <- errors.Join(err, waiter.Close(context.Background()))
			}()
		}

		eventually(t, "waiters", func() bool {
			return queryNumber(t, holder, "SELECT count(*) FROM pg_stat_activity WHERE application_name LIKE 'waiter%' AND state = 'active'") == 3
		})
		_, err = holder.PgConn().Exec(testContext(t), test.release).ReadAll()
		require.NoError(t, err)

		for range 3 {
			require.NoError(t, <-done)
		}
	}

	assert.Equal(t, int64(4), queryNumber(t, holder, "SELECT count(*) FROM t"))
}

// Guards against session settings that survive a reset or a rollback.
func TestSessionSettings(t *testing.T) {
	t.Parallel()

	conn := connect(t, startMember(t, standin.Options{Primary: true}), "app")

	steps := []struct{ sql, show, want string }{
		{"SET TIME ZONE 'Africa/Dakar'", "TimeZone", "Africa/Dakar"},
		{"SET application_name TO 'other'", "application_name", "other"},
		{"RESET application_name", "application_name", "app"},
		{"BEGIN; SET app.user = 'u1'; ROLLBACK", "TimeZone", "Africa/Dakar"},
		{"BEGIN; SET LOCAL app.user = 'u2'; COMMIT; SET app.user = 'u0'", "app.user", "u0"},
		{"BEGIN; SET LOCAL app.user = 'u3'; COMMIT", "app.user", "u0"},
		{"BEGIN; SET app.user = 'u4'; ROLLBACK", "app.user", "u0"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", "transaction_read_only", "on"},
		{"SET search_path = a, \"B\"", "search_path", "a, B"},
		{"CREATE TEMP TABLE mine (v int); PREPARE_IS_NOT_USED", "TimeZone", "Africa/Dakar"},
		{"DISCARD ALL", "TimeZone", "UTC"},
		{"SELECT 1", "transaction_read_only", "off"},
	}

	for _, step := range steps {
		_, _ = conn.PgConn().Exec(testContext(t), step.sql).ReadAll()

		var got string

		require.NoError(t, conn.QueryRow(testContext(t), "SHOW "+step.show, pgx.QueryExecModeSimpleProtocol).Scan(&got), step.sql)
		assert.Equal(t, step.want, got, step.sql)
	}

	assert.Equal(t, "app", conn.PgConn().ParameterStatus("application_name"))

	mustExec(t, conn, "CREATE TEMP TABLE mine (v int)")
	mustExec(t, conn, "INSERT INTO mine VALUES (1)")
	mustExec(t, conn, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)

	_, err := conn.Exec(testContext(t), "SELECT * FROM mine", pgx.QueryExecModeSimpleProtocol)
	assert.Equal(t, "42P01", sqlState(err))
}

// Guards against rows that COPY loses, duplicates or does not replicate.
func TestCopy(t *testing.T) {
	t.Parallel()

	members := startGroup(t, 1)
	conn := connect(t, members[0], "app")
	mustExec(t, conn, "CREATE TABLE t (id int, name text)")

	lines := strings.Repeat("1\ta\\tb\n2\t\\N\n", 500)
	tag, err := conn.PgConn().CopyFrom(testContext(t), strings.NewReader(lines), "COPY t (id, name) FROM STDIN")
	require.NoError(t, err)
	assert.Equal(t, int64(1000), tag.RowsAffected())

	_, err = conn.PgConn().CopyFrom(testContext(t), strings.NewReader("1\ta\n2\n"), "COPY t FROM STDIN")
	assert.Equal(t, "22P04", sqlState(err))
	waitReplicated(t, openAdmin(t, members[0]), openAdmin(t, members[1]))

	var out strings.Builder

	_, err = connect(t, members[1], "app").PgConn().CopyTo(testContext(t), &out, "COPY (SELECT id, name FROM t) TO STDOUT")
	require.NoError(t, err)
	assert.Equal(t, lines, out.String())
}

// Guards against a portal that skips or repeats rows when it is fetched in parts, and against messages after an error
// that are not discarded up to Sync.
func TestPortalsAndErrorRecovery(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Primary: true})

	conn, err := net.Dial("tcp", m.Addr().String())
	require.NoError(t, err)

	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))

	// The server refuses encryption with one byte, after which the client continues without it.
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	require.NoError(t, err)
	_, err = conn.Write(request)
	require.NoError(t, err)

	answer := make([]byte, 1)
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	assert.Equal(t, "N", string(answer))

	front := pgproto3.NewFrontend(conn, conn)
	front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app"}})
	require.NoError(t, front.Flush())
	readUntilReady(t, front)

	front.SendParse(&pgproto3.Parse{Name: "s", Query: "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c) SELECT x FROM c LIMIT $1"})
	front.SendBind(&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s", Parameters: [][]byte{[]byte("5")}})
	front.SendDescribe(&pgproto3.Describe{ObjectType: 'P', Name: "p"})

	for range 3 {
		front.SendExecute(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	}

	front.SendSync(&pgproto3.Sync{})
	require.NoError(t, front.Flush())
	assert.Equal(t, "1 2 z T x:20 D1 D2 s D3 D4 s D5 CSELECT 5 ZI", "1 2 z "+strings.Join(readUntilReady(t, front)[2:], " "))

	front.SendBind(&pgproto3.Bind{PreparedStatement: "missing"})
	front.SendExecute(&pgproto3.Execute{})
	front.SendParse(&pgproto3.Parse{Query: "SELECT 2"})
	front.SendSync(&pgproto3.Sync{})
	front.SendParse(&pgproto3.Parse{Query: "SELECT 3"})
	front.SendBind(&pgproto3.Bind{})
	front.SendExecute(&pgproto3.Execute{})
	front.SendClose(&pgproto3.Close{ObjectType: 'S', Name: "s"})
	front.SendSync(&pgproto3.Sync{})
	require.NoError(t, front.Flush())
	assert.Equal(t, []string{"E26000", "ZI"}, readUntilReady(t, front))
	assert.Equal(t, []string{"1", "2", "D3", "CSELECT 1", "3", "ZI"}, readUntilReady(t, front))

	front.SendQuery(&pgproto3.Query{String: " ; "})
	require.NoError(t, front.Flush())
	assert.Equal(t, []string{"I", "ZI"}, readUntilReady(t, front))
}

// readUntilReady returns the messages up to ReadyForQuery, each abbreviated as below.
func readUntilReady(t *testing.T, front *pgproto3.Frontend) []string {
	t.Helper()

	var seen []string

	for {
		message, err := front.Receive()
		require.NoError(t, err)

		switch message := message.(type) {
		case *pgproto3.ReadyForQuery:
			return append(seen, "Z"+string(message.TxStatus))
		case *pgproto3.ErrorResponse:
			seen = append(seen, "E"+message.Code)
		case *pgproto3.DataRow:
			seen = append(seen, "D"+string(message.Values[0]))
		case *pgproto3.RowDescription:
			seen = append(seen, "T", fmt.Sprintf("%s:%d", message.Fields[0].Name, message.Fields[0].DataTypeOID))
		case *pgproto3.CommandComplete:
			seen = append(seen, "C"+string(message.CommandTag))
		case *pgproto3.ParseComplete:
			seen = append(seen, "1")
		case *pgproto3.BindComplete:
			seen = append(seen, "2")
		case *pgproto3.CloseComplete:
			seen = append(seen, "3")
		case *pgproto3.PortalSuspended:
			seen = append(seen, "s")
		case *pgproto3.EmptyQueryResponse:
			seen = append(seen, "I")
		}
	}
}
