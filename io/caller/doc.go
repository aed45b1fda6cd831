// Package caller implements the server side of the PostgreSQL protocol, version 3, for callers: the clients of a proxy.
//
// Accept performs the startup and login of a new connection and returns either a Conn or a cancel request. Every
// refusal reaches the caller as an ErrorResponse whose message begins with the result code, as in "AG1202: ...", and
// which has the SQLSTATE of that code. The sizes of the startup packet and of each message, and the time for the whole
// startup, are bounded even before the caller is identified.
//
// # Usage
//
//	accepted, err := caller.Accept(ctx, conn, options)
//	if err != nil {
//		return err // the caller has received the error
//	}
//	if accepted.Cancel != nil {
//		...
//	}
//	err = accepted.Conn.AwaitMessage(time.Time{})
package caller
