package standin

import (
	"context"
	"database/sql"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// session is one connection of a client.
type session struct {
	srv      *server
	link     *link
	back     *pgproto3.Backend
	env      *environment
	conn     *sql.Conn
	pid      uint32
	secret   uint32
	user     string
	database string
	started  time.Time
	ctx      context.Context
	end      context.CancelCauseFunc
	tx       txState
	settings settings
	// temporary holds the names of the session's temporary tables.
	temporary  map[string]bool
	statements map[string]*prepared
	portals    map[string]*portal
	hasSlot    bool
	pending    int // bytes sent but not flushed

	mu          sync.Mutex
	application string
	state       string
	query       string
	stopRunning context.CancelCauseFunc // nil while no statement runs
}

// flushBytes is the amount of buffered output that is written at once while rows are streamed.
const flushBytes = 1 << 14

// serve runs the protocol on a new connection.
func (srv *server) serve(conn net.Conn) {
	l := newLink(conn, srv.member.faults, "")
	defer func() { _ = l.Close() }()

	unhook := context.AfterFunc(srv.ctx, func() { _ = l.Close() })
	defer unhook()

	back := pgproto3.NewBackend(l, l)
	_ = l.SetReadDeadline(time.Now().Add(startedWithin))

	startup, err := srv.startup(l, back)
	if err != nil || startup == nil {
		return
	}

	_ = l.SetReadDeadline(time.Time{})

	if startup.Parameters[replicationUser] == "true" {
		srv.serveReplica(l, back, startup.Parameters[applicationName])
		return
	}

	s := &session{
		srv: srv, link: l, back: back, secret: rand.Uint32(), user: startup.Parameters["user"],
		database: startup.Parameters["database"], application: startup.Parameters[applicationName],
		started: time.Now(), state: "idle", temporary: map[string]bool{}, statements: map[string]*prepared{},
		portals: map[string]*portal{},
	}
	s.ctx, s.end = context.WithCancelCause(srv.ctx)
	l.whenLost(func() { time.AfterFunc(srv.member.options.LostTimeout, s.terminate) })

	if s.database == "" {
		s.database = s.user
	}

	if err := s.run(startup.Parameters); err != nil {
		srv.log.Debug("session ended", "pid", s.pid, "application", s.application, "error", err)
	}
}

// startup answers what may come before the startup message. It returns nil for a cancel request.
func (srv *server) startup(l *link, back *pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		message, err := back.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}

		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := l.Write([]byte("N")); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			if len(message.SecretKey) == 4 {
				srv.cancel(message.ProcessID, uint32FromKey(message.SecretKey))
			}

			return nil, nil
		case *pgproto3.StartupMessage:
			l.setPeer(message.Parameters[applicationName])
			return message, nil
		}
	}
}

func (srv *server) serveReplica(l *link, back *pgproto3.Backend, application string) {
	message, err := back.Receive()
	if err != nil {
		return
	}

	query, ok := message.(*pgproto3.Query)
	if !ok || !strings.HasPrefix(query.String, replicationPrefix) {
		return
	}

	err = srv.stream(l, back, application, strings.TrimPrefix(query.String, replicationPrefix))

	var refused *sqlError
	if errors.As(err, &refused) {
		back.Send(refused.response())
		_ = back.Flush()
	}
}

func (e *sqlError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}

	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.state, Message: e.message}
}

// run serves the session until it ends.
func (s *session) run(parameters map[string]string) error {
	if err := s.srv.enter(s); err != nil {
		return s.refuse(err)
	}

	defer s.srv.leave(s)

	if err := sleep(s.ctx, s.srv.member.options.ConnectCost); err != nil {
		return err
	}

	s.env = newEnvironment(s.srv, s)
	defer s.env.close()

	var err error
	if s.conn, err = s.srv.db.Conn(s.ctx); err != nil {
		return s.refuse(err)
	}

	defer s.cleanup()

	if err := s.welcome(parameters); err != nil {
		return s.refuse(err)
	}

	for {
		message, err := s.back.Receive()

		if cause := context.Cause(s.ctx); cause != nil {
			return s.refuse(cause)
		}

		if err != nil {
			return err
		}

		if done, err := s.handle(message); done || err != nil {
			if cause := context.Cause(s.ctx); cause != nil {
				return s.refuse(cause)
			}

			return err
		}
	}
}

