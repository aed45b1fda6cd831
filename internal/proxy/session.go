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
	// endGrace is the time that a session gets to tell its caller that it ends.
	endGrace = 2 * time.Second
	// batchLimit is the size of a batch from which on it is sent before it is complete.
	batchLimit = 1 << 20
)

var (
	errCancelled = errors.New("canceling statement due to user request")
	errEnded     = errors.New("the session was ended")
	// errGone is returned when the caller's connection is lost.
	errGone = errors.New("the caller is gone")
)

// session serves one caller. Its fields belong to the session's goroutine, except for those under mu.
type session struct {
	server      *Server
	caller      *caller.Conn
	target      target
	user        string
	application string
	startup     map[string]string

	sequence uint32
	process  uint32
	secret   []byte

	// token holds the session's positions. Reads rely on it only if anchored; otherwise they take a barrier.
	token    position.Token
	anchored bool
	// begun is true once the floor of an anchored session includes a barrier, or a token that the caller gave.
	begun bool

	// request names the next transaction or statement; last is the name that was used last.
	request string
	last    string

	parameters parameters
	prepared   map[string]*prepared
	// portals are those of the open transaction.
	portals map[string]*prepared

	// status is what the caller knows of its transaction.
	status byte
	held   *lease
	pinned bool
	tx     transaction
	// lost is true after the backend connection of a transaction was lost, until the caller ends it.
	lost bool
	// replay answers the statements of a transaction that ran before.
	replay *replay

	batch *batch
	// servers is reused for the choices of the session.
	servers []route.Server
	// discarding is true after an error until Sync.
	discarding bool

	mu      sync.Mutex
	cancel  context.CancelCauseFunc
	running *backend.Conn
	// cancelling is closed when a cancel request to the backend server has been delivered.
	cancelling chan struct{}
	ended      bool
}

// transaction is the state of the caller's open transaction.
type transaction struct {
	// readOnly is true for BEGIN READ ONLY.
	readOnly bool
	// wrote is true if a commit may have something to confirm, locks if other transactions may wait for this one.
	wrote bool
	locks bool
	// name is the request that the transaction runs for, tags are the answers so far.
	name string
	tags []string
}

func newSession(server *Server, accepted *caller.Accepted, to target) *session {
	return &session{
		server: server, caller: accepted.Conn, target: to,
		user: accepted.Parameters["user"], startup: accepted.Parameters,
		prepared: make(map[string]*prepared), status: statusIdle,
	}
}

// run greets the caller and serves it until it leaves.
func (s *session) run() {
	defer s.release(true)

	if err := s.greet(); err != nil {
		s.fatal(err)

		return
	}

	for {
		if s.over() {
			s.fatal(errDraining())

			return
		}

		kind, err := s.next()

		switch {
		case errors.Is(err, caller.ErrInterrupted):
			s.caller.Resume()

			continue
		case errors.Is(err, caller.ErrIdleTimeout):
			s.fatal(&sqlError{
				code: "25P03", text: "terminating connection: a transaction that may hold locks was idle for longer than the deadline",
			})

			return
		case err == nil:
			err = s.message(kind)
		}

		if err != nil {
			s.leave(err)

			return
		}
	}
}

// over reports whether the session has to end now: the proxy stops, and no transaction is open.
func (s *session) over() bool {
	return s.isEnded() || s.server.draining.Load() && s.status == statusIdle && s.batch == nil
}

// next waits for a message, and forwards what the backend server of a pinned session sends meanwhile.
func (s *session) next() (byte, error) {
	var deadline time.Time
	if s.held != nil && s.held.slot != nil {
		deadline = time.Now().Add(s.deadlineOf(s.rule()))
	}

	if s.pinned && s.held != nil && s.caller.Buffered() == 0 {
		stop := s.watch()
		defer stop()
	}

	if err := s.caller.AwaitMessage(deadline); err != nil {
		return 0, err
	}

	return s.caller.PeekKind()
}

