package registry

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Command is an entry of the control log. Exactly one field is set.
type Command struct {
	Configure          *Configure          `cbor:"1,keyasint,omitempty"`
	Announce           *Announce           `cbor:"2,keyasint,omitempty"`
	ForgetServer       *ForgetServer       `cbor:"3,keyasint,omitempty"`
	JoinProxy          *JoinProxy          `cbor:"4,keyasint,omitempty"`
	RemoveProxy        *RemoveProxy        `cbor:"5,keyasint,omitempty"`
	Drain              *Drain              `cbor:"6,keyasint,omitempty"`
	SetCoordinator     *SetCoordinator     `cbor:"7,keyasint,omitempty"`
	Bootstrap          *Bootstrap          `cbor:"8,keyasint,omitempty"`
	ChangeMembers      *ChangeMembers      `cbor:"9,keyasint,omitempty"`
	FinishMemberChange *FinishMemberChange `cbor:"10,keyasint,omitempty"`
	Fence              *Fence              `cbor:"11,keyasint,omitempty"`
	AbandonFailover    *AbandonFailover    `cbor:"12,keyasint,omitempty"`
	Promote            *Promote            `cbor:"13,keyasint,omitempty"`
	FinishPromotion    *FinishPromotion    `cbor:"14,keyasint,omitempty"`
}

// Configure replaces the running configuration if BaseNumber is the number of the current one.
type Configure struct {
	ID         string `cbor:"1,keyasint"`
	BaseNumber uint64 `cbor:"2,keyasint"`
	Author     string `cbor:"3,keyasint"`
	Settings   []byte `cbor:"4,keyasint"`
}

// Announce records the announcement of a backend server.
type Announce struct {
	Server Server `cbor:"1,keyasint"`
}

// ForgetServer removes a backend server that isn't a member of its group. Another incarnation of the server stays.
type ForgetServer struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// JoinProxy registers a proxy and assigns a number to it.
type JoinProxy struct {
	Proxy Proxy `cbor:"1,keyasint"`
}

// RemoveProxy removes a proxy whose lease has expired. Another instance of the proxy stays.
type RemoveProxy struct {
	Proxy    string `cbor:"1,keyasint"`
	Instance uint64 `cbor:"2,keyasint"`
}

// Drain marks a backend server as leaving or a proxy as draining. Undo clears the mark.
type Drain struct {
	Server string `cbor:"1,keyasint"`
	Proxy  string `cbor:"2,keyasint"`
	Undo   bool   `cbor:"3,keyasint"`
}

// SetCoordinator makes a proxy the coordinator of a group. Epoch is the coordination epoch that it ends.
type SetCoordinator struct {
	Group string `cbor:"1,keyasint"`
	Proxy string `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Bootstrap records the first primary of a group, which begins term 1 at LSN 0.
type Bootstrap struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
}

// ChangeMembers adds a server to the members of a group, which its quorums count, or removes one.
type ChangeMembers struct {
	Group    string        `cbor:"1,keyasint"`
	Term     position.Term `cbor:"2,keyasint"`
	Add      string        `cbor:"3,keyasint"`
	Identity string        `cbor:"4,keyasint"`
	Remove   string        `cbor:"5,keyasint"`
}

// FinishMemberChange ends the period in which quorums need a majority of both the old and the new members.
// MembersChangedIndex is the log index of the change.
type FinishMemberChange struct {
	Group               string `cbor:"1,keyasint"`
	MembersChangedIndex uint64 `cbor:"2,keyasint"`
}

// Fence starts a failover of a group that is in the given term.
type Fence struct {
	Group string        `cbor:"1,keyasint"`
	Term  position.Term `cbor:"2,keyasint"`
	// Target is the server that a planned move promotes. It is empty for an unplanned failover.
	Target string `cbor:"3,keyasint"`
}

// AbandonFailover cancels a failover during fencing and keeps the primary.
type AbandonFailover struct {
	Group   string        `cbor:"1,keyasint"`
	Term    position.Term `cbor:"2,keyasint"`
	Attempt uint64        `cbor:"3,keyasint"`
}

// Promote records the candidate for primary of the next term and the LSN at which that term begins.
type Promote struct {
	Group     string        `cbor:"1,keyasint"`
	Term      position.Term `cbor:"2,keyasint"`
	Attempt   uint64        `cbor:"3,keyasint"`
	Candidate string        `cbor:"4,keyasint"`
	BeginLSN  position.LSN  `cbor:"5,keyasint"`
}

// FinishPromotion records that the candidate is the primary of the next term. If Failed is set, the candidate did not
// answer: the term is used up nevertheless, and the next failover starts at once.
type FinishPromotion struct {
	Group  string        `cbor:"1,keyasint"`
	Term   position.Term `cbor:"2,keyasint"`
	Failed bool          `cbor:"3,keyasint"`
}

// Answer is the result of a command.
type Answer struct {
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Reason string      `cbor:"2,keyasint,omitempty"`
	// Number is the configuration number after a Configure, the proxy's number after a JoinProxy, or the new epoch after a
	// SetCoordinator.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	// Author is the author of the current configuration when a Configure was refused.
	Author string `cbor:"4,keyasint,omitempty"`
	// Repeated is true if the change ID was answered before and this is that first answer.
	Repeated bool `cbor:"5,keyasint,omitempty"`
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)

	return data, eris.Wrap(err, "encode command")
}

// DecodeCommand decodes a log entry.
func DecodeCommand(data []byte) (Command, error) {
	var command Command

	err := cbor.Unmarshal(data, &command)

	return command, eris.Wrap(err, "decode command")
}

// Encode returns the answer in the encoding that State.Apply returns.
func (a Answer) Encode() []byte {
	data, err := cbor.Marshal(a)
	if err != nil {
		panic("registry: encode answer: " + err.Error()) // Numbers, strings and booleans always encode.
	}

	return data
}

// DecodeAnswer decodes what Answer.Encode returns.
func DecodeAnswer(data []byte) (Answer, error) {
	var answer Answer

	err := cbor.Unmarshal(data, &answer)

	return answer, eris.Wrap(err, "decode answer")
}

// Err returns the answer as an error, or nil if the command took effect.
func (a Answer) Err() error {
	return result.Restore(a.Code, a.Reason)
}
