// Package deployed assembles the processes of a deployment whose operator sends whole configurations: a Proxy from a
// gateway.Gateway that follows the leader of control, a Control from a member of the log and a fleet.Controller, and a
// Relay for control processes on VMs without a disk.
//
// # Usage
//
//	proxy, err := deployed.NewProxy(options)
//	if err != nil {
//		return err
//	}
//	proxy.Run(ctx)
package deployed
