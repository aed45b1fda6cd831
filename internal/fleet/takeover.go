package fleet

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"almondgrade/core/deployment"
	"almondgrade/core/failover"
	"almondgrade/core/position"
	"almondgrade/core/takeover"
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
)

// takeOver leads the group from its present phase to a new primary. It may return early; the next step goes on.
func (s *steward) takeOver() {
	options := s.leadership.controller.options
	defer s.prober.keep("")

	if group := options.State.View().Groups[s.group]; group.Phase == deployment.Fencing {
		if !s.fence(group) {
			return
		}
	}

	for s.leadership.ctx.Err() == nil {
		view := options.State.View()

		group := view.Groups[s.group]
		if group.Phase == deployment.Stable {
			return
		}

		token, chosen := s.choose(view, group)
		if token == 0 {
			if !s.leadership.pause(s.leadership.ctx, probeInterval) {
				return
			}

			continue
		}

		s.order(chosen, token)
	}
}

// fence waits until no proxy uses the primary. It is false if the takeover ended.
func (s *steward) fence(group deployment.Group) bool {
	options := s.leadership.controller.options
	version := s.leadership.version()
	began := time.Now()

	for {
		pending := s.leadership.pending(time.Now(), version)
		if len(pending) == 0 {
			s.logger().Info("proxies have left the primary", "group", s.group, "took", time.Since(began))

			return true
		}

		if !group.Planned && time.Since(began) > probeInterval && s.recovered(group) {
			_, err := s.leadership.controller.propose(s.leadership.ctx, deployment.Command{
				Abandon: &deployment.Abandon{Group: s.group, Epoch: group.Epoch},
			})
			s.logger().Warn("takeover abandoned: the primary answers again", "group", s.group, "primary", group.Primary,
				"pending", pending, "error", err)
			s.leadership.refresh(time.Now())

			return false
		}

		if !s.leadership.pause(s.leadership.ctx, pendingInterval) || options.State.View().Groups[s.group].Epoch != group.Epoch {
			return false
		}
	}
}

// recovered reports whether the primary answers as such.
func (s *steward) recovered(group deployment.Group) bool {
	primary, known := s.leadership.controller.options.State.View().Servers[group.Primary]
	if !known || s.detector == nil {
		return false
	}

	seen := s.look(primary)

	return seen.answered && seen.primary && s.detector.State() != failover.Dead
}

// choose records the candidate and returns the token of the order, or zero.
func (s *steward) choose(view *deployment.View, group deployment.Group) (token uint64, chosen deployment.Server) {
	replicas := s.replicas(view, group)
	candidates, leader := s.gather(replicas)

	if leader != "" {
		// An earlier order was carried out late. A new one for the same server changes nothing and keeps orders that
		// are still under way from being carried out.
		candidates = []takeover.Candidate{{ID: leader}}
	} else if group.Planned {
		candidates = s.settle(view, group, replicas, candidates)
	}

	sync := 0
	if settings, known := groupSettings(view, s.group); known && leader == "" {
		sync = settings.SyncReplicas
	}

	id, possible := takeover.Choose(candidates, len(replicas), sync)
	if !possible {
		s.logger().Warn("no server can be promoted", "group", s.group, "replicas", len(replicas), "answered",
			len(candidates), "sync", sync)

		return 0, deployment.Server{}
	}

	answer, err := s.leadership.controller.propose(s.leadership.ctx, deployment.Command{
		Promote: &deployment.Promote{Group: s.group, Epoch: group.Epoch, Candidate: id},
	})
	s.logger().Info("candidate recorded", "group", s.group, "candidate", id, "candidates", candidates, "token",
		answer.Number, "error", err)

	if err != nil {
		return 0, deployment.Server{}
	}

	s.leadership.refresh(time.Now())

	return answer.Number, view.Servers[id]
}

// replicas returns the servers of the group but the former primary. During a takeover whose order failed, the former
// primary may be promoted as well: for itself, the order changes nothing.
func (s *steward) replicas(view *deployment.View, group deployment.Group) []deployment.Server {
	var replicas []deployment.Server

	for id, server := range view.Servers {
		if server.Group == s.group && id != group.Primary {
			replicas = append(replicas, server)
		}
	}

	return replicas
}

// gather asks the replicas for their positions, all at once. Leader is the one that says that it leads.
func (s *steward) gather(replicas []deployment.Server) (candidates []takeover.Candidate, leader string) {
	findings := make([]finding, len(replicas))

	var asked errgroup.Group

	for i, replica := range replicas {
		asked.Go(func() error {
			single := newProber(s.leadership.controller.options.Dial)
			defer single.close()

			findings[i] = single.probe(replica, true)
			// A server that had no room for the question is asked once more.
			if findings[i].busy {
				findings[i] = single.probe(replica, false)
			}

			return nil
		})
	}

	_ = asked.Wait() // The functions return no errors.

	for i, seen := range findings {
		if seen.primary {
			leader = replicas[i].ID
		}

		if !seen.answered {
			s.logger().Info("replica did not answer", "group", s.group, "server", replicas[i].ID, "error", seen.err)

			continue
		}

		candidates = append(candidates, takeover.Candidate{
			ID: replicas[i].ID, Received: seen.position, Leaving: replicas[i].Leaving,
		})
	}

	return candidates, leader
}

// settle waits, in a planned takeover, until a replica has received what the primary has.
func (s *steward) settle(
	view *deployment.View, group deployment.Group, replicas []deployment.Server, candidates []takeover.Candidate,
) []takeover.Candidate {
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

		if !s.leadership.pause(s.leadership.ctx, promotionInterval) {
			return candidates
		}

		candidates, _ = s.gather(replicas)
	}

	return candidates
}

// caughtUp reports whether a server that stays has received a position.
func caughtUp(candidates []takeover.Candidate, wanted position.Position) bool {
	for _, candidate := range candidates {
		if !candidate.Leaving && !candidate.Received.Less(wanted) {
			return true
		}
	}

	return false
}

// order gives an order and records the new primary once it leads.
func (s *steward) order(candidate deployment.Server, token uint64) {
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

	view := options.State.View()

	group := view.Groups[s.group]
	if group.Token == token && s.leads(view, group, wait) {
		s.finish(group)
	}
}

// leads waits until the candidate says that it leads.
func (s *steward) leads(view *deployment.View, group deployment.Group, wait time.Duration) bool {
	candidate, known := view.Servers[group.Candidate]
	if !known {
		return false
	}

	for began := time.Now(); time.Since(began) < wait; {
		if seen := s.prober.probe(candidate, false); seen.primary {
			return true
		}

		if !s.leadership.pause(s.leadership.ctx, promotionInterval) {
			return false
		}
	}

	return false
}

func (s *steward) finish(group deployment.Group) {
	_, err := s.leadership.controller.propose(s.leadership.ctx, deployment.Command{
		Finish: &deployment.Finish{Group: s.group, Token: group.Token, Primary: group.Candidate},
	})
	s.logger().Warn("takeover ends", "group", s.group, "primary", group.Candidate, "token", group.Token, "error", err)
	s.leadership.refresh(time.Now())
}

func (s *steward) logger() *slog.Logger {
	return s.leadership.controller.options.Logger
}
