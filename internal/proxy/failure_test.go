package proxy_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// Guards against a lost connection that is answered as success or as not run, against a write that is sent twice, and
// against a read that fails although another server could serve it.
func TestLostBackendConnections(t *testing.T) {
	lost := func(*pgproto3.Backend, string) bool { return false }
	good := func(to *pgproto3.Backend, _ string) bool {
		describe(to)
		row(to, "good")

		return finish(to, "SELECT 1")
	}
	half := func(to *pgproto3.Backend, _ string) bool {
		describe(to)
		row(to, strings.Repeat("x", 100_000))

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
		{"write", lost, good, "INSERT INTO t VALUES (1)", "1401", 1, 0},
		{"read on a replica", good, lost, "SELECT v FROM t", "", 1, 1},
		{"read that was answered in part", good, half, "SELECT v FROM t", "1309", 0, 0},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			primary, replica := newScript(t, test.primary), newScript(t, test.replica)
			c := newCluster(t, options{scripts: []*script{primary, replica}})
			conn := c.connect("p1", "")

			_, err := conn.PgConn().Exec(context30(t), test.sql).ReadAll()
			if test.code == "" {
				require.NoError(t, err)
			} else {
				require.Equal(t, test.code, codeOf(err), "%v", err)
			}

			assert.Len(t, primary.seen(), test.primaryQueries)
			assert.Equal(t, test.retries, c.proxies["p1"].count("retry_read_elsewhere"))
			require.NoError(t, conn.Ping(context30(t)), "the session goes on")
		})
	}
}

// Guards against a read that writes through a function and is refused, or that the caller sees twice.
func TestReadThatWritesIsRunAsAWrite(t *testing.T) {
	var writable atomic.Int64

	replica := newScript(t, func(to *pgproto3.Backend, _ string) bool {
		describe(to)

		return fail(to, "25006")
	})
	primary := newScript(t, func(to *pgproto3.Backend, _ string) bool {
		writable.Add(1)
		describe(to)
		row(to, "written")

		return finish(to, "SELECT 1")
	})
	c := newCluster(t, options{scripts: []*script{primary, replica}})
	conn := c.connect("p1", "")

	results, err := conn.PgConn().Exec(context30(t), "SELECT f()").ReadAll()
	require.NoError(t, err)
	require.Len(t, results, 1)
	require.Len(t, results[0].Rows, 1)
	assert.Equal(t, "written", string(results[0].Rows[0][0]))
	assert.EqualValues(t, 1, writable.Load())
	assert.EqualValues(t, 1, c.confirms.Load(), "what it wrote is confirmed")
	assert.EqualValues(t, 1, c.proxies["p1"].count("retry_read_as_write"))
}

// Guards against a commit that is acknowledged before it is confirmed.
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
			c.confirmError.Store(test.failure)

			for n, sql := range []string{"INSERT INTO t VALUES (%d)", "INSERT INTO t VALUES (%d) RETURNING id", "BEGIN; INSERT INTO t VALUES (%d); COMMIT"} {
				_, err := conn.Exec(context30(t), fmt.Sprintf(sql, i*10+n))
				assert.Equal(t, test.code, codeOf(err), sql)
			}

			_, err := conn.Exec(context30(t), "INSERT INTO t VALUES ($1)", i*10+5)
			assert.Equal(t, test.code, codeOf(err), "extended protocol")

			c.exec(conn, "BEGIN; ROLLBACK")
			c.exec(conn, "SELECT 1")
			c.confirmError.Store(nil)
			c.exec(conn, fmt.Sprintf("INSERT INTO t VALUES (%d)", i*10+6))
		})
	}
}

