package managedproxy

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/retry"
	"almondgrade/core/route"
	"almondgrade/core/topology"
)

const (
	// ageMargin is subtracted from the age that a pool permits, for the time between the decision and the read.
	ageMargin = 20 * time.Millisecond
	// maxAttempts bounds the attempts to run one statement, counted over the caller's proxy and the holders.
	maxAttempts = 6
	// takeoverTimeout bounds the time for which a statement waits for a new primary. A promotion takes about a second.
	takeoverTimeout = 1500 * time.Millisecond
)

// statementRun is the execution of a statement outside a transaction, or of the first one of a transaction.
type statementRun struct {
	session  *session
	pool     topology.Pool
	command  Command
	prepared *preparedStatement
	deadline time.Time
	// began is the time of the first attempt, or the time at which another proxy received the statement.
	began    time.Time
	attempts int
	// busyServer is the server if the last attempt met a busy one.
	busyServer     *server
	avoidedServers []string
	// lastErr is the last failure.
	lastErr error
}

// target is the destination of an attempt.
type target struct {
	server *server
	group  *viewGroup
	// primary is true if the server is the primary of the view, hasLease if reads of the latest data may rely on that.
	primary  bool
	hasLease bool
	after    position.Position
	// chosenAt is the boot time at which the server was chosen.
	chosenAt time.Time
}

// run tries the statement on one server after another until one has run it. It returns false if all attempts failed.
// choose returns the next server, and final reports whether the statement must not be tried again after a failure.
func (r *statementRun) run(
	choose func() (target, error), begin *Command, final func(to target, answer Answer, err error) bool,
) (target, Answer, bool) {
	for r.nextAttempt() {
		to, err := choose()
		if err != nil {
			if !r.awaitTakeover(err) {
				break
			}

			continue
		}

		answer, err := r.attempt(to, begin)
		if err == nil && answer.Outcome == Done {
			return to, answer, true
		}

		var takeover *takeoverError
		if errors.As(err, &takeover) {
			// The takeover began while the statement waited for a connection.
			if !r.awaitTakeover(err) {
				break
			}

			continue
		}

		if errors.Is(err, errCallerGone) {
			r.session.gateway.count("caller_gone")
			r.lastErr = err

			break
		}

		r.recordFailure(to, answer, err)

		if final(to, answer, err) || r.declineAsOutdated(to, answer, err) {
			break
		}
	}

	return target{}, Answer{}, false
}

// runRead runs a read outside a transaction, which may run more than once.
func (r *statementRun) runRead() Reply {
	_, answer, done := r.run(r.chooseForRead, nil, func(target, Answer, error) bool { return false })
	if !done {
		return r.failureReply()
	}

	return Reply{Rows: answer.Rows, Signature: answer.Signature, Position: answer.Position}
}

// runWrite runs a write outside a transaction, which must not run twice.
func (r *statementRun) runWrite() Reply {
	_, answer, done := r.run(r.choosePrimary, nil, func(to target, answer Answer, err error) bool {
		var lost *noAnswerError
		if errors.As(err, &lost) {
			r.lastErr = result.New(result.ConnectionLost, "server %s did not answer the write: %w", to.server.id, lost.cause)

			return true
		}

		var unconfirmed *unconfirmedError

		return errors.As(err, &unconfirmed) || err == nil && answer.Outcome.Ran()
	})
	if !done {
		return r.failureReply()
	}

	r.session.lastCommit = answer.Position

	return Reply{Rows: answer.Rows, Signature: answer.Signature, Position: answer.Position}
}

// nextAttempt reports whether another attempt may be made, after the delay that is due before it.
func (r *statementRun) nextAttempt() bool {
	if r.attempts == 0 {
		r.attempts = 1

		if r.began.IsZero() {
			r.began = time.Now()
		}

		return true
	}

	if r.busyServer != nil {
		return r.returnToQueue()
	}

	r.attempts++
	if r.attempts > maxAttempts || r.session.attemptsLeft <= 0 || !r.session.gateway.budget.TakeRetry(time.Now()) {
		return false
	}

	// The first retry, on another server, needs no delay; later ones wait for the fault to pass.
	pause, inTime := time.Duration(0), time.Now().Before(r.deadline)
	if r.attempts > 2 {
		pause, inTime = retry.DefaultBackoff.Delay(r.attempts-2, rand.Float64(), time.Now(), r.deadline)
	}

	if !inTime {
		return false
	}

	time.Sleep(pause)
	r.session.gateway.count("retries")

	return true
}

