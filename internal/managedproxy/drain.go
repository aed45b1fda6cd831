package managedproxy

import (
	"time"
)

// Drain begins a planned stop: from now on Ready returns false.
func (g *Gateway) Drain() {
	now := time.Now()
	g.drainBegan.Store(&now)
}

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool {
	return g.drainBegan.Load() != nil
}

// loginTimeoutDraining bounds a login while the proxy closes sessions. Callers send theirs as soon as they are connected.
const loginTimeoutDraining = 500 * time.Millisecond

// CloseSessions ends the sessions outside a transaction. With all, it also ends those in a transaction, and rolls back
// their transactions and those of other proxies' callers. It returns the number of logins, sessions, transactions and
// statements that are left.
func (g *Gateway) CloseSessions(all bool) int {
	if all {
		g.rollbackIdleTransactions(time.Now(), true)
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for login := range g.logins {
		if time.Since(login.began) > loginTimeoutDraining {
			login.caller.Interrupt()
		}
	}

	for session := range g.sessions {
		session.closeWhenIdle.Store(true)

		if all {
			session.closeNow.Store(true)
		}

		session.caller.Interrupt()
	}

	return len(g.logins) + len(g.sessions) + len(g.heldTransactions) + int(g.incomingForwards.Load())
}

// SessionCount returns the number of open sessions.
func (g *Gateway) SessionCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return len(g.sessions)
}

// runningStatement is a statement that its caller has sent and that has no answer yet.
type runningStatement struct {
	id       string
	received time.Time
}

// LogUnfinished logs what the end of the process cuts off: each statement that its caller still waits for, and the number
// of logins and of other proxies' statements.
func (g *Gateway) LogUnfinished() {
	now := time.Now()

	var sinceDrain time.Duration
	if began := g.drainBegan.Load(); began != nil {
		sinceDrain = now.Sub(*began)
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	for session := range g.sessions {
		if running := session.running.Load(); running != nil {
			g.count("cut_off_by_shutdown")
			g.options.Logger.Warn("statement cut off by the end of the process", "request", running.id, "database", session.database,
				"statementAge", now.Sub(running.received), "sessionAge", now.Sub(session.began), "sinceDrain", sinceDrain)
		}
	}

	logins, forwards := len(g.logins), g.incomingForwards.Load()
	if logins > 0 || forwards > 0 {
		g.options.Logger.Warn("work cut off by the end of the process", "logins", logins, "forwardedStatements", forwards,
			"heldTransactions", len(g.heldTransactions), "sinceDrain", sinceDrain)
	}
}
