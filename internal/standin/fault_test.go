package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/internal/standin"
)

// short bounds an attempt that must get no answer however long it waits.
const short = 50 * time.Millisecond

func silent(t *testing.T, conn *pgx.Conn) {
	t.Helper()

	ctx, cancel := context.WithTimeout(testContext(t), short)
	defer cancel()

	_, err := conn.Exec(ctx, "SELECT 1")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a replica that shows or reports data before its lag has passed, and against a promotion that
// drops what was received but not replayed.
func TestLagAndPromotion(t *testing.T) {
	t.Parallel()

	primary := start(t, standin.Options{Name: "db0", Primary: true})
	slow := start(t, standin.Options{Name: "db1", Lag: time.Hour})
	adminPrimary, adminSlow := admin(t, primary), admin(t, slow)

	require.NoError(t, adminPrimary.SetTerm(testContext(t), "db0", 1))
	require.NoError(t, adminSlow.Attach(testContext(t), "db1", 1, primary.Addr()))

	conn, reader := connect(t, primary, "app"), connect(t, slow, "app")
	begin := observe(t, adminSlow).ReplayedLSN

	exec(t, conn, "CREATE TABLE t (v int)")
	exec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, adminPrimary).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, adminSlow).ReceivedLSN == end })
	assert.Equal(t, begin, observe(t, adminSlow).ReplayedLSN)

	_, err := reader.Exec(testContext(t), "SELECT * FROM t")
	assert.Equal(t, "42P01", stateOf(err))

	slow.SetLag(time.Nanosecond)
	eventually(t, "replay", func() bool { return observe(t, adminSlow).ReplayedLSN == end })
	slow.SetLag(time.Hour)

	exec(t, conn, "INSERT INTO t VALUES (2)")

	end = observe(t, adminPrimary).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, adminSlow).ReceivedLSN == end })
	assert.Equal(t, int64(1), number(t, reader, "SELECT count(*) FROM t"))

	require.NoError(t, adminSlow.Promote(testContext(t), "db1", 2))
	assert.Equal(t, int64(2), number(t, reader, "SELECT count(*) FROM t"))
	assert.Equal(t, end, observe(t, adminSlow).InsertLSN)
}

// Guards against a receive delay that does not hold back the flushed position.
func TestReceiveDelay(t *testing.T) {
	t.Parallel()

	members := group(t, 1)
	primary, replica := admin(t, members[0]), admin(t, members[1])
	eventually(t, "receiver", func() bool { return observe(t, replica).Receiving })

	members[1].SetReceiveDelay(time.Hour)
	exec(t, connect(t, members[0], "app"), "CREATE TABLE t (v int)")

	end := observe(t, primary).InsertLSN
	assert.Less(t, observe(t, replica).ReceivedLSN, end)

	members[1].SetReceiveDelay(time.Nanosecond)
	eventually(t, "receive", func() bool { return observe(t, replica).ReceivedLSN == end })
}

// Guards against replayed statements that compute other values than the primary did.
func TestReplayIsDeterministic(t *testing.T) {
	t.Parallel()

	members := group(t, 1)
	conn := connect(t, members[0], "app")

	exec(t, conn, "CREATE TABLE t (id bigserial PRIMARY KEY, r float8, u text, at timestamptz, b bytea, n int)")
	exec(t, conn, `WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c WHERE x < 200)
		INSERT INTO t (r, u, at, b, n) SELECT random(), gen_random_uuid(), now(), $1, $2 FROM c`, []byte{0, 255}, -1)
	exec(t, conn, "UPDATE t SET r = random() WHERE id % 2 = 0")
	exec(t, conn, "BEGIN; INSERT INTO t (r) VALUES (random()); SAVEPOINT a; DELETE FROM t; ROLLBACK TO a; DELETE FROM t WHERE id < 3; COMMIT",
		pgx.QueryExecModeSimpleProtocol)
	exec(t, conn, "CREATE TEMP TABLE scratch (v int)")
	exec(t, conn, "INSERT INTO scratch VALUES (1)")
	replicated(t, admin(t, members[0]), admin(t, members[1]))

	const digest = "SELECT group_concat(id || '|' || r || '|' || coalesce(u, '') || '|' || coalesce(at, '') || coalesce(hex(b), '') || typeof(n), ';') FROM t"

	var here, there string

	require.NoError(t, conn.QueryRow(testContext(t), digest).Scan(&here))
	require.NoError(t, connect(t, members[1], "app").QueryRow(testContext(t), digest).Scan(&there))
	assert.Equal(t, here, there)
	assert.Equal(t, int64(199), number(t, conn, "SELECT count(*) FROM t"))
	assert.Equal(t, int64(198), number(t, conn, "SELECT count(DISTINCT u) FROM t"))
	assert.Empty(t, members[1].Status().Replay)
}

