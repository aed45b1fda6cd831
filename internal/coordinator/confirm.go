package coordinator

import (
	"context"
	"sync"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
)

const (
	// pollStep is the first interval between polls of the primary and the growth of each further one.
	pollStep = time.Millisecond
	// pollMost is the greatest interval between polls.
	pollMost = 5 * time.Millisecond
	// failedPause is the interval between polls of a primary that doesn't answer.
	failedPause = 50 * time.Millisecond
)

// confirms are the writes that wait until a commit quorum holds them. One loop polls the primary for all.
type confirms struct {
	owner   *Coordinator
	mutex   sync.Mutex
	waiting map[*confirm]struct{}
	polling bool
	// arrived wakes the loop for a new write.
	arrived chan struct{}
}

// confirm is a waiting write. Its target is the primary's insert position read after the write arrived.
type confirm struct {
	term     position.Term
	target   position.LSN
	targeted bool
	done     chan error
}

func (c *confirms) init(owner *Coordinator) {
	c.owner = owner
	c.waiting = make(map[*confirm]struct{})
	c.arrived = make(chan struct{}, 1)
}

// Confirm returns once every commit that was made on the primary of the term before the call is held by a commit
// quorum, with the position that was confirmed. If the context ends before, the error tells whether the primary did
// not answer (result.NoPrimary) or too few replicas hold the write (result.NotConfirmed); the outcome of the write is
// unknown in both cases.
func (c *Coordinator) Confirm(ctx context.Context, term position.Term) (position.Position, error) {
	waiting := &confirm{term: term, done: make(chan error, 1)}

	c.confirms.add(waiting)
	defer c.confirms.remove(waiting)

	// Checked after the write was added, so that a change of the term can't pass unnoticed between the two.
	if state := c.state.Load(); state != nil && state.group.Term > term {
		return position.Position{}, replaced(c.options.Group, term)
	}

	select {
	case err := <-waiting.done:
		return position.Position{Term: term, LSN: waiting.target}, err
	case <-ctx.Done():
		if !c.confirms.remove(waiting) {
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

func (c *confirms) add(waiting *confirm) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.waiting[waiting] = struct{}{}

	if !c.polling {
		c.polling = true

		go c.poll()

		return
	}

	select {
	case c.arrived <- struct{}{}:
	default:
	}
}

// remove ends a wait and reports whether the primary answered during it.
func (c *confirms) remove(waiting *confirm) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	delete(c.waiting, waiting)

	return waiting.targeted
}

// update ends the waits for older terms.
func (c *confirms) update(group registry.Group) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for waiting := range c.waiting {
		if waiting.term < group.Term {
			c.settle(waiting, replaced(group.Name, waiting.term))
		}
	}
}

// poll asks the primary until no write waits.
func (c *confirms) poll() {
	interval := pollStep

	for {
		untargeted, goes := c.round()
		if !goes {
			return
		}

		// New writes don't hasten the next poll of a primary that doesn't answer.
		wait, arrived := interval, c.arrived
		if !c.ask(untargeted) {
			wait, arrived = failedPause, nil
		}

		pause := time.NewTimer(wait)

		select {
		case <-c.owner.context.Done():
			pause.Stop()

			return
		case <-arrived:
			pause.Stop()

			interval = pollStep
		case <-pause.C:
			interval = min(interval+pollStep, pollMost)
		}
	}
}

// round returns the writes that arrived before the next question to the primary and have no target yet. It is false
// when no write waits, and the loop has to end.
func (c *confirms) round() ([]*confirm, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if len(c.waiting) == 0 {
		c.polling = false

		return nil, false
	}

	var untargeted []*confirm

	for waiting := range c.waiting {
		if !waiting.targeted {
			untargeted = append(untargeted, waiting)
		}
	}

	return untargeted, true
}

// ask polls the primary and settles the writes that a quorum holds. It is false if the primary of the term did not
// answer.
func (c *confirms) ask(untargeted []*confirm) bool {
	state := c.owner.state.Load()
	if state == nil {
		return false
	}

	primary, found := state.members[state.group.Primary]
	if !found {
		return false
	}

	sight, err := c.owner.observe(c.owner.context, primary)
	if err != nil || !leads(sight, state.group.Term) {
		return false
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, waiting := range untargeted {
		if waiting.term == state.group.Term {
			waiting.target, waiting.targeted = sight.InsertLSN, true
		}
	}

	flushed := flushedBy(sight, state.group.Term)
	counted := voters(state)

	for waiting := range c.waiting {
		if waiting.targeted && waiting.term == state.group.Term &&
			commitQuorum(state.group, holding(counted, flushed, waiting.target)) {
			c.settle(waiting, nil)
		}
	}

	return true
}

// settle ends a wait. The mutex is held.
func (c *confirms) settle(waiting *confirm, err error) {
	delete(c.waiting, waiting)

	waiting.done <- err
}

// flushedBy returns the position that each replica of a term has flushed, as the primary says.
func flushedBy(sight Sight, term position.Term) map[string]position.LSN {
	flushed := make(map[string]position.LSN, len(sight.Followers))

	for _, follower := range sight.Followers {
		if follower.Attachment.Term == term && !follower.Attachment.Fenced {
			flushed[follower.Attachment.Name] = max(flushed[follower.Attachment.Name], follower.FlushedLSN)
		}
	}

	return flushed
}

// holding returns the counted replicas that have flushed a position.
func holding(
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
