package standin

import (
	"context"
	"database/sql"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"almondgrade/core/position"
)

// change is one writing statement of a committed transaction.
type change struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint,omitempty"`
	Seed uint64 `cbor:"3,keyasint"`
	Now  int64  `cbor:"4,keyasint"`
}

// loggedTransaction is the payload of a log record. The term distinguishes the records of different primaries.
type loggedTransaction struct {
	Term    uint64   `cbor:"1,keyasint"`
	Changes []change `cbor:"2,keyasint"`
}

//nolint:gochecknoglobals // Constant codec; integers must be decoded as int64, the type that SQLite accepts.
var decodeMode, _ = cbor.DecOptions{IntDec: cbor.IntDecConvertSignedOrFail, MaxArrayElements: 1 << 24}.DecMode()

const (
	applicationName = "application_name"
	clientAddress   = "client_addr"
	userName        = "usename"
	// replicationUser is the user name of replicas and also the startup parameter that requests replication.
	replicationUser   = "replication"
	replicationPrefix = "START_REPLICATION "
	// keepaliveInterval is the interval at which a primary sends keepalive messages to a replica.
	keepaliveInterval = 500 * time.Millisecond
	// receiverTimeout is the time without a message from the primary after which a replica reconnects.
	receiverTimeout = 10 * time.Second
	reconnectDelay  = 100 * time.Millisecond
	// maxOfferedPoints bounds the positions that a replica offers the primary for finding the end of their common log.
	maxOfferedPoints = 4096
)

// logPoint is a position in a log and the checksum of the log up to that position.
type logPoint struct {
	End      position.LSN `json:"end"`
	Checksum uint32       `json:"sum"`
}

// conninfo is a parsed primary_conninfo.
type conninfo struct {
	application string
	address     string // empty if no host is set
}

func parseConninfo(value string) conninfo {
	fields := map[string]string{"port": "5432"}
	for _, field := range strings.Fields(value) {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = strings.Trim(value, "'")
	}

	info := conninfo{application: fields[applicationName]}
	if fields["host"] != "" {
		info.address = net.JoinHostPort(fields["host"], fields["port"])
	}

	return info
}

// term returns the term from an application name of the form ag_TERM_NAME, or zero if there is none.
func (c conninfo) term() uint64 {
	fields := strings.SplitN(c.application, "_", 3)
	if len(fields) < 3 {
		return 0
	}

	term, _ := strconv.ParseUint(fields[1], 10, 64)

	return term
}

// recoverDatabase replays the records of the local log that the database lacks.
func (srv *server) recoverDatabase() error {
	conn, err := srv.db.Conn(srv.ctx)
	if err != nil {
		return eris.Wrap(err, "open database connection")
	}
	defer closeConn(conn)

	if _, err := conn.ExecContext(srv.ctx, "CREATE TABLE IF NOT EXISTS ag_replayed(lsn INTEGER)"); err != nil {
		return eris.Wrap(err, "prepare the table ag_replayed")
	}

	var replayed sql.NullInt64
	if err := conn.QueryRowContext(srv.ctx, "SELECT max(lsn) FROM ag_replayed").Scan(&replayed); err != nil {
		return eris.Wrap(err, "read replayed position")
	}

	if !replayed.Valid {
		replayed.Int64 = int64(walStart)
		if _, err := conn.ExecContext(srv.ctx, "INSERT INTO ag_replayed VALUES (?)", replayed.Int64); err != nil {
			return eris.Wrap(err, "prepare the table ag_replayed")
		}
	}

	srv.replayed.Store(uint64(replayed.Int64))

	env := newEnvironment(srv, nil)
	defer env.close()

	records, _ := srv.store.wal.recordsFrom(srv.store.wal.countUntil(position.LSN(replayed.Int64)))
	for _, r := range records {
		if err := srv.applyRecord(conn, env, r); err != nil {
			return err
		}
	}

	return nil
}

// closeConn closes a connection instead of returning it to the pool.
func closeConn(conn *sql.Conn) {
	_ = conn.Close()
}

