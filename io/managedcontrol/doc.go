// Package managedcontrol carries the calls of proxies and control processes to control processes over gRPC in a managed
// deployment, whose operator sends whole configurations and whose platform promotes backend servers on request; package
// control is the counterpart where control promotes servers itself.
//
// Each proxy calls Sync without a pause: the leader answers when it has something newer than what the proxy has
// applied, or after a short hold. The call renews the proxy's lease, tells the leader what the proxy has applied and
// which backend servers it reaches, and brings views. A control process that is not the leader names the leader.
//
// Deliver carries a call of a backend server or an operator, which may reach any control process, to the leader.
//
// Messages are CBOR over gRPC.
//
// # Usage
//
//	managedcontrol.Register(server, service)
//	client := managedcontrol.NewClient(managedcontrol.ClientOptions{Seeds: seeds, Dial: dial, Logger: logger})
//	reply, err := client.Sync(ctx, request)
package managedcontrol
