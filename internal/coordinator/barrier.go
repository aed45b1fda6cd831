package coordinator

import (
	"context"
	"fmt"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
)

const (
	// leastBackoff and mostBackoff bound the time between failed attempts of a barrier.
	leastBackoff = 5 * time.Millisecond
	mostBackoff  = 100 * time.Millisecond
)

// Answer is the answer to a barrier.
type Answer struct {
	Position     position.Position
	Observations []Observation
}

// Observation is what the coordinator knows of one member.
type Observation struct {
	Server    string
	Reachable bool
	Replayed  position.Position
	Received  position.LSN
	// Age is an upper bound for the age of the member's data when the observation was returned.
	Age time.Duration
}

// Barrier returns a position that covers every write that was acknowledged before the call, together with the
// members' states. It repeats failed attempts until the context ends.
func (c *Coordinator) Barrier(ctx context.Context) (Answer, error) {
	var answer Answer

	err := c.repeat(ctx, func() (err error) {
		answer, err = c.barriers.Do(ctx)

		return err
	})

	return answer, err
}

// Unreplaced proves that the primary of a term had not been replaced when the call began, and returns a position that
// covers the writes committed before the call. The position needs the primary's answer: without it, the caller could
// not read what it wrote.
func (c *Coordinator) Unreplaced(ctx context.Context, term position.Term) (position.Position, error) {
	var answer Answer

	err := c.repeat(ctx, func() (err error) {
		if answer, err = c.barriers.Do(ctx); err != nil {
			return err
		}

		if answer.Position.Term > term {
			return replaced(c.options.Group, term)
		}

		if answer.Position.Term < term {
			return result.New(result.NoPrimary, "group %s: the view has term %d, not yet %d", c.options.Group,
				answer.Position.Term, term)
		}

		return nil
	})
	if err != nil && result.CodeOf(err) != result.PrimaryReplaced && result.CodeOf(err) != result.OutdatedEpoch {
		err = result.New(result.NotConfirmed, "%w", err)
	}

	return answer.Position, err
}

// repeat runs an attempt until it succeeds, fails for good, or the context ends. It tries again after a while, or at
// once when the view changes.
func (c *Coordinator) repeat(ctx context.Context, attempt func() error) error {
	for backoff := leastBackoff; ; backoff = min(2*backoff, mostBackoff) {
		changed := *c.changed.Load()
		err := attempt()

		switch {
		case err == nil:
			return nil
		case c.context.Err() != nil:
			return result.New(result.OutdatedEpoch, "the coordinator of group %s changed", c.options.Group)
		case result.CodeOf(err) == result.PrimaryReplaced:
			return err
		}

		pause := time.NewTimer(backoff)

		select {
		case <-ctx.Done():
			pause.Stop()

			return wrap(err, c.options.Group)
		case <-changed:
			pause.Stop()
		case <-pause.C:
		}
	}
}

func wrap(err error, group string) error {
	if result.CodeOf(err) != result.OK {
		return err
	}

	return result.New(result.NoPrimary, "group %s: %w", group, err)
}

func replaced(group string, term position.Term) error {
	return result.New(result.PrimaryReplaced, "group %s: the primary of term %d was replaced", group, term)
}

// barrier is one attempt, shared by many requests: it asks the primary and all replicas at once and takes the first
// answers that make a quorum. The fence quorum of a term has n-q+1 replicas, so that q-1 replicas that still follow
// the term rule it out.
func (c *Coordinator) barrier(parent context.Context) (Answer, error) {
	ctx, cancel, state, err := c.begin(parent)
	if err != nil {
		return Answer{}, err
	}
	defer cancel()

	primary, found := state.members[state.group.Primary]
	if !found {
		return Answer{}, result.New(result.NoPrimary, "group %s has no primary", c.options.Group)
	}

	led := make(chan error, 1)

	var sight Sight

	go func() {
		var err error

		sight, err = c.observe(ctx, primary)
		if err == nil && !leads(sight, state.group.Term) {
			err = result.New(result.NoPrimary, "server %s is not the primary of term %d", primary.name,
				state.group.Term)
		}

		led <- err
	}()

	if err := c.following(ctx, state); err != nil {
		return Answer{}, err
	}

	select {
	case err := <-led:
		if err != nil {
			return Answer{}, err
		}
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}

	at := position.Position{Term: state.group.Term, LSN: sight.InsertLSN}

	return Answer{Position: at, Observations: c.Observations()}, nil
}

