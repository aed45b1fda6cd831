// Package quota limits the operations of customers, counted over all proxies.
//
// It is designed for about 80 customers with limits from 5 to 360 operations per second, whose callers are spread over
// 60 to 300 proxies, while proxies are lost, frozen, restarted, added or cut off from control. In every sliding window,
// whatever happens, the operations of a customer over all proxies number at most
//
//	(rate x window + burst) x (1 + overage) + slack
//
// The proxies on a replicated list count for all others. For each customer they have an order, and the first two or three
// of it grant parts of the limit (Share) that add up to less than the bound. A proxy counts only under a lease from
// control. While a former list is in force as well, it grants the lower of its parts under both, so that parts never add
// up to more than those of one list. The other proxies ask for units and keep what they get for a moment (Store).
//
// The bound holds for these reasons:
//   - Before a window, the buckets of all leased proxies together hold at most the capacities of one list, and during the
//     window they gain at most the rates of one list. A proxy whose lease has lapsed before a list changed, or that was
//     restarted, begins with empty buckets, because another proxy may have used its part meanwhile.
//   - Units that wait in a Store were granted at most Bounds.Validity before the window, which half of the overage covers.
//
// # Usage
//
//	counter := quota.NewCounter("proxy1", bounds)
//	counter.SetLimits(now, limits)
//	counter.SetLists(now, lists)
//	counter.ExtendLease(until)
//	taken := counter.Take(now, "customer", 1)
//
//	store := quota.NewStore(bounds)
//	unit, found := store.Use(now, "customer") // Otherwise the proxies of quota.Ranked are asked.
package quota
