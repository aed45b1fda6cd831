package deployed

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"almondgrade/core/timer"
	"almondgrade/io/fleet"
)

// relayInterval is the time between two questions for the leader.
const relayInterval = 500 * time.Millisecond

// RelayOptions describe a Relay.
type RelayOptions struct {
	// Control returns the addresses of control processes to begin with. It is called again while none is reached.
	Control func() []netip.AddrPort
	// Memory is the size in bytes above which the process is ended.
	Memory int64
	Logger *slog.Logger
}

// Relay passes the calls of backend servers and operators on to the leader of control. It keeps no state.
type Relay struct {
	options RelayOptions
	client  *fleet.Client
}

// NewRelay returns a relay that knows the first addresses only.
func NewRelay(options RelayOptions) *Relay {
	limitMemory(options.Memory)

	return &Relay{options: options, client: fleet.NewClient(fleet.ClientOptions{
		Seeds: options.Control(), Dial: dial, Logger: options.Logger,
	})}
}

// Run keeps track of the leader until the context ends.
func (r *Relay) Run(ctx context.Context) {
	r.options.Logger.Info("relay starts")

	var (
		version fleet.Version
		known   []netip.AddrPort
	)

	for ctx.Err() == nil {
		// A relay needs no configuration, so it claims the highest one.
		reply, err := r.client.Sync(ctx, &fleet.SyncRequest{Applied: version, Configuration: math.MaxUint64})

		switch {
		case err != nil:
			r.options.Logger.Debug("control is not reached", "error", err)
			r.client.Learn(append(r.options.Control(), known...))
			_ = timer.Sleep(ctx, syncPauseMost) // The loop looks at the context.

			continue
		case reply.View != nil:
			version, known = reply.View.Version, reply.View.Control
			r.client.Learn(known)
		}

		_ = timer.Sleep(ctx, relayInterval) // The loop looks at the context.
	}

	r.client.Close()
	r.options.Logger.Info("relay ends")
}

// Carry carries out a call at the leader.
func (r *Relay) Carry(ctx context.Context, delivery *fleet.Delivery) (*fleet.Receipt, error) {
	return r.client.Carry(ctx, delivery)
}
