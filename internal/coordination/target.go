package coordination

import (
	"context"
	"time"

	"almondgrade/core/permit"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/internal/coordinator"
	"almondgrade/io/peer"
	"almondgrade/io/peer/peerpb"
)

// target is a coordinator of a group, local or remote. An error without a code means that it could not be reached.
type target interface {
	Barrier(ctx context.Context) (coordinator.BarrierAnswer, error)
	Confirm(ctx context.Context, term position.Term, unreplaced bool) (position.Position, error)
	Acquire(ctx context.Context, server string, request permit.Request) error
	Release(ctx context.Context, holder permit.Holder, numbers []uint64) error
	ReportHeld(ctx context.Context, report heldReport) ([]coordinator.Observation, error)
}

// heldReport is the content of a Hold message.
type heldReport struct {
	permit.Report
	held   map[string][]permit.HeldPermit
	failed []string
}

// local is a coordinator in this process.
type local struct {
	*coordinator.Coordinator
}

// Confirm implements target.
func (l local) Confirm(ctx context.Context, term position.Term, unreplaced bool) (position.Position, error) {
	if unreplaced {
		return l.ConfirmUnreplaced(ctx, term)
	}

	return l.Coordinator.Confirm(ctx, term)
}

// Acquire implements target.
func (l local) Acquire(ctx context.Context, server string, request permit.Request) error {
	answer := l.Coordinator.Acquire(ctx, server, request)

	return errorOf(answer.Code, answer.Reason)
}

// Release implements target.
func (l local) Release(_ context.Context, holder permit.Holder, numbers []uint64) error {
	l.Coordinator.Release(holder, numbers...)

	return nil
}

// ReportHeld implements target.
func (l local) ReportHeld(_ context.Context, report heldReport) ([]coordinator.Observation, error) {
	for _, server := range report.failed {
		l.CheckServer(server)
	}

	if _, known := l.Coordinator.ReportHeld(report.Report, report.held); !known {
		return nil, result.New(result.OutdatedEpoch, "the coordinator's view does not have the proxy yet")
	}

	return l.Observations(), nil
}

// remote is a coordinator in another proxy.
type remote struct {
	client *peer.Client
	group  string
	epoch  uint64
}

// Barrier implements target.
func (r remote) Barrier(ctx context.Context) (coordinator.BarrierAnswer, error) {
	reply, err := r.client.Barrier(ctx, &peerpb.BarrierRequest{Group: r.group, Epoch: r.epoch})
	if err != nil {
		return coordinator.BarrierAnswer{}, err
	}

	return coordinator.BarrierAnswer{
		Position:     position.Position{Term: position.Term(reply.GetTerm()), LSN: position.LSN(reply.GetLsn())},
		Observations: fromProto(reply.GetObservations()),
	}, errorOf(result.Code(reply.GetCode()), reply.GetReason())
}

// Confirm implements target.
func (r remote) Confirm(ctx context.Context, term position.Term, unreplaced bool) (position.Position, error) {
	reply, err := r.client.Confirm(ctx, &peerpb.ConfirmRequest{
		Group: r.group, Epoch: r.epoch, Term: uint64(term), Unreplaced: unreplaced,
	})
	if err != nil {
		return position.Position{}, err
	}

	return position.Position{Term: position.Term(reply.GetTerm()), LSN: position.LSN(reply.GetLsn())},
		errorOf(result.Code(reply.GetCode()), reply.GetReason())
}

// Acquire implements target.
func (r remote) Acquire(ctx context.Context, server string, request permit.Request) error {
	remaining := time.Duration(0)
	if deadline, found := ctx.Deadline(); found {
		remaining = time.Until(deadline)
	}

	reply, err := r.client.Acquire(ctx, &peerpb.AcquireRequest{
		Proxy: request.Holder.Proxy, Instance: request.Holder.Instance, Group: r.group, Epoch: r.epoch,
		Server: server, Kind: peerpb.Kind(request.Kind), Urgent: request.Urgent,
		DeadlineMillis: uint64(max(0, remaining.Milliseconds())), Permit: request.Number,
	})
	if err != nil {
		return err
	}

	return errorOf(result.Code(reply.GetCode()), reply.GetReason())
}

// Release implements target.
func (r remote) Release(ctx context.Context, holder permit.Holder, numbers []uint64) error {
	_, err := r.client.Release(ctx, &peerpb.ReleaseRequest{
		Proxy: holder.Proxy, Instance: holder.Instance, Group: r.group, Epoch: r.epoch, Permits: numbers,
	})

	return err
}

// ReportHeld implements target.
func (r remote) ReportHeld(ctx context.Context, report heldReport) ([]coordinator.Observation, error) {
	request := &peerpb.HoldRequest{
		Proxy: report.Holder.Proxy, Instance: report.Holder.Instance, Group: r.group, Epoch: r.epoch,
		Sequence: report.Sequence, Next: report.NextNumber, Failed: report.failed,
	}

	for server, list := range report.held {
		for _, held := range list {
			request.Held = append(request.Held, &peerpb.Held{
				Permit: held.Number, Server: server, Kind: peerpb.Kind(held.Kind), Pending: held.Pending,
			})
		}
	}

	reply, err := r.client.Hold(ctx, request)
	if err != nil {
		return nil, err
	}

	return fromProto(reply.GetObservations()), errorOf(result.Code(reply.GetCode()), reply.GetReason())
}

func errorOf(code result.Code, reason string) error {
	if code == result.OK {
		return nil
	}

	return &result.Error{Code: code, Reason: reason}
}

func fromProto(list []*peerpb.Observation) []coordinator.Observation {
	observations := make([]coordinator.Observation, 0, len(list))

	for _, seen := range list {
		observations = append(observations, coordinator.Observation{
			Server:    seen.GetServer(),
			Reachable: seen.GetReachable(),
			Replayed: position.Position{
				Term: position.Term(seen.GetTerm()), LSN: position.LSN(seen.GetReplayed()),
			},
			Received: position.LSN(seen.GetReceived()),
			Age:      time.Duration(seen.GetAgeMicros()) * time.Microsecond,
		})
	}

	return observations
}

func toProto(list []coordinator.Observation) []*peerpb.Observation {
	observations := make([]*peerpb.Observation, 0, len(list))

	for _, seen := range list {
		observations = append(observations, &peerpb.Observation{
			Server:    seen.Server,
			Term:      uint64(seen.Replayed.Term),
			Replayed:  uint64(seen.Replayed.LSN),
			Received:  uint64(seen.Received),
			AgeMicros: uint64((seen.Age + time.Microsecond - 1) / time.Microsecond),
			Reachable: seen.Reachable,
		})
	}

	return observations
}
