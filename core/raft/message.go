package raft

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MessageKind tells how a message is to be understood.
type MessageKind uint8

// The kinds of messages.
const (
	// PreVote asks whether the sender would get a vote in Term; Index and LogTerm describe its last entry.
	PreVote MessageKind = iota + 1
	// PreVoteReply answers with Granted.
	PreVoteReply
	// Vote asks for the vote in Term.
	Vote
	// VoteReply answers with Granted.
	VoteReply
	// Append carries Entries that follow the entry at Index with LogTerm, the leader's Commit and the Round of
	// read confirmations. Without entries it is a heartbeat.
	Append
	// AppendReply tells that the sender's log agrees up to Index. If Rejected, Index is the preceding index that
	// did not agree, Hint the first index to try and HintTerm the term found there, or zero.
	AppendReply
	// Chunk carries the part at Offset of the snapshot at Index with LogTerm, of Total bytes.
	Chunk
	// ChunkReply asks for the part at Offset of the snapshot at Index.
	ChunkReply
	// TimeoutNow makes the receiver start an election at once, for a transfer of leadership.
	TimeoutNow
)

// Message goes from one member to another. Which fields count is said at its kind.
type Message struct {
	Kind          MessageKind    `cbor:"1,keyasint"`
	From          ID             `cbor:"2,keyasint"`
	To            ID             `cbor:"3,keyasint"`
	Term          uint64         `cbor:"4,keyasint"`
	Index         uint64         `cbor:"5,keyasint,omitempty"`
	LogTerm       uint64         `cbor:"6,keyasint,omitempty"`
	Commit        uint64         `cbor:"7,keyasint,omitempty"`
	Round         uint64         `cbor:"8,keyasint,omitempty"`
	Entries       []Entry        `cbor:"9,keyasint,omitempty"`
	Granted       bool           `cbor:"10,keyasint,omitempty"`
	Rejected      bool           `cbor:"11,keyasint,omitempty"`
	Hint          uint64         `cbor:"12,keyasint,omitempty"`
	HintTerm      uint64         `cbor:"13,keyasint,omitempty"`
	Offset        uint64         `cbor:"14,keyasint,omitempty"`
	Total         uint64         `cbor:"15,keyasint,omitempty"`
	Data          []byte         `cbor:"16,keyasint,omitempty"`
	Configuration *Configuration `cbor:"17,keyasint,omitempty"`
	// Transfer marks a vote request that the leader asked for, so that members grant it although they hear the
	// leader.
	Transfer bool `cbor:"18,keyasint,omitempty"`
}

// Encode returns the wire form of a message.
func (m Message) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(m)

	return encoded, eris.Wrap(err, "encode log message")
}

// DecodeMessage reads the wire form of a message.
func DecodeMessage(encoded []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return Message{}, eris.Wrap(err, "decode log message")
	}

	return message, nil
}

// encodeConfiguration returns the data of a Membership entry.
func encodeConfiguration(configuration Configuration) ([]byte, error) {
	encoded, err := cbor.Marshal(configuration)

	return encoded, eris.Wrap(err, "encode membership")
}

// DecodeConfiguration reads the data of a Membership entry.
func DecodeConfiguration(encoded []byte) (Configuration, error) {
	var configuration Configuration
	if err := cbor.Unmarshal(encoded, &configuration); err != nil {
		return Configuration{}, eris.Wrap(err, "decode membership")
	}

	return configuration, nil
}
