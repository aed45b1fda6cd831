package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/route"
	"almondgrade/core/settings"
	"almondgrade/core/statement"
	"almondgrade/io/backend"
)

// class determines which server a request needs.
type class uint8

const (
	// classAny accepts any server, as for SET.
	classAny class = iota
	// classRead needs a server that has replayed the session's floor.
	classRead
	// classWrite needs the primary.
	classWrite
)

// Values in traffic rules.
const (
	poolingSession    = "session"
	sessionConnection = "connection"
)

const (
	// viewPollInterval is the interval at which a waiting request checks for a new view.
	viewPollInterval = 5 * time.Millisecond
	// cancelGrace is the time that a server has to answer a cancelled statement before its connection is given up.
	cancelGrace = 2 * time.Second
	// silentReadTimeout is the time without any answer after which a read is retried on another connection, because an
	// open connection may have gone silent.
	silentReadTimeout = 5 * time.Second
)

// request is the unit that runs on one backend connection: a simple query, or a batch up to Sync.
type request struct {
	statements []statement.Statement
	// text is the query of the simple protocol; batch is set for the extended protocol.
	text  string
	batch *batch
	class class
	rule  settings.TrafficRule
	// name is the name of a request that runs at most once; other requests have none.
	name string
	// executes is true for a batch that contains an Execute message.
	executes bool
	deadline time.Time
	// attempts counts the attempts so far.
	attempts int
	// avoidServers are the servers that failed this request.
	avoidServers []string
}

// failure describes how an attempt failed. An attempt without a failure has been answered.
type failure struct {
	err error
	// sent is true if the statement may have reached the server, answered if the caller has seen part of the answer.
	sent     bool
	answered bool
	// sqlState is the SQLSTATE of an error that the caller has not received.
	sqlState string
	// server is the failed server; it is empty if neither the server nor its connection is the cause.
	server string
	// permanent is true if a retry would fail the same way, fatal if the session can't continue.
	permanent bool
	fatal     bool
}

func classify(statements []statement.Statement) class {
	needed := classAny

	for i := range statements {
		switch stmt := &statements[i]; stmt.Kind {
		case statement.Read, statement.CopyOut:
			needed = max(needed, classRead)
		case statement.Begin:
			if !stmt.ReadOnly {
				return classWrite
			}

			needed = max(needed, classRead)
		case statement.Write, statement.CopyIn:
			return classWrite
		default:
		}
	}

	return needed
}

// serveRequest runs a request to its answer. Its errors end the session.
func (s *session) serveRequest(r *request) error {
	r.rule = s.trafficRule()
	r.deadline = time.Now().Add(s.requestTimeout(r.rule))

	ctx, cancelDeadline := context.WithDeadline(context.Background(), r.deadline)
	defer cancelDeadline()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	s.mu.Lock()
	s.cancelRequest = cancel

	if s.ended {
		cancel(errSessionEnded)
	}
	s.mu.Unlock()

	defer func() {
		s.mu.Lock()
		s.cancelRequest = nil
		s.mu.Unlock()
	}()

	s.server.counters.increment(counterRequests)

	if s.status == statusIdle && r.class != classAny && (r.batch == nil || r.executes) {
		// The name applies to one request, whether or not it succeeds.
		r.name, s.requestName = s.requestName, ""
	}

	if r.rule.Pooling == poolingSession || r.name != "" {
		// Later statements may need the primary, or a record has to be written.
		r.class = classWrite
	}

	var failed *failure

	if s.lease != nil {
		failed = s.runOnLease(ctx, r)
	} else {
		failed = s.runWithRetries(ctx, r)
	}

	if failed == nil {
		return nil
	}

	return s.answerFailure(ctx, r, failed)
}

