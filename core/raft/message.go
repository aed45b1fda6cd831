package raft

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MessageKind is the kind of a message. It determines which fields of the message are used.
type MessageKind uint8

// The kinds of messages.
const (
	// PreVoteRequest asks whether the receiver would vote for the sender in Term; Index and LogTerm describe the
	// sender's last entry.
	PreVoteRequest MessageKind = iota + 1
	// PreVoteReply answers a PreVoteRequest with Granted.
	PreVoteReply
	// VoteRequest asks for the receiver's vote in Term; Index and LogTerm describe the sender's last entry.
	VoteRequest
	// VoteReply answers a VoteRequest with Granted.
	VoteReply
	// AppendRequest carries Entries that follow the entry at Index with LogTerm, the leader's CommitIndex, and the
	// ReadRound of read confirmations. Without entries it is a heartbeat.
	AppendRequest
	// AppendReply reports that the sender's log matches the leader's up to Index. If Rejected, Index is the preceding
	// index that did not match, ConflictIndex the first index to try and ConflictTerm the term found at Index, or zero.
	AppendReply
	// SnapshotChunk carries the part at Offset of the snapshot at Index with LogTerm, which has TotalBytes bytes.
	SnapshotChunk
	// SnapshotChunkReply requests the part at Offset of the snapshot at Index.
	SnapshotChunkReply
	// TimeoutNow makes the receiver start an election at once, to transfer the leadership to it.
	TimeoutNow
)

// Message is sent from one member to another. Its kind determines which fields are used.
type Message struct {
	Kind          MessageKind    `cbor:"1,keyasint"`
	From          ID             `cbor:"2,keyasint"`
	To            ID             `cbor:"3,keyasint"`
	Term          uint64         `cbor:"4,keyasint"`
	Index         uint64         `cbor:"5,keyasint,omitempty"`
	LogTerm       uint64         `cbor:"6,keyasint,omitempty"`
	CommitIndex   uint64         `cbor:"7,keyasint,omitempty"`
	ReadRound     uint64         `cbor:"8,keyasint,omitempty"`
	Entries       []Entry        `cbor:"9,keyasint,omitempty"`
	Granted       bool           `cbor:"10,keyasint,omitempty"`
	Rejected      bool           `cbor:"11,keyasint,omitempty"`
	ConflictIndex uint64         `cbor:"12,keyasint,omitempty"`
	ConflictTerm  uint64         `cbor:"13,keyasint,omitempty"`
	Offset        uint64         `cbor:"14,keyasint,omitempty"`
	TotalBytes    uint64         `cbor:"15,keyasint,omitempty"`
	Data          []byte         `cbor:"16,keyasint,omitempty"`
	Configuration *Configuration `cbor:"17,keyasint,omitempty"`
	// LeadershipTransfer marks a vote request that the leader asked for; members grant it although they hear from the
	// leader.
	LeadershipTransfer bool `cbor:"18,keyasint,omitempty"`
	// Heartbeat marks an append request without entries that refers to the last index which the receiver is known to have
	// saved, and the reply to it. It may overtake entries. A member of an older version does not set it in its replies.
	Heartbeat bool `cbor:"19,keyasint,omitempty"`
}

// IsUrgent reports whether a message must not wait behind others: heartbeats and everything about elections are small,
// and a delay of them costs a leader. Entries, chunks of snapshots and the requests for them may wait.
func (m Message) IsUrgent() bool {
	switch m.Kind {
	case PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, TimeoutNow:
		return true
	case AppendRequest:
		return m.Heartbeat
	case AppendReply, SnapshotChunkReply:
		return true
	case SnapshotChunk:
		return false
	}

	return false
}

// Encode returns the CBOR encoding of a message.
func (m Message) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(m)

	return encoded, eris.Wrap(err, "encode log message")
}

// DecodeMessage decodes a message from CBOR.
func DecodeMessage(encoded []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return Message{}, eris.Wrap(err, "decode log message")
	}

	return message, nil
}

// encodeConfiguration returns the data of a ConfigurationEntry.
func encodeConfiguration(configuration Configuration) ([]byte, error) {
	encoded, err := cbor.Marshal(configuration)

	return encoded, eris.Wrap(err, "encode membership")
}

// DecodeConfiguration decodes the data of a ConfigurationEntry.
func DecodeConfiguration(encoded []byte) (Configuration, error) {
	var configuration Configuration
	if err := cbor.Unmarshal(encoded, &configuration); err != nil {
		return Configuration{}, eris.Wrap(err, "decode membership")
	}

	return configuration, nil
}
