package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
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
	// txStatusIdle is the transaction status in ReadyForQuery outside a transaction.
	txStatusIdle = 'I'
	// maxPreparedStatements bounds the prepared statements of one connection. Each takes about 10 to 100 KiB of the
	// server's memory.
	maxPreparedStatements = 256
	// With keepaliveIdle, keepaliveInterval and keepaliveCount a lost connection is detected within about five seconds.
	keepaliveIdle     = 2 * time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 3

	// endTimeout bounds the wait for the server to end an idle connection.
	endTimeout = time.Second

	scramMechanism = "SCRAM-SHA-256"
)

// Options configures data connections to one server.
type Options struct {
	Address netip.AddrPort
	// Login returns the user, password and database. It is called for each new connection.
	Login func() (Login, error)
	// Application returns the application_name of the next connection.
	Application func() string
	// ConnectTimeout bounds the opening of a connection with its login.
	ConnectTimeout time.Duration
	// TLS enables encryption if it is not nil.
	TLS *tls.Config
	// OnAbandoned is called for each connection that a Pool closes while the server may still be running a statement of
	// it, whose login was not answered in time, or whose end the server has not confirmed, and takes over its permit. It
	// may be nil and must not block.
	OnAbandoned func(*Conn, Permit)
}

// ServerError is an error that the server sent.
type ServerError struct {
	pgproto3.ErrorResponse
}

// Error implements error.
func (e *ServerError) Error() string {
	return e.Severity + ": " + e.Message + " (SQLSTATE " + e.Code + ")"
}

// SQLState returns the SQLSTATE of an error that the server sent, or the empty string for other errors.
func SQLState(err error) string {
	var failure *ServerError
	if errors.As(err, &failure) {
		return failure.Code
	}

	return ""
}

// Conn is a data connection to a backend server. One goroutine may read while another writes; Abort, Cancel and Taint
// may be called by any goroutine.
type Conn struct {
	*wire.Reader
	*wire.Writer

	// Prepared are the statements that the server holds for this connection.
	Prepared *PreparedStatements
	// Parameters are the latest run-time parameters that the server reported.
	Parameters map[string]string
	// SettingsKey identifies the session parameters that are in force on the connection.
	SettingsKey string
	// Dirty is true if the connection has session state that only DISCARD ALL removes.
	Dirty bool
	// ReadOnly is true while default_transaction_read_only is on for the session.
	ReadOnly bool
	// TxStatus is the transaction status in the last ReadyForQuery, or zero while an answer is unread.
	TxStatus byte
	// Term is the server's term as primary when the connection was opened, or zero.
	Term position.Term

	net       net.Conn
	monitor   *monitoredConn
	raw       syscall.RawConn
	address   netip.AddrPort
	processID uint32
	secretKey []byte
	// application is the application_name of the connection.
	application string
	// marker is the number of the marker that was sent last.
	marker   int
	tainted  atomic.Bool
	permit   Permit
	lastUsed time.Time

	// deadlineMu orders Abort and changes of the deadline.
	deadlineMu sync.Mutex
}

// ErrAborted is returned when data is read or a deadline is set after Conn.Abort.
var ErrAborted = errors.New("the connection was aborted")

// Open connects to a server and logs in. Its errors carry result.ServerUnreachable.
func Open(ctx context.Context, options Options) (*Conn, error) {
	conn, err := open(ctx, options)
	if err != nil {
		return nil, err
	}

	return conn, nil
}

// open is like Open, but also returns the closed connection with the error if the login was not answered in time. The
// server may have accepted such a connection and keep it open.
func open(ctx context.Context, options Options) (*Conn, error) {
	conn, err := connect(ctx, options)
	if err != nil {
		return conn, result.New(result.ServerUnreachable, "%w", err)
	}

	return conn, nil
}

// connect is like open, but its errors carry no result code.
func connect(ctx context.Context, options Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, options.ConnectTimeout)
	defer cancel()

	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
	}}

	connection, err := dialer.DialContext(ctx, "tcp", options.Address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", options.Address, withContext(ctx, err))
	}

	// The passed deadline makes the login end as soon as the context is cancelled.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	conn, err := login(ctx, connection, options)

	if !stop() && err == nil {
		err = ctx.Err()
	}

	if err != nil {
		_ = connection.Close()

		if ctx.Err() == nil {
			conn = nil
		}

		return conn, fmt.Errorf("log in to backend server %s: %w", options.Address, withContext(ctx, err))
	}

	return conn, nil
}