// watch forwards notifications while no statement runs. The returned function ends that.
func (s *session) watch() func() {
	conn := s.held.conn
	done := make(chan struct{})

	go func() {
		defer close(done)

		for conn.WaitForHeader() == nil {
			if _, _, err := conn.ReadHeader(); err != nil {
				conn.Taint()

				return
			}

			if conn.Forward(s.caller.Writer) != nil || s.caller.Flush() != nil {
				conn.Taint()

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

// leave tells the caller why the session ends, if there is somebody to tell.
func (s *session) leave(err error) {
	if errors.Is(err, errGone) || errors.Is(err, io.EOF) {
		return
	}

	s.fatal(err)

	if code := result.CodeOf(err); code == result.Protocol || code == result.TooLarge {
		s.caller.Linger()
	}
}

func (s *session) fatal(err error) {
	s.server.counters.refused(err)
	s.caller.SendFatal(response(err))
}

// message serves one message. Its errors end the session.
func (s *session) message(kind byte) error {
	_, _, err := s.caller.ReadHeader()
	if err != nil {
		return caller.ProtocolError(err)
	}

	if s.discarding && kind != 'S' && kind != 'X' {
		return s.skip()
	}

	switch kind {
	case 'Q', 'P', 'B', 'D', 'E', 'C':
		body, err := s.caller.ReadBody()
		if err != nil {
			return caller.ProtocolError(err)
		}

		if kind == 'Q' {
			return s.simple(body)
		}

		return s.extended(kind, body)
	case 'S', 'H':
		if err := s.skip(); err != nil {
			return err
		}

		return s.boundary(kind)
	case 'd', 'c', 'f':
		// The rest of a COPY that the server has ended by an error.
		return s.skip()
	case 'F':
		if err := s.skip(); err != nil {
			return err
		}

		return s.refuse(result.New(result.NotSupported, "function call messages are not supported"), true)
	case 'X':
		return errGone
	}

	return result.New(result.Protocol, "message of unknown kind %q", kind)
}

func (s *session) skip() error {
	if err := s.caller.SkipBody(); err != nil {
		return caller.ProtocolError(err)
	}

	return nil
}

// greet sends what follows a login.
func (s *session) greet() error {
	s.application = s.startup["application_name"]

	reported := map[string]string{
		"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "DateStyle": "ISO, MDY",
		"IntervalStyle": "postgres", "TimeZone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on",
	}

	if known := s.server.parameters.Load(); known != nil {
		for name, value := range *known {
			reported[name] = value
		}
	}

	for name, value := range s.startup {
		switch name {
		case "user", "database", "application_name", "replication":
			continue
		}

		if strings.HasPrefix(name, statement.Prefix) {
			if err := s.setOwn(strings.TrimPrefix(name, statement.Prefix), value); err != nil {
				return err
			}

			continue
		}

		s.parameters.start(name, quoteLiteral(value))

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
		if hidden(name) && name != "application_name" && name != "session_authorization" && name != "is_superuser" {
			continue
		}

		if err := s.caller.Send(&pgproto3.ParameterStatus{Name: name, Value: value}); err != nil {
			return err
		}
	}

	if err := s.caller.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret}); err != nil {
		return err
	}

	return s.ready()
}

// hidden reports whether a parameter that a backend server reports says nothing about the caller's session.
func hidden(name string) bool {
	switch name {
	case "application_name", "session_authorization", "is_superuser", "default_transaction_read_only", "in_hot_standby":
		return true
	}

	return false
}

// ready sends ReadyForQuery.
func (s *session) ready() error {
	if err := s.caller.Send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}

	return s.flush()
}

func (s *session) flush() error {
	if err := s.caller.Flush(); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			s.server.counters.add(counterSlowCaller)
		}

		return errGone
	}

	return nil
}

// refuse answers a request with an error. In the extended protocol the rest of the batch is discarded; ready is true
// if ReadyForQuery is due now.
func (s *session) refuse(err error, ready bool) error {
	s.server.counters.refused(err)
	s.server.options.Logger.Debug("request refused", "user", s.user, "error", err)

	if failure := s.caller.Send(response(err)); failure != nil {
		return failure
	}

	if s.status == statusOpen {
		s.failTransaction()
	}

	if !ready {
		s.discarding = true

		return s.flush()
	}

	return s.ready()
}

// failTransaction puts an open transaction into the failed state after a refusal, as an error of the server would.
// The server does not know of the error, so the transaction is rolled back now and ends for the caller with the
// caller's own ROLLBACK or COMMIT.
func (s *session) failTransaction() {
	s.status = statusFailed
	if s.replay != nil || s.lost {
		return
	}

	s.lost = true
	s.tx = transaction{}
	s.parameters.rollback()

	if s.held != nil {
		if err := s.held.conn.Exec(time.Now().Add(endGrace), "ROLLBACK"); err != nil {
			s.held.conn.Taint()
		}
	}

	s.release(s.pinned && s.held != nil && !s.held.conn.Reusable())
}

// release returns the held connection. A pinned session keeps it until it ends.
func (s *session) release(end bool) {
	if s.held == nil {
		return
	}

	if s.pinned && !end {
		s.held.free()

		return
	}

	if s.pinned {
		// State that DISCARD ALL would remove as well is not worth a round trip later.
		s.held.conn.Taint()
	}

	s.held.put()
	s.held = nil
}

// end makes the session stop soon, whatever it does. It may be called from any goroutine.
func (s *session) end() {
	s.mu.Lock()
	s.ended = true

	if s.cancel != nil {
		s.cancel(errEnded)
	}

	if s.running != nil {
		s.running.Taint()
		_ = s.running.SetDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()

	s.caller.Interrupt()
	time.AfterFunc(endGrace, s.caller.Close)
}

// isEnded reports whether end was called.
func (s *session) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.ended
}

// cancelByCaller cancels the present request. It may be called from any goroutine.
func (s *session) cancelByCaller() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.cancel != nil {
		s.cancel(errCancelled)
	}
}

// view returns the present view of the registry and the session's group in it.
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

// rule returns the traffic rule that applies to the session now.
func (s *session) rule() settings.Traffic {
	view, _ := s.view()
	if view == nil {
		return settings.Traffic{}
	}

	for _, rule := range view.Running.Pools[s.target.pool].Traffic {
		if matches(rule.Users, s.user) && matches(rule.Applications, s.application) {
			return rule
		}
	}

	return settings.Traffic{}
}

func matches(patterns []string, value string) bool {
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

func (s *session) deadlineOf(rule settings.Traffic) time.Duration {
	limit := rule.Deadline.Or(s.timing().Deadline.Or(time.Duration(settings.Defaults().Timing.Deadline)))
	if own := s.parameters.timeout(); own > 0 {
		limit = min(limit, own)
	}

	return limit
}

// sqlError is an error with a SQLSTATE that has no code of its own.
type sqlError struct {
	code string
	text string
}

// Error implements error.
func (e *sqlError) Error() string {
	return e.text
}

// response returns an error as a message.
func response(err error) *pgproto3.ErrorResponse {
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
