package proxy

import (
	"context"
	"errors"
	"maps"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/route"
	"almondgrade/core/settings"
	"almondgrade/core/statement"
	"almondgrade/io/backend"
)

// class says which server a request needs.
type class uint8

const (
	// classAny needs no particular data, such as SET.
	classAny class = iota
	// classRead needs a server that covers the session's floor.
	classRead
	// classWrite needs the primary.
	classWrite
)

// Values of a traffic rule.
const (
	poolingSession    = "session"
	sessionConnection = "connection"
)

const (
	// viewPoll is the interval at which a request that waits for a new view looks for one.
	viewPoll = 5 * time.Millisecond
	// cancelGrace is the time that a server gets to answer a cancelled statement before its connection is given up.
	cancelGrace = 2 * time.Second
	// silence is the time after which a read without any answer is tried on another connection, because an open
	// connection may have gone silent.
	silence = 5 * time.Second
)

// request is what runs on one backend connection: a simple query, or a batch up to Sync.
type request struct {
	statements []statement.Statement
	// text is the query of the simple protocol; batch is set for the extended protocol.
	text  string
	batch *batch
	class class
	rule  settings.TrafficRule
	// name is the name of the request if it may run at most once.
	name string
	// executes is true for a batch that runs something and not only prepares it.
	executes bool
	deadline time.Time
	// attempts counts the attempts so far.
	attempts int
	// avoid are the servers that failed this request.
	avoid []string
}

// failure says how an attempt failed. An attempt without a failure has been answered.
type failure struct {
	err error
	// sent is true if the statement may have reached the server, answered if the caller has seen part of the answer.
	sent     bool
	answered bool
	// state is the SQLSTATE of an answer that was kept from the caller.
	state string
	// server is the server that failed, if the server or its connection is the cause.
	server string
	// final is true if another attempt would end the same way, fatal if the session can't go on.
	final bool
	fatal bool
}

