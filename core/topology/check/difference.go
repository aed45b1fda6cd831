package check

import (
	"fmt"
	"strings"

	"almondgrade/core/topology"
)

// Differences returns what changes when a configuration replaces the one in force. A number that is not higher is an
// error, because proxies adopt only configurations with a higher number than theirs. The same number with the same
// content is only a warning, because sending it again is harmless.
func Differences(inForce, proposed *topology.Configuration) []Finding {
	var found findings

	found.comparePools(inForce.Pools, proposed.Pools)
	found.compareGroups(inForce.Groups, proposed.Groups)
	found.compareCustomers(inForce.Customers, proposed.Customers)
	found.changed(KindConfiguration, "", []field{
		{"txIdleMs", durationText(inForce.Limits.IdleTransactionTimeout), durationText(proposed.Limits.IdleTransactionTimeout)},
		{"maxBodyBytes", fmt.Sprint(inForce.Limits.MaxMessageBytes), fmt.Sprint(proposed.Limits.MaxMessageBytes)},
	})

	switch {
	case proposed.Number == inForce.Number && len(found) == 0:
		found.add(Warning, CodeNumberNotHigher, KindConfiguration, "", "the version %d is in force with the same content", proposed.Number)
	case proposed.Number <= inForce.Number:
		found.add(Error, CodeNumberNotHigher, KindConfiguration, "", "the version %d is not higher than %d, which is in force", proposed.Number, inForce.Number)
	}

	Sort(found)

	return found
}

// field is a field of an entry before and after a change.
type field struct {
	name, before, after string
}

// changed reports the fields that differ, in one finding.
func (f *findings) changed(kind Kind, name string, fields []field) {
	var parts []string

	for _, field := range fields {
		if field.before != field.after {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", field.name, field.before, field.after))
		}
	}

	if len(parts) > 0 {
		f.add(Difference, CodeChanged, kind, name, "%s", strings.Join(parts, ", "))
	}
}

// compareEntries reports entries that were added or removed, and calls compare for those in both lists. Entries with
// the same key are the same entry.
func compareEntries[E any, K comparable](f *findings, kind Kind, before, after []E, key func(*E) K, name func(*E) string, compare func(before, after *E)) {
	former := make(map[K]*E, len(before))
	for i := range before {
		former[key(&before[i])] = &before[i]
	}

	kept := make(map[K]bool, len(after))

	for i := range after {
		entry := &after[i]
		kept[key(entry)] = true

		if last := former[key(entry)]; last != nil {
			compare(last, entry)
		} else {
			f.add(Difference, CodeAdded, kind, name(entry), "added")
		}
	}

	for i := range before {
		if !kept[key(&before[i])] {
			f.add(Difference, CodeRemoved, kind, name(&before[i]), "removed")
		}
	}
}

func (f *findings) comparePools(before, after []topology.Pool) {
	key := func(pool *topology.Pool) [2]string { return [2]string{pool.Database, pool.Path} }
	name := func(pool *topology.Pool) string { return pool.Name }

	compareEntries(f, KindPool, before, after, key, name, func(a, b *topology.Pool) {
		f.changed(KindPool, b.Name, []field{
			{"name", a.Name, b.Name},
			{"group", a.Group, b.Group},
			{"freshness", a.Freshness.String(), b.Freshness.String()},
			{"maximum age", durationText(a.MaxAge), durationText(b.MaxAge)},
			{"timeout", durationText(a.Timeout), durationText(b.Timeout)},
			{"target latency", durationText(a.TargetLatency), durationText(b.TargetLatency)},
			{"priority", fmt.Sprint(a.Priority), fmt.Sprint(b.Priority)},
			{"allowAnonymous", fmt.Sprint(a.AllowAnonymous), fmt.Sprint(b.AllowAnonymous)},
		})
	})
}

func (f *findings) compareGroups(before, after []topology.GroupSettings) {
	name := func(group *topology.GroupSettings) string { return group.Name }

	compareEntries(f, KindGroup, before, after, name, name, func(a, b *topology.GroupSettings) {
		f.changed(KindGroup, b.Name, []field{
			{"maxConns", fmt.Sprint(a.MaxConnections), fmt.Sprint(b.MaxConnections)},
			{"syncReplicas", fmt.Sprint(a.SyncReplicas), fmt.Sprint(b.SyncReplicas)},
		})
	})
}

func (f *findings) compareCustomers(before, after *topology.CustomerList) {
	var former, next []topology.Customer

	if before != nil {
		former = before.Entries
	}

	if after != nil {
		next = after.Entries
	}

	switch {
	case before == nil && after != nil:
		f.add(Difference, CodeCustomersSwitched, KindConfiguration, "", "callers are told apart by customer; pools without allowAnonymous need a key")
	case before != nil && after == nil:
		f.add(Difference, CodeCustomersSwitched, KindConfiguration, "", "customers are no longer told apart; every caller is served")
	}

	name := func(customer *topology.Customer) string { return customer.Name }

	compareEntries(f, KindCustomer, former, next, name, name, func(a, b *topology.Customer) {
		f.changed(KindCustomer, b.Name, []field{
			{"priority", fmt.Sprint(a.Priority), fmt.Sprint(b.Priority)},
			{"limit", "(" + limitText(a) + ")", "(" + limitText(b) + ")"},
		})
	})

	f.compareKeys(former, next)
}

// compareKeys reports for each customer how many keys are new and how many are withdrawn. Keys of added and removed
// customers count too, because a key may move between customers.
func (f *findings) compareKeys(before, after []topology.Customer) {
	formerKeys, nextKeys := keySets(before), keySets(after)

	for _, customer := range after {
		f.keysChanged(customer.Name, countMissing(nextKeys[customer.Name], formerKeys[customer.Name]),
			countMissing(formerKeys[customer.Name], nextKeys[customer.Name]))
	}

	for _, customer := range before {
		if _, kept := nextKeys[customer.Name]; !kept {
			f.keysChanged(customer.Name, 0, len(formerKeys[customer.Name]))
		}
	}
}

func (f *findings) keysChanged(customer string, added, withdrawn int) {
	if added > 0 || withdrawn > 0 {
		f.add(Difference, CodeKeysChanged, KindCustomer, customer, "keys added: %d, withdrawn: %d", added, withdrawn)
	}
}

type keySet map[topology.KeyID]bool

func keySets(customers []topology.Customer) map[string]keySet {
	sets := make(map[string]keySet, len(customers))

	for _, customer := range customers {
		set := make(keySet, len(customer.Keys))
		for _, key := range customer.Keys {
			set[key] = true
		}

		sets[customer.Name] = set
	}

	return sets
}

// countMissing returns how many keys of a set another one lacks.
func countMissing(set, other keySet) int {
	count := 0

	for key := range set {
		if !other[key] {
			count++
		}
	}

	return count
}
