package proxy_test

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var repeatsSeed = flag.Uint64("repeats.seed", 1, "the seed of tests with repeated answers")

// repeater is a network path to a backend server on which answers arrive a second time.
type repeater struct {
	listener net.Listener
	server   netip.AddrPort
	// interval is the mean number of answers from one repeated answer to the next. Zero repeats none.
	interval atomic.Int64
	// answers is the maximum number of consecutive answers that are repeated together. Zero repeats single messages that end
	// an answer or a part of it.
	answers int
	// delay is the maximum time between an answer and its copy.
	delay    time.Duration
	repeated atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

func newRepeater(t testing.TB, server netip.AddrPort, seed uint64, answers int, delay time.Duration) *repeater {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	r := &repeater{
		listener: listener, server: server, answers: answers, delay: delay, random: rand.New(rand.NewPCG(seed, 0)),
	}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go r.serve(conn)
		}
	}()

	return r
}

func (r *repeater) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *repeater) serve(client net.Conn) {
	defer func() { _ = client.Close() }()

	server, err := net.Dial("tcp", r.server.String())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()

	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()

	var (
		writing sync.Mutex
		current []byte
		recent  [][]byte
	)

	for {
		message, err := readMessage(server)
		if err != nil {
			return
		}

		writing.Lock()
		_, err = client.Write(message)
		writing.Unlock()

		if err != nil {
			return
		}

		current = append(current, message...)

		switch {
		case r.answers == 0 && strings.IndexByte("123CIZ", message[0]) >= 0:
			recent = [][]byte{message}
		case r.answers > 0 && message[0] == 'Z':
			// The first answer is the one to the login.
			recent = append(recent, current)
			recent = recent[max(0, len(recent)-r.answers):]
			current = nil
		default:
			continue
		}

		if copies, delay := r.choose(recent); copies != nil {
			time.AfterFunc(delay, func() {
				writing.Lock()
				defer writing.Unlock()

				_, _ = client.Write(copies)
			})
		}
	}
}

// choose returns the answers to repeat now, or nil, and the delay.
func (r *repeater) choose(recent [][]byte) ([]byte, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	interval := r.interval.Load()
	if interval == 0 || r.random.Int64N(interval) != 0 {
		return nil, 0
	}

	r.repeated.Add(1)

	return slices.Concat(recent[r.random.IntN(len(recent)):]...), time.Duration(r.random.Int64N(int64(r.delay)))
}

// outcomes are the outcomes of writes as their callers saw them.
type outcomes struct {
	mu           sync.Mutex
	acknowledged []string
	refused      []string
	succeeded    int
	// outcomes counts the queries for the outcome of a request that were answered.
	outcomes int
	wrong    []string
}

func (o *outcomes) addWrong(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.wrong = append(o.wrong, fmt.Sprintf(format, args...))
}

func (o *outcomes) addWrite(id string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	switch state := stateOf(err); {
	case err == nil:
		o.acknowledged = append(o.acknowledged, id)
		o.succeeded++
	case state == "23505" || strings.HasPrefix(codeOf(err), "13"):
		o.refused = append(o.refused, id)
	}
}

func (o *outcomes) addRead() {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.succeeded++
}

// repeatedAnswersClient runs requests whose answers differ from each other over one connection after another.
type repeatedAnswersClient struct {
	t      *testing.T
	c      *cluster
	seen   *outcomes
	name   string
	random *rand.Rand
	conn   *pgx.Conn
}

func (w *repeatedAnswersClient) run(requests int) {
	for i := range requests {
		if w.conn == nil || w.conn.IsClosed() {
			conn, err := pgx.Connect(testContext(w.t), w.c.url("p1", ""))
			if err != nil {
				continue
			}

			w.conn = conn
		}

		id := fmt.Sprintf("%s-%d", w.name, i)

		switch w.random.IntN(6) {
		case 0:
			w.readSimple(id)
		case 1:
			w.readExtended(id)
		case 2:
			_, err := w.conn.Exec(testContext(w.t), "INSERT INTO t VALUES ($1)", id)
			w.seen.addWrite(id, err)
		case 3:
			_, err := w.conn.PgConn().Exec(testContext(w.t), "INSERT INTO t VALUES ('taken')").ReadAll()
			if err == nil {
				w.seen.addWrong("%s: an insert of a key that exists succeeded", id)
			}
		case 4:
			w.runNamed(id)
		default:
			w.runTransaction(id)
		}
	}

	if w.conn != nil {
		_ = w.conn.Close(testContext(w.t))
	}
}