// returnToQueue prepares the next attempt after one that met a busy server, provided that the statement can still start
// in time. The statement goes to another server or returns to the ordered queue of the pool, which keeps it until the
// server may have room. The server refused it without running it, so this is not charged to the retry budget.
func (r *statementRun) returnToQueue() bool {
	if time.Now().After(r.latestStart(r.busyServer)) {
		r.lastErr = withTimeToReturn(r.lastErr, r.busyServer, &r.pool)

		return false
	}

	r.session.gateway.count("crowded")

	return true
}

// failureReply returns the reply after the last attempt has failed, and logs it.
func (r *statementRun) failureReply() Reply {
	if r.lastErr == nil {
		r.lastErr = result.New(result.DeadlinePassed, "the statement could not be run within %s", r.pool.Timeout)
	}

	if !r.session.declined {
		r.session.gateway.logRefusal(r.command.Statement, r.session.database, r.lastErr, r.attempts)
	}

	return Reply{Err: r.lastErr, State: r.session.tx.state()}
}

// declineAsOutdated declines a statement that a former primary has refused, if this proxy is cut off from control and so
// does not learn of the new primary. Another holder may know it.
func (r *statementRun) declineAsOutdated(to target, answer Answer, err error) bool {
	if err != nil || answer.Outcome != NotPrimary || to.hasLease || !r.session.mayDecline {
		return false
	}

	r.session.declined = true

	return true
}

// awaitTakeover waits for the end of a takeover. It returns false if the statement must be refused.
func (r *statementRun) awaitTakeover(reason error) bool {
	r.lastErr = reason

	var takeover *takeoverError
	if !errors.As(reason, &takeover) {
		// Another holder may hear from control, or this proxy has ceased to be one while the statement waited.
		r.session.declined = r.session.mayDecline && (result.CodeOf(reason) == result.Unconfirmed ||
			r.session.gateway.view.Load().holders[r.pool.Group].mustForward())

		return false
	}

	current, changed := r.session.gateway.watchView()

	group := current.groups[r.pool.Group]
	if group == nil || !time.Now().Before(r.deadline) {
		return false
	}

	// Another holder may reach the primary.
	if r.session.mayDecline && group.Phase == topology.PhaseStable {
		r.session.declined = true

		return false
	}

	// The statement was not sent, so the wait does not count as an attempt.
	r.attempts = max(0, r.attempts-1)
	r.busyServer = nil

	wait := min(time.Until(r.deadline), takeoverTimeout)

	if group.Phase == topology.PhaseStable && group.primary != nil {
		if !group.primary.isUnreachable(time.Now()) {
			// The view has changed since the server was chosen.
			return true
		}

		wait = min(wait, failureCooldown)
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-changed:
		return true
	case <-timer.C:
		return wait == failureCooldown
	}
}

// takeoverError means that the group has no usable primary now but will soon have one.
type takeoverError struct {
	refusal error
}

// Error implements error.
func (e *takeoverError) Error() string {
	return e.refusal.Error()
}

// Unwrap returns the refusal with its code.
func (e *takeoverError) Unwrap() error {
	return e.refusal
}

// choosePrimary returns the primary as the target.
func (r *statementRun) choosePrimary() (target, error) {
	gateway := r.session.gateway
	current := gateway.view.Load()
	group := current.groups[r.pool.Group]

	switch {
	case group == nil || group.Primary == "":
		return target{}, result.New(result.NoPrimary, "group %s does not have a primary yet", r.pool.Group)
	case group.Phase != topology.PhaseStable:
		return target{}, &takeoverError{result.New(result.NoPrimary, "group %s is changing its primary", r.pool.Group)}
	case group.primary == nil:
		return target{}, result.New(result.NoPrimary, "primary %s of group %s is not in the view", group.Primary, r.pool.Group)
	}

	if (r.attempts > 1 || r.session.mayDecline) && group.primary.isUnreachable(time.Now()) {
		return target{}, &takeoverError{result.New(result.NoPrimary, "primary %s of group %s is unreachable", group.Primary, r.pool.Group)}
	}

	now := gateway.options.BootTime()

	return target{server: group.primary, group: group, primary: true, hasLease: gateway.hasLease(now), chosenAt: now}, nil
}

