package managedproxy

import (
	"log/slog"
	"sync/atomic"

	"almondgrade/core/pairing"
	"almondgrade/internal/metrics"
)

// answerCounts counts the answers of a server that repeat, or may repeat, an earlier one on their connection. The zero value
// counts nothing.
type answerCounts struct {
	metrics *metrics.Metrics
	logger  *slog.Logger
	// repeats is true once the server has certainly repeated an answer.
	repeats atomic.Bool
}

// recordVerdict counts an answer.
func (s *server) recordVerdict(verdict pairing.Verdict) {
	if s.answers.metrics == nil {
		return
	}

	switch verdict {
	case pairing.Repeated:
		s.answers.metrics.Counter("answers_repeated").Inc(1)

		if !s.answers.repeats.Swap(true) {
			s.answers.logger.Warn("server repeats answers", "server", s.id)
		}
	case pairing.Late:
		s.answers.metrics.Counter("answers_late").Inc(1)
	case pairing.Invalid:
		s.answers.metrics.Counter("answers_invalid").Inc(1)
	case pairing.Ambiguous:
		s.answers.metrics.Counter("answers_ambiguous").Inc(1)
	default:
	}
}
