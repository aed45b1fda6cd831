package managedcontroller

import (
	"time"

	"almondgrade/core/failover"
	"almondgrade/core/promotion"
	"almondgrade/core/topology"
)

const (
	// probeInterval is the time between two probes of a primary.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe. A member that is five times slower than usual still answers in time.
	probeTimeout = 400 * time.Millisecond
	// deadAfter is the number of failed probes in a row, on new connections, after which a primary is taken for dead.
	deadAfter = 3
	// slowAfter is the time above which an answer counts as slow.
	slowAfter = 200 * time.Millisecond
)

// steward looks after one group while this process leads. Its fields belong to its goroutine.
type steward struct {
	leadership *leadership
	group      string
	prober     *prober
	detector   *failover.Detector
	// watched is the primary that the detector is about.
	watched string
	// lacking is the time since which the present takeover has found no server of the newest term.
	lacking time.Time
}

func newSteward(l *leadership, group string) *steward {
	return &steward{leadership: l, group: group, prober: newProber(l.controller.options.Dial)}
}

func (s *steward) run() {
	defer s.prober.close()

	for s.leadership.ctx.Err() == nil {
		began := time.Now()
		s.step()
		s.leadership.pause(probeInterval - min(probeInterval, time.Since(began)))
	}
}

// step looks at the group once.
func (s *steward) step() {
	view := s.leadership.controller.options.State.View()
	group := view.Groups[s.group]

	switch {
	case group.Phase != topology.Stable:
		s.takeOver()
	case group.Primary == "":
		s.adopt(view, group)
	default:
		s.watch(view, group)
	}
}

// adopt records the server that says it is the primary.
func (s *steward) adopt(view *topology.View, group topology.Group) {
	var (
		found string
		best  finding
	)

	for id, server := range view.Servers {
		if server.Group != s.group || !server.Claims || id == group.Primary {
			continue
		}

		seen := s.prober.probe(server, true)
		// A former primary that is cut off from the group still takes itself for the primary.
		if seen.primary && seen.term >= group.Term && (found == "" || seen.term > best.term) {
			found, best = id, seen
		}
	}

	if found == "" {
		return
	}

	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		Adopt: &topology.Adopt{Group: s.group, Primary: found, Former: group.Primary, Term: best.term},
	})
	s.logger().Info("primary adopted", "group", s.group, "primary", found, "former", group.Primary, "term",
		best.term, "position", best.position, "error", err)
	s.leadership.refresh(time.Now())
}

// watch probes the primary and begins a takeover if it is lost or leaves.
func (s *steward) watch(view *topology.View, group topology.Group) {
	if s.watched != group.Primary {
		s.watched = group.Primary
		s.detector = failover.NewDetector(failover.Thresholds{
			Failures: deadAfter, Spacing: probeInterval, Slow: slowAfter,
		})
	}

	primary, known := view.Servers[group.Primary]
	evidence := promotion.Evidence{Probes: failover.Dead}

	if known {
		asked := time.Now()
		seen := s.look(primary)

		if seen.primary {
			s.leadership.see(s.group, sighting{position: seen.position, at: asked})
		}

		if seen.answered && !seen.primary && !seen.busy {
			// It lost the lead without an order of this group's log; another server may have it.
			s.adopt(view, group)
		}

		evidence.Probes = s.detector.State()
		evidence.Leaving = primary.Leaving
	}

	now := time.Now()
	for _, sight := range s.leadership.sights(now, group.Primary) {
		evidence.Sights = append(evidence.Sights, promotion.Sight{Reached: sight.Reached, Failing: sight.FailingFor})
	}

	if promotion.Judge(evidence) != promotion.Replace || len(s.replicas(view, group)) == 0 {
		return
	}

	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{
		Fence: &topology.Fence{Group: s.group, Primary: group.Primary, Planned: known && primary.Leaving && evidence.Probes != failover.Dead},
	})
	s.logger().Warn("takeover begins", "group", s.group, "primary", group.Primary, "known", known, "probes",
		evidence.Probes.String(), "leaving", evidence.Leaving, "announced", s.leadership.announced(now, group.Primary), "sights", evidence.Sights,
		"error", err)

	if err == nil {
		s.takeOver()
	}
}

// look probes a server and passes the outcome to the detector. A failure on the open connection is checked at once on a
// new one, because the connection alone may be lost.
func (s *steward) look(server topology.Server) finding {
	began := time.Now()
	seen := s.prober.probe(server, false)

	if !seen.answered && !seen.fresh {
		began = time.Now()
		seen = s.prober.probe(server, true)
	}

	outcome := failover.Answered

	switch {
	case seen.answered:
	case seen.refused:
		outcome = failover.Refused
	default:
		outcome = failover.Silent
	}

	s.detector.Observe(failover.Query{Began: began, Took: time.Since(began), Fresh: seen.fresh, Outcome: outcome})

	if !seen.answered {
		s.logger().Info("probe of the primary failed", "group", s.group, "server", server.ID, "failures",
			s.detector.Failures(), "error", seen.err)
	}

	return seen
}
