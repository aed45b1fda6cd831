package managedproxy

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/retry"
	"almondgrade/core/route"
	"almondgrade/core/topology"
)

const (
	// ageMargin is taken off the age that a pool permits, for the time between the decision and the read.
	ageMargin = 20 * time.Millisecond
	// attemptLimit bounds the attempts at one statement.
	attemptLimit = 6
	// takeoverWait bounds the time for which a statement waits for another primary. A promotion takes about a second.
	takeoverWait = 1500 * time.Millisecond
)

// work is a statement outside a transaction, or the first one of a transaction.
type work struct {
	session  *session
	pool     topology.Pool
	command  Command
	needed   *prepared
	deadline time.Time
	// began is the time of the first attempt, or that at which another proxy got the statement.
	began    time.Time
	attempts int
	// crowds counts the attempts that found a server without room, crowded is the server if the last one did.
	crowds  int
	crowded *server
	avoid   []string
	// reason is the last failure.
	reason error
}

// target is where an attempt goes.
type target struct {
	server *server
	group  *group
	// primary is true if the server is the primary of the view, leased if reads of the latest data may rely on that.
	primary bool
	leased  bool
	after   position.Position
	// now is the boot time of the decision.
	now time.Time
}

// run tries the statement on one server after another until one has run it. It is false if the statement was given up.
// Choose returns the next server, and final reports whether the statement must not be tried again after a failure.
func (w *work) run(
	choose func() (target, error), begin *Command, final func(to target, answer Answer, err error) bool,
) (target, Answer, bool) {
	for w.again() {
		to, err := choose()
		if err != nil {
			if !w.hold(err) {
				break
			}

			continue
		}

		answer, err := w.attempt(to, begin)
		if err == nil && answer.Outcome == Done {
			return to, answer, true
		}

		w.failed(to, answer, err)

		if final(to, answer, err) {
			break
		}
	}

	return target{}, Answer{}, false
}

// read runs a single read, which may run more than once.
func (w *work) read() Reply {
	_, answer, done := w.run(w.choose, nil, func(target, Answer, error) bool { return false })
	if !done {
		return w.give()
	}

	return Reply{Rows: answer.Rows, Signature: answer.Signature, Position: answer.Position}
}

// write runs a single write.
func (w *work) write() Reply {
	_, answer, done := w.run(w.primary, nil, func(to target, answer Answer, err error) bool {
		var lost *lostError
		if errors.As(err, &lost) {
			w.reason = result.New(result.ConnectionLost, "server %s did not answer the write: %w", to.server.id, lost.cause)

			return true
		}

		return err == nil && answer.Outcome.Ran()
	})
	if !done {
		return w.give()
	}

	w.session.wrote = answer.Position

	return Reply{Rows: answer.Rows, Signature: answer.Signature, Position: answer.Position}
}

// again reports whether another attempt may be made, and waits before it.
func (w *work) again() bool {
	if w.attempts == 0 {
		w.attempts = 1

		if w.began.IsZero() {
			w.began = time.Now()
		}

		return true
	}

	if w.crowded != nil {
		return w.pauseCrowded()
	}

	w.attempts++
	if w.attempts > attemptLimit || !w.session.gateway.budget.Retry(time.Now()) {
		return false
	}

	// The first change of server needs no pause; later attempts wait for whatever is wrong to pass.
	pause, inTime := time.Duration(0), time.Now().Before(w.deadline)
	if w.attempts > 2 {
		pause, inTime = retry.DefaultBackoff.Delay(w.attempts-2, rand.Float64(), time.Now(), w.deadline)
	}

	if !inTime {
		return false
	}

	time.Sleep(pause)
	w.session.gateway.count("retries")

	return true
}

// pauseCrowded waits before another attempt at a server that had no room, as long as the statement can start in time. The
// server refused it without work, so that this costs no retry budget. Urgent statements come back sooner, and so find
// room before others.
func (w *work) pauseCrowded() bool {
	pause := crowdedDelay(w.crowds, w.pool.Priority <= urgentPriority, rand.Float64())
	w.crowds++

	if time.Now().Add(pause).After(w.latestStart(w.crowded)) {
		return false
	}

	time.Sleep(pause)
	w.session.gateway.count("crowded")

	return true
}

// crowdedDelay returns the pause after a number of attempts that found no room. The random number is uniform in [0, 1).
func crowdedDelay(attempts int, urgent bool, random float64) time.Duration {
	most := crowdedPauseMost
	if urgent {
		most = crowdedPauseUrgent
	}

	limit := crowdedPause
	for ; attempts > 0 && limit < most; attempts-- {
		limit *= 2
	}

	limit = min(limit, most)

	return limit/2 + time.Duration(random*float64(limit/2))
}