// applyRecord applies a log record to the database in one transaction.
func (srv *server) applyRecord(conn *sql.Conn, env *environment, r record) error {
	var tx loggedTransaction
	if err := decodeMode.Unmarshal(r.payload, &tx); err != nil {
		return eris.Wrapf(err, "decode log record that ends at %s", r.end)
	}

	ctx := context.Background()

	if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return eris.Wrap(err, "replay")
	}

	for _, c := range tx.Changes {
		if err := replayChange(ctx, conn, env, c); err != nil {
			_, _ = conn.ExecContext(ctx, "ROLLBACK")
			return eris.Wrapf(err, "replay %.200q of the log record that ends at %s", c.SQL, r.end)
		}
	}

	if _, err := conn.ExecContext(ctx, "UPDATE ag_replayed SET lsn = ?", int64(r.end)); err != nil {
		return eris.Wrap(err, "replay")
	}

	if _, err := conn.ExecContext(ctx, "COMMIT"); err != nil {
		return eris.Wrap(err, "replay")
	}

	srv.replayed.Store(uint64(r.end))

	return nil
}

func replayChange(ctx context.Context, conn *sql.Conn, env *environment, c change) error {
	env.seed(c.Seed)
	env.now = time.UnixMicro(c.Now)

	parts := splitTokens(c.SQL)
	if len(parts) != 1 {
		return fmt.Errorf("logged change has %d statements instead of one", len(parts))
	}

	st, err := analyse(parts[0])
	if err != nil {
		return err
	}

	_, err = conn.ExecContext(ctx, st.rewrite(env.key), c.Args...)

	return err
}

// replayer applies the received log to the database of a replica after the configured lag.
type replayer struct {
	srv *server
	// ignoreLag makes the replayer ignore the lag; it is set before a promotion.
	ignoreLag atomic.Bool
	wake      *notifier
	applied   *notifier
	// applyMu is held while a record is applied or the log is truncated.
	applyMu sync.Mutex
	failed  atomic.Pointer[error]
}

func startReplayer(srv *server) *replayer {
	r := &replayer{srv: srv, wake: newNotifier(), applied: newNotifier()}

	if !srv.isPrimary() {
		srv.running.Go(r.run)
	}

	return r
}

func (r *replayer) run() {
	conn, err := r.srv.db.Conn(r.srv.ctx)
	if err != nil {
		return
	}
	defer closeConn(conn)

	env := newEnvironment(r.srv, nil)
	defer env.close()

	for !r.srv.isPrimary() && r.srv.ctx.Err() == nil {
		records, changed := r.srv.store.wal.recordsFrom(r.srv.store.wal.countUntil(position.LSN(r.srv.replayed.Load())))
		if len(records) == 0 {
			r.applied.notify()

			select {
			case <-changed:
				continue
			case <-r.srv.ctx.Done():
				return
			}
		}

		if !r.waitDue(records[0]) || !r.srv.member.faults.waitThawed(r.srv.ctx.Done()) {
			continue
		}

		if err := r.applyIfCurrent(conn, env, records[0]); err != nil {
			r.srv.log.Error("replay of the log stopped", "error", err)
			r.failed.Store(&err)
			r.applied.notify()

			return
		}
	}
}

// applyIfCurrent applies a record unless it was removed from the log meanwhile.
func (r *replayer) applyIfCurrent(conn *sql.Conn, env *environment, next record) error {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()

	if !r.srv.store.wal.matches(next.end, next.checksum) {
		return nil
	}

	return r.srv.applyRecord(conn, env, next)
}

// waitDue waits until a record may be replayed. It returns false if the lag or ignoreLag changed, or the server
// stopped, before then.
func (r *replayer) waitDue(next record) bool {
	delayChanged, wake := r.srv.member.delayChanged.waitChannel(), r.wake.waitChannel()
	left := time.Until(next.received.Add(time.Duration(r.srv.member.replayLag.Load())))

	if left <= 0 || r.ignoreLag.Load() {
		return true
	}

	timer := time.NewTimer(left)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-delayChanged:
	case <-wake:
	case <-r.srv.ctx.Done():
	}

	return false
}

// catchUp replays the rest of the local log without lag and waits until it is done.
func (r *replayer) catchUp(ctx context.Context) error {
	r.ignoreLag.Store(true)
	r.wake.notify()

	for {
		applied := r.applied.waitChannel()

		if err := r.failure(); err != nil {
			return err
		}

		if position.LSN(r.srv.replayed.Load()) == r.srv.store.wal.end() {
			return nil
		}

		select {
		case <-applied:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-r.srv.ctx.Done():
			return errTerminated
		}
	}
}

func (r *replayer) failure() error {
	if failed := r.failed.Load(); failed != nil {
		return *failed
	}

	return nil
}

