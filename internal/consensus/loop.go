package consensus

import (
	"context"
	"errors"
	"time"

	"almondgrade/core/raft"
	"almondgrade/core/result"
	"almondgrade/io/disk"
)

// run is the event loop. Its goroutine owns the node, the folder and the state machine. Heartbeats and votes come first.
func (g *Group) run() {
	defer g.failPending(result.New(result.NoQuorum, "the member is shutting down; the outcome is unknown"))

	for {
		select {
		case received := <-g.urgent:
			g.receive(received)
			g.handleReady()

			continue
		default:
		}

		select {
		case <-g.ctx.Done():
			return
		case received := <-g.urgent:
			g.receive(received)
		case due := <-g.ticks:
			g.lateness.Observe(due, g.options.Timer.Now())
			g.receiveUrgent()
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

// receiveUrgent handles the heartbeats and votes that have arrived, so that time passes only after them.
func (g *Group) receiveUrgent() {
	for range len(g.urgent) {
		g.receive(<-g.urgent)
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

	g.node.ExtendElection(g.electionExtension())
	g.node.Tick()
	g.manageMembers()
	g.refreshHello()
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
			g.recordLeaderDelay(message)
		}
	}
}

// recordLeaderDelay measures how late the messages of the leader are.
func (g *Group) recordLeaderDelay(message raft.Message) {
	if message.Kind != raft.AppendRequest && message.Kind != raft.SnapshotChunk {
		return
	}

	if _, _, leader := g.node.Leadership(); leader != message.From {
		return
	}

	now := g.options.Timer.Now()
	if g.leaderHeard == message.From {
		g.leaderDelays.Observe(g.leaderHeardAt.Add(g.options.HeartbeatInterval), now)
	}

	g.leaderHeard, g.leaderHeardAt = message.From, now
}

// electionExtension returns the number of heartbeats by which an election waits longer because this process or the
// leader's messages have lately been late: at most an election timeout, so that a dead leader is replaced within three.
func (g *Group) electionExtension() int {
	now := g.options.Timer.Now()
	delay := max(g.lateness.Worst(now), g.leaderDelays.Worst(now))

	return int(min(delay, g.options.ElectionTimeout) / g.options.HeartbeatInterval)
}

// silentFor returns the time since an event, without that for which this process was late.
func (g *Group) silentFor(since, now time.Time) time.Duration {
	return now.Sub(since) - g.lateness.LateDuring(since, now)
}

// sleep waits for a delay or until the context ends.
func (g *Group) sleep(ctx context.Context, delay time.Duration) {
	passed := make(chan struct{})
	stop := g.options.Timer.After(delay, func(time.Time) { close(passed) })

	defer stop()

	select {
	case <-ctx.Done():
	case <-passed:
	}
}

// handleReady processes what the node has ready until there is nothing left.
func (g *Group) handleReady() {
	if g.node == nil || !g.node.HasReady() {
		return
	}

	for g.node != nil && g.node.HasReady() {
		if err := g.handleOneReady(g.node.Ready()); err != nil {
			if errors.Is(err, errStopping) {
				return
			}

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

	if ready.HardState != nil || ready.Snapshot != nil || len(ready.Entries) > 0 {
		if err := g.save(func() error { return g.log.Save(ready.HardState, ready.Snapshot, ready.Entries) }); err != nil {
			return err
		}
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

		g.applied, g.snapshot, g.appliedBytes, g.snapshotSize = ready.Snapshot.Index, ready.Snapshot.Index, 0, len(ready.Snapshot.Data)
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
	g.appliedBytes += len(entry.Data)

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

// compact stores a snapshot once SnapshotEntries entries, or commands of a certain size, were applied since the last one, or earlier if
// there is little room on the disk.
func (g *Group) compact() error {
	due := g.applied >= g.snapshot+g.options.SnapshotEntries || g.appliedBytes >= max(snapshotBytes, snapshotFactor*g.snapshotSize) ||
		g.applied > g.snapshot && g.log.ShouldCompact()
	if now := g.options.Timer.Now(); !due || now.Before(g.disk.compactAfter) {
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

	err = g.waitForDisk(func() error { return g.log.Compact(snapshot) })

	var full *disk.FullError
	if errors.As(err, &full) {
		// The log is as before, and goes on as long as there is room for entries.
		g.disk.compactAfter = g.options.Timer.Now().Add(diskRetryInterval)
		g.logger().Warn("no room for a snapshot; the control log is not compacted", "entry", snapshot.Index, "error", err)

		return nil
	}

	if err != nil {
		return err
	}

	g.node.Compact(snapshot)
	g.snapshot, g.appliedBytes, g.snapshotSize = snapshot.Index, 0, len(data)
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
