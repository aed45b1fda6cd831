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

// session is the session of one client connection.
type session struct {
	srv        *server
	link       *link
	backend    *pgproto3.Backend
	env        *environment
	sqliteConn *sql.Conn
	pid        uint32
	secret     uint32
	user       string
	database   string
	started    time.Time
	ctx        context.Context
	end        context.CancelCauseFunc
	tx         txState
	settings   settings
	// temporaryTables holds the names of the session's temporary tables.
	temporaryTables    map[string]bool
	preparedStatements map[string]*preparedStatement
	portals            map[string]*portal
	hasSlot            bool
	unflushedBytes     int // bytes sent but not flushed

	mu            sync.Mutex
	application   string
	state         string
	query         string
	cancelRunning context.CancelCauseFunc // nil while no statement runs
}

// flushThresholdBytes is the amount of buffered output above which streamed rows are flushed.
const flushThresholdBytes = 1 << 14

// serveConn handles a new connection until it ends.
func (srv *server) serveConn(conn net.Conn) {
	l := newLink(conn, srv.member.faults, "")
	defer func() { _ = l.Close() }()

	stopWatching := context.AfterFunc(srv.ctx, func() { _ = l.Close() })
	defer stopWatching()

	backend := pgproto3.NewBackend(l, l)
	_ = l.SetReadDeadline(time.Now().Add(startupTimeout))

	startup, err := srv.startup(l, backend)
	if err != nil || startup == nil {
		return
	}

	_ = l.SetReadDeadline(time.Time{})

	if startup.Parameters[replicationUser] == "true" {
		srv.serveReplica(l, backend, startup.Parameters[applicationName])
		return
	}

	s := &session{
		srv: srv, link: l, backend: backend, secret: rand.Uint32(), user: startup.Parameters["user"],
		database: startup.Parameters["database"], application: startup.Parameters[applicationName],
		started: time.Now(), state: "idle", temporaryTables: map[string]bool{}, preparedStatements: map[string]*preparedStatement{},
		portals: map[string]*portal{},
	}
	s.ctx, s.end = context.WithCancelCause(srv.ctx)
	l.setOnLoss(func() { time.AfterFunc(srv.member.options.LostConnectionTimeout, s.terminate) })

	if s.database == "" {
		s.database = s.user
	}

	if err := s.run(startup.Parameters); err != nil {
		srv.log.Debug("session ended", "pid", s.pid, "application", s.application, "error", err)
	}
}

// startup handles requests up to and including the startup message, which it returns. It returns nil for a cancel
// request.
func (srv *server) startup(l *link, backend *pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		message, err := backend.ReceiveStartupMessage()
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
				srv.cancelStatement(message.ProcessID, uint32FromKey(message.SecretKey))
			}

			return nil, nil
		case *pgproto3.StartupMessage:
			l.setPeer(message.Parameters[applicationName])
			return message, nil
		}
	}
}

func (srv *server) serveReplica(l *link, backend *pgproto3.Backend, application string) {
	message, err := backend.Receive()
	if err != nil {
		return
	}

	query, ok := message.(*pgproto3.Query)
	if !ok || !strings.HasPrefix(query.String, replicationPrefix) {
		return
	}

	err = srv.streamLog(l, backend, application, strings.TrimPrefix(query.String, replicationPrefix))

	var refused *sqlError
	if errors.As(err, &refused) {
		backend.Send(refused.response())
		_ = backend.Flush()
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
	if err := s.srv.addSession(s); err != nil {
		return s.sendFatal(err)
	}

	defer s.srv.removeSession(s)

	if err := sleep(s.ctx, s.srv.member.options.ConnectCost); err != nil {
		return err
	}

	s.env = newEnvironment(s.srv, s)
	defer s.env.close()

	var err error
	if s.sqliteConn, err = s.srv.db.Conn(s.ctx); err != nil {
		return s.sendFatal(err)
	}

	defer s.cleanup()

	if err := s.completeStartup(parameters); err != nil {
		return s.sendFatal(err)
	}

	for {
		message, err := s.backend.Receive()

		if cause := context.Cause(s.ctx); cause != nil {
			return s.sendFatal(cause)
		}

		if err != nil {
			return err
		}

		if done, err := s.handleMessage(message); done || err != nil {
			if cause := context.Cause(s.ctx); cause != nil {
				return s.sendFatal(cause)
			}

			return err
		}
	}
}

// sendFatal sends the error that ends the session and returns it.
func (s *session) sendFatal(err error) error {
	fatal := *describeError(err)
	fatal.fatal = true
	s.backend.Send(fatal.response())

	return errors.Join(err, s.backend.Flush())
}

// cleanup releases all resources and locks of the session.
func (s *session) cleanup() {
	s.closePortals()
	s.rollback()
	s.srv.advisory.unlockAll(s, false)
	s.releaseSlot()
	closeConn(s.sqliteConn)
}

func (s *session) completeStartup(parameters map[string]string) error {
	s.settings.init()

	for name, value := range parameters {
		if name == "user" || name == "database" || name == replicationUser || name == "options" {
			continue
		}

		if err := s.setParameter(name, value, false); err != nil {
			return err
		}
	}

	s.settings.saveDefaults()
	s.backend.Send(&pgproto3.AuthenticationOk{})

	for _, name := range reported {
		value, _ := s.parameterValue(name)
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}

	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: keyFromUint32(s.secret)})

	return s.sendReady()
}

// sendReady sends ReadyForQuery with the transaction status.
func (s *session) sendReady() error {
	status, state := byte('I'), "idle"

	if s.tx.inBlock {
		status, state = 'T', "idle in transaction"
	}

	if s.tx.aborted {
		status, state = 'E', "idle in transaction (aborted)"
	}

	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.unflushedBytes = 0

	return s.backend.Flush()
}

