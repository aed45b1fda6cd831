package standin

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"modernc.org/sqlite"
)

// The SQLSTATEs that the server returns.
const (
	stateProtocolViolation      = "08P01"
	stateNotSupported           = "0A000"
	stateInvalidValue           = "22023"
	stateNotNull                = "23502"
	stateForeignKey             = "23503"
	stateUnique                 = "23505"
	stateCheck                  = "23514"
	stateActiveTransaction      = "25001"
	stateReadOnly               = "25006"
	stateNoTransaction          = "25P01"
	stateFailedTransaction      = "25P02"
	stateNoStatement            = "26000"
	stateNoPortal               = "34000"
	stateSerialization          = "40001"
	stateSyntax                 = "42601"
	stateUndefinedParameter     = "42704"
	stateNoColumn               = "42703"
	stateDatatypeMismatch       = "42804"
	stateNoFunction             = "42883"
	stateNoTable                = "42P01"
	stateTableExists            = "42P07"
	stateDiskFull               = "53100"
	stateTooManyConnections     = "53300"
	stateNotInPrerequisiteState = "55000"
	stateLockTimeout            = "55P03"
	stateCancelled              = "57014"
	stateTerminated             = "57P01"
	stateInternal               = "XX000"
)

// sqlError is an error that is sent to the client.
type sqlError struct {
	state   string
	message string
	fatal   bool
}

func (e *sqlError) Error() string {
	return "[" + e.state + "] " + e.message
}

func errorf(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

//nolint:gochecknoglobals // Constant errors.
var (
	errCancelled   = errorf(stateCancelled, "canceling statement due to user request")
	errTimeout     = errorf(stateCancelled, "canceling statement due to statement timeout")
	errLockTimeout = errorf(stateLockTimeout, "canceling statement due to lock timeout")
	errTerminated  = &sqlError{stateTerminated, "terminating connection due to administrator command", true}
)

//nolint:gochecknoglobals // Constant tables.
var (
	// embeddedState finds the SQLSTATE in the message of an error that passed through SQLite.
	embeddedState = regexp.MustCompile(`\[([0-9A-Z]{5})\] (.*?)(?: \(\d+\))?$`)
	messageStates = []struct {
		pattern *regexp.Regexp
		state   string
		format  string
	}{
		{regexp.MustCompile(`no such table: (\S+)`), stateNoTable, `relation "%s" does not exist`},
		{regexp.MustCompile(`no such (?:index|view): (\S+)`), stateNoTable, `relation "%s" does not exist`},
		{regexp.MustCompile(`no such column: (\S+)`), stateNoColumn, `column "%s" does not exist`},
		{regexp.MustCompile(`has no column named (\S+)`), stateNoColumn, `column "%s" does not exist`},
		{regexp.MustCompile(`no such function: (\S+)`), stateNoFunction, `function %s does not exist`},
		{regexp.MustCompile(`(?:table|index|view) (\S+) already exists`), stateTableExists, `relation "%s" already exists`},
	}
	sqliteCodeStates = map[int]string{
		5: stateSerialization, 517: stateSerialization, 6: stateSerialization, 9: stateCancelled, 13: stateDiskFull,
		20: stateDatatypeMismatch, 275: stateCheck, 787: stateForeignKey, 1299: stateNotNull, 1555: stateUnique, 2067: stateUnique,
		2579: stateUnique, 3091: stateDatatypeMismatch, 1: stateSyntax,
	}
)

// describeError converts an error to the one that is sent to the client, with its SQLSTATE.
func describeError(err error) *sqlError {
	var known *sqlError
	if errors.As(err, &known) {
		return known
	}

	if match := embeddedState.FindStringSubmatch(err.Error()); match != nil {
		return &sqlError{state: match[1], message: match[2], fatal: match[1] == stateTerminated}
	}

	if errors.Is(err, context.Canceled) {
		return errCancelled
	}

	for _, row := range messageStates {
		if match := row.pattern.FindStringSubmatch(err.Error()); match != nil {
			return errorf(row.state, row.format, strings.Trim(match[1], `"`))
		}
	}

	var failed *sqlite.Error
	if errors.As(err, &failed) {
		if state, ok := sqliteCodeStates[failed.Code()]; ok {
			return errorf(state, "%s", failed.Error())
		}
	}

	return errorf(stateInternal, "%s", err.Error())
}
