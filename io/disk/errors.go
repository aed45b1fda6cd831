package disk

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptError means that synced data is damaged or missing, so the member must not continue under its identity.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
	Folder string
}

// Error names the file, the offset and the way to repair.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s; check the disk, then run 'almondgrade repair' with the "+
		"settings of this VM: it moves the content of %s aside and the member rejoins under a new identity", e.File,
		e.Offset, e.Reason, e.Folder)
}

// OperationError means that a file operation failed. The Log that returns it stays unusable.
type OperationError struct {
	Operation string
	Path      string
	cause     error
}

// FullError means that the disk has no room for a write. The write had no effect, and the Log can be used further.
type FullError struct {
	Operation string
	Path      string
	cause     error
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("disk: %s %s was refused for lack of room: %v", e.Operation, e.Path, e.cause)
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error {
	return e.cause
}

// isRefusal reports whether an error of a creation or a write means that there is no room. An error of a sync is never a
// refusal, whatever its cause.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("disk: %s %s failed and is not retried: %v", e.Operation, e.Path, e.cause)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error {
	return e.cause
}
