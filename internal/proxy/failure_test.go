package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// Guards against a lost backend connection that is reported as success or as not run, against a write that is sent
// twice, and against a read that fails although another server could serve it. The scripted servers close the
// connection before, or in the middle of, their answer.
func TestLostBackendConnections(t *testing.T) {
	closeConn := func(*pgproto3.Backend, string) bool { return false }
	answer := func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)
		sendRow(to, "good")

		return sendComplete(to, "SELECT 1")
	}
	closeInAnswer := func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)
		sendRow(to, strings.Repeat("x", 100_000))

		return false
	}

	tests := []struct {
		name             string
		primary, replica func(to *pgproto3.Backend, sql string) bool
		sql              string
		code             string
		primaryQueries   int
		retries          int64
	}{
		{"write", closeConn, answer, "INSERT INTO t VALUES (1)", "1401", 1, 0},
		{"read on a replica", answer, closeConn, "SELECT v FROM t", "", 1, 1},
		{"read that was answered in part", answer, closeInAnswer, "SELECT v FROM t", "1309", 0, 0},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			primary, replica := newScriptedServer(t, test.primary), newScriptedServer(t, test.replica)
			c := newCluster(t, options{scripts: []*scriptedServer{primary, replica}})
			conn := c.connect("p1", "")

			_, err := conn.PgConn().Exec(testContext(t), test.sql).ReadAll()
			if test.code == "" {
				require.NoError(t, err)
			} else {
				require.Equal(t, test.code, codeOf(err), "%v", err)
			}

			assert.Equal(t, slices.Repeat([]string{test.sql}, test.primaryQueries), append([]string{}, primary.callerQueries()...))
			assert.Equal(t, test.retries, c.proxies["p1"].count("retry_read_elsewhere"))
			require.NoError(t, conn.Ping(testContext(t)), "the session goes on")
		})
	}
}

// Guards against an error without a result code, from which the caller can't tell whether its request ran, when the
// connection is lost by a statement that the proxy sends before the request.
func TestLostSetupStatementsHaveAResultCode(t *testing.T) {
	tests := []struct {
		name       string
		statements []string
		// lost begins the statement that closes the connection.
		lost string
	}{
		{"name of a request", []string{"SET almondgrade.request = 'a'", "INSERT INTO t VALUES (1)"}, "BEGIN"},
		{"record of a named transaction", []string{"SET almondgrade.request = 'a'", "BEGIN", "INSERT INTO t VALUES (1)", "COMMIT"}, "UPDATE"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
				if strings.HasPrefix(sql, test.lost) {
					return false
				}

				to.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
				to.Send(&pgproto3.ReadyForQuery{TxStatus: 'T'})

				return true
			})
			conn := newCluster(t, options{scripts: []*scriptedServer{server}}).connect("p1", "").PgConn()

			var err error

			for _, sql := range test.statements {
				require.NoError(t, err)

				_, err = conn.Exec(testContext(t), sql).ReadAll()
			}

			assert.Equal(t, "1309", codeOf(err), "%v", err)
		})
	}
}

// Guards against a read that writes through a function and is refused, or whose answer the caller gets twice. The
// replica refuses it as read-only, and the proxy runs it on the primary.
func TestReadThatWritesIsRunAsAWrite(t *testing.T) {
	var primaryQueries atomic.Int64

	replica := newScriptedServer(t, func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)

		return sendError(to, "25006")
	})
	primary := newScriptedServer(t, func(to *pgproto3.Backend, _ string) bool {
		primaryQueries.Add(1)
		sendRowDescription(to)
		sendRow(to, "written")

		return sendComplete(to, "SELECT 1")
	})
	c := newCluster(t, options{scripts: []*scriptedServer{primary, replica}})
	conn := c.connect("p1", "")

	results, err := conn.PgConn().Exec(testContext(t), "SELECT f()").ReadAll()
	require.NoError(t, err)
	require.Len(t, results, 1)
	require.Len(t, results[0].Rows, 1)
	assert.Equal(t, "written", string(results[0].Rows[0][0]))
	assert.EqualValues(t, 1, primaryQueries.Load())
	assert.EqualValues(t, 1, c.confirmCalls.Load(), "what it wrote is confirmed")
	assert.EqualValues(t, 1, c.proxies["p1"].count("retry_read_as_write"))
}

