package gateway

import (
	"errors"
	"time"

	"almondgrade/core/position"
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
