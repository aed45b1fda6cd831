package managedproxy

import (
	"sync/atomic"
	"time"

	"almondgrade/core/customer"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

// errKeyWithdrawn is the reason for which a transaction of a withdrawn key is rolled back.
var errKeyWithdrawn = result.New(result.Authentication, "the caller's key was withdrawn")

// sessionIdentity says on behalf of which customer a session acts. It keeps the KeyID only, so that the key itself can't
// reach a log or an error.
type sessionIdentity struct {
	key    topology.KeyID
	hasKey bool
	// customer is the customer that held the key when the session last resolved it, or empty.
	customer string
	priority int
	// limited is true if the customer has a rate.
	limited bool
	// ended is true once the configuration no longer admits the key; withdrawnAt is the time at which it ended.
	ended       atomic.Bool
	withdrawnAt atomic.Pointer[time.Time]
}

func (i *sessionIdentity) setKey(key string) {
	if key != "" {
		i.key, i.hasKey = topology.NewKeyID(key), true
	}
}

// end records that the key was withdrawn.
func (i *sessionIdentity) end(now time.Time) {
	if !i.ended.Swap(true) {
		i.withdrawnAt.Store(&now)
	}
}

// isPastGrace reports whether a transaction of a withdrawn key must not go on.
func (i *sessionIdentity) isPastGrace(now time.Time) bool {
	withdrawn := i.withdrawnAt.Load()

	return withdrawn != nil && now.Sub(*withdrawn) > customer.WithdrawalGrace
}

// limitDeadline returns the deadline, or the end of the grace of a withdrawn key if that is earlier. Zero means none.
func (i *sessionIdentity) limitDeadline(deadline time.Time) time.Time {
	withdrawn := i.withdrawnAt.Load()
	if withdrawn == nil {
		return deadline
	}

	if end := withdrawn.Add(customer.WithdrawalGrace); deadline.IsZero() || end.Before(deadline) {
		return end
	}

	return deadline
}

// identify resolves the session's key in the configuration in force. It fails if the pool requires a known key and the
// session's is not one.
func (s *session) identify(pool topology.Pool) error {
	directory := s.gateway.view.Load().customers

	found, admitted := directory.Identify(s.identity.key, pool.AllowAnonymous)
	if !admitted {
		s.identity.end(time.Now())

		return result.New(result.Authentication, "the key is not known to database %q", s.database)
	}

	s.identity.customer, s.identity.priority, s.identity.limited = "", 0, false
	if found != nil {
		s.identity.customer, s.identity.priority, s.identity.limited = found.Name, found.Priority, found.Rate != nil
	}

	return nil
}

// connUser returns the session as the user of a connection. The weight and priority of its customer are those of this
// proxy's configuration, also for callers of other proxies.
func (s *session) connUser() connUser {
	user := connUser{customer: s.identity.customer, sessionID: s.id, variables: s.variables, caller: s}

	if user.customer != "" {
		if known := s.gateway.view.Load().customers.ByName(user.customer); known != nil {
			user.weight, user.priority = customer.Weight(known), known.Priority
		}
	}

	return user
}

// endWithdrawnSessions closes the idle sessions whose key the configuration in force no longer admits. Sessions in a
// transaction end with it or after customer.WithdrawalGrace. The mutex is held.
func (g *Gateway) endWithdrawnSessions() {
	current := g.view.Load()
	now := time.Now()
	ended := 0

	for session := range g.sessions {
		pool := current.pools[session.database]
		if pool == nil {
			continue // Its next statement is refused.
		}

		if _, admitted := current.customers.Identify(session.identity.key, pool.AllowAnonymous); admitted || session.identity.ended.Load() {
			continue
		}

		ended++

		session.identity.end(now)
		session.caller.Interrupt()
	}

	if ended > 0 {
		g.options.Metrics.Counter("sessions_key_withdrawn").Inc(int64(ended))
		g.options.Logger.Info("sessions of withdrawn keys end", "sessions", ended, "configuration", current.configuration.Number)
	}
}

// checkForwardedKey refuses the first statement of a caller whose key this proxy knows to be withdrawn, although the
// sender does not know it yet.
func (g *Gateway) checkForwardedKey(request *ForwardRequest) error {
	if !request.isFirst() || request.Customer == "" || request.Key == nil {
		return nil
	}

	current := g.view.Load()
	if current.customers == nil || current.configuration.Number <= request.ConfigurationNumber ||
		current.customers.Holds(request.Customer, *request.Key) {
		return nil
	}

	return result.New(result.Authentication, "the key of customer %q was withdrawn", request.Customer)
}