// chooseForRead returns the target of a read.
func (r *statementRun) chooseForRead() (target, error) {
	if r.pool.Freshness == topology.FreshnessLatest {
		to, err := r.choosePrimary()
		if err == nil && !to.hasLease {
			err = result.New(result.Unconfirmed, "the proxy can't confirm the primary of group %s", r.pool.Group)
		}

		if err == nil {
			// A primary that has started again without its data refuses the read, instead of serving it from an empty log.
			to.after = to.group.track.newest(to.group.Term)
		}

		return to, err
	}

	gateway := r.session.gateway
	now := gateway.options.BootTime()
	group := gateway.view.Load().groups[r.pool.Group]

	if group == nil {
		return target{}, result.New(result.NoPrimary, "group %s is not in the view", r.pool.Group)
	}

	floor, known := group.track.floor(now, r.pool.MaxAge-ageMargin)
	if known && r.pool.Freshness == topology.FreshnessSession && floor.Less(r.session.lastCommit) {
		floor = r.session.lastCommit
	}

	if chosen := r.chooseReplica(now, group, floor, known); chosen != nil {
		return target{server: chosen, group: group, primary: chosen == group.primary, after: floor, chosenAt: now}, nil
	}

	to, err := r.choosePrimary()
	if err == nil && !known && !to.hasLease {
		err = result.New(result.Unconfirmed, "the proxy knows neither a recent position of group %s nor its primary", r.pool.Group)
	}

	to.after = floor

	return to, err
}

// chooseReplica returns a replica whose log is expected to have reached the floor, the primary if it is the better
// choice, or nil.
func (r *statementRun) chooseReplica(now time.Time, group *viewGroup, floor position.Position, known bool) *server {
	if !known {
		return nil
	}

	floorAge := group.track.lag(now, position.Position{Term: floor.Term, LSN: floor.LSN - min(floor.LSN, 1)})
	servers := r.session.candidates[:0]
	began := time.Now()

	for _, groupServer := range group.servers {
		candidate := groupServer.routeServer(groupServer == group.primary && group.Phase == topology.PhaseStable)
		if slices.Contains(r.avoidedServers, groupServer.id) || groupServer == group.primary && group.Phase != topology.PhaseStable ||
			!groupServer.isAdmitted(began) {
			candidate.Reachable = false
		}

		if groupServer.likelyHolds(now, floor, floorAge) {
			candidate.Position = floor
		}

		servers = append(servers, candidate)
	}

	r.session.candidates = servers

	choice := route.FreshPolicy().Choose(route.Request{
		Now: began, Floor: floor, Centre: r.session.gateway.options.Centre, Servers: servers, Rotation: rand.Uint64(),
	})
	if choice.Kind != route.Replica {
		return nil
	}

	for _, groupServer := range group.servers {
		if groupServer.id == choice.Server {
			groupServer.recordChoice(began)

			return groupServer
		}
	}

	return nil
}

// noAnswerError means that a statement was sent but not answered, so that it may have run.
type noAnswerError struct {
	cause error
}

// Error implements error.
func (e *noAnswerError) Error() string {
	return "no answer: " + e.cause.Error()
}

// unconfirmedError means that a server has run a write, which a later primary may lack.
type unconfirmedError struct {
	cause error
}

