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

// environment is the context of the server's SQL functions: a session, or the replay of the log.
type environment struct {
	key     int64
	server  *server
	session *session // nil during replay
	// now is the time of the transaction and random is its source of random numbers. The time and the seed are logged
	// with each statement, so that replicas compute the same values.
	now    time.Time
	random *rand.Rand
	// ctx is the context of the running statement.
	ctx context.Context
}

//nolint:gochecknoglobals // SQLite functions are registered per process and look up their environment by key.
var (
	environments       sync.Map
	lastEnvironmentKey atomic.Int64
)

func newEnvironment(srv *server, s *session) *environment {
	e := &environment{key: lastEnvironmentKey.Add(1), server: srv, session: s, ctx: context.Background(), now: time.Now()}
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

type sqlFunction func(e *environment, args []driver.Value) (driver.Value, error)

// sqlFunctions holds the server's SQL functions by name. It is filled by init to avoid an initialisation cycle: the
// functions lead to the rewriter, which refers to this table.
//
//nolint:gochecknoglobals // Constant table.
var sqlFunctions = map[string]sqlFunction{}

//nolint:gochecknoglobals // The driver with the functions; it is created once.
var sqliteDriver = sync.OnceValue(func() *sqlite.Driver {
	d := &sqlite.Driver{}

	for name, call := range sqlFunctions {
		run := func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			key, _ := args[0].(int64)

			value, ok := environments.Load(key)
			if !ok && key != 0 {
				return nil, errorf(stateInternal, "no environment with key %d", key)
			}

			env, _ := value.(*environment)

			return call(env, args[1:])
		}
		if err := d.RegisterScalarFunction(functionPrefix+name, -1, run); err != nil {
			panic(err)
		}
	}

	return d
})

// boolFunctions holds the functions whose result has type boolean on the wire.
//
//nolint:gochecknoglobals // Constant table.
var boolFunctions = map[string]bool{
	"pg_is_in_recovery": true, "pg_promote": true, "pg_reload_conf": true, "pg_terminate_backend": true,
	"pg_cancel_backend": true, "pg_try_advisory_lock": true, "pg_try_advisory_xact_lock": true,
	"pg_advisory_unlock": true, "exists": true, "bool": true,
}

//nolint:gochecknoinits // See sqlFunctions.
func init() {
	for name, call := range map[string]sqlFunction{
		"now": transactionTime, "transaction_timestamp": transactionTime, "statement_timestamp": transactionTime,
		"clock_timestamp":           transactionTime,
		"now_epoch":                 nowEpoch,
		"random":                    randomNumber,
		"gen_random_uuid":           randomUUID,
		"bool":                      toBool,
		"view":                      systemView,
		"version":                   constantText("PostgreSQL 16.0 (almondgrade stand-in)"),
		"current_database":          sessionText(func(s *session) string { return s.database }),
		"current_user":              sessionText(func(s *session) string { return s.user }),
		"current_setting":           currentSetting,
		"set_config":                setConfig,
		"pg_sleep":                  pgSleep,
		"pg_backend_pid":            sessionNumber(func(s *session) int64 { return int64(s.pid) }),
		"pg_is_in_recovery":         func(e *environment, _ []driver.Value) (driver.Value, error) { return !e.server.isPrimary(), nil },
		"pg_current_wal_insert_lsn": currentLSN, "pg_current_wal_lsn": currentLSN, "pg_current_wal_flush_lsn": currentLSN,
		"pg_last_wal_receive_lsn": receivedLSN,
		"pg_last_wal_replay_lsn":  replayedLSN,
		"pg_wal_lsn_diff":         lsnDifference,
		"pg_terminate_backend":    signalSession((*session).terminate),
		"pg_cancel_backend":       signalSession(func(s *session) { s.cancelStatement(errCancelled) }),
		"pg_promote":              pgPromote,
		"pg_reload_conf":          pgReloadConf,
		"pg_advisory_lock":        advisoryLock(false, true), "pg_advisory_xact_lock": advisoryLock(true, true),
		"pg_try_advisory_lock": advisoryLock(false, false), "pg_try_advisory_xact_lock": advisoryLock(true, false),
		"pg_advisory_unlock":     advisoryUnlock,
		"pg_advisory_unlock_all": advisoryUnlockAll,
	} {
		sqlFunctions[name] = call
	}
}

const timestampLayout = "2006-01-02 15:04:05.999999-07"

func transactionTime(e *environment, _ []driver.Value) (driver.Value, error) {
	return e.now.UTC().Format(timestampLayout), nil
}

func nowEpoch(_ *environment, _ []driver.Value) (driver.Value, error) {
	return epochSeconds(time.Now()), nil
}

