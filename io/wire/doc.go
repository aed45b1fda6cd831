// Package wire reads and writes the message frames of the PostgreSQL protocol, version 3. Package caller uses it for
// connections of callers, package backend for connections to backend servers.
//
// Reader reads the header and the body of a message separately, so that the size of a body can be checked before it is
// read, and a long body can be forwarded in pieces without being held in memory as a whole. Writer buffers an answer:
// it can drop what was not yet written, and hold back a part until it may be written. The contents of messages are
// decoded and encoded with github.com/jackc/pgx/v5/pgproto3.
//
// # Usage
//
//	kind, size, err := reader.ReadHeader()
//	if err != nil {
//		return err
//	}
//	if kind == 'D' {
//		return reader.Forward(writer) // any size
//	}
//	body, err := reader.ReadBody()
package wire
