package proxy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/core/statement"
	"almondgrade/io/backend"
	"almondgrade/io/wire"
)

// SQLSTATEs that request processing reacts to.
const (
	sqlStateReadOnly             = "25006"
	sqlStateUniqueViolation      = "23505"
	sqlStateUndefinedTable       = "42P01"
	sqlStateLockNotAvailable     = "55P03"
	sqlStateSerializationFailure = "40001"
	sqlStateAdminShutdown        = "57P01"
	sqlStateCrashShutdown        = "57P02"
	sqlStateCannotConnectNow     = "57P03"
	sqlStateQueryCanceled        = "57014"
)

const (
	// maxInlineWriteBytes is the size up to which a request is written before its answer is read. The send buffer of an
	// idle connection has room for it, so the write can't block on a server that waits for its answer to be read.
	maxInlineWriteBytes = 8 << 10
	// maxHeldAnswerBytes bounds the part of an answer that is held back until a commit is confirmed.
	maxHeldAnswerBytes = 64 << 10
	// simpleAnswerKinds are the messages of which the answer to a simple query consists, without errors and those that may
	// arrive at any time.
	simpleAnswerKinds = "TDCIGHdc"
)

// exchange is one execution of a request on one connection.
type exchange struct {
	session *session
	request *request
	lease   *connLease
	conn    *backend.Conn
	plan    *batchPlan
	// proxyTransaction is true if the proxy opened a transaction around the request, beginSent if the request's own
	// BEGIN was sent already.
	proxyTransaction bool
	beginSent        bool

	// answerStart is the position in the output to the caller at which the answer starts.
	answerStart int64
	// completedStatements counts the statements of a simple query that the server has answered.
	completedStatements int
	// inTransaction is true if an explicit transaction is open at the current point of the answer.
	inTransaction bool
	// failed is true after an error, committed after the commit of an explicit transaction.
	failed    bool
	committed bool
	// settingsUncertain is true if it is unknown whether a change of parameters is in force on the connection.
	settingsUncertain bool
	// preparedChanges are the steps of the batch that have prepared or deallocated a statement of the caller.
	preparedChanges []step
	// needsConfirmation is true once the end of a statement has been held back.
	needsConfirmation bool
	// retrySQLState is the SQLSTATE of an error that a retry may avoid, retryError the error itself.
	retrySQLState string
	retryError    pgproto3.ErrorResponse
	// writeResult receives the result of writing a long request in the background.
	writeResult chan error
	forwarder   *forwarder
}

// runExchange sends a request, relays the answer and completes it. The session keeps the lease on return if a
// transaction is open or the session is pinned.
//
//nolint:contextcheck // A confirmation and a recorded answer have deadlines of their own.
func (s *session) runExchange(ctx context.Context, r *request, lease *connLease) *failure {
	x := &exchange{session: s, request: r, lease: lease, conn: lease.conn, answerStart: s.caller.Offset(), inTransaction: s.status != statusIdle}

	if err := lease.conn.SetDeadline(r.deadline.Add(cancelGrace)); err != nil {
		return &failure{err: err, server: lease.server}
	}

	if ctx.Err() != nil {
		return &failure{err: notStartedError(ctx), permanent: true}
	}

	// The statements that record a named request can hit a silent connection as well.
	watchdog := s.startWatchdog(lease, r.batch == nil || r.batch.synced)

	answered, failed := x.beginNamedRequest()
	if answered || failed != nil {
		_ = watchdog.stop(nil)

		return failed
	}

	if s.tx.requestName != "" {
		// The statements that record the request have changed the deadline.
		if err := lease.conn.SetDeadline(r.deadline.Add(cancelGrace)); err != nil {
			_ = watchdog.stop(nil)

			return x.namedRequestFailure(err)
		}
	}

	stop := s.cancelOnDone(ctx, x.conn)
	status, err := x.run()

	if err == nil && x.proxyTransaction {
		status, err = x.endNamedRequest()
	}

	err = watchdog.stop(err)

	stop()

	if err != nil {
		return x.newFailure(err)
	}

	if x.retrySQLState != "" && s.caller.Rewind(x.answerStart) {
		return &failure{
			err: &backend.ServerError{ErrorResponse: x.retryError}, sent: true, sqlState: x.retrySQLState, server: x.serverAtFault(),
		}
	}

	return x.finish(status)
}

