package disk

import "fmt"

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

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("disk: %s %s failed and is not retried: %v", e.Operation, e.Path, e.cause)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error {
	return e.cause
}
