package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/io/wire"
)

const (
	// statusIdle is the state of a server connection outside a transaction, in ReadyForQuery.
	statusIdle = 'I'
	// preparedLimit bounds the prepared statements of one connection. A statement costs the server some 10 to
	// 100 KiB of memory.
	preparedLimit = 256
	// keepaliveIdle, keepaliveInterval and keepaliveCount notice a silent peer within about five seconds.
	keepaliveIdle     = 2 * time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 3

	scramMechanism = "SCRAM-SHA-256"
)

// Options says how data connections to one server are opened.
type Options struct {
	Address netip.AddrPort
	// Login returns the user, password and database at the time of each connection.
	Login func() (Login, error)
	// Application returns the application_name that the server shows for the next connection.
	Application func() string
	// Connect bounds the time to open a connection and log in.
	Connect time.Duration
	// TLS enables encryption if it is not nil.
	TLS *tls.Config
	// Abandoned is told of each connection that a Pool closes while the server may still work for it, and takes over
	// its permit. It may be nil and must not block.
	Abandoned func(*Conn, Permit)
}

// ServerError is an error that the server sent.
type ServerError struct {
	pgproto3.ErrorResponse
}

// Error implements error.
func (e *ServerError) Error() string {
	return e.Severity + ": " + e.Message + " (SQLSTATE " + e.Code + ")"
}

// StateOf returns the SQLSTATE of a server's error, or the empty text.
func StateOf(err error) string {
	var failure *ServerError
	if errors.As(err, &failure) {
		return failure.Code
	}

	return ""
}

// Conn is one data connection to a backend server. One goroutine may read while another writes; Cancel and Taint may
// be called from anywhere.
type Conn struct {
	*wire.Reader
	*wire.Writer

	// Prepared are the statements that the server holds for this connection.
	Prepared *Prepared
	// Parameters are what the server reported at login.
	Parameters map[string]string
	// Settings is the key of the session parameters that are in force on the connection.
	Settings string
	// Dirty is true if the connection has state that only DISCARD ALL removes.
	Dirty bool
	// ReadOnly is true while default_transaction_read_only was set to on.
	ReadOnly bool
	// Status is the transaction state in the last ReadyForQuery, or zero while an answer is unread.
	Status byte
	// Term is the term in which the server was the primary when the connection was opened, or zero.
	Term position.Term

	net     net.Conn
	reads   *monitored
	raw     syscall.RawConn
	address netip.AddrPort
	process uint32
	secret  []byte
	// application is the name under which the server shows the connection.
	application string
	tainted     atomic.Bool
	permit      Permit
	since       time.Time
}

// Open connects and logs in. Its errors carry result.ServerUnreachable.
func Open(ctx context.Context, options Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Connect)
	defer cancel()

	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
	}}

	connection, err := dialer.DialContext(ctx, "tcp", options.Address.String())
	if err != nil {
		return nil, result.New(result.ServerUnreachable, "connect to backend server %s: %w", options.Address, err)
	}

	// A cancelled context ends the login at once.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	conn, err := login(ctx, connection, options)

	if !stop() && err == nil {
		err = ctx.Err()
	}

	if err != nil {
		_ = connection.Close()

		return nil, result.New(result.ServerUnreachable, "log in to backend server %s: %w", options.Address, err)
	}

	return conn, nil
}

func login(ctx context.Context, connection net.Conn, options Options) (*Conn, error) {
	account, err := options.Login()
	if err != nil {
		return nil, err
	}

	conn := &Conn{address: options.Address, Prepared: NewPrepared(preparedLimit), Parameters: make(map[string]string)}

	if tcp, ok := connection.(*net.TCPConn); ok {
		if conn.raw, err = tcp.SyscallConn(); err != nil {
			return nil, err
		}
	}

	if options.TLS != nil {
		if connection, err = encrypt(ctx, connection, options.TLS); err != nil {
			return nil, err
		}
	}

	conn.net = connection
	conn.reads = &monitored{Conn: connection}
	conn.Reader = wire.NewReader(conn.reads, 0)
	conn.Writer = wire.NewWriter(connection)

	conn.application = options.Application()
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": account.User, "database": account.Database, "application_name": conn.application,
	}}
	if err := conn.Send(startup); err != nil {
		return nil, err
	}

	if err := conn.authenticate(account.Password); err != nil {
		return nil, err
	}

	return conn, conn.untilReady(func(kind byte, body []byte) error {
		if kind != 'K' {
			return nil
		}

		var key pgproto3.BackendKeyData
		if err := key.Decode(body); err != nil {
			return err
		}

		conn.process = key.ProcessID
		conn.secret = append([]byte(nil), key.SecretKey...)

		return nil
	})
}

func encrypt(ctx context.Context, connection net.Conn, config *tls.Config) (net.Conn, error) {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, err
	}

	if _, err := connection.Write(request); err != nil {
		return nil, err
	}

	var answer [1]byte
	if _, err := io.ReadFull(connection, answer[:]); err != nil {
		return nil, err
	}

	if answer[0] != 'S' {
		return nil, errors.New("the server refuses TLS")
	}

	secured := tls.Client(connection, config)

	return secured, secured.HandshakeContext(ctx)
}

