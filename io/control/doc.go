// Package control is the gRPC client of proxies for the control processes of deployments in which control promotes
// backend servers itself; package managedcontrol is the counterpart for managed deployments, where a platform promotes
// them.
//
// Client finds the leader, keeps a Watch stream open and converts its updates to views. It holds the proxy's
// configuration lease: an update that answers a Renew extends the lease from the time at which the Renew was sent,
// because control has confirmed its leadership after that time.
//
// The handlers of the server side are in internal/controller. Both sides share the conversions between views and
// messages in this package.
//
// # Usage
//
//	client := control.New(control.Options{Members: members, Proxy: self, Timer: clock, Logger: logger})
//	defer client.Close()
//	view := client.View()
package control
