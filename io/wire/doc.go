// Package wire frames messages of the PostgreSQL protocol, version 3, in both directions; packages caller and backend
// are the two ends that speak it.
//
// Reader separates the header of a message from its body, so that a long body can be checked against a limit
// before it is read, and forwarded in pieces without ever being held whole. Writer buffers an answer: it can take
// back what was not yet written, and hold back a part until it may be written. The contents of messages are read
// and built with github.com/jackc/pgx/v5/pgproto3.
//
// # Usage
//
//	kind, size, err := reader.Next()
//	if err != nil {
//		return err
//	}
//	if kind == 'D' {
//		return reader.Forward(writer) // any size
//	}
//	body, err := reader.Body()
package wire
