package consensus

import (
	"almondgrade/core/raft"
	"almondgrade/core/result"
)

// run is the event loop. Its goroutine owns the node, the folder and the state machine.
func (g *Group) run() {
	defer g.failPending(result.New(result.NoQuorum, "the member is shutting down; the outcome is unknown"))

	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.ticks:
			g.tick()
		case received := <-g.received:
			g.receive(received)
		case waiting := <-g.proposals:
			g.propose(waiting)
			g.proposeQueued()
		case call := <-g.calls:
			call()
		}

		g.handleReady()
	}
}

// proposeQueued proposes the commands that are already queued, so that they are saved together.
func (g *Group) proposeQueued() {
	for range maxProposalsPerSave {
		select {
		case waiting := <-g.proposals:
			g.propose(waiting)
		default:
			return
		}
	}
}

func (g *Group) tick() {
	if g.failure != nil {
		return
	}

	if g.node == nil {
		g.formGroup()
		g.logWaiting()

		return
	}

	g.node.Tick()
	g.manageMembers()
	g.updateLinks()
	g.publish()
}

// receive handles a batch from another member.
func (g *Group) receive(received batch) {
	if g.failure != nil {
		return
	}

	g.recordPeer(received.hello)

	if g.node == nil && len(received.messages) > 0 {
		g.joinGroup(received)
	}

	if g.node == nil || received.hello.Group != g.identity.Group {
		return
	}

	for _, message := range received.messages {
		if message.From == received.hello.ID {
			g.node.Step(message)
		}
	}
}

// handleReady processes what the node has ready until there is nothing left.
func (g *Group) handleReady() {
	if g.node == nil || !g.node.HasReady() {
		return
	}

	for g.node != nil && g.node.HasReady() {
		if err := g.handleOneReady(g.node.Ready()); err != nil {
			g.fail(err)
			g.publish()

			return
		}
	}

	g.failOutdatedProposals()
	g.publish()
	g.deliverResults()
}

func (g *Group) handleOneReady(ready raft.Ready) error {
	// A leader whose term is saved may send its appends while its own disk still writes them: its own copy counts towards
	// a quorum only after Advance.
	early := ready.HardState == nil && ready.Snapshot == nil

	for _, message := range ready.Messages {
		if early && message.Kind == raft.AppendRequest {
			g.send(message)
		}
	}

	if err := g.log.Save(ready.HardState, ready.Snapshot, ready.Entries); err != nil {
		return err
	}

	for _, message := range ready.Messages {
		if !early || message.Kind != raft.AppendRequest {
			g.send(message)
		}
	}

	if ready.Snapshot != nil {
		if err := g.options.Machine.Restore(ready.Snapshot.Data); err != nil {
			return err
		}

		g.applied, g.snapshot = ready.Snapshot.Index, ready.Snapshot.Index
		g.logger().Info("state replaced by a snapshot of the leader", "entry", ready.Snapshot.Index)
	}

	for _, entry := range ready.Committed {
		g.apply(entry)
	}

	g.confirmedReads = append(g.confirmedReads, ready.ConfirmedReads...)

	for _, token := range ready.LostReads {
		g.failRead(token)
	}

	g.node.Advance()

	return g.compact()
}

func (g *Group) apply(entry raft.Entry) {
	var reply []byte

	if entry.Kind == raft.CommandEntry {
		reply = g.options.Machine.Apply(entry.Index, entry.Data)
	}

	g.applied = entry.Index

	waiting, found := g.pendingProposals[entry.Index]
	if !found {
		return
	}

	delete(g.pendingProposals, entry.Index)

	if waiting.term == entry.Term {
		g.proposalResults = append(g.proposalResults, proposalResult{waiting, reply, nil})
	} else {
		g.proposalResults = append(g.proposalResults, proposalResult{waiting, nil, g.notLeaderError("another leader replaced the command")})
	}
}

// compact stores a snapshot once SnapshotEntries entries were applied since the last one.
func (g *Group) compact() error {
	if g.applied < g.snapshot+g.options.SnapshotEntries {
		return nil
	}

	data, err := g.options.Machine.Snapshot()
	if err != nil {
		return err
	}

	snapshot, possible := g.node.SnapshotAt(g.applied, data)
	if !possible {
		return nil
	}

	if err := g.log.Compact(snapshot); err != nil {
		return err
	}

	g.node.Compact(snapshot)
	g.snapshot = snapshot.Index
	g.logger().Debug("control log compacted", "entry", snapshot.Index, "bytes", len(data))

	return nil
}

// send queues a message on the link to its receiver.
func (g *Group) send(message raft.Message) {
	address, found := g.addressOf(message.To)
	if !found {
		return
	}

	g.mutex.Lock()
	to := g.links[address]
	g.mutex.Unlock()

	if to != nil {
		to.enqueue(message)
	}
}