// Guards against a commit that is acknowledged although its confirmation failed.
func TestUnconfirmedWrites(t *testing.T) {
	tests := []struct {
		failure *result.Error
		code    string
	}{
		{result.New(result.NotConfirmed, "no quorum"), "1402"},
		{result.New(result.PrimaryReplaced, "term 2"), "1403"},
		{result.New(result.NotCoordinator, "moved"), "1402"},
	}

	c := newCluster(t, options{replicas: 1})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	for i, test := range tests {
		t.Run(test.code, func(t *testing.T) {
			c.confirmFailure.Store(test.failure)

			for n, sql := range []string{"INSERT INTO t VALUES (%d)", "INSERT INTO t VALUES (%d) RETURNING id", "BEGIN; INSERT INTO t VALUES (%d); COMMIT"} {
				_, err := conn.Exec(testContext(t), fmt.Sprintf(sql, i*10+n))
				assert.Equal(t, test.code, codeOf(err), sql)
			}

			_, err := conn.Exec(testContext(t), "INSERT INTO t VALUES ($1)", i*10+5)
			assert.Equal(t, test.code, codeOf(err), "extended protocol")

			c.exec(conn, "BEGIN; ROLLBACK")
			c.exec(conn, "SELECT 1")
			c.confirmFailure.Store(nil)
			c.exec(conn, fmt.Sprintf("INSERT INTO t VALUES (%d)", i*10+6))
		})
	}
}

// Guards against refusals without a result code, and against requests that run although they were refused.
func TestRefusals(t *testing.T) {
	c := newCluster(t, options{replicas: 1, callerLimit: 2, timing: func(timing *settings.Timing) {
		timing.Deadline = settings.Duration(300 * time.Millisecond)
		timing.MessageLimitBytes = 1 << 20
	}})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	tests := []struct {
		name    string
		setup   func()
		restore func()
		sql     string
		code    string
	}{
		{"unconfirmed", func() { c.configurationUnconfirmed.Store(true) }, func() { c.configurationUnconfirmed.Store(false) }, "INSERT INTO t VALUES (1)", "1301"},
		{"no primary", func() {
			c.changeView(func(view *registry.View) {
				group := view.Groups[groupName]
				group.Primary = ""
				view.Groups[groupName] = group
			})
		}, func() {
			c.changeView(func(view *registry.View) {
				group := view.Groups[groupName]
				group.Primary = memberName(0)
				view.Groups[groupName] = group
			})
		}, "INSERT INTO t VALUES (1)", "1302"},
		{"leaving primary", func() { c.setPrimaryLeaving(true) }, func() { c.setPrimaryLeaving(false) }, "INSERT INTO t VALUES (1)", "1302"},
		{"no slot", func() { c.takeAllPermits(c.slots[0]) }, func() { c.releaseAllPermits(c.slots[0]) }, "INSERT INTO t VALUES (1)", "1304"},
		{"damaged token", nil, nil, "SET almondgrade.token = 'AAAAAAAA'", "1204"},
		{"proxy statement after another one", nil, nil, "INSERT INTO t VALUES (1); SHOW almondgrade.token", "1206"},
		{"non-standard strings", nil, nil, "SET standard_conforming_strings = off", "1206"},
		{"non-standard strings, quoted name", nil, nil, `SET "Standard_Conforming_Strings" TO 'off'`, "1206"},
		{"non-standard strings by a function", nil, nil, "SELECT set_config('Standard_Conforming_Strings', 'off', false)", "1206"},
		{"encoding with backslashes in characters", nil, nil, "SET NAMES 'Shift_JIS'", "1206"},
		{"encoding with backslashes in characters by a function", nil, nil, "SELECT pg_catalog.set_config('client_encoding', 'gbk', true)", "1206"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.setup != nil {
				test.setup()
			}

			_, err := conn.Exec(testContext(t), test.sql)
			if test.restore != nil {
				test.restore()
			}

			assert.Equal(t, test.code, codeOf(err), "%v", err)
			assert.Zero(t, queryValue[int64](t, conn, "SELECT count(*) FROM t"))
		})
	}

	logins := []struct {
		name string
		url  string
		code string
	}{
		{"unknown pool", strings.Replace(c.url("p1", ""), "/app?", "/none?", 1), "1202"},
		{"pool of several groups", strings.Replace(c.url("p1", ""), "/app?", "/two?", 1), "1202"},
		{"unknown user", strings.Replace(c.url("p1", ""), "//app@", "//nobody:x@", 1), "1203"},
		{"replication", c.url("p1", "&replication=database"), "1206"},
		{"token", c.url("p1", "&almondgrade.token=AAAAAAAA"), "1204"},
	}

	for _, login := range logins {
		t.Run(login.name, func(t *testing.T) {
			err := connectError(t, login.url)
			assert.Equal(t, login.code, codeOf(err), "%v", err)
		})
	}

	c.connect("p1", "")
	assert.Equal(t, "1307", codeOf(connectError(t, c.url("p1", ""))))

	_, err := conn.Exec(testContext(t), "SELECT '"+strings.Repeat("x", 2<<20)+"'")
	assert.Equal(t, "1205", codeOf(err))
}

