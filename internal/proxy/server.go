package proxy

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/retry"
	"almondgrade/core/route"
	"almondgrade/core/settings"
	"almondgrade/io/caller"
)

const (
	// startupTimeout bounds a caller's startup and login.
	startupTimeout = 10 * time.Second
	// startupReserve is the number of connections accepted above the caller limit, so that callers are told why they
	// are refused and cancel requests get through.
	startupReserve = 64
	// sequenceBits is the width of a session's number in the process id of its cancel key. The proxy's number is in
	// the bits above it.
	sequenceBits  = 16
	sequenceLimit = 1 << sequenceBits
	// shortSecretBytes and longSecretBytes are the sizes of cancel secrets in protocol 3.0 and in 3.2 and later.
	shortSecretBytes = 4
	longSecretBytes  = 32
	// cancelTimeout bounds the delivery of one cancel request.
	cancelTimeout = 5 * time.Second
	// acceptRetryDelay is the wait after a failed accept, for example because of too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Coordination Coordination
	// Name is the proxy's name in the registry.
	Name string
	// Application is the prefix of the application names of backend connections, by which the coordinator counts them;
	// empty means "ag/NAME/".
	Application string
	// Listener accepts callers.
	Listener net.Listener
	Logger   *slog.Logger
	// Metrics receives the counters; nil means a registry of its own.
	Metrics metrics.Registry
	// TLS and BackendTLS enable encryption towards callers and backend servers if they are not nil.
	TLS        *tls.Config
	BackendTLS *tls.Config
	// CallerLimit bounds the number of callers; zero means no limit except for that of cancel keys.
	CallerLimit int
	// Router chooses servers for reads; nil means the policy "fresh".
	Router Router
}

// Server accepts callers and serves their sessions.
type Server struct {
	options         Options
	pools           *pools
	counters        counters
	budget          *retry.Budget
	turn            atomic.Uint64
	waitingRequests waitCounters
	// parameters are those that a backend server reported at login; new callers get them.
	parameters atomic.Pointer[map[string]string]

	mu       sync.Mutex
	sessions map[uint32]*session
	// callers counts the sessions that count towards the caller limit.
	callers int
	// connections counts all connections of callers: sessions, logins and cancel requests.
	connections int
	// accepting is true while the listener may return a connection.
	accepting bool
	sequence  uint32
	draining  atomic.Bool
	// connectionsEnded is closed when the proxy drains and the last connection of a caller has ended.
	connectionsEnded chan struct{}
	// refuseLogins cancels the context loginsAllowed, which ends the wait for callers that have not logged in.
	refuseLogins  context.CancelCauseFunc
	loginsAllowed context.Context
	// stop cancels the context stopped, which ends everything that still runs.
	stop    context.CancelCauseFunc
	stopped context.Context
}

// waitCounters counts the waiting requests of each traffic rule.
type waitCounters struct {
	rules sync.Map
}

func (w *waitCounters) counter(rule string) *atomic.Int64 {
	if counter, found := w.rules.Load(rule); found {
		return counter.(*atomic.Int64)
	}

	counter, _ := w.rules.LoadOrStore(rule, new(atomic.Int64))

	return counter.(*atomic.Int64)
}

// NewServer returns a server that is not running yet.
func NewServer(options Options) *Server {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}

	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}

	if options.Router == nil {
		options.Router = route.FreshPolicy()
	}

	server := &Server{
		options:          options,
		pools:            newPools(options),
		counters:         counters{registry: options.Metrics},
		budget:           newRetryBudget(),
		sessions:         make(map[uint32]*session),
		connectionsEnded: make(chan struct{}),
	}
	server.loginsAllowed, server.refuseLogins = context.WithCancelCause(context.Background())
	server.stopped, server.stop = context.WithCancelCause(context.Background())

	return server
}

// Serve accepts callers until the context ends or Drain is called. It returns when the listener is closed; sessions
// end with the context or with Drain.
func (s *Server) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)

	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.closeNow()
		case <-s.stopped.Done():
		}

		return nil
	})
	group.Go(func() error {
		ticker := time.NewTicker(reapInterval)
		defer ticker.Stop()

		for {
			select {
			case <-s.stopped.Done():
				return nil
			case now := <-ticker.C:
				if view := s.options.Coordination.View(); view != nil {
					s.pools.reapConns(now, view)
				}
			}
		}
	})
	group.Go(func() error {
		return s.accept(ctx)
	})

	return group.Wait()
}

// accept accepts connections until the listener is closed.
//
//nolint:contextcheck // A session outlives the context while the proxy drains.
func (s *Server) accept(ctx context.Context) error {
	s.setAccepting(true)
	defer s.setAccepting(false)

	for {
		conn, err := s.options.Listener.Accept()

		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			if s.draining.Load() {
				return nil
			}

			s.closeNow()

			return nil
		default:
			s.options.Logger.Warn("can't accept a connection; trying again", "error", err)

			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}

			continue
		}

		if !s.addConnection() {
			_ = conn.Close()
			s.counters.increment(result.CallerLimit.Describe().Name)

			continue
		}

		go func() {
			defer s.removeConnection()
			defer s.recoverPanic(conn)
			s.serveConn(conn)
		}()
	}
}

