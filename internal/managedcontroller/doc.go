// Package managedcontroller is the control process of a managed deployment, whose operator sends whole configurations
// and whose platform promotes backend servers on request; package controller is the counterpart where control promotes
// servers itself.
//
// A Controller runs beside a member of the replicated log. While the member leads, the controller records
// configurations and announcements in the log, grants leases to proxies, sends them the current view, probes the
// primaries, and replaces those that fail or are about to leave. Otherwise it passes calls on to the leader.
//
// # Order of a takeover
//
// The leader records that the group is being fenced, and waits until each proxy has applied a view without the primary
// or its lease has expired. From then on no proxy reads the latest data from the former primary. The leader records the
// candidate with a fencing token that no other order has, sends the order to the platform, and records the new primary
// once that server reports that it is the primary. If the leader fails between these steps, the next one goes on from
// the recorded phase and sends a new order with a higher token.
//
// # Usage
//
//	controls := managedcontroller.New(managedcontroller.Options{Name: name, Log: group, State: state, Promote: promote, Dial: dial, ...})
//	defer controls.Close()
//	managedcontrol.Register(server, controls)
package managedcontroller