// Guards against logins with settings for which the proxy splits texts otherwise than servers do.
func TestLoginsThatChangeHowTextsAreReadAreRefused(t *testing.T) {
	c := newCluster(t, options{replicas: 1})

	for _, setting := range []string{
		"&standard_conforming_strings=off", "&options=-c%20Standard-Conforming-Strings%3Doff", "&client_encoding=BIG5",
	} {
		err := connectError(t, c.url("p1", setting))
		assert.Equal(t, "1206", codeOf(err), "%s: %v", setting, err)
	}

	c.connect("p1", "&standard_conforming_strings=on&client_encoding=UTF8")
}

// Guards against a caller that is told of a user request when the proxy has cancelled its statement at the deadline.
func TestCancelAtTheDeadlineIsNoUserRequest(t *testing.T) {
	c := newCluster(t, options{replicas: 1, timing: func(timing *settings.Timing) {
		timing.Deadline = settings.Duration(time.Second)
	}})
	check := c.connect("p1", "")
	c.exec(check, "CREATE TABLE t (id int primary key)")

	tests := []struct {
		name  string
		setup []string
		sql   string
		args  []any
	}{
		{"write", nil, "INSERT INTO t VALUES (1); SELECT pg_sleep(20)", nil},
		{"batch", nil, "SELECT pg_sleep($1)", []any{20}},
		{"transaction", []string{"BEGIN", "INSERT INTO t VALUES (2)"}, "SELECT pg_sleep(20)", nil},
		{"named request", []string{"SET almondgrade.request = 'a'"}, "INSERT INTO t VALUES (3); SELECT pg_sleep(20)", nil},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := c.connect("p1", "")
			for _, sql := range test.setup {
				c.exec(conn, sql)
			}

			_, err := conn.Exec(testContext(t), test.sql, test.args...)

			var failure *pgconn.PgError

			require.ErrorAs(t, err, &failure)
			assert.Equal(t, "57014", failure.Code)
			assert.Equal(t, "canceling statement due to statement timeout", failure.Message)
			c.exec(conn, "ROLLBACK")
			assert.Zero(t, queryValue[int64](t, check, "SELECT count(*) FROM t"), "the statement was rolled back")
		})
	}
}

