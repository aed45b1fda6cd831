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

// noAnswerPeriod is how long a test waits for a response that must never come.
const noAnswerPeriod = 50 * time.Millisecond

func requireSilent(t *testing.T, conn *pgx.Conn) {
	t.Helper()

	ctx, cancel := context.WithTimeout(testContext(t), noAnswerPeriod)
	defer cancel()

	_, err := conn.Exec(ctx, "SELECT 1")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a replica that shows or reports data before its lag has passed, and against a promotion that loses
// transactions that were received but not replayed.
func TestLagAndPromotion(t *testing.T) {
	t.Parallel()

	primary := startMember(t, standin.Options{Name: "db0", Primary: true})
	slow := startMember(t, standin.Options{Name: "db1", Lag: time.Hour})
	adminPrimary, adminSlow := openAdmin(t, primary), openAdmin(t, slow)

	require.NoError(t, adminPrimary.SetTerm(testContext(t), "db0", 1))
	require.NoError(t, adminSlow.Attach(testContext(t), "db1", 1, primary.Addr()))

	conn, reader := connect(t, primary, "app"), connect(t, slow, "app")
	begin := observe(t, adminSlow).ReplayedLSN

	mustExec(t, conn, "CREATE TABLE t (v int)")
	mustExec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, adminPrimary).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, adminSlow).ReceivedLSN == end })
	assert.Equal(t, begin, observe(t, adminSlow).ReplayedLSN)

	_, err := reader.Exec(testContext(t), "SELECT * FROM t")
	assert.Equal(t, "42P01", sqlState(err))

	slow.SetLag(time.Nanosecond)
	eventually(t, "replay", func() bool { return observe(t, adminSlow).ReplayedLSN == end })
	slow.SetLag(time.Hour)

	mustExec(t, conn, "INSERT INTO t VALUES (2)")

	end = observe(t, adminPrimary).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, adminSlow).ReceivedLSN == end })
	assert.Equal(t, int64(1), queryNumber(t, reader, "SELECT count(*) FROM t"))

	require.NoError(t, adminSlow.Promote(testContext(t), "db1", 2))
	assert.Equal(t, int64(2), queryNumber(t, reader, "SELECT count(*) FROM t"))
	assert.Equal(t, end, observe(t, adminSlow).InsertLSN)
}

// Guards against a receive delay that does not delay the flushed position.
func TestReceiveDelay(t *testing.T) {
	t.Parallel()

	members := startGroup(t, 1)
	primary, replica := openAdmin(t, members[0]), openAdmin(t, members[1])
	eventually(t, "receiver", func() bool { return observe(t, replica).Receiving })

	members[1].SetReceiveDelay(time.Hour)
	mustExec(t, connect(t, members[0], "app"), "CREATE TABLE t (v int)")

	end := observe(t, primary).InsertLSN
	assert.Less(t, observe(t, replica).ReceivedLSN, end)

	members[1].SetReceiveDelay(time.Nanosecond)
	eventually(t, "receive", func() bool { return observe(t, replica).ReceivedLSN == end })
}

// Guards against replayed statements that compute values other than those on the primary.
func TestReplayIsDeterministic(t *testing.T) {
	t.Parallel()

	members := startGroup(t, 1)
	conn := connect(t, members[0], "app")

	mustExec(t, conn, "CREATE TABLE t (id bigserial PRIMARY KEY, r float8, u text, at timestamptz, b bytea, n int)")
	mustExec(t, conn, `WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c WHERE x < 200)
		INSERT INTO t (r, u, at, b, n) SELECT random(), gen_random_uuid(), now(), $1, $2 FROM c`, []byte{0, 255}, -1)
	mustExec(t, conn, "UPDATE t SET r = random() WHERE id % 2 = 0")
	mustExec(t, conn, "BEGIN; INSERT INTO t (r) VALUES (random()); SAVEPOINT a; DELETE FROM t; ROLLBACK TO a; DELETE FROM t WHERE id < 3; COMMIT",
		pgx.QueryExecModeSimpleProtocol)
	mustExec(t, conn, "CREATE TEMP TABLE scratch (v int)")
	mustExec(t, conn, "INSERT INTO scratch VALUES (1)")
	waitReplicated(t, openAdmin(t, members[0]), openAdmin(t, members[1]))

	const digest = "SELECT group_concat(id || '|' || r || '|' || coalesce(u, '') || '|' || coalesce(at, '') || coalesce(hex(b), '') || typeof(n), ';') FROM t"

	var primaryDigest, replicaDigest string

	require.NoError(t, conn.QueryRow(testContext(t), digest).Scan(&primaryDigest))
	require.NoError(t, connect(t, members[1], "app").QueryRow(testContext(t), digest).Scan(&replicaDigest))
	assert.Equal(t, primaryDigest, replicaDigest)
	assert.Equal(t, int64(199), queryNumber(t, conn, "SELECT count(*) FROM t"))
	assert.Equal(t, int64(198), queryNumber(t, conn, "SELECT count(DISTINCT u) FROM t"))
	assert.Empty(t, members[1].Status().ReplayError)
}

