package consensus

import (
	"context"

	"almondgrade/core/raft"
	"almondgrade/core/result"
)

// proposal is a command whose proposer waits.
type proposal struct {
	command []byte
	term    uint64
	done    chan answer
}

// reading is the outcome of a Confirm.
type reading struct {
	index uint64
	err   error
}

// answer is the outcome of a proposal.
type answer struct {
	to    *proposal
	reply []byte
	err   error
}

// Propose appends a command and returns the state machine's answer once a quorum has saved it. It fails with
// result.NotLeader if the command did not and will not run, and with result.NoQuorum if the outcome is unknown.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > commandLimit {
		return nil, result.New(result.TooLarge, "the command has %d bytes; at most %d are allowed", len(command),
			commandLimit)
	}

	waiting := &proposal{command: command, done: make(chan answer, 1)}

	select {
	case g.proposals <- waiting:
	case <-ctx.Done():
		return nil, result.New(result.DeadlinePassed, "the command was not taken in time: %w", ctx.Err())
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
		waiting.done <- answer{err: g.notLeader("this member does not take part in the log")}

		return
	}

	index, term, err := g.node.Propose(waiting.command)
	if err != nil {
		waiting.done <- answer{err: g.notLeader(err.Error())}

		return
	}

	waiting.term = term
	g.pending[index] = waiting
}

// answer answers the proposals that were applied, after the applied index is visible.
func (g *Group) answer() {
	for _, one := range g.answers {
		one.to.done <- one
	}

	g.answers = g.answers[:0]

	// A confirmed index was committed when its round began and handed out for application before the confirmation.
	for _, confirmed := range g.readings {
		if done := g.reads[confirmed.Token]; done != nil {
			delete(g.reads, confirmed.Token)
			done <- reading{index: confirmed.Index}
		}
	}

	g.readings = g.readings[:0]
}

// dropOutdated answers the proposals of a leadership that ended: another leader may or may not commit them.
func (g *Group) dropOutdated() {
	if g.node == nil || len(g.pending) == 0 {
		return
	}

	leads, term, _ := g.node.Leadership()

	for index, waiting := range g.pending {
		if !leads || waiting.term != term || index <= g.applied {
			delete(g.pending, index)
			waiting.done <- answer{err: result.New(result.NoQuorum,
				"the member stopped leading before a quorum confirmed the command; its outcome is unknown")}
		}
	}
}

// abandon answers everybody who waits.
func (g *Group) abandon(err *result.Error) {
	g.answer()

	for index, waiting := range g.pending {
		delete(g.pending, index)
		waiting.done <- answer{err: err}
	}

	for token, done := range g.reads {
		delete(g.reads, token)
		done <- reading{err: err}
	}
}

// Confirm returns an index that covers everything that was committed before the call, after a quorum confirmed that
// this member still led and after the index was applied here. It fails with result.NotLeader on a follower that knows
// the leader, and with result.NoQuorum if the latest state is not known.
func (g *Group) Confirm(ctx context.Context) (index uint64, err error) {
	done := make(chan reading, 1)
	begin := func() { g.read(done) }

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

func (g *Group) read(done chan<- reading) {
	switch {
	case g.broken != nil:
		done <- reading{err: result.New(result.NoQuorum, "the member's disk failed: %w", g.broken)}
	case g.node == nil:
		done <- reading{err: result.New(result.NoQuorum, "this member does not take part in the log yet")}
	default:
		g.token++
		g.reads[g.token] = done

		if err := g.node.RequestReadIndex(g.token); err != nil {
			g.lose(g.token)
		}
	}
}

// lose answers a read that this member can't confirm.
func (g *Group) lose(token uint64) {
	done := g.reads[token]
	delete(g.reads, token)

	if done == nil {
		return
	}

	if leader, known := g.leader(); known {
		done <- reading{err: result.New(result.NotLeader, "reads are confirmed by the leader; the leader is %s at %s",
			leader.Name, leader.Address)}
	} else {
		done <- reading{err: result.New(result.NoQuorum, "no leader is known, so the latest state isn't either")}
	}
}

// leader returns the leader, if it is known and another member. A member that has just joined hears the leader before
// it learns where the leader is.
func (g *Group) leader() (raft.Member, bool) {
	if g.node == nil {
		return raft.Member{}, false
	}

	_, _, leader := g.node.Leadership()
	if leader == 0 || leader == g.identity.ID {
		return raft.Member{}, false
	}

	return g.node.Status().Configuration.FindMember(leader)
}

// notLeader returns the error that names the leader, if it is known.
func (g *Group) notLeader(reason string) *result.Error {
	if leader, known := g.leader(); known {
		return result.New(result.NotLeader, "%s; the leader is %s at %s", reason, leader.Name, leader.Address)
	}

	return result.New(result.NotLeader, "%s; no leader is known", reason)
}

// call runs a function in the loop.
func (g *Group) call(ctx context.Context, function func() error) error {
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
