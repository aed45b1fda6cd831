package raft

// campaign starts an election as a candidate, or asks first as a pre-candidate whether it could be won.
func (n *Node) campaign(role Role, transfer bool) {
	n.follow(n.state.Term, 0)
	n.role = role
	n.votes = map[ID]bool{n.options.ID: true}

	request := Message{Kind: PreVote, Term: n.state.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if role == Candidate {
		n.state = State{Term: n.state.Term + 1, Vote: n.options.ID}
		request.Kind, request.Transfer = Vote, transfer
	}

	for _, member := range n.configuration().Members {
		if member.Voter && member.ID != n.options.ID {
			request.To = member.ID
			n.send(request)
		}
	}

	n.concludeElection()
}

// answerVote grants a vote to a candidate whose log is at least as far as the node's own. A member grants votes even
// if it believes to have none itself: the candidate may know a later configuration.
func (n *Node) answerVote(message Message) {
	last, lastTerm := n.log.last(), n.log.lastTerm()
	current := message.LogTerm > lastTerm || (message.LogTerm == lastTerm && message.Index >= last)

	if message.Kind == PreVote {
		granted := current && message.Term > n.state.Term && !n.hearsLeader()
		reply := Message{Kind: PreVoteReply, To: message.From, Granted: granted}

		if granted {
			reply.Term = message.Term
		}

		n.send(reply)

		return
	}

	granted := current && (n.state.Vote == 0 || n.state.Vote == message.From)
	if granted {
		n.follow(n.state.Term, n.leader)
		n.state.Vote = message.From
	}

	n.send(Message{Kind: VoteReply, To: message.From, Granted: granted})
}

func (n *Node) countVote(message Message) {
	switch {
	case n.role == PreCandidate && message.Kind == PreVoteReply:
		// A granted pre-vote carries the term that was asked for, a refusal the refuser's present term.
		if message.Granted && message.Term != n.state.Term+1 {
			return
		}
	case n.role == Candidate && message.Kind == VoteReply:
	default:
		return
	}

	n.votes[message.From] = message.Granted
	n.concludeElection()
}

func (n *Node) concludeElection() {
	configuration := n.configuration()

	if configuration.Quorum(func(id ID) bool { return n.votes[id] }) {
		if n.role == PreCandidate {
			n.campaign(Candidate, false)
		} else {
			n.lead()
		}

		return
	}

	refused := configuration.Quorum(func(id ID) bool {
		granted, answered := n.votes[id]

		return answered && !granted
	})
	if refused {
		n.follow(n.state.Term, 0)
	}
}

// lead begins the leadership of the present term with an empty entry.
func (n *Node) lead() {
	n.role, n.leader, n.met = Leader, n.options.ID, true
	n.votes = nil
	n.elapsed, n.heartbeat = 0, 0
	n.round = 0
	n.incoming = nil
	n.progress = make(map[ID]*progress)
	n.trackMembers()
	n.appendOwn(Empty, nil)
	n.announce = true
}
