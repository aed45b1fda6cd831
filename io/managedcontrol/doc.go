// Package managedcontrol is the gRPC interface of the control processes in a managed deployment, which proxies and
// other control processes call. There, the operator sends whole configurations and the platform promotes backend
// servers on request; package control is the counterpart where the control processes promote servers themselves.
//
// Each proxy calls Sync in a loop (long polling): the leader answers when it has something newer than what the proxy
// has applied, or after a short delay. The call renews the proxy's lease, tells the leader what the proxy has applied
// and which backend servers it reaches, and returns views. A control process that is not the leader answers with the
// leader's address.
//
// Deliver forwards a request of a backend server or an operator to the leader. Such a request may arrive at any control
// process.
//
// Messages are CBOR over gRPC.
//
// # Usage
//
//	managedcontrol.Register(server, service)
//	client := managedcontrol.NewClient(managedcontrol.ClientOptions{Seeds: seeds, Dial: dial, Logger: logger})
//	reply, err := client.Sync(ctx, request)
package managedcontrol
