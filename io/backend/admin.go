package backend

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/timer"
)

// Login is the user and password for backend servers.
type Login struct {
	User     string
	Password string
	Database string
}

// Admin is an administrative connection to one backend server. It is not safe for concurrent use.
type Admin struct {
	conn  *pgconn.PgConn
	login Login
}

// Observation is what a server says of itself at one moment.
type Observation struct {
	// Recovery is true on a replica.
	Recovery bool
	Follow   Follow
	// Insert is the end of the log of a primary, zero on a replica.
	Insert position.LSN
	// Received is the last position that a replica has flushed, Replayed the last that its readers see. On a
	// primary both equal Insert.
	Received position.LSN
	Replayed position.LSN
	// Receiving is true on a replica whose receiver runs; ReceivedAgo is the time since it last heard from its
	// primary, by the server's own clock.
	Receiving   bool
	ReceivedAgo time.Duration
	// Followers are the replicas that a primary sends its log to.
	Followers []Follower
}

// Follower is a replica as its primary sees it.
type Follower struct {
	Follow  Follow
	Flushed position.LSN
}

// The published functions and views that the queries use exist since PostgreSQL 13.
const (
	observeQuery = `SELECT pg_is_in_recovery(), current_setting('primary_conninfo'), ` +
		`CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_current_wal_insert_lsn() END, ` +
		`pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn(), ` +
		`(SELECT extract(epoch FROM now() - last_msg_receipt_time) FROM pg_stat_wal_receiver)`
	followersQuery  = `SELECT application_name, flush_lsn FROM pg_stat_replication`
	receiverQuery   = `SELECT count(*) FROM pg_stat_wal_receiver`
	promoteQuery    = `SELECT pg_promote(true, 10)`
	reloadQuery     = `SELECT pg_reload_conf()`
	activityQuery   = `SELECT application_name, count(*) FROM pg_stat_activity WHERE application_name LIKE 'ag/%' GROUP BY application_name`
	terminateQuery  = `SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name LIKE `
	observeColumns  = 6
	fencePollPeriod = 5 * time.Millisecond
)

// OpenAdmin connects to a backend server. The application name identifies the connection to the server.
func OpenAdmin(ctx context.Context, address netip.AddrPort, login Login, application string) (*Admin, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "connection settings")
	}

	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.User = login.User
	config.Password = login.Password
	config.Database = login.Database
	config.RuntimeParams = map[string]string{"application_name": application}
	config.Fallbacks = nil

	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to backend server %s", address)
	}

	return &Admin{conn: conn, login: login}, nil
}

// stateTooMany is the SQLSTATE with which a server refuses a connection because it has too many.
const stateTooMany = "53300"

// Full reports whether an error of OpenAdmin is the refusal of a server that has too many connections. Such a server
// is alive.
func Full(err error) bool {
	var failure *pgconn.PgError

	return errors.As(err, &failure) && failure.Code == stateTooMany
}

// Close ends the connection at once.
func (a *Admin) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	_ = a.conn.Close(ctx)
}

// Broken reports whether the connection can't be used any more.
func (a *Admin) Broken() bool {
	return a.conn.IsClosed()
}

// Observe asks the server for its role, term and positions.
func (a *Admin) Observe(ctx context.Context) (Observation, error) {
	// Both statements go in one message, because the time of a barrier and of each confirmed write contains the way to
	// the primary and back. The followers are read after the end of the log.
	results, err := a.script(ctx, observeQuery+"; "+followersQuery)
	if err != nil {
		return Observation{}, err
	}

	if len(results) != 2 || len(results[0]) != 1 || len(results[0][0]) != observeColumns {
		return Observation{}, eris.Errorf("observe: unexpected shape of the answer")
	}

	seen, err := parseObservation(results[0][0])
	if err != nil || seen.Recovery {
		return seen, err
	}

	seen.Followers, err = parseFollowers(results[1])

	return seen, err
}

// Fence makes a replica stop following its primary for good and returns the last position that it has flushed, with
// the term in which it was attached. The position can't grow until Attach or Promote. The server keeps carrying that
// term: its log is a prefix of that term's log and tells nothing of a later one. A primary is refused unchanged, because
// the platform recognises an old primary by the term that it carries.
func (a *Admin) Fence(ctx context.Context, name string) (position.Position, error) {
	seen, err := a.Observe(ctx)
	if err != nil {
		return position.Position{}, err
	}

	if !seen.Recovery {
		return position.Position{}, eris.Errorf("server %s is not a replica and can't be fenced", name)
	}

	term := seen.Follow.Term
	if err := a.setFollow(ctx, Follow{Term: term, Name: name, Fenced: true}); err != nil {
		return position.Position{}, err
	}

	for {
		rows, err := a.query(ctx, receiverQuery)
		if err != nil {
			return position.Position{}, err
		}

		if len(rows) == 1 && rows[0][0] == "0" {
			break
		}

		if err := timer.Sleep(ctx, fencePollPeriod); err != nil {
			return position.Position{}, err
		}
	}

	seen, err = a.Observe(ctx)
	if err != nil {
		return position.Position{}, err
	}

	return position.Position{Term: term, LSN: seen.Received}, nil
}

