package proxy_test

import (
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

// script is a backend server whose answers a test determines. Statements that set up a connection succeed.
type script struct {
	listener net.Listener
	// answer serves one query. It reports false to close the connection.
	answer func(to *pgproto3.Backend, sql string) bool
	opened atomic.Int64
	// cancels counts cancel requests.
	cancels atomic.Int64

	mu      sync.Mutex
	queries []string
}

func newScript(t testing.TB, answer func(to *pgproto3.Backend, sql string) bool) *script {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	s := &script{listener: listener, answer: answer}

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

func (s *script) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// seen returns the queries of callers so far.
func (s *script) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.queries...)
}

func (s *script) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	to := pgproto3.NewBackend(conn, conn)

	startup, err := to.ReceiveStartupMessage()
	if err != nil {
		return
	}

	if _, cancel := startup.(*pgproto3.CancelRequest); cancel {
		s.cancels.Add(1)

		return
	}

	s.opened.Add(1)
	to.Send(&pgproto3.AuthenticationOk{})
	to.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	for to.Flush() == nil {
		message, err := to.Receive()
		if err != nil {
			return
		}

		query, ok := message.(*pgproto3.Query)
		if !ok {
			return
		}

		if query.String == "" || strings.HasPrefix(query.String, "SET ") || strings.HasPrefix(query.String, "RESET ") ||
			query.String == "DISCARD ALL" {
			finish(to, "SET")

			continue
		}

		s.mu.Lock()
		s.queries = append(s.queries, query.String)
		s.mu.Unlock()

		if !s.answer(to, query.String) {
			_ = to.Flush()

			return
		}
	}
}

func finish(to *pgproto3.Backend, tag string) bool {
	to.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	return true
}

func fail(to *pgproto3.Backend, state string) bool {
	to.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "scripted"})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	return true
}

func describe(to *pgproto3.Backend) {
	to.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
}

func row(to *pgproto3.Backend, value string) {
	to.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}
