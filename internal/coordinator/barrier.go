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
	// minBackoff and maxBackoff bound the time between failed attempts of a barrier.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// BarrierAnswer is the result of a barrier.
type BarrierAnswer struct {
	Position     position.Position
	Observations []Observation
}

// Observation is what the coordinator knows about one server.
type Observation struct {
	Server    string
	Reachable bool
	Replayed  position.Position
	Received  position.LSN
	// Age is an upper bound for the age of the server's data when the observation was returned.
	Age time.Duration
}

// Barrier returns a position that covers every write acknowledged before the call, together with the servers' states.
// It retries failed attempts until the context ends.
func (c *Coordinator) Barrier(ctx context.Context) (BarrierAnswer, error) {
	var answer BarrierAnswer

	err := c.retry(ctx, func() (err error) {
		answer, err = c.barriers.Do(ctx)

		return err
	})

	return answer, err
}

// ConfirmUnreplaced proves that the primary of a term had not been replaced when the call began, and returns a position
// that covers the writes committed before the call. The position has to come from the primary: without it, the caller
// could not read its own writes.
func (c *Coordinator) ConfirmUnreplaced(ctx context.Context, term position.Term) (position.Position, error) {
	var answer BarrierAnswer

	err := c.retry(ctx, func() (err error) {
		if answer, err = c.barriers.Do(ctx); err != nil {
			return err
		}

		if answer.Position.Term > term {
			return replacedError(c.options.Group, term)
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

// retry runs an attempt until it succeeds, fails permanently, or the context ends. It waits for the backoff between
// attempts, or less if the view changes.
func (c *Coordinator) retry(ctx context.Context, attempt func() error) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		changed := *c.viewChanged.Load()
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

			return withCode(err, c.options.Group)
		case <-changed:
			pause.Stop()
		case <-pause.C:
		}
	}
}

func withCode(err error, group string) error {
	if result.CodeOf(err) != result.OK {
		return err
	}

	return result.New(result.NoPrimary, "group %s: %w", group, err)
}

func replacedError(group string, term position.Term) error {
	return result.New(result.PrimaryReplaced, "group %s: the primary of term %d was replaced", group, term)
}

// attemptBarrier makes one attempt, which many requests share: it queries the primary and all replicas concurrently and
// uses the first answers that make a quorum. A fence quorum of a term has n-q+1 replicas, so q-1 replicas that still
// follow the term prove that there is none.
func (c *Coordinator) attemptBarrier(parent context.Context) (BarrierAnswer, error) {
	ctx, cancel, state, err := c.beginAttempt(parent)
	if err != nil {
		return BarrierAnswer{}, err
	}
	defer cancel()

	primary, found := state.monitors[state.group.Primary]
	if !found {
		return BarrierAnswer{}, result.New(result.NoPrimary, "group %s has no primary", c.options.Group)
	}

	primaryResult := make(chan error, 1)

	var observed TimedObservation

	go func() {
		var err error

		observed, err = c.observeServer(ctx, primary)
		if err == nil && !leadsTerm(observed, state.group.Term) {
			err = result.New(result.NoPrimary, "server %s is not the primary of term %d", primary.name,
				state.group.Term)
		}

		primaryResult <- err
	}()

	if err := c.awaitFollowers(ctx, state); err != nil {
		return BarrierAnswer{}, err
	}

	select {
	case err := <-primaryResult:
		if err != nil {
			return BarrierAnswer{}, err
		}
	case <-ctx.Done():
		return BarrierAnswer{}, ctx.Err()
	}

	if !c.mayJudge(state) {
		return BarrierAnswer{}, result.New(result.Unconfirmed, "the proxy can't confirm the members of group %s", c.options.Group)
	}

	at := position.Position{Term: state.group.Term, LSN: observed.InsertLSN}

	return BarrierAnswer{Position: at, Observations: c.Observations()}, nil
}

// beginAttempt returns the current state of the group and a context that ends with its term.
func (c *Coordinator) beginAttempt(parent context.Context) (context.Context, context.CancelFunc, *groupState, error) {
	state := c.state.Load()
	if state == nil || state.group.Primary == "" {
		return nil, nil, nil, result.New(result.NoPrimary, "group %s has no primary", c.options.Group)
	}

	ctx, cancel := context.WithCancel(parent)

	go func() {
		select {
		case <-state.termEnded:
			cancel()
		case <-ctx.Done():
		}
	}()

	return ctx, cancel, state, nil
}

// awaitFollowers queries all replicas concurrently and returns once those that still follow the term make a commit quorum
// with the primary.
func (c *Coordinator) awaitFollowers(ctx context.Context, state *groupState) error {
	type vote struct {
		server string
		err    error
	}

	var pendingVotes int

	votes := make(chan vote, len(state.monitors))

	for name := range voters(state) {
		monitor, found := state.monitors[name]
		if !found {
			continue
		}

		pendingVotes++

		go func() {
			observed, err := c.observeServer(ctx, monitor)
			if err == nil && !followsTerm(observed, state.group.Term) {
				err = fmt.Errorf("server %s follows term %d, fenced %t, replica %t", name, observed.Attachment.Term,
					observed.Attachment.Fenced, observed.InRecovery)
			}

			votes <- vote{server: name, err: err}
		}()
	}

	var lastErr error

	followers := container.NewSet[string]()

	for {
		if isCommitQuorum(state.group, followers) {
			return nil
		}

		if pendingVotes == 0 {
			return result.New(result.NoPrimary, "group %s: too few replicas follow term %d: %w",
				c.options.Group, state.group.Term, orNoReplica(lastErr))
		}

		select {
		case vote := <-votes:
			pendingVotes--

			if vote.err != nil {
				lastErr = vote.err
			} else {
				followers.Add(vote.server)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func orNoReplica(err error) error {
	if err == nil {
		return fmt.Errorf("no replica is known")
	}

	return err
}

// Observations returns what is known about each server, without a query.
func (c *Coordinator) Observations() []Observation {
	state := c.state.Load()
	if state == nil {
		return nil
	}

	now := c.options.Timer.Now()

	c.observationMutex.Lock()
	defer c.observationMutex.Unlock()

	observations := make([]Observation, 0, len(state.monitors))

	for name, monitor := range state.monitors {
		observation := Observation{Server: name, Age: UnknownAge}

		if observed := monitor.lastObservation.Load(); observed != nil {
			observation.Reachable = monitor.reachable.Load() &&
				(observed.InRecovery || name == state.group.Primary && leadsTerm(*observed, state.group.Term))
			observation.Replayed = c.replayedPosition(state.group, name, *observed)
			observation.Received = observed.ReceivedLSN
			observation.Age = c.samples.age(observation.Replayed, now)
		}

		observations = append(observations, observation)
	}

	return observations
}

// replayedPosition returns the position that reads on a server see. A replica attached to a term reports that term before
// it has received any of its log, and its log may end in a part of the older term that was discarded. Its position past
// the beginning of the term therefore counts only after the primary has listed it as a follower.
func (c *Coordinator) replayedPosition(group registry.Group, name string, observed TimedObservation) position.Position {
	at := position.Position{Term: observed.Attachment.Term, LSN: observed.ReplayedLSN}

	if !observed.InRecovery || c.listedTerm[name] == at.Term {
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
