package bench

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// event is a message of the control process.
type event struct {
	message string
	at      time.Time
}

// events is a handler of log messages that remembers when each message was logged, and passes them on.
type events struct {
	slog.Handler

	seen *eventList
}

type eventList struct {
	mu   sync.Mutex
	list []event
}

func newEvents(next slog.Handler) *events {
	return &events{Handler: next, seen: &eventList{}}
}

// Enabled implements slog.Handler. Phases are logged at level info, whatever the level of the next handler.
func (e *events) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (e *events) Handle(ctx context.Context, record slog.Record) error {
	switch record.Message {
	case messageSuspected, messageStarted, messageCandidate, messageFinished, messageAbandoned:
		e.seen.mu.Lock()
		e.seen.list = append(e.seen.list, event{record.Message, time.Now()})
		e.seen.mu.Unlock()
	}

	if !e.Handler.Enabled(ctx, record.Level) {
		return nil
	}

	return e.Handler.Handle(ctx, record) //nolint:wrapcheck // This is a wrapper.
}

// WithAttrs implements slog.Handler.
func (e *events) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &events{Handler: e.Handler.WithAttrs(attributes), seen: e.seen}
}

// WithGroup implements slog.Handler.
func (e *events) WithGroup(name string) slog.Handler {
	return &events{Handler: e.Handler.WithGroup(name), seen: e.seen}
}

// after returns the time of the first message after a time.
func (e *events) after(message string, from time.Time) (time.Time, bool) {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()

	for _, each := range e.seen.list {
		if each.message == message && each.at.After(from) {
			return each.at, true
		}
	}

	return time.Time{}, false
}

// count returns the number of messages after a time.
func (e *events) count(message string, from time.Time) int {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()

	count := 0

	for _, each := range e.seen.list {
		if each.message == message && each.at.After(from) {
			count++
		}
	}

	return count
}
