package customer

import "almondgrade/core/topology"

// defaultWeight is the weight of customers without a limit, and of anonymous callers.
const defaultWeight = 1

// Weight returns the weight by which connections are shared among customers: the limit of operations a second.
func Weight(of *topology.Customer) float64 {
	if of == nil || of.Rate == nil || *of.Rate <= 0 {
		return defaultWeight
	}

	return *of.Rate
}

// LoadShare returns a customer's share of the sum of all weights, between 0 and 1. It is 0 for an unknown customer.
func (d *Directory) LoadShare(name string) float64 {
	if d == nil || d.byName[name] == nil {
		return 0
	}

	return Weight(d.byName[name]) / d.totalWeight
}
