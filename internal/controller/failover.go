package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/failover"
	"almondgrade/core/position"
	"almondgrade/core/registry"
)

const (
	// fenceTimeout bounds the fencing of one server in one step.
	fenceTimeout = 1500 * time.Millisecond
	// promoteTimeout bounds one attempt to promote a server.
	promoteTimeout = 2500 * time.Millisecond
	// moveTimeout bounds the time for which a planned move blocks writes before it fences the replicas.
	moveTimeout = 2 * time.Second
)

// failoverAttempt is what this leader has collected during one phase of a failover.
type failoverAttempt struct {
	number  uint64
	term    position.Term
	phase   registry.Phase
	beganAt time.Time
	fenced  map[string]position.Position
	// promoted is true once the candidate has been promoted to primary of the next term.
	promoted bool
	// primaryServes is true if observers last found that the old primary serves again.
	primaryServes bool
}

// startFailoverIfDead asks observers about a suspected primary and records the start of a failover if they find it dead.
func (w *worker) startFailoverIfDead(ctx context.Context, group registry.Group) bool {
	c := w.lead.controller

	if w.lead.judgePrimary(ctx, group) != failover.VerdictDead {
		c.incrementCounter("failover_suspicion_dismissed")
		c.options.Logger.Info("suspicion dismissed", "group", group.Name, "term", group.Term, "primary", group.Primary)
		w.clearSuspicion(group.Primary)

		return false
	}

	c.incrementCounter("failover_started")

	return c.recordCommand(ctx, "failover started", registry.Command{Fence: &registry.Fence{
		Group: group.Name, Term: group.Term,
	}}, "group", group.Name, "term", group.Term, "primary", group.Primary)
}

func (w *worker) clearSuspicion(server string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	delete(w.suspectedAt, server)
}

// advanceFailover performs the next step of a failover.
func (w *worker) advanceFailover(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	w.resetAttempt(group)

	action := failover.NextAction(group, w.failoverFacts(view, group))

	switch action := action.(type) {
	case failover.FenceMembers:
		w.fenceServers(ctx, view, group, action.Servers)
	case failover.RecordCandidate:
		w.lead.controller.recordCommand(ctx, "candidate recorded", registry.Command{Promote: &registry.Promote{
			Group: group.Name, Term: group.Term, Attempt: group.Attempt, Candidate: action.Candidate, BeginLSN: action.TermBegin,
		}}, "group", group.Name, "term", group.Term+1, "candidate", action.Candidate, "begin", action.TermBegin)
	case failover.RecordAbandonment:
		w.lead.controller.incrementCounter("failover_abandoned")
		w.lead.controller.recordCommand(ctx, "failover abandoned", registry.Command{AbandonFailover: &registry.AbandonFailover{
			Group: group.Name, Term: group.Term, Attempt: group.Attempt,
		}}, "group", group.Name, "term", group.Term, "primary", group.Primary)
		w.clearSuspicion(group.Primary)
	case failover.PromoteServer:
		w.promoteCandidate(ctx, view, group)
	case failover.RecordCompletion:
		w.lead.controller.recordCommand(ctx, "failover finished", registry.Command{FinishPromotion: &registry.FinishPromotion{
			Group: group.Name, Term: group.Term, Failed: action.Failed,
		}}, "group", group.Name, "term", group.Term+1, "primary", group.Candidate, "failed", action.Failed)
		w.clearSuspicion(group.Candidate)
	case nil:
		// Nobody is left to fence, and there is no candidate: only the old primary can end the failover.
		w.fenceServers(ctx, view, group, nil)
	}

	return stepPause
}

// resetAttempt discards what was collected for another attempt or phase. Positions of an earlier attempt are not kept,
// because the member may have been attached again since.
func (w *worker) resetAttempt(group registry.Group) {
	attempt := &w.attempt
	if attempt.number == group.Attempt && attempt.phase == group.Phase && attempt.term == group.Term {
		return
	}

	w.attempt = failoverAttempt{
		number: group.Attempt, term: group.Term, phase: group.Phase,
		beganAt: w.lead.controller.options.Timer.Now(), fenced: make(map[string]position.Position),
	}
}

