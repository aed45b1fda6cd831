package standin_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/internal/standin"
	"almondgrade/io/backend"
)

const testTimeout = 30 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)

	return ctx
}

func startMember(t *testing.T, options standin.Options) *standin.Member {
	t.Helper()

	if options.ConnectCost == 0 {
		options.ConnectCost = -1
	}

	options.Group = "registry1"

	m, err := standin.New(options)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, m.Close()) })

	return m
}

func connect(t *testing.T, m *standin.Member, application string) *pgx.Conn {
	t.Helper()

	conn, err := pgx.Connect(testContext(t), connString(m, application))
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		_ = conn.Close(ctx)
	})

	return conn
}

func connString(m *standin.Member, application string) string {
	return fmt.Sprintf("postgres://app@%s/registry1?sslmode=disable&application_name=%s", m.Addr(), application)
}

func openAdmin(t *testing.T, m *standin.Member) *backend.Admin {
	t.Helper()

	a, err := backend.OpenAdmin(testContext(t), m.Addr(), backend.Login{User: "admin", Database: "registry1"}, "ag/test")
	require.NoError(t, err)
	t.Cleanup(a.Close)

	return a
}

// startGroup starts a primary and replicas that are attached to it in term 1.
func startGroup(t *testing.T, replicas int) []*standin.Member {
	t.Helper()

	members := []*standin.Member{startMember(t, standin.Options{Name: "db0", Primary: true})}
	require.NoError(t, openAdmin(t, members[0]).SetTerm(testContext(t), "db0", 1))

	for i := range replicas {
		name := fmt.Sprintf("db%d", i+1)
		m := startMember(t, standin.Options{Name: name})
		require.NoError(t, openAdmin(t, m).Attach(testContext(t), name, 1, members[0].Addr()))
		members = append(members, m)
	}

	return members
}

func mustExec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()

	_, err := conn.Exec(testContext(t), sql, args...)
	require.NoError(t, err, sql)
}

func queryNumber(t *testing.T, conn *pgx.Conn, sql string, args ...any) int64 {
	t.Helper()

	var n int64
	require.NoError(t, conn.QueryRow(testContext(t), sql, args...).Scan(&n), sql)

	return n
}

// eventually polls a condition. The timeout is generous, so that a slow machine does not fail the test.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, 2*time.Millisecond, what)
}

// observe returns the state that a member reports.
func observe(t *testing.T, a *backend.Admin) backend.Observation {
	t.Helper()

	observation, err := a.Observe(testContext(t))
	require.NoError(t, err)

	return observation
}

// waitReplicated waits until the replica has replayed the primary's log up to its current end.
func waitReplicated(t *testing.T, primary, replica *backend.Admin) {
	t.Helper()

	want := observe(t, primary).InsertLSN
	eventually(t, "replay", func() bool { return observe(t, replica).ReplayedLSN >= want })
}

func sqlState(err error) string {
	var failed *pgconn.PgError
	if errors.As(err, &failed) {
		return failed.Code
	}

	return ""
}

// Guards against a replica that misses writes, accepts writes, or reports positions that its data don't cover.
func TestReplicaSeesWritesAndRefusesThem(t *testing.T) {
	t.Parallel()

	members := startGroup(t, 1)
	primary, replica := connect(t, members[0], "app"), connect(t, members[1], "app")

	mustExec(t, primary, "CREATE TABLE marks (id bigserial PRIMARY KEY, student text, mark int, at timestamptz)")

	for i := range 20 {
		mustExec(t, primary, "INSERT INTO marks (student, mark, at) VALUES ($1, $2, now())", fmt.Sprint("s", i), i)
	}

	waitReplicated(t, openAdmin(t, members[0]), openAdmin(t, members[1]))
	assert.Equal(t, int64(20), queryNumber(t, replica, "SELECT count(*) FROM marks"))

	var primaryTime, replicaTime time.Time

	require.NoError(t, primary.QueryRow(testContext(t), "SELECT at FROM marks WHERE id = $1", 7).Scan(&primaryTime))
	require.NoError(t, replica.QueryRow(testContext(t), "SELECT at FROM marks WHERE id = $1", 7).Scan(&replicaTime))
	assert.Equal(t, primaryTime, replicaTime)

	_, err := replica.Exec(testContext(t), "INSERT INTO marks (student) VALUES ('x')")
	assert.Equal(t, "25006", sqlState(err))
}

// Guards against a fence that returns while the receiver still runs, and against a promotion that loses received
// writes.
func TestFencePromoteRewind(t *testing.T) {
	t.Parallel()

	ctx := testContext(t)
	members := startGroup(t, 2)
	admins := []*backend.Admin{openAdmin(t, members[0]), openAdmin(t, members[1]), openAdmin(t, members[2])}
	conn := connect(t, members[0], "app")

	mustExec(t, conn, "CREATE TABLE t (v int)")
	mustExec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, admins[0]).InsertLSN

	for _, a := range admins[1:] {
		eventually(t, "receive", func() bool { return observe(t, a).ReceivedLSN == end })
	}

	eventually(t, "followers", func() bool {
		caughtUp := 0

		for _, f := range observe(t, admins[0]).Followers {
			if f.FlushedLSN >= end && f.Attachment.Term == 1 && !f.Attachment.Fenced {
				caughtUp++
			}
		}

		return caughtUp == 2
	})

	fenced := make([]position.Position, 3)

	for i := 1; i <= 2; i++ {
		var err error
		fenced[i], err = admins[i].Fence(ctx, fmt.Sprintf("db%d", i))
		require.NoError(t, err)
	}

	mustExec(t, conn, "INSERT INTO t VALUES (2)")
	assert.Equal(t, position.Position{Term: 1, LSN: end}, fenced[1])
	assert.Equal(t, end, observe(t, admins[1]).ReceivedLSN)

	require.NoError(t, admins[1].Promote(ctx, "db1", 2))
	require.NoError(t, admins[1].Promote(ctx, "db1", 2))
	require.NoError(t, admins[2].Attach(ctx, "db2", 2, members[1].Addr()))

	promoted := connect(t, members[1], "app")
	mustExec(t, promoted, "INSERT INTO t VALUES (3)")
	waitReplicated(t, admins[1], admins[2])
	assert.Equal(t, int64(4), queryNumber(t, connect(t, members[2], "app"), "SELECT sum(v) FROM t"))
	assert.Equal(t, int64(3), queryNumber(t, conn, "SELECT sum(v) FROM t"))
}

// Guards against statements that are not counted or are counted for another client. The tests of leaving servers rely
// on these counts.
func TestStatementsAreCountedByApplication(t *testing.T) {
	t.Parallel()

	m := startMember(t, standin.Options{Primary: true})
	first, second, other := connect(t, m, "ag/p1/a7/1"), connect(t, m, "ag/p1/a7/2"), connect(t, m, "ag/p1/a7/monitor")

	for _, conn := range []*pgx.Conn{first, second, other} {
		for _, sql := range []string{"BEGIN", "SELECT 1", "COMMIT", "SET work_mem = '1MB'"} {
			_, err := conn.Exec(testContext(t), sql, pgx.QueryExecModeSimpleProtocol)
			require.NoError(t, err)
		}
	}

	assert.Equal(t, map[string]uint64{"ag/p1/a7": 2, "ag/p1/a7/monitor": 1}, m.Status().Statements)
}