// Guards against a reported position that does not cover what a reader of the primary has already seen.
func TestInsertPositionCoversVisibleRows(t *testing.T) {
	t.Parallel()

	members := group(t, 1)
	writer, reader := connect(t, members[0], "writer"), connect(t, members[0], "reader")
	replica := connect(t, members[1], "app")
	exec(t, writer, "CREATE TABLE t (v int)")

	var running sync.WaitGroup

	running.Go(func() {
		for i := range 200 {
			if _, err := writer.Exec(context.Background(), "INSERT INTO t VALUES ($1)", i); err != nil {
				t.Error(err)
				return
			}
		}
	})

	checked := 0

	for range 50 {
		seen := number(t, reader, "SELECT count(*) FROM t")

		var at, replayed string

		require.NoError(t, reader.QueryRow(testContext(t), "SELECT pg_current_wal_insert_lsn()").Scan(&at))

		want, err := position.ParseLSN(at)
		require.NoError(t, err)
		eventually(t, "replay", func() bool {
			require.NoError(t, replica.QueryRow(testContext(t), "SELECT pg_last_wal_replay_lsn()").Scan(&replayed))

			got, err := position.ParseLSN(replayed)

			return err == nil && got >= want
		})

		require.GreaterOrEqual(t, number(t, replica, "SELECT count(*) FROM t"), seen)

		checked++
	}

	running.Wait()
	assert.Equal(t, 50, checked)
}

// Guards against data, role or settings lost in a restart, and an identity that outlives its data.
func TestRestartAndLostDisk(t *testing.T) {
	t.Parallel()

	folder := t.TempDir()
	m := start(t, standin.Options{Name: "db0", Primary: true, Data: folder})
	require.NoError(t, admin(t, m).SetTerm(testContext(t), "db0", 3))
	exec(t, connect(t, m, "app"), "CREATE TABLE t (v int)")

	open := connect(t, m, "app")
	exec(t, open, "INSERT INTO t VALUES (1)")
	exec(t, open, "BEGIN; INSERT INTO t VALUES (2)", pgx.QueryExecModeSimpleProtocol)

	before := m.Status()
	require.NoError(t, m.Stop())
	assert.False(t, m.Status().Running)

	_, err := open.Exec(testContext(t), "COMMIT")
	require.Error(t, err)
	require.NoError(t, m.Start())

	after := m.Status()
	assert.Equal(t, before.Identity, after.Identity)
	assert.Greater(t, after.Incarnation, before.Incarnation)
	assert.Equal(t, before.Written, after.Written)
	assert.Equal(t, before.Address, after.Address)
	assert.True(t, after.Primary)
	assert.Equal(t, position.Term(3), observe(t, admin(t, m)).Attachment.Term)
	assert.Equal(t, int64(1), number(t, connect(t, m, "app"), "SELECT count(*) FROM t"))

	require.NoError(t, m.LoseDisk())

	lost := m.Status()
	assert.NotEqual(t, before.Identity, lost.Identity)
	assert.Greater(t, lost.Incarnation, after.Incarnation)
	assert.False(t, lost.Primary)
	assert.Empty(t, lost.Conninfo)

	_, err = connect(t, m, "app").Exec(testContext(t), "SELECT * FROM t")
	assert.Equal(t, "42P01", stateOf(err))
}

