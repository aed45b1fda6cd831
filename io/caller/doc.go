// Package caller is the server side of the PostgreSQL protocol, version 3, towards callers.
//
// Accept takes a new connection through startup and login and returns either a Conn or a request to cancel. Every
// refusal reaches the caller as an ErrorResponse whose message begins with the result code, as "AG1202: ...", and
// whose SQLSTATE is the code's. Limits on the size of the startup packet and of each message, and a deadline for
// the whole startup, hold before anything is known of the caller.
//
// # Usage
//
//	accepted, err := caller.Accept(conn, options)
//	if err != nil {
//		return err // the caller has been told
//	}
//	if accepted.Cancel != nil {
//		...
//	}
//	kind, err := accepted.Conn.Await(time.Time{})
package caller
