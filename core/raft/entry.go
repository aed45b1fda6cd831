package raft

// EntryKind is the type of an entry's data.
type EntryKind uint8

// The kinds of entries.
const (
	// EmptyEntry is appended by each new leader, so that entries of earlier terms get committed.
	EmptyEntry EntryKind = iota
	// CommandEntry holds a command for the state machine.
	CommandEntry
	// ConfigurationEntry holds a Configuration, which takes effect when the entry is appended.
	ConfigurationEntry
)

// Entry is one element of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a member must persist besides its log.
type HardState struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// VotedFor is the member that this member voted for in the term, or 0.
	VotedFor ID `cbor:"2,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including its index.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// PersistentState is everything that a member loads from its storage when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Storage persists the state of a member. An error is final: after a failed write or sync the content of the disk is
// unknown, so the owner stops the node and never repeats the call.
type Storage interface {
	// Load returns the saved state.
	Load() (PersistentState, error)
	// Save durably stores the parts of a Ready: the state unless nil, the snapshot, which replaces the whole log,
	// unless nil, and the entries, which replace all stored entries from the index of the first one on.
	Save(state *HardState, snapshot *Snapshot, entries []Entry) error
	// Compact durably stores a snapshot and may then delete the entries that it covers.
	Compact(snapshot Snapshot) error
}