// serverAtFault returns the server's name, unless the server only refused a write because it is read-only.
func (x *exchange) serverAtFault() string {
	if x.retrySQLState == sqlStateReadOnly {
		return ""
	}

	return x.lease.server
}

// cancelOnDone cancels the statement on the backend server when the request's context ends. The returned function
// stops that and waits until a cancel request in progress has been delivered, so that it can't hit a later statement. It
// does not wait in a session that ends: no statement follows, and the caller must be told in time.
//
//nolint:contextcheck // The request to cancel must outlive the context that ends.
func (s *session) cancelOnDone(ctx context.Context, conn *backend.Conn) func() {
	finished := make(chan struct{})

	s.mu.Lock()
	s.runningConn = conn
	s.cancelDelivered, s.cancelCause = nil, nil

	if s.ended {
		conn.Abort()
	}
	s.mu.Unlock()

	stop := context.AfterFunc(ctx, func() {
		defer close(finished)

		s.mu.Lock()
		if s.runningConn != conn {
			s.mu.Unlock()

			return
		}

		s.cancelDelivered = finished
		s.cancelCause = context.Cause(ctx)
		conn.Taint()
		s.mu.Unlock()

		limited, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()

		_ = conn.Cancel(limited)
	})

	return func() {
		stopped := stop()

		s.mu.Lock()
		s.runningConn = nil
		s.mu.Unlock()

		if stopped {
			return
		}

		// The function may not have come to its check of runningConn, which the next statement sets again.
		select {
		case <-finished:
		case <-s.terminated:
		}
	}
}

// run sends the request, relays its answer up to ReadyForQuery and returns the transaction status.
func (x *exchange) run() (byte, error) {
	x.conn.TxStatus = 0

	if x.request.batch != nil {
		x.plan = newBatchPlan(x.session, x.conn, x.beginSent)
		for _, message := range x.request.batch.messages {
			if err := x.plan.addMessage(message); err != nil {
				return 0, &sessionError{err}
			}
		}

		if !x.request.batch.synced {
			x.forwarder = x.startForwarder(forwardBatch)
		}
	} else if err := x.conn.Send(&pgproto3.Query{String: x.request.text}); err != nil {
		return 0, err
	}

	markerSent := x.request.isComplete() && !x.request.copiesIn()
	if markerSent {
		x.conn.SendMarker()
	}

	if err := x.sendRequest(); err != nil {
		return 0, err
	}

	if x.forwarder != nil {
		x.forwarder.start()
	}

	status, err := x.relayAnswer()

	if x.forwarder != nil {
		stopped := x.forwarder.stop(err != nil)

		var session *sessionError
		if err == nil || errors.Is(stopped, errCallerGone) || errors.As(stopped, &session) {
			// The caller's side failed first, or neither side failed.
			err = stopped
		}
	}

	if x.writeResult != nil {
		if err != nil {
			_ = x.conn.SetDeadline(time.Unix(1, 0))
		}

		if failed := <-x.writeResult; err == nil {
			err = failed
		}
	}

	if err == nil {
		err = x.readMarker(markerSent)
	}

	return status, err
}

// readMarker reads the answer to the marker of the exchange, before which the answer is not certain to belong to the
// request. A marker that was not sent with the request is sent first: the server takes nothing but the caller's data while
// it waits for them.
func (x *exchange) readMarker(sent bool) error {
	if !sent {
		x.conn.SendMarker()

		if err := x.conn.Flush(); err != nil {
			return err
		}
	}

	return x.conn.ReadMarker(func(kind byte) error {
		if kind == 'S' {
			return x.relayParameterStatus()
		}

		return x.forwardMessage()
	})
}

