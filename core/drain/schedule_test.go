package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"almondgrade/core/drain"
)

// Guards against a stop that ends with work left before its time is over, and against phases that begin late.
func TestPhases(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name     string
		grace    time.Duration
		elapsed  time.Duration
		workLeft int
		want     drain.Phase
	}{
		{"callers may still come", 6 * time.Second, 2299 * time.Millisecond, 0, drain.Serving},
		{"nothing is left", 6 * time.Second, 2300 * time.Millisecond, 0, drain.Ended},
		{"a session is left", 6 * time.Second, 2300 * time.Millisecond, 1, drain.Closing},
		{"a transaction is left", 6 * time.Second, 3 * time.Second, 1, drain.Refusing},
		{"a long statement is left", 6 * time.Second, 5099 * time.Millisecond, 1, drain.Refusing},
		{"a longer statement is left", 6 * time.Second, 5100 * time.Millisecond, 1, drain.Answering},
		{"an answer can't be sent", 6 * time.Second, 5400 * time.Millisecond, 1, drain.Ended},
		{"short grace period", time.Second, 400 * time.Millisecond, 1, drain.Closing},
		{"short grace period, answering", time.Second, 860 * time.Millisecond, 1, drain.Answering},
		{"no grace period", 0, 0, 1, drain.Ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, c.want, drain.NewSchedule(c.grace, 2300*time.Millisecond).Phase(c.elapsed, c.workLeft))
		})
	}
}

// Guards against a stop that accepts more again, or that is still going on when the process is killed.
func TestPhasesFollowEachOther(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "grace"))
		schedule := drain.NewSchedule(grace, time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "balancerDelay")))
		last := drain.Serving

		for elapsed := time.Duration(0); elapsed <= grace; elapsed += max(1, grace/200) {
			phase := schedule.Phase(elapsed, 1)
			assert.GreaterOrEqual(t, phase, last)
			last = phase
		}

		assert.Equal(t, drain.Ended, schedule.Phase(grace, 1))
	})
}
