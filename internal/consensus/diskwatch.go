package consensus

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/raft"
	"almondgrade/core/result"
	"almondgrade/io/disk"
)

const (
	// stallFactor and maxStall bound the time of a write after which the disk counts as stalled: an election timeout, or
	// stallFactor times the slowest recent write. If all disks are slow, the leadership does not go from one member to the
	// next without end.
	stallFactor = 3
	maxStall    = 2 * time.Second
	// slowestDecay is the share of the slowest write that still counts after the next one.
	slowestDecay = 0.99
	// diskRetryInterval is the time between two attempts to write to a full disk.
	diskRetryInterval = 500 * time.Millisecond
	// handOverTimeouts is the number of election timeouts within which another member must have taken over the leadership
	// of one with an impaired disk. After that the member stops leading, so that the others elect a leader.
	handOverTimeouts = 2
	// maxBacklog bounds the messages that wait for the disk. Raft repeats lost messages.
	maxBacklog = 1024
)

var (
	errDiskStalls = eris.New("a write to the disk takes long")
	errStopping   = eris.New("the member is shutting down")
)

// diskWatch is what a member knows of its disk. Only the event loop uses it.
type diskWatch struct {
	// reason is why the member should not lead, or nil, since the time at which that began.
	reason error
	since  time.Time
	// slowest is the duration of the slowest recent write.
	slowest time.Duration
	// compactAfter is the time of the next attempt to compact the log after one for which there was no room.
	compactAfter time.Time
}

func (d *diskWatch) impaired() bool {
	return d.reason != nil
}

func (d *diskWatch) stallThreshold(electionTimeout time.Duration) time.Duration {
	return max(electionTimeout, min(maxStall, stallFactor*d.slowest))
}

// save carries out a write of the log and returns once it is done. While the disk is full, it repeats the write, which
// had no effect. Meanwhile the member sends heartbeats and hands over the leadership.
func (g *Group) save(write func() error) error {
	for {
		err := g.waitForDisk(write)

		var full *disk.FullError
		if !errors.As(err, &full) {
			if err == nil && g.disk.impaired() {
				g.recoverDisk()
			}

			return err
		}

		g.impairDisk(err)
		g.failPending(result.New(result.NoQuorum, "the member's disk is full; the outcome is unknown: %w", err))

		passed := make(chan error)
		stop := g.options.Timer.After(diskRetryInterval, func(time.Time) { close(passed) })
		err = g.serveUntil(passed, g.ctx.Done())

		stop()

		if err != nil {
			return err
		}
	}
}

// waitForDisk carries out a disk operation. The event loop serves what can't wait meanwhile.
func (g *Group) waitForDisk(operation func() error) error {
	began := g.options.Timer.Now()
	done := make(chan error, 1)

	go func() { done <- operation() }()

	err := g.serveUntil(done, nil)
	g.disk.slowest = max(time.Duration(slowestDecay*float64(g.disk.slowest)), g.options.Timer.Now().Sub(began))

	return err
}

// serveUntil serves ticks, heartbeats and votes until a disk operation or a delay has ended. It returns the operation's
// error, or errStopping if stopped is closed.
func (g *Group) serveUntil(done <-chan error, stopped <-chan struct{}) error {
	began := g.options.Timer.Now()

	for {
		var (
			proposals chan *proposal
			calls     chan func()
		)

		// A member that waits for its disk accepts nothing that would have to wait as well.
		if g.disk.impaired() {
			proposals, calls = g.proposals, g.calls
		}

		select {
		case err := <-done:
			return err
		case <-stopped:
			return errStopping
		case due := <-g.ticks:
			g.lateness.Observe(due, g.options.Timer.Now())
			g.tickWhileWaiting(began)
		case received := <-g.urgent:
			g.receiveWhileWaiting(received)
		case waiting := <-proposals:
			waiting.done <- proposalResult{err: g.notLeaderError(g.disk.reason.Error())}
		case call := <-calls:
			call()
			g.failPending(result.New(result.NoQuorum, "the member waits for its disk: %w", g.disk.reason))
		}
	}
}

// tickWhileWaiting keeps up a leader's heartbeats. If the disk stalls or is full, the leader hands over its leadership.
// A follower's time stands still: without its disk it could neither vote nor lead.
func (g *Group) tickWhileWaiting(began time.Time) {
	if g.node == nil {
		return
	}

	if now := g.options.Timer.Now(); now.Sub(began) >= g.disk.stallThreshold(g.options.ElectionTimeout) {
		g.impairDisk(errDiskStalls)
	}

	if leads, _, _ := g.node.Leadership(); leads {
		g.node.Tick()
	}

	if g.disk.impaired() {
		g.handOver()
	}

	g.sendEarly()
	g.publish()
}

// receiveWhileWaiting handles heartbeats and votes. What they change is saved with the next write, before it is answered.
func (g *Group) receiveWhileWaiting(received batch) {
	g.recordPeer(received.hello)

	if g.node == nil || received.hello.Group != g.identity.Group {
		return
	}

	for _, message := range received.messages {
		// A member that can't save its own vote must not start an election.
		if message.From == received.hello.ID && message.Kind != raft.TimeoutNow && g.node.Backlog() < maxBacklog {
			g.node.Step(message)
		}
	}

	g.sendEarly()
	g.publish()
}

// sendEarly sends the messages that need not wait for the disk.
func (g *Group) sendEarly() {
	for _, message := range g.node.EarlyMessages() {
		g.send(message)
	}
}

func (g *Group) impairDisk(reason error) {
	if g.disk.impaired() {
		return
	}

	g.disk.reason, g.disk.since = reason, g.options.Timer.Now()
	g.logger().Warn("the disk is impaired; this member hands over its leadership and confirms nothing", "reason", reason)
	g.updateHello()

	if g.node != nil {
		g.handOver()
		g.sendEarly()
		g.publish()
	}
}

func (g *Group) recoverDisk() {
	g.logger().Info("the disk works again", "impaired for", g.options.Timer.Now().Sub(g.disk.since), "reason", g.disk.reason)
	g.disk.reason = nil
	g.updateHello()
}

// handOver transfers the leadership, if this member has it, to the member with a working disk whose log is furthest ahead.
func (g *Group) handOver() {
	if leads, _, _ := g.node.Leadership(); !leads {
		return
	}

	status := g.node.Status()

	switch target := g.transferTarget(status); {
	case g.disk.impaired() && g.options.Timer.Now().Sub(g.disk.since) >= handOverTimeouts*g.options.ElectionTimeout:
		g.node.StepDown()
	case target != 0 && !status.Transferring:
		if err := g.node.TransferLeadership(target); err != nil {
			g.logger().Warn("the leadership could not be handed over", "error", err)
		}
	}
}

// transferTarget returns the member that is to lead next, or 0 if there is none. One that is about to stop is the last choice.
func (g *Group) transferTarget(status raft.Status) raft.ID {
	target := raft.ID(0)

	better := func(id raft.ID) bool {
		if leaving := g.peers[id].hello.Leaving; target == 0 || leaving != g.peers[target].hello.Leaving {
			return target == 0 || !leaving
		}

		return status.MatchIndexes[id] > status.MatchIndexes[target]
	}

	for _, member := range status.Configuration.Members {
		if member.Voter && member.ID != status.ID && !g.isSilent(member.ID) && !g.peers[member.ID].hello.Impaired && better(member.ID) {
			target = member.ID
		}
	}

	return target
}
