// Package peer connects PostgreSQL proxies with each other over gRPC; package managedpeer is the counterpart for the
// proxies of managed deployments, with frames of its own in place of gRPC.
//
// A Client calls another proxy's Peer service. Every call has a limit. A connection on which a call found no answer
// within its limit, while no other call was answered either, is taken for silent and replaced: connections can be
// lost without notice while new ones work.
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
