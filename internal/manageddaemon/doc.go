// Package manageddaemon assembles the processes of a managed deployment, whose operator sends whole configurations and
// whose platform promotes backend servers on request: a Proxy from a managedproxy.Gateway that follows the leader of
// control, and a control process: a Control from a member of the log and a managedcontroller.Controller, or a Relay on
// a VM without a disk. Package daemon assembles those that are not managed.
//
// # Usage
//
//	proxy, err := manageddaemon.NewProxy(options)
//	if err != nil {
//		return err
//	}
//	proxy.Run(ctx)
package manageddaemon
