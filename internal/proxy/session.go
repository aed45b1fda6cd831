package proxy

import (
	"context"
	"errors"
	"io"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/route"
	"almondgrade/core/settings"
	"almondgrade/core/statement"
	"almondgrade/io/backend"
	"almondgrade/io/caller"
)

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

const (
	// endGrace is the time that a session has to tell its caller that it ends.
	endGrace = 2 * time.Second
	// maxBatchBytes is the size above which a batch is sent before it is complete.
	maxBatchBytes = 1 << 20
)

var (
	errCancelled    = errors.New("canceling statement due to user request")
	errSessionEnded = errors.New("the session was ended")
	// errCallerGone is returned when the caller has terminated the session or its connection is lost.
	errCallerGone = errors.New("the caller has disconnected")
)

// session serves one caller. Its fields belong to the session's goroutine, except for those under mu.
type session struct {
	server            *Server
	caller            *caller.Conn
	target            target
	user              string
	application       string
	startupParameters map[string]string

	// sequence is the session's number in process, which is the process id of its cancel key with the given secret.
	sequence uint32
	process  uint32
	secret   []byte
	// counted is true while the session counts towards the caller limit. The server's mutex protects it.
	counted bool

	// token holds the session's positions. Reads take their floor from it only if floorFromToken is set; otherwise they
	// take a barrier.
	token          position.Token
	floorFromToken bool
	// floorKnown is true once the token includes the position of a barrier, or a token that the caller has set.
	floorKnown bool

	// requestName names the next transaction or statement; lastRequestName is the last name that was set.
	requestName     string
	lastRequestName string

	parameters parameters
	prepared   map[string]*preparedStatement
	// portals are those of the open transaction.
	portals map[string]*preparedStatement

	// status is the transaction status that the caller sees.
	status byte
	lease  *connLease
	pinned bool
	tx     transaction
	// transactionLost is true from the loss of a transaction's backend connection, or its rollback by the proxy, until
	// the caller ends the transaction.
	transactionLost bool
	// replay answers the statements of a transaction that ran before.
	replay *replay

	batch *batch
	// candidateBuffer is reused by readCandidates.
	candidateBuffer []route.Server
	// discardingUntilSync is true from an error in the extended protocol to the next Sync.
	discardingUntilSync bool

	mu sync.Mutex
	// cancelRequest ends the context of the current request, which runs on runningConn.
	cancelRequest context.CancelCauseFunc
	runningConn   *backend.Conn
	// cancelDelivered is closed when a cancel request to the backend server has been delivered.
	cancelDelivered chan struct{}
	// cancelCause is the reason for that request.
	cancelCause error
	ended       bool
	// terminated is closed when ended is set.
	terminated chan struct{}
}

// transaction is the state of the caller's open transaction.
type transaction struct {
	// readOnly is true for BEGIN READ ONLY.
	readOnly bool
	// wrote is true if the commit may need confirmation, mayHoldLocks if other transactions may wait for this one.
	wrote        bool
	mayHoldLocks bool
	// requestName is the name of the request that the transaction belongs to, commandTags are its answers so far.
	requestName string
	commandTags []string
}

func newSession(server *Server, accepted *caller.Accepted, to target) *session {
	return &session{
		server: server, caller: accepted.Conn, target: to,
		user: accepted.Parameters["user"], startupParameters: accepted.Parameters,
		prepared: make(map[string]*preparedStatement), status: statusIdle, terminated: make(chan struct{}),
	}
}

// run sends the greeting and serves the caller until the session ends.
func (s *session) run() {
	defer s.awaitCancelDelivery()
	defer s.releaseLease(true)

	if err := s.sendGreeting(); err != nil {
		s.sendFatal(err)

		return
	}

	for {
		if s.shouldEnd() {
			s.sendFatal(errDraining())

			return
		}

		kind, err := s.nextMessage()

		switch {
		case errors.Is(err, caller.ErrInterrupted):
			s.caller.Resume()

			continue
		case errors.Is(err, caller.ErrIdleTimeout):
			s.sendFatal(&sqlError{
				code: "25P03", text: "terminating connection: a transaction that may hold locks was idle for longer than the deadline",
			})

			return
		case err == nil:
			err = s.handleMessage(kind)
		}

		if err != nil {
			s.endAfterError(err)

			return
		}
	}
}

