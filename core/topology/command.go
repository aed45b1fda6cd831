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
	Configure *Configuration `cbor:"1,keyasint,omitempty"`
	Announce  *Server        `cbor:"2,keyasint,omitempty"`
	Forget    *Forget        `cbor:"3,keyasint,omitempty"`
	Adopt     *Adopt         `cbor:"4,keyasint,omitempty"`
	Fence     *Fence         `cbor:"5,keyasint,omitempty"`
	Abandon   *Abandon       `cbor:"6,keyasint,omitempty"`
	Promote   *Promote       `cbor:"7,keyasint,omitempty"`
	Finish    *Finish        `cbor:"8,keyasint,omitempty"`
	Count     *Count         `cbor:"9,keyasint,omitempty"`
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
	// Claims is true if the server takes itself for the primary.
	Claims bool `cbor:"7,keyasint,omitempty"`
	// Started is the Unix millisecond at which the server started; it orders its incarnations.
	Started int64 `cbor:"8,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"9,keyasint"`
}

// Newer reports whether an announcement was made after another one of the same server.
func (s Server) Newer(than Server) bool {
	if s.Started != than.Started {
		return s.Started > than.Started
	}

	return s.Sequence > than.Sequence
}

// Same reports whether two announcements say the same, apart from their order.
func (s Server) Same(other Server) bool {
	s.Sequence = other.Sequence

	return s == other
}

// Count records the number of proxies that take statements from others, so that a new leader knows how many to wait for
// before it places the connections.
type Count struct {
	Proxies int `cbor:"1,keyasint"`
}

// Forget removes a server that is gone. Sequence is that of the last announcement that the proposer knew; a newer one
// keeps the server.
type Forget struct {
	ID       string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint,omitempty"`
	Sequence uint64 `cbor:"3,keyasint"`
}

// Adopt records a primary that was not promoted by a takeover.
type Adopt struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
	// Former is the primary that the proposer knew.
	Former string `cbor:"3,keyasint,omitempty"`
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

// Abandon ends a takeover before an order was given.
type Abandon struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Promote records a candidate, before the order for it is given.
type Promote struct {
	Group     string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Candidate string `cbor:"3,keyasint"`
}

// Finish ends a takeover.
type Finish struct {
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
