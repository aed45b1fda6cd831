package share

import (
	"slices"
	"time"
)

// Demand is a proxy's report for one server.
type Demand struct {
	// Open is the number of connections that the proxy holds.
	Open int `cbor:"1,keyasint,omitempty"`
	// Wanted is the greatest number of connections that the proxy could have used at one time since the last report.
	Wanted int `cbor:"2,keyasint,omitempty"`
}

// ReservedConnections is the number of connections of a server that are not available to proxies: control holds one,
// and opens a second one when the first stops responding.
const ReservedConnections = 2

// restartReserveDivisor bounds the reserve for a restart: at most 1/restartReserveDivisor of the connections.
const restartReserveDivisor = 4

// RestartReserve returns the number of connections of a server that stay free where a connection serves one customer only:
// one for each proxy that holds some. After all VMs have lost power, a server counts their former connections for some
// seconds, and a proxy with one connection can serve each customer in turn. Without customers, the few connections that are
// free then serve everybody.
func RestartReserve(maxConnections, holders int) int {
	return min(holders, (maxConnections-ReservedConnections)/restartReserveDivisor)
}

// wantedDecay is the share of the earlier demand that still counts at the next report, so that a proxy does not lose
// its connections after a short lull.
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
	sharers    int
	lifetime   time.Duration
	allotments map[string]allotment
}

// New returns a table for a server that accepts limit connections. A report is valid for the given lifetime.
func New(limit int, lifetime time.Duration) *Table {
	return &Table{limit: limit, lifetime: lifetime, allotments: make(map[string]allotment)}
}

// SetLimit changes the number of connections that the server accepts.
func (t *Table) SetLimit(limit int) {
	t.limit = limit
}

// SetSharers sets the number of proxies that are expected to report. What nobody wants is divided among that many, so that
// those which report first to a new leader don't get all of it.
func (t *Table) SetSharers(count int) {
	t.sharers = count
}

// Report records a proxy's demand and returns the number of connections that the proxy may hold, at least one.
func (t *Table) Report(now time.Time, proxy string, demand Demand) int {
	for name, allotted := range t.allotments {
		if now.After(allotted.until) {
			delete(t.allotments, name)
		}
	}

	current := t.allotments[proxy]
	current.open = demand.Open
	current.wanted = max(float64(demand.Wanted), current.wanted*wantedDecay, 1)
	current.until = now.Add(t.lifetime)
	t.allotments[proxy] = current

	taken := 0

	for name, allotted := range t.allotments {
		if name != proxy {
			taken += max(allotted.granted, allotted.open)
		}
	}

	current.granted = max(1, min(t.target(proxy), t.limit-taken))
	t.allotments[proxy] = current

	return current.granted
}

// target returns the number of connections that a proxy should have, given the current demands of all proxies.
func (t *Table) target(proxy string) int {
	sum := 0.0
	wants := make([]float64, 0, len(t.allotments))

	for _, allotted := range t.allotments {
		sum += allotted.wanted
		wants = append(wants, allotted.wanted)
	}

	if spare := float64(t.limit) - sum; spare >= 0 {
		return int(t.allotments[proxy].wanted + spare/float64(max(len(wants), t.sharers)))
	}

	return int(min(t.allotments[proxy].wanted, fairLevel(wants, float64(t.limit))))
}

// fairLevel returns the max-min fair level: the greatest share of a proxy if those with lower demands get all they
// want.
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
