package systemtest_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a session that writes through one proxy and does not see its record through another, with replicas
// that lag far behind. The caller knows nothing of almondgrade and holds one connection to each proxy.
func TestWriteHereReadThere(t *testing.T) {
	t.Parallel()

	d := deploy(t, shape{controls: 1, proxies: 2, members: 3, memberArgs: []string{"--lag", "300ms"}})
	here, there := d.connect(d.proxies[0], ""), d.connect(d.proxies[1], "")
	ctx := context.Background()

	_, err := here.Exec(ctx, "CREATE TABLE marks (id integer PRIMARY KEY, mark integer)")
	require.NoError(t, err)

	checked := 0

	for i := range 30 {
		_, err := here.Exec(ctx, "INSERT INTO marks VALUES ($1, $2)", i, i*i)
		require.NoError(t, err)

		var mark int

		require.NoError(t, there.QueryRow(ctx, fmt.Sprintf("SELECT mark FROM marks WHERE id = %d", i)).Scan(&mark))
		assert.Equal(t, i*i, mark)
		checked++

		here, there = there, here
	}

	assert.Positive(t, checked)
}
