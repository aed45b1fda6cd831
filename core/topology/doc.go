// Package topology is the replicated state of a managed deployment, whose operator sends whole configurations and whose
// platform promotes backend servers on request; package registry is the counterpart where control promotes servers
// itself.
//
// State is a state machine for a replicated log. It holds the newest Configuration, the backend servers that have
// announced themselves, and for each group the primary and the phase of a takeover. Its answers depend on nothing but
// the commands before, so that each member of the log reaches the same state.
//
// A configuration with a higher number replaces the present one. One whose number is not higher is accepted and changes
// nothing: the operator resends what it got no answer to, and an older change may arrive after a newer one.
//
// A takeover leads a group from one primary to the next. Fence announces it, so that proxies stop using the primary;
// Promote names the candidate and the fencing token of the order; Finish names the new primary. Abandon ends a takeover
// whose order was not given. The token of an order is the log index of its Promote, so that no two orders share one.
//
// # Usage
//
//	state := topology.NewState()
//	encoded, err := topology.Command{Configure: &configuration}.Encode()
//	if err != nil {
//		return err
//	}
//	answer := state.Apply(index, encoded)
//	view := state.View()
package topology
