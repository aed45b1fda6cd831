package bench

import (
	"fmt"
	"slices"
	"time"
)

type kind uint8

const (
	// lookup reads a record.
	lookup kind = iota
	// update raises a record's version.
	update
	// fileAndRead inserts a row and reads it at once through another proxy.
	fileAndRead
	// fileInTransaction inserts a row and raises the version of its record in one transaction.
	fileInTransaction
)

// class is a kind of request that arrives independently of the others.
type class struct {
	name string
	kind kind
	// rate is the number of arrivals a second over all databases, at scale 1.
	rate float64
	// age is the stated age up to which answers may be old.
	age time.Duration
	// cost is the time that a statement occupies a slot of a stand-in.
	cost time.Duration
}

// Workload is a ready mix of requests.
type Workload struct {
	Name        string
	Description string
	classes     []class
}

// Workloads returns the ready workloads, one for each deployment.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "teranga",
			Description: "student registries: browsing reads of a stated age, clerks that file a mark and read it " +
				"through another proxy, dispatch updates",
			classes: []class{
				{name: "browse", kind: lookup, rate: 270, age: 30 * time.Second, cost: 5 * time.Millisecond},
				{name: "clerk", kind: fileAndRead, rate: 15, cost: 2 * time.Millisecond},
				{name: "dispatch", kind: update, rate: 15, cost: 2 * time.Millisecond},
			},
		},
		{
			Name: "kalasag",
			Description: "hazard registers: contractors' lookups that must be current, inspectors that file hazards " +
				"in a transaction and must never wait",
			classes: []class{
				{name: "lookup", kind: lookup, rate: 100, cost: 5 * time.Millisecond},
				{name: "inspector", kind: fileInTransaction, rate: 10, cost: 2 * time.Millisecond},
			},
		},
	}
}

func find(name string) (Workload, error) {
	all := Workloads()

	i := slices.IndexFunc(all, func(w Workload) bool { return w.Name == name })
	if i < 0 {
		return Workload{}, fmt.Errorf("unknown workload %q", name)
	}

	return all[i], nil
}
