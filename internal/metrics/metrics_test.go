package metrics

import (
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
)

// Guards against a result code that has no counter.
func TestEveryCodeHasCounter(t *testing.T) {
	counts := New()

	for _, row := range result.Table() {
		counts.Count(row.Code)

		counter, isCounter := counts.Registry.Get(row.Name).(gometrics.Counter)
		require.True(t, isCounter, row.Name)
		require.EqualValues(t, 1, counter.Count(), row.Name)
	}

	counts.Count(result.OK)
	require.Zero(t, counts.Counter("unknown").Count())
	counts.Count(result.Code(9999))
	require.EqualValues(t, 1, counts.Counter("unknown").Count())
}
