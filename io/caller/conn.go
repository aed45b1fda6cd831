package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/result"
	"almondgrade/io/wire"
)

// ErrInterrupted is returned by Conn.AwaitMessage after Conn.Interrupt.
var ErrInterrupted = errors.New("the wait for the next message was interrupted")

// ErrIdleTimeout is returned by Conn.AwaitMessage when its deadline has passed.
var ErrIdleTimeout = errors.New("no message arrived in time")

// Conn is a caller's connection after startup. One goroutine may read while another writes; Interrupt and Close may be
// called by any goroutine.
type Conn struct {
	*wire.Reader
	*wire.Writer

	net net.Conn

	mu          sync.Mutex
	waiting     bool
	interrupted bool
}

// deadlineWriter bounds the time for which a write may make no progress.
type deadlineWriter struct {
	conn         net.Conn
	stallTimeout time.Duration
}

// writePieceBytes is the size of the pieces in which an answer is written. Each piece has its own deadline, which
// distinguishes a slow reader from one that has stopped reading.
const writePieceBytes = 32 << 10

// lingerTimeout bounds Conn.Linger.
const lingerTimeout = time.Second

// Write implements io.Writer.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	written := 0

	for written < len(data) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.stallTimeout)); err != nil {
			return written, err
		}

		n, err := w.conn.Write(data[written:min(len(data), written+writePieceBytes)])
		written += n

		if err != nil {
			return written, err
		}
	}

	return written, nil
}

// NewConn returns a connection that refuses messages longer than limit bytes. Its writes fail if the caller reads
// nothing for the duration stall.
func NewConn(conn net.Conn, limit int, stall time.Duration) *Conn {
	return &Conn{
		Reader: wire.NewReader(conn, limit),
		Writer: wire.NewWriter(&deadlineWriter{conn: conn, stallTimeout: stall}),
		net:    conn,
	}
}

// RemoteAddr returns the caller's address.
func (c *Conn) RemoteAddr() net.Addr {
	return c.net.RemoteAddr()
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.net.Close()
}

// AwaitMessage waits until the header of the next message has arrived. It consumes nothing. A zero deadline means no
// deadline.
func (c *Conn) AwaitMessage(deadline time.Time) error {
	c.mu.Lock()
	if c.interrupted {
		c.mu.Unlock()

		return ErrInterrupted
	}

	c.waiting = true
	err := c.net.SetReadDeadline(deadline)
	c.mu.Unlock()

	if err == nil {
		err = c.WaitForHeader()
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.waiting = false
	_ = c.net.SetReadDeadline(time.Time{})

	switch {
	case c.interrupted:
		return ErrInterrupted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrIdleTimeout
	}

	return err
}

// Interrupt makes the current and all later calls of AwaitMessage return ErrInterrupted until Resume.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.interrupted = true

	if c.waiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// Resume lets AwaitMessage wait again after Interrupt.
func (c *Conn) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.interrupted = false
}

// The severities in error messages.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// ErrorResponse converts an error to the message that a caller receives. An error without a result code keeps its text
// and gets SQLSTATE XX000.
func ErrorResponse(err error) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{
		Severity: severityError, SeverityUnlocalized: severityError, Code: "XX000", Message: err.Error(),
	}

	var failure *result.Error
	if errors.As(err, &failure) {
		description := failure.Code.Describe()
		response.Code = description.SQLState
		response.Message = failure.Error()
		response.Detail = "request ran: " + description.Ran.String()
	}

	return response
}

// Linger reads and discards what the caller still sends, for at most one second. Otherwise closing a connection with
// unread bytes would reset it, and the caller could lose the answer and the error that were sent last.
func (c *Conn) Linger() {
	linger(c.net)
}

func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}

	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

// SendFatal discards held output and sends an error with severity FATAL. The connection must be closed afterwards.
func (c *Conn) SendFatal(response *pgproto3.ErrorResponse) {
	response.Severity, response.SeverityUnlocalized = severityFatal, severityFatal

	c.DropHeldOutput()
	_ = c.Send(response)
	_ = c.Flush()
}
