package proxy

import (
	"context"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
)

// Coordination connects request processing with the coordinators of groups and with the control processes. All methods
// are safe for concurrent use. Their errors carry a result.Code.
type Coordination interface {
	// View returns the latest view, or nil before the first one has arrived.
	View() *registry.View
	// ConfigurationConfirmed reports whether the proxy may accept new work: its configuration lease has not expired, or
	// the configuration allows serving without one.
	ConfigurationConfirmed() bool
	// Barrier returns a position that covers every write acknowledged before the call, together with what the
	// coordinator observed of each member during the call.
	Barrier(ctx context.Context, group string) (Barrier, error)
	// Observations returns the coordinator's latest observation of each member of a group, without waiting.
	Observations(group string) []Observation
	// ConfirmCommits waits until a commit quorum holds every commit made on the primary of a term before the call, and
	// returns the position that was confirmed. With unreplaced it waits only for proof that the primary was not
	// replaced before the call.
	ConfirmCommits(ctx context.Context, group string, term position.Term, unreplaced bool) (position.Position, error)
	// AcquireConnection waits for the permit to open one connection to a server. The permit is valid until its release.
	AcquireConnection(ctx context.Context, server string, urgent bool) (Permit, error)
	// AcquireSlot waits for the permit to run one statement on a server. Urgent requests have priority.
	AcquireSlot(ctx context.Context, server string, urgent bool) (Permit, error)
	// ReportFailure reports that a request could not use a server, so that later requests avoid it for a while.
	ReportFailure(server string)
	// ForwardCancel sends a cancel request to the proxy that issued the key.
	ForwardCancel(ctx context.Context, process uint32, secret []byte) error
}

// Permit allows the use of one connection or one slot of a backend server.
type Permit interface {
	// Release returns the permit. It may be called more than once.
	Release()
}

// Barrier is the result of Coordination.Barrier.
type Barrier struct {
	Position     position.Position
	Observations []Observation
}

// Observation is the observed state of one backend server.
type Observation struct {
	Server    string
	Reachable bool
	// Replayed is the position up to which reads on the server see the data.
	Replayed position.Position
	// Age is an upper bound of the age of the server's data at the time At.
	Age time.Duration
	At  time.Time
}