// sendRequest writes the request. A long one is written while its answer is read, because the server may begin to
// answer a batch before it has read all of it.
func (x *exchange) sendRequest() error {
	if x.conn.PendingBytes() <= maxInlineWriteBytes {
		return x.conn.Flush()
	}

	x.writeResult = make(chan error, 1)

	go func() {
		x.writeResult <- x.conn.Flush()
	}()

	return nil
}

// relayAnswer relays messages up to ReadyForQuery and returns its transaction status.
//
//nolint:gocyclo // The conditions are the steps of one loop.
func (x *exchange) relayAnswer() (byte, error) {
	limit := x.request.deadline.Add(cancelGrace)

	// The wait for the first byte of a read is shorter, as long as another attempt is possible.
	retryPossible := x.request.class != classWrite && x.request.attempts == 1 && !x.inTransaction && x.forwarder == nil
	if silenceDeadline := time.Now().Add(silentReadTimeout); retryPossible && silenceDeadline.Before(limit) {
		if err := x.conn.SetReadDeadline(silenceDeadline); err != nil {
			return 0, err
		}

		if err := x.conn.WaitForHeader(); err != nil {
			return 0, err
		}

		if err := x.conn.SetReadDeadline(limit); err != nil {
			return 0, err
		}
	}

	for {
		// The caller expects answers to an open batch before it is complete.
		if x.conn.Buffered() == 0 && x.forwarder != nil {
			if err := x.flush(); err != nil {
				return 0, err
			}
		}

		kind, size, err := x.conn.ReadHeader()
		if err != nil {
			return 0, err
		}

		if kind == 'Z' {
			body, err := x.conn.ReadBody()
			if err != nil || size != 1 {
				return 0, errors.Join(errors.New("can't read ReadyForQuery"), err)
			}

			if !x.isAnswered() {
				return 0, errUnrequestedKind(kind)
			}

			x.conn.TxStatus = body[0]

			return body[0], nil
		}

		if err := x.relayMessage(kind); err != nil {
			return 0, err
		}

		if x.session.caller.HeldBytes() > maxHeldAnswerBytes {
			if err := x.confirmHeldAnswer(); err != nil {
				return 0, err
			}
		}

		if x.session.caller.ShouldFlush() {
			if err := x.flush(); err != nil {
				return 0, err
			}
		}
	}
}

func (x *exchange) flush() error {
	if err := x.session.caller.Flush(); err != nil {
		return errCallerGone
	}

	return nil
}

// relayMessage relays one message to the caller.
func (x *exchange) relayMessage(kind byte) error {
	if x.plan != nil {
		if completed := x.plan.takeCompleted(kind); completed != nil {
			return x.completeStep(kind, completed)
		}
	}

	if !x.expects(kind) {
		return errUnrequestedKind(kind)
	}

	switch kind {
	case 'C', 'I':
		return x.completeStatement(kind, x.nextStatement())
	case 'E':
		return x.relayError()
	case 'S':
		return x.relayParameterStatus()
	case 'G':
		if err := x.forwardMessage(); err != nil {
			return err
		}

		if err := x.flush(); err != nil {
			return err
		}

		if x.forwarder == nil {
			mode := forwardCopy
			if x.request.batch != nil {
				mode = forwardBatch
			}

			x.forwarder = x.startForwarder(mode)
			x.forwarder.copying = true
			x.forwarder.start()
		}

		return nil
	}

	return x.forwardMessage()
}

// expects reports whether a message that ends no step of a batch may arrive at this point of the answer.
func (x *exchange) expects(kind byte) bool {
	switch {
	case kind == 'E' || backend.IsAsynchronous(kind):
		return true
	case x.plan != nil:
		return x.plan.expectsPart(kind)
	}

	return strings.IndexByte(simpleAnswerKinds, kind) >= 0 && x.completedStatements < len(x.request.statements)
}

// isAnswered reports whether ReadyForQuery may arrive at this point of the answer.
func (x *exchange) isAnswered() bool {
	if x.plan != nil {
		return x.plan.isAnswered()
	}

	return x.failed || x.completedStatements > 0
}

