package managedcontroller

import (
	"time"

	"almondgrade/core/failover"
	"almondgrade/core/promotion"
	"almondgrade/core/topology"
)

const (
	// probeInterval is the shortest time between the beginnings of two probes of a primary.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe. A server that is five times slower than usual still answers in time.
	probeTimeout = 400 * time.Millisecond
	// deadAfterFailures is the number of consecutive failed probes on new connections after which a primary counts as
	// dead.
	deadAfterFailures = 3
	// demotedAfterProbes is the number of probes in which a primary must answer that it is a replica, without one between
	// them in which it is the primary, and while no other server is, before it is replaced.
	demotedAfterProbes = 3
	// slowThreshold is the response time above which an answer counts as slow.
	slowThreshold = 200 * time.Millisecond
	// repetitionWait is the time after an answer that may be a repetition within which the answer to the command must have
	// arrived. A server empties its queue in about 0.1 s.
	repetitionWait = 100 * time.Millisecond
)

// groupSupervisor monitors the primary of one group and replaces it, while this process leads. Only its own goroutine
// uses its fields.
type groupSupervisor struct {
	leadership *leadership
	group      string
	prober     *prober
	detector   *failover.Detector
	// monitored is the ID of the primary that the detector observes.
	monitored string
	// primarySince is the time at which this supervisor recorded the primary, or zero if an earlier leadership did.
	primarySince time.Time
	// firstFailure and lastFailure are the beginnings of the first and last of the consecutive failures that the detector
	// has counted, or zero.
	firstFailure time.Time
	lastFailure  time.Time
	// demotedProbes is the number of probes in which the primary has answered that it is a replica, since it last answered
	// that it is the primary.
	demotedProbes int
	// unconfirmed is a position of the primary from an answer that may be a repetition, or the zero value.
	unconfirmed primaryPosition
	// newestTermMissingSince is the time since which the current takeover has found no server of the newest term, or too few servers.
	newestTermMissingSince time.Time
	// absentSince has the time since which this leadership has known an absent server, and absentCheckedAt that of the last check.
	absentSince     map[topology.ForgetServer]time.Time
	absentCheckedAt time.Time
	// leavingSince is the time since which the primary has been about to stop, or zero.
	leavingSince time.Time
}

func newGroupSupervisor(l *leadership, group string) *groupSupervisor {
	return &groupSupervisor{leadership: l, group: group, prober: newProber(l.controller.options.Dial, l.probes)}
}

func (s *groupSupervisor) run() {
	defer s.prober.close()

	for s.leadership.ctx.Err() == nil {
		began := time.Now()
		s.handlePhase()
		s.confirmPosition()
		interval := probeIntervalFor(len(s.leadership.controller.options.State.View().Groups))
		s.leadership.sleep(interval - min(interval, time.Since(began)))
	}
}

// handlePhase does what the recorded phase of the group calls for.
func (s *groupSupervisor) handlePhase() {
	view := s.leadership.controller.options.State.View()
	group := view.Groups[s.group]

	switch {
	case group.Phase != topology.PhaseStable:
		s.takeOver()
	case group.Primary == "":
		s.adoptPrimary(view, group)
	default:
		s.monitorPrimary(view, group)
	}
}

// adoptPrimary records the server that reports that it is the primary, and returns whether there is one.
func (s *groupSupervisor) adoptPrimary(view *topology.View, group topology.Group) bool {
	var (
		primary string
		state   probeResult
	)

	for id, server := range view.Servers {
		if server.Group != s.group || !server.ClaimsPrimary || id == group.Primary {
			continue
		}

		probed := s.prober.probe(server, true)
		// A former primary that is isolated from the group still reports that it is the primary.
		if probed.primary && probed.term >= group.Term && (primary == "" || probed.term > state.term) {
			primary, state = id, probed
		}
	}

	if primary == "" {
		return false
	}

	s.primarySince = time.Now()
	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		AdoptPrimary: &topology.AdoptPrimary{Group: s.group, Primary: primary, ExpectedPrimary: group.Primary, Term: state.term},
	})
	s.logger().Info("primary adopted", "group", s.group, "primary", primary, "former", group.Primary, "term",
		state.term, "position", state.position, "error", err)
	s.leadership.refreshView(time.Now())

	return true
}

// monitorPrimary probes the primary and begins a takeover if it has failed or is about to leave.
func (s *groupSupervisor) monitorPrimary(view *topology.View, group topology.Group) {
	if s.monitored != group.Primary {
		s.monitored, s.firstFailure, s.lastFailure, s.demotedProbes = group.Primary, time.Time{}, time.Time{}, 0
		s.leavingSince = time.Time{}
		s.detector = failover.NewDetector(failover.Thresholds{
			Failures: deadAfterFailures, FailureSpacing: probeInterval, SlowAfter: slowThreshold,
		})
	}

	primary, known := view.Servers[group.Primary]
	evidence := promotion.Evidence{ProbeState: failover.Dead, Gone: !known}

	if known {
		asked := s.leadership.controller.options.BootTime()
		probed := s.probePrimary(primary)
		if probed.answered && !probed.busy && !probed.primary {
			probed = s.confirmOnNewConn(primary, probed)
		}

		s.recordPosition(probed, primaryPosition{position: probed.position, askedAt: asked})

		s.recordTerm(group, probed)

		if s.observeRole(view, group, probed) {
			return
		}

		evidence.Demoted = s.demotedProbes >= demotedAfterProbes

		evidence.ProbeState = s.detector.State()
		evidence.FailedFor = s.lastFailure.Sub(s.firstFailure)
		evidence.Leaving = primary.Leaving
	}

	now := time.Now()
	for _, reachability := range s.leadership.reachabilityOf(now, group.Primary) {
		// A proxy may not have used the server since it was down as a replica or a former primary.
		evidence.ProxyReports = append(evidence.ProxyReports, promotion.ProxyReport{
			Reached: reachability.Reached, Failing: min(reachability.FailingFor, now.Sub(s.primarySince)),
		})
	}

	s.checkAbsent(view, group, now)

	if promotion.JudgePrimary(evidence) != promotion.Replace || len(s.replicas(view, group)) == 0 || s.postpones(view, evidence, now) {
		return
	}

	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		Fence: &topology.Fence{Group: s.group, Primary: group.Primary, Planned: known && primary.Leaving && evidence.ProbeState != failover.Dead},
	})
	s.logger().Warn("takeover begins", "group", s.group, "primary", group.Primary, "known", known, "probes",
		evidence.ProbeState.String(), "leaving", evidence.Leaving, "demoted", evidence.Demoted, "announced", s.leadership.announcedRecently(now, group.Primary), "sights", evidence.ProxyReports,
		"failed for", evidence.FailedFor, "late", s.leadership.controller.lateness.LateDuring(now.Add(-maxProbeTimeout), now),
		"error", err)

	if err == nil {
		s.takeOver()
	}
}

