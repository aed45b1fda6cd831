package lease

import (
	"slices"
	"time"
)

// clockDriftDivisor bounds the clock drift between grantor and holder: 1/clockDriftDivisor of a duration.
const clockDriftDivisor = 50

// Holder is one process instance of a proxy.
type Holder struct {
	Name     string
	Instance uint64
}

type grant struct {
	instance uint64
	until    time.Time
	version  uint64
}

// Table holds the leases granted by one leader. It is not safe for concurrent use.
type Table struct {
	duration time.Duration
	// inheritedUntil is the time until which leases granted by an earlier leader may last.
	inheritedUntil time.Time
	grants         map[string]grant
}

// New returns the table of a leader whose leadership began at the given time.
func New(leaderSince time.Time, duration time.Duration) *Table {
	duration += duration / clockDriftDivisor

	return &Table{duration: duration, inheritedUntil: leaderSince.Add(duration), grants: make(map[string]grant)}
}

// Grant grants or renews a lease. The version is that of the view that the holder has applied. A new instance of a
// proxy replaces the lease of the previous one, whose process has ended.
func (t *Table) Grant(now time.Time, to Holder, version uint64) {
	current := t.grants[to.Name]
	if current.instance == to.Instance {
		version = max(version, current.version)
	}

	t.grants[to.Name] = grant{instance: to.Instance, until: now.Add(t.duration), version: version}
}

// Release ends the lease of a holder that stops.
func (t *Table) Release(holder Holder) {
	if t.grants[holder.Name].instance == holder.Instance {
		delete(t.grants, holder.Name)
	}
}

// PendingHolders returns the names of the proxies that hold a lease and may still act on a view older than the version
// required of them. The empty name stands for proxies with a lease from an earlier leader.
func (t *Table) PendingHolders(now time.Time, needed func(name string) uint64) []string {
	var pending []string

	if now.Before(t.inheritedUntil) {
		pending = append(pending, "")
	}

	for name, granted := range t.grants {
		if granted.version < needed(name) && now.Before(granted.until) {
			pending = append(pending, name)
		}
	}

	slices.Sort(pending)

	return pending
}

// ActiveLeases returns the number of leases that have not expired.
func (t *Table) ActiveLeases(now time.Time) int {
	count := 0

	for name, granted := range t.grants {
		if now.Before(granted.until) {
			count++
		} else if now.Sub(granted.until) > t.duration {
			delete(t.grants, name)
		}
	}

	return count
}
