package controller

import (
	"context"
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
	// promoteTimeout bounds one request to promote.
	promoteTimeout = 2500 * time.Millisecond
	// moveTimeout bounds the time for which a planned move holds up writes before it fences.
	moveTimeout = 2 * time.Second
)

// attempt is what this leader has gathered about one phase of a failover.
type attempt struct {
	number uint64
	term   position.Term
	phase  registry.Phase
	began  time.Time
	fenced map[string]position.Position
	// promoted is true once the candidate answered as primary of the next term.
	promoted bool
	// answers is true once observers found the old primary to serve again.
	answers bool
}

// confirmDead asks observers about a suspected primary and records the start of a failover if they agree.
func (w *worker) confirmDead(ctx context.Context, group registry.Group) bool {
	c := w.lead.controller

	if w.lead.judge(ctx, group) != failover.VerdictDead {
		c.count("failover_suspicion_dismissed")
		c.options.Logger.Info("suspicion dismissed", "group", group.Name, "term", group.Term, "primary", group.Primary)
		w.clear(group.Primary)

		return false
	}

	c.count("failover_started")

	return c.record(ctx, "failover started", registry.Command{Fence: &registry.Fence{
		Group: group.Name, Term: group.Term,
	}}, "group", group.Name, "term", group.Term, "primary", group.Primary)
}

func (w *worker) clear(server string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	delete(w.suspected, server)
}

// advance performs the next step of a failover.
func (w *worker) advance(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	w.enter(group)

	action := failover.Next(group, w.facts(view, group))

	switch action := action.(type) {
	case failover.FenceMembers:
		w.fence(ctx, view, group, action.Servers)
	case failover.RecordPromote:
		w.lead.controller.record(ctx, "candidate recorded", registry.Command{Promote: &registry.Promote{
			Group: group.Name, Term: group.Term, Attempt: group.Attempt, Candidate: action.Candidate, BeginLSN: action.Begin,
		}}, "group", group.Name, "term", group.Term+1, "candidate", action.Candidate, "begin", action.Begin)
	case failover.RecordAbandon:
		w.lead.controller.count("failover_abandoned")
		w.lead.controller.record(ctx, "failover abandoned", registry.Command{AbandonFailover: &registry.AbandonFailover{
			Group: group.Name, Term: group.Term, Attempt: group.Attempt,
		}}, "group", group.Name, "term", group.Term, "primary", group.Primary)
		w.clear(group.Primary)
	case failover.PromoteServer:
		w.promote(ctx, view, group)
	case failover.RecordFinish:
		w.lead.controller.record(ctx, "failover finished", registry.Command{FinishPromotion: &registry.FinishPromotion{
			Group: group.Name, Term: group.Term, Failed: action.Failed,
		}}, "group", group.Name, "term", group.Term+1, "primary", group.Candidate, "failed", action.Failed)
		w.clear(group.Candidate)
	case nil:
	}

	return busyPeriod
}

// enter forgets what was gathered for another attempt or phase. Positions of an earlier attempt are not kept: the
// member may have been attached again since.
func (w *worker) enter(group registry.Group) {
	a := &w.attempt
	if a.number == group.Attempt && a.phase == group.Phase && a.term == group.Term {
		return
	}

	w.attempt = attempt{
		number: group.Attempt, term: group.Term, phase: group.Phase,
		began: w.lead.controller.options.Timer.Now(), fenced: make(map[string]position.Position),
	}
}

func (w *worker) facts(view *registry.View, group registry.Group) failover.Facts {
	facts := failover.Facts{
		Fenced: w.attempt.fenced, Lost: container.NewSet[string](),
		Elapsed:  w.lead.controller.options.Timer.Now().Sub(w.attempt.began),
		Promoted: w.attempt.promoted, PrimaryAnswers: w.attempt.answers,
	}

	for _, name := range group.Members {
		server, found := view.Servers[name]
		if found && server.Identity != group.MemberIdentities[name] {
			facts.Lost.Add(name)
		}
	}

	return facts
}

// fence makes servers stop following the primary, all at once, and asks observers about the old primary meanwhile.
func (w *worker) fence(ctx context.Context, view *registry.View, group registry.Group, names []string) {
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

	if w.lead.controller.options.Timer.Now().Sub(w.attempt.began) > time.Second {
		work.Go(func() {
			answers := w.lead.judge(ctx, group) == failover.VerdictAlive

			mutex.Lock()
			defer mutex.Unlock()

			w.attempt.answers = answers
		})
	}

	work.Wait()
}

func (w *worker) fenceServer(ctx context.Context, server registry.Server) (position.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()

	admin, err := w.lead.controller.admin(ctx, server)
	if err != nil {
		return position.Position{}, err
	}
	defer admin.Close()

	return admin.Fence(ctx, server.Name) //nolint:wrapcheck // It names the server.
}

func (w *worker) promote(ctx context.Context, view *registry.View, group registry.Group) {
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
	admin, err := w.lead.controller.admin(ctx, server)
	if err != nil {
		return err
	}
	defer admin.Close()

	return admin.Promote(ctx, server.Name, group.Term+1) //nolint:wrapcheck // It names the server.
}

// move changes the primary of a group whose present primary is leaving: it stops new writes, waits until a replica
// has everything, and then performs the steps of a failover with that replica as target.
func (w *worker) move(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	target, err := w.prepareMove(ctx, view, group)
	if err != nil {
		w.lead.controller.options.Logger.Warn("planned move is not possible now", "group", group.Name, "error", err)
		w.allowWrites(ctx, view.Servers[group.Primary])
		// Members are still attached and added meanwhile, which may make the move possible.
		w.reconcile(ctx, view, group)

		return retryPeriod
	}

	w.lead.controller.count("planned_move")
	w.lead.controller.record(ctx, "planned move started", registry.Command{Fence: &registry.Fence{
		Group: group.Name, Term: group.Term, Target: target,
	}}, "group", group.Name, "term", group.Term, "target", target)

	return busyPeriod
}
