package coordination

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"almondgrade/core/permit"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/internal/coordinator"
	"almondgrade/io/backend"
	"almondgrade/io/peer/peerpb"
)

// service implements the Peer service for other proxies and control.
type service struct {
	peerpb.UnimplementedPeerServer
	owner *Coordination
}

// withAnswerMargin returns a context that ends a little before the caller's deadline, so that the caller receives the
// reason of a failure and does not mistake the connection for a silent one.
func withAnswerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, found := ctx.Deadline()
	if !found {
		return ctx, func() {}
	}

	return context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/answerMarginDivisor))
}

// Barrier implements peerpb.PeerServer.
func (s *service) Barrier(parent context.Context, request *peerpb.BarrierRequest) (*peerpb.BarrierReply, error) {
	ctx, cancel := withAnswerMargin(parent)
	defer cancel()

	group, err := s.owner.localCoordinator(request.GetGroup(), request.GetEpoch())
	if err != nil {
		code, reason := codeAndReason(err)

		return &peerpb.BarrierReply{Code: code, Reason: reason}, nil
	}

	answer, err := group.Barrier(ctx)
	code, reason := codeAndReason(err)

	return &peerpb.BarrierReply{
		Code: code, Reason: reason, Term: uint64(answer.Position.Term), Lsn: uint64(answer.Position.LSN),
		Observations: toProto(answer.Observations),
	}, nil
}

// Confirm implements peerpb.PeerServer.
func (s *service) Confirm(parent context.Context, request *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	ctx, cancel := withAnswerMargin(parent)
	defer cancel()

	var at position.Position

	group, err := s.owner.localCoordinator(request.GetGroup(), request.GetEpoch())
	if err == nil {
		at, err = local{group}.Confirm(ctx, position.Term(request.GetTerm()), request.GetUnreplaced())
	}

	code, reason := codeAndReason(err)

	return &peerpb.ConfirmReply{Code: code, Reason: reason, Term: uint64(at.Term), Lsn: uint64(at.LSN)}, nil
}

// Acquire implements peerpb.PeerServer.
func (s *service) Acquire(parent context.Context, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	ctx, cancel := withAnswerMargin(parent)
	defer cancel()

	group, err := s.owner.localCoordinator(request.GetGroup(), request.GetEpoch())
	if err == nil {
		wait := time.Duration(request.GetDeadlineMillis()) * time.Millisecond
		err = local{group}.Acquire(ctx, request.GetServer(), permit.Request{
			ID: permit.ID{
				Holder: permit.Holder{Proxy: request.GetProxy(), Instance: request.GetInstance()},
				Number: request.GetPermit(), Kind: kindOf(request.GetKind()),
			},
			Urgent:   request.GetUrgent(),
			Deadline: s.owner.options.Timer.Now().Add(wait),
		})
	}

	code, reason := codeAndReason(err)

	return &peerpb.AcquireReply{Code: code, Reason: reason, Permit: request.GetPermit()}, nil
}

// Release implements peerpb.PeerServer.
func (s *service) Release(_ context.Context, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	if group, err := s.owner.localCoordinator(request.GetGroup(), request.GetEpoch()); err == nil {
		holder := permit.Holder{Proxy: request.GetProxy(), Instance: request.GetInstance()}
		group.Release(holder, request.GetPermits()...)
	}

	return &peerpb.ReleaseReply{}, nil
}

// Hold implements peerpb.PeerServer.
func (s *service) Hold(ctx context.Context, request *peerpb.HoldRequest) (*peerpb.HoldReply, error) {
	var seen []coordinator.Observation

	group, err := s.owner.localCoordinator(request.GetGroup(), request.GetEpoch())
	if err == nil {
		report := heldReport{
			Report: permit.Report{
				Holder:   permit.Holder{Proxy: request.GetProxy(), Instance: request.GetInstance()},
				Sequence: request.GetSequence(), NextNumber: request.GetNext(),
			},
			held:   make(map[string][]permit.HeldPermit),
			failed: request.GetFailed(),
		}

		for _, held := range request.GetHeld() {
			report.held[held.GetServer()] = append(report.held[held.GetServer()], permit.HeldPermit{
				Number: held.GetPermit(), Kind: kindOf(held.GetKind()), Pending: held.GetPending(),
			})
		}

		seen, err = local{group}.ReportHeld(ctx, report)
	}

	code, reason := codeAndReason(err)

	return &peerpb.HoldReply{Code: code, Reason: reason, Observations: toProto(seen)}, nil
}

// Recall implements peerpb.PeerServer.
func (s *service) Recall(_ context.Context, request *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	if link, err := s.owner.linkTo(request.GetGroup()); err == nil {
		link.returnRecalled(request.GetEpoch(), request.GetServer(), kindOf(request.GetKind()), int(request.GetCount()))
	}

	return &peerpb.RecallReply{}, nil
}

// Probe implements peerpb.PeerServer.
func (s *service) Probe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	address, err := netip.ParseAddrPort(request.GetAddress())
	if err != nil {
		return &peerpb.ProbeReply{Reason: "address: " + err.Error()}, nil
	}

	// The answer must reach control before its call times out, or this proxy does not count as an observer.
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	options := s.owner.options
	server := registry.Server{Name: request.GetServer(), Address: address}

	conn, err := options.Open(ctx, server,
		coordinator.ApplicationName(options.Name, options.Instance, coordinator.KindProbe))
	if err != nil {
		return &peerpb.ProbeReply{Reason: result.ValidText(err.Error()), Reachable: backend.IsTooManyConnections(err)}, nil
	}
	defer conn.Close()

	seen, err := conn.Observe(ctx)
	if err != nil {
		return &peerpb.ProbeReply{Reason: result.ValidText(err.Error())}, nil
	}

	reply := &peerpb.ProbeReply{Reachable: true, Recovery: seen.InRecovery, Term: uint64(seen.Attachment.Term)}

	// A replica that does not receive from a primary reports the longest time.
	if seen.InRecovery {
		reply.ReceivedMillisAgo = uint64(coordinator.UnknownAge.Milliseconds())
		if seen.Receiving {
			reply.ReceivedMillisAgo = uint64(max(0, seen.LastReceivedAgo.Milliseconds()))
		}
	}

	return reply, nil
}

// Cancel implements peerpb.PeerServer.
func (s *service) Cancel(_ context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if s.owner.options.Cancel != nil {
		s.owner.options.Cancel(request.GetProcess(), request.GetSecret())
	}

	return &peerpb.CancelReply{}, nil
}

// codeAndReason returns the code and the reason of an error for a reply.
func codeAndReason(err error) (uint32, string) {
	if err == nil {
		return uint32(result.OK), ""
	}

	var failed *result.Error
	if errors.As(err, &failed) {
		return uint32(failed.Code), result.ValidText(failed.Reason)
	}

	return uint32(result.NoPrimary), result.ValidText(err.Error())
}

func kindOf(kind peerpb.Kind) permit.Kind {
	if kind == peerpb.Kind_KIND_SLOT {
		return permit.Slot
	}

	return permit.Connection
}
