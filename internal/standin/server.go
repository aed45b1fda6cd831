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
	// writer is held by the transaction that writes.
	writer   chan struct{}
	holder   atomic.Pointer[session]
	advisory *advisoryLocks
	primary  atomic.Bool
	// replayed is the LSN up to which readers see the log.
	replayed atomic.Uint64
	// received is true once the log has been received in this run.
	received atomic.Bool
	replay   *replay
	receiver *receiver
	// following is held while the receiver changes.
	following sync.Mutex

	mu sync.Mutex
	// settings are in force; the store holds those that a reload puts in force.
	settings  map[string]string
	sessions  map[uint32]*session
	followers map[uint32]*follower
	lastPID   uint32
}

func startServer(m *Member, opened *store) (*server, error) {
	srv := &server{
		member: m, log: m.options.Logger.With("member", m.options.Name), store: opened,
		writer: make(chan struct{}, 1), advisory: newAdvisoryLocks(), settings: maps.Clone(opened.state.Settings),
		sessions: map[uint32]*session{}, followers: map[uint32]*follower{}, lastPID: rand.Uint32N(1 << 16),
	}
	srv.ctx, srv.stop = context.WithCancel(context.Background())
	srv.primary.Store(opened.state.Primary)
	srv.db = openTables(opened.tablesPath())

	if err := srv.recover(); err != nil {
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
	srv.replay = startReplay(srv)
	srv.follow()
	srv.running.Go(srv.accept)

	return srv, nil
}

func (srv *server) accept() {
	for {
		conn, err := srv.listener.Accept()
		if err != nil {
			return
		}

		srv.running.Go(func() { srv.serve(conn) })
	}
}

// close ends everything at once. Open transactions are lost, committed ones are in the log.
func (srv *server) close() error {
	srv.stop()

	err := srv.listener.Close()

	for _, s := range srv.list() {
		s.end(errTerminated)
		_ = s.link.Close()
	}

	srv.running.Wait()

	return errors.Join(err, srv.db.Close(), srv.store.close())
}

func (srv *server) isPrimary() bool {
	return srv.primary.Load()
}

// list returns the sessions.
func (srv *server) list() []*session {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	sessions := make([]*session, 0, len(srv.sessions))
	for _, s := range srv.sessions {
		sessions = append(sessions, s)
	}

	return sessions
}

// enter admits a session, or refuses it when there are too many or the server stops.
func (srv *server) enter(s *session) error {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	if srv.ctx.Err() != nil {
		return errTerminated
	}

	if len(srv.sessions) >= int(srv.member.connections.Load()) {
		return &sqlError{stateConnections, "sorry, too many clients already", true}
	}

	s.pid = srv.nextPIDLocked()
	srv.sessions[s.pid] = s

	return nil
}

func (srv *server) nextPIDLocked() uint32 {
	srv.lastPID++

	return srv.lastPID
}

func (srv *server) leave(s *session) {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	delete(srv.sessions, s.pid)
}

// cancel ends the running statement of a session.
func (srv *server) cancel(pid, secret uint32) {
	srv.mu.Lock()
	s := srv.sessions[pid]
	srv.mu.Unlock()

	if s != nil && s.secret == secret {
		s.cancel(errCancelled)
	}
}

func (srv *server) setting(name string) string {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	return srv.settings[name]
}

// alterSystem stores a setting that the next reload puts in force.
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

// reload puts the stored settings in force.
func (srv *server) reload() error {
	srv.mu.Lock()
	changed := srv.settings["primary_conninfo"] != srv.store.state.Settings["primary_conninfo"]
	srv.settings = maps.Clone(srv.store.state.Settings)
	srv.mu.Unlock()

	if changed {
		srv.follow()
	}

	return nil
}

// promote makes a replica the primary once it has replayed all that it received.
func (srv *server) promote(ctx context.Context) error {
	if srv.isPrimary() {
		return errorf(stateNotInState, "recovery is not in progress")
	}

	srv.following.Lock()
	defer srv.following.Unlock()

	srv.unfollow()

	if err := srv.replay.finish(ctx); err != nil {
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

func (srv *server) status(status *Status) {
	status.Running = true
	status.Identity = srv.store.state.Identity
	status.Incarnation = srv.store.state.Incarnation
	status.Primary = srv.isPrimary()
	status.Conninfo = srv.setting("primary_conninfo")
	status.Written = srv.store.wal.end().String()
	status.Replayed = position.LSN(srv.replayed.Load()).String()
	status.Sessions = len(srv.list())

	if err := srv.replay.failure(); err != nil {
		status.Replay = err.Error()
	}
}

// abandonAfter is the time after which a waiter ends the writing session of an unreachable client. A real server
// would block only those who want the same rows; the lock of the stand-in would block every write.
const abandonAfter = time.Second

// lockWriter waits until no other transaction writes.
func (srv *server) lockWriter(ctx context.Context, s *session) error {
	ticker := time.NewTicker(abandonAfter)
	defer ticker.Stop()

	var suspect *session

	for {
		select {
		case srv.writer <- struct{}{}:
			srv.holder.Store(s)
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
			holder := srv.holder.Load()
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
	case srv.writer <- struct{}{}:
		srv.holder.Store(s)
		return true
	default:
		return false
	}
}

func (srv *server) unlockWriter() {
	srv.holder.Store(nil)
	<-srv.writer
}

// startedWithin bounds the time in which a peer must send its startup message.
const startedWithin = time.Minute
