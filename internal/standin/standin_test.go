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

const patience = 30 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)

	return ctx
}

func start(t *testing.T, options standin.Options) *standin.Member {
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

	conn, err := pgx.Connect(testContext(t), url(m, application))
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		_ = conn.Close(ctx)
	})

	return conn
}

func url(m *standin.Member, application string) string {
	return fmt.Sprintf("postgres://app@%s/registry1?sslmode=disable&application_name=%s", m.Addr(), application)
}

func admin(t *testing.T, m *standin.Member) *backend.Admin {
	t.Helper()

	a, err := backend.OpenAdmin(testContext(t), m.Addr(), backend.Login{User: "admin", Database: "registry1"}, "ag/test")
	require.NoError(t, err)
	t.Cleanup(a.Close)

	return a
}

// group starts a primary and replicas that are attached to it in term 1.
func group(t *testing.T, replicas int) []*standin.Member {
	t.Helper()

	members := []*standin.Member{start(t, standin.Options{Name: "db0", Primary: true})}
	require.NoError(t, admin(t, members[0]).SetTerm(testContext(t), "db0", 1))

	for i := range replicas {
		name := fmt.Sprintf("db%d", i+1)
		m := start(t, standin.Options{Name: name})
		require.NoError(t, admin(t, m).Attach(testContext(t), name, 1, members[0].Addr()))
		members = append(members, m)
	}

	return members
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()

	_, err := conn.Exec(testContext(t), sql, args...)
	require.NoError(t, err, sql)
}

func number(t *testing.T, conn *pgx.Conn, sql string, args ...any) int64 {
	t.Helper()

	var n int64
	require.NoError(t, conn.QueryRow(testContext(t), sql, args...).Scan(&n), sql)

	return n
}

// eventually polls a condition; its verdict does not depend on how long it takes.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, 2*time.Millisecond, what)
}

// observe returns what a member says of itself.
func observe(t *testing.T, a *backend.Admin) backend.Observation {
	t.Helper()

	seen, err := a.Observe(testContext(t))
	require.NoError(t, err)

	return seen
}

// replicated waits until a replica's readers see all of the primary's log.
func replicated(t *testing.T, primary, replica *backend.Admin) {
	t.Helper()

	want := observe(t, primary).InsertLSN
	eventually(t, "replay", func() bool { return observe(t, replica).ReplayedLSN >= want })
}

func stateOf(err error) string {
	var failed *pgconn.PgError
	if errors.As(err, &failed) {
		return failed.Code
	}

	return ""
}

// Guards against a replica that misses writes, accepts writes, or reports positions that its data don't have.
func TestReplicaSeesWritesAndRefusesThem(t *testing.T) {
	t.Parallel()

	members := group(t, 1)
	primary, replica := connect(t, members[0], "app"), connect(t, members[1], "app")

	exec(t, primary, "CREATE TABLE marks (id bigserial PRIMARY KEY, student text, mark int, at timestamptz)")

	for i := range 20 {
		exec(t, primary, "INSERT INTO marks (student, mark, at) VALUES ($1, $2, now())", fmt.Sprint("s", i), i)
	}

	replicated(t, admin(t, members[0]), admin(t, members[1]))
	assert.Equal(t, int64(20), number(t, replica, "SELECT count(*) FROM marks"))

	var here, there time.Time

	require.NoError(t, primary.QueryRow(testContext(t), "SELECT at FROM marks WHERE id = $1", 7).Scan(&here))
	require.NoError(t, replica.QueryRow(testContext(t), "SELECT at FROM marks WHERE id = $1", 7).Scan(&there))
	assert.Equal(t, here, there)

	_, err := replica.Exec(testContext(t), "INSERT INTO marks (student) VALUES ('x')")
	assert.Equal(t, "25006", stateOf(err))
}

// Guards against a fence that returns while the receiver still runs, and a promotion that loses received writes.
func TestFencePromoteRewind(t *testing.T) {
	t.Parallel()

	ctx := testContext(t)
	members := group(t, 2)
	admins := []*backend.Admin{admin(t, members[0]), admin(t, members[1]), admin(t, members[2])}
	conn := connect(t, members[0], "app")

	exec(t, conn, "CREATE TABLE t (v int)")
	exec(t, conn, "INSERT INTO t VALUES (1)")

	end := observe(t, admins[0]).InsertLSN

	for _, a := range admins[1:] {
		eventually(t, "receive", func() bool { return observe(t, a).ReceivedLSN == end })
	}

	eventually(t, "followers", func() bool {
		held := 0

		for _, f := range observe(t, admins[0]).Followers {
			if f.FlushedLSN >= end && f.Attachment.Term == 1 && !f.Attachment.Fenced {
				held++
			}
		}

		return held == 2
	})

	fenced := make([]position.Position, 3)

	for i := 1; i <= 2; i++ {
		var err error
		fenced[i], err = admins[i].Fence(ctx, fmt.Sprintf("db%d", i))
		require.NoError(t, err)
	}

	exec(t, conn, "INSERT INTO t VALUES (2)")
	assert.Equal(t, position.Position{Term: 1, LSN: end}, fenced[1])
	assert.Equal(t, end, observe(t, admins[1]).ReceivedLSN)

	require.NoError(t, admins[1].Promote(ctx, "db1", 2))
	require.NoError(t, admins[1].Promote(ctx, "db1", 2))
	require.NoError(t, admins[2].Attach(ctx, "db2", 2, members[1].Addr()))

	promoted := connect(t, members[1], "app")
	exec(t, promoted, "INSERT INTO t VALUES (3)")
	replicated(t, admins[1], admins[2])
	assert.Equal(t, int64(4), number(t, connect(t, members[2], "app"), "SELECT sum(v) FROM t"))
	assert.Equal(t, int64(3), number(t, conn, "SELECT sum(v) FROM t"))
}

// Guards against statements that the count leaves out or puts under another client, because the tests of leaving
// servers judge by this count.
func TestStatementsAreCountedByApplication(t *testing.T) {
	t.Parallel()

	m := start(t, standin.Options{Primary: true})
	first, second, other := connect(t, m, "ag/p1/a7/1"), connect(t, m, "ag/p1/a7/2"), connect(t, m, "ag/p1/a7/monitor")

	for _, conn := range []*pgx.Conn{first, second, other} {
		for _, sql := range []string{"BEGIN", "SELECT 1", "COMMIT", "SET work_mem = '1MB'"} {
			_, err := conn.Exec(testContext(t), sql, pgx.QueryExecModeSimpleProtocol)
			require.NoError(t, err)
		}
	}

	assert.Equal(t, map[string]uint64{"ag/p1/a7": 2, "ag/p1/a7/monitor": 1}, m.Status().Statements)
}
