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
	"almondgrade/internal/managedproxy"
)

const (
	// fencingPollInterval is the time between two checks of the proxies that a takeover waits for.
	fencingPollInterval = 15 * time.Millisecond
	// catchUpTimeout bounds the wait of a planned takeover for a replica to receive what the primary has committed.
	catchUpTimeout = time.Second
	// orderTimeout bounds one order to the platform.
	orderTimeout = 600 * time.Millisecond
	// promotionTimeout is the time after an accepted order within which the server must be the primary. Promotions take
	// about a second.
	promotionTimeout = 3 * time.Second
	// unansweredTimeout is the same for an order without an answer, after which another order is sent.
	unansweredTimeout = 1200 * time.Millisecond
	// promotionPollInterval is the time between two checks whether the candidate has caught up or is the primary.
	promotionPollInterval = 60 * time.Millisecond
	// newestTermTimeout bounds the wait of a takeover for a server of the newest term, and for absent ones. It exceeds the usual
	// downtime of VMs and servers. After it, the commits that only these hold are assumed to be lost for good.
	newestTermTimeout = 15 * time.Second
)

// takeOver takes the group from its current phase to a new primary. If it returns early, the next call of handlePhase
// continues.
func (s *groupSupervisor) takeOver() {
	options := s.leadership.controller.options
	defer s.prober.closeOthers("")

	s.newestTermMissingSince = time.Time{}

	if group := options.State.View().Groups[s.group]; group.Phase == topology.PhaseFencing {
		if !s.awaitFencing(group) {
			return
		}
	}

	for s.leadership.ctx.Err() == nil {
		view := options.State.View()

		group := view.Groups[s.group]
		if group.Phase == topology.PhaseStable {
			return
		}

		recorded := s.recordCandidate(view, group)
		if recorded.token == 0 {
			if !s.leadership.sleep(probeInterval) {
				return
			}

			continue
		}

		s.orderPromotion(recorded)
	}
}

// awaitFencing waits until no proxy uses the primary. It returns false if the takeover or the leadership has ended.
func (s *groupSupervisor) awaitFencing(group topology.Group) bool {
	options := s.leadership.controller.options
	version := s.leadership.refreshedVersion(s.group)
	began := time.Now()

	for {
		pending := s.leadership.pendingProxies(time.Now(), s.group, version)
		if len(pending) == 0 {
			s.logger().Info("no proxy uses the former primary any more", "group", s.group, "took", time.Since(began))

			return true
		}

		if !group.Planned && time.Since(began) > probeInterval && s.primaryRecovered(group) {
			_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
				AbandonTakeover: &topology.AbandonTakeover{Group: s.group, Epoch: group.Epoch},
			})
			s.logger().Warn("takeover abandoned: the primary answers again", "group", s.group, "primary", group.Primary,
				"pending", pending, "error", err)
			s.leadership.refreshView(time.Now())

			return false
		}

		if !s.leadership.sleep(fencingPollInterval) || options.State.View().Groups[s.group].Epoch != group.Epoch {
			return false
		}
	}
}

// primaryRecovered reports whether the primary answers again and is still the primary.
func (s *groupSupervisor) primaryRecovered(group topology.Group) bool {
	primary, known := s.leadership.controller.options.State.View().Servers[group.Primary]
	if !known || s.detector == nil {
		return false
	}

	probed := s.probePrimary(primary)
	if !probed.answered || !probed.primary || s.detector.State() == failover.Dead {
		return false
	}

	return s.confirmOnNewConn(primary, probed).primary
}

// recordedCandidate is a candidate for which an order is to be given.
type recordedCandidate struct {
	server topology.Server
	// token is the fencing token of the order, or zero if there is no candidate.
	token uint64
	// leads is true if the server is the primary already. An order for it changes nothing, and its higher token keeps orders that
	// are still in flight from being executed.
	leads bool
}