const (
	// crowdedPause is the greatest first pause before another attempt at a server that had no room; it doubles up to
	// crowdedPauseMost, or crowdedPauseUrgent for urgent pools. A server works off its queue in about 0.1 s.
	crowdedPause       = 8 * time.Millisecond
	crowdedPauseMost   = 60 * time.Millisecond
	crowdedPauseUrgent = 16 * time.Millisecond
	// urgentPriority is the greatest priority number of urgent pools.
	urgentPriority = 1
)

// give returns the reply after the last attempt.
func (w *work) give() Reply {
	if w.reason == nil {
		w.reason = result.New(result.DeadlinePassed, "the statement could not be run within %s", w.pool.Timeout)
	}

	if !w.session.declined {
		w.session.gateway.refused(w.command.Statement, w.session.database, w.reason, w.attempts)
	}

	return Reply{Err: w.reason, State: w.session.tx.state()}
}

// hold waits for the end of a takeover. It is false if the statement is to be refused.
func (w *work) hold(reason error) bool {
	w.reason = reason

	var during *takeoverError
	if !errors.As(reason, &during) {
		return false
	}

	present, changed := w.session.gateway.wait()

	within := present.groups[w.pool.Group]
	if within == nil || !time.Now().Before(w.deadline) {
		return false
	}

	// Another holder may reach the primary.
	if w.session.elsewhere && within.Phase == topology.PhaseStable {
		w.session.declined = true

		return false
	}

	// The statement has not been tried, so its wait is no attempt.
	w.attempts = max(0, w.attempts-1)
	w.crowded = nil

	wait := min(time.Until(w.deadline), takeoverWait)

	if within.Phase == topology.PhaseStable && within.primary != nil {
		if !within.primary.unreachable(time.Now()) {
			// The view has changed since the decision.
			return true
		}

		wait = min(wait, failedPause)
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-changed:
		return true
	case <-timer.C:
		return wait == failedPause
	}
}

// takeoverError says that the group has no primary now but will soon have one.
type takeoverError struct {
	refusal *result.Error
}

// Error implements error.
func (e *takeoverError) Error() string {
	return e.refusal.Error()
}

// Unwrap returns the refusal with its code.
func (e *takeoverError) Unwrap() error {
	return e.refusal
}

// primary returns the primary for a write.
func (w *work) primary() (target, error) {
	gateway := w.session.gateway
	present := gateway.view.Load()
	within := present.groups[w.pool.Group]

	switch {
	case within == nil || within.Primary == "":
		return target{}, result.New(result.NoPrimary, "group %s has no primary yet", w.pool.Group)
	case within.Phase != topology.PhaseStable:
		return target{}, &takeoverError{result.New(result.NoPrimary, "group %s is changing its primary", w.pool.Group)}
	case within.primary == nil:
		return target{}, result.New(result.NoPrimary, "primary %s of group %s is gone", within.Primary, w.pool.Group)
	}

	if (w.attempts > 1 || w.session.elsewhere) && within.primary.unreachable(time.Now()) {
		return target{}, &takeoverError{result.New(result.NoPrimary, "primary %s of group %s is not reached", within.Primary, w.pool.Group)}
	}

	now := gateway.options.Boot()

	return target{server: within.primary, group: within, primary: true, leased: gateway.leased(now), now: now}, nil
}

// choose returns the server for a read.
func (w *work) choose() (target, error) {
	if w.pool.Freshness == topology.FreshnessLatest {
		to, err := w.primary()
		if err == nil && !to.leased {
			err = result.New(result.Unconfirmed, "the proxy can't confirm the primary of group %s", w.pool.Group)
		}

		return to, err
	}

	gateway := w.session.gateway
	now := gateway.options.Boot()
	within := gateway.view.Load().groups[w.pool.Group]

	if within == nil {
		return target{}, result.New(result.NoPrimary, "group %s is not known", w.pool.Group)
	}

	floor, known := within.track.floor(now, w.pool.MaxAge-ageMargin)
	if known && w.pool.Freshness == topology.FreshnessSession && floor.Less(w.session.wrote) {
		floor = w.session.wrote
	}

	if chosen := w.replica(now, within, floor, known); chosen != nil {
		return target{server: chosen, group: within, primary: chosen == within.primary, after: floor, now: now}, nil
	}

	to, err := w.primary()
	if err == nil && !known && !to.leased {
		err = result.New(result.Unconfirmed, "the proxy knows neither a recent position of group %s nor its primary", w.pool.Group)
	}

	to.after = floor

	return to, err
}