// refuse ends the session with an error message.
func (s *session) refuse(err error) error {
	fatal := *describeError(err)
	fatal.fatal = true
	s.back.Send(fatal.response())

	return errors.Join(err, s.back.Flush())
}

// cleanup gives back all that the session holds.
func (s *session) cleanup() {
	s.closePortals()
	s.rollback()
	s.srv.advisory.unlockAll(s, false)
	s.releaseSlot()
	discard(s.conn)
}

func (s *session) welcome(parameters map[string]string) error {
	s.settings.init()

	for name, value := range parameters {
		if name == "user" || name == "database" || name == replicationUser || name == "options" {
			continue
		}

		if err := s.set(name, value, false); err != nil {
			return err
		}
	}

	s.settings.asDefaults()
	s.back.Send(&pgproto3.AuthenticationOk{})

	for _, name := range reported {
		value, _ := s.show(name)
		s.back.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}

	s.back.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: keyFromUint32(s.secret)})

	return s.ready()
}

// ready ends the answer to a request.
func (s *session) ready() error {
	status, state := byte('I'), "idle"

	if s.tx.block {
		status, state = 'T', "idle in transaction"
	}

	if s.tx.failed {
		status, state = 'E', "idle in transaction (aborted)"
	}

	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.back.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.pending = 0

	return s.back.Flush()
}

// handle answers one message; done is true when the client leaves.
func (s *session) handle(message pgproto3.FrontendMessage) (done bool, err error) {
	switch message := message.(type) {
	case *pgproto3.Query:
		return false, s.simple(message.String)
	case *pgproto3.Parse:
		err = s.parse(message)
	case *pgproto3.Bind:
		err = s.bind(message)
	case *pgproto3.Describe:
		err = s.describe(message)
	case *pgproto3.Execute:
		err = s.executePortal(message)
	case *pgproto3.Close:
		s.closeNamed(message.ObjectType, message.Name)
		s.back.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return false, s.back.Flush()
	case *pgproto3.Sync:
		return false, s.sync()
	case *pgproto3.Terminate:
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil // Left over from a COPY that failed.
	default:
		err = errorf(stateProtocol, "unexpected message %T", message)
	}

	if err == nil {
		return false, nil
	}

	if err := s.fail(err); err != nil {
		return false, err
	}

	return s.skipToSync()
}

// skipToSync ignores messages after an error in the extended protocol.
func (s *session) skipToSync() (done bool, err error) {
	if err := s.back.Flush(); err != nil {
		return false, err
	}

	for {
		message, err := s.back.Receive()
		if err != nil {
			return false, err
		}

		switch message.(type) {
		case *pgproto3.Sync:
			return false, s.sync()
		case *pgproto3.Terminate:
			return true, nil
		}
	}
}

// fail reports an error to the client and aborts the transaction. It returns an error if the session must end.
func (s *session) fail(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}

	described := describeError(err)
	s.closePortals()
	s.releaseSlot()

	if s.tx.block {
		s.tx.failed = true
	} else {
		s.rollback()
	}

	s.back.Send(described.response())

	if described.fatal {
		return described
	}

	return nil
}

// simple answers a Query message: the statements run in one transaction unless they say otherwise.
func (s *session) simple(query string) error {
	parts := split(query)
	if len(parts) == 0 {
		s.back.Send(&pgproto3.EmptyQueryResponse{})
	}

	for i, part := range parts {
		if err := s.simpleStatement(part, i == len(parts)-1); err != nil {
			if err := s.fail(err); err != nil {
				return err
			}

			break
		}
	}

	return s.ready()
}

