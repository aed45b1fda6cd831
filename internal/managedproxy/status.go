package managedproxy

import "almondgrade/core/position"

// ServerStatus is what a backend server reports about itself.
type ServerStatus struct {
	Primary bool
	// Term is the newest term that the server knows.
	Term position.Term
	// Received is the last position of its log.
	Received position.Position
	// PausedFor is the term of the Pause in force, or zero.
	PausedFor position.Term
}