// restartReceiver stops the receiver and, on a replica, starts one for the address in primary_conninfo, if it is set.
func (srv *server) restartReceiver() {
	srv.receiverMu.Lock()
	defer srv.receiverMu.Unlock()

	srv.stopReceiver()

	info := parseConninfo(srv.setting("primary_conninfo"))

	if srv.isPrimary() || info.address == "" || srv.ctx.Err() != nil {
		return
	}

	next := newReceiver(srv, info)
	srv.setReceiver(next)
	srv.running.Go(next.run)
}

// stopReceiver stops the receiver. pg_stat_wal_receiver shows the receiver until it has stopped.
func (srv *server) stopReceiver() {
	srv.mu.Lock()
	previous := srv.receiver
	srv.mu.Unlock()

	if previous != nil {
		previous.close()
		srv.setReceiver(nil)
	}
}

func (srv *server) setReceiver(r *receiver) {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	srv.receiver = r
}

// receiver streams the log from a primary.
type receiver struct {
	srv  *server
	info conninfo
	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}
	// lastMessageMicros is the Unix time of the last message in microseconds, or zero while the receiver is not
	// connected.
	lastMessageMicros atomic.Int64
	pid               uint32
}

func newReceiver(srv *server, info conninfo) *receiver {
	r := &receiver{srv: srv, info: info, done: make(chan struct{})}
	r.ctx, r.stop = context.WithCancel(srv.ctx)

	srv.mu.Lock()
	r.pid = srv.nextPIDLocked()
	srv.mu.Unlock()

	return r
}

// close stops the receiver and waits until it has ended; after that, the local log does not grow.
func (r *receiver) close() {
	r.stop()
	<-r.done
}

func (r *receiver) run() {
	defer close(r.done)
	defer r.lastMessageMicros.Store(0)

	for r.ctx.Err() == nil {
		if err := r.receive(); err != nil && r.ctx.Err() == nil {
			r.srv.log.Debug("replication connection failed; reconnecting", "primary", r.info.address, "error", err)
		}

		r.lastMessageMicros.Store(0)

		if sleep(r.ctx, reconnectDelay) != nil {
			return
		}
	}
}

// arrival is a message that was read from the primary but not yet delivered to the log.
type arrival struct {
	at       time.Time
	payload  []byte
	checksum uint32
}

// receive streams the log over one connection until the connection ends.
func (r *receiver) receive() error {
	dialer := net.Dialer{Timeout: receiverTimeout}

	conn, err := dialer.DialContext(r.ctx, "tcp", r.info.address)
	if err != nil {
		return eris.Wrap(err, "connect to primary")
	}

	l := newLink(conn, r.srv.member.faults, r.info.application)
	defer func() { _ = l.Close() }()

	stopWatching := context.AfterFunc(r.ctx, func() { _ = l.Close() })
	defer stopWatching()

	frontend := pgproto3.NewFrontend(l, l)
	if err := r.handshake(l, frontend); err != nil {
		return err
	}

	r.lastMessageMicros.Store(time.Now().UnixMicro())
	r.srv.hasReceived.Store(true)

	if err := r.acknowledge(frontend, r.srv.store.wal.end()); err != nil {
		return err
	}

	arrivals := make(chan arrival, maxOfferedPoints)
	failed := make(chan error, 1)

	var delivery sync.WaitGroup

	delivery.Go(func() {
		if err := r.deliver(frontend, arrivals); err != nil {
			failed <- err
			_ = l.Close()
		}
	})

	err = r.read(l, frontend, arrivals)
	_ = l.Close()
	close(arrivals)
	delivery.Wait()

	select {
	case cause := <-failed:
		return errors.Join(cause, err)
	default:
		return err
	}
}

