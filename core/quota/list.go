package quota

import (
	"cmp"
	"slices"

	"almondgrade/core/placement"
	"almondgrade/core/topology"
)

const (
	// maxRanks is the number of counting proxies that grant units to one customer.
	maxRanks = 3
	// minCounters and maxCounters bound the number of counting proxies, countersDivisor is the number of proxies for each
	// of them. With six, each of three data centres has two; with more than 48, control would renew more leases for no
	// less load at each, because a customer has three counting proxies in any case.
	minCounters     = 6
	maxCounters     = 48
	countersDivisor = 6
)

// ListSize returns the number of counting proxies for a number of proxies.
func ListSize(proxies int) int {
	return min(maxCounters, max(minCounters, proxies/countersDivisor))
}

// Ranked returns the proxies of a list that grant units to a customer, in order. They are in different data centres as far
// as the list has some.
func Ranked(customer string, list []topology.CountingProxy) []topology.CountingProxy {
	hashes := make([]uint64, len(list))
	for i, proxy := range list {
		hashes[i] = placement.RankHash(customer, proxy.Name)
	}

	ranked := make([]topology.CountingProxy, 0, maxRanks)

	for len(ranked) < min(maxRanks, len(list)) {
		best := -1

		for i, proxy := range list {
			if slices.Contains(ranked, proxy) {
				continue
			}

			if best < 0 || cmp.Or(cmp.Compare(inCentre(ranked, proxy.Centre), inCentre(ranked, list[best].Centre)),
				cmp.Compare(hashes[i], hashes[best]), cmp.Compare(proxy.Name, list[best].Name)) < 0 {
				best = i
			}
		}

		ranked = append(ranked, list[best])
	}

	return ranked
}

// ChooseList returns the next list: the proxies of the current one that are kept, and others up to the given size, evenly
// over data centres. Proxies that are present and not on the list yet replace those that aren't kept.
func ChooseList(current, present []topology.CountingProxy, size int, kept func(name string) bool) []topology.CountingProxy {
	next := slices.DeleteFunc(slices.Clone(current), func(proxy topology.CountingProxy) bool { return !kept(proxy.Name) })

	for i, proxy := range next {
		// A proxy that moved to another address stays on the list.
		if at := slices.IndexFunc(present, func(p topology.CountingProxy) bool { return p.Name == proxy.Name }); at >= 0 {
			next[i] = present[at]
		}
	}

	if len(next) < size {
		next = addCandidates(next, present, size)
	}

	slices.SortFunc(next, func(a, b topology.CountingProxy) int { return cmp.Compare(a.Name, b.Name) })

	return next
}

// addCandidates adds proxies that are not on a list yet, up to the given size.
func addCandidates(next, present []topology.CountingProxy, size int) []topology.CountingProxy {
	candidates := slices.DeleteFunc(slices.Clone(present), func(proxy topology.CountingProxy) bool {
		return slices.ContainsFunc(next, func(p topology.CountingProxy) bool { return p.Name == proxy.Name })
	})
	slices.SortFunc(candidates, func(a, b topology.CountingProxy) int {
		return cmp.Or(cmp.Compare(placement.RankHash("", a.Name), placement.RankHash("", b.Name)), cmp.Compare(a.Name, b.Name))
	})

	for len(next) < size && len(candidates) > 0 {
		best := 0

		for i, candidate := range candidates {
			if inCentre(next, candidate.Centre) < inCentre(next, candidates[best].Centre) {
				best = i
			}
		}

		next = append(next, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}

	return next
}

// NextChange returns the command for the next step of the lists, or nil if none is due. A former list is removed once no
// proxy may act on older lists. Otherwise the list is replaced if the chosen one differs.
func NextChange(recorded *topology.Counters, pending bool, chosen []topology.CountingProxy) *topology.RecordCounters {
	switch {
	case recorded == nil:
		if len(chosen) == 0 {
			return nil
		}

		return &topology.RecordCounters{Next: chosen}
	case len(recorded.Former) > 0:
		if pending {
			return nil
		}

		return &topology.RecordCounters{ExpectedEpoch: recorded.Epoch, RemoveFormer: true}
	case len(chosen) == 0 || slices.Equal(chosen, recorded.Current):
		return nil
	}

	return &topology.RecordCounters{ExpectedEpoch: recorded.Epoch, Next: chosen}
}

func inCentre(list []topology.CountingProxy, centre string) int {
	count := 0

	for _, proxy := range list {
		if proxy.Centre == centre {
			count++
		}
	}

	return count
}
