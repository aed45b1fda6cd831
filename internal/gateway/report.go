package gateway

import (
	"errors"

	"almondgrade/core/result"
)

// unsampled names the refusals that carry no result code.
const unsampled = "server_error"

// refused logs and counts the refusal or failure of a request.
func (g *Gateway) refused(statement Statement, database string, err error, attempts int) {
	code := result.CodeOf(err)
	if code == result.OK {
		g.count(unsampled)
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

func (g *Gateway) count(name string) {
	g.options.Metrics.Counter(name).Inc(1)
}
