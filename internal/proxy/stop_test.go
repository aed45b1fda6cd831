package proxy_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller whose connection ends without an answer when the time limit of a drain passes. The server holds
// the statement that begins with the given text back.
func TestDrainLimitAnswersEveryCaller(t *testing.T) {
	tests := []struct {
		name        string
		statements  []string
		held        string
		holdCancels bool
		code        string
	}{
		{"write", []string{"INSERT INTO t VALUES (1)"}, "INSERT INTO t", false, "1401"},
		{"write on a server that accepts no cancel request", []string{"INSERT INTO t VALUES (1)"}, "INSERT INTO t", true, "1401"},
		{"read", []string{"SELECT v FROM t"}, "SELECT v", false, "1305"},
		{"read on a server that accepts no cancel request", []string{"SELECT v FROM t"}, "SELECT v", true, "1305"},
		{"name of a request", []string{"SET almondgrade.request = 'a'", "INSERT INTO t VALUES (1)"}, "BEGIN", false, "1305"},
		{"commit of a named request", []string{"SET almondgrade.request = 'a'", "INSERT INTO t VALUES (1)"}, "COMMIT", false, "1401"},
		{"commit of a named transaction", []string{"SET almondgrade.request = 'a'", "BEGIN", "INSERT INTO t VALUES (1)", "COMMIT"}, "UPDATE", false, "1305"},
		{"query of an outcome", []string{"SET almondgrade.request = 'a'", "SHOW almondgrade.outcome"}, "BEGIN", false, "1305"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testEnd, received := make(chan struct{}), make(chan struct{}, 1)
			defer close(testEnd)

			server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
				if strings.HasPrefix(sql, test.held) {
					received <- struct{}{}
					<-testEnd

					return false
				}

				to.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})

				status := byte('I')
				if strings.HasPrefix(sql, "BEGIN") || strings.HasPrefix(sql, "INSERT INTO t") || strings.HasPrefix(sql, "UPDATE") {
					status = 'T'
				}

				to.Send(&pgproto3.ReadyForQuery{TxStatus: status})

				return true
			})

			if test.holdCancels {
				server.holdCancels = testEnd
			}

			c := newCluster(t, options{scripts: []*scriptedServer{server}})
			conn := c.connect("p1", "").PgConn()
			failed := make(chan error, 1)

			go func() {
				for _, sql := range test.statements {
					if _, err := conn.Exec(testContext(t), sql).ReadAll(); err != nil {
						failed <- err

						return
					}
				}

				failed <- nil
			}()

			select {
			case <-received:
			case err := <-failed:
				require.Fail(t, "the statement was not held back", "%v", err)
			}

			ended, cancel := context.WithCancel(context.Background())
			cancel()

			drained := make(chan error, 1)

			go func() { drained <- c.proxies["p1"].Drain(ended) }()

			err := <-failed
			assert.Equal(t, test.code, codeOf(err), "%v", err)
			require.ErrorIs(t, <-drained, context.Canceled)
		})
	}
}

// Guards against a caller whose connection ends without an answer when the time limit of a drain passes while its
// transaction waits for a slot, and the server does not answer the ROLLBACK of the proxy.
func TestDrainLimitAnswersATransactionThatWaitsForASlot(t *testing.T) {
	testEnd := make(chan struct{})
	defer close(testEnd)

	server := newScriptedServer(t, func(to *pgproto3.Backend, sql string) bool {
		if sql == "ROLLBACK" {
			<-testEnd

			return false
		}

		to.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
		to.Send(&pgproto3.ReadyForQuery{TxStatus: 'T'})

		return true
	})
	c := newCluster(t, options{scripts: []*scriptedServer{server}, slots: 1})
	conn := c.connect("p1", "")
	c.exec(conn, "BEGIN READ ONLY")
	c.takeAllPermits(c.slots[0])

	defer c.releaseAllPermits(c.slots[0])

	acquired := c.slotCalls.Load()
	failed := make(chan error, 1)

	go func() {
		_, err := conn.PgConn().Exec(testContext(t), "SELECT v FROM t").ReadAll()
		failed <- err
	}()

	eventually(t, "the statement waits for a slot", func() bool { return c.slotCalls.Load() > acquired })

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, c.proxies["p1"].Drain(ended), context.Canceled)

	err := <-failed
	assert.Equal(t, "1305", codeOf(err), "%v", err)
}

// Guards against the end of an answer that is lost because the connection is closed while later statements of the caller are unread.
// The caller sends statements ahead and reads the answer to the first one only after the proxy has ended the session.
func TestDrainKeepsAnAnswerBeforeUnreadStatements(t *testing.T) {
	const rows, rowBytes = 4, 32 << 10

	begun := make(chan struct{}, 1)
	finish := make(chan struct{})
	server := newScriptedServer(t, func(to *pgproto3.Backend, _ string) bool {
		begun <- struct{}{}
		<-finish
		sendRowDescription(to)

		for range rows {
			sendRow(to, strings.Repeat("x", rowBytes))
		}

		return sendComplete(to, "SELECT 4")
	})
	c := newCluster(t, options{scripts: []*scriptedServer{server}})
	conn, err := net.Dial("tcp", c.proxies["p1"].address)
	require.NoError(t, err)

	defer conn.Close()

	// Part of the answer stays with the proxy until the caller reads.
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(rowBytes))

	caller := pgproto3.NewFrontend(conn, conn)
	caller.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app", "database": "app"}})
	require.NoError(t, caller.Flush())
	receiveUntilReady(t, caller)

	caller.Send(&pgproto3.Query{String: "SELECT v FROM t"})
	require.NoError(t, caller.Flush())
	<-begun

	// More than the proxy's read buffer holds.
	caller.Send(&pgproto3.Query{String: "INSERT INTO t VALUES ('" + strings.Repeat("y", 256<<10) + "')"})
	require.NoError(t, caller.Flush())

	drained := make(chan error, 1)

	go func() { drained <- c.proxies["p1"].Drain(testContext(t)) }()

	eventually(t, "the proxy drains", c.proxies["p1"].Draining)
	close(finish)
	eventually(t, "the proxy has sent the answer", func() bool { return c.proxies["p1"].SessionCount() == 0 })

	received := 0

	for {
		message, err := caller.Receive()
		require.NoError(t, err, "after %d rows", received)

		if _, row := message.(*pgproto3.DataRow); row {
			received++
		}

		if failure, ended := message.(*pgproto3.ErrorResponse); ended {
			assert.Equal(t, "57P01", failure.Code)

			break
		}
	}

	assert.Equal(t, rows, received)
	require.NoError(t, <-drained)
	assert.Equal(t, []string{"SELECT v FROM t"}, server.callerQueries())
}

func receiveUntilReady(t *testing.T, caller *pgproto3.Frontend) {
	t.Helper()

	for {
		message, err := caller.Receive()
		require.NoError(t, err)

		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}
