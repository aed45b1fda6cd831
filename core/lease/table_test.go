package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondgrade/core/lease"
)

// Guards against a promotion while a proxy may still read from the former primary: one that has not applied the view,
// one that is frozen, and one that holds a lease from an earlier leader.
func TestPendingHolders(t *testing.T) {
	t.Parallel()

	const duration = time.Second

	leaderSince := time.Unix(100, 0)
	a, b := lease.Holder{Name: "a", Instance: 1}, lease.Holder{Name: "b", Instance: 1}

	for _, test := range []struct {
		name  string
		after time.Duration
		steps func(*lease.Table, time.Time)
		want  []string
	}{
		{"earlier leader", duration, func(*lease.Table, time.Time) {}, []string{""}},
		{"nobody", 2 * duration, func(*lease.Table, time.Time) {}, nil},
		{"old view", 2 * duration, func(t *lease.Table, now time.Time) { t.Grant(now, a, 4); t.Grant(now, b, 5) }, []string{"a"}},
		{"all applied", 2 * duration, func(t *lease.Table, now time.Time) { t.Grant(now, a, 6); t.Grant(now, b, 5) }, nil},
		{"frozen", 2 * duration, func(t *lease.Table, now time.Time) { t.Grant(now.Add(-duration), a, 4) }, []string{"a"}},
		{"expired lease", 2 * duration, func(t *lease.Table, now time.Time) { t.Grant(now.Add(-2*duration), a, 4) }, nil},
		{"restarted", 2 * duration, func(t *lease.Table, now time.Time) {
			t.Grant(now, a, 4)
			t.Grant(now, lease.Holder{Name: "a", Instance: 2}, 5)
		}, nil},
		{"late request of an applied view", 2 * duration, func(t *lease.Table, now time.Time) {
			t.Grant(now, a, 5)
			t.Grant(now, a, 4)
		}, nil},
		{"stopped", 2 * duration, func(t *lease.Table, now time.Time) { t.Grant(now, a, 4); t.Release(a) }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			table := lease.New(leaderSince, duration)
			now := leaderSince.Add(test.after)
			test.steps(table, now)
			assert.Equal(t, test.want, table.PendingHolders(now, func(string) uint64 { return 5 }))
		})
	}
}
