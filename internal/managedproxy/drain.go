package managedproxy

import (
	"time"

	"almondgrade/core/drain"
	"almondgrade/core/result"
)

// loginTimeoutRefusing bounds a login while the proxy refuses new callers. Callers send theirs as soon as they are connected.
const loginTimeoutRefusing = 500 * time.Millisecond

// firstStatementTimeout is the time that a new session has for its first statement while the proxy closes idle ones. A
// caller that logs in has a statement to send.
const firstStatementTimeout = 500 * time.Millisecond

// Drain begins a planned stop: from now on Ready returns false.
func (g *Gateway) Drain() {
	now := time.Now()
	g.drainBegan.Store(&now)
}

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool {
	return g.drainBegan.Load() != nil
}

// phase returns the phase of the planned stop.
func (g *Gateway) phase() drain.Phase {
	return drain.Phase(g.drainPhase.Load())
}

// refusesNewWork reports whether a planned stop has come to the point from which new callers are refused.
func (g *Gateway) refusesNewWork() bool {
	return g.phase() >= drain.Refusing
}

// ContinueDrain does what is due in a phase of a planned stop. It has to be called again and again, because statements end
// and callers arrive meanwhile.
func (g *Gateway) ContinueDrain(phase drain.Phase) {
	g.drainPhase.Store(uint32(phase))

	if phase < drain.Refusing {
		return // Sessions look at the phase after each answer.
	}

	g.interruptCallers(phase)
	g.rollbackIdleTransactions(time.Now(), true)

	if phase >= drain.Answering {
		g.answerRunning()
	}
}

// interruptCallers ends the logins that take too long, and makes each session without a statement in progress look at the
// phase once.
func (g *Gateway) interruptCallers(phase drain.Phase) {
	now := time.Now()

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for login := range g.logins {
		if now.Sub(login.began) > loginTimeoutRefusing {
			login.caller.Interrupt()
		}
	}

	for session := range g.sessions {
		if session.interruptedIn < phase && !session.ending.Load() && (phase >= drain.Answering || !session.awaitsFirstStatement(now)) {
			session.interruptedIn = phase
			session.caller.Interrupt()
		}
	}
}

// awaitsFirstStatement reports whether the first statement of a new session may be on its way.
func (s *session) awaitsFirstStatement(now time.Time) bool {
	return !s.hasReceived.Load() && now.Sub(s.began) < firstStatementTimeout
}

// endsForStop reports whether the session has to end for a planned stop, after the answer to a statement or, if answered is
// nil, after an interruption. It rolls back a transaction whose time is over. The caller learns that from the answer to its
// next statement, so that it does not wonder whether a commit on its way has succeeded.
func (s *session) endsForStop(answered *Statement) bool {
	phase := s.gateway.phase()

	switch {
	case phase < drain.Closing:
		return false
	case phase >= drain.Answering:
		return true
	case s.tx.stopped:
		return answered != nil
	case s.tx.phase == txNone:
		return phase >= drain.Refusing || answered != nil && !answered.Kind.preparesSession()
	case phase >= drain.Refusing:
		s.gateway.count("rolled_back_by_stop")
		s.rollback()
		s.tx = transaction{phase: txAborted, stopped: true}
	}

	return false
}

// serveStopped answers a statement of a transaction that a planned stop has rolled back.
func (s *session) serveStopped(statement Statement) Reply {
	if statement.Kind == Rollback {
		s.tx = transaction{}

		return Reply{}
	}

	if statement.Kind == Commit {
		s.tx = transaction{}
	}

	return s.refuse(statement, errRolledBackByStop)
}

// answerRunning answers the statements in progress, whose sessions wait for a server or another proxy.
func (g *Gateway) answerRunning() {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	for session := range g.sessions {
		running := session.running.Load()
		if running == nil || !session.running.CompareAndSwap(running, nil) {
			continue // Its goroutine answers.
		}

		reply := running.replyUnfinished()
		g.count("answered_unfinished")
		g.options.Logger.Info("statement answered before its end because the proxy stops", "request", running.id, "database",
			session.database, "age", time.Since(running.received), "error", reply.Err)

		go func() {
			if err := session.caller.Reply(reply); err != nil {
				g.options.Logger.Info("answer could not be sent to the caller", "request", running.id, "error", err)
			} else {
				session.end(errShuttingDown)
			}

			session.caller.Close()
			g.endSession(session)
		}()
	}
}

// DeclineForwards makes the gateway decline the statements that other proxies send from now on. Those that have begun, and
// their transactions, remain work in progress.
func (g *Gateway) DeclineForwards() {
	g.declinesForwards.Store(true)
}

// DrainWork is the work that a planned stop waits for.
type DrainWork struct {
	// Logins is the number of callers without a session, Sessions that of those with one.
	Logins   int
	Sessions int
	// ForwardedStatements and HeldTransactions are those of other proxies' callers.
	ForwardedStatements int
	HeldTransactions    int
}

// Total returns the number of items.
func (w DrainWork) Total() int {
	return w.Logins + w.Sessions + w.ForwardedStatements + w.HeldTransactions
}

// WorkLeft returns the work in progress.
func (g *Gateway) WorkLeft() DrainWork {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return DrainWork{
		Logins: len(g.logins), Sessions: len(g.sessions), ForwardedStatements: int(g.incomingForwards.Load()),
		HeldTransactions: len(g.heldTransactions),
	}
}

// runningStatement is a statement that its caller has sent and that has no answer yet.
type runningStatement struct {
	id       string
	kind     Kind
	received time.Time
	// inTransaction is true if the statement belongs to a transaction.
	inTransaction bool
}

// replyUnfinished returns the answer to a statement whose result the process can't wait for. The transaction of a statement is
// rolled back with the connection, unless the server may have received its commit.
func (r *runningStatement) replyUnfinished() Reply {
	if !r.inTransaction || r.kind == Commit {
		return Reply{Err: result.New(result.ConnectionLost, "the proxy is shutting down and can't wait for the result of the statement")}
	}

	reply := Reply{Err: errRolledBackByStop, State: Aborted}
	if r.kind == Rollback {
		reply.State = Idle
	}

	return reply
}

// errRolledBackByStop is returned to callers whose transaction was rolled back because the proxy shuts down.
var errRolledBackByStop = &rolledBackError{result.New(result.Draining, "the proxy is shutting down")}

// errShuttingDown is returned to callers that log in while the proxy shuts down.
var errShuttingDown = result.New(result.Draining, "the proxy is shutting down; connect again")

// LogUnfinished logs what the end of the process cuts off: each statement that its caller still waits for, and the other
// work in progress.
func (g *Gateway) LogUnfinished() {
	now := time.Now()
	left := g.WorkLeft()

	if left.Total() == 0 {
		return
	}

	var sinceDrain time.Duration
	if began := g.drainBegan.Load(); began != nil {
		sinceDrain = now.Sub(*began)
	}

	g.options.Logger.Warn("work cut off by the end of the process", "sessions", left.Sessions, "logins", left.Logins,
		"forwardedStatements", left.ForwardedStatements, "heldTransactions", left.HeldTransactions, "sinceDrain", sinceDrain)

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for session := range g.sessions {
		if running := session.running.Load(); running != nil {
			g.count("cut_off_by_shutdown")
			g.options.Logger.Warn("statement cut off by the end of the process", "request", running.id, "database", session.database,
				"statementAge", now.Sub(running.received), "sessionAge", now.Sub(session.began), "sinceDrain", sinceDrain)
		}
	}
}
