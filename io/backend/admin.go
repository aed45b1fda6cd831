package backend

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/timer"
)

// Login holds the user, password and database for connections to backend servers.
type Login struct {
	User     string
	Password string
	Database string
}

// Admin is an administrative connection to one backend server. It is not safe for concurrent use.
type Admin struct {
	conn  *Conn
	login Login
}

// Observation is the state that a server reports about itself.
type Observation struct {
	// InRecovery is true on a replica.
	InRecovery bool
	Attachment Attachment
	// InsertLSN is the end of a primary's log. It is zero on a replica.
	InsertLSN position.LSN
	// ReceivedLSN is the last position that a replica has flushed, ReplayedLSN the last that its readers see. On a
	// primary both equal InsertLSN.
	ReceivedLSN position.LSN
	ReplayedLSN position.LSN
	// Receiving is true on a replica whose WAL receiver runs. LastReceivedAgo is the time since the receiver last heard
	// from the primary, by the server's own clock.
	Receiving       bool
	LastReceivedAgo time.Duration
	// Followers are the replicas to which a primary sends its log.
	Followers []Follower
}

// Follower is the state of a replica as its primary reports it.
type Follower struct {
	Attachment Attachment
	FlushedLSN position.LSN
}

// The queries use only functions and views that PostgreSQL documents and has since version 13.
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

	// adminConnectTimeout bounds the opening of a connection whose context has no deadline.
	adminConnectTimeout = 2 * time.Minute
)

// ReadPassword reads a password from a file. Line endings at the end of the file are not part of it, all other bytes are.
func ReadPassword(file string) (string, error) {
	secret, err := os.ReadFile(file)

	return strings.TrimRight(string(secret), "\r\n"), eris.Wrap(err, "read password")
}

// OpenAdmin connects to a backend server. The application name identifies the connection to the server.
func OpenAdmin(ctx context.Context, address netip.AddrPort, login Login, application string) (*Admin, error) {
	conn, err := connect(ctx, Options{
		Address:        address,
		Login:          func() (Login, error) { return login, nil },
		Application:    func() string { return application },
		ConnectTimeout: adminConnectTimeout,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "connect to backend server %s", address)
	}

	return &Admin{conn: conn, login: login}, nil
}

// sqlStateTooManyConnections is the SQLSTATE of a server that refuses a connection because it has too many.
const sqlStateTooManyConnections = "53300"

// IsTooManyConnections reports whether an error of OpenAdmin means that the server has too many connections. Such a
// server is alive.
func IsTooManyConnections(err error) bool {
	return SQLState(err) == sqlStateTooManyConnections
}

// Close closes the connection. It waits for at most one second.
func (a *Admin) Close() {
	a.conn.Close()
}

// IsClosed reports whether the connection was closed or has failed, so that it can't be used any more.
func (a *Admin) IsClosed() bool {
	return a.conn.tainted.Load()
}

// Observe asks the server for its role, term and positions.
func (a *Admin) Observe(ctx context.Context) (Observation, error) {
	// Both statements go in one message, because each barrier and each confirmed write waits for this round trip to the
	// primary. The followers are read after the end of the log.
	results, err := a.queryAll(ctx, observeQuery+"; "+followersQuery)
	if err != nil {
		return Observation{}, err
	}

	if len(results) != 2 || len(results[0]) != 1 || len(results[0][0]) != observeColumns {
		return Observation{}, eris.Errorf("observe: the answer has an unexpected number of rows or columns")
	}

	observation, err := parseObservation(results[0][0])
	if err != nil || observation.InRecovery {
		return observation, err
	}

	observation.Followers, err = parseFollowers(results[1])

	return observation, err
}