func (r *receiver) read(l *link, frontend *pgproto3.Frontend, arrivals chan<- arrival) error {
	// A read deadline of the socket would not interrupt a read that an injected fault blocks.
	watchdog := time.AfterFunc(receiverTimeout, func() { _ = l.Close() })
	defer watchdog.Stop()

	for {
		message, err := frontend.Receive()
		if err != nil {
			return err
		}

		watchdog.Reset(receiverTimeout)

		data, ok := message.(*pgproto3.CopyData)
		if !ok || len(data.Data) < 4 {
			return fmt.Errorf("unexpected message %T from the primary", message)
		}

		next := arrival{at: time.Now(), checksum: binary.BigEndian.Uint32(data.Data)}
		next.payload = append(next.payload, data.Data[4:]...)

		select {
		case arrivals <- next:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

// deliver appends each arrival to the log after the receive delay and acknowledges it.
func (r *receiver) deliver(frontend *pgproto3.Frontend, arrivals <-chan arrival) error {
	for next := range arrivals {
		if err := r.waitReceiveDelay(next.at); err != nil {
			return err
		}

		if !r.srv.member.faults.waitThawed(r.ctx.Done()) {
			return r.ctx.Err()
		}

		r.lastMessageMicros.Store(time.Now().UnixMicro())

		end := r.srv.store.wal.end()

		if len(next.payload) > 0 {
			var err error
			if end, err = r.srv.store.wal.appendReceived(next.payload, next.checksum); err != nil {
				return err
			}
		}

		if err := r.acknowledge(frontend, end); err != nil {
			return err
		}
	}

	return nil
}

func (r *receiver) waitReceiveDelay(arrived time.Time) error {
	for {
		delayChanged := r.srv.member.delayChanged.waitChannel()

		left := time.Until(arrived.Add(time.Duration(r.srv.member.receiveDelay.Load())))
		if left <= 0 {
			return r.ctx.Err()
		}

		timer := time.NewTimer(left)

		select {
		case <-timer.C:
		case <-delayChanged:
			timer.Stop()
		case <-r.ctx.Done():
			timer.Stop()
			return r.ctx.Err()
		}
	}
}

func (r *receiver) acknowledge(frontend *pgproto3.Frontend, end position.LSN) error {
	report := binary.BigEndian.AppendUint64(nil, uint64(end))
	report = binary.BigEndian.AppendUint64(report, r.srv.replayed.Load())
	frontend.Send(&pgproto3.CopyData{Data: report})

	return frontend.Flush()
}

// handshake starts replication: the primary tells where the common log ends, and the replica discards its own log past
// that position.
func (r *receiver) handshake(l *link, frontend *pgproto3.Frontend) error {
	watchdog := time.AfterFunc(receiverTimeout, func() { _ = l.Close() })
	defer watchdog.Stop()

	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": replicationUser, replicationUser: "true", applicationName: r.info.application,
	}})

	offer, err := json.Marshal(r.srv.store.wal.recentPoints(maxOfferedPoints))
	if err != nil {
		return eris.Wrap(err, "encode positions")
	}

	frontend.Send(&pgproto3.Query{String: replicationPrefix + string(offer)})

	if err := frontend.Flush(); err != nil {
		return err
	}

	for {
		message, err := frontend.Receive()
		if err != nil {
			return err
		}

		switch message := message.(type) {
		case *pgproto3.ErrorResponse:
			return errorf(message.Code, "%s", message.Message)
		case *pgproto3.CopyData:
			return r.rewindTo(position.LSN(binary.BigEndian.Uint64(message.Data)))
		}
	}
}

// rewindTo discards the local log past the end of the common log, as pg_rewind does. If discarded records are already
// replayed, it restarts the member.
func (r *receiver) rewindTo(common position.LSN) error {
	wal := r.srv.store.wal
	if end := wal.end(); common < end {
		r.srv.log.Warn("local log diverged from the primary's; rewinding it", "from", end.String(), "to", common.String())
	}

	r.srv.replayer.applyMu.Lock()

	if common >= position.LSN(r.srv.replayed.Load()) {
		defer r.srv.replayer.applyMu.Unlock()

		return wal.truncate(common)
	}

	r.srv.replayer.applyMu.Unlock()

	go func() {
		if err := r.srv.member.rewind(r.srv, common); err != nil {
			r.srv.log.Error("rewind of the diverged log failed", "error", err)
		}
	}()

	<-r.ctx.Done()

	return r.ctx.Err()
}

// recentPoints returns the last count record ends of the log, newest first, followed by the start of the log.
func (w *wal) recentPoints(count int) []logPoint {
	w.mu.Lock()
	defer w.mu.Unlock()

	var points []logPoint
	for i := len(w.records) - 1; i >= 0 && len(points) < count; i-- {
		points = append(points, logPoint{w.records[i].end, w.records[i].checksum})
	}

	return append(points, logPoint{End: walStart})
}

