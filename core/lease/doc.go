// Package lease manages the leases that the leader of control in a managed deployment grants to proxies, and that allow
// them to read from a primary.
//
// A lease lets a proxy read from the primary that the leader names. Before the leader has a primary replaced, each
// proxy must have applied a view that no longer names it, or its lease must have expired. PendingHolders returns the
// proxies for which the leader still has to wait.
//
// The holder counts its lease from the time at which it sent the request, the grantor from the time at which it
// answered, so that a lease ends at its holder first. A new leader doesn't know the leases granted by the previous one
// and waits for a whole lease duration.
//
// # Usage
//
//	table := lease.New(leaderSince, duration)
//	table.Grant(now, lease.Holder{Name: "proxy1", Instance: 7}, version)
//	if waiting := table.PendingHolders(now, func(string) uint64 { return fenced }); len(waiting) > 0 {
//		return // Retry later.
//	}
package lease
