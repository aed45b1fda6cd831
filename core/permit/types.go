package permit

import (
	"time"

	"almondgrade/core/result"
)

// Kind is the kind of a permit.
type Kind uint8

// The kinds of permits.
const (
	// Connection is the right to have one connection open.
	Connection Kind = iota
	// Slot is the right to have one statement running.
	Slot
	kindCount
)

// String returns the name that messages use.
func (k Kind) String() string {
	if k == Connection {
		return "connection"
	}

	return "slot"
}

// Holder is one process that holds permits. A restarted process is a different holder.
type Holder struct {
	Proxy    string
	Instance uint64
}

// ID identifies a permit by its holder, the number that the holder gave it, and its kind.
type ID struct {
	Holder Holder
	Number uint64
	Kind   Kind
}

// Request is a request for a permit.
type Request struct {
	ID
	Urgent   bool
	Deadline time.Time
}

// Answer is the outcome of a request: granted if the code is result.OK, otherwise refused.
type Answer struct {
	ID
	Code   result.Code
	Reason string
}

// HeldPermit is a permit in a report.
type HeldPermit struct {
	Number uint64
	Kind   Kind
	// Pending is true while the holder still waits for the permit.
	Pending bool
}

// Report lists the permits of one holder.
type Report struct {
	Holder Holder
	// Sequence increases with each report of a holder.
	Sequence uint64
	// NextNumber is greater than every number that the holder has chosen so far.
	NextNumber uint64
	Held       []HeldPermit
}

// Limits limit the permits of a backend server.
type Limits struct {
	Connections int
	Slots       int
	// AdminReserve is the number of connections that are reserved for administration.
	AdminReserve int
	// UrgentReserve is the number of connections that are reserved for urgent requests. Holders keep connections open
	// for a while, so that an urgent request would otherwise have to wait until one is returned.
	UrgentReserve int
	// MaxWaiting is the maximum number of waiting requests of each kind and class.
	MaxWaiting int
}

func (l Limits) forKind(kind Kind) int {
	if kind == Connection {
		return max(0, l.Connections-l.AdminReserve)
	}

	return max(0, l.Slots)
}
