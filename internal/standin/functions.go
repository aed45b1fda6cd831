package standin

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"modernc.org/sqlite"

	"almondgrade/core/position"
)

// environment is what the server's SQL functions act on: a session, or the replay of the log.
type environment struct {
	key     int64
	server  *server
	session *session // nil during replay
	// now is the time of the transaction and random its source of random numbers; both are logged with each
	// statement so that replicas compute the same values.
	now    time.Time
	random *rand.Rand
	// ctx is the context of the running statement.
	ctx context.Context
}

//nolint:gochecknoglobals // SQLite functions are registered for a process and find their environment by key.
var (
	environments sync.Map
	lastKey      atomic.Int64
)

func newEnvironment(srv *server, s *session) *environment {
	e := &environment{key: lastKey.Add(1), server: srv, session: s, ctx: context.Background(), now: time.Now()}
	e.seed(rand.Uint64())
	environments.Store(e.key, e)

	return e
}

func (e *environment) seed(seed uint64) {
	e.random = rand.New(rand.NewPCG(seed, 0))
}

func (e *environment) close() {
	environments.Delete(e.key)
}

type function func(e *environment, args []driver.Value) (driver.Value, error)

// functions are the server's SQL functions by name. It is filled by init because rewriting refers to it.
//
//nolint:gochecknoglobals // Constant table.
var functions = map[string]function{}

//nolint:gochecknoglobals // The driver with the functions; it is made once.
var sqliteDriver = sync.OnceValue(func() *sqlite.Driver {
	made := &sqlite.Driver{}

	for name, call := range functions {
		run := func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			key, _ := args[0].(int64)

			found, ok := environments.Load(key)
			if !ok && key != 0 {
				return nil, errorf(stateInternal, "no environment %d", key)
			}

			env, _ := found.(*environment)

			return call(env, args[1:])
		}
		if err := made.RegisterScalarFunction(functionPrefix+name, -1, run); err != nil {
			panic(err)
		}
	}

	return made
})

// boolFunctions are the functions whose result is a boolean on the wire.
//
//nolint:gochecknoglobals // Constant table.
var boolFunctions = map[string]bool{
	"pg_is_in_recovery": true, "pg_promote": true, "pg_reload_conf": true, "pg_terminate_backend": true,
	"pg_cancel_backend": true, "pg_try_advisory_lock": true, "pg_try_advisory_xact_lock": true,
	"pg_advisory_unlock": true, "exists": true, "bool": true,
}

//nolint:gochecknoinits // See functions.
func init() {
	for name, call := range map[string]function{
		"now": timeFunction, "transaction_timestamp": timeFunction, "statement_timestamp": timeFunction,
		"clock_timestamp":           timeFunction,
		"now_epoch":                 nowEpoch,
		"random":                    randomNumber,
		"gen_random_uuid":           randomUUID,
		"bool":                      toBool,
		"view":                      view,
		"version":                   constant("PostgreSQL 16.0 (almondgrade stand-in)"),
		"current_database":          sessionText(func(s *session) string { return s.database }),
		"current_user":              sessionText(func(s *session) string { return s.user }),
		"current_setting":           currentSetting,
		"set_config":                setConfig,
		"pg_sleep":                  pgSleep,
		"pg_backend_pid":            sessionNumber(func(s *session) int64 { return int64(s.pid) }),
		"pg_is_in_recovery":         func(e *environment, _ []driver.Value) (driver.Value, error) { return !e.server.isPrimary(), nil },
		"pg_current_wal_insert_lsn": walEnd, "pg_current_wal_lsn": walEnd, "pg_current_wal_flush_lsn": walEnd,
		"pg_last_wal_receive_lsn": receivedLSN,
		"pg_last_wal_replay_lsn":  replayedLSN,
		"pg_wal_lsn_diff":         lsnDifference,
		"pg_terminate_backend":    endSession((*session).terminate),
		"pg_cancel_backend":       endSession(func(s *session) { s.cancel(errCancelled) }),
		"pg_promote":              promote,
		"pg_reload_conf":          reload,
		"pg_advisory_lock":        advisoryLock(false, true), "pg_advisory_xact_lock": advisoryLock(true, true),
		"pg_try_advisory_lock": advisoryLock(false, false), "pg_try_advisory_xact_lock": advisoryLock(true, false),
		"pg_advisory_unlock":     advisoryUnlock,
		"pg_advisory_unlock_all": advisoryUnlockAll,
	} {
		functions[name] = call
	}
}

const timestampForm = "2006-01-02 15:04:05.999999-07"

func timeFunction(e *environment, _ []driver.Value) (driver.Value, error) {
	return e.now.UTC().Format(timestampForm), nil
}