// Guards against a reported insert position that does not cover the rows that a reader of the primary has already seen.
func TestInsertPositionCoversVisibleRows(t *testing.T) {
	t.Parallel()

	members := startGroup(t, 1)
	writer, reader := connect(t, members[0], "writer"), connect(t, members[0], "reader")
	replica := connect(t, members[1], "app")
	mustExec(t, writer, "CREATE TABLE t (v int)")

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
		seen := queryNumber(t, reader, "SELECT count(*) FROM t")

		var at, replayed string

		require.NoError(t, reader.QueryRow(testContext(t), "SELECT pg_current_wal_insert_lsn()").Scan(&at))

		want, err := position.ParseLSN(at)
		require.NoError(t, err)
		eventually(t, "replay", func() bool {
			require.NoError(t, replica.QueryRow(testContext(t), "SELECT pg_last_wal_replay_lsn()").Scan(&replayed))

			got, err := position.ParseLSN(replayed)

			return err == nil && got >= want
		})

		require.GreaterOrEqual(t, queryNumber(t, replica, "SELECT count(*) FROM t"), seen)

		checked++
	}

	running.Wait()
	assert.Equal(t, 50, checked)
}

// Guards against a restart that loses data, role or settings, and against an identity that survives the loss of its
// data.
func TestRestartAndLostDisk(t *testing.T) {
	t.Parallel()

	folder := t.TempDir()
	m := startMember(t, standin.Options{Name: "db0", Primary: true, DataFolder: folder})
	require.NoError(t, openAdmin(t, m).SetTerm(testContext(t), "db0", 3))
	mustExec(t, connect(t, m, "app"), "CREATE TABLE t (v int)")

	openTx := connect(t, m, "app")
	mustExec(t, openTx, "INSERT INTO t VALUES (1)")
	mustExec(t, openTx, "BEGIN; INSERT INTO t VALUES (2)", pgx.QueryExecModeSimpleProtocol)

	before := m.Status()
	require.NoError(t, m.Stop())
	assert.False(t, m.Status().Running)

	_, err := openTx.Exec(testContext(t), "COMMIT")
	require.Error(t, err)
	require.NoError(t, m.Start())

	after := m.Status()
	assert.Equal(t, before.Identity, after.Identity)
	assert.Greater(t, after.Incarnation, before.Incarnation)
	assert.Equal(t, before.Written, after.Written)
	assert.Equal(t, before.Address, after.Address)
	assert.True(t, after.Primary)
	assert.Equal(t, position.Term(3), observe(t, openAdmin(t, m)).Attachment.Term)
	assert.Equal(t, int64(1), queryNumber(t, connect(t, m, "app"), "SELECT count(*) FROM t"))

	require.NoError(t, m.LoseDisk())

	lost := m.Status()
	assert.NotEqual(t, before.Identity, lost.Identity)
	assert.Greater(t, lost.Incarnation, after.Incarnation)
	assert.False(t, lost.Primary)
	assert.Empty(t, lost.Conninfo)

	_, err = connect(t, m, "app").Exec(testContext(t), "SELECT * FROM t")
	assert.Equal(t, "42P01", sqlState(err))
}

// Guards against a replica whose log has diverged from the new primary's and that keeps the writes which that primary
// lacks.
func TestReplicaDiscardsWritesMissingOnPrimary(t *testing.T) {
	t.Parallel()

	ctx := testContext(t)
	members := startGroup(t, 2)
	first, ahead, behind := openAdmin(t, members[0]), openAdmin(t, members[1]), openAdmin(t, members[2])
	conn := connect(t, members[0], "app")

	mustExec(t, conn, "CREATE TABLE t (v int)")

	end := observe(t, first).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, behind).ReceivedLSN == end })

	_, err := behind.Fence(ctx, "db2")
	require.NoError(t, err)
	mustExec(t, conn, "INSERT INTO t VALUES (1)")
	waitReplicated(t, first, ahead)
	require.NoError(t, behind.Promote(ctx, "db2", 2))
	mustExec(t, connect(t, members[2], "app"), "INSERT INTO t VALUES (20)")

	// The rewind restarts the member and may cut off the answer to Attach.
	_ = ahead.Attach(ctx, "db1", 2, members[2].Addr())

	eventually(t, "replay of the new primary's log", func() bool {
		reader, err := pgx.Connect(ctx, connString(members[1], "app"))
		if err != nil {
			return false // The member restarts.
		}

		defer reader.Close(ctx)

		var sum int64

		return reader.QueryRow(ctx, "SELECT sum(v) FROM t").Scan(&sum) == nil && sum == 20
	})
}