// authenticate answers the server's requests until AuthenticationOk.
func (c *Conn) authenticate(password string) error {
	var conversation *scram.ClientConversation

	for {
		if err := c.Flush(); err != nil {
			return err
		}

		kind, _, err := c.Next()
		if err != nil {
			return err
		}

		body, err := c.Body()
		if err != nil {
			return err
		}

		if kind == 'E' {
			return decodeError(body)
		}

		const methodBytes = 4
		if kind != 'R' || len(body) < methodBytes {
			return fmt.Errorf("message %q arrived where an authentication request was expected", kind)
		}

		method, data := body[3], string(body[methodBytes:])

		switch method {
		case pgproto3.AuthTypeOk:
			return nil
		case pgproto3.AuthTypeCleartextPassword:
			err = c.Send(&pgproto3.PasswordMessage{Password: password})
		case pgproto3.AuthTypeSASL:
			conversation, err = c.beginSCRAM(password)
		case pgproto3.AuthTypeSASLContinue, pgproto3.AuthTypeSASLFinal:
			if conversation == nil {
				return errors.New("SASL continues before it began")
			}

			answer, failure := conversation.Step(data)
			if failure != nil {
				return failure
			}

			if method == pgproto3.AuthTypeSASLContinue {
				err = c.Send(&pgproto3.SASLResponse{Data: []byte(answer)})
			}
		default:
			return fmt.Errorf("authentication method %d is not supported", method)
		}

		if err != nil {
			return err
		}
	}
}

func (c *Conn) beginSCRAM(password string) (*scram.ClientConversation, error) {
	// The server takes the user from the startup packet.
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, err
	}

	conversation := client.NewConversation()

	first, err := conversation.Step("")
	if err != nil {
		return nil, err
	}

	return conversation, c.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
}

// Query runs one text by the simple protocol, outside a caller's request, and returns the rows as text and the last
// command tag. An error that the server sent is a *ServerError and leaves the connection usable; after any other
// error it is tainted.
func (c *Conn) Query(deadline time.Time, sql string) ([][]string, string, error) {
	var (
		rows [][]string
		tag  string
	)

	if err := c.SetDeadline(deadline); err != nil {
		return nil, "", c.broken(err)
	}

	c.Status = 0

	if err := c.Send(&pgproto3.Query{String: sql}); err != nil {
		return nil, "", c.broken(err)
	}

	if err := c.Flush(); err != nil {
		return nil, "", c.broken(err)
	}

	err := c.untilReady(func(kind byte, body []byte) error {
		switch kind {
		case 'D':
			var row pgproto3.DataRow
			if err := row.Decode(body); err != nil {
				return err
			}

			values := make([]string, len(row.Values))
			for i, value := range row.Values {
				values[i] = string(value)
			}

			rows = append(rows, values)
		case 'C':
			var complete pgproto3.CommandComplete
			if err := complete.Decode(body); err != nil {
				return err
			}

			tag = string(complete.CommandTag)
		}

		return nil
	})

	return rows, tag, err
}

// Exec runs one text by the simple protocol and drops its rows.
func (c *Conn) Exec(deadline time.Time, sql string) error {
	_, _, err := c.Query(deadline, sql)

	return err
}

// untilReady reads an answer up to ReadyForQuery.
func (c *Conn) untilReady(handle func(kind byte, body []byte) error) error {
	var failure error

	for {
		kind, _, err := c.Next()
		if err != nil {
			return c.broken(err)
		}

		body, err := c.Body()
		if err != nil {
			return c.broken(err)
		}

		switch kind {
		case 'E':
			if failure == nil {
				failure = decodeError(body)
			}
		case 'S':
			var parameter pgproto3.ParameterStatus
			if err := parameter.Decode(body); err != nil {
				return c.broken(err)
			}

			c.Parameters[parameter.Name] = parameter.Value
		case 'Z':
			if len(body) != 1 {
				return c.broken(errors.New("ReadyForQuery has a wrong length"))
			}

			c.Status = body[0]

			return failure
		default:
			if err := handle(kind, body); err != nil {
				return c.broken(err)
			}
		}
	}
}

func (c *Conn) broken(err error) error {
	c.Taint()

	return err
}

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return c.net.SetDeadline(deadline)
}

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	return c.net.SetReadDeadline(deadline)
}

// Taint marks the connection so that it is closed instead of being used again.
func (c *Conn) Taint() {
	c.tainted.Store(true)
}

// Reusable reports whether the connection may serve another session: its last answer was read to the end, no
// transaction is open, and nothing on the way may still reach it.
func (c *Conn) Reusable() bool {
	return !c.tainted.Load() && c.Status == statusIdle && c.Buffered() == 0
}

// Alive reports whether the peer has neither closed the connection nor sent anything unasked. It reads nothing.
func (c *Conn) Alive() bool {
	if c.Buffered() > 0 {
		return false
	}

	if c.raw == nil {
		return true
	}

	alive := false
	err := c.raw.Read(func(descriptor uintptr) bool {
		var next [1]byte

		_, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && alive
}

// Cancel asks the server, over a connection of its own, to cancel what runs on this one, and taints the connection:
// the request may take effect late, and must not hit a later statement of another session.
func (c *Conn) Cancel(ctx context.Context) error {
	c.Taint()

	var dialer net.Dialer

	connection, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return err
	}

	defer func() { _ = connection.Close() }()

	if deadline, found := ctx.Deadline(); found {
		if err := connection.SetDeadline(deadline); err != nil {
			return err
		}
	}

	request, err := (&pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return err
	}

	if _, err := connection.Write(request); err != nil {
		return err
	}

	// The server closes the connection when it has passed the request on.
	_, _ = io.Copy(io.Discard, connection)

	return nil
}

// Close ends the connection and returns its permit.
func (c *Conn) Close() {
	c.Taint()

	// A server notices the end of the connection by itself as well; the message lets it tell an orderly end.
	_ = c.net.SetWriteDeadline(time.Now().Add(time.Second))
	if encoded, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		_, _ = c.net.Write(encoded)
	}

	_ = c.net.Close()

	if c.permit != nil {
		c.permit.Release()
	}
}

func decodeError(body []byte) error {
	failure := &ServerError{}
	if err := failure.Decode(body); err != nil {
		return err
	}

	return failure
}
