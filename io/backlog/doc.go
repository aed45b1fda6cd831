// Package backlog takes connections from the queue of a listener without waiting.
//
// A process that is about to close its listener has callers whose connections the kernel has accepted and the process has
// not. Closing the listener resets them. Accept of net.Listener can't be used to take them first: it waits if there is none, and
// once its deadline has passed it fails without a look at the queue.
//
// # Usage
//
//	for conn, queued := backlog.Accept(listener); queued; conn, queued = backlog.Accept(listener) {
//		serve(conn)
//	}
//	listener.Close()
package backlog
