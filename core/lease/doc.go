// Package lease keeps the leases that the leader of control in a managed deployment grants to proxies, by which they
// read from a primary.
//
// A lease lets a proxy read from the primary that the leader names. Before the leader has a primary replaced, each
// proxy must have applied a view that no longer names it, or its lease must have run out. Pending tells for whom the
// leader still has to wait.
//
// The holder counts its lease from the moment at which it asked, the grantor from the moment at which it answered, so
// that a lease ends at its holder first. A new leader doesn't know the leases of the last one and waits out a whole
// duration.
//
// # Usage
//
//	table := lease.New(leading, duration)
//	table.Grant(now, lease.Holder{Name: "proxy1", Instance: 7}, version)
//	if waiting := table.Pending(now, func(string) uint64 { return fenced }); len(waiting) > 0 {
//		return // Ask again later.
//	}
package lease
