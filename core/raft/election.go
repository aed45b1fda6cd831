package raft

// campaign starts an election as a candidate, or, as a pre-candidate, asks whether the election could be won.
func (n *Node) campaign(role Role, transfer bool) {
	n.becomeFollower(n.hardState.Term, 0)
	n.role = role
	n.votes = map[ID]bool{n.options.ID: true}

	request := Message{Kind: PreVoteRequest, Term: n.hardState.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if role == Candidate {
		n.hardState = HardState{Term: n.hardState.Term + 1, VotedFor: n.options.ID}
		request.Kind, request.LeadershipTransfer = VoteRequest, transfer
	}

	for _, member := range n.configuration().Members {
		if member.Voter && member.ID != n.options.ID {
			request.To = member.ID
			n.send(request)
		}
	}

	n.tallyVotes()
}

// handleVoteRequest grants a vote to a candidate whose log is at least as up to date as the node's own. A member grants
// votes even if it has no vote in its own configuration: the candidate may know a later one.
func (n *Node) handleVoteRequest(message Message) {
	last, lastTerm := n.log.last(), n.log.lastTerm()
	current := message.LogTerm > lastTerm || (message.LogTerm == lastTerm && message.Index >= last)

	if message.Kind == PreVoteRequest {
		granted := current && message.Term > n.hardState.Term && !n.hasActiveLeader()
		reply := Message{Kind: PreVoteReply, To: message.From, Granted: granted}

		if granted {
			reply.Term = message.Term
		}

		n.send(reply)

		return
	}

	granted := current && (n.hardState.VotedFor == 0 || n.hardState.VotedFor == message.From)
	if granted {
		n.becomeFollower(n.hardState.Term, n.leader)
		n.hardState.VotedFor = message.From
	}

	n.send(Message{Kind: VoteReply, To: message.From, Granted: granted})
}

func (n *Node) handleVoteReply(message Message) {
	switch {
	case n.role == PreCandidate && message.Kind == PreVoteReply:
		// A granted pre-vote carries the requested term, a refusal the sender's current term.
		if message.Granted && message.Term != n.hardState.Term+1 {
			return
		}
	case n.role == Candidate && message.Kind == VoteReply:
	default:
		return
	}

	n.votes[message.From] = message.Granted
	n.tallyVotes()
}

func (n *Node) tallyVotes() {
	configuration := n.configuration()

	if configuration.HasQuorum(func(id ID) bool { return n.votes[id] }) {
		if n.role == PreCandidate {
			n.campaign(Candidate, false)
		} else {
			n.becomeLeader()
		}

		return
	}

	refused := configuration.HasQuorum(func(id ID) bool {
		granted, answered := n.votes[id]

		return answered && !granted
	})
	if refused {
		n.becomeFollower(n.hardState.Term, 0)
	}
}

// becomeLeader starts the leadership of the current term by appending an empty entry.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.leaderSeen = Leader, n.options.ID, true
	n.votes = nil
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.readRound = 0
	n.incomingSnapshot = nil
	n.progress = make(map[ID]*progress)
	n.trackMembers()
	n.appendAsLeader(EmptyEntry, nil)
	n.broadcast = true
}