// answerFailure answers a request whose last attempt failed.
func (s *session) answerFailure(ctx context.Context, r *request, failed *failure) error {
	err := failed.err

	var (
		session *sessionError
		confirm *confirmError
	)

	switch {
	case errors.As(err, &confirm):
		err = confirm.cause
	case failed.sqlState != "":
		// The server refused the request; err is its answer.
	case errors.Is(err, errCallerGone) || errors.As(err, &session):
		return err
	case failed.sent && (r.class == classWrite || s.status != statusIdle):
		err = result.New(result.ConnectionLost, "the connection to the backend server was lost after the statement was sent: %w", err)
	case failed.sent && ctx.Err() != nil:
		err = notStartedError(ctx)
	case failed.sent:
		err = result.New(result.ServerUnreachable, "the backend server did not answer the read: %w", err)
	}

	if failed.fatal {
		return err
	}

	if failed.sent && s.status != statusIdle {
		s.status, s.transactionLost = statusFailed, true
		s.tx = transaction{}
		s.parameters.rollback()
		s.server.counters.countError(err)

		if err := s.caller.Send(errorResponse(err)); err != nil {
			return err
		}

		return s.finishRefusal(r)
	}

	return s.refuseRequest(err, r.isComplete())
}

// finishRefusal completes the answer to a request after its error was sent.
func (s *session) finishRefusal(r *request) error {
	if r.isComplete() {
		return s.sendReady()
	}

	s.discardingUntilSync = true

	return s.flush()
}

// isComplete reports whether the whole request has been received, except for the data of a COPY.
func (r *request) isComplete() bool {
	return r.batch == nil || r.batch.synced
}

// copiesIn reports whether the server asks for data of a COPY in the course of the request.
func (r *request) copiesIn() bool {
	return slices.ContainsFunc(r.statements, func(stmt statement.Statement) bool { return stmt.Kind == statement.CopyIn })
}

// runOnLease runs a request on the connection that the session holds.
func (s *session) runOnLease(ctx context.Context, r *request) *failure {
	lease := s.lease

	if s.status == statusIdle {
		// Between transactions of a pinned session.
		if err := s.checkAcceptsWork(); err != nil {
			return &failure{err: err}
		}

		if view, _ := s.view(); lease.primary && primaryTerm(view, view.Servers[lease.server]) != lease.term {
			s.releaseLease(true)

			return &failure{fatal: true, err: result.New(result.ServerUnreachable,
				"server %s, which holds state of the session, is no longer the primary", lease.server)}
		}

		if lease.primary {
			r.class = classWrite
		}
	}

	if lease.slot == nil {
		leave, err := s.enterQueue(r)
		if err != nil {
			return &failure{err: err}
		}

		err = s.acquireSlot(ctx, lease, r)

		leave()

		if err != nil {
			return &failure{err: waitError(ctx, err)}
		}
	}

	return s.dropLeaseOnFailure(s.runExchange(ctx, r, lease))
}

// dropLeaseOnFailure gives up the held connection after a failure on it.
func (s *session) dropLeaseOnFailure(failed *failure) *failure {
	if failed != nil && s.lease != nil {
		s.lease.conn.Taint()
		s.lease.release()
		s.lease = nil
		failed.fatal = failed.fatal || s.pinned
	}

	return failed
}

// checkAcceptsWork returns an error if the proxy accepts no new work.
func (s *session) checkAcceptsWork() error {
	coordination := s.server.options.Coordination

	switch {
	case coordination.View() == nil || !coordination.ConfigurationConfirmed():
		return result.New(result.Unconfirmed, "the proxy can't confirm its configuration")
	case s.server.draining.Load():
		return errDraining()
	}

	return nil
}

// runWithRetries runs a request that begins outside a transaction on a suitable server, and retries it if it certainly
// did not run or only read.
func (s *session) runWithRetries(ctx context.Context, r *request) *failure {
	s.server.budget.RecordRequest(time.Now())

	for {
		// A drain lets requests in progress finish, and a retry belongs to the request.
		if err := s.checkAcceptsWork(); err != nil && (r.attempts == 0 || result.CodeOf(err) != result.Draining) {
			return &failure{err: err}
		}

		r.attempts++
		s.tx = transaction{}
		s.parameters.rollback()

		failed := s.runAttempt(ctx, r)
		if failed == nil {
			return nil
		}

		if failed.server != "" {
			if failed.sqlState == "" {
				s.server.options.Coordination.ReportFailure(failed.server)
			}

			if r.class != classWrite {
				r.avoidServers = append(r.avoidServers, failed.server)
			}
		}

		if !s.awaitRetry(ctx, r, failed) {
			return failed
		}
	}
}

