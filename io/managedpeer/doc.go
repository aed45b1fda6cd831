// Package managedpeer forwards statements between the proxies of a managed deployment: a proxy without connections to a
// group's servers calls a proxy that holds some and waits for the reply. Package peer is the counterpart for PostgreSQL
// proxies.
//
// A connection multiplexes any number of concurrent calls. Each message is a frame: its length in bytes without this
// field (4 bytes, big endian), the ID of the call (8 bytes, big endian) and the request or reply in CBOR. A reply
// without content says that the request could not be decoded, or the reply not be encoded.
//
// A server that closes sends a frame with the call ID zero: it takes no more calls on this connection, and the content
// names the last one that it has accepted. Those before are answered before the connection ends; those after, which were on
// their way, fail with ErrNotSent, because they have not run. Former builds ignore the frame. A client that understands it
// sets the highest bit of its call IDs and sends its requests in the order of their IDs.
//
// The package doesn't use gRPC, which made a call take 9 ms longer on VMs with a fifth of a core: a call wakes up four
// goroutines here and about twice as many with gRPC, which also sends frames for flow control and bandwidth estimates.
//
// # Usage
//
//	server := managedpeer.Serve(listener, logger, run)
//	defer server.Close()
//
//	client := managedpeer.NewClient(logger)
//	err := client.Call(ctx, address, request, reply)
package managedpeer