func classify(statements []statement.Statement) class {
	needed := classAny

	for i := range statements {
		switch one := &statements[i]; one.Kind {
		case statement.Read, statement.CopyOut:
			needed = max(needed, classRead)
		case statement.Begin:
			if !one.ReadOnly {
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

// serve runs a request to its answer. Its errors end the session.
func (s *session) serve(r *request) error {
	r.rule = s.rule()
	r.deadline = time.Now().Add(s.deadlineOf(r.rule))

	ctx, cancelDeadline := context.WithDeadline(context.Background(), r.deadline)
	defer cancelDeadline()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	s.mu.Lock()
	s.cancel = cancel

	if s.ended {
		cancel(errEnded)
	}
	s.mu.Unlock()

	defer func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
	}()

	s.server.counters.add(counterRequests)

	if s.status == statusIdle && r.class != classAny && (r.batch == nil || r.executes) {
		// The name counts for one request, whatever comes of it.
		r.name, s.request = s.request, ""
	}

	if r.rule.Pooling == poolingSession || r.name != "" {
		// What later statements need is not known, or a record is to be written.
		r.class = classWrite
	}

	var failed *failure

	if s.held != nil {
		failed = s.continued(ctx, r)
	} else {
		failed = s.fresh(ctx, r)
	}

	if failed == nil {
		return nil
	}

	return s.failed(ctx, r, failed)
}

// failed answers a request whose last attempt failed.
func (s *session) failed(ctx context.Context, r *request, failed *failure) error {
	err := failed.err

	var (
		session *sessionError
		confirm *confirmError
	)

	switch {
	case errors.As(err, &confirm):
		err = confirm.cause
	case failed.state != "":
		// The server refused the request; this is its answer.
	case errors.Is(err, errGone) || errors.As(err, &session):
		return err
	case failed.sent && (r.class == classWrite || s.status != statusIdle):
		err = result.New(result.ConnectionLost, "the connection to the backend server was lost after the statement was sent: %w", err)
	case failed.sent && ctx.Err() != nil:
		err = startError(ctx)
	case failed.sent:
		err = result.New(result.ServerUnreachable, "the backend server did not answer the read: %w", err)
	}

	if failed.fatal {
		return err
	}

	if failed.sent && s.status != statusIdle {
		s.status, s.lost = statusFailed, true
		s.tx = transaction{}
		s.parameters.rollback()
		s.server.counters.refused(err)

		if err := s.caller.Send(response(err)); err != nil {
			return err
		}

		return s.finishRefused(r)
	}

	return s.refuse(err, r.complete())
}

// finishRefused ends the answer to a request after its error was sent.
func (s *session) finishRefused(r *request) error {
	if r.complete() {
		return s.ready()
	}

	s.discarding = true

	return s.flush()
}

// complete reports whether the request has been received to its end.
func (r *request) complete() bool {
	return r.batch == nil || r.batch.synced
}

// continued runs a request on the connection that the session holds.
func (s *session) continued(ctx context.Context, r *request) *failure {
	held := s.held

	if s.status == statusIdle {
		// Between transactions of a pinned session.
		if err := s.mayBegin(); err != nil {
			return &failure{err: err}
		}

		if view, _ := s.view(); held.primary && primaryTerm(view, view.Servers[held.server]) != held.term {
			s.release(true)

			return &failure{fatal: true, err: result.New(result.ServerUnreachable,
				"server %s, which holds state of the session, is no longer the primary", held.server)}
		}

		if held.primary {
			r.class = classWrite
		}
	}

	if held.slot == nil {
		leave, err := s.queue(r)
		if err != nil {
			return &failure{err: err}
		}

		err = s.occupy(ctx, held, r)

		leave()

		if err != nil {
			return &failure{err: waitError(ctx, err)}
		}
	}

	return s.lostHeld(s.exchange(ctx, r, held))
}

// lostHeld gives up the held connection after a failure on it.
func (s *session) lostHeld(failed *failure) *failure {
	if failed != nil && s.held != nil {
		s.held.conn.Taint()
		s.held.put()
		s.held = nil
		failed.fatal = failed.fatal || s.pinned
	}

	return failed
}

// mayBegin reports whether new work is accepted.
func (s *session) mayBegin() error {
	coordination := s.server.options.Coordination

	switch {
	case coordination.View() == nil || !coordination.Confirmed():
		return result.New(result.Unconfirmed, "the proxy can't confirm its configuration")
	case s.server.draining.Load():
		return errDraining()
	}

	return nil
}

// fresh runs a request that begins outside a transaction, on whichever server it needs, and again if it is certain
// that it did not run or that it only read.
func (s *session) fresh(ctx context.Context, r *request) *failure {
	s.server.budget.Request(time.Now())

	for {
		// A drain lets requests in progress finish, and a further attempt belongs to the request.
		if err := s.mayBegin(); err != nil && (r.attempts == 0 || result.CodeOf(err) != result.Draining) {
			return &failure{err: err}
		}

		r.attempts++
		s.tx = transaction{}
		s.parameters.rollback()

		failed := s.attempt(ctx, r)
		if failed == nil {
			return nil
		}

		if failed.server != "" {
			if failed.state == "" {
				s.server.options.Coordination.Failed(failed.server)
			}

			if r.class != classWrite {
				r.avoid = append(r.avoid, failed.server)
			}
		}

		if !s.again(ctx, r, failed) {
			return failed
		}
	}
}

// again decides whether a failed attempt is repeated, and waits before it.
func (s *session) again(ctx context.Context, r *request, failed *failure) bool {
	counters := s.server.counters

	if failed.final || failed.answered || ctx.Err() != nil {
		return false
	}

	if failed.state == stateReadOnly && r.class != classWrite {
		// The server refused the statement, so this is its first run.
		r.class = classWrite

		counters.add(counterRetryWrite)

		return true
	}

	if failed.sent && r.class == classWrite && failed.state == "" {
		return false
	}

	if !failed.sent && !retryable(failed.err) {
		return false
	}

	if !s.server.budget.Retry(time.Now()) {
		counters.add(counterRetryDenied)

		return false
	}

	if failed.sent && r.class != classWrite {
		counters.add(counterRetryRead)
	} else {
		counters.add(counterRetryNotRun)
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

// retryable reports whether an error that kept a request from running may pass.
func retryable(err error) bool {
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

// attempt runs a request once.
func (s *session) attempt(ctx context.Context, r *request) *failure {
	view, server, err := s.choose(ctx, r)
	if err != nil {
		return &failure{err: err}
	}

	held, err := s.acquire(ctx, view, server, r)
	if err != nil {
		name := server.Name
		if result.CodeOf(err) != result.ServerUnreachable {
			name = ""
		}

		return &failure{err: err, server: name}
	}

	if err := s.prepare(held, r); err != nil {
		held.conn.Taint()
		held.put()

		return &failure{err: err, server: server.Name}
	}

	if s.server.parameters.Load() == nil {
		known := maps.Clone(held.conn.Parameters)
		s.server.parameters.Store(&known)
	}

	s.held = held

	failed := s.exchange(ctx, r, held)
	if failed != nil && s.held != nil {
		if failed.state == "" {
			held.conn.Taint()
		}

		held.put()
		s.held = nil
	}

	return failed
}

// choose returns the server for a request that begins outside a transaction.
func (s *session) choose(ctx context.Context, r *request) (*registry.View, registry.Server, error) {
	switch r.class {
	case classRead:
		return s.chooseForRead(ctx, r)
	case classAny:
		if view, group := s.view(); group != nil {
			for _, seen := range s.server.options.Coordination.Observations(group.Name) {
				server, known := view.Servers[seen.Server]
				if known && seen.Reachable && !server.Leaving && server.Group == group.Name && !contains(r.avoid, seen.Server) &&
					seen.Replayed.Term >= group.Term {
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

		if err := pause(ctx, viewPoll); err != nil {
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
		return startError(ctx)
	case <-timer.C:
		return nil
	}
}

func contains(names []string, name string) bool {
	for _, one := range names {
		if one == name {
			return true
		}
	}

	return false
}

// chooseForRead waits for a server that covers the session's floor.
func (s *session) chooseForRead(ctx context.Context, r *request) (*registry.View, registry.Server, error) {
	coordination := s.server.options.Coordination

	floor, observations, err := s.floor(ctx, r)
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
		wanted.Floor, wanted.Wait = floor, wait-now.Sub(begin)
		choice := s.server.options.Router.Choose(wanted)

		switch choice.Kind {
		case route.Replica, route.Primary:
			if server, known := view.Servers[choice.Server]; known {
				s.chosen(choice, observations)

				return view, server, nil
			}

			return s.choosePrimary(ctx, floor.Term)
		case route.Nothing:
			// Only the primary can serve the read, and it gets no new work at present.
			return s.choosePrimary(ctx, floor.Term)
		case route.Wait:
		}

		if waits++; waits == 1 {
			s.server.counters.add(counterReplicaWait)
		}

		if err := pause(ctx, min(choice.Wait, viewPoll)); err != nil {
			return nil, registry.Server{}, err
		}

		observations = coordination.Observations(s.target.group)

		// What is known without asking may be half a second old.
		if latest, err := coordination.Barrier(ctx, s.target.group); err == nil {
			observations = latest.Observations
		}
	}
}

// chosen counts a read and raises the session's floor to what the replica is known to show, so that a later read does
// not go back behind it.
func (s *session) chosen(choice route.Choice, observations []Observation) {
	if choice.Kind == route.Primary {
		s.server.counters.add(counterPrimaryReads)

		return
	}

	s.server.counters.add(counterReplicaReads)

	for _, seen := range observations {
		if seen.Server == choice.Server {
			s.token.RaiseFloor(s.target.group, seen.Replayed)
		}
	}
}

// floor returns the position that a read must see, with what is known of the servers.
func (s *session) floor(ctx context.Context, r *request) (position.Position, []Observation, error) {
	coordination := s.server.options.Coordination

	if s.anchored || r.rule.Session == sessionConnection {
		if s.begun {
			floor, _ := s.token.Floor(s.target.group)

			return floor, coordination.Observations(s.target.group), nil
		}
	}

	barrier, err := coordination.Barrier(ctx, s.target.group)
	if err != nil {
		return position.Position{}, nil, err
	}

	floor := barrier.Position
	if own, found := s.token.Floor(s.target.group); found && floor.Less(own) {
		floor = own
	}

	if s.anchored || r.rule.Session == sessionConnection {
		s.token.RaiseFloor(s.target.group, floor)
		s.begun = true
	}

	return floor, barrier.Observations, nil
}