// awaitRetry reports whether a failed attempt is retried, and waits for the backoff before that.
func (s *session) awaitRetry(ctx context.Context, r *request, failed *failure) bool {
	counters := s.server.counters

	if failed.permanent || failed.answered || ctx.Err() != nil {
		return false
	}

	if failed.sqlState == sqlStateReadOnly && r.class != classWrite {
		// The server refused the statement, so it has not run yet.
		r.class = classWrite

		counters.increment(counterRetryReadAsWrite)

		return true
	}

	if failed.sent && r.class == classWrite && failed.sqlState == "" {
		return false
	}

	if !failed.sent && !isRetryable(failed.err) {
		return false
	}

	if !s.server.budget.TakeRetry(time.Now()) {
		counters.increment(counterRetryBudgetSpent)

		return false
	}

	if failed.sent && r.class != classWrite {
		counters.increment(counterRetryReadElsewhere)
	} else {
		counters.increment(counterRetryNotRun)
	}

	timer := time.NewTimer(backoff(r.attempts))
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isRetryable reports whether an error that prevented a request from running may be temporary.
func isRetryable(err error) bool {
	var server *backend.ServerError
	if errors.As(err, &server) {
		return false
	}

	switch code := result.CodeOf(err); code {
	case result.OK, result.ServerUnreachable, result.NoPrimary, result.NotCoordinator, result.OutdatedEpoch, result.NotLeader:
		return true
	default:
		return false
	}
}

// runAttempt chooses a server and runs a request on it once.
func (s *session) runAttempt(ctx context.Context, r *request) *failure {
	view, server, err := s.chooseServer(ctx, r)
	if err != nil {
		return &failure{err: err}
	}

	lease, err := s.acquireLease(ctx, view, server, r)
	if err != nil {
		name := server.Name
		if result.CodeOf(err) != result.ServerUnreachable {
			name = ""
		}

		return &failure{err: err, server: name}
	}

	if err := s.prepareConn(lease, r); err != nil {
		lease.conn.Taint()
		lease.release()

		return &failure{err: setupError(err), server: server.Name}
	}

	if s.server.parameters.Load() == nil {
		known := maps.Clone(lease.conn.Parameters)
		s.server.parameters.Store(&known)
	}

	s.lease = lease

	failed := s.runExchange(ctx, r, lease)
	if failed != nil && s.lease != nil {
		if failed.sqlState == "" {
			lease.conn.Taint()
		}

		lease.release()
		s.lease = nil
	}

	return failed
}

// setupError returns the error of a statement of the proxy after which the request was not sent.
func setupError(err error) error {
	if backend.SQLState(err) != "" || result.CodeOf(err) != result.OK {
		return err
	}

	return result.New(result.ServerUnreachable, "the connection to the backend server was lost before the request was sent: %w", err)
}

// chooseServer returns the server for a request that begins outside a transaction.
func (s *session) chooseServer(ctx context.Context, r *request) (*registry.View, registry.Server, error) {
	switch r.class {
	case classRead:
		return s.chooseReadServer(ctx, r)
	case classAny:
		if view, group := s.view(); group != nil {
			for _, observation := range s.server.options.Coordination.Observations(group.Name) {
				server, known := view.Servers[observation.Server]
				if known && observation.Reachable && !server.Leaving && server.Group == group.Name && !contains(r.avoidServers, observation.Server) &&
					observation.Replayed.Term >= group.Term {
					return view, server, nil
				}
			}
		}
	case classWrite:
	}

	return s.choosePrimary(ctx, 0)
}

// choosePrimary waits until the group has a primary, in the given term or a later one.
func (s *session) choosePrimary(ctx context.Context, term position.Term) (*registry.View, registry.Server, error) {
	for {
		view, group := s.view()
		if group != nil && group.Primary != "" && group.Term >= term {
			if server, known := view.Servers[group.Primary]; known && !server.Leaving {
				return view, server, nil
			}
		}

		if err := pause(ctx, viewPollInterval); err != nil {
			if context.Cause(ctx) == context.DeadlineExceeded { //nolint:errorlint // The cause is not wrapped.
				return nil, registry.Server{}, result.New(result.NoPrimary, "group %s has no primary for new work", s.target.group)
			}

			return nil, registry.Server{}, err
		}
	}
}

func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return notStartedError(ctx)
	case <-timer.C:
		return nil
	}
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
			return true
		}
	}

	return false
}

