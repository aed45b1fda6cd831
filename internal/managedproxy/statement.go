package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/pairing"
	"almondgrade/core/position"
)

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements. Malformed stands for a message that could not be parsed; Text has the reason.
const (
	Malformed Kind = iota
	Begin
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	// Callers never send the kinds from Reset on.
	Reset
	Status
	// Pause makes a replica receive nothing until the next promotion, StepDown makes a primary of a term below the
	// command's a replica. The answer to both is the status.
	Pause
	StepDown
	// Check has no effect that a session sees. Its success has no signature and does not depend on the state.
	Check
)

// Statement is a request of a caller.
type Statement struct {
	// ID identifies the request at the caller and on the backend server.
	ID   string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// Text is the statement as the caller sent it.
	Text string `cbor:"3,keyasint"`
	// Name is the name of a session variable or a prepared statement.
	Name string `cbor:"4,keyasint,omitempty"`
	// Value is the value that Set stores, or the shape of a prepared statement.
	Value string `cbor:"5,keyasint,omitempty"`
	// Writes is true for Write, and for a Prepare of a statement that writes.
	Writes bool `cbor:"6,keyasint,omitempty"`
}

// Command is a statement for a backend server.
type Command struct {
	Statement
	// Prepared is the name of the prepared statement on the backend server, in place of the caller's.
	Prepared string
	// After is the position that the server's log must hold before the command runs, or zero.
	After position.Position
	// Term is the term of a Pause or StepDown.
	Term position.Term
	// Undo is true for the second of two checks, and Resolves for the last one, behind which no answer is outstanding.
	Undo, Resolves bool
}

// ReportsStatus reports whether the answer to a command of this kind has a status.
func (k Kind) ReportsStatus() bool {
	return k == Status || k == Pause || k == StepDown
}

// preparesSession reports whether a caller sends the statement only for those that follow it.
func (k Kind) preparesSession() bool {
	return k == Set || k == Prepare || k == Deallocate
}

// State is the state of a session or a connection.
type State uint8

// The states.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Aborted means that the transaction failed and can only be ended.
	Aborted
)

// Outcome is the way in which a backend server answered.
type Outcome uint8

// The outcomes. An outcome after Done, up to and including UnknownStatement, means that the statement did not run.
const (
	Done Outcome = iota
	// Busy means that the server has no room for the statement.
	Busy
	// Behind means that the server's log lacks the position of the command.
	Behind
	// NotPrimary means that the statement needs the primary and this server is not it.
	NotPrimary
	// WrongServer means that the address belongs to another server now.
	WrongServer
	// ConnectionLimit means that the server has too many connections.
	ConnectionLimit
	// UnknownStatement means that the connection has no such prepared statement.
	UnknownStatement
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the statement ran for too long.
	TimedOut
	// OtherFailure is an error that the gateway does not interpret.
	OtherFailure
)

// Ran reports whether a statement with this outcome may have run.
func (o Outcome) Ran() bool {
	return o == Done || o >= Failed
}

// Answer is what a backend server returned.
type Answer struct {
	Outcome Outcome
	// Detail explains an outcome other than Done.
	Detail string
	Rows   []string
	// Signature is the server's proof that it ran the statement.
	Signature string
	State     State
	// Position is the last position of the server's log.
	Position position.Position
	// Status is the answer to a command whose kind reports the status.
	Status *ServerStatus
	// Greeting is true for the answer to a login, which has no outcome.
	Greeting bool
	// Verdict is pairing.Ambiguous if the answer may be a repetition of an earlier one on the connection.
	Verdict pairing.Verdict
	// Repeats is the number of answers before this one that repeated earlier ones and were passed over.
	Repeats int
	// Late is the answer to an earlier command that arrived before this one, if that command's first answer was ambiguous and
	// in fact a repetition.
	Late *Answer
}

// ErrUnexpectedAnswer is the failure of a connection on which an answer arrived that belongs to no command.
var ErrUnexpectedAnswer = errors.New("the answer belongs to no command")

// Backend is a connection to a backend server. It is used by one goroutine at a time.
type Backend interface {
	// Run sends the commands and returns their answers in order. It passes over answers that repeat earlier ones. After an
	// error the connection can't be used.
	Run(deadline time.Time, commands ...Command) ([]Answer, error)
	// DropUnexpected drops the answers that have arrived although every command was answered, and returns their number. With
	// distrust, the server is known to repeat answers.
	DropUnexpected(distrust bool) int
	// Alive reports whether the connection still seems open, as far as this side can tell without waiting.
	Alive() bool
	Close()
}

// OutcomeError is the error for an answer with an outcome other than Done.
type OutcomeError struct {
	Outcome Outcome
	Detail  string
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return e.Outcome.String() + ": " + e.Detail
}

// String returns the outcome as it appears in messages.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Busy:
		return "server busy"
	case Behind:
		return "server behind"
	case NotPrimary:
		return "not the primary"
	case WrongServer:
		return "wrong server"
	case ConnectionLimit:
		return "too many connections"
	case UnknownStatement:
		return "unknown prepared statement"
	case Failed:
		return "statement failed"
	case TimedOut:
		return "statement timed out"
	case OtherFailure:
		return "server error"
	}

	return "unknown"
}

// Err returns an OutcomeError unless the outcome is Done.
func (a Answer) Err() error {
	if a.Outcome == Done {
		return nil
	}

	return &OutcomeError{Outcome: a.Outcome, Detail: a.Detail}
}