// login logs in over a new connection. With an error it returns the connection if the startup message was sent.
func login(ctx context.Context, connection net.Conn, options Options) (*Conn, error) {
	account, err := options.Login()
	if err != nil {
		return nil, err
	}

	conn := &Conn{address: options.Address, Prepared: NewPreparedStatements(maxPreparedStatements), Parameters: make(map[string]string)}

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
	conn.monitor = &monitoredConn{Conn: connection}
	conn.Reader = wire.NewReader(conn.monitor, 0)
	conn.Writer = wire.NewWriter(connection)

	conn.application = options.Application()
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": account.User, "database": account.Database, "application_name": conn.application,
	}}
	if err := conn.Send(startup); err != nil {
		return conn, err
	}

	if err := conn.authenticate(account.Password); err != nil {
		return conn, err
	}

	return conn, conn.readUntilReady(func(kind byte, body []byte) error {
		if kind != 'K' {
			return errUnrequestedKind(kind)
		}

		var key pgproto3.BackendKeyData
		if err := key.Decode(body); err != nil {
			return err
		}

		conn.processID = key.ProcessID
		conn.secretKey = append([]byte(nil), key.SecretKey...)

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

// authenticate answers the server's authentication requests until AuthenticationOk.
func (c *Conn) authenticate(password string) error {
	var conversation *scram.ClientConversation

	for {
		if err := c.Flush(); err != nil {
			return err
		}

		kind, _, err := c.ReadHeader()
		if err != nil {
			return err
		}

		body, err := c.ReadBody()
		if err != nil {
			return err
		}

		if kind == 'E' {
			return decodeError(body)
		}

		const methodBytes = 4
		if kind != 'R' || len(body) < methodBytes {
			return fmt.Errorf("unexpected message %q instead of an authentication request", kind)
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
				return errors.New("SASL message before the start of SASL authentication")
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

// statementResult is the answer to one statement: its rows as text, in which NULL is the empty string, and its command tag.
type statementResult struct {
	rows [][]string
	tag  string
}

// Query runs SQL by the simple query protocol, independently of a caller's request, and returns the rows as text and
// the last command tag. An error that the server sent is a *ServerError and leaves the connection usable; after any
// other error the connection is tainted.
func (c *Conn) Query(deadline time.Time, sql string) ([][]string, string, error) {
	var (
		rows [][]string
		tag  string
	)

	results, err := c.queryAll(deadline, sql)
	for _, result := range results {
		rows = append(rows, result.rows...)
		tag = result.tag
	}

	return rows, tag, err
}

// queryAll runs statements that are separated by semicolons like Query and returns the answer to each of them.
func (c *Conn) queryAll(deadline time.Time, sql string) ([]statementResult, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, c.taintOn(err)
	}

	c.TxStatus = 0

	if err := c.Send(&pgproto3.Query{String: sql}); err != nil {
		return nil, c.taintOn(err)
	}

	c.SendMarker()

	if err := c.Flush(); err != nil {
		return nil, c.taintOn(err)
	}

	var (
		results []statementResult
		rows    [][]string
	)

	err := c.readUntilReady(func(kind byte, body []byte) error {
		switch kind {
		case 'T', 'I':
		case 'D':
			row, err := decodeRow(body)
			if err != nil {
				return err
			}

			rows = append(rows, row)
		case 'C':
			var complete pgproto3.CommandComplete
			if err := complete.Decode(body); err != nil {
				return err
			}

			results = append(results, statementResult{rows: rows, tag: string(complete.CommandTag)})
			rows = nil
		default:
			return errUnrequestedKind(kind)
		}

		return nil
	})

	if c.TxStatus == 0 {
		return nil, err
	}

	if failed := c.ReadMarker(c.handleAsynchronous); failed != nil {
		return nil, failed
	}

	return results, err
}

func decodeRow(body []byte) ([]string, error) {
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil {
		return nil, err
	}

	values := make([]string, len(row.Values))
	for i, value := range row.Values {
		values[i] = string(value)
	}

	return values, nil
}

func errUnrequestedKind(kind byte) error {
	return fmt.Errorf("%w: message %q", ErrUnrequested, kind)
}

// Exec runs SQL like Query and discards the rows.
func (c *Conn) Exec(deadline time.Time, sql string) error {
	_, _, err := c.Query(deadline, sql)

	return err
}

// readUntilReady reads an answer up to ReadyForQuery.
func (c *Conn) readUntilReady(handle func(kind byte, body []byte) error) error {
	var failure error

	for {
		kind, _, err := c.ReadHeader()
		if err != nil {
			return c.taintOn(err)
		}

		if IsAsynchronous(kind) {
			if err := c.handleAsynchronous(kind); err != nil {
				return c.taintOn(err)
			}

			continue
		}

		body, err := c.ReadBody()
		if err != nil {
			return c.taintOn(err)
		}

		switch kind {
		case 'E':
			if failure == nil {
				failure = decodeError(body)
			}
		case 'Z':
			if len(body) != 1 {
				return c.taintOn(errors.New("ReadyForQuery has a wrong length"))
			}

			c.TxStatus = body[0]

			return failure
		default:
			if err := handle(kind, body); err != nil {
				return c.taintOn(err)
			}
		}
	}
}

// withContext adds the reason why a context ended to an error that its end caused.
func withContext(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}

	return err
}

func (c *Conn) taintOn(err error) error {
	c.Taint()

	return err
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return c.changeDeadline(c.net.SetDeadline, deadline)
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	return c.changeDeadline(c.net.SetReadDeadline, deadline)
}

func (c *Conn) changeDeadline(set func(time.Time) error, deadline time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()

	if c.monitor.aborted.Load() {
		return ErrAborted
	}

	return set(deadline)
}

// Abort makes current and later reads and writes fail, and taints the connection. It may be called by any goroutine.
func (c *Conn) Abort() {
	c.Taint()

	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()

	c.monitor.aborted.Store(true)
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// Taint marks the connection as not reusable, so that the pool closes it.
func (c *Conn) Taint() {
	c.tainted.Store(true)
}

// Reusable reports whether another session may use the connection: the last answer was read to the end, no transaction
// is open, and the connection was not tainted, for instance by a cancel request that may still take effect.
func (c *Conn) Reusable() bool {
	return !c.tainted.Load() && c.TxStatus == txStatusIdle && c.Buffered() == 0
}

// Alive reports whether the server has neither closed the connection nor sent an unexpected message. It consumes no
// data.
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

// Cancel asks the server over a separate connection to cancel the statement that runs on this one. It taints this
// connection, because the request may take effect late and must not cancel a later statement of another session.
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

	request, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}).Encode(nil)
	if err != nil {
		return err
	}

	if _, err := connection.Write(request); err != nil {
		return err
	}

	// The server closes the connection once it has processed the request.
	_, _ = io.Copy(io.Discard, connection)

	return nil
}

// Close closes the connection and releases its permit.
func (c *Conn) Close() {
	c.sendTerminate()

	_ = c.net.Close()

	if c.permit != nil {
		c.permit.Release()
	}
}

// sendTerminate tells the server that the connection ends. The server would notice the end without this message too, but
// not that it is an orderly one.
func (c *Conn) sendTerminate() {
	c.Taint()

	_ = c.net.SetWriteDeadline(time.Now().Add(time.Second))
	if encoded, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		_, _ = c.net.Write(encoded)
	}
}

// awaitEnd closes the connection after sendTerminate and reports whether the server has ended it. A server that has not
// received the message, because the network has lost the connection's state, keeps counting it.
func (c *Conn) awaitEnd() bool {
	defer func() { _ = c.net.Close() }()

	_ = c.net.SetReadDeadline(time.Now().Add(endTimeout))
	_, err := io.Copy(io.Discard, c.net)

	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func decodeError(body []byte) error {
	failure := &ServerError{}
	if err := failure.Decode(body); err != nil {
		return err
	}

	return failure
}
