package managedcontroller

import (
	"time"

	"almondgrade/core/failover"
	"almondgrade/core/promotion"
	"almondgrade/core/topology"
)

const (
	// absentCheckInterval is the shortest time between two checks whether absent servers still have to be waited for.
	absentCheckInterval = 500 * time.Millisecond
	// exitDelay is the time after which a server that has withdrawn has ended and receives no further commits.
	exitDelay = time.Second
	// postponeTimeout bounds the time for which a planned takeover waits for the commits of absent servers to reach others. A leaving
	// primary works on for longer.
	postponeTimeout = 3 * time.Second
)

// checkAbsent ends the wait for absent servers of the group once other replicas hold all that these may have received.
func (s *groupSupervisor) checkAbsent(view *topology.View, group topology.Group, now time.Time) {
	settings, configured := groupSettings(view, s.group)
	recorded, known := view.Servers[group.Primary]

	held := s.absentFor(view, exitDelay, now)
	if !configured || !known || len(held) == 0 || now.Sub(s.absentCheckedAt) < absentCheckInterval {
		return
	}

	s.absentCheckedAt = now

	// The position of the primary comes first: each commit that an absent server has received is at or before it.
	primary := s.prober.sendWithRetries(s.leadership.ctx, recorded, statusCommand)
	if !primary.answered || !primary.primary || primary.term < group.Term {
		return
	}

	replicas := s.gatherCandidates(s.replicas(view, group), statusCommand)
	if !promotion.IsHeld(replicas, primary.position, settings.SyncReplicas) {
		return
	}

	_, err := s.leadership.controller.propose(s.leadership.ctx, topology.Command{ForgetAbsent: &topology.ForgetAbsent{Servers: held}})
	s.logger().Info("absent servers need not be waited for: other replicas hold their commits", "group", s.group, "absent", held,
		"position", primary.position, "replicas", replicas, "error", err)
}

// absentFor returns the absent servers of the group that this leadership has known for a time.
func (s *groupSupervisor) absentFor(view *topology.View, least time.Duration, now time.Time) (found []topology.ForgetServer) {
	since := make(map[topology.ForgetServer]time.Time)

	for _, server := range view.Absent {
		if server.Group != s.group {
			continue
		}

		key := topology.ForgetServer{ID: server.ID, StartedAtMillis: server.StartedAtMillis, Sequence: server.Sequence}

		since[key] = now
		if known, seen := s.absentSince[key]; seen {
			since[key] = known
		}

		if now.Sub(since[key]) >= least {
			found = append(found, key)
		}
	}

	s.absentSince = since

	return found
}

// postpones reports whether a planned takeover waits because it would find no candidate as long as servers are absent.
func (s *groupSupervisor) postpones(view *topology.View, evidence promotion.Evidence, now time.Time) bool {
	if !evidence.Leaving || evidence.ProbeState == failover.Dead || len(view.AbsentReplicas(s.group)) == 0 {
		return false
	}

	if s.leavingSince.IsZero() {
		s.leavingSince = now
	}

	return now.Sub(s.leavingSince) < postponeTimeout
}
