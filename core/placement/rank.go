package placement

import "slices"

// Rank returns the holders of a group in the order in which the statements of a customer go to them. It is the same in
// every process, and the loss of a holder changes it only for that holder's customers, which spread over the others.
func Rank(group, customer string, holders []Proxy) []Proxy {
	order := make([]Proxy, 0, len(holders))
	for _, ranked := range rankAll(group+"\x00"+customer, holders) {
		order = append(order, ranked.proxy)
	}

	return order
}

// NearFirst returns the order with the holders of one data centre first.
func NearFirst(centre string, order []Proxy) []Proxy {
	sorted := slices.Clone(order)
	slices.SortStableFunc(sorted, func(a, b Proxy) int {
		switch {
		case a.Centre == b.Centre || a.Centre != centre && b.Centre != centre:
			return 0
		case a.Centre == centre:
			return -1
		}

		return 1
	})

	return sorted
}

// KeepsToCentre reports whether a customer with the given share of the load, between 0 and 1, gets a connection to a
// server in each data centre. Then its statements needn't leave the data centre to find one.
func KeepsToCentre(loadShare float64, connections int, holders []Proxy) bool {
	centres := make(map[string]bool)
	for _, holder := range holders {
		centres[holder.Centre] = true
	}

	return len(centres) > 0 && loadShare*float64(connections) >= float64(len(centres))
}