// recordCandidate chooses a candidate and records it. It ends the takeover if no order is needed.
func (s *groupSupervisor) recordCandidate(view *topology.View, group topology.Group) recordedCandidate {
	requirements := s.requirements(view, group)
	// Servers are stopped only once a candidate is recorded, because until then the takeover can be abandoned and they would
	// stay stopped.
	stops := requirements.SyncReplicas > 0
	mustRecordFirst := stops && group.Phase == topology.PhaseFencing

	chosen, possible := s.choose(view, group, requirements, mustRecordFirst)
	if !possible {
		return recordedCandidate{}
	}

	if chosen.Primary && group.Phase == topology.PhaseFencing && (chosen.Term == group.Term || chosen.ID == group.Primary) {
		s.keepPrimary(group, chosen.ID)

		return recordedCandidate{}
	}

	// Replicas may have been paused for the candidate that was recorded before, and only a promotion reliably ends that on all.
	if chosen.Primary && stops && chosen.Term == group.Term {
		stepped := s.stepDown(view.Servers[chosen.ID], chosen.Term+1)
		if !stepped.confirmed && !stepped.unsupported {
			return recordedCandidate{}
		}

		chosen.Primary = stepped.unsupported
	}

	answer, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		Promote: &topology.Promote{Group: s.group, Epoch: group.Epoch, Candidate: chosen.ID, Acknowledged: requirements.Acknowledged},
	})
	s.logger().Info("candidate recorded", "group", s.group, "candidate", chosen.ID, "leads", chosen.Primary, "token", answer.Number,
		"error", err)

	if err != nil {
		return recordedCandidate{}
	}

	s.leadership.refreshView(time.Now())

	if mustRecordFirst {
		view = s.leadership.controller.options.State.View()

		return s.recordCandidate(view, view.Groups[s.group])
	}

	return recordedCandidate{server: view.Servers[chosen.ID], token: answer.Number, leads: chosen.Primary}
}

// requirements returns the conditions that the next primary of the group must meet.
func (s *groupSupervisor) requirements(view *topology.View, group topology.Group) promotion.Requirements {
	requirements := promotion.Requirements{
		Replicas: countReplicas(view, s.replicas(view, group)), Absent: len(view.AbsentReplicas(s.group)), Term: group.Term,
	}

	if settings, known := groupSettings(view, s.group); known && settings.SyncReplicas > 0 {
		requirements.SyncReplicas = settings.SyncReplicas
		// An earlier leader has recorded what it knew.
		requirements.Acknowledged = position.Later(group.Acknowledged, s.leadership.acknowledgedPosition(group))
	}

	return requirements
}

// choose returns the server that is the primary already, or else the one to promote. Commits are stopped before the choice if they wait
// for replicas, unless the choice is provisional.
func (s *groupSupervisor) choose(
	view *topology.View, group topology.Group, requirements promotion.Requirements, provisional bool,
) (chosen promotion.Candidate, possible bool) {
	replicas := s.replicas(view, group)
	candidates := s.gatherCandidates(replicas, statusCommand)

	primary, leads := promotion.FindPrimary(candidates, group.Term)
	if !leads && group.Planned && !provisional {
		candidates = s.awaitCatchUp(view, group, replicas, candidates)
	}

	if !leads && requirements.SyncReplicas > 0 && !provisional {
		if _, possible := s.chooseCandidate(candidates, requirements); possible {
			candidates = s.stopCommits(view, group, replicas, candidates)
			primary, leads = promotion.FindPrimary(candidates, group.Term)
		}
	}

	chosen, possible = primary, leads
	if !leads {
		chosen, possible = s.chooseCandidate(candidates, requirements)
	}

	if !possible {
		chosen, possible = s.answeringPrimary(view, group, candidates)
	}

	if !possible {
		s.leadership.controller.options.Metrics.Counter("takeovers_waiting").Inc(1)
		s.logger().Warn("no server can be promoted", "group", s.group, "needs", requirements, "candidates", candidates,
			"absent", view.AbsentReplicas(s.group))

		return promotion.Candidate{}, false
	}

	s.logger().Info("candidate chosen", "group", s.group, "candidate", chosen, "candidates", candidates, "needs", requirements,
		"provisional", provisional)

	return chosen, true
}

// answeringPrimary returns the recorded primary if it answers again and is still the primary. It is asked only if no replica can be
// promoted, and not if it is about to stop.
func (s *groupSupervisor) answeringPrimary(
	view *topology.View, group topology.Group, candidates []promotion.Candidate,
) (primary promotion.Candidate, answers bool) {
	server, known := view.Servers[group.Primary]
	if !known || group.Planned || server.Leaving {
		return promotion.Candidate{}, false
	}

	probed := s.prober.sendWithRetries(s.leadership.ctx, server, statusCommand)
	if !probed.answered || probed.busy || !probed.primary {
		return promotion.Candidate{}, false
	}

	return promotion.FindPrimary(append(candidates, probed.candidate(server)), group.Term)
}