// announceHandler records announcements and returns a fixed reply, in place of the system.
type announceHandler struct {
	mu            sync.Mutex
	reply         standin.AnnounceReply
	announcements []standin.Announcement
}

func (c *announceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	var announcement standin.Announcement
	if r.URL.Path != "/v1/announce" || json.NewDecoder(r.Body).Decode(&announcement) != nil {
		http.Error(w, "bad announcement", http.StatusBadRequest)
		return
	}

	c.announcements = append(c.announcements, announcement)
	_ = json.NewEncoder(w).Encode(c.reply)
}

func (c *announceHandler) setReply(reply standin.AnnounceReply) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.reply = reply
}

func (c *announceHandler) lastAnnouncement() standin.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()

	if len(c.announcements) == 0 {
		return standin.Announcement{}
	}

	return c.announcements[len(c.announcements)-1]
}

// Guards against a replaced primary that stays primary, keeps log records past the start of the new term, or rewinds
// too far.
func TestReplacedPrimaryIsRewound(t *testing.T) {
	t.Parallel()

	ctx := testContext(t)
	system := &announceHandler{}
	server := httptest.NewServer(system)
	t.Cleanup(server.Close)

	replaced := startMember(t, standin.Options{
		Name: "db0", Primary: true, AnnounceAddresses: []string{"127.0.0.1:1", server.URL}, AnnouncePeriod: 5 * time.Millisecond,
		Slots: 2, Connections: 9, Centre: "plateau",
	})
	successor := startMember(t, standin.Options{Name: "db1"})
	adminReplaced, adminSuccessor := openAdmin(t, replaced), openAdmin(t, successor)

	require.NoError(t, adminReplaced.SetTerm(ctx, "db0", 1))
	require.NoError(t, adminSuccessor.Attach(ctx, "db1", 1, replaced.Addr()))

	conn := connect(t, replaced, "app")
	mustExec(t, conn, "CREATE TABLE t (v int)")
	mustExec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, adminReplaced).InsertLSN
	eventually(t, "receive", func() bool { return observe(t, adminSuccessor).ReceivedLSN == end })
	eventually(t, "announcement", func() bool { return system.lastAnnouncement().Sequence > 0 })

	status, last := replaced.Status(), system.lastAnnouncement()
	assert.Equal(t, standin.Announcement{
		Name: "db0", Group: "registry1", Address: replaced.Addr().String(), Identity: status.Identity,
		Incarnation: status.Incarnation, Sequence: last.Sequence, Slots: 2, Connections: 9, Centre: "plateau",
	}, last)

	replaced.SetLeaving(true)
	eventually(t, "leaving", func() bool { return system.lastAnnouncement().Leaving })

	begin, err := adminSuccessor.Fence(ctx, "db1")
	require.NoError(t, err)
	require.NoError(t, adminSuccessor.Promote(ctx, "db1", 2))
	mustExec(t, conn, "INSERT INTO t VALUES (100)")

	// A reply with its own term changes nothing.
	system.setReply(standin.AnnounceReply{Term: 1, Primary: "db0", History: []standin.TermStart{{Term: 1}}})

	sequence := system.lastAnnouncement().Sequence
	eventually(t, "answers", func() bool { return system.lastAnnouncement().Sequence > sequence+2 })
	assert.True(t, replaced.Status().Primary)

	system.setReply(standin.AnnounceReply{
		Term: 2, Primary: "db1", PrimaryAddress: successor.Addr().String(),
		History: []standin.TermStart{{Term: 1}, {Term: 2, LSN: begin.LSN}},
	})
	eventually(t, "rewind", func() bool { return replaced.Status().Running && !replaced.Status().Primary })
	assert.Equal(t, begin.LSN.String(), replaced.Status().Written)
	assert.Equal(t, status.Identity, replaced.Status().Identity)
	assert.Equal(t, int64(1), queryNumber(t, connect(t, replaced, "app"), "SELECT sum(v) FROM t"))

	mustExec(t, connect(t, successor, "app"), "INSERT INTO t VALUES (10)")
	require.NoError(t, openAdmin(t, replaced).Attach(ctx, "db0", 2, successor.Addr()))
	waitReplicated(t, adminSuccessor, openAdmin(t, replaced))
	assert.Equal(t, int64(11), queryNumber(t, connect(t, replaced, "app"), "SELECT sum(v) FROM t"))
	eventually(t, "recovery", func() bool { return system.lastAnnouncement().Recovery })
}