func nowEpoch(_ *environment, _ []driver.Value) (driver.Value, error) {
	return epoch(time.Now()), nil
}

func epoch(at time.Time) float64 {
	return float64(at.UnixMicro()) / float64(time.Second/time.Microsecond)
}

func randomNumber(e *environment, _ []driver.Value) (driver.Value, error) {
	return e.random.Float64(), nil
}

func randomUUID(e *environment, _ []driver.Value) (driver.Value, error) {
	high, low := e.random.Uint64(), e.random.Uint64()

	// Version 4, variant 1 of RFC 9562.
	high = high&^0xf000 | 0x4000
	low = low&^(3<<62) | 2<<62

	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", high>>32, high>>16&0xffff, high&0xffff, low>>48, low&(1<<48-1)), nil
}

func toBool(_ *environment, args []driver.Value) (driver.Value, error) {
	switch value := args[0].(type) {
	case nil:
		return nil, nil
	case string:
		return parseBool(value)
	default:
		return fmt.Sprint(value) != "0", nil
	}
}

func parseBool(value string) (bool, error) {
	switch strings.ToLower(strings.TrimSpace(value)) {
	case "t", "true", "on", "yes", "y", "1":
		return true, nil
	case "f", "false", "off", "no", "n", "0":
		return false, nil
	}

	return false, errorf(stateInvalidValue, "%q is not a boolean", value)
}

func constant(value string) function {
	return func(*environment, []driver.Value) (driver.Value, error) { return value, nil }
}

func sessionText(get func(*session) string) function {
	return func(e *environment, _ []driver.Value) (driver.Value, error) {
		if e.session == nil {
			return nil, nil
		}

		return get(e.session), nil
	}
}

func sessionNumber(get func(*session) int64) function {
	return func(e *environment, _ []driver.Value) (driver.Value, error) {
		if e.session == nil {
			return nil, nil
		}

		return get(e.session), nil
	}
}

func argument(args []driver.Value, i int) string {
	if i >= len(args) || args[i] == nil {
		return ""
	}

	return fmt.Sprint(args[i])
}

func currentSetting(e *environment, args []driver.Value) (driver.Value, error) {
	if e.session == nil {
		return nil, nil
	}

	value, err := e.session.show(argument(args, 0))
	if err != nil && len(args) > 1 && argument(args, 1) != "0" {
		return nil, nil
	}

	return value, err
}

func setConfig(e *environment, args []driver.Value) (driver.Value, error) {
	if e.session == nil || len(args) < 2 {
		return nil, errorf(stateInvalidValue, "set_config needs three arguments")
	}

	return argument(args, 1), e.session.set(argument(args, 0), argument(args, 1), argument(args, 2) == "1")
}

func pgSleep(e *environment, args []driver.Value) (driver.Value, error) {
	var seconds float64
	if _, err := fmt.Sscan(argument(args, 0), &seconds); err != nil {
		return nil, errorf(stateInvalidValue, "pg_sleep: %q is not a number of seconds", argument(args, 0))
	}

	return "", sleep(e.ctx, time.Duration(seconds*float64(time.Second)))
}

