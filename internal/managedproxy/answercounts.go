package managedproxy

import (
	"errors"
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

// recordPairing counts how an answer was paired with its command.
func (s *server) recordPairing(answer *Answer) {
	if answer.Repeats > 0 {
		s.countAnswers("answers_repeated", int64(answer.Repeats))
		s.recordRepetition()
	}

	if answer.Late != nil {
		s.countAnswers("answers_late", 1)
		s.recordRepetition()
	}

	if answer.Verdict == pairing.Ambiguous && answer.Outcome != Done {
		s.countAnswers("refusals_ambiguous", 1)
	}
}

// recordUnexpected counts an answer that could not be paired.
func (s *server) recordUnexpected(err error) {
	if errors.Is(err, ErrUnexpectedAnswer) {
		s.countAnswers("answers_unexpected", 1)
		s.recordRepetition()
	}
}

func (s *server) countAnswers(name string, count int64) {
	if s.answers.metrics != nil {
		s.answers.metrics.Counter(name).Inc(count)
	}
}

// recordRepetition records that the server repeats answers, which it does for the rest of its life.
func (s *server) recordRepetition() {
	if !s.answers.repeats.Swap(true) && s.answers.logger != nil {
		s.answers.logger.Warn("server repeats answers", "server", s.id)
	}
}