func (w *worker) failoverFacts(view *registry.View, group registry.Group) failover.Facts {
	facts := failover.Facts{
		FencedPositions: w.attempt.fenced, LostMembers: container.NewSet[string](),
		PhaseElapsed:      w.lead.controller.options.Timer.Now().Sub(w.attempt.beganAt),
		CandidatePromoted: w.attempt.promoted, PrimaryAnswers: w.attempt.primaryServes,
	}

	for _, name := range slices.Concat(group.Members, group.PreviousMembers) {
		server, found := view.Servers[name]
		if found && server.Identity != group.MemberIdentities[name] {
			facts.LostMembers.Add(name)
		}
	}

	return facts
}

// fenceServers concurrently makes servers stop following the primary. If the phase takes longer than a second, it also
// asks observers about the old primary.
func (w *worker) fenceServers(ctx context.Context, view *registry.View, group registry.Group, names []string) {
	var (
		work  sync.WaitGroup
		mutex sync.Mutex
	)

	for _, name := range names {
		server, found := view.Servers[name]
		if !found {
			continue
		}

		work.Go(func() {
			at, err := w.fenceServer(ctx, server)
			if err != nil {
				w.lead.controller.options.Logger.Warn("fencing failed", "group", group.Name, "server", name, "error", err)

				return
			}

			mutex.Lock()
			defer mutex.Unlock()

			w.attempt.fenced[name] = at
		})
	}

	if w.lead.controller.options.Timer.Now().Sub(w.attempt.beganAt) > time.Second {
		work.Go(func() {
			answers := w.lead.judgePrimary(ctx, group) == failover.VerdictAlive

			mutex.Lock()
			defer mutex.Unlock()

			w.attempt.primaryServes = answers
		})
	}

	work.Wait()
}

func (w *worker) fenceServer(ctx context.Context, server registry.Server) (position.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()

	admin, err := w.lead.controller.openAdmin(ctx, server)
	if err != nil {
		return position.Position{}, err
	}
	defer admin.Close()

	return admin.Fence(ctx, server.Name) //nolint:wrapcheck // The error names the server.
}

func (w *worker) promoteCandidate(ctx context.Context, view *registry.View, group registry.Group) {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()

	err := w.promoteServer(ctx, group, view.Servers[group.Candidate])
	if err != nil {
		w.lead.controller.options.Logger.Warn("promotion failed", "group", group.Name,
			"server", group.Candidate, "error", err)

		return
	}

	w.attempt.promoted = true
}

func (w *worker) promoteServer(ctx context.Context, group registry.Group, server registry.Server) error {
	admin, err := w.lead.controller.openAdmin(ctx, server)
	if err != nil {
		return err
	}
	defer admin.Close()

	return admin.Promote(ctx, server.Name, group.Term+1) //nolint:wrapcheck // The error names the server.
}

// startMove starts a planned move of a group whose primary is leaving: it blocks new writes, waits until a replica has
// received everything, and records a failover with that replica as target.
func (w *worker) startMove(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	target, err := w.prepareMove(ctx, view, group)
	if err != nil {
		w.lead.controller.options.Logger.Warn("planned move is not possible now; allowing writes again", "group", group.Name, "error", err)
		w.allowWrites(ctx, view.Servers[group.Primary])
		// Attaching replicas or adding members may make the move possible.
		w.reconcile(ctx, view, group)

		return retryPause
	}

	w.lead.controller.incrementCounter("planned_move")
	w.lead.controller.recordCommand(ctx, "planned move started", registry.Command{Fence: &registry.Fence{
		Group: group.Name, Term: group.Term, Target: target,
	}}, "group", group.Name, "term", group.Term, "target", target)

	return stepPause
}
