package lease

import (
	"slices"
	"time"
)

// clockDriftDivisor is the part of a duration by which the clocks of grantor and holder may differ, as a divisor.
const clockDriftDivisor = 50

// Holder is one life of a proxy.
type Holder struct {
	Name     string
	Instance uint64
}

type grant struct {
	instance uint64
	until    time.Time
	version  uint64
}

// Table holds the leases of one leadership. It is not safe for concurrent use.
type Table struct {
	duration time.Duration
	// inheritedUntil is the time until which leases of an earlier leader may last.
	inheritedUntil time.Time
	grants         map[string]grant
}

// New returns the table of a leadership that began at a time.
func New(began time.Time, duration time.Duration) *Table {
	duration += duration / clockDriftDivisor

	return &Table{duration: duration, inheritedUntil: began.Add(duration), grants: make(map[string]grant)}
}

// Grant gives or renews a lease. Version is the view that the holder has applied. A new life of a proxy ends the lease
// of the one before, whose process is gone.
func (t *Table) Grant(now time.Time, to Holder, version uint64) {
	present := t.grants[to.Name]
	if present.instance == to.Instance {
		version = max(version, present.version)
	}

	t.grants[to.Name] = grant{instance: to.Instance, until: now.Add(t.duration), version: version}
}

// Release ends the lease of a holder that stops.
func (t *Table) Release(holder Holder) {
	if t.grants[holder.Name].instance == holder.Instance {
		delete(t.grants, holder.Name)
	}
}

// PendingHolders returns the names of the proxies that may still act on a view before the version that is needed of them. The
// empty name stands for proxies that hold a lease of an earlier leader.
func (t *Table) PendingHolders(now time.Time, needed func(name string) uint64) []string {
	var pending []string

	if now.Before(t.inheritedUntil) {
		pending = append(pending, "")
	}

	for name, given := range t.grants {
		if given.version < needed(name) && now.Before(given.until) {
			pending = append(pending, name)
		}
	}

	slices.Sort(pending)

	return pending
}

// ActiveLeases returns the number of leases that have not run out.
func (t *Table) ActiveLeases(now time.Time) int {
	count := 0

	for name, given := range t.grants {
		if now.Before(given.until) {
			count++
		} else if now.Sub(given.until) > t.duration {
			delete(t.grants, name)
		}
	}

	return count
}
