package raft

import "slices"

// EarlyMessages returns the messages that may be sent while the effects of the last Ready are still being saved: a
// leader's heartbeats and its order to start an election, and a follower's answers to heartbeats. They claim nothing that
// is not saved. All others stay until the next Ready. A node whose term is not saved yet has none.
//
// Between Ready and Advance the owner may call Tick, and Step with urgent messages: those don't change saved entries.
func (n *Node) EarlyMessages() []Message {
	if n.hardState != n.savedState || n.unsavedSnapshot != nil {
		return nil
	}

	if n.role == Leader && n.broadcast {
		for _, member := range n.configuration().Members {
			if member.ID != n.options.ID {
				n.sendHeartbeat(member.ID, n.progress[member.ID])
			}
		}

		n.broadcast = false
	}

	var early []Message

	n.messages = slices.DeleteFunc(n.messages, func(message Message) bool {
		switch {
		case message.Kind == AppendRequest && message.Heartbeat, message.Kind == TimeoutNow:
			early = append(early, message)

			return true
		case message.Kind == AppendReply && message.Heartbeat && !message.Rejected:
			message.Index = min(message.Index, n.stable)
			early = append(early, message)

			return true
		default:
			return false
		}
	})

	return early
}

// ExtendElection extends the election timeout and the quorum check by a number of ticks, because messages are late at
// present. The owner bounds it, so that a dead leader is still replaced in time.
func (n *Node) ExtendElection(ticks int) {
	n.extraTicks = ticks
}

// electionExtension returns the extension that is in force. It protects a known leader; a group without one must not wait
// longer because its processes have just started.
func (n *Node) electionExtension() int {
	if n.leader == 0 {
		return 0
	}

	return n.extraTicks
}

// StepDown makes a leader stop leading. Unlike TransferLeadership it needs no other member.
func (n *Node) StepDown() {
	if n.role == Leader {
		n.becomeFollower(n.hardState.Term, 0)
	}
}

// Backlog returns the number of messages that wait for the next Ready.
func (n *Node) Backlog() int {
	return len(n.messages)
}