// follower is a replica that streams the log from this server.
type follower struct {
	pid         uint32
	application string
	client      string
	// flushed and replayed are LSNs; they are zero until the replica has reported them.
	flushed, replayed, sent atomic.Uint64
}

// streamLog serves START_REPLICATION until the connection ends. Only a primary serves it: there is no cascading
// replication.
func (srv *server) streamLog(l *link, backend *pgproto3.Backend, application, offer string) error {
	if !srv.isPrimary() {
		return errorf(stateNotInPrerequisiteState, "recovery is in progress")
	}

	var points []logPoint
	if err := json.Unmarshal([]byte(offer), &points); err != nil {
		return errorf(stateProtocolViolation, "START_REPLICATION: %v", err)
	}

	common := walStart

	for _, p := range points {
		if srv.store.wal.matches(p.End, p.Checksum) {
			common = p.End
			break
		}
	}

	backend.Send(&pgproto3.CopyBothResponse{})
	backend.Send(&pgproto3.CopyData{Data: binary.BigEndian.AppendUint64(nil, uint64(common))})

	if err := backend.Flush(); err != nil {
		return err
	}

	f := srv.addFollower(application, l.RemoteAddr().String())
	defer srv.removeFollower(f)

	ctx, cancel := context.WithCancel(srv.ctx)
	defer cancel()

	stopWatching := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stopWatching()

	srv.running.Go(func() {
		defer cancel()
		f.receiveReports(backend)
	})

	return srv.sendLog(ctx, backend, f, common)
}

func (srv *server) addFollower(application, client string) *follower {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	f := &follower{pid: srv.nextPIDLocked(), application: application, client: client}
	srv.followers[f.pid] = f

	return f
}

func (srv *server) removeFollower(f *follower) {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	delete(srv.followers, f.pid)
}

// receiveReports stores the positions that the replica reports, until the connection ends.
func (f *follower) receiveReports(backend *pgproto3.Backend) {
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}

		if data, ok := message.(*pgproto3.CopyData); ok && len(data.Data) == 16 {
			f.flushed.Store(binary.BigEndian.Uint64(data.Data))
			f.replayed.Store(binary.BigEndian.Uint64(data.Data[8:]))
		}
	}
}

func (srv *server) sendLog(ctx context.Context, backend *pgproto3.Backend, f *follower, from position.LSN) error {
	next := srv.store.wal.countUntil(from)
	ticker := time.NewTicker(keepaliveInterval)

	defer ticker.Stop()

	for {
		records, changed := srv.store.wal.recordsFrom(next)
		for _, r := range records {
			backend.Send(&pgproto3.CopyData{Data: append(binary.BigEndian.AppendUint32(nil, r.checksum), r.payload...)})

			if err := backend.Flush(); err != nil {
				return err
			}

			f.sent.Store(uint64(r.end))
		}

		next += len(records)

		select {
		case <-changed:
		case <-ticker.C:
			backend.Send(&pgproto3.CopyData{Data: make([]byte, 4)})

			if err := backend.Flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (srv *server) followerRows() []map[string]any {
	srv.mu.Lock()
	defer srv.mu.Unlock()

	rows := make([]map[string]any, 0, len(srv.followers))

	for _, f := range srv.followers {
		rows = append(rows, map[string]any{
			"pid": f.pid, userName: replicationUser, applicationName: f.application, clientAddress: f.client,
			"state": "streaming", "sent_lsn": optionalLSN(f.sent.Load()), "write_lsn": optionalLSN(f.flushed.Load()),
			"flush_lsn": optionalLSN(f.flushed.Load()), "replay_lsn": optionalLSN(f.replayed.Load()), "sync_state": "async",
		})
	}

	return rows
}

func optionalLSN(value uint64) any {
	if value == 0 {
		return nil
	}

	return position.LSN(value).String()
}

func (srv *server) receiverRows() []map[string]any {
	srv.mu.Lock()
	r := srv.receiver
	srv.mu.Unlock()

	if r == nil || r.lastMessageMicros.Load() == 0 {
		return nil
	}

	host, port, _ := net.SplitHostPort(r.info.address)

	return []map[string]any{{
		"pid": r.pid, "status": "streaming", "flushed_lsn": srv.store.wal.end().String(),
		"last_msg_receipt_time": epochSeconds(time.UnixMicro(r.lastMessageMicros.Load())), "sender_host": host, "sender_port": port,
		"conninfo": "application_name=" + r.info.application,
	}}
}