// Guards against a replica whose log has parted from the new primary's and that keeps the discarded writes.
func TestReplicaDiscardsWhatThePrimaryLacks(t *testing.T) {
	t.Parallel()

	ctx := testContext(t)
	members := group(t, 2)
	first, ahead, behind := admin(t, members[0]), admin(t, members[1]), admin(t, members[2])
	conn := connect(t, members[0], "app")

	exec(t, conn, "CREATE TABLE t (v int)")

	end := observe(t, first).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, behind).ReceivedLSN == end })

	_, err := behind.Fence(ctx, "db2")
	require.NoError(t, err)
	exec(t, conn, "INSERT INTO t VALUES (1)")
	replicated(t, first, ahead)
	require.NoError(t, behind.Promote(ctx, "db2", 2))
	exec(t, connect(t, members[2], "app"), "INSERT INTO t VALUES (20)")

	// The rewind restarts the member and may cut off the answer to Attach.
	_ = ahead.Attach(ctx, "db1", 2, members[2].Addr())

	eventually(t, "replay of the new primary's log", func() bool {
		reader, err := pgx.Connect(ctx, url(members[1], "app"))
		if err != nil {
			return false // It restarts.
		}

		defer reader.Close(ctx)

		var sum int64

		return reader.QueryRow(ctx, "SELECT sum(v) FROM t").Scan(&sum) == nil && sum == 20
	})
}

// control is a stand-in for the system's answer to announcements.
type control struct {
	mu    sync.Mutex
	reply standin.Reply
	seen  []standin.Announcement
}

func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	var announcement standin.Announcement
	if r.URL.Path != "/v1/announce" || json.NewDecoder(r.Body).Decode(&announcement) != nil {
		http.Error(w, "bad announcement", http.StatusBadRequest)
		return
	}

	c.seen = append(c.seen, announcement)
	_ = json.NewEncoder(w).Encode(c.reply)
}

func (c *control) answer(reply standin.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.reply = reply
}

func (c *control) last() standin.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()

	if len(c.seen) == 0 {
		return standin.Announcement{}
	}

	return c.seen[len(c.seen)-1]
}

// Guards against a replaced primary that goes on as one, keeps its discarded tail, or rewinds too far.
func TestReplacedPrimaryIsRewound(t *testing.T) {
	t.Parallel()

	ctx := testContext(t)
	system := &control{}
	server := httptest.NewServer(system)
	t.Cleanup(server.Close)

	old := start(t, standin.Options{
		Name: "db0", Primary: true, Announce: []string{"127.0.0.1:1", server.URL}, AnnouncePeriod: 5 * time.Millisecond,
		Slots: 2, Connections: 9, Centre: "plateau",
	})
	next := start(t, standin.Options{Name: "db1"})
	adminOld, adminNext := admin(t, old), admin(t, next)

	require.NoError(t, adminOld.SetTerm(ctx, "db0", 1))
	require.NoError(t, adminNext.Attach(ctx, "db1", 1, old.Addr()))

	conn := connect(t, old, "app")
	exec(t, conn, "CREATE TABLE t (v int)")
	exec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, adminOld).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, adminNext).ReceivedLSN == end })
	eventually(t, "announcement", func() bool { return system.last().Sequence > 0 })

	status, last := old.Status(), system.last()
	assert.Equal(t, standin.Announcement{
		Name: "db0", Group: "registry1", Address: old.Addr().String(), Identity: status.Identity,
		Incarnation: status.Incarnation, Sequence: last.Sequence, Slots: 2, Connections: 9, Centre: "plateau",
	}, last)

	old.Leave(true)
	eventually(t, "leaving", func() bool { return system.last().Leaving })

	begin, err := adminNext.Fence(ctx, "db1")
	require.NoError(t, err)
	require.NoError(t, adminNext.Promote(ctx, "db1", 2))
	exec(t, conn, "INSERT INTO t VALUES (100)")

	// Its own term, or a refusal, changes nothing.
	system.answer(standin.Reply{Term: 1, Primary: "db0", History: []standin.TermBegin{{Term: 1}}})

	sequence := system.last().Sequence
	eventually(t, "answers", func() bool { return system.last().Sequence > sequence+2 })
	assert.True(t, old.Status().Primary)

	system.answer(standin.Reply{
		Term: 2, Primary: "db1", PrimaryAddress: next.Addr().String(),
		History: []standin.TermBegin{{Term: 1}, {Term: 2, LSN: begin.LSN}},
	})
	eventually(t, "rewind", func() bool { return old.Status().Running && !old.Status().Primary })
	assert.Equal(t, begin.LSN.String(), old.Status().Written)
	assert.Equal(t, status.Identity, old.Status().Identity)
	assert.Equal(t, int64(1), number(t, connect(t, old, "app"), "SELECT sum(v) FROM t"))

	exec(t, connect(t, next, "app"), "INSERT INTO t VALUES (10)")
	require.NoError(t, admin(t, old).Attach(ctx, "db0", 2, next.Addr()))
	replicated(t, adminNext, admin(t, old))
	assert.Equal(t, int64(11), number(t, connect(t, old, "app"), "SELECT sum(v) FROM t"))
	eventually(t, "recovery", func() bool { return system.last().Recovery })
}