// recordPosition records the position in an answer of the primary, which covers all commits before the probe was sent, unless the
// answer may be that to an earlier probe.
func (s *groupSupervisor) recordPosition(probed probeResult, latest primaryPosition) {
	s.unconfirmed = primaryPosition{}

	switch {
	case !probed.primary:
	case probed.ambiguous:
		s.unconfirmed = latest
	default:
		s.leadership.recordPosition(s.group, latest)
	}
}

// recordTerm records the term of the primary if it is newer than the recorded one, which is a lower bound for a server that was too
// busy to report its term when it was promoted.
func (s *groupSupervisor) recordTerm(group topology.Group, probed probeResult) {
	if !probed.primary || probed.ambiguous || probed.term <= group.Term {
		return
	}

	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		AdoptPrimary: &topology.AdoptPrimary{Group: s.group, Primary: group.Primary, ExpectedPrimary: group.Primary, Term: probed.term},
	})
	s.logger().Info("newer term of the primary recorded", "group", s.group, "primary", group.Primary, "recorded", group.Term, "term",
		probed.term, "error", err)
}

// confirmPosition records an unconfirmed position if no other answer has arrived repetitionWait after it.
func (s *groupSupervisor) confirmPosition() {
	if s.unconfirmed == (primaryPosition{}) || !s.leadership.sleep(repetitionWait) {
		return
	}

	if s.prober.quiet(s.monitored) {
		s.leadership.recordPosition(s.group, s.unconfirmed)
	}

	s.unconfirmed = primaryPosition{}
}

// observeRole counts the probes in which the recorded primary answers that it is a replica. It stopped being the primary
// without an order from this control, so another server may be the primary: observeRole returns whether one was adopted.
func (s *groupSupervisor) observeRole(view *topology.View, group topology.Group, probed probeResult) bool {
	switch {
	case probed.primary:
		s.demotedProbes = 0
	case probed.answered && !probed.busy:
		if s.adoptPrimary(view, group) {
			return true
		}

		s.demotedProbes++
	}

	return false
}

// probe probes a server on the open connection, if there is one without unexpected answers.
func (s *groupSupervisor) probe(server topology.Server) probeResult {
	probed := s.prober.probe(server, false)

	if probed.unexpected > 0 {
		s.leadership.controller.options.Metrics.Counter("probe_answers_unexpected").Inc(int64(probed.unexpected))
		s.logger().Info("server repeats answers; the probe uses a new connection", "group", s.group, "server", server.ID, "answers",
			probed.unexpected)
	}

	return probed
}

// confirmOnNewConn returns the answer of a server to a probe on a new connection, where it can't be that to an earlier probe. That is
// the given one if its connection was new.
func (s *groupSupervisor) confirmOnNewConn(server topology.Server, probed probeResult) probeResult {
	if probed.freshConn {
		return probed
	}

	return s.prober.probe(server, true)
}

// probePrimary probes the primary and passes the outcome to the detector. After a failure on an open connection it
// retries at once on a new one, because only the connection may be lost. A probe without an answer while this process was
// late says nothing and is not passed on.
func (s *groupSupervisor) probePrimary(server topology.Server) probeResult {
	if !s.leadership.probes.enter(s.leadership.ctx) {
		return probeResult{inconclusive: true}
	}

	defer s.leadership.probes.leave()

	began := time.Now()
	probed := s.probe(server)

	if !probed.answered && !probed.freshConn && !probed.inconclusive {
		began = time.Now()
		probed = s.prober.probe(server, true)
	}

	if probed.inconclusive {
		s.leadership.controller.options.Metrics.Counter("probes_inconclusive").Inc(1)
		s.logger().Debug("probe of the primary is not counted because this process was late", "group", s.group, "server",
			server.ID, "took", time.Since(began), "error", probed.err)

		return probed
	}

	outcome := failover.Answered

	switch {
	case probed.answered:
	case probed.refused:
		outcome = failover.Refused
	default:
		outcome = failover.TimedOut
	}

	s.detector.Observe(failover.Query{StartedAt: began, Duration: time.Since(began), NewConnection: probed.freshConn, Outcome: outcome})

	switch {
	case probed.answered:
		s.firstFailure, s.lastFailure = time.Time{}, time.Time{}
	case s.firstFailure.IsZero():
		s.firstFailure, s.lastFailure = began, began
	default:
		s.lastFailure = began
	}

	if !probed.answered {
		s.logger().Info("probe of the primary failed", "group", s.group, "server", server.ID, "failures",
			s.detector.Failures(), "error", probed.err)
	}

	return probed
}