// shouldEnd reports whether the session has to end now: it was ended, or the proxy drains and no transaction is open.
func (s *session) shouldEnd() bool {
	return s.isEnded() || s.server.draining.Load() && s.status == statusIdle && s.batch == nil
}

// nextMessage waits for a message, and meanwhile forwards what the backend server of a pinned session sends.
func (s *session) nextMessage() (byte, error) {
	var deadline time.Time
	if s.lease != nil && s.lease.slot != nil {
		deadline = time.Now().Add(s.requestTimeout(s.trafficRule()))
	}

	if s.pinned && s.lease != nil && s.caller.Buffered() == 0 {
		stop := s.forwardNotifications()
		defer stop()
	}

	if err := s.caller.AwaitMessage(deadline); err != nil {
		return 0, err
	}

	return s.caller.PeekKind()
}

// forwardNotifications forwards notifications while no statement runs. The returned function stops that.
func (s *session) forwardNotifications() func() {
	conn := s.lease.conn
	done := make(chan struct{})

	go func() {
		defer close(done)

		for conn.WaitForHeader() == nil {
			if err := s.forwardIdleMessage(conn); err != nil {
				s.server.options.Logger.Info("closing the backend connection of a pinned session", "user", s.user, "error", err)
				conn.Abort()

				return
			}
		}
	}()

	return func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))

		<-done

		_ = conn.SetReadDeadline(time.Time{})
	}
}

// forwardIdleMessage forwards a message that the server sent while no statement runs: one that may arrive at any time, or the
// reason why the server closes the connection.
func (s *session) forwardIdleMessage(conn *backend.Conn) error {
	kind, _, err := conn.ReadHeader()
	if err != nil {
		return err
	}

	body, err := conn.ReadBody()
	if err != nil {
		return err
	}

	switch kind {
	case 'N', 'A':
	case 'S':
		if name, _, _ := strings.Cut(string(body), "\x00"); isBackendParameter(name) {
			return nil
		}
	case 'E':
		var message pgproto3.ErrorResponse
		if err := message.Decode(body); err != nil {
			return err
		}

		if message.Severity != "FATAL" && message.Severity != "PANIC" {
			return errUnrequestedKind(kind)
		}
	default:
		return errUnrequestedKind(kind)
	}

	s.caller.SendRaw(kind, body)

	return s.caller.Flush()
}

// endAfterError tells the caller why the session ends, unless the caller has left.
func (s *session) endAfterError(err error) {
	// A caller that has left need not wait for the end of its backend connection.
	s.server.uncount(s)

	if errors.Is(err, errCallerGone) || errors.Is(err, io.EOF) {
		return
	}

	s.sendFatal(err)
}

// sendFatal sends the last error. The caller may have sent statements that are still unread.
func (s *session) sendFatal(err error) {
	s.server.uncount(s)
	s.server.counters.countError(err)
	s.caller.SendFatal(errorResponse(err))
	s.caller.Linger()
}

// handleMessage serves one message. Its errors end the session.
func (s *session) handleMessage(kind byte) error {
	_, _, err := s.caller.ReadHeader()
	if err != nil {
		return caller.ProtocolError(err)
	}

	if s.discardingUntilSync && kind != 'S' && kind != 'X' {
		return s.skipMessage()
	}

	switch kind {
	case 'Q', 'P', 'B', 'D', 'E', 'C':
		body, err := s.caller.ReadBody()
		if err != nil {
			return caller.ProtocolError(err)
		}

		if kind == 'Q' {
			return s.handleSimpleQuery(body)
		}

		return s.collectMessage(kind, body)
	case 'S', 'H':
		if err := s.skipMessage(); err != nil {
			return err
		}

		return s.handleSyncOrFlush(kind)
	case 'd', 'c', 'f':
		// The rest of a COPY that the server has ended with an error.
		return s.skipMessage()
	case 'F':
		if err := s.skipMessage(); err != nil {
			return err
		}

		return s.refuseRequest(result.New(result.NotSupported, "function call messages are not supported"), true)
	case 'X':
		return errCallerGone
	}

	return result.New(result.Protocol, "message %q is of an unknown kind", kind)
}

