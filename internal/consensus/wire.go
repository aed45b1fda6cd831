package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/raft"
	"almondgrade/io/control/controlpb"
)

// stage is a member's progress in forming or joining a group.
type stage uint8

const (
	// blank members belong to no group.
	blank stage = iota
	// prepared members have stored the founding members and wait until all of them have.
	prepared
	// active members take part in the log.
	active
)

func (s stage) String() string {
	return [...]string{"blank", "prepared", "active"}[s]
}

// hello is the first message of each batch. It identifies the sender and acknowledges the receiver's batches.
type hello struct {
	Name    string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	ID      raft.ID `cbor:"3,keyasint"`
	// Instance is a random number generated at process start.
	Instance uint64 `cbor:"4,keyasint"`
	Group    uint64 `cbor:"5,keyasint,omitempty"`
	Stage    stage  `cbor:"6,keyasint,omitempty"`
	// Sequence numbers the batches of this instance to the receiver.
	Sequence uint64 `cbor:"7,keyasint"`
	// AckInstance and AckSequence acknowledge the last batch received from the receiver.
	AckInstance uint64 `cbor:"8,keyasint,omitempty"`
	AckSequence uint64 `cbor:"9,keyasint,omitempty"`
	// Members are the addresses of the group's members, for a blank receiver whose settings are outdated.
	Members []string `cbor:"10,keyasint,omitempty"`
	// Bulk is true for a batch of the connection for entries and snapshots, whose batches are numbered separately.
	Bulk bool `cbor:"11,keyasint,omitempty"`
	// AcceptsBulk is true if the sender accepts such a connection, AckBulk the last batch that it received on it.
	AcceptsBulk bool   `cbor:"12,keyasint,omitempty"`
	AckBulk     uint64 `cbor:"13,keyasint,omitempty"`
	// Impaired is true while the sender's disk is full or stalls, so that it should not lead.
	Impaired bool `cbor:"14,keyasint,omitempty"`
	// Leaving is true once the sender is about to stop, so that a process that waits to join may take its place.
	Leaving bool `cbor:"15,keyasint,omitempty"`
}

// isUrgent reports whether a batch has messages that must not wait behind others, or none at all.
func (b batch) isUrgent() bool {
	return !slices.ContainsFunc(b.messages, func(m raft.Message) bool { return !m.IsUrgent() })
}

// batch is the decoded content of one LogMessages.
type batch struct {
	hello    hello
	messages []raft.Message
}

func decodeBatch(received *controlpb.LogMessages) (batch, error) {
	encoded := received.GetMessages()
	if len(encoded) == 0 {
		return batch{}, eris.New("a batch of log messages must begin with a hello")
	}

	var decoded batch
	if err := cbor.Unmarshal(encoded[0], &decoded.hello); err != nil {
		return batch{}, eris.Wrap(err, "decode hello")
	}

	if decoded.hello.Stage > active || decoded.hello.ID == 0 {
		return batch{}, eris.New("the hello has an unknown stage or no ID")
	}

	for _, one := range encoded[1:] {
		message, err := raft.DecodeMessage(one)
		if err != nil {
			return batch{}, err
		}

		decoded.messages = append(decoded.messages, message)
	}

	return decoded, nil
}