// Guards against a frozen member that answers, runs statements or announces itself.
func TestFreeze(t *testing.T) {
	t.Parallel()

	system := &control{}
	server := httptest.NewServer(system)
	t.Cleanup(server.Close)

	m := start(t, standin.Options{
		Name: "db0", Primary: true, Announce: []string{server.URL}, AnnouncePeriod: 5 * time.Millisecond,
	})
	conn := connect(t, m, "app")
	exec(t, conn, "CREATE TABLE t (v int)")
	m.Freeze()

	ctx, cancel := context.WithTimeout(testContext(t), short)
	defer cancel()

	_, err := pgx.Connect(ctx, url(m, "app"))
	require.ErrorIs(t, err, context.DeadlineExceeded)

	done := make(chan error, 1)

	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO t VALUES (1)")
		done <- err
	}()

	select {
	case <-done:
		t.Fatal("a frozen member answered")
	case <-time.After(short):
	}

	m.Thaw()
	require.NoError(t, <-done)
	assert.Equal(t, int64(1), number(t, connect(t, m, "app"), "SELECT count(*) FROM t"))
}

// Guards against a partition that reaches other peers, breaks connections or loses traffic that it should delay.
func TestPartition(t *testing.T) {
	t.Parallel()

	members := group(t, 1)
	primary, replica := admin(t, members[0]), admin(t, members[1])
	conn := connect(t, members[0], "app")

	exec(t, conn, "CREATE TABLE t (v int)")
	replicated(t, primary, replica)

	// The primary can't reach its replica any more; proxies can reach both.
	members[0].Cut("ag_", standin.Out)
	exec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, primary).InsertLSN
	assert.Less(t, observe(t, replica).ReceivedLSN, end)
	members[0].Heal()
	eventually(t, "receive", func() bool { return observe(t, replica).ReceivedLSN == end })

	for _, direction := range []standin.Direction{standin.In, standin.Out, standin.Both} {
		members[0].Cut("app", direction)

		done := make(chan error, 1)

		go func() {
			_, err := conn.Exec(context.Background(), "INSERT INTO t VALUES (1)")
			done <- err
		}()

		assert.False(t, observe(t, primary).InRecovery)

		select {
		case <-done:
			t.Fatalf("answer through a partition in direction %s", direction)
		case <-time.After(short):
		}

		members[0].Heal()
		require.NoError(t, <-done)
	}

	assert.Equal(t, int64(4), number(t, conn, "SELECT count(*) FROM t"))
}

// Guards against lost connections that recover or end visibly, and that the server can't be rid of.
func TestSilentLoss(t *testing.T) {
	t.Parallel()

	m := start(t, standin.Options{Name: "db0", Primary: true, Connections: 3})
	conns := []*pgx.Conn{connect(t, m, "ag/p1"), connect(t, m, "ag/p1")}
	assert.Equal(t, 2, m.LoseConnections())

	for _, conn := range conns {
		silent(t, conn)
	}

	a := admin(t, m)
	_, err := pgx.Connect(testContext(t), url(m, "ag/p2"))
	assert.Equal(t, "53300", stateOf(err), "the server does not know that the connections are lost")

	require.NoError(t, a.Terminate(testContext(t), "ag/p1"))
	eventually(t, "the end of the sessions", func() bool {
		counts, err := a.Connections(testContext(t))
		require.NoError(t, err)

		return counts["ag/p1"] == 0
	})

	exec(t, connect(t, m, "ag/p2"), "SELECT 1")
}

