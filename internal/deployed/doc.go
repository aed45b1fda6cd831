// Package deployed assembles the processes of a deployment whose operator sends whole configurations: a Proxy from a
// managedproxy.Gateway that follows the leader of control, and a control process: a Control from a member of the log and a
// managedcontroller.Controller, or a Relay on a VM without a disk.
//
// # Usage
//
//	proxy, err := deployed.NewProxy(options)
//	if err != nil {
//		return err
//	}
//	proxy.Run(ctx)
package deployed
