package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Errors of Caller.Next.
var (
	// ErrInterrupted is returned after Interrupt.
	ErrInterrupted = errors.New("interrupted")
	// ErrIdle is returned when nothing arrived before the deadline.
	ErrIdle = errors.New("nothing arrived before the deadline")
)

// Reply answers a statement.
type Reply struct {
	Rows []string
	// Signature is empty if no backend server took part.
	Signature string
	// Err is the reason for a refusal or failure.
	Err   error
	State State
	// Position is zero if no backend server took part.
	Position position.Position
}

// comeBack is the time after which a caller that was turned away should come back. A change of primary takes about as long.
const comeBack = 500 * time.Millisecond

// RetryAfter returns when the caller of a statement that was turned away should come back, or zero if the statement may
// have run or can't succeed later as it is.
func RetryAfter(err error) time.Duration {
	var outcome *OutcomeError

	switch code := result.CodeOf(err); {
	case IsRolledBack(err):
		return 0
	case errors.As(err, &outcome):
		if outcome.Outcome != Busy {
			return 0
		}
	case code == result.OK || code.Ran() != result.RanNo:
		return 0
	case code == result.PoolUnknown || code == result.Protocol || code == result.TooLarge:
		return 0
	}

	return comeBack
}

// Caller is a connection of a caller.
type Caller interface {
	// Login returns the database that the caller names.
	Login(deadline time.Time) (database string, err error)
	// Welcome tells the caller that its session has begun.
	Welcome() error
	// Reject tells the caller that it can't have a session.
	Reject(err error)
	// Next returns the next statement. The zero deadline is none. It may be called again after ErrIdle and
	// ErrInterrupted.
	Next(deadline time.Time) (Statement, error)
	Reply(reply Reply) error
	// Interrupt makes a Next that waits, and the next one that would wait, return ErrInterrupted. It may be called by
	// any goroutine.
	Interrupt()
	Close()
}