// Guards against a caller that is refused because of its own former connection, although it has been told that the former
// session has ended. The former connection stays open.
func TestEndedSessionLeavesTheCallerLimit(t *testing.T) {
	const callerLimit = 1

	tests := []struct {
		name       string
		parameters map[string]string
		message    string
		want       string
	}{
		{"login with a damaged token", map[string]string{"almondgrade.token": "AAAAAAAA"}, "", "AG1204"},
		{"message of an unknown kind", nil, "!\x00\x00\x00\x04", "AG1201"},
		{"message that is too long", nil, "Q\x7f\xff\xff\xff", "AG1205"},
		{"end by the caller", nil, "X\x00\x00\x00\x04", ""},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, options{callerLimit: callerLimit})

			former, err := net.Dial("tcp", c.proxies["p1"].address)
			require.NoError(t, err)

			defer func() { _ = former.Close() }()

			startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
				"user": "app", "database": "app",
			}}
			for name, value := range test.parameters {
				startup.Parameters[name] = value
			}

			encoded, err := startup.Encode(nil)
			require.NoError(t, err)
			_, err = former.Write(append(encoded, test.message...))
			require.NoError(t, err)

			told := ""

			for messages := pgproto3.NewFrontend(former, former); told == ""; {
				message, err := messages.Receive()
				if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
					break
				}

				require.NoError(t, err)

				if failure, failed := message.(*pgproto3.ErrorResponse); failed {
					told, _, _ = strings.Cut(failure.Message, ":")
				}
			}

			assert.Equal(t, test.want, told)
			c.exec(c.connect("p1", ""), "SELECT 1")
			assert.Equal(t, "1307", codeOf(connectError(t, c.url("p1", ""))), "the limit still counts the callers that are left")
		})
	}
}

// Guards against malformed messages of one caller that stop the proxy or disturb other callers.
func TestBrokenCallers(t *testing.T) {
	c := newCluster(t, options{replicas: 1})
	conn := c.connect("p1", "")

	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "app", "database": "app",
	}}).Encode(nil)
	require.NoError(t, err)

	for name, after := range map[string]string{
		"oversized length": "Q\x7f\xff\xff\xffx", "negative length": "Q\xff\xff\xff\xff", "short length": "Q\x00\x00\x00\x01",
		"unknown kind": "!\x00\x00\x00\x04", "truncated": "Q\x00\x00\x00\x10SEL", "no terminator": "Q\x00\x00\x00\x08SELE",
		"empty bind": "B\x00\x00\x00\x04S\x00\x00\x00\x04", "empty describe": "D\x00\x00\x00\x04S\x00\x00\x00\x04",
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Dial("tcp", c.proxies["p1"].address)
			require.NoError(t, err)

			defer func() { _ = raw.Close() }()

			_, err = raw.Write(append(append([]byte(nil), startup...), after...))
			require.NoError(t, err)
			require.NoError(t, raw.(*net.TCPConn).CloseWrite())

			var answer strings.Builder

			_, err = copyAll(&answer, raw)
			require.NoError(t, err)
			assert.Contains(t, answer.String(), "AG120")
			c.exec(conn, "SELECT 1")
		})
	}
}

// Guards against memory use that grows with the size of an answer because the caller reads it slowly.
func TestSlowReaderOfALargeAnswer(t *testing.T) {
	const (
		rows    = 1000
		rowSize = 100 << 10
		// heapLimit is far above the buffers of one session and far below the size of the answer.
		heapLimit = 16 << 20
	)

	value := strings.Repeat("v", rowSize)

	var sent atomic.Int64

	server := newScriptedServer(t, func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)

		for range rows {
			sendRow(to, value)

			if to.Flush() != nil {
				return false
			}

			sent.Add(rowSize)
		}

		return sendComplete(to, "SELECT 1000")
	})
	c := newCluster(t, options{scripts: []*scriptedServer{server}})
	conn := c.connect("p1", "")

	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()

	heap := func() int64 {
		var stats runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&stats)

		return int64(stats.HeapAlloc)
	}

	base := heap()
	reader := conn.PgConn().Exec(ctx, "SELECT v FROM big")
	require.True(t, reader.NextResult())

	result := reader.ResultReader()
	count := 0

	var grown, ahead int64

	for result.NextRow() {
		require.Len(t, result.Values()[0], rowSize)

		if count++; count%50 == 0 {
			// The reader pauses until all buffers on the way are full. Otherwise garbage from rows that are still
			// being relayed would count as buffered.
			waitUntilSteady(&sent)

			grown = max(grown, heap()-base)
			ahead = max(ahead, sent.Load()-int64(count)*rowSize)
		}
	}

	_, err := result.Close()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	assert.Equal(t, rows, count)
	assert.Less(t, grown, int64(heapLimit))
	t.Logf("heap grew by at most %d KiB; the server was at most %d KiB ahead of the reader", grown>>10, ahead>>10)
}

