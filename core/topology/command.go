package topology

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Command is one entry of the log. Exactly one field is set.
type Command struct {
	Configure        *Configuration    `cbor:"1,keyasint,omitempty"`
	Announce         *Server           `cbor:"2,keyasint,omitempty"`
	ForgetServer     *ForgetServer     `cbor:"3,keyasint,omitempty"`
	AdoptPrimary     *AdoptPrimary     `cbor:"4,keyasint,omitempty"`
	Fence            *Fence            `cbor:"5,keyasint,omitempty"`
	AbandonTakeover  *AbandonTakeover  `cbor:"6,keyasint,omitempty"`
	Promote          *Promote          `cbor:"7,keyasint,omitempty"`
	FinishTakeover   *FinishTakeover   `cbor:"8,keyasint,omitempty"`
	RecordProxyCount *RecordProxyCount `cbor:"9,keyasint,omitempty"`
}

// Server is a backend server as it announced itself.
type Server struct {
	ID      string         `cbor:"1,keyasint"`
	Group   string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	Centre  string         `cbor:"4,keyasint"`
	Slots   int            `cbor:"5,keyasint"`
	// Leaving is true from the announcement of a planned stop on.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// ClaimsPrimary is true if the server takes itself for the primary.
	ClaimsPrimary bool `cbor:"7,keyasint,omitempty"`
	// StartedAtMillis is the Unix millisecond at which the server started; it orders its incarnations.
	StartedAtMillis int64 `cbor:"8,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"9,keyasint"`
}

// NewerThan reports whether an announcement was made after another one of the same server.
func (s Server) NewerThan(than Server) bool {
	if s.StartedAtMillis != than.StartedAtMillis {
		return s.StartedAtMillis > than.StartedAtMillis
	}

	return s.Sequence > than.Sequence
}

// EqualExceptSequence reports whether two announcements say the same, apart from their order.
func (s Server) EqualExceptSequence(other Server) bool {
	s.Sequence = other.Sequence

	return s == other
}

// RecordProxyCount records the number of proxies that take statements from others, so that a new leader knows how many to wait for
// before it places the connections.
type RecordProxyCount struct {
	Count int `cbor:"1,keyasint"`
}

// ForgetServer removes a server that is gone. Sequence is that of the last announcement that the proposer knew; a newer one
// keeps the server.
type ForgetServer struct {
	ID              string `cbor:"1,keyasint"`
	StartedAtMillis int64  `cbor:"2,keyasint,omitempty"`
	Sequence        uint64 `cbor:"3,keyasint"`
}

// AdoptPrimary records a primary that was not promoted by a takeover.
type AdoptPrimary struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
	// ExpectedPrimary is the primary that the proposer knew.
	ExpectedPrimary string `cbor:"3,keyasint,omitempty"`
	// Term is the term in which it leads.
	Term position.Term `cbor:"4,keyasint,omitempty"`
}

// Fence begins a takeover.
type Fence struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
	// Planned is true if the primary still works and leaves.
	Planned bool `cbor:"3,keyasint,omitempty"`
}

// AbandonTakeover ends a takeover before an order was given.
type AbandonTakeover struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Promote records a candidate, before the order for it is given.
type Promote struct {
	Group     string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Candidate string `cbor:"3,keyasint"`
}

// FinishTakeover ends a takeover.
type FinishTakeover struct {
	Group   string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"`
	Primary string `cbor:"3,keyasint"`
	// Term is the term in which the primary leads, or a lower bound.
	Term position.Term `cbor:"4,keyasint,omitempty"`
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(c)

	return encoded, eris.Wrap(err, "encode command")
}

// Answer is the outcome of a command.
type Answer struct {
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Reason string      `cbor:"2,keyasint,omitempty"`
	// Number is the configuration number in force, or the token of a Promote.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// DecodeAnswer reads an answer of State.Apply.
func DecodeAnswer(encoded []byte) (Answer, error) {
	var answer Answer

	err := cbor.Unmarshal(encoded, &answer)

	return answer, eris.Wrap(err, "decode answer")
}

// Err returns the answer as an error, or nil if the command was accepted.
func (a Answer) Err() error {
	return result.Restore(a.Code, a.Reason)
}