// handleMessage handles one message; done is true if the client ends the session.
func (s *session) handleMessage(message pgproto3.FrontendMessage) (done bool, err error) {
	switch message := message.(type) {
	case *pgproto3.Query:
		return false, s.handleQuery(message.String)
	case *pgproto3.Parse:
		err = s.handleParse(message)
	case *pgproto3.Bind:
		err = s.handleBind(message)
	case *pgproto3.Describe:
		err = s.handleDescribe(message)
	case *pgproto3.Execute:
		err = s.handleExecute(message)
	case *pgproto3.Close:
		s.closeStatementOrPortal(message.ObjectType, message.Name)
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return false, s.backend.Flush()
	case *pgproto3.Sync:
		return false, s.handleSync()
	case *pgproto3.Terminate:
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil // Sent before the client learned that its COPY failed.
	default:
		err = errorf(stateProtocolViolation, "unexpected message %T", message)
	}

	if err == nil {
		return false, nil
	}

	if err := s.reportError(err); err != nil {
		return false, err
	}

	return s.skipToSync()
}

// skipToSync discards messages up to Sync after an error in the extended protocol.
func (s *session) skipToSync() (done bool, err error) {
	if err := s.backend.Flush(); err != nil {
		return false, err
	}

	for {
		message, err := s.backend.Receive()
		if err != nil {
			return false, err
		}

		switch message.(type) {
		case *pgproto3.Sync:
			return false, s.handleSync()
		case *pgproto3.Terminate:
			return true, nil
		}
	}
}

// reportError sends an error to the client and aborts the transaction. It returns an error if the session must end.
func (s *session) reportError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}

	described := describeError(err)
	s.closePortals()
	s.releaseSlot()

	if s.tx.inBlock {
		s.tx.aborted = true
	} else {
		s.rollback()
	}

	s.backend.Send(described.response())

	if described.fatal {
		return described
	}

	return nil
}

// handleQuery handles a Query message. Its statements run in one implicit transaction unless they control transactions
// themselves.
func (s *session) handleQuery(query string) error {
	parts := splitTokens(query)
	if len(parts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}

	for i, part := range parts {
		if err := s.runSimpleStatement(part, i == len(parts)-1); err != nil {
			if err := s.reportError(err); err != nil {
				return err
			}

			break
		}
	}

	return s.sendReady()
}

func (s *session) runSimpleStatement(part []token, last bool) error {
	st, err := analyse(part)
	if err != nil {
		return err
	}

	if st.verb == verbCopy {
		return s.runCopy(st)
	}

	cur, err := s.openStatement(st, nil)
	if err != nil {
		return err
	}
	defer cur.close()

	if cur.columns != nil {
		s.backend.Send(rowDescription(cur.columns, nil))
	}

	if _, err := s.sendRows(cur, nil, 0); err != nil {
		return err
	}

	cur.close()
	s.releaseSlot()

	if last && !s.tx.inBlock {
		if err := s.commit(); err != nil {
			return err
		}
	}

	if st.tag == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	} else {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(cur.tag())})
	}

	return nil
}

// sendRows streams rows: at most limit, or all if limit is zero. It reports whether all rows were sent.
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
			if row.Values[i], err = encodeValue(value, cur.columns[i].oid, formatCode(formats, i)); err != nil {
				return false, err
			}

			s.unflushedBytes += len(row.Values[i])
		}

		s.backend.Send(row)

		if s.unflushedBytes > flushThresholdBytes {
			s.unflushedBytes = 0

			if err := s.backend.Flush(); err != nil {
				return false, err
			}
		}
	}

	return false, nil
}

// startStatement returns the context of a statement, with statement_timeout applied; finish must be called when the
// statement ends.
func (s *session) startStatement(query string) (ctx context.Context, finish func()) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	timeout := s.statementTimeout()

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
	s.cancelRunning, s.state, s.query = cancel, "active", query
	s.mu.Unlock()

	return ctx, finish
}

func (s *session) finishStatement() {
	s.mu.Lock()
	s.cancelRunning = nil
	s.mu.Unlock()
}

// cancelStatement cancels the running statement, if any.
func (s *session) cancelStatement(cause error) {
	s.mu.Lock()
	stop := s.cancelRunning
	s.mu.Unlock()

	if stop != nil {
		stop(cause)
	}
}

// terminate ends the session. It closes the connection at once if a fault keeps the client from being told.
func (s *session) terminate() {
	s.end(errTerminated)
	_ = s.link.SetReadDeadline(time.Unix(1, 0))
	_ = s.link.SetWriteDeadline(time.Now().Add(terminateTimeout))

	outBlocked, _ := s.srv.member.faults.blocked(*s.link.peer.Load(), Out)
	inBlocked, _ := s.srv.member.faults.blocked(*s.link.peer.Load(), In)

	if inBlocked || outBlocked || s.link.lost.Load() {
		_ = s.link.Close()
	}
}

// terminateTimeout bounds the time for sending a client the error that ends its session.
const terminateTimeout = 200 * time.Millisecond

func (s *session) activityRow() map[string]any {
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

// waitWithoutSlot calls wait, which waits for a lock, with the slot released, since the holder of the lock may need the
// slot to proceed. The parameter lock_timeout bounds the wait.
func (s *session) waitWithoutSlot(ctx context.Context, wait func(ctx context.Context) error) error {
	limited := ctx

	if period := s.durationParameter("lock_timeout"); period > 0 {
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