// keepPrimary ends a takeover for which no order has been given, with the server that is the primary already.
func (s *groupSupervisor) keepPrimary(group topology.Group, id string) {
	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		AbandonTakeover: &topology.AbandonTakeover{Group: s.group, Epoch: group.Epoch},
	})
	if err == nil && id != group.Primary {
		_, err = s.leadership.controller.propose(s.leadership.ctx, topology.Command{
			AdoptPrimary: &topology.AdoptPrimary{Group: s.group, Primary: id, ExpectedPrimary: group.Primary, Term: group.Term},
		})
	}

	s.logger().Warn("takeover ends without an order: a server is the primary already", "group", s.group, "primary", id, "former",
		group.Primary, "term", group.Term, "error", err)
	s.beginMonitoring()
	s.leadership.refreshView(time.Now())
}

// beginMonitoring discards what was observed of the primary before a takeover ended with it or with another one.
func (s *groupSupervisor) beginMonitoring() {
	s.primarySince, s.monitored = time.Now(), ""
}

// chooseCandidate chooses a candidate. After newestTermTimeout it no longer waits for a server of the newest term, nor for absent or
// unknown ones.
func (s *groupSupervisor) chooseCandidate(
	candidates []promotion.Candidate, requirements promotion.Requirements,
) (chosen promotion.Candidate, possible bool) {
	id, possible := promotion.ChooseCandidate(candidates, requirements)
	if !possible && len(candidates) > 0 && s.newestTermTimedOut(time.Now()) {
		s.logger().Warn("the servers that may hold further commits did not answer in time; another one may be promoted", "group", s.group,
			"needs", requirements, "candidates", candidates)

		requirements.Term, requirements.Absent, requirements.Acknowledged = 0, 0, position.Position{}
		id, possible = promotion.ChooseCandidate(candidates, requirements)
	}

	for _, candidate := range candidates {
		if possible && candidate.ID == id {
			// One that wrongly reports that it is the primary is promoted like any other.
			chosen, chosen.Primary = candidate, false
		}
	}

	return chosen, possible
}

// newestTermTimedOut reports whether the takeover has waited newestTermTimeout for a server of the newest term.
func (s *groupSupervisor) newestTermTimedOut(now time.Time) bool {
	if s.newestTermMissingSince.IsZero() {
		s.newestTermMissingSince = now
	}

	return now.Sub(s.newestTermMissingSince) > newestTermTimeout
}

// replicas returns the servers of the group except the recorded primary.
func (s *groupSupervisor) replicas(view *topology.View, group topology.Group) []topology.Server {
	var replicas []topology.Server

	for id, server := range view.Servers {
		if server.Group == s.group && id != group.Primary {
			replicas = append(replicas, server)
		}
	}

	return replicas
}

// countReplicas returns the number of replicas, without those whose successor at the same address is one as well.
func countReplicas(view *topology.View, replicas []topology.Server) (count int) {
	for _, replica := range replicas {
		if !view.Replaced(replica) {
			count++
		}
	}

	return count
}

// gatherCandidates sends a command to all replicas in parallel and returns the positions that they report. A replica whose
// position is unknown is no candidate, because promoting it could discard any number of commits. Neither is one that was
// to be paused and is not, unless it is the primary of the newest term, which can't be paused. A former primary may become a replica
// that receives at any time.
func (s *groupSupervisor) gatherCandidates(replicas []topology.Server, command managedproxy.Command) (candidates []promotion.Candidate) {
	results := make([]probeResult, len(replicas))

	var probes errgroup.Group

	for i, replica := range replicas {
		probes.Go(func() error {
			replicaProber := newProber(s.leadership.controller.options.Dial, s.leadership.probes)
			defer replicaProber.close()

			probed := replicaProber.sendWithRetries(s.leadership.ctx, replica, command)
			leads := probed.primary && probed.term+1 >= command.Term
			probed.notPaused = command.Kind == managedproxy.Pause && !probed.unsupported && !leads && probed.pausedFor < command.Term

			if probed.unsupported {
				s.logger().Warn("server does not know a command", "group", s.group, "server", replica.ID, "error", probed.err)

				probed = replicaProber.sendWithRetries(s.leadership.ctx, replica, statusCommand)
			}

			results[i] = probed

			return nil
		})
	}

	_ = probes.Wait() // The functions return no errors.

	for i, replica := range replicas {
		probed := results[i]

		if !probed.answered || probed.busy || probed.notPaused {
			s.logger().Info("replica did not report its position, or is not paused", "group", s.group, "server", replica.ID,
				"busy", probed.busy, "not paused", probed.notPaused, "error", probed.err)

			continue
		}

		candidates = append(candidates, probed.candidate(replica))
	}

	return candidates
}