func errUnrequestedKind(kind byte) error {
	return fmt.Errorf("%w: message %q", backend.ErrUnrequested, kind)
}

// forwardMessage forwards a message of any size.
func (x *exchange) forwardMessage() error {
	begin := x.session.caller.Offset()
	err := x.conn.Forward(x.session.caller.Writer)

	var write *wire.WriteError

	switch {
	case err == nil:
		return nil
	case errors.As(err, &write):
		return errCallerGone
	case x.session.caller.HoldsOutput():
		x.session.caller.DropHeldOutput()
	case !x.session.caller.Rewind(begin):
		// The caller has received the beginning of a message that is incomplete.
		return errCallerGone
	}

	return err
}

// completeStep relays the answer to one message of a batch.
func (x *exchange) completeStep(kind byte, completed *step) error {
	if completed.kind == stepExecute {
		if completed.replacementTag != "" {
			if err := x.conn.SkipBody(); err != nil {
				return err
			}

			return x.session.caller.Send(&pgproto3.CommandComplete{CommandTag: []byte(completed.replacementTag)})
		}

		var stmt *statement.Statement
		if completed.statement != nil {
			stmt = completed.statement.firstStatement()
		}

		return x.completeStatement(kind, stmt)
	}

	if completed.suppressed {
		return x.conn.SkipBody()
	}

	if completed.kind == stepParse && completed.statement != nil || completed.kind == stepClose && completed.deallocates {
		x.preparedChanges = append(x.preparedChanges, *completed)
	}

	return x.forwardMessage()
}

// applyPreparedChanges changes the session's prepared statements as the answer says. Another attempt of a batch must find
// them unchanged, so they change only once the caller gets the answer.
func (x *exchange) applyPreparedChanges() {
	for i := range x.preparedChanges {
		if changed := &x.preparedChanges[i]; changed.kind == stepParse {
			x.session.prepared[changed.name] = changed.statement
		} else {
			delete(x.session.prepared, changed.name)
		}
	}
}

// nextStatement returns the statement of a simple query to which the current message belongs.
func (x *exchange) nextStatement() *statement.Statement {
	if x.plan != nil || x.completedStatements >= len(x.request.statements) {
		return nil
	}

	x.completedStatements++

	return &x.request.statements[x.completedStatements-1]
}

// completeStatement relays the end of one statement, and holds it back if a commit has to be confirmed first.
func (x *exchange) completeStatement(kind byte, stmt *statement.Statement) error {
	if kind != 'C' {
		return x.forwardMessage()
	}

	body, err := x.conn.ReadBody()
	if err != nil {
		return err
	}

	tag := strings.TrimSuffix(string(body), "\x00")

	x.trackTransaction(tag, stmt)
	x.session.caller.SendRaw('C', body)

	return nil
}

// trackTransaction updates the state of the transaction and the session's parameters after a command tag.
//
//nolint:gocyclo // One case for each kind of tag.
func (x *exchange) trackTransaction(tag string, stmt *statement.Statement) {
	s := x.session
	kind := statement.Write

	if stmt != nil {
		kind = stmt.Kind
	}

	s.tx.commandTags = append(s.tx.commandTags, tag)

	switch {
	case tag == tagBegin || tag == "START TRANSACTION":
		x.inTransaction = true
		s.tx.readOnly = stmt != nil && stmt.ReadOnly
	case tag == tagCommit:
		if s.tx.wrote && x.lease.primary {
			x.holdAnswer()

			x.committed = true
		}

		s.parameters.commit()

		x.inTransaction = stmt != nil && stmt.Chain
	case tag == tagRollback && kind != statement.RollbackTo:
		s.parameters.rollback()

		x.inTransaction = stmt != nil && stmt.Chain
	case kind == statement.Write || kind == statement.CopyIn:
		s.tx.wrote, s.tx.mayHoldLocks = true, true

		x.holdImplicitCommit()
	case kind == statement.Read || kind == statement.CopyOut:
		// A query within a read-write transaction may write through a function.
		s.tx.wrote = s.tx.wrote || x.inTransaction && !s.tx.readOnly

		x.holdImplicitCommit()
	}

	if stmt == nil {
		return
	}

	s.parameters.recordStatement(stmt)

	if stmt.Name == readOnlyParameter || stmt.Kind == statement.Reset && stmt.Name == "all" {
		x.settingsUncertain = true
	}

	if stmt.Kind == statement.Discard || stmt.Kind == statement.Deallocate {
		x.conn.Prepared.Clear()
		x.settingsUncertain = true
	}

	if stmt.PinsConnection && !s.pinned {
		s.pinned = true

		s.server.counters.increment(counterSessionPinned)
	}
}

