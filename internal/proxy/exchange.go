package proxy

import (
	"context"
	"errors"
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

// SQLSTATEs that the path of a request acts on.
const (
	stateReadOnly      = "25006"
	stateUnique        = "23505"
	stateNoTable       = "42P01"
	stateLockTimeout   = "55P03"
	stateSerialization = "40001"
	stateShutdown      = "57P01"
	stateCrash         = "57P02"
	stateStarting      = "57P03"
)

const (
	// inlineBytes is the size up to which a request is written before its answer is read. The send buffer of an
	// idle connection holds it, so the write can't wait for a server that waits for its answer to be read.
	inlineBytes = 8 << 10
	// holdBytes bounds the answer that is held back until a commit is confirmed.
	holdBytes = 64 << 10
)

// exchange is one run of a request on one connection.
type exchange struct {
	s    *session
	r    *request
	held *lease
	conn *backend.Conn
	plan *plan
	// wrapped is true if the request runs in a transaction of the proxy, begun if its BEGIN was sent already.
	wrapped bool
	begun   bool

	// mark is the position of the caller's answer at the begin of the run.
	mark int64
	// index counts the completed statements of a simple query.
	index int
	// open is true while an explicit transaction is open at this point of the answer.
	open bool
	// failed is true after an error, committed after the commit of an explicit transaction.
	failed    bool
	committed bool
	// unsure is true if a change of parameters may or may not be in force on the connection.
	unsure bool
	// unconfirmed is true after an end of statement that was held back.
	unconfirmed bool
	// state is the SQLSTATE of an error that another attempt may avoid.
	state   string
	refusal pgproto3.ErrorResponse
	// written receives the result of writing a long request.
	written chan error
	forward *forwarder
}

// exchange sends a request, passes the answer on and ends it. The session holds the lease on return if a transaction
// is open or the session is pinned.
//
//nolint:contextcheck // A confirmation and a recorded answer have deadlines of their own.
func (s *session) exchange(ctx context.Context, r *request, held *lease) *failure {
	x := &exchange{s: s, r: r, held: held, conn: held.conn, mark: s.caller.Offset(), open: s.status != statusIdle}

	if err := held.conn.SetDeadline(r.deadline.Add(cancelGrace)); err != nil {
		return &failure{err: err, server: held.server}
	}

	if ctx.Err() != nil {
		return &failure{err: startError(ctx), final: true}
	}

	// The statements that record a named request can meet a silent connection, too.
	watched := s.watchSilence(held, r.batch == nil || r.batch.synced)

	done, failed := x.beginOnce()
	if done || failed != nil {
		_ = watched.end(nil)

		return failed
	}

	stop := s.guard(ctx, x.conn)
	status, err := x.run()

	if err == nil && x.wrapped {
		status, err = x.endOnce()
	}

	err = watched.end(err)

	stop()

	if err != nil {
		return x.failure(err)
	}

	if x.state != "" && s.caller.Rewind(x.mark) {
		return &failure{
			err: &backend.ServerError{ErrorResponse: x.refusal}, sent: true, state: x.state, server: x.serverAtFault(),
		}
	}

	return x.finish(status)
}

// serverAtFault returns the server's name unless the request itself is the cause of the error.
func (x *exchange) serverAtFault() string {
	if x.state == stateReadOnly {
		return ""
	}

	return x.held.server
}

// guard cancels the statement on the backend server when the request's context ends. The returned function ends the
// guard and waits until a cancel request that was begun has been delivered, so that it can't hit a later statement.
//
//nolint:contextcheck // The request to cancel must outlive the context that ends.
func (s *session) guard(ctx context.Context, conn *backend.Conn) func() {
	s.mu.Lock()
	s.running = conn
	s.cancelling = nil

	if s.ended {
		conn.Taint()
		_ = conn.SetDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()

	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		if s.running != conn {
			s.mu.Unlock()

			return
		}

		delivered := make(chan struct{})
		s.cancelling = delivered
		conn.Taint()
		s.mu.Unlock()

		limited, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		defer close(delivered)

		_ = conn.Cancel(limited)
	})

	return func() {
		stop()
		s.mu.Lock()
		s.running = nil
		delivered := s.cancelling
		s.mu.Unlock()

		if delivered != nil {
			<-delivered
		}
	}
}

