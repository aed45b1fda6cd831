// Package proxy is the PostgreSQL proxy: it accepts callers, routes their statements to backend servers and keeps the
// consistency guarantees of each session; package managedproxy is the counterpart for managed deployments.
//
// Coordination is everything that request processing needs from the other processes of the system. It has one
// implementation for a running process and small fakes in tests.
//
// # Processing a request
//
// A session collects a request: a simple query, or the messages of the extended protocol up to Sync. The request is
// classified by package statement, and a server is chosen. A read takes the session's floor or a barrier and goes to a
// replica that has replayed it, or to the primary; a write goes to the primary. The whole request runs on one backend
// connection, which a transaction keeps to its end. A commit is answered once Coordination.ConfirmCommits has returned.
//
// The answer is streamed through a buffer of 16 KiB. As long as nothing of it was written to the caller, a read that
// failed, and a write that was refused, can be retried.
//
// # Slots
//
// A slot is held while a request runs, to the end of its answer. A slow reader therefore holds a slot until the
// deadline of its request at the latest, when the statement is cancelled. A transaction that may hold locks keeps its
// slot from its first write to its end. Otherwise statements that wait for its locks could take all slots, and its
// COMMIT would get none. When the caller leaves such a transaction idle for longer than the deadline, the session is
// ended.
//
// # Usage
//
//	server := proxy.NewServer(proxy.Options{Coordination: coordination, Name: "p1", Listener: listener})
//	go server.Serve(ctx)
//	...
//	err := server.Drain(limited)
package proxy