// Guards against a lost client whose open transaction blocks the writes of all others.
func TestUnreachableWriterIsEnded(t *testing.T) {
	t.Parallel()

	m := start(t, standin.Options{Name: "db0", Primary: true})
	conn := connect(t, m, "app")
	exec(t, conn, "CREATE TABLE t (v int)")

	for _, loss := range []func(){func() { m.LoseConnections() }, func() { m.Cut("ag/p1", standin.In) }} {
		exec(t, connect(t, m, "ag/p1"), "BEGIN; INSERT INTO t VALUES (1)", pgx.QueryExecModeSimpleProtocol)
		loss()
		exec(t, connect(t, m, "ag/p2"), "INSERT INTO t VALUES (2)")
	}

	assert.Equal(t, int64(2), number(t, connect(t, m, "app"), "SELECT count(*) FROM t"))
}

// Guards against a planned switchover in which the old primary accepts new writes, or breaks open ones.
func TestReadOnlyBySystemSetting(t *testing.T) {
	t.Parallel()

	m := start(t, standin.Options{Name: "db0", Primary: true})
	a, open, conn := admin(t, m), connect(t, m, "app"), connect(t, m, "app")

	exec(t, conn, "CREATE TABLE t (v int)")
	exec(t, open, "BEGIN; INSERT INTO t VALUES (1)", pgx.QueryExecModeSimpleProtocol)
	require.NoError(t, a.SetReadOnly(testContext(t), true))

	_, err := conn.Exec(testContext(t), "INSERT INTO t VALUES (2)")
	assert.Equal(t, "25006", stateOf(err))
	exec(t, open, "COMMIT")
	require.NoError(t, a.SetReadOnly(testContext(t), false))
	exec(t, conn, "INSERT INTO t VALUES (3)")
	assert.Equal(t, int64(2), number(t, conn, "SELECT count(*) FROM t"))
}

// Guards against fault requests over HTTP that are not carried out or not checked.
func TestFaultInterface(t *testing.T) {
	t.Parallel()

	listener := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(listener.URL, "http://")
	listener.Close()

	m := start(t, standin.Options{Name: "db0", Primary: true, Fault: address})

	tests := []struct {
		body   string
		status int
		check  func() bool
	}{
		{`{"kind":"stop"}`, http.StatusNoContent, func() bool { return !m.Status().Running }},
		{`{"kind":"start"}`, http.StatusNoContent, func() bool { return m.Status().Running }},
		{`{"kind":"lose_disk"}`, http.StatusNoContent, func() bool { return !m.Status().Primary }},
		{`{"kind":"cut","peer":"x","direction":"up"}`, http.StatusBadRequest, nil},
		{`{"kind":"lag","delay":"10"}`, http.StatusBadRequest, nil},
		{`{"kind":"earthquake"}`, http.StatusBadRequest, nil},
		{`{"kind":`, http.StatusBadRequest, nil},
	}

	for _, kind := range []string{"freeze", "thaw", "cut", "heal", "lose", "lag", "receive_delay", "leave", "stay", "limits"} {
		tests = append(tests, struct {
			body   string
			status int
			check  func() bool
		}{fmt.Sprintf(`{"kind":%q,"peer":"x","delay":"1ms","slots":3}`, kind), http.StatusNoContent, nil})
	}

	for _, test := range tests {
		response, err := http.Post("http://"+address+"/fault", "application/json", strings.NewReader(test.body))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, test.status, response.StatusCode, test.body)
		assert.True(t, test.check == nil || test.check(), test.body)
	}

	response, err := http.Get("http://" + address + "/status")
	require.NoError(t, err)

	defer response.Body.Close()

	var status standin.Status

	require.NoError(t, json.NewDecoder(response.Body).Decode(&status))
	assert.Equal(t, m.Status(), status)
}
