package topology

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Command is an entry of the replicated log. Exactly one field is set.
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
	RecordCounters   *RecordCounters   `cbor:"10,keyasint,omitempty"`
	RecordProxies    *RecordProxies    `cbor:"14,keyasint,omitempty"`
	ForgetAbsent     *ForgetAbsent     `cbor:"15,keyasint,omitempty"`
}

// Server is the announcement of a backend server.
type Server struct {
	ID      string         `cbor:"1,keyasint"`
	Group   string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	Centre  string         `cbor:"4,keyasint"`
	Slots   int            `cbor:"5,keyasint"`
	// Leaving is true once the server has announced a planned stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// ClaimsPrimary is true if the server considers itself the primary.
	ClaimsPrimary bool `cbor:"7,keyasint,omitempty"`
	// StartedAtMillis is the start time of the server in Unix milliseconds. It orders the server's incarnations.
	StartedAtMillis int64 `cbor:"8,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"9,keyasint"`
}

// NewerThan reports whether the announcement was made after another one of the same server.
func (s Server) NewerThan(other Server) bool {
	if s.StartedAtMillis != other.StartedAtMillis {
		return s.StartedAtMillis > other.StartedAtMillis
	}

	return s.Sequence > other.Sequence
}

// EqualExceptSequence reports whether two announcements are equal in everything but Sequence.
func (s Server) EqualExceptSequence(other Server) bool {
	s.Sequence = other.Sequence

	return s == other
}

// RecordProxyCount records the number of proxies that accept statements from other proxies. A new leader without their
// list waits for that many before it assigns connections. Builds before RecordProxies wrote it.
type RecordProxyCount struct {
	Count int `cbor:"1,keyasint"`
}

// RecordProxies changes the list of proxies that accept statements from other proxies. A new leader chooses holders from
// it before the proxies have called.
type RecordProxies struct {
	Added   []placement.Proxy `cbor:"1,keyasint,omitempty"`
	Removed []string          `cbor:"2,keyasint,omitempty"`
}

// ForgetServer removes a server that no longer announces itself. StartedAtMillis and Sequence are those of the last
// announcement that the proposer knew. The server stays if it has announced itself since.
type ForgetServer struct {
	ID              string `cbor:"1,keyasint"`
	StartedAtMillis int64  `cbor:"2,keyasint,omitempty"`
	Sequence        uint64 `cbor:"3,keyasint"`
}

// AdoptPrimary records a primary that became one without a takeover.
type AdoptPrimary struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
	// ExpectedPrimary is the primary that the proposer knew. The command is refused if the group has another one.
	ExpectedPrimary string `cbor:"3,keyasint,omitempty"`
	// Term is the term of the primary.
	Term position.Term `cbor:"4,keyasint,omitempty"`
}

// Fence starts a takeover.
type Fence struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
	// Planned is true if the primary still works and is about to stop.
	Planned bool `cbor:"3,keyasint,omitempty"`
}

// AbandonTakeover cancels a takeover for which no order has been given. Epoch is the epoch of its Fence.
type AbandonTakeover struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Promote records the candidate before the promotion order is sent. Epoch is the group's epoch that the proposer knew.
type Promote struct {
	Group     string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Candidate string `cbor:"3,keyasint"`
	// Acknowledged is the last position that the proxies have reported as acknowledged to callers.
	Acknowledged position.Position `cbor:"4,keyasint,omitzero"`
}

// FinishTakeover completes a takeover. Token is the fencing token of the order that succeeded.
type FinishTakeover struct {
	Group   string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"`
	Primary string `cbor:"3,keyasint"`
	// Term is the term of the new primary, or a lower bound for it.
	Term position.Term `cbor:"4,keyasint,omitempty"`
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(c)

	return encoded, eris.Wrap(err, "encode command")
}

// Answer is the result of a command.
type Answer struct {
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Reason string      `cbor:"2,keyasint,omitempty"`
	// Number is the number of the current configuration, or the fencing token of a Promote.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// DecodeAnswer decodes an answer that State.Apply returned.
func DecodeAnswer(encoded []byte) (Answer, error) {
	var answer Answer

	err := cbor.Unmarshal(encoded, &answer)

	return answer, eris.Wrap(err, "decode answer")
}

// Err returns the answer as an error, or nil if the command was accepted.
func (a Answer) Err() error {
	return result.Restore(a.Code, a.Reason)
}