func (s *session) skipMessage() error {
	if err := s.caller.SkipBody(); err != nil {
		return caller.ProtocolError(err)
	}

	return nil
}

// sendGreeting sends the parameters, the cancel key and ReadyForQuery after a login.
func (s *session) sendGreeting() error {
	s.application = s.startupParameters["application_name"]

	reported := map[string]string{
		"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "DateStyle": "ISO, MDY",
		"IntervalStyle": "postgres", "TimeZone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on",
	}

	if known := s.server.parameters.Load(); known != nil {
		for name, value := range *known {
			reported[name] = value
		}
	}

	for name, value := range s.startupParameters {
		switch name {
		case "user", "database", "application_name", "replication":
			continue
		}

		if strings.HasPrefix(name, statement.ParameterPrefix) {
			if err := s.setProxyParameter(strings.TrimPrefix(name, statement.ParameterPrefix), value); err != nil {
				return err
			}

			continue
		}

		if statement.ChangesReading(name, value) {
			return result.New(result.NotSupported, "%s = %.40q changes how texts are split into statements", name, value)
		}

		s.parameters.setAtStartup(name, quoteLiteral(value))

		for known := range reported {
			if strings.EqualFold(known, name) {
				reported[known] = value
			}
		}
	}

	reported["application_name"] = s.application
	reported["session_authorization"] = s.user
	reported["is_superuser"] = "off"

	for name, value := range reported {
		if isBackendParameter(name) && name != "application_name" && name != "session_authorization" && name != "is_superuser" {
			continue
		}

		if err := s.caller.Send(&pgproto3.ParameterStatus{Name: name, Value: value}); err != nil {
			return err
		}
	}

	if err := s.caller.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret}); err != nil {
		return err
	}

	return s.sendReady()
}

// isBackendParameter reports whether a parameter that a backend server reports concerns only the backend connection,
// not the caller's session.
func isBackendParameter(name string) bool {
	switch name {
	case "application_name", "session_authorization", "is_superuser", "default_transaction_read_only", "in_hot_standby":
		return true
	}

	return false
}

// sendReady sends ReadyForQuery.
func (s *session) sendReady() error {
	if err := s.caller.Send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}

	return s.flush()
}

func (s *session) flush() error {
	if err := s.caller.Flush(); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			s.server.counters.increment(counterSlowCaller)
		}

		return errCallerGone
	}

	return nil
}

// refuseRequest answers a request with an error. If ready is true, ReadyForQuery follows; otherwise the rest of the
// batch is discarded up to Sync.
func (s *session) refuseRequest(err error, ready bool) error {
	s.server.counters.countError(err)
	s.server.options.Logger.Debug("request was refused", "user", s.user, "error", err)

	if failure := s.caller.Send(errorResponse(err)); failure != nil {
		return failure
	}

	if s.status == statusOpen {
		s.failTransaction()
	}

	if !ready {
		s.discardingUntilSync = true

		return s.flush()
	}

	return s.sendReady()
}

// failTransaction puts an open transaction into the failed state after a refusal, as an error of the server would.
// The server does not know of the error, so the transaction is rolled back now and ends for the caller with the
// caller's own ROLLBACK or COMMIT.
func (s *session) failTransaction() {
	s.status = statusFailed
	if s.replay != nil || s.transactionLost {
		return
	}

	s.transactionLost = true
	s.tx = transaction{}
	s.parameters.rollback()

	if s.lease != nil {
		stop := s.abortOnTermination(s.lease.conn)

		if err := s.lease.conn.Exec(time.Now().Add(endGrace), "ROLLBACK"); err != nil {
			s.lease.conn.Taint()
		}

		stop()
	}

	s.releaseLease(s.pinned && s.lease != nil && !s.lease.conn.Reusable())
}