// chooseReadServer waits for a server that has replayed the position that the read must see.
func (s *session) chooseReadServer(ctx context.Context, r *request) (*registry.View, registry.Server, error) {
	coordination := s.server.options.Coordination

	floor, observations, err := s.readFloor(ctx, r)
	if err != nil {
		return nil, registry.Server{}, waitError(ctx, err)
	}

	begin := time.Now()
	wait := time.Duration(s.timing().ReplicaWait)
	waits := 0

	for {
		view, group := s.view()
		if group == nil || group.Term < floor.Term || group.Primary == "" {
			if view, _, err = s.choosePrimary(ctx, floor.Term); err != nil {
				return nil, registry.Server{}, err
			}

			served := view.Groups[s.target.group]
			group = &served
		}

		now := time.Now()
		wanted := s.routeRequest(r, view, group, observations, now)
		wanted.Floor, wanted.MaxWait = floor, wait-now.Sub(begin)
		choice := s.server.options.Router.Choose(wanted)

		switch choice.Kind {
		case route.Replica, route.Primary:
			if server, known := view.Servers[choice.Server]; known {
				s.recordReadChoice(choice, observations)

				return view, server, nil
			}

			return s.choosePrimary(ctx, floor.Term)
		case route.Nothing:
			// Only the primary can serve the read, and it accepts no new work at present.
			return s.choosePrimary(ctx, floor.Term)
		case route.Wait:
		}

		if waits++; waits == 1 {
			s.server.counters.increment(counterReplicaWait)
		}

		if err := pause(ctx, min(choice.Wait, viewPollInterval)); err != nil {
			return nil, registry.Server{}, err
		}

		observations = coordination.Observations(s.target.group)

		// Observations that were not requested may be half a second old.
		if latest, err := coordination.Barrier(ctx, s.target.group); err == nil {
			observations = latest.Observations
		}
	}
}

// recordReadChoice counts a read and raises the session's floor to the position that the replica has replayed, so that
// a later read does not see older data.
func (s *session) recordReadChoice(choice route.Choice, observations []Observation) {
	if choice.Kind == route.Primary {
		s.server.counters.increment(counterPrimaryReads)

		return
	}

	s.server.counters.increment(counterReplicaReads)

	for _, observation := range observations {
		if observation.Server == choice.Server {
			s.token.RaiseFloor(s.target.group, observation.Replayed)
		}
	}
}

// readFloor returns the position that a read must see, with observations of the servers.
func (s *session) readFloor(ctx context.Context, r *request) (position.Position, []Observation, error) {
	coordination := s.server.options.Coordination

	if s.floorFromToken || r.rule.Session == sessionConnection {
		if s.floorKnown {
			floor, _ := s.token.Floor(s.target.group)

			return floor, coordination.Observations(s.target.group), nil
		}
	}

	barrier, err := coordination.Barrier(ctx, s.target.group)
	if err != nil {
		return position.Position{}, nil, err
	}

	floor := barrier.Position
	if sessionFloor, found := s.token.Floor(s.target.group); found && floor.Less(sessionFloor) {
		floor = sessionFloor
	}

	if s.floorFromToken || r.rule.Session == sessionConnection {
		s.token.RaiseFloor(s.target.group, floor)
		s.floorKnown = true
	}

	return floor, barrier.Observations, nil
}