// holdAnswer holds the rest of the answer back until a commit is confirmed.
func (x *exchange) holdAnswer() {
	x.session.caller.HoldOutput()
	x.needsConfirmation = true
}

// holdImplicitCommit holds back the end of a statement that commits outside an explicit transaction.
func (x *exchange) holdImplicitCommit() {
	if x.lease.primary && x.request.class == classWrite && (!x.inTransaction || x.proxyTransaction) {
		x.holdAnswer()
	}
}

// relayError relays an error, and remembers it if a retry may avoid it.
func (x *exchange) relayError() error {
	body, err := x.conn.ReadBody()
	if err != nil {
		return err
	}

	var message pgproto3.ErrorResponse
	if err := message.Decode(body); err != nil {
		return err
	}

	if !x.failed && x.mayRetry(message.Code) && !x.session.caller.WrittenPast(x.answerStart) {
		x.retrySQLState, x.retryError = message.Code, message
	}

	x.failed = true

	if x.plan != nil {
		x.plan.skipRest()
	}

	if x.session.correctCancelText(&message) {
		return x.session.caller.Send(&message)
	}

	x.session.caller.SendRaw('E', body)

	return nil
}

// correctCancelText changes the text of the server's answer to a cancel request that the proxy has sent at the deadline, and
// reports whether it did. The server takes every cancel request for the caller's.
func (s *session) correctCancelText(message *pgproto3.ErrorResponse) bool {
	s.mu.Lock()
	cause := s.cancelCause
	s.mu.Unlock()

	if message.Code != sqlStateQueryCanceled || !errors.Is(cause, context.DeadlineExceeded) {
		return false
	}

	message.Message = "canceling statement due to statement timeout"

	return true
}

// mayRetry reports whether a request that failed with a SQLSTATE has not run, or only read, and may succeed on another
// server.
func (x *exchange) mayRetry(state string) bool {
	if x.inTransaction || x.session.pinned || x.forwarder != nil || x.proxyTransaction || x.completedStatements > 0 {
		return false
	}

	switch state {
	case sqlStateReadOnly:
		// A primary that refuses writes is about to be replaced.
		return x.request.class != classWrite || x.session.parameters.values[readOnlyParameter] == ""
	case sqlStateSerializationFailure, sqlStateAdminShutdown, sqlStateCrashShutdown, sqlStateCannotConnectNow:
		return x.request.class != classWrite && !x.lease.primary
	}

	return false
}

// relayParameterStatus relays the value of a parameter, unless it concerns only the backend connection.
func (x *exchange) relayParameterStatus() error {
	body, err := x.conn.ReadBody()
	if err != nil {
		return err
	}

	name, _, _ := strings.Cut(string(body), "\x00")
	if !isBackendParameter(name) {
		x.session.caller.SendRaw('S', body)
	}

	return nil
}

