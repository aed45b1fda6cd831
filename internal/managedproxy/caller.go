package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Errors of Caller.Next.
var (
	// ErrInterrupted is returned after a call of Interrupt.
	ErrInterrupted = errors.New("interrupted")
	// ErrIdleTimeout is returned when no statement arrived before the deadline.
	ErrIdleTimeout = errors.New("no statement arrived before the deadline")
)

// Reply answers a statement.
type Reply struct {
	Rows []string
	// Signature is empty if no backend server took part.
	Signature string
	// Err is nil unless the statement was refused or failed.
	Err   error
	State State
	// Position is zero if no backend server took part.
	Position position.Position
}

// retryDelay is the time after which a caller should retry a refused statement. A change of primary takes about as
// long.
const retryDelay = 500 * time.Millisecond

// RetryAfter returns the delay after which the caller should retry a refused statement. It is zero if the statement
// may have run or can't succeed unchanged.
func RetryAfter(err error) time.Duration {
	var (
		outcome *OutcomeError
		timed   *retryAfterError
	)

	switch code := result.CodeOf(err); {
	case IsRolledBack(err):
		return 0
	case errors.As(err, &timed):
		return timed.after
	case errors.As(err, &outcome):
		if outcome.Outcome != Busy {
			return 0
		}
	case code == result.OK || code.Ran() != result.RanNo:
		return 0
	case code == result.PoolUnknown || code == result.Authentication || code == result.Protocol || code == result.TooLarge:
		return 0
	}

	return retryDelay
}

// retryAfterError is a refusal of a statement that did not run, with the time after which the caller should come back.
type retryAfterError struct {
	error
	after time.Duration
}

// Unwrap returns the refusal.
func (e *retryAfterError) Unwrap() error {
	return e.error
}

// Login is what a caller presents when it connects.
type Login struct {
	Database string
	// Key is the key of a customer. It must not appear in logs, errors or metrics.
	Key string
}

// Caller is the connection of a caller.
type Caller interface {
	// Login reads the caller's login.
	Login(deadline time.Time) (Login, error)
	// AcceptSession tells the caller that its session has begun.
	AcceptSession() error
	// RejectSession tells the caller why it can't have a session.
	RejectSession(err error)
	// Next returns the next statement. A zero deadline means none. Next may be called again after ErrIdleTimeout and
	// ErrInterrupted.
	Next(deadline time.Time) (Statement, error)
	Reply(reply Reply) error
	// EndSession tells a caller that waits for no answer why its session ends, and returns when the caller has closed the
	// connection, or at the deadline. A statement that was on its way is not run, and its answer is the reason. The IDs of
	// such statements are returned.
	EndSession(reason error, deadline time.Time) (refused []string)
	// Interrupt makes a blocked Next return ErrInterrupted, or the next call that would block. It may be called by any
	// goroutine.
	Interrupt()
	// Gone reports whether the caller has closed its connection, or its direction of it, as far as this side can tell
	// without waiting. A request that was not read yet hides this. It is not called at the same time as the other
	// methods, except Interrupt.
	Gone() bool
	// Close may be called more than once and by any goroutine.
	Close()
}
