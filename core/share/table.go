package share

import (
	"slices"
	"time"
)

// Demand is what a proxy reports for one server.
type Demand struct {
	// Open is the number of connections that it holds.
	Open int `cbor:"1,keyasint,omitempty"`
	// Wanted is the number that it could have used at one moment since the last report.
	Wanted int `cbor:"2,keyasint,omitempty"`
}

// ReservedConnections is the number of connections of a server that are kept from proxies: control holds one, and opens another one
// when that goes silent.
const ReservedConnections = 2

// wantedDecay is the part of an earlier want that still counts at the next report, so that a short lull does not cost a proxy
// its connections.
const wantedDecay = 0.8

type allotment struct {
	open    int
	wanted  float64
	granted int
	until   time.Time
}

// Table divides the connections of one server. It is not safe for concurrent use.
type Table struct {
	limit      int
	lifetime   time.Duration
	allotments map[string]allotment
}

// New returns a table for a server that accepts a number of connections. A report counts for the given time.
func New(limit int, lifetime time.Duration) *Table {
	return &Table{limit: limit, lifetime: lifetime, allotments: make(map[string]allotment)}
}

// SetLimit changes the number of connections that the server accepts.
func (t *Table) SetLimit(limit int) {
	t.limit = limit
}

// Report notes what a proxy holds and wants, and returns the number of connections that it may hold, at least one.
func (t *Table) Report(now time.Time, proxy string, demand Demand) int {
	for name, one := range t.allotments {
		if now.After(one.until) {
			delete(t.allotments, name)
		}
	}

	own := t.allotments[proxy]
	own.open = demand.Open
	own.wanted = max(float64(demand.Wanted), own.wanted*wantedDecay, 1)
	own.until = now.Add(t.lifetime)
	t.allotments[proxy] = own

	taken := 0

	for name, one := range t.allotments {
		if name != proxy {
			taken += max(one.granted, one.open)
		}
	}

	own.granted = max(1, min(t.target(proxy), t.limit-taken))
	t.allotments[proxy] = own

	return own.granted
}

// target returns the number of connections that a proxy should have, by what all want now.
func (t *Table) target(proxy string) int {
	sum := 0.0
	wants := make([]float64, 0, len(t.allotments))

	for _, one := range t.allotments {
		sum += one.wanted
		wants = append(wants, one.wanted)
	}

	if spare := float64(t.limit) - sum; spare >= 0 {
		return int(t.allotments[proxy].wanted + spare/float64(len(wants)))
	}

	return int(min(t.allotments[proxy].wanted, fairLevel(wants, float64(t.limit))))
}

// fairLevel returns the greatest part that a proxy can have if those that want less get what they want.
func fairLevel(wants []float64, limit float64) float64 {
	slices.Sort(wants)

	for i, want := range wants {
		equal := limit / float64(len(wants)-i)
		if want >= equal {
			return equal
		}

		limit -= want
	}

	return limit
}
