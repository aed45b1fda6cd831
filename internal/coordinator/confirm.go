package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/container"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
)

const (
	// pollIntervalStep is the first interval between polls of the primary and the amount by which each further one grows.
	pollIntervalStep = time.Millisecond
	// maxPollInterval is the longest interval between polls.
	maxPollInterval = 5 * time.Millisecond
	// failedPollInterval is the interval between polls of a primary that doesn't answer.
	failedPollInterval = 50 * time.Millisecond
)

// confirmations holds the writes that wait until a commit quorum has them. One loop polls the primary for all of them.
type confirmations struct {
	owner   *Coordinator
	mutex   sync.Mutex
	waiting map[*confirmation]struct{}
	polling bool
	// arrived wakes the loop for a new write.
	arrived chan struct{}
}

// confirmation is a waiting write. Its target is the primary's insert position, read after the write was added.
type confirmation struct {
	term      position.Term
	target    position.LSN
	hasTarget bool
	done      chan error
}

func (c *confirmations) init(owner *Coordinator) {
	c.owner = owner
	c.waiting = make(map[*confirmation]struct{})
	c.arrived = make(chan struct{}, 1)
}

// Confirm returns once a commit quorum holds every commit made on the primary of the term before the call, with the
// position that was confirmed. If the context ends first, the error code is result.NoPrimary if the primary did not
// answer and result.NotConfirmed if too few replicas hold the write; the outcome of the write is unknown in both cases.
func (c *Coordinator) Confirm(ctx context.Context, term position.Term) (position.Position, error) {
	waiting := &confirmation{term: term, done: make(chan error, 1)}

	c.confirmations.add(waiting)
	defer c.confirmations.remove(waiting)

	// The term is checked after the write was added, so that a change of the term between the two is noticed.
	if state := c.state.Load(); state != nil && state.group.Term > term {
		return position.Position{}, replacedError(c.options.Group, term)
	}

	select {
	case err := <-waiting.done:
		return position.Position{Term: term, LSN: waiting.target}, err
	case <-ctx.Done():
		if !c.confirmations.remove(waiting) {
			return position.Position{}, result.New(result.NoPrimary,
				"group %s: the primary of term %d did not answer in time", c.options.Group, term)
		}

		return position.Position{}, result.New(result.NotConfirmed,
			"group %s: no commit quorum held the write in time", c.options.Group)
	case <-c.context.Done():
		return position.Position{}, result.New(result.OutdatedEpoch, "the coordinator of group %s changed",
			c.options.Group)
	}
}

func (c *confirmations) add(waiting *confirmation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.waiting[waiting] = struct{}{}

	if !c.polling {
		c.polling = true

		go c.pollUntilEmpty()

		return
	}

	select {
	case c.arrived <- struct{}{}:
	default:
	}
}

// remove withdraws a waiting write and reports whether the primary answered while it waited.
func (c *confirmations) remove(waiting *confirmation) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	delete(c.waiting, waiting)

	return waiting.hasTarget
}

// finishOlderTerms fails the writes that wait for a commit in an older term.
func (c *confirmations) finishOlderTerms(group registry.Group) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for waiting := range c.waiting {
		if waiting.term < group.Term {
			c.finish(waiting, replacedError(group.Name, waiting.term))
		}
	}
}

// pollUntilEmpty polls the primary until no write waits.
func (c *confirmations) pollUntilEmpty() {
	interval := pollIntervalStep

	for {
		untargeted, more := c.nextBatch()
		if !more {
			return
		}

		// A new write does not cause an earlier poll of a primary that doesn't answer.
		wait, arrived := interval, c.arrived
		if !c.pollPrimary(untargeted) {
			wait, arrived = failedPollInterval, nil
		}

		pause := time.NewTimer(wait)

		select {
		case <-c.owner.context.Done():
			pause.Stop()

			return
		case <-arrived:
			pause.Stop()

			interval = pollIntervalStep
		case <-pause.C:
			interval = min(interval+pollIntervalStep, maxPollInterval)
		}
	}
}

// nextBatch returns the waiting writes that have no target yet, before the next poll of the primary. The result is false
// if no write waits, and the loop has to end.
func (c *confirmations) nextBatch() ([]*confirmation, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if len(c.waiting) == 0 {
		c.polling = false

		return nil, false
	}

	var untargeted []*confirmation

	for waiting := range c.waiting {
		if !waiting.hasTarget {
			untargeted = append(untargeted, waiting)
		}
	}

	return untargeted, true
}

// pollPrimary polls the primary and finishes the writes that a quorum holds. It returns false if the primary of the term
// did not answer.
func (c *confirmations) pollPrimary(untargeted []*confirmation) bool {
	state := c.owner.state.Load()
	if state == nil {
		return false
	}

	primary, found := state.monitors[state.group.Primary]
	if !found {
		return false
	}

	observed, err := c.owner.observeServer(c.owner.context, primary)
	if err != nil || !leadsTerm(observed, state.group.Term) {
		return false
	}

	mayJudge := c.owner.mayJudge(state)
	if !mayJudge {
		metrics.GetOrRegisterCounter("confirmations_postponed", c.owner.options.Metrics).Inc(1)
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, waiting := range untargeted {
		if waiting.term == state.group.Term {
			waiting.target, waiting.hasTarget = observed.InsertLSN, true
		}
	}

	flushed := flushedPositions(observed, state.group.Term)
	counted := voters(state)

	for waiting := range c.waiting {
		if mayJudge && waiting.hasTarget && waiting.term == state.group.Term &&
			isCommitQuorum(state.group, replicasFlushedTo(counted, flushed, waiting.target)) {
			c.finish(waiting, nil)
		}
	}

	return true
}

// finish gives a waiting write its result. The mutex is held.
func (c *confirmations) finish(waiting *confirmation, err error) {
	delete(c.waiting, waiting)

	waiting.done <- err
}

// flushedPositions returns the position up to which each replica of a term has flushed, as the primary reports it.
func flushedPositions(observed TimedObservation, term position.Term) map[string]position.LSN {
	flushed := make(map[string]position.LSN, len(observed.Followers))

	for _, follower := range observed.Followers {
		if follower.Attachment.Term == term && !follower.Attachment.Fenced {
			flushed[follower.Attachment.Name] = max(flushed[follower.Attachment.Name], follower.FlushedLSN)
		}
	}

	return flushed
}

// replicasFlushedTo returns the counted replicas that have flushed up to a position.
func replicasFlushedTo(
	counted container.Set[string], flushed map[string]position.LSN, target position.LSN,
) container.Set[string] {
	holders := container.NewSet[string]()

	for name, at := range flushed {
		if counted.Has(name) && at >= target {
			holders.Add(name)
		}
	}

	return holders
}
