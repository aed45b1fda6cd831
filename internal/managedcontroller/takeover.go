package managedcontroller

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"almondgrade/core/failover"
	"almondgrade/core/position"
	"almondgrade/core/promotion"
	"almondgrade/core/topology"
)

const (
	// pendingInterval is the time between two looks at the proxies that a takeover waits for.
	pendingInterval = 15 * time.Millisecond
	// settleTime bounds the wait of a planned takeover for replicas that receive what the primary has committed.
	settleTime = time.Second
	// orderTimeout bounds one order to the platform.
	orderTimeout = 600 * time.Millisecond
	// promotionTime is the time after an accepted order in which the server must lead. Promotions take about a second.
	promotionTime = 3 * time.Second
	// unansweredTime is the same for an order without an answer, after which another one is given.
	unansweredTime = 1200 * time.Millisecond
	// promotionInterval is the time between two questions whether the candidate leads.
	promotionInterval = 60 * time.Millisecond
	// outdatedTime is the time for which a takeover waits for a server of the newest term, longer than VMs and members are
	// usually away. After it, the loss of what that term acknowledged is taken to be final.
	outdatedTime = 15 * time.Second
)

// takeOver leads the group from its present phase to a new primary. It may return early; the next step goes on.
func (s *steward) takeOver() {
	options := s.leadership.controller.options
	defer s.prober.keep("")

	s.lacking = time.Time{}

	if group := options.State.View().Groups[s.group]; group.Phase == topology.PhaseFencing {
		if !s.fence(group) {
			return
		}
	}

	for s.leadership.ctx.Err() == nil {
		view := options.State.View()

		group := view.Groups[s.group]
		if group.Phase == topology.PhaseStable {
			return
		}

		token, chosen := s.choose(view, group)
		if token == 0 {
			if !s.leadership.pause(probeInterval) {
				return
			}

			continue
		}

		s.order(chosen, token)
	}
}

// fence waits until no proxy uses the primary. It is false if the takeover ended.
func (s *steward) fence(group topology.Group) bool {
	options := s.leadership.controller.options
	version := s.leadership.version()
	began := time.Now()

	for {
		pending := s.leadership.pending(time.Now(), s.group, version)
		if len(pending) == 0 {
			s.logger().Info("proxies have left the primary", "group", s.group, "took", time.Since(began))

			return true
		}

		if !group.Planned && time.Since(began) > probeInterval && s.recovered(group) {
			_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
				AbandonTakeover: &topology.AbandonTakeover{Group: s.group, Epoch: group.Epoch},
			})
			s.logger().Warn("takeover abandoned: the primary answers again", "group", s.group, "primary", group.Primary,
				"pending", pending, "error", err)
			s.leadership.refresh(time.Now())

			return false
		}

		if !s.leadership.pause(pendingInterval) || options.State.View().Groups[s.group].Epoch != group.Epoch {
			return false
		}
	}
}

// recovered reports whether the primary answers as such.
func (s *steward) recovered(group topology.Group) bool {
	primary, known := s.leadership.controller.options.State.View().Servers[group.Primary]
	if !known || s.detector == nil {
		return false
	}

	seen := s.look(primary)

	return seen.answered && seen.primary && s.detector.State() != failover.Dead
}

// choose records the candidate and returns the token of the order, or zero.
func (s *steward) choose(view *topology.View, group topology.Group) (token uint64, chosen topology.Server) {
	replicas := s.replicas(view, group)
	needs := promotion.Needs{Replicas: len(replicas), Term: group.Term}

	candidates, leader := s.gather(group, replicas)
	if leader != "" {
		// An earlier order was carried out late. A new one for the same server changes nothing and keeps orders that
		// are still under way from being carried out.
		candidates = []promotion.Candidate{{ID: leader, Term: group.Term}}
	} else if group.Planned {
		candidates = s.settle(view, group, replicas, candidates)
	}

	if settings, known := groupSettings(view, s.group); known && leader == "" {
		needs.SyncReplicas = settings.SyncReplicas
	}

	id, possible := promotion.Choose(candidates, needs)
	if !possible && len(candidates) > 0 && s.outdated(time.Now()) {
		s.logger().Warn("only servers of an older term have answered for long; one of them is promoted", "group", s.group,
			"needs", needs, "candidates", candidates)

		needs.Term = 0
		id, possible = promotion.Choose(candidates, needs)
	}

	if !possible {
		s.logger().Warn("no server can be promoted", "group", s.group, "needs", needs, "candidates", candidates)

		return 0, topology.Server{}
	}

	answer, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		Promote: &topology.Promote{Group: s.group, Epoch: group.Epoch, Candidate: id},
	})
	s.logger().Info("candidate recorded", "group", s.group, "candidate", id, "candidates", candidates, "token",
		answer.Number, "error", err)

	if err != nil {
		return 0, topology.Server{}
	}

	s.leadership.refresh(time.Now())

	return answer.Number, view.Servers[id]
}

