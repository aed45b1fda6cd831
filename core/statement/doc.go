// Package statement classifies SQL statements for a proxy: whether a statement only reads, whether it begins or ends a
// transaction, and whether it leaves state on the connection that runs it.
//
// The text is split into tokens but not parsed. A statement that the package doesn't recognise counts as a write, so that
// an error sends a read to the primary rather than a write to a replica. If a statement that counts as a read writes
// nevertheless, through a function, the backend server refuses it, because it runs reads in read-only mode.
//
// The lexer assumes that standard_conforming_strings is on, which is the default since PostgreSQL 9.1, and that no character of the
// encoding has a second byte that is a backslash. ChangesReading finds settings with which this is not so.
//
// # Usage
//
//	for _, statement := range statement.Classify("BEGIN; SELECT 1; COMMIT") {
//		if statement.Kind == statement.Write { ... }
//	}
package statement