// sleep waits and returns early with the cause if the context ends.
func sleep(ctx context.Context, period time.Duration) error {
	if period <= 0 {
		return nil
	}

	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func walEnd(e *environment, _ []driver.Value) (driver.Value, error) {
	if !e.server.isPrimary() {
		return nil, errorf(stateNotInState, "recovery is in progress")
	}

	return e.server.store.wal.end().String(), nil
}

func receivedLSN(e *environment, _ []driver.Value) (driver.Value, error) {
	if e.server.isPrimary() || !e.server.received.Load() {
		return nil, nil
	}

	return e.server.store.wal.end().String(), nil
}

func replayedLSN(e *environment, _ []driver.Value) (driver.Value, error) {
	if e.server.isPrimary() {
		return nil, nil
	}

	return position.LSN(e.server.replayed.Load()).String(), nil
}

func lsnDifference(_ *environment, args []driver.Value) (driver.Value, error) {
	a, err := position.ParseLSN(argument(args, 0))
	if err != nil {
		return nil, errorf(stateInvalidValue, "%v", err)
	}

	b, err := position.ParseLSN(argument(args, 1))
	if err != nil {
		return nil, errorf(stateInvalidValue, "%v", err)
	}

	return int64(a) - int64(b), nil
}

func endSession(end func(*session)) function {
	return func(e *environment, args []driver.Value) (driver.Value, error) {
		for _, s := range e.server.list() {
			if fmt.Sprint(s.pid) == argument(args, 0) {
				end(s)
				return true, nil
			}
		}

		return false, nil
	}
}

func promote(e *environment, _ []driver.Value) (driver.Value, error) {
	if err := e.server.promote(e.ctx); err != nil {
		return nil, err
	}

	return true, nil
}

func reload(e *environment, _ []driver.Value) (driver.Value, error) {
	return true, e.server.reload()
}

func advisoryLock(transaction, wait bool) function {
	return func(e *environment, args []driver.Value) (driver.Value, error) {
		if e.session == nil {
			return nil, nil
		}

		key := fmt.Sprint(args)
		if !wait {
			return e.server.advisory.try(e.session, key, transaction), nil
		}

		if e.server.advisory.try(e.session, key, transaction) {
			return "", nil
		}

		return "", e.session.withoutSlot(e.ctx, func(ctx context.Context) error {
			return e.server.advisory.lock(ctx, e.session, key, transaction)
		})
	}
}

func advisoryUnlock(e *environment, args []driver.Value) (driver.Value, error) {
	return e.session != nil && e.server.advisory.unlock(e.session, fmt.Sprint(args)), nil
}

func advisoryUnlockAll(e *environment, _ []driver.Value) (driver.Value, error) {
	if e.session != nil {
		e.server.advisory.unlockAll(e.session, false)
	}

	return "", nil
}

// view returns the rows of a system view as JSON.
func view(e *environment, args []driver.Value) (driver.Value, error) {
	if e.session == nil {
		return "[]", nil
	}

	var rows []map[string]any

	switch argument(args, 0) {
	case "pg_stat_activity":
		for _, s := range e.server.list() {
			rows = append(rows, s.activity())
		}
	case "pg_stat_replication":
		rows = e.server.followerRows()
	case "pg_stat_wal_receiver":
		rows = e.server.receiverRows()
	case "pg_settings":
		for _, name := range e.session.settingNames() {
			value, _ := e.session.show(name)
			rows = append(rows, map[string]any{"name": name, "setting": value})
		}
	}

	if rows == nil {
		return "[]", nil
	}

	encoded, err := json.Marshal(rows)

	return string(encoded), err
}

// connector opens SQLite connections with the server's functions.
type connector struct {
	dsn string
}

// Connect implements driver.Connector.
func (c connector) Connect(context.Context) (driver.Conn, error) {
	return sqliteDriver().Open(c.dsn)
}

// Driver implements driver.Connector.
func (c connector) Driver() driver.Driver {
	return sqliteDriver()
}

// openTables opens the database file. Connections are not reused, since temporary tables would survive.
func openTables(path string) *sql.DB {
	db := sql.OpenDB(connector{dsn: "file:" + path +
		"?_pragma=busy_timeout(10000)&_pragma=journal_mode(WAL)&_pragma=synchronous(0)" +
		"&_pragma=case_sensitive_like(1)&_pragma=foreign_keys(1)"})
	db.SetMaxIdleConns(0)

	return db
}

// advisoryLocks are the advisory locks of a server.
type advisoryLocks struct {
	mu      sync.Mutex
	holders map[string]*advisoryHolder
	changed chan struct{}
}

type advisoryHolder struct {
	session *session
	// The lock is held until both counts are zero.
	bySession, byTransaction int
}

func newAdvisoryLocks() *advisoryLocks {
	return &advisoryLocks{holders: map[string]*advisoryHolder{}, changed: make(chan struct{})}
}

func (a *advisoryLocks) try(s *session, key string, transaction bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	holder := a.holders[key]
	if holder == nil {
		holder = &advisoryHolder{session: s}
		a.holders[key] = holder
	}

	if holder.session != s {
		return false
	}

	if transaction {
		holder.byTransaction++
	} else {
		holder.bySession++
	}

	return true
}

func (a *advisoryLocks) lock(ctx context.Context, s *session, key string, transaction bool) error {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()

		if a.try(s, key, transaction) {
			return nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (a *advisoryLocks) unlock(s *session, key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	holder := a.holders[key]
	if holder == nil || holder.session != s || holder.bySession == 0 {
		return false
	}

	holder.bySession--
	a.drop(key, holder)

	return true
}

// unlockAll drops a session's locks: those of its transaction, or those of the session.
func (a *advisoryLocks) unlockAll(s *session, transaction bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for key, holder := range a.holders {
		if holder.session != s {
			continue
		}

		if transaction {
			holder.byTransaction = 0
		} else {
			holder.bySession = 0
		}

		a.drop(key, holder)
	}
}

func (a *advisoryLocks) drop(key string, holder *advisoryHolder) {
	if holder.bySession > 0 || holder.byTransaction > 0 {
		return
	}

	delete(a.holders, key)
	close(a.changed)
	a.changed = make(chan struct{})
}
