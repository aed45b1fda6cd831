package consensus

import (
	"almondgrade/core/raft"
	"almondgrade/core/result"
)

// run is the goroutine that owns the node, the folder and the state machine.
func (g *Group) run() {
	defer g.abandon(result.New(result.NoQuorum, "the member is shutting down; the outcome is unknown"))

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
			g.proposeMore()
		case call := <-g.calls:
			call()
		}

		g.carryOut()
	}
}

// proposeMore takes commands that wait already, so that they are saved together.
func (g *Group) proposeMore() {
	for range proposalBatch {
		select {
		case waiting := <-g.proposals:
			g.propose(waiting)
		default:
			return
		}
	}
}

func (g *Group) tick() {
	if g.broken != nil {
		return
	}

	if g.node == nil {
		g.found()
		g.remind()

		return
	}

	g.node.Tick()
	g.tend()
	g.connect()
	g.publish()
}

// receive handles a batch of another member.
func (g *Group) receive(received batch) {
	if g.broken != nil {
		return
	}

	g.meet(received.hello)

	if g.node == nil && len(received.messages) > 0 {
		g.join(received)
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

// carryOut carries out the node's effects until there are none.
func (g *Group) carryOut() {
	if g.node == nil || !g.node.HasReady() {
		return
	}

	for g.node != nil && g.node.HasReady() {
		if err := g.carryOutOne(g.node.Ready()); err != nil {
			g.fail(err)
			g.publish()

			return
		}
	}

	g.dropOutdated()
	g.publish()
	g.answer()
}

func (g *Group) carryOutOne(ready raft.Ready) error {
	// Appends of a leader whose term is saved may be under way while its own disk works: its own copy counts for a
	// quorum only after Advance.
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

	g.readings = append(g.readings, ready.ConfirmedReads...)

	for _, token := range ready.LostReads {
		g.lose(token)
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

	waiting, found := g.pending[entry.Index]
	if !found {
		return
	}

	delete(g.pending, entry.Index)

	if waiting.term == entry.Term {
		g.answers = append(g.answers, answer{waiting, reply, nil})
	} else {
		g.answers = append(g.answers, answer{waiting, nil, g.notLeader("another leader replaced the command")})
	}
}

// compact stores a snapshot once enough entries were applied since the last one.
func (g *Group) compact() error {
	if g.applied < g.snapshot+g.options.SnapshotEvery {
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

// send passes a message to the link of its receiver.
func (g *Group) send(message raft.Message) {
	address, found := g.addressOf(message.To)
	if !found {
		return
	}

	g.mutex.Lock()
	to := g.links[address]
	g.mutex.Unlock()

	if to != nil {
		to.send(message)
	}
}
