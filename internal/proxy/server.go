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
	"strings"
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
	// startupReserve is the number of connections above the caller limit that may be in startup, so that callers
	// are told why they are refused and cancel requests get through.
	startupReserve = 64
	// sequenceBits is the width of a connection's number in the process id of its cancel key. The proxy's number
	// is above it.
	sequenceBits  = 16
	sequenceLimit = 1 << sequenceBits
	// shortSecret and longSecret are the sizes of cancel keys for protocol 3.0 and for 3.2 and later.
	shortSecret = 4
	longSecret  = 32
	// cancelTimeout bounds the delivery of one cancel request.
	cancelTimeout = 5 * time.Second
	// acceptPause is the wait after a failure to accept, such as too many open files.
	acceptPause = 50 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Coordination Coordination
	// Name is the proxy's name, as in the registry.
	Name string
	// Application begins the application names of backend connections, by which the coordinator counts them; empty
	// means "ag/NAME/".
	Application string
	// Listener accepts callers.
	Listener net.Listener
	Logger   *slog.Logger
	// Metrics receives the counters; nil means a registry of its own.
	Metrics metrics.Registry
	// TLS and BackendTLS enable encryption towards callers and backend servers if they are not nil.
	TLS        *tls.Config
	BackendTLS *tls.Config
	// CallerLimit bounds the caller connections; zero means no limit but that of cancel keys.
	CallerLimit int
	// Router chooses servers for reads; nil means the policy "fresh".
	Router Router
}

// Server serves callers.
type Server struct {
	options  Options
	pools    *pools
	counters counters
	budget   *retry.Budget
	turn     atomic.Uint64
	waiting  waiting
	// parameters are what a backend server reported at login, for the greeting of callers.
	parameters atomic.Pointer[map[string]string]

	mu       sync.Mutex
	sessions map[uint32]*session
	startups int
	sequence uint32
	draining atomic.Bool
	// empty is closed when the proxy drains and the last session is gone.
	empty chan struct{}
	// stop ends everything that still runs.
	stop    context.CancelFunc
	stopped context.Context
}

// waiting counts the requests of each traffic rule that wait.
type waiting struct {
	rules sync.Map
}

func (w *waiting) of(rule string) *atomic.Int64 {
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
		options.Router = route.Fresh()
	}

	server := &Server{
		options:  options,
		pools:    newPools(options),
		counters: counters{registry: options.Metrics},
		budget:   newBudget(),
		sessions: make(map[uint32]*session),
		empty:    make(chan struct{}),
	}
	server.stopped, server.stop = context.WithCancel(context.Background())

	return server
}

// Serve accepts callers until the context ends or Drain is called. It returns when the listener is closed; sessions
// end with the context or with Drain.
func (s *Server) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)

	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.shut()
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
					s.pools.reap(now, view)
				}
			}
		}
	})
	group.Go(func() error {
		return s.accept(ctx)
	})

	return group.Wait()
}

// accept takes connections until the listener is closed.
//
//nolint:contextcheck // A session outlives the context while the proxy drains.
func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := s.options.Listener.Accept()

		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			if s.draining.Load() {
				return nil
			}

			s.shut()

			return nil
		default:
			s.options.Logger.Warn("accept failed", "error", err)

			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
			}

			continue
		}

		if !s.starting() {
			_ = conn.Close()
			s.counters.add(result.CallerLimit.Describe().Name)

			continue
		}

		go func() {
			defer s.started()
			defer s.recovered(conn)
			s.serve(conn)
		}()
	}
}

// recovered ends one caller's connection after a fault of the program; the other callers go on.
func (s *Server) recovered(conn net.Conn) {
	if fault := recover(); fault != nil {
		s.options.Logger.Error("session failed", "caller", conn.RemoteAddr().String(), "fault", fault)
		_ = conn.Close()
	}
}

// starting counts a connection in; it reports false if there are too many.
func (s *Server) starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.options.CallerLimit > 0 && s.startups >= s.options.CallerLimit+startupReserve {
		return false
	}

	s.startups++

	return true
}

func (s *Server) started() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.startups--
}

// serve runs one connection from startup to its end.
func (s *Server) serve(conn net.Conn) {
	var running settings.Running
	if view := s.options.Coordination.View(); view != nil {
		running = view.Running
	}

	var rule target

	accepted, err := caller.Accept(conn, caller.Options{
		TLS:            s.options.TLS,
		StartupTimeout: startupTimeout,
		StallTimeout:   running.Timing.Deadline.Or(startupTimeout),
		MessageLimit:   running.Timing.MessageLimit,
		Verifier: func(user string) (string, bool) {
			found, known := running.Users[user]

			return found.Verifier, known
		},
		Admit: func(parameters map[string]string) error {
			var err error
			rule, err = s.admit(parameters)

			return err
		},
	})
	if err != nil {
		s.counters.refused(err)

		if !errors.Is(err, io.EOF) {
			s.options.Logger.Info("caller refused", "caller", conn.RemoteAddr().String(), "error", err)
		}

		return
	}

	if accepted.Cancel != nil {
		// The connection is closed only when the request was passed on, which is what callers wait for.
		ctx, cancel := context.WithTimeout(s.stopped, cancelTimeout)
		defer cancel()

		s.Cancel(ctx, accepted.Cancel.Process, accepted.Cancel.Secret)
		_ = conn.Close()

		return
	}

	s.open(accepted, rule)
}

