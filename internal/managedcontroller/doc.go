// Package managedcontroller is the control process of a managed deployment, whose operator sends whole configurations
// and whose platform promotes backend servers on request; package controller is the counterpart where control promotes
// servers itself.
//
// A Controller runs beside a member of the replicated log. While the member leads, the controller takes configurations
// and announcements into the log, grants leases to proxies, tells them the present view, probes the primaries, and
// replaces those that are lost or leave. Otherwise it passes calls on to the leader.
//
// # Order of a takeover
//
// The leader records that it fences, and waits until each proxy has applied a view without the primary or has lost its
// lease. From then on no proxy reads the latest data from the former primary. It records the candidate with a fencing
// token that no other order has, gives the order, and records the new primary once that server says that it leads. A
// leader that fails between these steps leaves the rest to the next one, which gives a new order with a higher token.
//
// # Usage
//
//	controls := managedcontroller.New(managedcontroller.Options{Name: name, Log: group, State: state, Promote: promote, Dial: dial, ...})
//	defer controls.Close()
//	managedcontrol.Register(server, controls)
package managedcontroller
