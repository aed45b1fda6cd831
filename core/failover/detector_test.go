package failover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/failover"
)

//nolint:gochecknoglobals // Constant.
var thresholds = failover.Thresholds{Failures: 3, FailureSpacing: 500 * time.Millisecond, SlowAfter: 400 * time.Millisecond}

// Guards against a lost connection, a slow server or a short interruption that is taken for a dead server, and against
// a dead server that is not detected.
func TestDetector(t *testing.T) {
	t.Parallel()

	type step struct {
		after   time.Duration
		took    time.Duration
		fresh   bool
		outcome failover.Outcome
		want    failover.State
	}

	const second = time.Second

	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"lost connections", []step{
			{0, second, false, failover.TimedOut, failover.Unsure},
			{second, 0, true, failover.Answered, failover.Healthy},
			{second, second, false, failover.TimedOut, failover.Unsure},
			{second, second, false, failover.TimedOut, failover.Unsure},
			{second, second, false, failover.TimedOut, failover.Unsure},
			{second, second, false, failover.TimedOut, failover.Unsure},
		}},
		{"slow server", []step{
			{0, 900 * time.Millisecond, true, failover.Answered, failover.Slow},
			{second, 900 * time.Millisecond, false, failover.Answered, failover.Slow},
			{second, 900 * time.Millisecond, false, failover.Answered, failover.Slow},
			{second, 10 * time.Millisecond, false, failover.Answered, failover.Healthy},
		}},
		{"short interruption", []step{
			{0, 0, true, failover.Refused, failover.Unsure},
			{time.Millisecond, 0, true, failover.Refused, failover.Unsure},
			{time.Millisecond, 0, true, failover.Refused, failover.Unsure},
			{time.Millisecond, 0, true, failover.Refused, failover.Unsure},
			{499 * time.Millisecond, 0, true, failover.Answered, failover.Healthy},
		}},
		{"dead server", []step{
			{0, 0, true, failover.Refused, failover.Unsure},
			{500 * time.Millisecond, 0, true, failover.Refused, failover.Unsure},
			{500 * time.Millisecond, 0, true, failover.Refused, failover.Dead},
			{500 * time.Millisecond, 0, true, failover.Answered, failover.Healthy},
		}},
		{"frozen server", []step{
			{0, second, false, failover.TimedOut, failover.Unsure},
			{second, second, true, failover.TimedOut, failover.Unsure},
			{second, second, true, failover.TimedOut, failover.Unsure},
			{second, second, true, failover.TimedOut, failover.Dead},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			detector := failover.NewDetector(thresholds)
			now := time.Unix(50, 0)

			for i, step := range test.steps {
				now = now.Add(step.after)
				got := detector.Observe(failover.Query{
					StartedAt: now, Duration: step.took, NewConnection: step.fresh, Outcome: step.outcome,
				})
				assert.Equal(t, step.want, got, "step %d: %s", i, got)
				assert.Equal(t, got, detector.State())
			}
		})
	}
}

// Compares the detector with a reference version that scans all queries since the last answer.
func TestDetectorMatchesNaive(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		detector := failover.NewDetector(thresholds)
		now := time.Unix(50, 0)

		var since []failover.Query

		for range rapid.IntRange(1, 50).Draw(t, "queries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "millis")) * time.Millisecond)
			query := failover.Query{
				StartedAt: now, Duration: time.Duration(rapid.IntRange(0, 1000).Draw(t, "took")) * time.Millisecond,
				NewConnection: rapid.Bool().Draw(t, "fresh"),
				Outcome: rapid.SampledFrom([]failover.Outcome{
					failover.Answered, failover.Refused, failover.TimedOut, failover.Refused, failover.TimedOut,
				}).Draw(t, "outcome"),
			}

			want := failover.Unsure
			if query.Outcome == failover.Answered {
				since = nil

				want = failover.Healthy
				if query.Duration > thresholds.SlowAfter {
					want = failover.Slow
				}
			} else {
				since = append(since, query)
				if countSpaced(since) >= thresholds.Failures {
					want = failover.Dead
				}
			}

			require.Equal(t, want, detector.Observe(query))
		}
	})
}

// countSpaced counts the failures on new connections, except those that started too soon after a counted one.
func countSpaced(queries []failover.Query) int {
	count := 0

	var last time.Time

	for _, query := range queries {
		if query.NewConnection && (count == 0 || !query.StartedAt.Before(last.Add(thresholds.FailureSpacing))) {
			count++
			last = query.StartedAt
		}
	}

	return count
}

// Guards against a change of the configuration that applies only to servers discovered later.
func TestDetectorTakesNewThresholds(t *testing.T) {
	t.Parallel()

	detector := failover.NewDetector(thresholds)
	failed := failover.Query{StartedAt: time.Now(), Duration: time.Second, NewConnection: true, Outcome: failover.TimedOut}
	require.Equal(t, failover.Unsure, detector.Observe(failed))

	changed := thresholds
	changed.Failures, changed.FailureSpacing = 2, 100*time.Millisecond
	detector.SetThresholds(changed)

	failed.StartedAt = failed.StartedAt.Add(changed.FailureSpacing)
	assert.Equal(t, failover.Dead, detector.Observe(failed))
}
