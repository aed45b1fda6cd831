package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/result"
)

// serverError is the metric that counts refusals and failures with which a backend server answered.
const serverError = "server_error"

// logRefusal logs and counts a statement that was refused or failed.
func (g *Gateway) logRefusal(statement Statement, database string, err error, attempts int) {
	code := result.CodeOf(err)
	if code == result.OK {
		g.count(serverError)
	} else {
		g.options.Metrics.Count(code)
	}

	current := g.view.Load()
	now := g.options.BootTime()
	ran := code.Ran().String()

	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		ran = "no"
		if outcome.Outcome.Ran() {
			ran = "unknown"
		}
	}

	details := []any{
		"request", statement.ID, "database", database, "code", uint32(code), "error", err, "ran", ran, "attempts", attempts,
		"view", current.version, "lease", g.lease.Load().Sub(now),
	}

	var refusal *refusalError
	if errors.As(err, &refusal) {
		details = append(details, "running", refusal.running, "limit", refusal.limit, "waiting", refusal.waiting)
	}

	var timed *retryAfterError
	if errors.As(err, &timed) {
		details = append(details, "retryAfter", timed.after)
	}

	g.options.Logger.Info("request refused or failed", details...)
}

// logFailedAttempt logs a failed attempt, after which another one may follow.
func (g *Gateway) logFailedAttempt(statement Statement, server string, err error, attempt int) {
	g.options.Logger.Debug("attempt failed", "request", statement.ID, "server", server, "error", err, "attempt", attempt)
}

// recordLatency adds the time that a server took for a statement to the histogram of its kind, in microseconds.
func (g *Gateway) recordLatency(primary, writes bool, latency time.Duration) {
	name := "replica_read_us"

	switch {
	case writes:
		name = "write_us"
	case primary:
		name = "primary_read_us"
	}

	g.options.Metrics.Observe(name, latency)
}

func (g *Gateway) count(name string) {
	g.options.Metrics.Counter(name).Inc(1)
}
