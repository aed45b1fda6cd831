package systemtest_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a proxy that works only with an adapted driver. Two connections, each to another proxy, take turns with
// prepared statements, an error inside a transaction, a batch, and COPY in both directions.
func TestUnmodifiedDriver(t *testing.T) {
	d := deploy(t, deployOptions{controls: 1, proxies: 2, members: 3})
	ctx := context.Background()
	first, second := d.connect(d.proxies[0], ""), d.connect(d.proxies[1], "")

	_, err := first.Exec(ctx, "CREATE TABLE marks (id integer PRIMARY KEY, note text)")
	require.NoError(t, err)

	for i, conn := range []*pgx.Conn{first, second, first, second} {
		name := fmt.Sprintf("insert%d", i)
		_, err := conn.Prepare(ctx, name, "INSERT INTO marks VALUES ($1, $2)")
		require.NoError(t, err)
		_, err = conn.Exec(ctx, name, i, "prepared")
		require.NoError(t, err)

		runFailingTransaction(t, conn, i)
		sendBatch(t, conn, i)
		copyInAndOut(t, conn, i)
	}

	for _, conn := range []*pgx.Conn{first, second} {
		var count int

		require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM marks").Scan(&count))
		// Each round inserts one row by a prepared statement, two by the batch and three by COPY.
		assert.Equal(t, 4*6, count)
	}
}

func runFailingTransaction(t *testing.T, conn *pgx.Conn, i int) {
	t.Helper()

	ctx := context.Background()
	transaction, err := conn.Begin(ctx)
	require.NoError(t, err)

	_, err = transaction.Exec(ctx, "INSERT INTO marks VALUES ($1, 'rolled back')", 1000+i)
	require.NoError(t, err)

	var failure *pgconn.PgError

	_, err = transaction.Exec(ctx, "INSERT INTO marks VALUES ($1, 'duplicate')", i)
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, "23505", failure.Code)

	_, err = transaction.Exec(ctx, "SELECT 1")
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, "25P02", failure.Code)
	require.NoError(t, transaction.Rollback(ctx))
}

func sendBatch(t *testing.T, conn *pgx.Conn, i int) {
	t.Helper()

	requests := &pgx.Batch{}
	requests.Queue("INSERT INTO marks VALUES ($1, 'batch')", 100+2*i)
	requests.Queue("INSERT INTO marks VALUES ($1, 'batch')", 101+2*i)
	require.NoError(t, conn.SendBatch(context.Background(), requests).Close())
}

func copyInAndOut(t *testing.T, conn *pgx.Conn, i int) {
	t.Helper()

	ctx := context.Background()

	var rows bytes.Buffer
	for j := range 3 {
		_, _ = fmt.Fprintf(&rows, "%d\tcopied\n", 200+3*i+j)
	}

	sent := rows.String()
	tag, err := conn.PgConn().CopyFrom(ctx, &rows, "COPY marks FROM STDIN")
	require.NoError(t, err)
	assert.EqualValues(t, 3, tag.RowsAffected())

	var received bytes.Buffer

	query := fmt.Sprintf("COPY (SELECT id, note FROM marks WHERE id >= %d AND id < %d ORDER BY id) TO STDOUT", 200+3*i, 203+3*i)
	_, err = conn.PgConn().CopyTo(ctx, &received, query)
	require.NoError(t, err)
	assert.Equal(t, sent, received.String())
}
