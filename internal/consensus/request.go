package consensus

import (
	"context"

	"almondgrade/core/raft"
	"almondgrade/core/result"
)

// proposal is a command whose proposer waits for the result.
type proposal struct {
	command []byte
	term    uint64
	done    chan proposalResult
}

// readResult is the outcome of a Confirm.
type readResult struct {
	index uint64
	err   error
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	proposal *proposal
	reply    []byte
	err      error
}

// Propose appends a command to the log and returns the state machine's answer once a quorum has saved the command. It
// fails with result.NotLeader if the command did not run and never will, and with result.NoQuorum if its outcome is
// unknown.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, result.New(result.TooLarge, "the command has %d bytes; at most %d are allowed", len(command),
			maxCommandBytes)
	}

	waiting := &proposal{command: command, done: make(chan proposalResult, 1)}

	select {
	case g.proposals <- waiting:
	case <-ctx.Done():
		return nil, result.New(result.DeadlinePassed, "the command was not accepted in time: %w", ctx.Err())
	case <-g.ctx.Done():
		return nil, result.New(result.NotLeader, "the member is shutting down")
	}

	select {
	case got := <-waiting.done:
		return got.reply, got.err
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "no quorum confirmed the command in time; its outcome is unknown: %w",
			ctx.Err())
	}
}

func (g *Group) propose(waiting *proposal) {
	if g.node == nil {
		waiting.done <- proposalResult{err: g.notLeaderError("this member does not take part in the log")}

		return
	}

	index, term, err := g.node.Propose(waiting.command)
	if err != nil {
		waiting.done <- proposalResult{err: g.notLeaderError(err.Error())}

		return
	}

	waiting.term = term
	g.pendingProposals[index] = waiting
}

// deliverResults answers the proposals that were applied and the reads that were confirmed. It runs after the applied
// index has been published.
func (g *Group) deliverResults() {
	for _, one := range g.proposalResults {
		one.proposal.done <- one
	}

	g.proposalResults = g.proposalResults[:0]

	// A confirmed index was committed when its quorum round began, and the node passed the entries up to it on to be
	// applied before it confirmed the index.
	for _, confirmed := range g.confirmedReads {
		if done := g.pendingReads[confirmed.Token]; done != nil {
			delete(g.pendingReads, confirmed.Token)
			done <- readResult{index: confirmed.Index}
		}
	}

	g.confirmedReads = g.confirmedReads[:0]
}

// failOutdatedProposals answers the proposals of a term in which this member led and no longer does: another leader may
// or may not commit them.
func (g *Group) failOutdatedProposals() {
	if g.node == nil || len(g.pendingProposals) == 0 {
		return
	}

	leads, term, _ := g.node.Leadership()

	for index, waiting := range g.pendingProposals {
		if !leads || waiting.term != term || index <= g.applied {
			delete(g.pendingProposals, index)
			waiting.done <- proposalResult{err: result.New(result.NoQuorum,
				"the member stopped leading before a quorum confirmed the command; its outcome is unknown")}
		}
	}
}

// failPending answers all pending proposals and reads with an error, after the results that are known.
func (g *Group) failPending(err *result.Error) {
	g.deliverResults()

	for index, waiting := range g.pendingProposals {
		delete(g.pendingProposals, index)
		waiting.done <- proposalResult{err: err}
	}

	for token, done := range g.pendingReads {
		delete(g.pendingReads, token)
		done <- readResult{err: err}
	}
}

// Confirm returns an index that covers everything that was committed before the call. It returns after a quorum has
// confirmed that this member still leads and after the index was applied here. It fails with result.NotLeader on a
// follower that knows the leader, and with result.NoQuorum if the latest state is unknown.
func (g *Group) Confirm(ctx context.Context) (index uint64, err error) {
	done := make(chan readResult, 1)
	begin := func() { g.startRead(done) }

	select {
	case g.calls <- begin:
	case <-ctx.Done():
		return 0, result.New(result.NoQuorum, "no quorum confirmed the latest state in time: %w", ctx.Err())
	case <-g.ctx.Done():
		return 0, result.New(result.NoQuorum, "the member is shutting down")
	}

	select {
	case got := <-done:
		return got.index, got.err
	case <-ctx.Done():
		return 0, result.New(result.NoQuorum, "no quorum confirmed the latest state in time: %w", ctx.Err())
	}
}

func (g *Group) startRead(done chan<- readResult) {
	switch {
	case g.failure != nil:
		done <- readResult{err: result.New(result.NoQuorum, "the member's disk failed: %w", g.failure)}
	case g.node == nil:
		done <- readResult{err: result.New(result.NoQuorum, "this member does not take part in the log yet")}
	default:
		g.lastReadToken++
		g.pendingReads[g.lastReadToken] = done

		if err := g.node.RequestReadIndex(g.lastReadToken); err != nil {
			g.failRead(g.lastReadToken)
		}
	}
}

// failRead answers a read that this member can't confirm with an error.
func (g *Group) failRead(token uint64) {
	done := g.pendingReads[token]
	delete(g.pendingReads, token)

	if done == nil {
		return
	}

	if leader, known := g.otherLeader(); known {
		done <- readResult{err: result.New(result.NotLeader, "reads are confirmed by the leader; the leader is %s at %s",
			leader.Name, leader.Address)}
	} else {
		done <- readResult{err: result.New(result.NoQuorum, "no leader is known, so the latest state is unknown")}
	}
}

// otherLeader returns the leader, if it is known and another member. A member that has just joined knows the leader's ID
// before it learns the leader's address.
func (g *Group) otherLeader() (raft.Member, bool) {
	if g.node == nil {
		return raft.Member{}, false
	}

	_, _, leader := g.node.Leadership()
	if leader == 0 || leader == g.identity.ID {
		return raft.Member{}, false
	}

	return g.node.Status().Configuration.FindMember(leader)
}

// notLeaderError returns an error that names the leader, if it is known.
func (g *Group) notLeaderError(reason string) *result.Error {
	if leader, known := g.otherLeader(); known {
		return result.New(result.NotLeader, "%s; the leader is %s at %s", reason, leader.Name, leader.Address)
	}

	return result.New(result.NotLeader, "%s; no leader is known", reason)
}

// callInLoop runs a function in the event loop and returns its error.
func (g *Group) callInLoop(ctx context.Context, function func() error) error {
	done := make(chan error, 1)

	select {
	case g.calls <- func() { done <- function() }:
	case <-ctx.Done():
		return result.New(result.NoQuorum, "the change was not confirmed in time: %w", ctx.Err())
	case <-g.ctx.Done():
		return result.New(result.NotLeader, "the member is shutting down")
	}

	select {
	case err := <-done:
		return err
	case <-g.ctx.Done():
		return result.New(result.NoQuorum, "the member is shutting down")
	}
}