// run sends the request and relays its answer up to ReadyForQuery.
func (x *exchange) run() (byte, error) {
	x.conn.TxStatus = 0

	if x.r.batch != nil {
		x.plan = newPlan(x.s, x.conn, x.begun)
		for _, one := range x.r.batch.items {
			if err := x.plan.add(one); err != nil {
				return 0, &sessionError{err}
			}
		}

		if !x.r.batch.synced {
			x.forward = x.startForwarder(forwardBatch)
		}
	} else if err := x.conn.Send(&pgproto3.Query{String: x.r.text}); err != nil {
		return 0, err
	}

	if err := x.send(); err != nil {
		return 0, err
	}

	if x.forward != nil {
		x.forward.start()
	}

	status, err := x.relay()

	if x.forward != nil {
		stopped := x.forward.stop(err != nil)

		var session *sessionError
		if err == nil || errors.Is(stopped, errGone) || errors.As(stopped, &session) {
			// The caller's side failed first, or nothing did.
			err = stopped
		}
	}

	if x.written != nil {
		if err != nil {
			_ = x.conn.SetDeadline(time.Unix(1, 0))
		}

		if failed := <-x.written; err == nil {
			err = failed
		}
	}

	return status, err
}

// send writes the request. A long one is written while its answer is read: the server may begin to answer a batch
// before it has read all of it.
func (x *exchange) send() error {
	if x.conn.PendingBytes() <= inlineBytes {
		return x.conn.Flush()
	}

	x.written = make(chan error, 1)

	go func() {
		x.written <- x.conn.Flush()
	}()

	return nil
}

// relay passes messages on until ReadyForQuery and returns its status.
//
//nolint:gocyclo // The conditions are the steps of one loop.
func (x *exchange) relay() (byte, error) {
	limit := x.r.deadline.Add(cancelGrace)

	// The first byte of a read is awaited for a shorter time, as long as another attempt is possible.
	first := x.r.class != classWrite && x.r.attempts == 1 && !x.open && x.forward == nil
	if early := time.Now().Add(silence); first && early.Before(limit) {
		if err := x.conn.SetReadDeadline(early); err != nil {
			return 0, err
		}

		if err := x.conn.WaitForHeader(); err != nil {
			return 0, err
		}

		if err := x.s.extend(x.conn, limit); err != nil {
			return 0, err
		}
	}

	for {
		// An open batch expects answers before it is complete.
		if x.conn.Buffered() == 0 && x.forward != nil {
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
				return 0, errors.Join(errors.New("ReadyForQuery can't be read"), err)
			}

			x.conn.TxStatus = body[0]

			return body[0], nil
		}

		if err := x.message(kind); err != nil {
			return 0, err
		}

		if x.s.caller.HeldBytes() > holdBytes {
			if err := x.confirmEarly(); err != nil {
				return 0, err
			}
		}

		if x.s.caller.ShouldFlush() {
			if err := x.flush(); err != nil {
				return 0, err
			}
		}
	}
}

func (x *exchange) flush() error {
	if err := x.s.caller.Flush(); err != nil {
		return errGone
	}

	return nil
}

// extend moves the deadline for reads from a connection, unless the session was ended.
func (s *session) extend(conn *backend.Conn, deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.ended {
		return errEnded
	}

	return conn.SetReadDeadline(deadline)
}

// message passes one message on.
func (x *exchange) message(kind byte) error {
	if x.plan != nil {
		if done := x.plan.answered(kind); done != nil {
			return x.step(kind, done)
		}
	}

	switch kind {
	case 'C', 's', 'I':
		return x.completed(kind, x.simpleStatement())
	case 'E':
		return x.serverError()
	case 'S':
		return x.parameter()
	case 'G':
		if err := x.pass(); err != nil {
			return err
		}

		if err := x.flush(); err != nil {
			return err
		}

		if x.forward == nil {
			mode := forwardCopy
			if x.r.batch != nil {
				mode = forwardBatch
			}

			x.forward = x.startForwarder(mode)
			x.forward.copying = true
			x.forward.start()
		}

		return nil
	}

	return x.pass()
}

// pass forwards a message of any size.
func (x *exchange) pass() error {
	begin := x.s.caller.Offset()
	err := x.conn.Forward(x.s.caller.Writer)

	var write *wire.WriteError

	switch {
	case err == nil:
		return nil
	case errors.As(err, &write):
		return errGone
	case x.s.caller.HoldsOutput():
		x.s.caller.DropHeldOutput()
	case !x.s.caller.Rewind(begin):
		// The caller has seen the beginning of a message that has no end.
		return errGone
	}

	return err
}

