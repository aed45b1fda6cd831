package bench

import (
	"fmt"
	"slices"
	"time"
)

type requestKind uint8

const (
	// lookupRecord reads a record.
	lookupRecord requestKind = iota
	// updateRecord increments the version of a record.
	updateRecord
	// insertAndRead inserts a row and reads it immediately through another proxy.
	insertAndRead
	// insertInTransaction inserts a row and increments the version of its record in one transaction.
	insertInTransaction
)

// class is a group of similar requests that arrive independently of those of other classes.
type class struct {
	name string
	kind requestKind
	// arrivalsPerSecond is the arrival rate over all databases at scale 1.
	arrivalsPerSecond float64
	// maxAge is the age up to which reads may be stale.
	maxAge time.Duration
	// statementCost is the time for which a statement occupies a slot of a stand-in.
	statementCost time.Duration
}

// Workload is a predefined mix of requests.
type Workload struct {
	Name        string
	Description string
	classes     []class
}

// Workloads returns the predefined workloads, one for each deployment.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "teranga",
			Description: "student registries: browsing reads with a maximum age, clerks that file a mark and read it " +
				"through another proxy, dispatch updates",
			classes: []class{
				{name: "browse", kind: lookupRecord, arrivalsPerSecond: 270, maxAge: 30 * time.Second, statementCost: 5 * time.Millisecond},
				{name: "clerk", kind: insertAndRead, arrivalsPerSecond: 15, statementCost: 2 * time.Millisecond},
				{name: "dispatch", kind: updateRecord, arrivalsPerSecond: 15, statementCost: 2 * time.Millisecond},
			},
		},
		{
			Name: "kalasag",
			Description: "hazard registers: contractors' lookups that must be current, inspectors that file hazards " +
				"in a transaction and must never wait",
			classes: []class{
				{name: "lookup", kind: lookupRecord, arrivalsPerSecond: 100, statementCost: 5 * time.Millisecond},
				{name: "inspector", kind: insertInTransaction, arrivalsPerSecond: 10, statementCost: 2 * time.Millisecond},
			},
		},
	}
}

func findWorkload(name string) (Workload, error) {
	all := Workloads()

	i := slices.IndexFunc(all, func(w Workload) bool { return w.Name == name })
	if i < 0 {
		return Workload{}, fmt.Errorf("unknown workload %q", name)
	}

	return all[i], nil
}