// releaseLease returns the session's backend connection. A pinned session keeps it until its end.
func (s *session) releaseLease(end bool) {
	if s.lease == nil {
		return
	}

	if s.pinned && !end {
		s.lease.releaseSlot()

		return
	}

	if s.pinned {
		// Closing the connection saves a later round trip for DISCARD ALL.
		s.lease.conn.Taint()
	}

	s.lease.release()
	s.lease = nil
}

// terminate ends the session within endGrace, whatever it is doing. It may be called from any goroutine.
func (s *session) terminate() {
	s.mu.Lock()
	if !s.ended {
		s.ended = true
		close(s.terminated)
	}

	if s.cancelRequest != nil {
		s.cancelRequest(errSessionEnded)
	}

	if s.runningConn != nil {
		s.runningConn.Abort()
	}
	s.mu.Unlock()

	s.caller.Interrupt()
	time.AfterFunc(endGrace, s.caller.Close)
}

// abortOnTermination makes terminate abort a connection on which the session runs a statement of its own. The returned
// function ends that.
func (s *session) abortOnTermination(conn *backend.Conn) func() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runningConn = conn

	if s.ended {
		conn.Abort()
	}

	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.runningConn = nil
	}
}

// awaitCancelDelivery waits until a cancel request in progress has been delivered.
func (s *session) awaitCancelDelivery() {
	s.mu.Lock()
	delivered := s.cancelDelivered
	s.mu.Unlock()

	if delivered != nil {
		<-delivered
	}
}

// isEnded reports whether terminate was called.
func (s *session) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.ended
}

// cancelByCaller cancels the current request. It may be called from any goroutine.
func (s *session) cancelByCaller() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.cancelRequest != nil {
		s.cancelRequest(errCancelled)
	}
}

// view returns the current view of the registry and the session's group in it. Either is nil if it is unknown.
func (s *session) view() (*registry.View, *registry.Group) {
	view := s.server.options.Coordination.View()
	if view == nil {
		return nil, nil
	}

	group, found := view.Groups[s.target.group]
	if !found {
		return view, nil
	}

	return view, &group
}

// trafficRule returns the first traffic rule that applies to the session now, or an empty one.
func (s *session) trafficRule() settings.TrafficRule {
	view, _ := s.view()
	if view == nil {
		return settings.TrafficRule{}
	}

	for _, rule := range view.Running.Pools[s.target.pool].Traffic {
		if matchesAny(rule.Users, s.user) && matchesAny(rule.Applications, s.application) {
			return rule
		}
	}

	return settings.TrafficRule{}
}

func matchesAny(patterns []string, value string) bool {
	return len(patterns) == 0 || slices.ContainsFunc(patterns, func(pattern string) bool {
		matched, err := path.Match(pattern, value)

		return err == nil && matched
	})
}

func (s *session) timing() settings.Timing {
	if view, _ := s.view(); view != nil {
		return view.Running.Timing
	}

	return settings.Defaults().Timing
}

func (s *session) requestTimeout(rule settings.TrafficRule) time.Duration {
	limit := rule.Deadline.Or(s.timing().Deadline.Or(time.Duration(settings.Defaults().Timing.Deadline)))
	if own := s.parameters.statementTimeout(); own > 0 {
		limit = min(limit, own)
	}

	return limit
}

// sqlError is an error with a SQLSTATE and without a result.Code.
type sqlError struct {
	code string
	text string
}

// Error implements error.
func (e *sqlError) Error() string {
	return e.text
}

// errorResponse returns the ErrorResponse for an error.
func errorResponse(err error) *pgproto3.ErrorResponse {
	var (
		plain  *sqlError
		server *backend.ServerError
	)

	switch {
	case errors.As(err, &server):
		return &server.ErrorResponse
	case errors.As(err, &plain):
		message := caller.ErrorResponse(err)
		message.Code = plain.code

		return message
	case errors.Is(err, errCancelled):
		message := caller.ErrorResponse(errCancelled)
		message.Code = "57014"

		return message
	}

	return caller.ErrorResponse(err)
}