// waitUntilSteady returns once a counter has not changed in several consecutive checks.
func waitUntilSteady(counter *atomic.Int64) {
	const (
		period = 10 * time.Millisecond
		checks = 5
	)

	for last, same := counter.Load(), 0; same < checks; {
		time.Sleep(period)

		now := counter.Load()
		if now == last {
			same++
		} else {
			last, same = now, 0
		}
	}
}

// Guards against a drain that interrupts an open transaction, or that lets new work begin.
func TestDrain(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	idle, busy, check := c.connect("p1", ""), c.connect("p1", ""), c.connect("p2", "")
	c.exec(check, "CREATE TABLE t (id int primary key)")

	tx, err := busy.Begin(testContext(t))
	require.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO t VALUES (1)")
	require.NoError(t, err)

	drained := make(chan error, 1)

	go func() { drained <- c.proxies["p1"].Drain(testContext(t)) }()

	eventually(t, "the idle session has ended", func() bool { return c.proxies["p1"].SessionCount() == 1 })
	_, err = idle.Exec(testContext(t), "INSERT INTO t VALUES (2)")
	require.Error(t, err)
	assert.Contains(t, []string{"57P01", ""}, stateOf(err))

	_, err = tx.Exec(testContext(t), "INSERT INTO t VALUES (3)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(testContext(t)))
	require.NoError(t, <-drained)
	assert.EqualValues(t, 2, queryValue[int64](t, check, "SELECT count(*) FROM t"))
}

// Guards against a drain that an open transaction keeps from ending after its context has ended.
func TestDrainLimit(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	busy, check := c.connect("p1", ""), c.connect("p2", "")
	c.exec(check, "CREATE TABLE t (id int primary key)")

	tx, err := busy.Begin(testContext(t))
	require.NoError(t, err)
	_, err = tx.Exec(testContext(t), "INSERT INTO t VALUES (1)")
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, c.proxies["p1"].Drain(ctx), context.Canceled)

	_, err = tx.Exec(testContext(t), "INSERT INTO t VALUES (2)")
	assert.Equal(t, "57P01", stateOf(err))
	assert.Zero(t, queryValue[int64](t, check, "SELECT count(*) FROM t"))
}

// Guards against reads through another proxy that miss the writes covered by the session token, and against reads of
// such a session that take barriers.
func TestSessionToken(t *testing.T) {
	c := newCluster(t, options{replicas: 2, lag: 30 * time.Millisecond, proxies: []string{"p1", "p2"}})
	writer, reader := c.connect("p1", ""), c.connect("p2", "")
	c.exec(writer, "CREATE TABLE t (id int primary key)")

	for i := range 10 {
		c.exec(writer, "INSERT INTO t VALUES ($1)", i)

		token := queryValue[string](t, writer, "SHOW almondgrade.token")
		require.Equal(t, token, writer.PgConn().ParameterStatus("almondgrade.token"))
		c.exec(reader, "SET almondgrade.token = '"+token+"'")

		before := c.barrierCalls.Load()
		assert.EqualValues(t, i+1, queryValue[int64](t, reader, "SELECT count(*) FROM t"))
		assert.LessOrEqual(t, c.barrierCalls.Load()-before, int64(0)+c.proxies["p2"].count("replica_wait")*20)
	}
}

