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

// change is one statement of a committed transaction.
type change struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint,omitempty"`
	Seed uint64 `cbor:"3,keyasint"`
	Now  int64  `cbor:"4,keyasint"`
}

// transaction is the payload of a log record. Its term tells the logs of two primaries apart.
type transaction struct {
	Term    uint64   `cbor:"1,keyasint"`
	Changes []change `cbor:"2,keyasint"`
}

//nolint:gochecknoglobals // Constant codec; integers must come back as int64, the type that SQLite takes.
var decoding, _ = cbor.DecOptions{IntDec: cbor.IntDecConvertSignedOrFail, MaxArrayElements: 1 << 24}.DecMode()

const (
	applicationName = "application_name"
	clientAddress   = "client_addr"
	userName        = "usename"
	// replicationUser is the user of replicas, and the startup parameter that asks for replication.
	replicationUser   = "replication"
	replicationPrefix = "START_REPLICATION "
	// keepalivePeriod is the longest time between two messages of a primary to a replica.
	keepalivePeriod = 500 * time.Millisecond
	// receiverTimeout is the time without a message after which a replica reconnects.
	receiverTimeout = 10 * time.Second
	retryPeriod     = 100 * time.Millisecond
	// offeredPositions is the number of positions in which a replica looks for the end of the common log.
	offeredPositions = 4096
)

// point is a position of a log together with the checksum of the log up to there.
type point struct {
	End position.LSN `json:"end"`
	Sum uint32       `json:"sum"`
}

