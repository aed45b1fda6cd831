package managedproxy

import (
	"sync"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/promotion"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

const (
	// confirmTimeout bounds the time for which replicas are asked whether they hold a commit. One that receives has it within the
	// latency between two data centres.
	confirmTimeout = 300 * time.Millisecond
	// confirmInterval is the time between the beginnings of two rounds of questions.
	confirmInterval = 20 * time.Millisecond
)

// sentCommit is a commit that is about to be sent to the primary of a group.
type sentCommit struct {
	gateway *Gateway
	to      *server
	// group is the group as it was known before the commit was sent.
	group *viewGroup
}

// beginCommit counts a commit as running at a server, until end is called, unless commits to it are stopped. The caller got the server
// from the given group; a proxy that has ceased to be a holder no longer knows the group as it is now.
func (g *Gateway) beginCommit(group *viewGroup, to *server) (*sentCommit, error) {
	// Counted before the check, see commitStop.
	to.runningCommits.Add(1)

	if current := g.view.Load().groups[group.Name]; current != nil {
		stopped := current.commitStop != nil && current.commitStop.stopped.Load()
		if stopped || current.syncReplicas > 0 && current.primary != to {
			to.runningCommits.Add(-1)

			return nil, result.New(result.NoPrimary, "group %s is changing its primary", group.Name)
		}

		group = current
	}

	return &sentCommit{gateway: g, to: to, group: group}, nil
}

func (c *sentCommit) end() {
	c.to.runningCommits.Add(-1)
}

// confirm returns nil if the commit, which the server has answered with success, may be acknowledged to the caller. Otherwise its
// outcome is unknown. See promotion.JudgeCommit.
func (c *sentCommit) confirm(at position.Position, deadline time.Time) error {
	began := time.Now()
	deadline = earlierTime(deadline, began.Add(confirmTimeout))
	evidence := promotion.CommitEvidence{
		SyncReplicas: max(c.group.syncReplicas, c.gateway.view.Load().syncReplicas(c.group.Name)), Position: at,
	}

	if evidence.SyncReplicas == 0 {
		return nil
	}

	// In this order: the lease is extended only once the view that came with it is in force.
	evidence.Leased = c.gateway.hasLease(c.gateway.options.BootTime())
	evidence.Unreplaced = c.isUnreplaced()

	if evidence.Leased && evidence.Unreplaced {
		c.gateway.acknowledged.record(began, c.group.Name, c.to.id, at)
		// A takeover that begins from here on learns of the commit.
		evidence.Unreplaced = c.isUnreplaced()
	}

	if promotion.JudgeCommit(evidence) == promotion.Acknowledge {
		return nil
	}

	if c.isHeldByReplicas(&evidence, deadline) {
		c.gateway.count("commits_confirmed_by_replicas")

		return nil
	}

	c.gateway.count("commits_unconfirmed")
	c.gateway.options.Logger.Warn("commit is not acknowledged: a later primary may lack it", "group", c.group.Name, "server", c.to.id,
		"position", at, "leased", evidence.Leased, "unreplaced", evidence.Unreplaced, "replicas", evidence.Received, "took", time.Since(began))

	if !evidence.Unreplaced {
		return result.New(result.PrimaryReplaced, "server %s of group %s is replaced, and no replica is known to hold the commit", c.to.id, c.group.Name)
	}

	return result.New(result.NotConfirmed, "the proxy can't confirm the primary of group %s, and no replica is known to hold the commit", c.group.Name)
}

// isHeldByReplicas asks the replicas until enough of them report that they hold the commit. It returns false at the deadline, or if there
// are too few.
func (c *sentCommit) isHeldByReplicas(evidence *promotion.CommitEvidence, deadline time.Time) bool {
	for {
		evidence.Received = c.replicaPositions()
		evidence.TimedOut = !time.Now().Before(deadline)

		if verdict := promotion.JudgeCommit(*evidence); verdict != promotion.AskReplicas {
			return verdict == promotion.Acknowledge
		}

		roundBegan := time.Now()
		c.askReplicas(evidence.Position, deadline)
		time.Sleep(min(confirmInterval-time.Since(roundBegan), time.Until(deadline)))
	}
}

// isUnreplaced reports whether the server is the primary of its group in the present view, and no other one may have been promoted since the
// commit was sent. A planned takeover waits for the running commits.
func (c *sentCommit) isUnreplaced() bool {
	current := c.gateway.view.Load().groups[c.group.Name]

	return current != nil && current.primary == c.to && current.Token == c.group.Token &&
		(current.Phase == topology.PhaseStable || current.Phase == topology.PhaseFencing && current.Planned)
}

// replicaPositions returns what the replicas are known to have received.
func (c *sentCommit) replicaPositions() (positions []position.Position) {
	for _, replica := range c.group.servers {
		if replica != c.to {
			positions = append(positions, replica.heldPosition())
		}
	}

	return positions
}

// askReplicas asks the replicas that are not known to hold a position what they have received.
func (c *sentCommit) askReplicas(at position.Position, deadline time.Time) {
	var questions sync.WaitGroup

	for _, replica := range c.group.servers {
		if replica != c.to && replica.heldPosition().Less(at) {
			questions.Go(func() { replica.askPosition(at, deadline) })
		}
	}

	questions.Wait()
}

// askPosition asks the server for its status, unless it is known to hold a position by the time that it is the commit's turn: one
// answer serves all commits that wait.
func (s *server) askPosition(at position.Position, deadline time.Time) {
	s.statusMutex.Lock()
	defer s.statusMutex.Unlock()

	if !s.heldPosition().Less(at) || !time.Now().Before(deadline) {
		return
	}

	answer, err := s.requestStatus(deadline)
	if err != nil || answer.Status == nil {
		return // The commit stays unconfirmed, which is logged.
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.receivedPosition.Less(answer.Status.Received) {
		s.receivedPosition = answer.Status.Received
	}
}

// requestStatus asks the server for its status, on a connection of its own if the pool has none because other proxies hold them.
func (s *server) requestStatus(deadline time.Time) (Answer, error) {
	command := Command{Statement: Statement{Kind: Status}}

	if pooled, err := s.connPool.get(deadline, 0, connUser{}); err == nil {
		defer s.connPool.put(pooled)

		return pooled.run(deadline, command)
	}

	opened, err := s.openConn(deadline, "")
	if err != nil {
		return Answer{}, err
	}

	defer opened.backend.Close()

	return opened.run(deadline, command)
}

// heldPosition returns a position that the server's log is known to have reached.
func (s *server) heldPosition() position.Position {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.receivedPosition.Less(s.logPosition) {
		return s.logPosition
	}

	return s.receivedPosition
}
