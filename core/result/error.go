package result

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Error is an error with a result code and a reason.
type Error struct {
	Code   Code
	Reason string
	cause  error
}

// New returns an error with a formatted reason. The argument of a %w verb becomes the cause.
func New(code Code, format string, args ...any) *Error {
	formatted := fmt.Errorf(format, args...)

	return &Error{Code: code, Reason: formatted.Error(), cause: errors.Unwrap(formatted)}
}

// Restore returns the error for a code and a reason that were received from another process, or nil for OK.
func Restore(code Code, reason string) error {
	if code == OK {
		return nil
	}

	return New(code, "%s", reason)
}

// Error implements error. The text begins with the code, such as "AG1302: ...".
func (e *Error) Error() string {
	return "AG" + strconv.FormatUint(uint64(e.Code), 10) + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// ValidText returns a reason as UTF-8, which messages between processes require. A reason may quote a caller or a server whose
// texts have another encoding; what is not UTF-8 is replaced.
func ValidText(reason string) string {
	return strings.ToValidUTF8(reason, "\ufffd")
}

// CodeOf returns the code of an error, or OK if it has none.
func CodeOf(err error) Code {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Code
	}

	return OK
}
