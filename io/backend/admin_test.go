package backend_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/io/backend"
)

// adminServer is a replica that follows in term 1. Its log position advances with each observation, and it counts its WAL
// receivers down.
type adminServer struct {
	listener net.Listener
	lsn      atomic.Int64
	// receivers is the number of further queries by which the WAL receiver still runs.
	receivers atomic.Int64
	// repeatBefore is the number of the query before whose answer the previous answer arrives a second time.
	repeatBefore int
	// notifies is true if the server sends messages that are allowed at any time.
	notifies bool
	opened   atomic.Int64
}

func newAdminServer(t *testing.T) *adminServer {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	s := &adminServer{listener: listener}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go s.serve(conn)
		}
	}()

	return s
}

func (s *adminServer) open(ctx context.Context, t *testing.T) *backend.Admin {
	t.Helper()

	address := netip.MustParseAddrPort(s.listener.Addr().String())
	admin, err := backend.OpenAdmin(ctx, address, backend.Login{User: "u", Database: "d"}, "ag/p1/monitor")
	require.NoError(t, err)
	t.Cleanup(admin.Close)

	return admin
}

func (s *adminServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	to := pgproto3.NewBackend(conn, conn)

	if _, err := to.ReceiveStartupMessage(); err != nil {
		return
	}

	s.opened.Add(1)
	to.Send(&pgproto3.AuthenticationOk{})
	to.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	var previous []pgproto3.BackendMessage

	for queries := 0; to.Flush() == nil; {
		message, err := to.Receive()
		if err != nil {
			return
		}

		var answer []pgproto3.BackendMessage

		switch message := message.(type) {
		case *pgproto3.Query:
			if queries++; queries == s.repeatBefore {
				send(to, previous)
			}

			answer = s.answer(message.String)
			previous = answer
		case *pgproto3.Close:
			answer = []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
		case *pgproto3.Sync:
			answer = []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{TxStatus: 'I'}}
		default:
			return
		}

		if s.notifies {
			to.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000"})
			to.Send(&pgproto3.ParameterStatus{Name: "in_hot_standby", Value: "on"})
		}

		send(to, answer)
	}
}

func send(to *pgproto3.Backend, messages []pgproto3.BackendMessage) {
	for _, message := range messages {
		to.Send(message)
	}
}

func (s *adminServer) answer(sql string) []pgproto3.BackendMessage {
	var answer []pgproto3.BackendMessage

	switch {
	case strings.HasPrefix(sql, "SELECT pg_is_in_recovery()"):
		lsn := fmt.Sprintf("0/%X", s.lsn.Add(1))
		answer = append(rowsAnswer([]string{"t", "application_name=ag_1_db1", "", lsn, lsn, ""}), rowsAnswer()...)
	case strings.Contains(sql, "pg_stat_wal_receiver"):
		answer = rowsAnswer([]string{fmt.Sprint(max(0, s.receivers.Add(-1)))})
	case strings.Contains(sql, "pg_promote"):
		answer = rowsAnswer([]string{"f"})
	case strings.HasPrefix(sql, "ALTER SYSTEM"):
		answer = []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("ALTER SYSTEM")}}
	default:
		answer = rowsAnswer([]string{"t"})
	}

	return append(answer, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// rowsAnswer returns the answer to one query.
func rowsAnswer(rows ...[]string) []pgproto3.BackendMessage {
	answer := []pgproto3.BackendMessage{&pgproto3.RowDescription{}}

	for _, row := range rows {
		values := make([][]byte, len(row))
		for i := range row {
			if row[i] != "" {
				values[i] = []byte(row[i])
			}
		}

		answer = append(answer, &pgproto3.DataRow{Values: values})
	}

	return append(answer, &pgproto3.CommandComplete{CommandTag: []byte(fmt.Sprintf("SELECT %d", len(rows)))})
}

// Guards against an old observation that is taken for the newest state of a server, from which barriers, confirmations and
// the choice of a new primary are derived: the server sends the answer to the previous query again before the answer to
// the next one.
func TestRepeatedAnswerIsNotTakenForANewObservation(t *testing.T) {
	ctx, cancel := withTestTimeout(t)
	defer cancel()

	server := newAdminServer(t)
	server.repeatBefore = 2
	admin := server.open(ctx, t)

	first, err := admin.Observe(ctx)
	require.NoError(t, err)
	require.Equal(t, position.LSN(1), first.ReceivedLSN)

	stale, err := admin.Observe(ctx)
	require.Error(t, err, "an observation of position %s", stale.ReceivedLSN)
	assert.ErrorIs(t, err, backend.ErrUnrequested)
	assert.True(t, admin.IsClosed(), "the connection is not used again")
}

// Guards against a replica that counts as fenced while it still receives, or with a position from before it was fenced,
// and against a promotion that is reported as done because an earlier success arrived again.
func TestRepeatedAnswersDoNotFenceOrPromote(t *testing.T) {
	ctx, cancel := withTestTimeout(t)
	defer cancel()

	// Fence sends at least five queries, Promote six.
	for repeatBefore := 2; repeatBefore <= 8; repeatBefore++ {
		t.Run(fmt.Sprint(repeatBefore), func(t *testing.T) {
			server := newAdminServer(t)
			server.repeatBefore = repeatBefore
			server.receivers.Store(4)

			fenced, err := server.open(ctx, t).Fence(ctx, "db1")
			require.Error(t, err, "fenced at %s", fenced.LSN)
			assert.ErrorIs(t, err, backend.ErrUnrequested)
		})
	}

	for repeatBefore := 2; repeatBefore <= 6; repeatBefore++ {
		t.Run("promotion "+fmt.Sprint(repeatBefore), func(t *testing.T) {
			server := newAdminServer(t)
			server.repeatBefore = repeatBefore

			require.Error(t, server.open(ctx, t).Promote(ctx, "db1", 2))
		})
	}
}

// Guards against a monitor connection that is closed because of messages that PostgreSQL may send at any time.
func TestObservationsGoOnBesideAsynchronousMessages(t *testing.T) {
	ctx, cancel := withTestTimeout(t)
	defer cancel()

	server := newAdminServer(t)
	server.notifies = true
	admin := server.open(ctx, t)

	for i := range 40 {
		seen, err := admin.Observe(ctx)
		require.NoError(t, err)
		assert.Equal(t, position.LSN(i+1), seen.ReceivedLSN)
	}

	assert.EqualValues(t, 1, server.opened.Load())
}