// conninfo is a parsed primary_conninfo.
type conninfo struct {
	application string
	address     string // empty without a host
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

// term returns the term that an application name of the form ag_TERM_NAME carries.
func (c conninfo) term() uint64 {
	fields := strings.SplitN(c.application, "_", 3)
	if len(fields) < 3 {
		return 0
	}

	term, _ := strconv.ParseUint(fields[1], 10, 64)

	return term
}

// recover brings the tables to the end of the local log.
func (srv *server) recover() error {
	conn, err := srv.db.Conn(srv.ctx)
	if err != nil {
		return eris.Wrap(err, "open tables")
	}
	defer discard(conn)

	if _, err := conn.ExecContext(srv.ctx, "CREATE TABLE IF NOT EXISTS ag_replayed(lsn INTEGER)"); err != nil {
		return eris.Wrap(err, "prepare tables")
	}

	var replayed sql.NullInt64
	if err := conn.QueryRowContext(srv.ctx, "SELECT max(lsn) FROM ag_replayed").Scan(&replayed); err != nil {
		return eris.Wrap(err, "read replayed position")
	}

	if !replayed.Valid {
		replayed.Int64 = int64(walBegin)
		if _, err := conn.ExecContext(srv.ctx, "INSERT INTO ag_replayed VALUES (?)", replayed.Int64); err != nil {
			return eris.Wrap(err, "prepare tables")
		}
	}

	srv.replayed.Store(uint64(replayed.Int64))

	env := newEnvironment(srv, nil)
	defer env.close()

	records, _ := srv.store.wal.from(srv.store.wal.index(position.LSN(replayed.Int64)))
	for _, r := range records {
		if err := srv.apply(conn, env, r); err != nil {
			return err
		}
	}

	return nil
}

// discard closes a connection instead of returning it to the pool.
func discard(conn *sql.Conn) {
	_ = conn.Close()
}

// apply runs a log record on the tables.
func (srv *server) apply(conn *sql.Conn, env *environment, r record) error {
	var tx transaction
	if err := decoding.Unmarshal(r.payload, &tx); err != nil {
		return eris.Wrapf(err, "log record before %s", r.end)
	}

	ctx := context.Background()

	if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return eris.Wrap(err, "replay")
	}

	for _, c := range tx.Changes {
		if err := replayChange(ctx, conn, env, c); err != nil {
			_, _ = conn.ExecContext(ctx, "ROLLBACK")
			return eris.Wrapf(err, "replay %.200q before %s", c.SQL, r.end)
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

	parts := split(c.SQL)
	if len(parts) != 1 {
		return fmt.Errorf("%d statements in one", len(parts))
	}

	st, err := analyse(parts[0])
	if err != nil {
		return err
	}

	_, err = conn.ExecContext(ctx, st.rewrite(env.key), c.Args...)

	return err
}

// replay applies the received log to the tables of a replica, with the lag that is set.
type replay struct {
	srv *server
	// hurry makes it ignore the lag, before a promotion.
	hurry   atomic.Bool
	wake    *signal
	applied *signal
	// applying is held while a record is applied, and while the log is truncated.
	applying sync.Mutex
	failed   atomic.Pointer[error]
}

func startReplay(srv *server) *replay {
	r := &replay{srv: srv, wake: newSignal(), applied: newSignal()}

	if !srv.isPrimary() {
		srv.running.Go(r.run)
	}

	return r
}

func (r *replay) run() {
	conn, err := r.srv.db.Conn(r.srv.ctx)
	if err != nil {
		return
	}
	defer discard(conn)

	env := newEnvironment(r.srv, nil)
	defer env.close()

	for !r.srv.isPrimary() && r.srv.ctx.Err() == nil {
		records, changed := r.srv.store.wal.from(r.srv.store.wal.index(position.LSN(r.srv.replayed.Load())))
		if len(records) == 0 {
			r.applied.raise()

			select {
			case <-changed:
				continue
			case <-r.srv.ctx.Done():
				return
			}
		}

		if !r.due(records[0]) || !r.srv.member.faults.thawed(r.srv.ctx.Done()) {
			continue
		}

		if err := r.one(conn, env, records[0]); err != nil {
			r.srv.log.Error("replay stopped", "error", err)
			r.failed.Store(&err)
			r.applied.raise()

			return
		}
	}
}

// one applies a record unless it was discarded meanwhile.
func (r *replay) one(conn *sql.Conn, env *environment, next record) error {
	r.applying.Lock()
	defer r.applying.Unlock()

	if !r.srv.store.wal.holds(next.end, next.sum) {
		return nil
	}

	return r.srv.apply(conn, env, next)
}

// due waits until a record may be replayed. It returns false when the conditions changed meanwhile.
func (r *replay) due(next record) bool {
	tuned, wake := r.srv.member.tuned.wait(), r.wake.wait()
	left := time.Until(next.received.Add(time.Duration(r.srv.member.lag.Load())))

	if left <= 0 || r.hurry.Load() {
		return true
	}

	timer := time.NewTimer(left)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-tuned:
	case <-wake:
	case <-r.srv.ctx.Done():
	}

	return false
}

// finish waits until the whole local log is replayed.
func (r *replay) finish(ctx context.Context) error {
	r.hurry.Store(true)
	r.wake.raise()

	for {
		applied := r.applied.wait()

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

func (r *replay) failure() error {
	if failed := r.failed.Load(); failed != nil {
		return *failed
	}

	return nil
}

// follow makes the receiver follow the address in primary_conninfo, if there is one.
func (srv *server) follow() {
	srv.following.Lock()
	defer srv.following.Unlock()

	srv.unfollow()

	info := parseConninfo(srv.setting("primary_conninfo"))

	if srv.isPrimary() || info.address == "" || srv.ctx.Err() != nil {
		return
	}

	next := newReceiver(srv, info)
	srv.setReceiver(next)
	srv.running.Go(next.run)
}

// unfollow stops the receiver. The receiver is visible in pg_stat_wal_receiver until it has stopped.
func (srv *server) unfollow() {
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

// receiver pulls the log from a primary.
type receiver struct {
	srv  *server
	info conninfo
	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}
	// heard is the time of the last message in microseconds, zero while the receiver is not connected.
	heard atomic.Int64
	pid   uint32
}

func newReceiver(srv *server, info conninfo) *receiver {
	r := &receiver{srv: srv, info: info, done: make(chan struct{})}
	r.ctx, r.stop = context.WithCancel(srv.ctx)

	srv.mu.Lock()
	r.pid = srv.nextPIDLocked()
	srv.mu.Unlock()

	return r
}

// close returns once the receiver has stopped, after which the local log does not grow.
func (r *receiver) close() {
	r.stop()
	<-r.done
}

func (r *receiver) run() {
	defer close(r.done)
	defer r.heard.Store(0)

	for r.ctx.Err() == nil {
		if err := r.receive(); err != nil && r.ctx.Err() == nil {
			r.srv.log.Debug("receiver disconnected", "primary", r.info.address, "error", err)
		}

		r.heard.Store(0)

		if sleep(r.ctx, retryPeriod) != nil {
			return
		}
	}
}

// arrival is a message on its way to the replica.
type arrival struct {
	at      time.Time
	payload []byte
	sum     uint32
}

// receive streams the log over one connection until it breaks.
func (r *receiver) receive() error {
	dialer := net.Dialer{Timeout: receiverTimeout}

	conn, err := dialer.DialContext(r.ctx, "tcp", r.info.address)
	if err != nil {
		return eris.Wrap(err, "connect to primary")
	}

	l := newLink(conn, r.srv.member.faults, r.info.application)
	defer func() { _ = l.Close() }()

	unhook := context.AfterFunc(r.ctx, func() { _ = l.Close() })
	defer unhook()

	front := pgproto3.NewFrontend(l, l)
	if err := r.handshake(l, front); err != nil {
		return err
	}

	r.heard.Store(time.Now().UnixMicro())
	r.srv.received.Store(true)

	if err := r.acknowledge(front, r.srv.store.wal.end()); err != nil {
		return err
	}

	arrivals := make(chan arrival, offeredPositions)
	failed := make(chan error, 1)

	var delivery sync.WaitGroup

	delivery.Go(func() {
		if err := r.deliver(front, arrivals); err != nil {
			failed <- err
			_ = l.Close()
		}
	})

	err = r.read(l, front, arrivals)
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

func (r *receiver) read(l *link, front *pgproto3.Frontend, arrivals chan<- arrival) error {
	// A timer covers a read that a fault holds up, which a deadline of the socket does not.
	watchdog := time.AfterFunc(receiverTimeout, func() { _ = l.Close() })
	defer watchdog.Stop()

	for {
		message, err := front.Receive()
		if err != nil {
			return err
		}

		watchdog.Reset(receiverTimeout)

		data, ok := message.(*pgproto3.CopyData)
		if !ok || len(data.Data) < 4 {
			return fmt.Errorf("unexpected message %T from the primary", message)
		}

		next := arrival{at: time.Now(), sum: binary.BigEndian.Uint32(data.Data)}
		next.payload = append(next.payload, data.Data[4:]...)

		select {
		case arrivals <- next:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

// deliver writes what arrived to the log after the receive delay and acknowledges it.
func (r *receiver) deliver(front *pgproto3.Frontend, arrivals <-chan arrival) error {
	for next := range arrivals {
		if err := r.delay(next.at); err != nil {
			return err
		}

		if !r.srv.member.faults.thawed(r.ctx.Done()) {
			return r.ctx.Err()
		}

		r.heard.Store(time.Now().UnixMicro())

		end := r.srv.store.wal.end()

		if len(next.payload) > 0 {
			var err error
			if end, err = r.srv.store.wal.receive(next.payload, next.sum); err != nil {
				return err
			}
		}

		if err := r.acknowledge(front, end); err != nil {
			return err
		}
	}

	return nil
}

func (r *receiver) delay(arrived time.Time) error {
	for {
		tuned := r.srv.member.tuned.wait()

		left := time.Until(arrived.Add(time.Duration(r.srv.member.receiveDelay.Load())))
		if left <= 0 {
			return r.ctx.Err()
		}

		timer := time.NewTimer(left)

		select {
		case <-timer.C:
		case <-tuned:
			timer.Stop()
		case <-r.ctx.Done():
			timer.Stop()
			return r.ctx.Err()
		}
	}
}

func (r *receiver) acknowledge(front *pgproto3.Frontend, end position.LSN) error {
	report := binary.BigEndian.AppendUint64(nil, uint64(end))
	report = binary.BigEndian.AppendUint64(report, r.srv.replayed.Load())
	front.Send(&pgproto3.CopyData{Data: report})

	return front.Flush()
}

// handshake agrees with the primary on the end of the common log and discards what the local log has past it.
func (r *receiver) handshake(l *link, front *pgproto3.Frontend) error {
	watchdog := time.AfterFunc(receiverTimeout, func() { _ = l.Close() })
	defer watchdog.Stop()

	front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": replicationUser, replicationUser: "true", applicationName: r.info.application,
	}})

	offer, err := json.Marshal(r.srv.store.wal.points(offeredPositions))
	if err != nil {
		return eris.Wrap(err, "encode positions")
	}

	front.Send(&pgproto3.Query{String: replicationPrefix + string(offer)})

	if err := front.Flush(); err != nil {
		return err
	}

	for {
		message, err := front.Receive()
		if err != nil {
			return err
		}

		switch message := message.(type) {
		case *pgproto3.ErrorResponse:
			return errorf(message.Code, "%s", message.Message)
		case *pgproto3.CopyData:
			return r.settle(position.LSN(binary.BigEndian.Uint64(message.Data)))
		}
	}
}

// settle discards the local log past the end of the common log, as pg_rewind does.
func (r *receiver) settle(common position.LSN) error {
	wal := r.srv.store.wal
	if end := wal.end(); common < end {
		r.srv.log.Warn("the log differs from the primary's and is rewound", "from", end.String(), "to", common.String())
	}

	r.srv.replay.applying.Lock()

	if common >= position.LSN(r.srv.replayed.Load()) {
		defer r.srv.replay.applying.Unlock()

		return wal.truncate(common)
	}

	r.srv.replay.applying.Unlock()

	go func() {
		if err := r.srv.member.rewind(r.srv, common); err != nil {
			r.srv.log.Error("rewind failed", "error", err)
		}
	}()

	<-r.ctx.Done()

	return r.ctx.Err()
}

// points returns the last positions of the log, newest first, and its beginning.
func (w *wal) points(count int) []point {
	w.mu.Lock()
	defer w.mu.Unlock()

	var points []point
	for i := len(w.records) - 1; i >= 0 && len(points) < count; i-- {
		points = append(points, point{w.records[i].end, w.records[i].sum})
	}

	return append(points, point{End: walBegin})
}

// follower is a replica that pulls the log from this server.
type follower struct {
	pid         uint32
	application string
	client      string
	// flushed and replayed are zero until the replica has reported.
	flushed, replayed, sent atomic.Uint64
}

// stream serves START_REPLICATION until the connection ends. Replicas can't follow a replica.
func (srv *server) stream(l *link, back *pgproto3.Backend, application, offer string) error {
	if !srv.isPrimary() {
		return errorf(stateNotInState, "recovery is in progress")
	}

	var points []point
	if err := json.Unmarshal([]byte(offer), &points); err != nil {
		return errorf(stateProtocol, "START_REPLICATION: %v", err)
	}

	common := walBegin

	for _, p := range points {
		if srv.store.wal.holds(p.End, p.Sum) {
			common = p.End
			break
		}
	}

	back.Send(&pgproto3.CopyBothResponse{})
	back.Send(&pgproto3.CopyData{Data: binary.BigEndian.AppendUint64(nil, uint64(common))})

	if err := back.Flush(); err != nil {
		return err
	}

	f := srv.addFollower(application, l.RemoteAddr().String())
	defer srv.removeFollower(f)

	ctx, cancel := context.WithCancel(srv.ctx)
	defer cancel()

	unhook := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer unhook()

	srv.running.Go(func() {
		defer cancel()
		f.listen(back)
	})

	return srv.send(ctx, back, f, common)
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

// listen takes the replica's reports until the connection ends.
func (f *follower) listen(back *pgproto3.Backend) {
	for {
		message, err := back.Receive()
		if err != nil {
			return
		}

		if data, ok := message.(*pgproto3.CopyData); ok && len(data.Data) == 16 {
			f.flushed.Store(binary.BigEndian.Uint64(data.Data))
			f.replayed.Store(binary.BigEndian.Uint64(data.Data[8:]))
		}
	}
}

func (srv *server) send(ctx context.Context, back *pgproto3.Backend, f *follower, from position.LSN) error {
	next := srv.store.wal.index(from)
	timer := time.NewTicker(keepalivePeriod)

	defer timer.Stop()

	for {
		records, changed := srv.store.wal.from(next)
		for _, r := range records {
			back.Send(&pgproto3.CopyData{Data: append(binary.BigEndian.AppendUint32(nil, r.sum), r.payload...)})

			if err := back.Flush(); err != nil {
				return err
			}

			f.sent.Store(uint64(r.end))
		}

		next += len(records)

		select {
		case <-changed:
		case <-timer.C:
			back.Send(&pgproto3.CopyData{Data: make([]byte, 4)})

			if err := back.Flush(); err != nil {
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

	if r == nil || r.heard.Load() == 0 {
		return nil
	}

	host, port, _ := net.SplitHostPort(r.info.address)

	return []map[string]any{{
		"pid": r.pid, "status": "streaming", "flushed_lsn": srv.store.wal.end().String(),
		"last_msg_receipt_time": epoch(time.UnixMicro(r.heard.Load())), "sender_host": host, "sender_port": port,
		"conninfo": "application_name=" + r.info.application,
	}}
}
