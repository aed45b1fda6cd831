package bench

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// loggedMessage is a log message of the control process.
type loggedMessage struct {
	text     string
	loggedAt time.Time
}

// messageRecorder is a slog.Handler that records when each message of a failover was logged, and passes all messages on.
type messageRecorder struct {
	slog.Handler

	recorded *messageList
}

type messageList struct {
	mu   sync.Mutex
	list []loggedMessage
}

func newMessageRecorder(next slog.Handler) *messageRecorder {
	return &messageRecorder{Handler: next, recorded: &messageList{}}
}

// Enabled implements slog.Handler. Level info is enabled whatever the level of the next handler is, because the phases
// of a failover are logged at that level.
func (r *messageRecorder) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (r *messageRecorder) Handle(ctx context.Context, record slog.Record) error {
	switch record.Message {
	case messageSuspected, messageStarted, messageCandidate, messageFinished, messageAbandoned:
		r.recorded.mu.Lock()
		r.recorded.list = append(r.recorded.list, loggedMessage{record.Message, time.Now()})
		r.recorded.mu.Unlock()
	}

	if !r.Handler.Enabled(ctx, record.Level) {
		return nil
	}

	return r.Handler.Handle(ctx, record) //nolint:wrapcheck // This is a wrapper.
}

// WithAttrs implements slog.Handler.
func (r *messageRecorder) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &messageRecorder{Handler: r.Handler.WithAttrs(attributes), recorded: r.recorded}
}

// WithGroup implements slog.Handler.
func (r *messageRecorder) WithGroup(name string) slog.Handler {
	return &messageRecorder{Handler: r.Handler.WithGroup(name), recorded: r.recorded}
}

// firstAfter returns when a message was first logged after the given time.
func (r *messageRecorder) firstAfter(message string, from time.Time) (time.Time, bool) {
	r.recorded.mu.Lock()
	defer r.recorded.mu.Unlock()

	for _, each := range r.recorded.list {
		if each.text == message && each.loggedAt.After(from) {
			return each.loggedAt, true
		}
	}

	return time.Time{}, false
}

// countAfter returns how often a message was logged after the given time.
func (r *messageRecorder) countAfter(message string, from time.Time) int {
	r.recorded.mu.Lock()
	defer r.recorded.mu.Unlock()

	count := 0

	for _, each := range r.recorded.list {
		if each.text == message && each.loggedAt.After(from) {
			count++
		}
	}

	return count
}
