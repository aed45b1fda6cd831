package operator

import (
	"context"

	"almondgrade/io/control/controlpb"
)

// Control carries out the requests of operators. On a proxy it forwards them to a control process. Errors carry a
// result.Code; a reply with a code other than zero is a refusal, too. All methods are safe for concurrent use.
type Control interface {
	// Apply changes the running configuration. A change with an id that was already used returns the first answer
	// again.
	Apply(ctx context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error)
	// Status returns the replicated state, confirmed by a quorum.
	Status(ctx context.Context) (*controlpb.StatusReply, error)
	// Drain marks a backend server or a proxy as leaving, or removes that mark.
	Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error)
}