// Fence makes a replica stop following its primary and returns the last position that it has flushed, with the term in
// which it was attached. The position can't advance until Attach or Promote. The setting keeps that term, because the
// server's log is a prefix of that term's log and holds nothing of a later one. A primary is refused and not changed,
// because the platform recognises an old primary by the term in its setting.
func (a *Admin) Fence(ctx context.Context, name string) (position.Position, error) {
	observation, err := a.Observe(ctx)
	if err != nil {
		return position.Position{}, err
	}

	if !observation.InRecovery {
		return position.Position{}, eris.Errorf("server %s is not a replica and can't be fenced", name)
	}

	term := observation.Attachment.Term
	if err := a.setAttachment(ctx, Attachment{Term: term, Name: name, Fenced: true}); err != nil {
		return position.Position{}, err
	}

	for {
		rows, err := a.queryRows(ctx, receiverQuery)
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

	observation, err = a.Observe(ctx)
	if err != nil {
		return position.Position{}, err
	}

	return position.Position{Term: term, LSN: observation.ReceivedLSN}, nil
}

// Promote makes a replica the primary of a term. It is idempotent. It also makes a server accept writes again that an
// earlier planned move left read-only.
func (a *Admin) Promote(ctx context.Context, name string, term position.Term) error {
	if err := a.SetReadOnly(ctx, false); err != nil {
		return err
	}

	if err := a.setAttachment(ctx, Attachment{Term: term, Name: name}); err != nil {
		return err
	}

	observation, err := a.Observe(ctx)
	if err != nil || !observation.InRecovery {
		return err
	}

	rows, err := a.queryRows(ctx, promoteQuery)
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
	return a.setAttachment(ctx, Attachment{Term: term, Name: name, Primary: primary})
}

// SetTerm stores the term of a primary in its settings. It is idempotent.
func (a *Admin) SetTerm(ctx context.Context, name string, term position.Term) error {
	return a.setAttachment(ctx, Attachment{Term: term, Name: name})
}

// SetReadOnly sets whether new transactions of a server are read-only by default.
func (a *Admin) SetReadOnly(ctx context.Context, readOnly bool) error {
	value := "off"
	if readOnly {
		value = "on"
	}

	return a.setParameter(ctx, "default_transaction_read_only", value)
}

// Connections counts the server's connections by application name, for names that begin with "ag/".
func (a *Admin) Connections(ctx context.Context) (map[string]int, error) {
	rows, err := a.queryRows(ctx, activityQuery)
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

// Terminate terminates the connections whose application name begins with the prefix.
func (a *Admin) Terminate(ctx context.Context, prefix string) error {
	pattern := strings.NewReplacer(`\`, `\\`, `%`, `\%`, `_`, `\_`).Replace(prefix) + "%"
	_, err := a.queryRows(ctx, terminateQuery+quoteLiteral(pattern))

	return err
}

func (a *Admin) setAttachment(ctx context.Context, follow Attachment) error {
	return a.setParameter(ctx, "primary_conninfo", follow.Conninfo(a.login.User, a.login.Password))
}

func (a *Admin) setParameter(ctx context.Context, name, value string) error {
	if _, err := a.queryRows(ctx, "ALTER SYSTEM SET "+name+" = "+quoteLiteral(value)); err != nil {
		return err
	}

	_, err := a.queryRows(ctx, reloadQuery)

	return err
}

func parseFollowers(rows [][]string) ([]Follower, error) {
	followers := make([]Follower, 0, len(rows))

	for _, row := range rows {
		follow, err := ParseApplicationName(row[0])
		if err != nil || row[1] == "" {
			continue // The replica isn't managed by this system, or it has not reported a position yet.
		}

		flushed, err := position.ParseLSN(row[1])
		if err != nil {
			return nil, eris.Wrap(err, "flush_lsn")
		}

		followers = append(followers, Follower{Attachment: follow, FlushedLSN: flushed})
	}

	return followers, nil
}

// queryRows runs one statement and returns its rows as text. NULL becomes the empty string.
func (a *Admin) queryRows(ctx context.Context, sql string) ([][]string, error) {
	results, err := a.queryAll(ctx, sql)
	if err != nil || len(results) == 0 {
		return nil, err
	}

	return results[0], nil
}

// queryAll runs statements that are separated by semicolons and returns the rows of each of them.
func (a *Admin) queryAll(ctx context.Context, sql string) ([][][]string, error) {
	// The connection can't be used after its context has ended, because the answer is still to come.
	stop := context.AfterFunc(ctx, a.conn.Abort)
	results, err := a.conn.queryAll(time.Time{}, sql)

	stop()

	if err != nil {
		return nil, eris.Wrapf(withContext(ctx, err), "query %.40q", sql)
	}

	answers := make([][][]string, len(results))
	for i, result := range results {
		answers[i] = result.rows
	}

	return answers, nil
}

func parseObservation(row []string) (Observation, error) {
	observation := Observation{InRecovery: row[0] == "t", Attachment: ParseConninfo(row[1])}

	var err error

	if !observation.InRecovery {
		observation.InsertLSN, err = position.ParseLSN(row[2])
		observation.ReceivedLSN, observation.ReplayedLSN = observation.InsertLSN, observation.InsertLSN

		return observation, err
	}

	if observation.ReplayedLSN, err = optionalLSN(row[4]); err != nil {
		return observation, err
	}

	if observation.ReceivedLSN, err = optionalLSN(row[3]); err != nil {
		return observation, err
	}

	// After a restart, a replica reports what it has replayed before it has received anything.
	observation.ReceivedLSN = max(observation.ReceivedLSN, observation.ReplayedLSN)

	if row[5] != "" {
		seconds, err := strconv.ParseFloat(row[5], 64)
		if err != nil {
			return observation, fmt.Errorf("last_msg_receipt_time: %w", err)
		}

		observation.Receiving = true
		observation.LastReceivedAgo = time.Duration(seconds * float64(time.Second))
	}

	return observation, nil
}

func optionalLSN(text string) (position.LSN, error) {
	if text == "" {
		return 0, nil
	}

	return position.ParseLSN(text)
}

func quoteLiteral(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}
