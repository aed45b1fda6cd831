package raft

// Kind tells what an entry holds.
type Kind uint8

// The kinds of entries.
const (
	// Empty entries are appended by each new leader, so that entries of earlier terms get committed.
	Empty Kind = iota
	// Command entries hold a command of the state machine.
	Command
	// Membership entries hold a Configuration, in force from the moment they are appended.
	Membership
)

// Entry is one element of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  Kind   `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// State is what a member must remember besides its log.
type State struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// Vote is the member that got this member's vote in the term.
	Vote ID `cbor:"2,keyasint,omitempty"`
}

// Snapshot replaces the log up to its index.
type Snapshot struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Configuration Configuration `cbor:"3,keyasint"`
	Data          []byte        `cbor:"4,keyasint,omitempty"`
}

// Saved is everything that a member finds in its storage when it starts.
type Saved struct {
	State    State
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Storage keeps what must outlive the process. An error is final: what a failed write or sync left behind is not
// known, so the owner stops the node and never repeats the call.
type Storage interface {
	// Load returns what was saved.
	Load() (Saved, error)
	// Save stores the parts of a Ready durably: a state unless nil, a snapshot unless nil that replaces the whole
	// log, and entries that replace everything from the index of the first one.
	Save(state *State, snapshot *Snapshot, entries []Entry) error
	// Compact stores a snapshot durably and then may drop the entries that it covers.
	Compact(snapshot Snapshot) error
}
