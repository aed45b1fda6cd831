// Package topology is the replicated state of a managed deployment, whose operator sends whole configurations and whose
// platform promotes backend servers on request. Package registry is the counterpart for deployments in which control
// promotes servers itself.
//
// State is a deterministic state machine for a replicated log. It holds the newest Configuration, the backend servers
// that have announced themselves, and for each group the primary and the phase of a takeover. The result of a command
// depends only on the commands before it, so that all members of the log reach the same state.
//
// A configuration with a higher number replaces the current one. A configuration with the same or a lower number is
// accepted but ignored, because the operator resends a change that was not answered, and an older change may arrive
// after a newer one.
//
// A takeover replaces the primary of a group. Fence starts it and makes proxies stop using the primary. Promote records
// the candidate and the fencing token of the promotion order. FinishTakeover records the new primary. AbandonTakeover
// cancels a takeover for which no order has been given. The token of an order is the log index of its Promote, so that
// no two orders share a token.
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
