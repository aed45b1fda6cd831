package registry

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Command is one entry of the control log. Exactly one field is set.
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

// Configure replaces the running configuration if Base is the current number.
type Configure struct {
	ID         string `cbor:"1,keyasint"`
	BaseNumber uint64 `cbor:"2,keyasint"`
	Author     string `cbor:"3,keyasint"`
	Settings   []byte `cbor:"4,keyasint"`
}

// Announce records what a backend server said of itself.
type Announce struct {
	Server Server `cbor:"1,keyasint"`
}

// ForgetServer removes a backend server that is not a member of its group's quorums.
type ForgetServer struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// JoinProxy records a proxy and gives it a number.
type JoinProxy struct {
	Proxy Proxy `cbor:"1,keyasint"`
}

// RemoveProxy takes out a proxy whose lease has expired. Another instance of the same name is left alone.
type RemoveProxy struct {
	Proxy    string `cbor:"1,keyasint"`
	Instance uint64 `cbor:"2,keyasint"`
}

// Drain marks a backend server or a proxy as leaving, or takes the mark back.
type Drain struct {
	Server string `cbor:"1,keyasint"`
	Proxy  string `cbor:"2,keyasint"`
	Undo   bool   `cbor:"3,keyasint"`
}

// SetCoordinator names the coordinator of a group. Epoch is the epoch that it replaces.
type SetCoordinator struct {
	Group string `cbor:"1,keyasint"`
	Proxy string `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Bootstrap names the first primary of a group, in term 1, at the position at which it was marked.
type Bootstrap struct {
	Group   string `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
}

// ChangeMembers adds a server to the quorums of a group or removes one.
type ChangeMembers struct {
	Group    string        `cbor:"1,keyasint"`
	Term     position.Term `cbor:"2,keyasint"`
	Add      string        `cbor:"3,keyasint"`
	Identity string        `cbor:"4,keyasint"`
	Remove   string        `cbor:"5,keyasint"`
}

// FinishMemberChange ends the time in which quorums must hold in both member lists. Version is the log index of the change.
type FinishMemberChange struct {
	Group               string `cbor:"1,keyasint"`
	MembersChangedIndex uint64 `cbor:"2,keyasint"`
}

// Fence starts a failover of a group out of the given term.
type Fence struct {
	Group string        `cbor:"1,keyasint"`
	Term  position.Term `cbor:"2,keyasint"`
	// Target is the server that a planned move promotes; empty for a failover.
	Target string `cbor:"3,keyasint"`
}

// AbandonFailover returns from fencing to the old primary.
type AbandonFailover struct {
	Group   string        `cbor:"1,keyasint"`
	Term    position.Term `cbor:"2,keyasint"`
	Attempt uint64        `cbor:"3,keyasint"`
}

// Promote records which server becomes the primary of the next term, and where that term begins.
type Promote struct {
	Group     string        `cbor:"1,keyasint"`
	Term      position.Term `cbor:"2,keyasint"`
	Attempt   uint64        `cbor:"3,keyasint"`
	Candidate string        `cbor:"4,keyasint"`
	BeginLSN  position.LSN  `cbor:"5,keyasint"`
}

// FinishPromotion records that the candidate is the primary of the next term. Failed says that the candidate did not
// answer: the term is used up all the same, and the next failover starts at once.
type FinishPromotion struct {
	Group  string        `cbor:"1,keyasint"`
	Term   position.Term `cbor:"2,keyasint"`
	Failed bool          `cbor:"3,keyasint"`
}

// Answer is the outcome of a command.
type Answer struct {
	Code   result.Code `cbor:"1,keyasint,omitempty"`
	Reason string      `cbor:"2,keyasint,omitempty"`
	// Number is the configuration number after a Configure, or the number given to a proxy by Join.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	// Author is the author of the current configuration when a Configure was refused.
	Author string `cbor:"4,keyasint,omitempty"`
	// Repeated is true when the change id was seen before and this is its first answer.
	Repeated bool `cbor:"5,keyasint,omitempty"`
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)

	return data, eris.Wrap(err, "encode command")
}

// DecodeCommand reads a log entry.
func DecodeCommand(data []byte) (Command, error) {
	var command Command

	err := cbor.Unmarshal(data, &command)

	return command, eris.Wrap(err, "decode command")
}

// Encode returns the answer in the form that the control log carries.
func (a Answer) Encode() []byte {
	data, err := cbor.Marshal(a)
	if err != nil {
		panic("registry: an answer of plain fields always encodes: " + err.Error())
	}

	return data
}

// DecodeAnswer reads what Answer.Encode writes.
func DecodeAnswer(data []byte) (Answer, error) {
	var answer Answer

	err := cbor.Unmarshal(data, &answer)

	return answer, eris.Wrap(err, "decode answer")
}

// Err returns the answer as an error, or nil if the command took effect.
func (a Answer) Err() error {
	return result.Restore(a.Code, a.Reason)
}
