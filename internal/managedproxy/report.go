package managedproxy

import (
	"errors"
	"time"

	"almondgrade/core/result"
)

// serverError counts the refusals and failures that a backend server answered with.
const serverError = "server_error"

// refused logs and counts the refusal or failure of a request.
func (g *Gateway) refused(statement Statement, database string, err error, attempts int) {
	code := result.CodeOf(err)
	if code == result.OK {
		g.count(serverError)
	} else {
		g.options.Metrics.Count(code)
	}

	present := g.view.Load()
	now := g.options.Boot()
	ran := code.Ran().String()

	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		ran = "no"
		if outcome.Outcome.Ran() {
			ran = "unknown"
		}
	}

	g.options.Logger.Info("request refused", "request", statement.ID, "database", database, "code", uint32(code),
		"error", err, "ran", ran, "attempts", attempts, "view", present.version, "lease", g.lease.Load().Sub(now))
}

// retried logs an attempt that failed.
func (g *Gateway) retried(statement Statement, server string, err error, attempt int) {
	g.options.Logger.Debug("attempt failed", "request", statement.ID, "server", server, "error", err, "attempt", attempt)
}

// observe adds the time that a server took for a statement to the histogram of its kind, in microseconds.
func (g *Gateway) observe(primary, writes bool, took time.Duration) {
	name := "replica_read_us"

	switch {
	case writes:
		name = "write_us"
	case primary:
		name = "primary_read_us"
	}

	g.options.Metrics.Observe(name, took)
}

func (g *Gateway) count(name string) {
	g.options.Metrics.Counter(name).Inc(1)
}
