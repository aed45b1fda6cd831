package permit

import (
	"time"

	"almondgrade/core/result"
)

// Kind says what a permit is for.
type Kind uint8

// The kinds of permits.
const (
	// Connection is the right to have one connection open.
	Connection Kind = iota
	// Slot is the right to have one statement running.
	Slot
	kindCount
)

// String returns the word that messages use.
func (k Kind) String() string {
	if k == Connection {
		return "connection"
	}

	return "slot"
}

// Holder is one process that holds permits. A restarted process is another holder.
type Holder struct {
	Proxy    string
	Instance uint64
}

// ID names a permit: its holder, the holder's number for it, and its kind.
type ID struct {
	Holder Holder
	Number uint64
	Kind   Kind
}

// Request asks for a permit.
type Request struct {
	ID
	Urgent   bool
	Deadline time.Time
}

// Answer tells the outcome of a request: granted if the code is result.OK, otherwise refused.
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
	// Sequence grows with each report of a holder.
	Sequence uint64
	// NextNumber is greater than every number that the holder has chosen so far.
	NextNumber uint64
	Held       []HeldPermit
}

// Limits bound the permits of a backend server.
type Limits struct {
	Connections int
	Slots       int
	// AdminReserve is the number of connections that are kept for administration.
	AdminReserve int
	// UrgentReserve is the number of connections that only urgent requests get. Holders keep connections open for a while,
	// so that an urgent request would otherwise wait until one is given back.
	UrgentReserve int
	// MaxWaiting bounds the waiting requests of each kind and class.
	MaxWaiting int
}

func (l Limits) forKind(kind Kind) int {
	if kind == Connection {
		return max(0, l.Connections-l.AdminReserve)
	}

	return max(0, l.Slots)
}
