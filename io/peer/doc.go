// Package peer implements the calls between PostgreSQL proxies over gRPC; package managedpeer is the counterpart for
// the proxies of managed deployments, with its own framing instead of gRPC.
//
// A Client calls another proxy's Peer service. Every call has a timeout. If a call times out and no other call on the
// connection was answered meanwhile, the connection is considered lost and is replaced: a connection can be lost
// without notice while new connections work.
//
// # Usage
//
//	server := peer.NewServer(peer.Options{}, handler)
//	go server.Serve(listener)
//
//	client, err := peer.Dial(address, peer.Options{})
//	if err != nil {
//		return err
//	}
//	defer client.Close()
//	reply, err := client.Barrier(ctx, &peerpb.BarrierRequest{Group: "db1", Epoch: 3})
package peer