// outdated reports whether the takeover has waited long enough for a server of the newest term.
func (s *steward) outdated(now time.Time) bool {
	if s.lacking.IsZero() {
		s.lacking = now
	}

	return now.Sub(s.lacking) > outdatedTime
}

// replicas returns the servers of the group but the former primary. During a takeover whose order failed, the former
// primary may be promoted as well: for itself, the order changes nothing.
func (s *steward) replicas(view *topology.View, group topology.Group) []topology.Server {
	var replicas []topology.Server

	for id, server := range view.Servers {
		if server.Group == s.group && id != group.Primary {
			replicas = append(replicas, server)
		}
	}

	return replicas
}

// gather asks the replicas for their positions, all at once. One whose position is not known is no candidate: promoting
// it could discard any number of commits. Leader is the one that leads a newer term than the former primary.
func (s *steward) gather(
	group topology.Group, replicas []topology.Server,
) (candidates []promotion.Candidate, leader string) {
	findings := make([]finding, len(replicas))

	var asked errgroup.Group

	for i, replica := range replicas {
		asked.Go(func() error {
			single := newProber(s.leadership.controller.options.Dial)
			defer single.close()

			findings[i] = single.insist(s.leadership.ctx, replica)

			return nil
		})
	}

	_ = asked.Wait() // The functions return no errors.

	for i, seen := range findings {
		if seen.primary && seen.term > group.Term {
			leader = replicas[i].ID
		}

		if !seen.answered || seen.busy {
			s.logger().Info("replica did not tell its position", "group", s.group, "server", replicas[i].ID, "busy", seen.busy,
				"error", seen.err)

			continue
		}

		candidates = append(candidates, promotion.Candidate{
			ID: replicas[i].ID, Term: seen.term, Received: seen.position, Leaving: replicas[i].Leaving,
		})
	}

	return candidates, leader
}

// settle waits, in a planned takeover, until a replica has received what the primary has.
func (s *steward) settle(
	view *topology.View, group topology.Group, replicas []topology.Server, candidates []promotion.Candidate,
) []promotion.Candidate {
	primary, known := view.Servers[group.Primary]
	if !known {
		return candidates
	}

	for began := time.Now(); time.Since(began) < settleTime; {
		seen := s.prober.probe(primary, false)
		if !seen.answered || !seen.primary {
			return candidates
		}

		if caughtUp(candidates, seen.position) {
			return candidates
		}

		if !s.leadership.pause(promotionInterval) {
			return candidates
		}

		candidates, _ = s.gather(group, replicas)
	}

	return candidates
}

// caughtUp reports whether a server that stays has received a position.
func caughtUp(candidates []promotion.Candidate, wanted position.Position) bool {
	for _, candidate := range candidates {
		if !candidate.Leaving && !candidate.Received.Less(wanted) {
			return true
		}
	}

	return false
}

// order gives an order and records the new primary once it leads.
func (s *steward) order(candidate topology.Server, token uint64) {
	options := s.leadership.controller.options

	ctx, cancel := context.WithTimeout(s.leadership.ctx, orderTimeout)
	outcome, err := options.Promote(ctx, Order{Group: s.group, Server: candidate.ID, Holder: options.Name, Token: token})

	cancel()
	options.Metrics.Counter("orders").Inc(1)
	s.logger().Info("order given", "group", s.group, "candidate", candidate.ID, "token", token, "outcome", outcome,
		"error", err)

	wait := unansweredTime

	switch outcome {
	case Accepted:
		wait = promotionTime
	case Rejected:
		return
	case Unanswered:
	}

	group := options.State.View().Groups[s.group]
	if group.Token != token {
		return
	}

	if term := s.awaitLead(group, candidate, outcome, wait); term > 0 {
		s.finish(group, term)
	}
}

// awaitLead waits until the candidate says that it leads, in answer to a probe or, after an accepted order, by an
// announcement of the change: a server without room answers no probe. It returns the term, or a lower bound of it, or
// zero if the candidate doesn't lead.
func (s *steward) awaitLead(
	group topology.Group, candidate topology.Server, outcome Promotion, wait time.Duration,
) position.Term {
	for began := time.Now(); time.Since(began) < wait; {
		if seen := s.prober.probe(candidate, false); seen.primary && seen.term > group.Term {
			return seen.term
		}

		announced := s.leadership.controller.options.State.View().Servers[candidate.ID]
		if outcome == Accepted && announced.ClaimsPrimary && !candidate.ClaimsPrimary {
			return group.Term + 1
		}

		if !s.leadership.pause(promotionInterval) {
			break
		}
	}

	return 0
}

func (s *steward) finish(group topology.Group, term position.Term) {
	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		FinishTakeover: &topology.FinishTakeover{Group: s.group, Token: group.Token, Primary: group.Candidate, Term: term},
	})
	s.logger().Warn("takeover ends", "group", s.group, "primary", group.Candidate, "token", group.Token, "term", term,
		"error", err)
	s.leadership.refresh(time.Now())
}

func (s *steward) logger() *slog.Logger {
	return s.leadership.controller.options.Logger
}
