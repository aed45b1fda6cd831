package proxy_test

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

const scriptLSN = 100

// scriptedServer is a backend server with answers given by a test. Statements that set up a connection succeed, and so do
// Close and Sync messages.
type scriptedServer struct {
	listener net.Listener
	// answer answers one query. It returns false to close the connection.
	answer func(to *pgproto3.Backend, sql string) bool
	opened atomic.Int64
	// cancels counts cancel requests.
	cancels atomic.Int64
	// holdCancels keeps the connections of cancel requests open until it is closed, if it is set.
	holdCancels chan struct{}

	mu      sync.Mutex
	queries []string
	// terminations are the statements by which a proxy ended connections that it had given up.
	terminations []string
}

// terminatePrefix begins the statement by which a proxy ends connections that it has given up.
const terminatePrefix = "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name IN ("

func newScriptedServer(t testing.TB, answer func(to *pgproto3.Backend, sql string) bool) *scriptedServer {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	s := &scriptedServer{listener: listener, answer: answer}

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

func (s *scriptedServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// callerQueries returns the queries received so far, without those that set up connections or end abandoned ones.
func (s *scriptedServer) callerQueries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.queries...)
}

// terminationQueries returns the statements received so far that end abandoned connections.
func (s *scriptedServer) terminationQueries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.terminations...)
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	status := &statusWriter{Writer: conn}
	to := pgproto3.NewBackend(conn, status)

	startup, err := to.ReceiveStartupMessage()
	if err != nil {
		return
	}

	if _, cancel := startup.(*pgproto3.CancelRequest); cancel {
		s.cancels.Add(1)

		if s.holdCancels != nil {
			<-s.holdCancels
		}

		return
	}

	s.opened.Add(1)
	to.Send(&pgproto3.AuthenticationOk{})
	to.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	// As in PostgreSQL, the answer to Close is sent together with the answer to Sync.
	for flush := true; !flush || to.Flush() == nil; {
		message, err := to.Receive()
		if err != nil {
			return
		}

		flush = true

		var query *pgproto3.Query

		switch message := message.(type) {
		case *pgproto3.Query:
			query = message
		case *pgproto3.Close:
			to.Send(&pgproto3.CloseComplete{})

			flush = false

			continue
		case *pgproto3.Sync:
			to.Send(&pgproto3.ReadyForQuery{TxStatus: status.last})

			continue
		default:
			return
		}

		if query.String == "" || strings.HasPrefix(query.String, "SET ") || strings.HasPrefix(query.String, "RESET ") ||
			query.String == "DISCARD ALL" {
			sendComplete(to, "SET")

			continue
		}

		s.mu.Lock()

		terminates := strings.HasPrefix(query.String, terminatePrefix)
		if terminates {
			s.terminations = append(s.terminations, query.String)
		} else {
			s.queries = append(s.queries, query.String)
		}

		s.mu.Unlock()

		if terminates {
			sendRowDescription(to)
			sendRow(to, "0")
			sendComplete(to, "SELECT 1")

			continue
		}

		if !s.answer(to, query.String) {
			_ = to.Flush()

			return
		}
	}
}

// statusWriter remembers the transaction status of the last ReadyForQuery. Each write consists of whole messages.
type statusWriter struct {
	io.Writer

	last byte
}

// Write implements io.Writer.
func (w *statusWriter) Write(messages []byte) (int, error) {
	for rest := messages; len(rest) > 0; rest = rest[1+binary.BigEndian.Uint32(rest[1:]):] {
		if rest[0] == 'Z' {
			w.last = rest[5]
		}
	}

	return w.Writer.Write(messages)
}

func sendComplete(to *pgproto3.Backend, tag string) bool {
	to.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	return true
}

func sendError(to *pgproto3.Backend, state string) bool {
	to.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "scripted"})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	return true
}

func sendRowDescription(to *pgproto3.Backend) {
	to.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
}

func sendRow(to *pgproto3.Backend, value string) {
	to.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}
