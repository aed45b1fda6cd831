// Package control carries messages between proxies and control processes over gRPC where control promotes backend
// servers itself; package managedcontrol is the counterpart for managed deployments, where a platform promotes them.
//
// Client is a proxy's side: it finds the leader, keeps a Watch stream open and turns its updates into views. It
// holds the proxy's configuration lease: an update that answers a Renew extends the lease from the time at which
// the Renew was sent, because control confirmed its leadership after that time.
//
// Server side handlers are in internal/controller. The conversions between views and messages are here, so that
// both sides share them.
//
// # Usage
//
//	client := control.New(control.Options{Members: members, Proxy: self, Timer: clock, Logger: logger})
//	defer client.Close()
//	view := client.View()
package control
