package systemtest_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller that writes through one proxy and does not see its write through another, when replicas lag.
// The caller uses no feature of almondgrade: it holds one plain connection to each proxy and alternates between them.
func TestReadThroughOtherProxySeesOwnWrite(t *testing.T) {
	t.Parallel()

	d := deploy(t, deployOptions{controls: 1, proxies: 2, members: 3, memberArgs: []string{"--lag", "300ms"}})
	writer, reader := d.connect(d.proxies[0], ""), d.connect(d.proxies[1], "")
	ctx := context.Background()

	_, err := writer.Exec(ctx, "CREATE TABLE marks (id integer PRIMARY KEY, mark integer)")
	require.NoError(t, err)

	checked := 0

	for i := range 30 {
		_, err := writer.Exec(ctx, "INSERT INTO marks VALUES ($1, $2)", i, i*i)
		require.NoError(t, err)

		var mark int

		require.NoError(t, reader.QueryRow(ctx, fmt.Sprintf("SELECT mark FROM marks WHERE id = %d", i)).Scan(&mark))
		assert.Equal(t, i*i, mark)
		checked++

		writer, reader = reader, writer
	}

	assert.Positive(t, checked)
}