// recoverPanic closes one caller's connection after a panic; the other callers are unaffected.
func (s *Server) recoverPanic(conn net.Conn) {
	if fault := recover(); fault != nil {
		s.options.Logger.Error("session panicked; its connection is closed", "caller", conn.RemoteAddr().String(), "fault", fault)
		_ = conn.Close()
	}
}

// addConnection counts a new connection; it reports false if there are too many.
func (s *Server) addConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.options.CallerLimit > 0 && s.connections >= s.options.CallerLimit+startupReserve {
		return false
	}

	s.connections++

	return true
}

func (s *Server) removeConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.connections--
	s.checkConnectionsEnded()
}

func (s *Server) setAccepting(accepting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.accepting = accepting
	s.checkConnectionsEnded()
}

// checkConnectionsEnded closes connectionsEnded once the proxy drains and no connection is left. The caller holds the
// lock.
func (s *Server) checkConnectionsEnded() {
	if !s.draining.Load() || s.accepting || s.connections > 0 {
		return
	}

	select {
	case <-s.connectionsEnded:
	default:
		close(s.connectionsEnded)
	}
}

// serveConn runs one connection from startup to its end.
func (s *Server) serveConn(conn net.Conn) {
	var running settings.Running
	if view := s.options.Coordination.View(); view != nil {
		running = view.Running
	}

	var connectTarget target

	accepted, err := caller.Accept(s.loginsAllowed, conn, caller.Options{
		TLS:            s.options.TLS,
		StartupTimeout: startupTimeout,
		StallTimeout:   running.Timing.Deadline.Or(startupTimeout),
		MessageLimit:   running.Timing.MessageLimitBytes,
		Verifier: func(user string) (string, bool) {
			found, known := running.Users[user]

			return found.Verifier, known
		},
		Admit: func(parameters map[string]string) error {
			var err error
			connectTarget, err = s.admit(parameters)

			return err
		},
	})
	if err != nil {
		s.counters.countError(err)

		if !errors.Is(err, io.EOF) {
			s.options.Logger.Info("caller was refused", "caller", conn.RemoteAddr().String(), "error", err)
		}

		return
	}

	if accepted.Cancel != nil {
		// The connection is closed only after the request was forwarded, because callers wait for its end.
		ctx, cancel := context.WithTimeout(s.stopped, cancelTimeout)
		defer cancel()

		s.Cancel(ctx, accepted.Cancel.Process, accepted.Cancel.Secret)
		_ = conn.Close()

		return
	}

	s.runSession(accepted, connectTarget)
}

// admit checks whether a caller with the given startup parameters may log in.
func (s *Server) admit(parameters map[string]string) (target, error) {
	view := s.options.Coordination.View()

	switch {
	case s.draining.Load():
		return target{}, errDraining()
	case view == nil || !s.options.Coordination.ConfigurationConfirmed():
		return target{}, result.New(result.Unconfirmed, "the proxy has no confirmed configuration yet")
	case parameters["replication"] != "":
		return target{}, result.New(result.NotSupported, "replication connections are not supported")
	}

	if s.options.CallerLimit > 0 && s.countCallers() >= s.options.CallerLimit {
		return target{}, result.New(result.CallerLimit, "%d callers are connected, which is the limit", s.options.CallerLimit)
	}

	return findTarget(view, parameters["database"])
}

func (s *Server) countCallers() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.callers
}

// runSession registers a session and runs it.
func (s *Server) runSession(accepted *caller.Accepted, connectTarget target) {
	defer accepted.Conn.Close()

	session := newSession(s, accepted, connectTarget)

	if err := s.register(session, accepted.AllowsLongSecret); err != nil {
		s.counters.countError(err)
		accepted.Conn.SendFatal(errorResponse(err))
		accepted.Conn.Linger()

		return
	}

	defer s.unregister(session)

	session.run()
}

func (s *Server) register(opened *session, long bool) error {
	view := s.options.Coordination.View()
	number := view.Proxies[s.options.Name].Number
	secret := make([]byte, shortSecretBytes)

	if long {
		secret = make([]byte, longSecretBytes)
	}

	if _, err := rand.Read(secret); err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.draining.Load():
		return errDraining()
	case s.options.CallerLimit > 0 && s.callers >= s.options.CallerLimit:
		return result.New(result.CallerLimit, "%d callers are connected, which is the limit", s.callers)
	case len(s.sessions) >= sequenceLimit-1:
		return result.New(result.CallerLimit, "%d sessions exist, which is the limit", len(s.sessions))
	}

	for {
		// The number zero is skipped, because some drivers interpret a process id of zero as none.
		s.sequence = s.sequence%(sequenceLimit-1) + 1
		if _, taken := s.sessions[s.sequence]; !taken {
			break
		}
	}

	opened.sequence = s.sequence
	opened.process = number<<sequenceBits | s.sequence
	opened.secret = secret
	opened.counted = true
	s.callers++
	s.sessions[s.sequence] = opened

	return nil
}

