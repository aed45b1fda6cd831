package standin

import (
	"context"
	"database/sql"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
)

// server is one run of a member, from its start to its stop.
type server struct {
	member   *Member
	log      *slog.Logger
	store    *store
	db       *sql.DB
	listener net.Listener
	address  netip.AddrPort
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	// writerLock is held by the one transaction that writes; writerHolder is its session.
	writerLock   chan struct{}
	writerHolder atomic.Pointer[session]
	advisory     *advisoryLocks
	primary      atomic.Bool
	// replayed is the LSN up to which readers see the log.
	replayed atomic.Uint64
	// hasReceived is true once a receiver has connected in this run.
	hasReceived atomic.Bool
	replayer    *replayer
	receiver    *receiver
	// receiverMu is held while the receiver is replaced.
	receiverMu sync.Mutex

	mu sync.Mutex
	// settings are the effective server settings; the store holds those that take effect at a reload.
	settings  map[string]string
	sessions  map[uint32]*session
	followers map[uint32]*follower
	lastPID   uint32
}

func startServer(m *Member, opened *store) (*server, error) {
	srv := &server{
		member: m, log: m.options.Logger.With("member", m.options.Name), store: opened,
		writerLock: make(chan struct{}, 1), advisory: newAdvisoryLocks(), settings: maps.Clone(opened.state.Settings),
		sessions: map[uint32]*session{}, followers: map[uint32]*follower{}, lastPID: rand.Uint32N(1 << 16),
	}
	srv.ctx, srv.stop = context.WithCancel(context.Background())
	srv.primary.Store(opened.state.Primary)
	srv.db = openDatabase(opened.databasePath())

	if err := srv.recoverDatabase(); err != nil {
		srv.stop()
		return nil, errors.Join(err, srv.db.Close())
	}

	var config net.ListenConfig

	listener, err := config.Listen(srv.ctx, "tcp", m.address.String())
	if err != nil {
		srv.stop()
		return nil, errors.Join(eris.Wrapf(err, "listen on %s", m.address), srv.db.Close())
	}

	srv.listener = listener
	srv.address = netip.MustParseAddrPort(listener.Addr().String())
	srv.replayer = startReplayer(srv)
	srv.restartReceiver()
	srv.running.Go(srv.acceptConnections)

	return srv, nil
}

func (srv *server) acceptConnections() {
	for {
		conn, err := srv.listener.Accept()
		if err != nil {
			return
		}

		srv.running.Go(func() { srv.serveConn(conn) })
	}
}

// close ends all sessions and the replication abruptly. Open transactions are lost; committed ones are in the log.
func (srv *server) close() error {
	srv.stop()

	err := srv.listener.Close()

	for _, s := range srv.openSessions() {
		s.end(errTerminated)
		_ = s.link.Close()
	}

	srv.running.Wait()

	return errors.Join(err, srv.db.Close(), srv.store.close())
}

func (srv *server) isPrimary() bool {
	return srv.primary.Load()
}

// openSessions returns the open sessions in no particular order.
func (srv *server) openSessions() []*session {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	sessions := make([]*session, 0, len(srv.sessions))
	for _, s := range srv.sessions {
		sessions = append(sessions, s)
	}

	return sessions
}

// addSession registers a session. It fails if the connection limit is reached or the server stops.
func (srv *server) addSession(s *session) error {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	if srv.ctx.Err() != nil {
		return errTerminated
	}

	if len(srv.sessions) >= int(srv.member.maxConnections.Load()) {
		return &sqlError{stateTooManyConnections, "sorry, too many clients already", true}
	}

	s.pid = srv.nextPIDLocked()
	srv.sessions[s.pid] = s

	return nil
}

func (srv *server) nextPIDLocked() uint32 {
	srv.lastPID++

	return srv.lastPID
}

func (srv *server) removeSession(s *session) {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	delete(srv.sessions, s.pid)
}

// cancelStatement cancels the running statement of a session if the secret key is right.
func (srv *server) cancelStatement(pid, secret uint32) {
	srv.mu.Lock()
	s := srv.sessions[pid]
	srv.mu.Unlock()

	if s != nil && s.secret == secret {
		s.cancelStatement(errCancelled)
	}
}

func (srv *server) setting(name string) string {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	return srv.settings[name]
}

// alterSystem stores or removes a setting; the next reload applies it.
func (srv *server) alterSystem(name, value string, reset bool) error {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	settings := maps.Clone(srv.store.state.Settings)
	if settings == nil {
		settings = map[string]string{}
	}

	if reset {
		delete(settings, name)
	} else {
		settings[name] = value
	}

	return srv.store.setSettings(settings)
}

// reload applies the stored settings.
func (srv *server) reload() error {
	srv.mu.Lock()
	changed := srv.settings["primary_conninfo"] != srv.store.state.Settings["primary_conninfo"]
	srv.settings = maps.Clone(srv.store.state.Settings)
	srv.mu.Unlock()

	if changed {
		srv.restartReceiver()
	}

	return nil
}

// promote makes a replica the primary after it has replayed all records that it received.
func (srv *server) promote(ctx context.Context) error {
	if srv.isPrimary() {
		return errorf(stateNotInPrerequisiteState, "recovery is not in progress")
	}

	srv.receiverMu.Lock()
	defer srv.receiverMu.Unlock()

	srv.stopReceiver()

	if err := srv.replayer.catchUp(ctx); err != nil {
		return err
	}

	srv.mu.Lock()
	defer srv.mu.Unlock()

	srv.store.state.Primary = true
	if err := srv.store.save(); err != nil {
		return err
	}

	srv.primary.Store(true)
	srv.log.Info("promoted", "at", srv.store.wal.end().String())

	return nil
}

func (srv *server) fillStatus(status *Status) {
	status.Running = true
	status.Identity = srv.store.state.Identity
	status.Incarnation = srv.store.state.Incarnation
	status.Primary = srv.isPrimary()
	status.Conninfo = srv.setting("primary_conninfo")
	status.Written = srv.store.wal.end().String()
	status.Replayed = position.LSN(srv.replayed.Load()).String()
	status.Sessions = len(srv.openSessions())

	if err := srv.replayer.failure(); err != nil {
		status.ReplayError = err.Error()
	}
}

// unreachableWriterTimeout is the interval at which a waiter checks the holder of the writer lock; it terminates a
// holder whose client is unreachable at two checks in a row. A PostgreSQL server would block only writers of the same
// rows; the lock of the stand-in would block every write.
const unreachableWriterTimeout = time.Second

// lockWriter waits for the writer lock.
func (srv *server) lockWriter(ctx context.Context, s *session) error {
	ticker := time.NewTicker(unreachableWriterTimeout)
	defer ticker.Stop()

	var suspect *session

	for {
		select {
		case srv.writerLock <- struct{}{}:
			srv.writerHolder.Store(s)
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
			holder := srv.writerHolder.Load()
			if holder == nil || !holder.link.unreachable() {
				holder = nil
			}

			if holder != nil && holder == suspect {
				holder.terminate()
			}

			suspect = holder
		}
	}
}

func (srv *server) tryLockWriter(s *session) bool {
	select {
	case srv.writerLock <- struct{}{}:
		srv.writerHolder.Store(s)
		return true
	default:
		return false
	}
}

func (srv *server) unlockWriter() {
	srv.writerHolder.Store(nil)
	<-srv.writerLock
}

// startupTimeout bounds the time until a client has sent its startup message, or its HTTP request header.
const startupTimeout = time.Minute