// Error implements error.
func (e *unconfirmedError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause with its code.
func (e *unconfirmedError) Unwrap() error {
	return e.cause
}

// attempt runs the command on a server. If begin is set, it first opens a transaction of that kind, and hands the
// connection to the session on success.
func (r *statementRun) attempt(to target, begin *Command) (Answer, error) {
	conn, err := to.server.connPool.get(r.latestStart(to.server), r.pool.Priority, r.session.connUser())
	if err != nil {
		return Answer{}, withTimeToReturn(err, to.server, &r.pool)
	}

	if begin != nil || !r.command.Writes {
		return r.attemptOn(conn, to, begin)
	}

	commit, refusal := r.session.gateway.beginCommit(to.group, to.server)
	if refusal != nil {
		to.server.connPool.put(conn)

		return Answer{}, &takeoverError{refusal}
	}

	defer commit.end()

	answer, err := r.attemptOn(conn, to, begin)
	if err == nil && answer.Outcome == Done {
		if err := commit.confirm(answer.Position, r.deadline); err != nil {
			return Answer{}, &unconfirmedError{err}
		}
	}

	return answer, err
}

// attemptOn is attempt on a connection that the statement has got.
func (r *statementRun) attemptOn(conn *conn, to target, begin *Command) (Answer, error) {
	began := time.Now()

	to.server.runningStatements.Add(1)
	to.server.recordStart(began)
	defer to.server.endStatement()

	// A read may run again elsewhere, so time is left for that.
	deadline := r.deadline
	if !r.command.Writes {
		deadline = earlierTime(deadline, began.Add(to.server.readTimeout(r.pool.Timeout)))
	}

	conn.lastSessionID = r.session.id
	commands := r.commandsFor(conn, to, begin)
	answer, err := conn.run(deadline, commands...)
	ended := time.Now()
	latency := ended.Sub(began)
	to.server.recordLatency(latency)
	to.server.recordEnd(ended, statementKind(&r.pool, &commands[len(commands)-1], len(commands) > 1), answer, err, latency)
	r.session.gateway.recordLatency(to.primary, r.command.Writes, latency)

	switch {
	case errors.Is(err, errSetup):
		r.session.gateway.count("setups_failed")
		conn.rollbackUnlessIdle()
		to.server.connPool.put(conn)
		to.server.recordAnswer(ended)

		// Setup is refused because the server is busy or has changed its role; the statement did not run.
		if answer.Outcome.Ran() {
			answer.Outcome = Busy
		}

		return answer, nil
	case errors.Is(err, errAmbiguous) && begin != nil && r.command.Kind != Commit:
		// Closing the connection rolls the transaction back.
		to.server.connPool.put(conn)
		to.server.recordAnswer(ended)

		return answer, nil
	case err != nil:
		to.server.connPool.put(conn)
		to.server.recordFailure(ended)

		return Answer{}, &noAnswerError{err}
	}

	r.recordAnswer(to, answer, ended)

	if begin != nil && answer.Outcome == Done {
		r.session.tx.conn = conn

		return answer, nil
	}

	if begin == nil && answer.Outcome == Done && conn.state != Idle {
		// The statement ran inside a transaction, which no caller will commit.
		err = errInTransaction
	}

	// A transaction whose first statement failed ends here; it may begin again elsewhere.
	conn.rollbackUnlessIdle()
	to.server.connPool.put(conn)

	if err != nil {
		return Answer{}, &noAnswerError{err}
	}

	return answer, nil
}

// commandsFor returns the command behind those that set up the connection and open the transaction.
func (r *statementRun) commandsFor(conn *conn, to target, begin *Command) []Command {
	commands := conn.setupCommands(r.session.variables, r.prepared)

	last := r.command
	if begin != nil {
		opening := *begin
		opening.After = to.after
		commands = append(commands, opening)
	} else if !last.Writes {
		last.After = to.after
	}

	return append(commands, last)
}

// errInTransaction is the failure of a single statement that a server ran inside a transaction.
var errInTransaction = eris.New("the server ran the statement inside a transaction")

// latestStart returns the time by which the statement must start on a server: early enough to end within the pool's
// target latency, counted from its arrival, at the server's mean latency, and before its deadline. A statement that
// starts later makes others late as well.
func (r *statementRun) latestStart(candidate *server) time.Time {
	if r.pool.TargetLatency <= 0 {
		return r.deadline
	}

	return earlierTime(r.deadline, r.began.Add(max(r.pool.TargetLatency-candidate.meanLatency(), r.pool.TargetLatency/targetLatencyDivisor)))
}

// targetLatencyDivisor divides a pool's target latency: a statement may wait for that part of it even if the server's
// mean latency exceeds the target.
const targetLatencyDivisor = 3

// recordAnswer records what an answer shows about the server and its position.
func (r *statementRun) recordAnswer(to target, answer Answer, now time.Time) {
	to.server.recordAnswer(now)

	if answer.Outcome != Done && answer.Outcome != Behind {
		return
	}

	// A write proves that the server was the primary. A read proves it only under a lease.
	if to.primary {
		if answer.Outcome == Done && (to.hasLease || r.command.Writes) {
			to.group.track.recordPosition(to.chosenAt, answer.Position)
		}

		return
	}

	boot := r.session.gateway.options.BootTime()
	to.server.recordReplicaPosition(boot, answer.Position, to.group.track.lag(boot, answer.Position))
}

// recordFailure records why an attempt failed and which server the next one should avoid.
func (r *statementRun) recordFailure(to target, answer Answer, err error) {
	r.busyServer = nil
	r.session.operation.recordAttempt(answer, err)

	if err == nil && answer.Outcome == Busy {
		r.busyServer = to.server
		to.server.recordBusy(time.Now())
	} else {
		r.session.attemptsLeft--
	}

	if r.busyServer == nil || !to.primary {
		r.avoidedServers = append(r.avoidedServers, to.server.id)
	}

	var lost *noAnswerError

	switch {
	case errors.As(err, &lost):
		r.lastErr = result.New(result.ServerUnreachable, "server %s did not answer: %w", to.server.id, lost.cause)
		// Other idle connections to the server may have stopped answering as well.
		to.server.connPool.closeIdle()
	case err != nil && result.CodeOf(err) != result.OK:
		r.lastErr = err
	case err != nil:
		r.lastErr = result.New(result.ServerUnreachable, "server %s can't be reached: %w", to.server.id, err)
	default:
		r.lastErr = answer.Err()
	}

	r.session.gateway.logFailedAttempt(r.command.Statement, to.server.id, r.lastErr, r.attempts)
}