// Guards against refusals without a code, and against requests that run although they were refused.
func TestRefusals(t *testing.T) {
	c := newCluster(t, options{replicas: 1, limit: 2, timing: func(timing *settings.Timing) {
		timing.Deadline = settings.Duration(300 * time.Millisecond)
		timing.MessageLimitBytes = 1 << 20
	}})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	tests := []struct {
		name   string
		damage func()
		repair func()
		sql    string
		code   string
	}{
		{"unconfirmed", func() { c.unconfirmed.Store(true) }, func() { c.unconfirmed.Store(false) }, "INSERT INTO t VALUES (1)", "1301"},
		{"no primary", func() {
			c.change(func(view *registry.View) {
				group := view.Groups[groupName]
				group.Primary = ""
				view.Groups[groupName] = group
			})
		}, func() {
			c.change(func(view *registry.View) {
				group := view.Groups[groupName]
				group.Primary = memberName(0)
				view.Groups[groupName] = group
			})
		}, "INSERT INTO t VALUES (1)", "1302"},
		{"leaving primary", func() { c.leave(true) }, func() { c.leave(false) }, "INSERT INTO t VALUES (1)", "1302"},
		{"no slot", func() { c.fill(c.slots[0]) }, func() { c.empty(c.slots[0]) }, "INSERT INTO t VALUES (1)", "1304"},
		{"damaged token", nil, nil, "SET almondgrade.token = 'AAAAAAAA'", "1204"},
		{"local in the middle", nil, nil, "INSERT INTO t VALUES (1); SHOW almondgrade.token", "1206"},
		{"strings", nil, nil, "SET standard_conforming_strings = off", "1206"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.damage != nil {
				test.damage()
			}

			_, err := conn.Exec(context30(t), test.sql)
			if test.repair != nil {
				test.repair()
			}

			assert.Equal(t, test.code, codeOf(err), "%v", err)
			assert.Zero(t, query[int64](t, conn, "SELECT count(*) FROM t"))
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

	_, err := conn.Exec(context30(t), "SELECT '"+strings.Repeat("x", 2<<20)+"'")
	assert.Equal(t, "1205", codeOf(err))
}

// Guards against bytes that stop the proxy or disturb other callers.
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

// Guards against memory that grows with the size of an answer whose reader is slow.
func TestSlowReaderOfALargeAnswer(t *testing.T) {
	const (
		rows    = 1000
		rowSize = 100 << 10
		// heapLimit is far above the buffers of one session and far below the answer.
		heapLimit = 16 << 20
	)

	value := strings.Repeat("v", rowSize)

	var sent atomic.Int64

	one := newScript(t, func(to *pgproto3.Backend, _ string) bool {
		describe(to)

		for range rows {
			row(to, value)

			if to.Flush() != nil {
				return false
			}

			sent.Add(rowSize)
		}

		return finish(to, "SELECT 1000")
	})
	c := newCluster(t, options{scripts: []*script{one}})
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
			// The reader stops here until everything on the way is full. Garbage of rows that are still passed on
			// would count as buffered otherwise.
			stalled(&sent)

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

// stalled returns once a counter has not changed for a while.
func stalled(counter *atomic.Int64) {
	const (
		period = 10 * time.Millisecond
		looks  = 5
	)

	for last, same := counter.Load(), 0; same < looks; {
		time.Sleep(period)

		now := counter.Load()
		if now == last {
			same++
		} else {
			last, same = now, 0
		}
	}
}

// Guards against a planned stop that interrupts a transaction, or that lets new work begin.
func TestDrain(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	idle, busy, check := c.connect("p1", ""), c.connect("p1", ""), c.connect("p2", "")
	c.exec(check, "CREATE TABLE t (id int primary key)")

	tx, err := busy.Begin(context30(t))
	require.NoError(t, err)
	_, err = tx.Exec(context30(t), "INSERT INTO t VALUES (1)")
	require.NoError(t, err)

	drained := make(chan error, 1)

	go func() { drained <- c.proxies["p1"].Drain(context30(t)) }()

	eventually(t, "the idle session ends", func() bool { return c.proxies["p1"].Sessions() == 1 })
	_, err = idle.Exec(context30(t), "INSERT INTO t VALUES (2)")
	require.Error(t, err)
	assert.Contains(t, []string{"57P01", ""}, stateOf(err))

	_, err = tx.Exec(context30(t), "INSERT INTO t VALUES (3)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(context30(t)))
	require.NoError(t, <-drained)
	assert.EqualValues(t, 2, query[int64](t, check, "SELECT count(*) FROM t"))
}

// Guards against a drain that never ends because of an open transaction.
func TestDrainLimit(t *testing.T) {
	c := newCluster(t, options{replicas: 1, proxies: []string{"p1", "p2"}})
	busy, check := c.connect("p1", ""), c.connect("p2", "")
	c.exec(check, "CREATE TABLE t (id int primary key)")

	tx, err := busy.Begin(context30(t))
	require.NoError(t, err)
	_, err = tx.Exec(context30(t), "INSERT INTO t VALUES (1)")
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, c.proxies["p1"].Drain(ctx), context.Canceled)

	_, err = tx.Exec(context30(t), "INSERT INTO t VALUES (2)")
	assert.Equal(t, "57P01", stateOf(err))
	assert.Zero(t, query[int64](t, check, "SELECT count(*) FROM t"))
}

// Guards against a session token that does not show the session's writes through other proxies, and against reads of
// such a session that ask for barriers.
func TestSessionToken(t *testing.T) {
	c := newCluster(t, options{replicas: 2, lag: 30 * time.Millisecond, proxies: []string{"p1", "p2"}})
	writer, reader := c.connect("p1", ""), c.connect("p2", "")
	c.exec(writer, "CREATE TABLE t (id int primary key)")

	for i := range 10 {
		c.exec(writer, "INSERT INTO t VALUES ($1)", i)

		token := query[string](t, writer, "SHOW almondgrade.token")
		require.Equal(t, token, writer.PgConn().ParameterStatus("almondgrade.token"))
		c.exec(reader, "SET almondgrade.token = '"+token+"'")

		before := c.barriers.Load()
		assert.EqualValues(t, i+1, query[int64](t, reader, "SELECT count(*) FROM t"))
		assert.LessOrEqual(t, c.barriers.Load()-before, int64(0)+c.proxies["p2"].count("replica_wait")*20)
	}
}

// Guards against a read that waits until its deadline on an open connection that has gone silent.
func TestSilentConnection(t *testing.T) {
	quiet := make(chan struct{})
	defer close(quiet)

	good := func(to *pgproto3.Backend, _ string) bool {
		describe(to)
		row(to, "good")

		return finish(to, "SELECT 1")
	}

	var queries atomic.Int64

	replica := newScript(t, func(to *pgproto3.Backend, sql string) bool {
		if queries.Add(1) == 2 {
			<-quiet
		}

		return good(to, sql)
	})
	c := newCluster(t, options{scripts: []*script{newScript(t, good), replica}})
	conn := c.connect("p1", "")

	for range 3 {
		results, err := conn.PgConn().Exec(context30(t), "SELECT v FROM t").ReadAll()
		require.NoError(t, err)
		assert.Equal(t, "good", string(results[0].Rows[0][0]))
	}

	assert.EqualValues(t, 1, c.proxies["p1"].count("retry_read_elsewhere"))
}

// Guards against a read in a term that the proxy has not heard of yet, and against a write that fails because the
// primary was set read-only for a change of primary.
func TestChangesOfPrimary(t *testing.T) {
	var refusals atomic.Int64

	one := newScript(t, func(to *pgproto3.Backend, sql string) bool {
		if strings.HasPrefix(sql, "INSERT") && refusals.Add(1) <= 2 {
			return fail(to, "25006")
		}

		return finish(to, "INSERT 0 1")
	})
	c := newCluster(t, options{scripts: []*script{one}})
	conn := c.connect("p1", "")

	c.exec(conn, "INSERT INTO t VALUES (1)")
	assert.Len(t, one.seen(), 3, "two refusals and the run")
	assert.EqualValues(t, 2, c.proxies["p1"].count("retry_not_run"))

	var token position.Token

	token.RaiseFloor(groupName, position.Position{Term: 2, LSN: 50})
	c.exec(conn, "SET almondgrade.token = '"+token.String()+"'")

	done := make(chan error, 1)

	go func() {
		_, err := conn.PgConn().Exec(context30(t), "SELECT v FROM t").ReadAll()
		done <- err
	}()

	select {
	case err := <-done:
		t.Fatalf("the read did not wait for the view: %v", err)
	case <-time.After(20 * time.Millisecond):
	}

	c.change(func(view *registry.View) {
		group := view.Groups[groupName]
		group.Term = 2
		view.Groups[groupName] = group
	})
	require.NoError(t, <-done)
	assert.Len(t, one.seen(), 4)
	assert.EqualValues(t, 2, one.opened.Load(), "the connection of the old term is not used")
}

// Guards against a write that waits until its deadline on an open connection that has gone silent, and against one that
// is given up although the server still runs it.
func TestSilentWrite(t *testing.T) {
	quiet := make(chan struct{})
	defer close(quiet)

	var asked atomic.Int64

	c := newCluster(t, options{scripts: []*script{newScript(t, func(to *pgproto3.Backend, sql string) bool {
		if strings.HasPrefix(sql, "INSERT") {
			<-quiet
		}

		describe(to)
		row(to, map[bool]string{true: "1", false: "0"}[asked.Add(1) == 1])

		return finish(to, "SELECT 1")
	})}, timing: func(timing *settings.Timing) { timing.Deadline = settings.Duration(5 * time.Minute) }})

	_, err := c.connect("p1", "").Exec(context30(t), "INSERT INTO t VALUES (1)")
	assert.Equal(t, "1401", codeOf(err), "%v", err)
	require.Eventually(t, func() bool { return asked.Load() == 3 }, 30*time.Second, time.Millisecond, "asked twice, then ended")
}
