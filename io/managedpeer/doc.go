// Package managedpeer carries statements between the proxies of a managed deployment: a proxy without connections to a
// group's servers calls one that holds some, and waits for the reply; package peer carries the calls between PostgreSQL
// proxies.
//
// A connection carries any number of calls at the same time. Each message is a frame: its length in bytes without this
// field (4 bytes, big endian), the number of the call (8 bytes, big endian) and the request or reply in CBOR. A reply
// without content says that the request could not be read.
//
// It takes the place of gRPC, which made a call take 9 ms longer on VMs with a fifth of a core: a call wakes up four
// goroutines here and about twice as many there, besides frames for flow control and bandwidth estimates.
//
// # Usage
//
//	server := managedpeer.Serve(listener, logger, run)
//	defer server.Close()
//
//	peers := managedpeer.NewPeers(logger)
//	err := peers.Call(ctx, address, request, reply)
package managedpeer