// Guards against a read that waits until its deadline on an open connection that has gone silent. The replica does not
// answer its second query.
func TestSilentConnection(t *testing.T) {
	testEnd := make(chan struct{})
	defer close(testEnd)

	answer := func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)
		sendRow(to, "good")

		return sendComplete(to, "SELECT 1")
	}

	var queries atomic.Int64

	replica := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
		if queries.Add(1) == 2 {
			<-testEnd
		}

		return answer(to, sql)
	})
	c := newCluster(t, options{scripts: []*scriptedServer{newScriptedServer(t, answer), replica}})
	conn := c.connect("p1", "")

	for range 3 {
		results, err := conn.PgConn().Exec(testContext(t), "SELECT v FROM t").ReadAll()
		require.NoError(t, err)
		assert.Equal(t, "good", string(results[0].Rows[0][0]))
	}

	assert.EqualValues(t, 1, c.proxies["p1"].count("retry_read_elsewhere"))
}

// Guards against a write that fails because the primary is read-only during a change of primary, and against a read
// that runs before the proxy's view has reached the term of the session token.
func TestChangesOfPrimary(t *testing.T) {
	var refusals atomic.Int64

	server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
		if strings.HasPrefix(sql, "INSERT") && refusals.Add(1) <= 2 {
			return sendError(to, "25006")
		}

		return sendComplete(to, "INSERT 0 1")
	})
	c := newCluster(t, options{scripts: []*scriptedServer{server}})
	conn := c.connect("p1", "")

	c.exec(conn, "INSERT INTO t VALUES (1)")
	assert.Len(t, server.callerQueries(), 3, "two refusals and one execution")
	assert.EqualValues(t, 2, c.proxies["p1"].count("retry_not_run"))

	var token position.Token

	token.RaiseFloor(groupName, position.Position{Term: 2, LSN: 50})
	c.exec(conn, "SET almondgrade.token = '"+token.String()+"'")

	done := make(chan error, 1)

	go func() {
		_, err := conn.PgConn().Exec(testContext(t), "SELECT v FROM t").ReadAll()
		done <- err
	}()

	select {
	case err := <-done:
		t.Fatalf("the read did not wait for a view with the token's term: %v", err)
	case <-time.After(20 * time.Millisecond):
	}

	c.changeView(func(view *registry.View) {
		group := view.Groups[groupName]
		group.Term = 2
		view.Groups[groupName] = group
	})
	require.NoError(t, <-done)
	assert.Len(t, server.callerQueries(), 4)
	assert.EqualValues(t, 2, server.opened.Load(), "the connection of the old term is not used")
}

// Guards against a write that waits until its deadline on an open connection that has gone silent, and against one that
// is given up although the server still runs it. The server never answers the write; asked for its activity, it reports
// the write as running only the first time.
func TestSilentWrite(t *testing.T) {
	testEnd := make(chan struct{})
	defer close(testEnd)

	var activityQueries atomic.Int64

	server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
		if strings.HasPrefix(sql, "INSERT") {
			<-testEnd
		}

		sendRowDescription(to)
		sendRow(to, map[bool]string{true: "1", false: "0"}[activityQueries.Add(1) == 1])

		return sendComplete(to, "SELECT 1")
	})
	c := newCluster(t, options{scripts: []*scriptedServer{server}, timing: func(timing *settings.Timing) { timing.Deadline = settings.Duration(5 * time.Minute) }})

	_, err := c.connect("p1", "").Exec(testContext(t), "INSERT INTO t VALUES (1)")
	assert.Equal(t, "1401", codeOf(err), "%v", err)
	require.Eventually(t, func() bool { return len(server.terminationQueries()) == 1 }, 30*time.Second, time.Millisecond,
		"the backend is terminated")
	assert.EqualValues(t, 2, activityQueries.Load(), "two checks before the termination")
}