// Guards against a frozen member that responds or runs statements, and against requests that are lost by a freeze.
func TestFreeze(t *testing.T) {
	t.Parallel()

	system := &announceHandler{}
	server := httptest.NewServer(system)
	t.Cleanup(server.Close)

	m := startMember(t, standin.Options{
		Name: "db0", Primary: true, AnnounceAddresses: []string{server.URL}, AnnouncePeriod: 5 * time.Millisecond,
	})
	conn := connect(t, m, "app")
	mustExec(t, conn, "CREATE TABLE t (v int)")
	m.Freeze()

	ctx, cancel := context.WithTimeout(testContext(t), noAnswerPeriod)
	defer cancel()

	_, err := pgx.Connect(ctx, connString(m, "app"))
	require.ErrorIs(t, err, context.DeadlineExceeded)

	done := make(chan error, 1)

	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO t VALUES (1)")
		done <- err
	}()

	select {
	case <-done:
		t.Fatal("a frozen member answered")
	case <-time.After(noAnswerPeriod):
	}

	m.Thaw()
	require.NoError(t, <-done)
	assert.Equal(t, int64(1), queryNumber(t, connect(t, m, "app"), "SELECT count(*) FROM t"))
}

// Guards against a partition that affects other peers, breaks connections, or loses traffic that it must only stall.
func TestPartition(t *testing.T) {
	t.Parallel()

	members := startGroup(t, 1)
	primary, replica := openAdmin(t, members[0]), openAdmin(t, members[1])
	conn := connect(t, members[0], "app")

	mustExec(t, conn, "CREATE TABLE t (v int)")
	waitReplicated(t, primary, replica)

	// The primary can't send to its replica; proxies can reach both.
	members[0].Cut("ag_", standin.Out)
	mustExec(t, conn, "INSERT INTO t VALUES (1)")

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
		case <-time.After(noAnswerPeriod):
		}

		members[0].Heal()
		require.NoError(t, <-done)
	}

	assert.Equal(t, int64(4), queryNumber(t, conn, "SELECT count(*) FROM t"))
}

// Guards against lost connections that recover or end visibly, and against sessions of lost connections that can't be
// terminated.
func TestSilentLoss(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Name: "db0", Primary: true, Connections: 3})
	conns := []*pgx.Conn{connect(t, m, "ag/p1"), connect(t, m, "ag/p1")}
	assert.Equal(t, 2, m.LoseConnections())

	for _, conn := range conns {
		requireSilent(t, conn)
	}

	a := openAdmin(t, m)
	_, err := pgx.Connect(testContext(t), connString(m, "ag/p2"))
	assert.Equal(t, "53300", sqlState(err), "the server does not know that the connections are lost")

	require.NoError(t, a.Terminate(testContext(t), "ag/p1"))
	eventually(t, "the end of the sessions", func() bool {
		counts, err := a.Connections(testContext(t))
		require.NoError(t, err)

		return counts["ag/p1"] == 0
	})

	mustExec(t, connect(t, m, "ag/p2"), "SELECT 1")
}

// Guards against an unreachable client whose open transaction blocks the writes of all others.
func TestUnreachableWriterIsEnded(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Name: "db0", Primary: true})
	conn := connect(t, m, "app")
	mustExec(t, conn, "CREATE TABLE t (v int)")

	for _, loss := range []func(){func() { m.LoseConnections() }, func() { m.Cut("ag/p1", standin.In) }} {
		mustExec(t, connect(t, m, "ag/p1"), "BEGIN; INSERT INTO t VALUES (1)", pgx.QueryExecModeSimpleProtocol)
		loss()
		mustExec(t, connect(t, m, "ag/p2"), "INSERT INTO t VALUES (2)")
	}

	assert.Equal(t, int64(2), queryNumber(t, connect(t, m, "app"), "SELECT count(*) FROM t"))
}

// Guards against a planned switchover in which the old primary accepts new write transactions, or aborts open ones.
func TestReadOnlyBySystemSetting(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Name: "db0", Primary: true})
	a, openTx, conn := openAdmin(t, m), connect(t, m, "app"), connect(t, m, "app")

	mustExec(t, conn, "CREATE TABLE t (v int)")
	mustExec(t, openTx, "BEGIN; INSERT INTO t VALUES (1)", pgx.QueryExecModeSimpleProtocol)
	require.NoError(t, a.SetReadOnly(testContext(t), true))

	_, err := conn.Exec(testContext(t), "INSERT INTO t VALUES (2)")
	assert.Equal(t, "25006", sqlState(err))
	mustExec(t, openTx, "COMMIT")
	require.NoError(t, a.SetReadOnly(testContext(t), false))
	mustExec(t, conn, "INSERT INTO t VALUES (3)")
	assert.Equal(t, int64(2), queryNumber(t, conn, "SELECT count(*) FROM t"))
}

// Guards against fault requests over HTTP that have no effect or are not validated.
func TestFaultInterface(t *testing.T) {
	t.Parallel()

	listener := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(listener.URL, "http://")
	listener.Close()

	m := startMember(t, standin.Options{Name: "db0", Primary: true, FaultAddress: address})

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