// step passes on the answer to one message of a batch.
func (x *exchange) step(kind byte, done *step) error {
	if done.kind == stepExecute {
		if done.replaced != "" {
			if err := x.conn.SkipBody(); err != nil {
				return err
			}

			return x.s.caller.Send(&pgproto3.CommandComplete{CommandTag: []byte(done.replaced)})
		}

		var one *statement.Statement
		if done.statement != nil {
			one = done.statement.first()
		}

		return x.completed(kind, one)
	}

	if done.swallow {
		return x.conn.SkipBody()
	}

	switch {
	case done.kind == stepParse && done.statement != nil:
		x.s.prepared[done.name] = done.statement
	case done.kind == stepClose && done.forget:
		delete(x.s.prepared, done.name)
	}

	return x.pass()
}

// simpleStatement returns the statement of a simple query that the server answers now.
func (x *exchange) simpleStatement() *statement.Statement {
	if x.plan != nil || x.index >= len(x.r.statements) {
		return nil
	}

	x.index++

	return &x.r.statements[x.index-1]
}

// completed passes on the end of one statement, and holds it back if a commit needs to be confirmed first.
func (x *exchange) completed(kind byte, done *statement.Statement) error {
	if kind != 'C' {
		return x.pass()
	}

	body, err := x.conn.ReadBody()
	if err != nil {
		return err
	}

	tag := strings.TrimSuffix(string(body), "\x00")

	x.note(tag, done)
	x.s.caller.SendRaw('C', body)

	return nil
}

// note follows the state of the transaction through a command tag.
//
//nolint:gocyclo // One case for each kind of tag.
func (x *exchange) note(tag string, done *statement.Statement) {
	s := x.s
	kind := statement.Write

	if done != nil {
		kind = done.Kind
	}

	s.tx.tags = append(s.tx.tags, tag)

	switch {
	case tag == tagBegin || tag == "START TRANSACTION":
		x.open = true
		s.tx.readOnly = done != nil && done.ReadOnly
	case tag == tagCommit:
		if s.tx.wrote && x.held.primary {
			x.hold()

			x.committed = true
		}

		s.parameters.commit()

		x.open = done != nil && done.Chain
	case tag == tagRollback && kind != statement.RollbackTo:
		s.parameters.rollback()

		x.open = done != nil && done.Chain
	case kind == statement.Write || kind == statement.Copy:
		s.tx.wrote, s.tx.locks = true, true

		x.holdImplicit()
	case kind == statement.Read || kind == statement.CopyOut:
		// A query within a read-write transaction may write through a function.
		s.tx.wrote = s.tx.wrote || x.open && !s.tx.readOnly

		x.holdImplicit()
	}

	if done == nil {
		return
	}

	s.parameters.note(done)

	if done.Name == readOnlyParameter || done.Kind == statement.Reset && done.Name == "all" {
		x.unsure = true
	}

	if done.Kind == statement.Discard || done.Kind == statement.Deallocate {
		x.conn.Prepared.Clear()
		x.unsure = true
	}

	if done.Pins && !s.pinned {
		s.pinned = true

		s.server.counters.add(counterPinned)
	}
}

// hold keeps the rest of the answer back until a commit is confirmed.
func (x *exchange) hold() {
	x.s.caller.HoldOutput()
	x.unconfirmed = true
}

// holdImplicit holds the end of a statement back that commits by itself.
func (x *exchange) holdImplicit() {
	if x.held.primary && x.r.class == classWrite && (!x.open || x.wrapped) {
		x.hold()
	}
}

// serverError passes an error on, or keeps it if another attempt may avoid it.
func (x *exchange) serverError() error {
	body, err := x.conn.ReadBody()
	if err != nil {
		return err
	}

	var message pgproto3.ErrorResponse
	if err := message.Decode(body); err != nil {
		return err
	}

	if !x.failed && x.mayRepeat(message.Code) && !x.s.caller.WrittenPast(x.mark) {
		x.state, x.refusal = message.Code, message
	}

	x.failed = true

	if x.plan != nil {
		x.plan.fail()
	}

	x.s.caller.SendRaw('E', body)

	return nil
}