// begin returns the present state and a context that ends with its term.
func (c *Coordinator) begin(parent context.Context) (context.Context, context.CancelFunc, *state, error) {
	state := c.state.Load()
	if state == nil || state.group.Primary == "" {
		return nil, nil, nil, result.New(result.NoPrimary, "group %s has no primary", c.options.Group)
	}

	ctx, cancel := context.WithCancel(parent)

	go func() {
		select {
		case <-state.ended:
			cancel()
		case <-ctx.Done():
		}
	}()

	return ctx, cancel, state, nil
}

// following asks all replicas at once whether they still follow the term, and returns once enough do.
func (c *Coordinator) following(ctx context.Context, state *state) error {
	type vote struct {
		server string
		err    error
	}

	var asked int

	votes := make(chan vote, len(state.members))

	for name := range voters(state) {
		member, found := state.members[name]
		if !found {
			continue
		}

		asked++

		go func() {
			sight, err := c.observe(ctx, member)
			if err == nil && !follows(sight, state.group.Term) {
				err = fmt.Errorf("server %s follows term %d, fenced %t, replica %t", name, sight.Attachment.Term,
					sight.Attachment.Fenced, sight.InRecovery)
			}

			votes <- vote{server: name, err: err}
		}()
	}

	var last error

	followers := container.NewSet[string]()

	for {
		if commitQuorum(state.group, followers) {
			return nil
		}

		if asked == 0 {
			return result.New(result.NoPrimary, "group %s: too few replicas follow term %d: %w",
				c.options.Group, state.group.Term, errOr(last))
		}

		select {
		case vote := <-votes:
			asked--

			if vote.err != nil {
				last = vote.err
			} else {
				followers.Add(vote.server)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func errOr(err error) error {
	if err == nil {
		return fmt.Errorf("no replica is known")
	}

	return err
}

// Observations returns what is known of each member, without asking.
func (c *Coordinator) Observations() []Observation {
	state := c.state.Load()
	if state == nil {
		return nil
	}

	now := c.options.Timer.Now()

	c.sightings.Lock()
	defer c.sightings.Unlock()

	observations := make([]Observation, 0, len(state.members))

	for name, member := range state.members {
		observation := Observation{Server: name, Age: UnknownAge}

		if sight := member.last.Load(); sight != nil {
			observation.Reachable = member.reached.Load() &&
				(sight.InRecovery || name == state.group.Primary && leads(*sight, state.group.Term))
			observation.Replayed = c.replayed(state.group, name, *sight)
			observation.Received = sight.ReceivedLSN
			observation.Age = c.samples.age(observation.Replayed, now)
		}

		observations = append(observations, observation)
	}

	return observations
}

// replayed returns the position of a member's readers. A replica that was attached to a term carries that term before
// it has received anything of it, and may hold a tail of the older term that was discarded; beyond the beginning of
// the term its position counts only after the primary listed it as a follower.
func (c *Coordinator) replayed(group registry.Group, name string, sight Sight) position.Position {
	at := position.Position{Term: sight.Attachment.Term, LSN: sight.ReplayedLSN}

	if !sight.InRecovery || c.followed[name] == at.Term {
		return at
	}

	for _, begin := range group.History.Begins() {
		if begin.Term == at.Term && at.Term > 1 {
			at.LSN = min(at.LSN, begin.LSN)

			return at
		}
	}

	if at.Term > 1 {
		return position.Position{}
	}

	return at
}