func (w *repeatedAnswersClient) readSimple(id string) {
	results, err := w.conn.PgConn().Exec(testContext(w.t), "SELECT '"+id+"'").ReadAll()
	if err != nil {
		return
	}

	if len(results) != 1 || len(results[0].Rows) != 1 || string(results[0].Rows[0][0]) != id {
		w.seen.addWrong("%s: the rows are %s", id, rowsOf(results))
	} else {
		w.seen.addRead()
	}
}

func (w *repeatedAnswersClient) readExtended(id string) {
	var value string

	err := w.conn.QueryRow(testContext(w.t), "SELECT '"+id+"'").Scan(&value)

	var failure *pgconn.PgError

	switch {
	case err == nil && value == id:
		w.seen.addRead()
	case err == nil || errors.Is(err, pgx.ErrNoRows):
		w.seen.addWrong("%s: the row is %q, %v", id, value, err)
	case errors.As(err, &failure) && codeOf(err) == "":
		w.seen.addWrong("%s: a read fails with %v", id, err)
	}
}

func (w *repeatedAnswersClient) runTransaction(id string) {
	tx, err := w.conn.Begin(testContext(w.t))
	if err != nil {
		return
	}

	_, err = tx.Exec(testContext(w.t), "INSERT INTO t VALUES ('"+id+"')")
	if err != nil {
		_ = tx.Rollback(testContext(w.t))

		return
	}

	w.readSimple(id)
	w.seen.addWrite(id, tx.Commit(testContext(w.t)))
}

// runNamed runs a write that runs at most once, and asks for its outcome if it is not known.
func (w *repeatedAnswersClient) runNamed(id string) {
	if _, err := w.conn.Exec(testContext(w.t), "SET almondgrade.request = '"+id+"'"); err != nil {
		return
	}

	_, err := w.conn.Exec(testContext(w.t), "INSERT INTO t VALUES ('"+id+"')")
	if err == nil || !strings.HasPrefix(codeOf(err), "14") {
		w.seen.addWrite(id, err)

		return
	}

	var outcome string
	if err := w.conn.QueryRow(testContext(w.t), "SHOW almondgrade.outcome").Scan(&outcome); err != nil {
		return
	}

	w.seen.mu.Lock()
	defer w.seen.mu.Unlock()

	if w.seen.outcomes++; outcome == "not run" {
		w.seen.refused = append(w.seen.refused, id)
	} else {
		w.seen.acknowledged = append(w.seen.acknowledged, id)
	}
}

func rowsOf(results []*pgconn.Result) string {
	var rows []string

	for _, result := range results {
		for _, row := range result.Rows {
			for _, value := range row {
				rows = append(rows, string(value))
			}
		}
	}

	return fmt.Sprintf("%q", rows)
}

// Guards against callers that get rows of another request, a refusal of a write that ran, or the success of a write that
// did not run, after a backend server or the network path sent an answer a second time: at once, or after the next
// statement was sent.
func TestRepeatedAnswersDoNotReachOtherRequests(t *testing.T) {
	const (
		clients  = 8
		requests = 150
	)

	seed := *repeatsSeed

	tests := []struct {
		name    string
		answers int
		delay   time.Duration
	}{
		{"single messages", 0, time.Nanosecond},
		{"at once", 1, time.Nanosecond},
		{"one answer, late", 1, 3 * time.Millisecond},
		{"several answers, late", 4, 3 * time.Millisecond},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var paths []*repeater

			c := newCluster(t, options{replicas: 1, relay: func(server netip.AddrPort) netip.AddrPort {
				path := newRepeater(t, server, seed+uint64(len(paths)), test.answers, test.delay)
				paths = append(paths, path)

				return path.address()
			}})
			conn := c.connect("p1", "")
			c.exec(conn, "CREATE TABLE t (id text primary key)")
			c.exec(conn, "INSERT INTO t VALUES ('taken')")

			for _, path := range paths {
				path.interval.Store(20)
			}

			var (
				seen outcomes
				done sync.WaitGroup
			)

			for i := range clients {
				client := &repeatedAnswersClient{
					t: t, c: c, seen: &seen, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(seed, uint64(i))),
				}

				done.Go(func() { client.run(requests) })
			}

			done.Wait()

			var repeated int64

			for _, path := range paths {
				path.interval.Store(0)
				repeated += path.repeated.Load()
			}

			stored := storedIDs(t, c)

			assert.Empty(t, slices.DeleteFunc(seen.acknowledged, func(id string) bool { return stored[id] }), "acknowledged writes that did not run")
			assert.Empty(t, slices.DeleteFunc(seen.refused, func(id string) bool { return !stored[id] }), "refused writes that ran")
			assert.Empty(t, seen.wrong)
			assert.Positive(t, repeated)
			assert.Greater(t, seen.succeeded, clients*requests/4)
			t.Logf("%d answers repeated, %d requests, %d succeeded, %d outcomes queried", repeated, clients*requests, seen.succeeded, seen.outcomes)
		})
	}
}

