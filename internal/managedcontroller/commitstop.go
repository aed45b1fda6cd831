package managedcontroller

import (
	"log/slog"

	"almondgrade/core/position"
	"almondgrade/core/promotion"
	"almondgrade/core/topology"
	"almondgrade/internal/managedproxy"
)

//nolint:gochecknoglobals // The command is constant.
var statusCommand = managedproxy.Command{Statement: managedproxy.Statement{Kind: managedproxy.Status}}

// stopCommits makes the servers of a group acknowledge no further commits and returns the candidates with what they have
// received by then.
//
// The former primary acknowledges commits until the platform has carried out the order, which takes about a second, and a
// proxy that is cut off from control, or frozen, may still send it some. A commit needs a replica that receives it. Once
// the replicas that promotion.ChooseCandidate requires are paused, none can be acknowledged any more, and each one that
// was is held by one of them. In a planned takeover the primary steps down first, so that callers get an answer at once,
// and so that a replica that has not announced itself yet can't receive for it either. The promotion ends both.
func (s *groupSupervisor) stopCommits(
	view *topology.View, group topology.Group, replicas []topology.Server, known []promotion.Candidate,
) (candidates []promotion.Candidate) {
	term := group.Term
	for _, candidate := range known {
		term = max(term, candidate.Term)
	}

	term++

	if primary, found := view.Servers[group.Primary]; found && group.Planned {
		s.stepDown(primary, term)
	}

	candidates = s.gatherCandidates(replicas, commandWithTerm(managedproxy.Pause, term))
	s.leadership.controller.options.Metrics.Counter("commit_stops").Inc(1)
	s.logger().Info("replicas were paused", "group", s.group, "term", term, "candidates", candidates)

	return candidates
}

// stepDownResult is the outcome of a command to step down.
type stepDownResult struct {
	confirmed, unsupported bool
}

// stepDown tells a primary to step down. A planned takeover goes on without a confirmation, because a primary that does not answer
// can't give one, and the paused replicas keep it from acknowledging commits.
func (s *groupSupervisor) stepDown(primary topology.Server, term position.Term) stepDownResult {
	stepped := s.prober.sendWithRetries(s.leadership.ctx, primary, commandWithTerm(managedproxy.StepDown, term))
	confirmed := stepped.answered && !stepped.busy && (!stepped.primary || stepped.term >= term)

	level := slog.LevelInfo
	if !confirmed {
		level = slog.LevelWarn
	}

	s.logger().Log(s.leadership.ctx, level, "primary was told to step down", "group", s.group, "server", primary.ID, "term", term,
		"confirmed", confirmed, "position", stepped.position, "unsupported", stepped.unsupported, "error", stepped.err)

	return stepDownResult{confirmed: confirmed, unsupported: stepped.unsupported}
}

func commandWithTerm(kind managedproxy.Kind, term position.Term) managedproxy.Command {
	return managedproxy.Command{Statement: managedproxy.Statement{Kind: kind}, Term: term}
}
