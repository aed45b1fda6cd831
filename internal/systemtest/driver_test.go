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

// Guards against a driver that has to know of the proxy: prepared statements, an error inside a transaction, a batch and
// COPY in both directions go through two proxies in turn, each time to a connection of the driver's own.
func TestUnmodifiedDriver(t *testing.T) {
	d := deploy(t, shape{controls: 1, proxies: 2, members: 3})
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

		transactionWithError(t, conn, i)
		batch(t, conn, i)
		copyInAndOut(t, conn, i)
	}

	for _, conn := range []*pgx.Conn{first, second} {
		var count int

		require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM marks").Scan(&count))
		// Each round leaves one prepared row, two of the batch and three of COPY.
		assert.Equal(t, 4*6, count)
	}
}

func transactionWithError(t *testing.T, conn *pgx.Conn, i int) {
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

func batch(t *testing.T, conn *pgx.Conn, i int) {
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