// awaitCatchUp waits, in a planned takeover, until a replica has received all that the primary has, and returns the
// latest candidates.
func (s *groupSupervisor) awaitCatchUp(
	view *topology.View, group topology.Group, replicas []topology.Server, candidates []promotion.Candidate,
) []promotion.Candidate {
	primary, known := view.Servers[group.Primary]
	if !known {
		return candidates
	}

	for began := time.Now(); time.Since(began) < catchUpTimeout; {
		// An earlier position would end the wait too soon.
		probed := s.prober.sendWithRetries(s.leadership.ctx, primary, statusCommand)
		if !probed.answered || !probed.primary {
			return candidates
		}

		if caughtUp(candidates, probed.position) {
			return candidates
		}

		if !s.leadership.sleep(promotionPollInterval) {
			return candidates
		}

		candidates = s.gatherCandidates(replicas, statusCommand)
	}

	return candidates
}

// caughtUp reports whether a candidate that is not leaving has received the given position.
func caughtUp(candidates []promotion.Candidate, wanted position.Position) bool {
	for _, candidate := range candidates {
		if !candidate.Leaving && !candidate.Received.Less(wanted) {
			return true
		}
	}

	return false
}

// orderPromotion sends an order to the platform and records the new primary once it reports that it is the primary.
func (s *groupSupervisor) orderPromotion(recorded recordedCandidate) {
	options := s.leadership.controller.options

	ctx, cancel := context.WithTimeout(s.leadership.ctx, orderTimeout)
	outcome, err := options.Promote(ctx, Order{Group: s.group, Server: recorded.server.ID, Holder: options.Name, Token: recorded.token})

	cancel()
	options.Metrics.Counter("orders").Inc(1)
	s.logger().Info("promotion ordered", "group", s.group, "candidate", recorded.server.ID, "token", recorded.token, "outcome", outcome,
		"error", err)

	timeout := unansweredTimeout

	switch outcome {
	case Accepted:
		timeout = promotionTimeout
	case Rejected:
		return
	case Unanswered:
	}

	group := options.State.View().Groups[s.group]
	if group.Token != recorded.token {
		return
	}

	if term := s.awaitPromotion(group, recorded, outcome, timeout); term > 0 {
		s.finishTakeover(group, term)
	}
}

// awaitPromotion waits until the candidate reports that it is the primary, in answer to a probe or, after an accepted
// order, in an announcement: a busy server answers no probe. After an accepted order for a server that is the primary already, its
// term stays. awaitPromotion returns the term, or a lower bound of it, or zero if the candidate does not become the primary.
func (s *groupSupervisor) awaitPromotion(
	group topology.Group, candidate recordedCandidate, outcome Promotion, timeout time.Duration,
) position.Term {
	for began := time.Now(); time.Since(began) < timeout; {
		probed := s.probe(candidate.server)
		stays := candidate.leads && outcome == Accepted && probed.term == group.Term

		if probed.primary && (probed.term > group.Term || stays) {
			return probed.term
		}

		announced := s.leadership.controller.options.State.View().Servers[candidate.server.ID]
		if outcome == Accepted && announced.ClaimsPrimary && !candidate.server.ClaimsPrimary {
			return group.Term + 1
		}

		if !s.leadership.sleep(promotionPollInterval) {
			break
		}
	}

	return 0
}

func (s *groupSupervisor) finishTakeover(group topology.Group, term position.Term) {
	s.beginMonitoring()
	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		FinishTakeover: &topology.FinishTakeover{Group: s.group, Token: group.Token, Primary: group.Candidate, Term: term},
	})
	s.logger().Warn("takeover ends", "group", s.group, "primary", group.Candidate, "token", group.Token, "term", term,
		"error", err)
	s.leadership.refreshView(time.Now())
}

func (s *groupSupervisor) logger() *slog.Logger {
	return s.leadership.controller.options.Logger
}