// storedIDs reads the table over a connection to the primary itself.
func storedIDs(t *testing.T, c *cluster) map[string]bool {
	t.Helper()

	conn, err := pgx.Connect(testContext(t), "postgres://app@"+c.members[0].Addr().String()+"/app?sslmode=disable")
	require.NoError(t, err)

	defer func() { _ = conn.Close(testContext(t)) }()

	rows, err := conn.Query(testContext(t), "SELECT id FROM t")
	require.NoError(t, err)

	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	require.NoError(t, err)

	stored := make(map[string]bool, len(ids))
	for _, id := range ids {
		stored[id] = true
	}

	return stored
}

// Guards against the answer to an earlier request that is relayed as the answer to the next one: rows of another caller,
// a refusal for a write that ran, and a success for a write that was refused. The server sends the earlier answer a second
// time after it has received the next statement.
func TestEarlierAnswerIsNotTakenForTheNextOne(t *testing.T) {
	answer := func(to *pgproto3.Backend, sql string) bool {
		switch {
		case strings.HasPrefix(sql, "SELECT"):
			sendRowDescription(to)
			sendRow(to, sql)

			return sendComplete(to, "SELECT 1")
		case strings.Contains(sql, "taken"):
			return sendError(to, "23505")
		}

		return sendComplete(to, "INSERT 0 1")
	}

	tests := []struct {
		name        string
		first, next string
		// code is the result code of the second statement, or empty if it succeeds.
		code string
	}{
		{"read after a read", "SELECT 'a'", "SELECT 'b'", ""},
		{"read after a refusal", "INSERT INTO t VALUES ('taken')", "SELECT 'b'", ""},
		{"write after a refusal", "INSERT INTO t VALUES ('taken')", "INSERT INTO t VALUES ('b')", "1401"},
		{"refused write after a write", "INSERT INTO t VALUES ('a')", "INSERT INTO t VALUES ('taken')", "1401"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var repeats atomic.Bool

			server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
				if sql == test.next && repeats.CompareAndSwap(false, true) {
					answer(to, test.first)
				}

				return answer(to, sql)
			})
			// All requests use the one connection.
			c := newCluster(t, options{scripts: []*scriptedServer{server}, connections: 1})
			conn := c.connect("p1", "")

			_, _ = conn.PgConn().Exec(testContext(t), test.first).ReadAll()
			results, err := conn.PgConn().Exec(testContext(t), test.next).ReadAll()

			require.True(t, repeats.Load())
			assert.Equal(t, test.code, codeOf(err), "%v", err)

			if test.code == "" {
				require.NoError(t, err)
				assert.Equal(t, fmt.Sprintf("%q", []string{test.next}), rowsOf(results))
			}

			results, err = conn.PgConn().Exec(testContext(t), "SELECT 'c'").ReadAll()
			require.NoError(t, err, "the session goes on")
			assert.Equal(t, `["SELECT 'c'"]`, rowsOf(results))
		})
	}
}

