package backend_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/backend"
)

// serveExchanges answers each query with its number. Before the answer to the query with the number at, it sends the whole
// exchange that many queries earlier again, with the answer to its marker.
func serveExchanges(conn net.Conn, at, earlier int) {
	to := pgproto3.NewBackend(conn, conn)

	if _, err := to.ReceiveStartupMessage(); err != nil {
		return
	}

	to.Send(&pgproto3.AuthenticationOk{})
	to.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})

	var exchanges [][]pgproto3.BackendMessage

	for to.Flush() == nil {
		message, err := to.Receive()
		if err != nil {
			return
		}

		var answer []pgproto3.BackendMessage

		switch message.(type) {
		case *pgproto3.Query:
			number := len(exchanges) + 1
			answer = append(rowsAnswer([]string{strconv.Itoa(number)}), &pgproto3.ReadyForQuery{TxStatus: 'I'})

			if number == at {
				send(to, exchanges[number-earlier-1])
			}

			exchanges = append(exchanges, nil)
		case *pgproto3.Close:
			answer = []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
		case *pgproto3.Sync:
			answer = []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{TxStatus: 'I'}}
		default:
			return
		}

		exchanges[len(exchanges)-1] = append(exchanges[len(exchanges)-1], answer...)

		send(to, answer)
	}
}

// Guards against an answer that is taken for that of a later request because the answer to its marker was repeated with
// it. Exchanges up to 15 queries earlier are told apart.
func TestExchangeRepeatedWithItsMarker(t *testing.T) {
	const at = 40

	for earlier := 1; earlier <= 15; earlier++ {
		t.Run(fmt.Sprint(earlier), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)

			defer func() { _ = listener.Close() }()

			go func() {
				if conn, err := listener.Accept(); err == nil {
					serveExchanges(conn, at, earlier)
				}
			}()

			options := (&server{listener: listener}).options()
			conn, err := backend.Open(context.Background(), options)
			require.NoError(t, err)

			defer conn.Close()

			deadline := time.Now().Add(testTimeout)

			for i := 1; i < at; i++ {
				rows, _, err := conn.Query(deadline, "SELECT n")
				require.NoError(t, err)
				require.Equal(t, [][]string{{strconv.Itoa(i)}}, rows)
			}

			rows, _, err := conn.Query(deadline, "SELECT n")
			require.ErrorIs(t, err, backend.ErrUnrequested, "%q", rows)
			assert.False(t, conn.Reusable())
		})
	}
}