func (s *session) simpleStatement(part []token, last bool) error {
	st, err := analyse(part)
	if err != nil {
		return err
	}

	if st.verb == verbCopy {
		return s.copy(st)
	}

	cur, err := s.open(st, nil)
	if err != nil {
		return err
	}
	defer cur.close()

	if cur.columns != nil {
		s.back.Send(rowDescription(cur.columns, nil))
	}

	if _, err := s.sendRows(cur, nil, 0); err != nil {
		return err
	}

	cur.close()
	s.releaseSlot()

	if last && !s.tx.block {
		if err := s.commit(); err != nil {
			return err
		}
	}

	if st.tag == "" {
		s.back.Send(&pgproto3.EmptyQueryResponse{})
	} else {
		s.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(cur.tag())})
	}

	return nil
}

// sendRows streams rows, at most limit if it is not zero. It reports whether all rows were sent.
func (s *session) sendRows(cur *cursor, formats []int16, limit uint32) (all bool, err error) {
	for sent := uint32(0); limit == 0 || sent < limit; sent++ {
		values, err := cur.next()
		if err != nil {
			return false, err
		}

		if values == nil {
			return true, nil
		}

		row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
		for i, value := range values {
			if row.Values[i], err = encodeValue(value, cur.columns[i].oid, formatOf(formats, i)); err != nil {
				return false, err
			}

			s.pending += len(row.Values[i])
		}

		s.back.Send(row)

		if s.pending > flushBytes {
			s.pending = 0

			if err := s.back.Flush(); err != nil {
				return false, err
			}
		}
	}

	return false, nil
}

// startStatement returns the context of a statement; finish must be called at its end.
func (s *session) startStatement(query string) (ctx context.Context, finish func()) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	timeout := s.timeout()

	if timeout > 0 {
		timer := time.AfterFunc(timeout, func() { cancel(errTimeout) })
		finish = func() {
			timer.Stop()
			s.finishStatement()
			cancel(nil)
		}
	} else {
		finish = func() {
			s.finishStatement()
			cancel(nil)
		}
	}

	s.mu.Lock()
	s.stopRunning, s.state, s.query = cancel, "active", query
	s.mu.Unlock()

	return ctx, finish
}

func (s *session) finishStatement() {
	s.mu.Lock()
	s.stopRunning = nil
	s.mu.Unlock()
}

// cancel ends the running statement, if any.
func (s *session) cancel(cause error) {
	s.mu.Lock()
	stop := s.stopRunning
	s.mu.Unlock()

	if stop != nil {
		stop(cause)
	}
}

// terminate ends the session.
func (s *session) terminate() {
	s.end(errTerminated)
	_ = s.link.SetReadDeadline(time.Unix(1, 0))
	_ = s.link.SetWriteDeadline(time.Now().Add(terminateWithin))

	out, _ := s.srv.member.faults.blocked(*s.link.peer.Load(), Out)
	in, _ := s.srv.member.faults.blocked(*s.link.peer.Load(), In)

	if in || out || s.link.lost.Load() {
		_ = s.link.Close()
	}
}

// terminateWithin bounds the time for telling a client that its session ends.
const terminateWithin = 200 * time.Millisecond

func (s *session) activity() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()

	return map[string]any{
		"pid": s.pid, "datname": s.database, userName: s.user, applicationName: s.application, "state": s.state,
		"query": s.query, clientAddress: s.link.RemoteAddr().String(), "backend_type": "client backend",
	}
}

func (s *session) acquireSlot(ctx context.Context, resume bool) error {
	if s.hasSlot {
		return nil
	}

	if err := s.srv.member.slots.acquire(ctx, resume); err != nil {
		return err
	}

	s.hasSlot = true

	return nil
}

func (s *session) releaseSlot() {
	if s.hasSlot {
		s.hasSlot = false
		s.srv.member.slots.release()
	}
}

// withoutSlot waits for a lock without occupying a slot, since the holder of the lock may need the slot to go on. The
// parameter lock_timeout bounds the wait.
func (s *session) withoutSlot(ctx context.Context, wait func(ctx context.Context) error) error {
	limited := ctx

	if period := s.period("lock_timeout"); period > 0 {
		var cancel context.CancelFunc

		limited, cancel = context.WithTimeoutCause(ctx, period, errLockTimeout)
		defer cancel()
	}

	if !s.hasSlot {
		return wait(limited)
	}

	s.releaseSlot()

	if err := wait(limited); err != nil {
		return err
	}

	return s.acquireSlot(ctx, true)
}