// Guards against a connection that is closed, or a request that fails, because of a message that PostgreSQL may send at
// any time: a notice, the new value of a parameter or a notification.
func TestAsynchronousMessagesAreNotUnexpected(t *testing.T) {
	asynchronous := func(to *pgproto3.Backend) {
		to.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: "scripted"})
		to.Send(&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"})
		to.Send(&pgproto3.NotificationResponse{PID: 1, Channel: "c"})
	}
	server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
		asynchronous(to)
		sendRowDescription(to)
		asynchronous(to)
		sendRow(to, sql)
		sendComplete(to, "SELECT 1")
		asynchronous(to) // These precede the answers to the rest of the exchange.

		return true
	})
	c := newCluster(t, options{scripts: []*scriptedServer{server}})
	conn := c.connect("p1", "")

	for range 20 {
		results, err := conn.PgConn().Exec(testContext(t), "SELECT 'a'").ReadAll()
		require.NoError(t, err)
		assert.Equal(t, `["SELECT 'a'"]`, rowsOf(results))
	}

	assert.EqualValues(t, 1, server.opened.Load(), "the connection is used again")
}

// Guards against an answer that arrives again while a pinned session is idle, and is forwarded to the caller or taken for
// the answer to its next statement.
func TestRepeatedAnswersDoNotReachAnIdlePinnedSession(t *testing.T) {
	var path *repeater

	c := newCluster(t, options{relay: func(server netip.AddrPort) netip.AddrPort {
		path = newRepeater(t, server, 1, 1, time.Millisecond)

		return path.address()
	}})

	for i := range 20 {
		conn, err := net.Dial("tcp", c.proxies["p1"].address)
		require.NoError(t, err)

		front := pgproto3.NewFrontend(conn, conn)
		front.Send(&pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app", "database": "app"},
		})
		require.NoError(t, front.Flush())
		receiveAnswer(t, front)

		front.Send(&pgproto3.Query{String: "LISTEN c"})
		path.interval.Store(1)
		require.NoError(t, front.Flush())

		kinds, listening := receiveAnswer(t, front)
		repeated := path.repeated.Load()

		path.interval.Store(0)

		if !listening {
			require.NoError(t, conn.Close())

			continue
		}

		require.Positive(t, repeated)
		require.Equal(t, []string{"*pgproto3.CommandComplete", "*pgproto3.ReadyForQuery"}, kinds)

		require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))

		message, err := front.Receive()
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "%T arrived while the session was idle", message)
		require.NoError(t, conn.SetReadDeadline(time.Time{}))

		front = pgproto3.NewFrontend(conn, conn)
		front.Send(&pgproto3.Query{String: fmt.Sprintf("SELECT '%d'", i)})
		require.NoError(t, front.Flush())

		kinds, answered := receiveAnswer(t, front)
		if answered {
			require.Equal(t, []string{
				"*pgproto3.RowDescription", fmt.Sprintf("row %d", i), "*pgproto3.CommandComplete", "*pgproto3.ReadyForQuery",
			}, kinds)
		}

		require.NoError(t, conn.Close())
	}
}

// receiveAnswer receives messages up to ReadyForQuery. It returns false if an error or the end of the connection arrives.
func receiveAnswer(t *testing.T, front *pgproto3.Frontend) ([]string, bool) {
	t.Helper()

	var kinds []string

	for {
		message, err := front.Receive()
		if err != nil {
			return kinds, false
		}

		switch message := message.(type) {
		case *pgproto3.ParameterStatus:
		case *pgproto3.ErrorResponse:
			return kinds, false
		case *pgproto3.DataRow:
			kinds = append(kinds, "row "+string(message.Values[0]))
		case *pgproto3.ReadyForQuery:
			return append(kinds, fmt.Sprintf("%T", message)), true
		default:
			kinds = append(kinds, fmt.Sprintf("%T", message))
		}
	}
}

// Guards against a request that fails because the server has ended an idle connection with an error, as in a planned stop.
func TestFatalErrorOnAnIdleConnection(t *testing.T) {
	c := newCluster(t, options{})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	for i := range 5 {
		require.NoError(t, c.admins[0].Terminate(testContext(t), "ag/p1/"))
		c.exec(conn, "INSERT INTO t VALUES ($1)", i)
	}

	assert.EqualValues(t, 5, queryValue[int64](t, conn, "SELECT count(*) FROM t"))
}
