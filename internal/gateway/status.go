package gateway

import "almondgrade/core/position"

// ServerStatus is what a backend server says of itself.
type ServerStatus struct {
	Primary bool
	// Received is the last position of its log.
	Received position.Position
}
