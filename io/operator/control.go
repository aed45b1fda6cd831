package operator

import (
	"context"

	"almondgrade/io/control/controlpb"
)

// Control is what the interface needs of control. On a proxy it forwards to a control process. Errors carry a
// result.Code; a reply with a code other than zero is a refusal, too. All methods are safe for concurrent use.
type Control interface {
	// Apply changes the running configuration. A change whose id is known returns the first answer again.
	Apply(ctx context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error)
	// Status describes the replicated state, confirmed by a quorum.
	Status(ctx context.Context) (*controlpb.StatusReply, error)
	// Drain marks a backend server or a proxy as leaving, or undoes it.
	Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error)
}