// mayRepeat reports whether a request that failed with a SQLSTATE has not run, or only read, and may do better
// elsewhere.
func (x *exchange) mayRepeat(state string) bool {
	if x.open || x.s.pinned || x.forward != nil || x.wrapped || x.index > 0 {
		return false
	}

	switch state {
	case stateReadOnly:
		// A primary that refuses writes is about to be replaced.
		return x.r.class != classWrite || x.s.parameters.values[readOnlyParameter] == ""
	case stateSerialization, stateShutdown, stateCrash, stateStarting:
		return x.r.class != classWrite && !x.held.primary
	}

	return false
}

// parameter passes on what the server reports of a parameter.
func (x *exchange) parameter() error {
	body, err := x.conn.ReadBody()
	if err != nil {
		return err
	}

	name, _, _ := strings.Cut(string(body), "\x00")
	if !hidden(name) {
		x.s.caller.SendRaw('S', body)
	}

	return nil
}

// failure describes a run that broke off.
func (x *exchange) failure(err error) *failure {
	x.s.caller.DropHeldOutput()

	if x.plan != nil {
		x.plan.fail()
	}

	answered := !x.s.caller.Rewind(x.mark)
	failed := &failure{err: err, sent: true, answered: answered, server: x.held.server, final: x.forward != nil}

	x.s.mu.Lock()
	if x.s.ended && !errors.Is(err, errGone) {
		failed.err = errEnded
	}
	x.s.mu.Unlock()

	if errors.Is(err, errGone) {
		failed.server = ""
	}

	return failed
}

// finish ends a request that was answered up to ReadyForQuery: it returns the connection if nothing keeps it, has
// the commit confirmed and tells the caller.
func (x *exchange) finish(status byte) *failure {
	s := x.s
	confirm := x.held.primary && (x.committed || !x.failed && x.unconfirmed)

	if status == statusIdle {
		if x.failed {
			s.parameters.rollback()
		} else {
			s.parameters.commit()
		}
	}

	x.settle(status)

	s.status = status

	switch {
	case status == statusIdle:
		s.tx = transaction{}
		s.pinned = s.pinned || x.r.rule.Pooling == poolingSession

		clear(s.portals)
		s.release(false)
	case x.plan != nil:
		for name, bound := range x.plan.portals {
			s.setPortal(name, bound)
		}
	}

	if status != statusIdle && !s.tx.locks {
		// A transaction that may hold locks keeps its slot: a statement that waits for such a lock may have the
		// last slot, and the transaction could never end.
		x.held.free()
	}

	if confirm {
		if err := s.confirm(x.r.rule.Durability, x.held.term); err != nil {
			s.caller.DropHeldOutput()
			s.server.counters.refused(err)

			if failed := s.caller.Send(response(err)); failed != nil {
				return &failure{err: failed, final: true, fatal: true}
			}
		}
	}

	s.caller.ReleaseOutput()

	if err := s.ready(); err != nil {
		return &failure{err: errGone, final: true}
	}

	return nil
}

// settle notes which settings are in force on the connection.
func (x *exchange) settle(status byte) {
	if x.unsure || x.failed && len(x.r.statements) > 1 || x.s.pinned {
		x.conn.Dirty = true
	}

	if status == statusIdle && !x.conn.Dirty {
		x.conn.SettingsKey = x.s.parameters.key
	}
}

// confirm waits until the commits made so far are safe, raises the session's position and reports it to the caller.
// The wait does not end with the caller's deadline: the commit is made, and only its answer is open.
func (s *session) confirm(durability string, term position.Term) error {
	limit := s.timing().ConfirmTimeout.Or(time.Duration(settings.Defaults().Timing.ConfirmTimeout))

	ctx, cancel := context.WithTimeout(s.server.stopped, limit)
	defer cancel()

	confirmed, err := s.server.options.Coordination.Confirm(ctx, s.target.group, term, durability == "primary")
	if err != nil {
		if code := result.CodeOf(err); code == result.PrimaryReplaced || code == result.NotConfirmed {
			return err
		}

		// Whatever kept the coordinator from an answer, the commit may have happened.
		return result.New(result.NotConfirmed, "the commit was not confirmed: %w", err)
	}

	s.token.Raise(s.target.group, confirmed)

	return s.caller.Send(&pgproto3.ParameterStatus{Name: statement.Prefix + "token", Value: s.token.String()})
}

// confirmEarly is called when too much of an answer is held back.
func (x *exchange) confirmEarly() error {
	if err := x.s.confirm(x.r.rule.Durability, x.held.term); err != nil {
		return &confirmError{err}
	}

	x.s.caller.ReleaseOutput()

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