// uncount ends the counting of a session towards the caller limit. A caller that learns that its session has ended may
// connect again at once, while the proxy still waits for the end of the former connection.
func (s *Server) uncount(ending *session) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if ending.counted {
		ending.counted = false
		s.callers--
	}
}

func (s *Server) unregister(ended *session) {
	s.uncount(ended)

	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.sessions, ended.sequence)
}

// Cancel cancels the request of the session with the given key. A key of another proxy is forwarded to it; an unknown
// key is ignored, as the protocol requires.
func (s *Server) Cancel(ctx context.Context, process uint32, secret []byte) {
	view := s.options.Coordination.View()
	if view == nil {
		return
	}

	s.counters.increment(counterCancelRequests)

	if process>>sequenceBits != view.Proxies[s.options.Name].Number {
		if err := s.options.Coordination.ForwardCancel(ctx, process, secret); err != nil {
			s.options.Logger.Info("can't forward a cancel request to its proxy", "process", process, "error", err)
		}

		return
	}

	s.mu.Lock()
	target := s.sessions[process%sequenceLimit]
	s.mu.Unlock()

	if target != nil && subtle.ConstantTimeCompare(target.secret, secret) == 1 {
		target.cancelByCaller()
	}
}

// Drain refuses new work and logins, and returns when the requests and transactions in progress have ended and every
// caller has its answer. When the context ends first, the remaining callers get an error and their sessions are closed.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining.Store(true)
	s.refuseLogins(errDraining())
	s.checkConnectionsEnded()

	for _, open := range s.sessions {
		open.caller.Interrupt()
	}
	s.mu.Unlock()

	_ = s.options.Listener.Close()

	var err error

	select {
	case <-s.connectionsEnded:
	case <-ctx.Done():
		err = ctx.Err()
	}

	s.closeNow()

	if err != nil {
		<-s.connectionsEnded
	}

	return err
}

// CloseIdleConnections closes up to count idle connections to a backend server, because other proxies wait for the
// permits.
func (s *Server) CloseIdleConnections(server string, count int) {
	s.pools.closeIdleConns(server, count)
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// SessionCount returns the number of sessions, including those whose callers have been told of the end and have not closed
// their connections yet.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.sessions)
}

// closeNow ends all sessions and closes all connections without waiting for requests in progress.
func (s *Server) closeNow() {
	s.mu.Lock()
	s.draining.Store(true)
	s.refuseLogins(errDraining())
	s.stop(errSessionEnded)
	s.checkConnectionsEnded()

	for _, open := range s.sessions {
		open.terminate()
	}
	s.mu.Unlock()

	_ = s.options.Listener.Close()
	s.pools.close()
}

func errDraining() error {
	return result.New(result.Draining, "the proxy is shutting down")
}

// target is the pool and group that a caller connected to.
type target struct {
	pool  string
	group string
}

// findTarget resolves a database name of the form POOL or POOL.GROUP. Both names may have dots. A name that fits two pools is refused,
// so that no caller gets the one that it does not mean.
func findTarget(view *registry.View, database string) (target, error) {
	found, err := soleTarget(view, database)

	for at, char := range database {
		if char != '.' {
			continue
		}

		named := target{pool: database[:at], group: database[at+1:]}
		pool, isPool := view.Running.Pools[named.pool]

		switch {
		case !isPool:
		case !slices.Contains(pool.Groups, named.group):
			if found == (target{}) {
				err = result.New(result.PoolUnknown, "pool %q has no group %.60q", named.pool, named.group)
			}
		case found != (target{}):
			return target{}, result.New(result.PoolUnknown, "database %.60q may be group %q of pool %q or group %q of pool %q", database,
				found.group, found.pool, named.group, named.pool)
		default:
			found, err = named, nil
		}
	}

	return found, err
}

// soleTarget resolves a database name that names a pool with one group.
func soleTarget(view *registry.View, database string) (target, error) {
	pool, found := view.Running.Pools[database]

	switch {
	case !found:
		return target{}, result.New(result.PoolUnknown, "there is no pool %.60q", database)
	case len(pool.Groups) != 1:
		return target{}, result.New(result.PoolUnknown, "pool %q has %d groups; connect to database %s.GROUP", database, len(pool.Groups), database)
	}

	return target{pool: database, group: pool.Groups[0]}, nil
}