// replica returns a replica that is expected to hold the floor, or the primary if it is the better choice, or nil.
func (w *work) replica(now time.Time, within *group, floor position.Position, known bool) *server {
	if !known {
		return nil
	}

	passed := within.track.behind(now, position.Position{Term: floor.Term, LSN: floor.LSN - min(floor.LSN, 1)})
	servers := w.session.candidates[:0]

	for _, one := range within.servers {
		described := one.describe(one == within.primary && within.Phase == topology.PhaseStable)
		if slices.Contains(w.avoid, one.id) || one == within.primary && within.Phase != topology.PhaseStable {
			described.Reachable = false
		}

		if one.covers(now, floor, passed) {
			described.At = floor
		}

		servers = append(servers, described)
	}

	w.session.candidates = servers

	choice := route.Fresh().Choose(route.Request{
		Now: time.Now(), Floor: floor, Centre: w.session.gateway.options.Centre, Servers: servers, Turn: rand.Uint64(),
	})
	if choice.Kind != route.Replica {
		return nil
	}

	for _, one := range within.servers {
		if one.id == choice.Server {
			return one
		}
	}

	return nil
}

// lostError says that a statement was sent and not answered.
type lostError struct {
	cause error
}

// Error implements error.
func (e *lostError) Error() string {
	return "no answer: " + e.cause.Error()
}

// attempt runs the command on a server. With begin, the connection is in a transaction of that kind before, and is
// handed to the session.
func (w *work) attempt(to target, begin *Command) (Answer, error) {
	used, err := to.server.pool.get(w.latestStart(to.server), w.pool.Priority, w.session.number, w.session.values)
	if err != nil {
		return Answer{}, err
	}

	to.server.running.Add(1)
	defer to.server.end()

	// A read may run again elsewhere, so it leaves time for that.
	deadline := w.deadline
	if !w.command.Writes {
		deadline = minTime(deadline, time.Now().Add(to.server.patience(w.pool.Timeout)))
	}

	used.session = w.session.number
	commands := used.setup(w.session.values, w.needed)

	last := w.command
	if begin != nil {
		opening := *begin
		opening.After = to.after
		commands = append(commands, opening)
	} else if !last.Writes {
		last.After = to.after
	}

	began := time.Now()
	answer, err := used.run(deadline, append(commands, last)...)
	to.server.took(time.Since(began))
	w.session.gateway.observe(to.primary, w.command.Writes, time.Since(began))

	switch {
	case errors.Is(err, errSetup):
		used.settle(answer.State)
		to.server.pool.put(used)
		to.server.answer(time.Now())

		// Setup is refused for lack of room, or because of what the server has become; the statement did not run.
		if answer.Outcome.Ran() {
			answer.Outcome = Busy
		}

		return answer, nil
	case err != nil:
		to.server.pool.put(used)
		to.server.fail(time.Now())

		return Answer{}, &lostError{err}
	}

	w.learn(to, answer)

	if begin != nil && answer.Outcome == Done {
		w.session.tx.conn = used

		return answer, nil
	}

	// A transaction whose first statement failed ends here; another one may begin elsewhere.
	used.settle(answer.State)
	to.server.pool.put(used)

	return answer, nil
}

// latestStart returns the time by which the statement has to start at a server: so that it is done within the pool's
// aim, counted from its arrival, by the time that the server usually takes, and before its deadline. A statement that
// starts later keeps others from being in time.
func (w *work) latestStart(at *server) time.Time {
	if w.pool.TargetLatency <= 0 {
		return w.deadline
	}

	return minTime(w.deadline, w.began.Add(max(w.pool.TargetLatency-at.mean(), w.pool.TargetLatency/aimShare)))
}

// aimShare is the part of the aim, as a divisor, for which a statement may wait even where the server takes longer than
// the aim.
const aimShare = 3

// learn notes what an answer shows of the server.
func (w *work) learn(to target, answer Answer) {
	now := time.Now()

	to.server.answer(now)

	if answer.Outcome != Done && answer.Outcome != Behind {
		return
	}

	// A write shows that the server was the primary. A read shows it only under a lease.
	if to.primary {
		if answer.Outcome == Done && (to.leased || w.command.Writes) {
			to.group.track.observe(to.now, answer.Position)
		}

		return
	}

	boot := w.session.gateway.options.Boot()
	to.server.holds(boot, answer.Position, to.group.track.behind(boot, answer.Position))
}

// failed notes why an attempt failed.
func (w *work) failed(to target, answer Answer, err error) {
	w.crowded = nil

	if err == nil && answer.Outcome == Busy {
		w.crowded = to.server
		to.server.crowd(time.Now())
	}

	if w.crowded == nil || !to.primary {
		w.avoid = append(w.avoid, to.server.id)
	}

	var lost *lostError

	switch {
	case errors.As(err, &lost):
		w.reason = result.New(result.ServerUnreachable, "server %s did not answer: %w", to.server.id, lost.cause)
		// Other connections of the time may be silent as well.
		to.server.pool.empty()
	case err != nil && result.CodeOf(err) != result.OK:
		w.reason = err
	case err != nil:
		w.reason = result.New(result.ServerUnreachable, "server %s can't be reached: %w", to.server.id, err)
	default:
		w.reason = answer.Err()
	}

	w.session.gateway.retried(w.command.Statement, to.server.id, w.reason, w.attempts)
}