// Promote makes a replica the primary of a term. It is idempotent. A server that an earlier planned move left
// read-only accepts writes again.
func (a *Admin) Promote(ctx context.Context, name string, term position.Term) error {
	if err := a.ReadOnly(ctx, false); err != nil {
		return err
	}

	if err := a.setFollow(ctx, Follow{Term: term, Name: name}); err != nil {
		return err
	}

	seen, err := a.Observe(ctx)
	if err != nil || !seen.Recovery {
		return err
	}

	rows, err := a.query(ctx, promoteQuery)
	if err != nil {
		return err
	}

	if len(rows) != 1 || rows[0][0] != "t" {
		return eris.Errorf("server %s was not promoted in time", name)
	}

	return nil
}

// Attach makes a replica follow the primary of a term. It is idempotent.
func (a *Admin) Attach(ctx context.Context, name string, term position.Term, primary netip.AddrPort) error {
	return a.setFollow(ctx, Follow{Term: term, Name: name, Primary: primary})
}

// Mark makes a primary carry its term. It is idempotent.
func (a *Admin) Mark(ctx context.Context, name string, term position.Term) error {
	return a.setFollow(ctx, Follow{Term: term, Name: name})
}

// ReadOnly makes new transactions of a server read-only, or ends that.
func (a *Admin) ReadOnly(ctx context.Context, on bool) error {
	value := "off"
	if on {
		value = "on"
	}

	return a.set(ctx, "default_transaction_read_only", value)
}

// Connections counts the server's connections by application name, for names that begin with "ag/".
func (a *Admin) Connections(ctx context.Context) (map[string]int, error) {
	rows, err := a.query(ctx, activityQuery)
	if err != nil {
		return nil, err
	}

	counts := make(map[string]int, len(rows))

	for _, row := range rows {
		count, err := strconv.Atoi(row[1])
		if err != nil {
			return nil, eris.Wrapf(err, "connection count of %q", row[0])
		}

		counts[row[0]] = count
	}

	return counts, nil
}

// Terminate ends the connections whose application name begins with the prefix.
func (a *Admin) Terminate(ctx context.Context, prefix string) error {
	pattern := strings.NewReplacer(`\`, `\\`, `%`, `\%`, `_`, `\_`).Replace(prefix) + "%"
	_, err := a.query(ctx, terminateQuery+literal(pattern))

	return err
}

func (a *Admin) setFollow(ctx context.Context, follow Follow) error {
	return a.set(ctx, "primary_conninfo", follow.Conninfo(a.login.User, a.login.Password))
}

func (a *Admin) set(ctx context.Context, name, value string) error {
	if _, err := a.query(ctx, "ALTER SYSTEM SET "+name+" = "+literal(value)); err != nil {
		return err
	}

	_, err := a.query(ctx, reloadQuery)

	return err
}

func parseFollowers(rows [][]string) ([]Follower, error) {
	followers := make([]Follower, 0, len(rows))

	for _, row := range rows {
		follow, err := ParseApplication(row[0])
		if err != nil || row[1] == "" {
			continue // Not one of ours, or it has not reported a position yet.
		}

		flushed, err := position.ParseLSN(row[1])
		if err != nil {
			return nil, eris.Wrap(err, "flush_lsn")
		}

		followers = append(followers, Follower{Follow: follow, Flushed: flushed})
	}

	return followers, nil
}

// query runs one statement and returns its rows as text; NULL is the empty text.
func (a *Admin) query(ctx context.Context, sql string) ([][]string, error) {
	results, err := a.script(ctx, sql)
	if err != nil || len(results) == 0 {
		return nil, err
	}

	return results[0], nil
}

// script runs statements that are separated by semicolons and returns the rows of each.
func (a *Admin) script(ctx context.Context, sql string) ([][][]string, error) {
	results, err := a.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, eris.Wrapf(err, "query %.40q", sql)
	}

	answers := make([][][]string, 0, len(results))

	for _, result := range results {
		rows := make([][]string, 0, len(result.Rows))

		for _, values := range result.Rows {
			row := make([]string, len(values))
			for i, value := range values {
				row[i] = string(value)
			}

			rows = append(rows, row)
		}

		answers = append(answers, rows)
	}

	return answers, nil
}

func parseObservation(row []string) (Observation, error) {
	seen := Observation{Recovery: row[0] == "t", Follow: ParseConninfo(row[1])}

	var err error

	if !seen.Recovery {
		seen.Insert, err = position.ParseLSN(row[2])
		seen.Received, seen.Replayed = seen.Insert, seen.Insert

		return seen, err
	}

	if seen.Replayed, err = optionalLSN(row[4]); err != nil {
		return seen, err
	}

	if seen.Received, err = optionalLSN(row[3]); err != nil {
		return seen, err
	}

	// After a restart a replica knows what it has replayed before it has received anything.
	seen.Received = max(seen.Received, seen.Replayed)

	if row[5] != "" {
		seconds, err := strconv.ParseFloat(row[5], 64)
		if err != nil {
			return seen, fmt.Errorf("last_msg_receipt_time: %w", err)
		}

		seen.Receiving = true
		seen.ReceivedAgo = time.Duration(seconds * float64(time.Second))
	}

	return seen, nil
}

func optionalLSN(text string) (position.LSN, error) {
	if text == "" {
		return 0, nil
	}

	return position.ParseLSN(text)
}

func literal(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}
