package consensus_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a restart that returns an older state than was acknowledged.
func TestRestartKeepsLatestState(t *testing.T) {
	t.Parallel()

	c := newCluster(t, "a", "b", "c")
	c.every = 50
	c.start("a", "b", "c")

	const writes = 300

	for value := uint64(1); value <= writes; value++ {
		c.propose(value)
	}

	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
	}

	c.start("a", "b", "c")

	leader := c.processes[c.leader()]
	_, err := leader.group.Confirm(context.Background())
	require.NoError(t, err)

	value, count := leader.machine.read()
	require.Equal(t, uint64(writes), value)
	require.Equal(t, uint64(writes), count)
}
