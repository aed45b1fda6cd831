// Package statement tells what a proxy must know of SQL text: whether a statement only reads, whether it begins or
// ends a transaction, and whether it leaves state on the connection that runs it.
//
// The text is split into tokens, not parsed. Whatever the package does not know is a write, so that a mistake costs
// a read its replica and never sends a write there. A statement that is taken for a read and writes nevertheless
// (through a function) is refused by the backend server, which runs reads read-only.
//
// The lexer assumes standard_conforming_strings, the default since PostgreSQL 9.1.
//
// # Usage
//
//	for _, statement := range statement.Classify("BEGIN; SELECT 1; COMMIT") {
//		if statement.Kind == statement.Write { ... }
//	}
package statement