// newFailure describes an exchange that ended before ReadyForQuery.
func (x *exchange) newFailure(err error) *failure {
	x.session.caller.DropHeldOutput()

	if x.plan != nil {
		x.plan.skipRest()
	}

	answered := !x.session.caller.Rewind(x.answerStart)
	if answered {
		x.applyPreparedChanges()
	}

	failed := &failure{err: err, sent: true, answered: answered, server: x.lease.server, permanent: x.forwarder != nil}

	x.session.mu.Lock()
	if x.session.ended && !errors.Is(err, errCallerGone) {
		failed.err = errSessionEnded
	}
	x.session.mu.Unlock()

	if errors.Is(err, errCallerGone) {
		failed.server = ""
	}

	return failed
}

// finish completes a request that was answered up to ReadyForQuery: it returns the connection unless the session still
// needs it, waits for the confirmation of a commit and sends the rest of the answer.
func (x *exchange) finish(status byte) *failure {
	s := x.session
	confirm := x.lease.primary && (x.committed || !x.failed && x.needsConfirmation)

	if status == statusIdle {
		if x.failed {
			s.parameters.rollback()
		} else {
			s.parameters.commit()
		}
	}

	x.applyPreparedChanges()
	x.updateConnState(status)

	s.status = status

	switch {
	case status == statusIdle:
		s.tx = transaction{}
		s.pinned = s.pinned || x.request.rule.Pooling == poolingSession

		clear(s.portals)
		s.releaseLease(false)
	case x.plan != nil:
		for name, bound := range x.plan.portals {
			s.setPortal(name, bound)
		}
	}

	if status != statusIdle && !s.tx.mayHoldLocks {
		// A transaction that may hold locks keeps its slot: a statement that waits for such a lock may hold the last
		// slot, and the transaction could never end.
		x.lease.releaseSlot()
	}

	if confirm {
		if err := s.confirmCommits(x.request.rule.Durability, x.lease.term); err != nil {
			s.caller.DropHeldOutput()
			s.server.counters.countError(err)

			if failed := s.caller.Send(errorResponse(err)); failed != nil {
				return &failure{err: failed, permanent: true, fatal: true}
			}
		}
	}

	s.caller.ReleaseOutput()

	if err := s.sendReady(); err != nil {
		return &failure{err: errCallerGone, permanent: true}
	}

	return nil
}

// updateConnState records which settings are in force on the connection.
func (x *exchange) updateConnState(status byte) {
	if x.settingsUncertain || x.failed && len(x.request.statements) > 1 || x.session.pinned {
		x.conn.Dirty = true
	}

	if status == statusIdle && !x.conn.Dirty {
		x.conn.SettingsKey = x.session.parameters.setupSQL
	}
}

// confirmCommits waits until the commits made so far are confirmed, raises the session's position and reports it to the
// caller. The wait does not end with the caller's deadline: the commit is made, and only its answer is outstanding.
func (s *session) confirmCommits(durability string, term position.Term) error {
	limit := s.timing().ConfirmTimeout.Or(time.Duration(settings.Defaults().Timing.ConfirmTimeout))

	ctx, cancel := context.WithTimeout(s.server.stopped, limit)
	defer cancel()

	confirmed, err := s.server.options.Coordination.ConfirmCommits(ctx, s.target.group, term, durability == "primary")
	if err != nil {
		if code := result.CodeOf(err); code == result.PrimaryReplaced || code == result.NotConfirmed {
			return err
		}

		// The commit may have happened, for whatever reason the coordinator did not answer.
		return result.New(result.NotConfirmed, "the commit was not confirmed: %w", err)
	}

	s.token.RaiseFloor(s.target.group, confirmed)

	return s.caller.Send(&pgproto3.ParameterStatus{Name: statement.ParameterPrefix + "token", Value: s.token.String()})
}

// confirmHeldAnswer confirms the commits so far and releases the answer when too much of it is held back.
func (x *exchange) confirmHeldAnswer() error {
	if err := x.session.confirmCommits(x.request.rule.Durability, x.lease.term); err != nil {
		return &confirmError{err}
	}

	x.session.caller.ReleaseOutput()

	return nil
}

// confirmError is a failure to confirm a commit in the middle of an answer.
type confirmError struct {
	cause error
}

// Error implements error.
func (e *confirmError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *confirmError) Unwrap() error {
	return e.cause
}
