package proxy

import (
	"context"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
)

// Coordination connects the path of a request with the coordinators of groups and with control. All methods are
// safe for concurrent use. Their errors carry a result.Code.
type Coordination interface {
	// View returns the latest view, or nil before the first one has arrived.
	View() *registry.View
	// ConfigurationConfirmed reports whether the proxy may take new work: its configuration lease has not expired, or the
	// configuration says to serve without one.
	ConfigurationConfirmed() bool
	// Barrier returns a position that covers every write acknowledged before the call, together with what the
	// coordinator saw of each member during the call.
	Barrier(ctx context.Context, group string) (Barrier, error)
	// Observations returns what the coordinator last told about each member of a group, without waiting.
	Observations(group string) []Observation
	// ConfirmCommits returns once every commit made on the primary of a term before the call is held by a commit
	// quorum, and the position that was confirmed. With unreplaced it waits only for proof that the primary
	// was not replaced before the call.
	ConfirmCommits(ctx context.Context, group string, term position.Term, unreplaced bool) (position.Position, error)
	// AcquireConnection waits for the permit to open one connection to a server. The permit lasts until it is released.
	AcquireConnection(ctx context.Context, server string, urgent bool) (Permit, error)
	// AcquireSlot waits for the permit to run one statement on a server. Urgent requests go first.
	AcquireSlot(ctx context.Context, server string, urgent bool) (Permit, error)
	// ReportFailure tells that a request could not use a server, so that the next request avoids it for a while.
	ReportFailure(server string)
	// ForwardCancel sends a cancel request to the proxy that issued the key.
	ForwardCancel(ctx context.Context, process uint32, secret []byte) error
}

// Permit is the right to use a connection or a slot of a backend server.
type Permit interface {
	// Release returns the permit. It may be called more than once.
	Release()
}

// Barrier is the answer of Coordination.Barrier.
type Barrier struct {
	Position     position.Position
	Observations []Observation
}

// Observation is what is known of one backend server.
type Observation struct {
	Server    string
	Reachable bool
	// Replayed is the position that readers of the server see.
	Replayed position.Position
	// Age is an upper bound for the age of the server's data at the time At.
	Age time.Duration
	At  time.Time
}
