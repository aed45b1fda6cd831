// Package deployed assembles the processes of a deployment whose operator sends whole configurations: a Proxy from a
// gateway.Gateway that follows the leader of control, and a Control from a member of the log and a fleet.Controller.
//
// # Usage
//
//	proxy := deployed.NewProxy(options)
//	proxy.Run(ctx)
package deployed
