// Package manageddaemon assembles the processes of a managed deployment, whose operator sends whole configurations and
// whose platform promotes backend servers on request. A proxy process is a Proxy: a managedproxy.Gateway that follows
// the leader of control. A control process is a Control, which consists of a member of the log and a
// managedcontroller.Controller, or a Relay on a VM without a disk. Package daemon assembles the processes of other
// deployments.
//
// # Usage
//
//	proxy, err := manageddaemon.NewProxy(options)
//	if err != nil {
//		return err
//	}
//	proxy.Run(ctx)
package manageddaemon