// admit checks whether a caller with the given startup parameters may log in.
func (s *Server) admit(parameters map[string]string) (target, error) {
	view := s.options.Coordination.View()

	switch {
	case s.draining.Load():
		return target{}, errDraining()
	case view == nil || !s.options.Coordination.Confirmed():
		return target{}, result.New(result.Unconfirmed, "the proxy has no confirmed configuration yet")
	case parameters["replication"] != "":
		return target{}, result.New(result.NotSupported, "replication connections are not supported")
	}

	if s.options.CallerLimit > 0 && s.count() >= s.options.CallerLimit {
		return target{}, result.New(result.CallerLimit, "%d callers are connected, which is the limit", s.options.CallerLimit)
	}

	return findTarget(view, parameters["database"])
}

func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.sessions)
}

// open registers a session and runs it.
func (s *Server) open(accepted *caller.Accepted, rule target) {
	defer accepted.Conn.Close()

	self := newSession(s, accepted, rule)

	if err := s.register(self, accepted.AllowsLongSecret); err != nil {
		s.counters.refused(err)
		accepted.Conn.SendFatal(response(err))

		return
	}

	defer s.unregister(self)

	self.run()
}

func (s *Server) register(self *session, long bool) error {
	view := s.options.Coordination.View()
	number := view.Proxies[s.options.Name].Number
	secret := make([]byte, shortSecret)

	if long {
		secret = make([]byte, longSecret)
	}

	if _, err := rand.Read(secret); err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.draining.Load():
		return errDraining()
	case s.options.CallerLimit > 0 && len(s.sessions) >= s.options.CallerLimit || len(s.sessions) >= sequenceLimit-1:
		return result.New(result.CallerLimit, "%d callers are connected, which is the limit", len(s.sessions))
	}

	for {
		// The number zero is left out: some drivers take a process id of zero for none.
		s.sequence = s.sequence%(sequenceLimit-1) + 1
		if _, taken := s.sessions[s.sequence]; !taken {
			break
		}
	}

	self.sequence = s.sequence
	self.process = number<<sequenceBits | s.sequence
	self.secret = secret
	s.sessions[s.sequence] = self

	return nil
}

func (s *Server) unregister(self *session) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.sessions, self.sequence)

	if s.draining.Load() && len(s.sessions) == 0 {
		s.closeEmpty()
	}
}

// closeEmpty runs under the lock.
func (s *Server) closeEmpty() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Cancel cancels what the session with the given key runs. A key of another proxy is passed on to it; a key that
// belongs to nobody is ignored, as the protocol wants.
func (s *Server) Cancel(ctx context.Context, process uint32, secret []byte) {
	view := s.options.Coordination.View()
	if view == nil {
		return
	}

	s.counters.add(counterCancel)

	if process>>sequenceBits != view.Proxies[s.options.Name].Number {
		if err := s.options.Coordination.ForwardCancel(ctx, process, secret); err != nil {
			s.options.Logger.Info("cancel request was not passed on", "process", process, "error", err)
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

// Drain stops new work and returns when the requests and transactions in progress have ended. When the context ends
// first, the rest is told and closed.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining.Store(true)

	if len(s.sessions) == 0 {
		s.closeEmpty()
	}

	for _, open := range s.sessions {
		open.caller.Interrupt()
	}
	s.mu.Unlock()

	_ = s.options.Listener.Close()

	var err error

	select {
	case <-s.empty:
	case <-ctx.Done():
		err = ctx.Err()
	}

	s.shut()

	if err != nil {
		<-s.empty
	}

	return err
}

// Recall closes up to a number of idle connections to a backend server, because other proxies wait for them.
func (s *Server) Recall(server string, count int) {
	s.pools.recall(server, count)
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Sessions returns the number of callers that are logged in.
func (s *Server) Sessions() int {
	return s.count()
}

// shut ends everything at once.
func (s *Server) shut() {
	s.mu.Lock()
	s.draining.Store(true)
	s.stop()

	if len(s.sessions) == 0 {
		s.closeEmpty()
	}

	for _, open := range s.sessions {
		open.end()
	}
	s.mu.Unlock()

	_ = s.options.Listener.Close()
	s.pools.close()
}

func errDraining() error {
	return result.New(result.Draining, "the proxy is shutting down")
}

// target is what a caller connected to.
type target struct {
	pool  string
	group string
}

// findTarget reads a database name of the form POOL or POOL.GROUP.
func findTarget(view *registry.View, database string) (target, error) {
	name, group, named := strings.Cut(database, ".")

	pool, found := view.Running.Pools[name]
	if !found {
		return target{}, result.New(result.PoolUnknown, "there is no pool %.60q", name)
	}

	if !named {
		if len(pool.Groups) != 1 {
			return target{}, result.New(result.PoolUnknown,
				"pool %q has %d groups; connect to database %s.GROUP", name, len(pool.Groups), name)
		}

		return target{pool: name, group: pool.Groups[0]}, nil
	}

	for _, known := range pool.Groups {
		if known == group {
			return target{pool: name, group: group}, nil
		}
	}

	return target{}, result.New(result.PoolUnknown, "pool %q has no group %.60q", name, group)
}