func epochSeconds(at time.Time) float64 {
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

func constantText(value string) sqlFunction {
	return func(*environment, []driver.Value) (driver.Value, error) { return value, nil }
}

func sessionText(get func(*session) string) sqlFunction {
	return func(e *environment, _ []driver.Value) (driver.Value, error) {
		if e.session == nil {
			return nil, nil
		}

		return get(e.session), nil
	}
}

func sessionNumber(get func(*session) int64) sqlFunction {
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

	value, err := e.session.parameterValue(argument(args, 0))
	if err != nil && len(args) > 1 && argument(args, 1) != "0" {
		return nil, nil
	}

	return value, err
}

func setConfig(e *environment, args []driver.Value) (driver.Value, error) {
	if e.session == nil || len(args) < 2 {
		return nil, errorf(stateInvalidValue, "set_config needs three arguments")
	}

	return argument(args, 1), e.session.setParameter(argument(args, 0), argument(args, 1), argument(args, 2) == "1")
}

func pgSleep(e *environment, args []driver.Value) (driver.Value, error) {
	var seconds float64
	if _, err := fmt.Sscan(argument(args, 0), &seconds); err != nil {
		return nil, errorf(stateInvalidValue, "pg_sleep: %q is not a number of seconds", argument(args, 0))
	}

	return "", sleep(e.ctx, time.Duration(seconds*float64(time.Second)))
}

// sleep waits for a period. It returns the cause of the cancellation if the context ends first.
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

func currentLSN(e *environment, _ []driver.Value) (driver.Value, error) {
	if !e.server.isPrimary() {
		return nil, errorf(stateNotInPrerequisiteState, "recovery is in progress")
	}

	return e.server.store.wal.end().String(), nil
}

func receivedLSN(e *environment, _ []driver.Value) (driver.Value, error) {
	if e.server.isPrimary() || !e.server.hasReceived.Load() {
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

func signalSession(send func(*session)) sqlFunction {
	return func(e *environment, args []driver.Value) (driver.Value, error) {
		for _, s := range e.server.openSessions() {
			if fmt.Sprint(s.pid) == argument(args, 0) {
				send(s)
				return true, nil
			}
		}

		return false, nil
	}
}

func pgPromote(e *environment, _ []driver.Value) (driver.Value, error) {
	if err := e.server.promote(e.ctx); err != nil {
		return nil, err
	}

	return true, nil
}

func pgReloadConf(e *environment, _ []driver.Value) (driver.Value, error) {
	return true, e.server.reload()
}

func advisoryLock(perTransaction, wait bool) sqlFunction {
	return func(e *environment, args []driver.Value) (driver.Value, error) {
		if e.session == nil {
			return nil, nil
		}

		key := fmt.Sprint(args)
		if !wait {
			return e.server.advisory.tryLock(e.session, key, perTransaction), nil
		}

		if e.server.advisory.tryLock(e.session, key, perTransaction) {
			return "", nil
		}

		return "", e.session.waitWithoutSlot(e.ctx, func(ctx context.Context) error {
			return e.server.advisory.lock(ctx, e.session, key, perTransaction)
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

// systemView returns the rows of a system view as JSON.
func systemView(e *environment, args []driver.Value) (driver.Value, error) {
	if e.session == nil {
		return "[]", nil
	}

	var rows []map[string]any

	switch argument(args, 0) {
	case "pg_stat_activity":
		for _, s := range e.server.openSessions() {
			rows = append(rows, s.activityRow())
		}
	case "pg_stat_replication":
		rows = e.server.followerRows()
	case "pg_stat_wal_receiver":
		rows = e.server.receiverRows()
	case "pg_settings":
		for _, name := range e.session.parameterNames() {
			value, _ := e.session.parameterValue(name)
			rows = append(rows, map[string]any{"name": name, "setting": value})
		}
	}

	if rows == nil {
		return "[]", nil
	}

	encoded, err := json.Marshal(rows)

	return string(encoded), err
}

// sqliteConnector opens SQLite connections with the server's functions.
type sqliteConnector struct {
	dsn string
}

// Connect implements driver.Connector.
func (c sqliteConnector) Connect(context.Context) (driver.Conn, error) {
	return sqliteDriver().Open(c.dsn)
}

// Driver implements driver.Connector.
func (c sqliteConnector) Driver() driver.Driver {
	return sqliteDriver()
}

// openDatabase opens the database file. Connections are not reused, since temporary tables would outlive their session.
func openDatabase(path string) *sql.DB {
	db := sql.OpenDB(sqliteConnector{dsn: "file:" + path +
		"?_pragma=busy_timeout(10000)&_pragma=journal_mode(WAL)&_pragma=synchronous(0)" +
		"&_pragma=case_sensitive_like(1)&_pragma=foreign_keys(1)"})
	db.SetMaxIdleConns(0)

	return db
}

// advisoryLocks holds the advisory locks of a server by key.
type advisoryLocks struct {
	mu      sync.Mutex
	holders map[string]*advisoryHolder
	changed chan struct{}
}

type advisoryHolder struct {
	session *session
	// The lock is held until both counts are zero.
	sessionCount, transactionCount int
}

func newAdvisoryLocks() *advisoryLocks {
	return &advisoryLocks{holders: map[string]*advisoryHolder{}, changed: make(chan struct{})}
}

func (a *advisoryLocks) tryLock(s *session, key string, perTransaction bool) bool {
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

	if perTransaction {
		holder.transactionCount++
	} else {
		holder.sessionCount++
	}

	return true
}

func (a *advisoryLocks) lock(ctx context.Context, s *session, key string, perTransaction bool) error {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()

		if a.tryLock(s, key, perTransaction) {
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
	if holder == nil || holder.session != s || holder.sessionCount == 0 {
		return false
	}

	holder.sessionCount--
	a.releaseIfUnused(key, holder)

	return true
}

// unlockAll releases all locks that a session holds at the level of its transaction, or of the session.
func (a *advisoryLocks) unlockAll(s *session, ofTransaction bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for key, holder := range a.holders {
		if holder.session != s {
			continue
		}

		if ofTransaction {
			holder.transactionCount = 0
		} else {
			holder.sessionCount = 0
		}

		a.releaseIfUnused(key, holder)
	}
}

func (a *advisoryLocks) releaseIfUnused(key string, holder *advisoryHolder) {
	if holder.sessionCount > 0 || holder.transactionCount > 0 {
		return
	}

	delete(a.holders, key)
	close(a.changed)
	a.changed = make(chan struct{})
}
