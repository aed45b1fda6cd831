package bench

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// target is a proxy and a database of it, as one class of callers uses them.
type target struct {
	proxy, database, application string
}

// callers keeps connections for reuse, up to a number for each target.
type callers struct {
	options Options
	mu      sync.Mutex
	pools   map[target]*callerPool
}

type callerPool struct {
	room chan struct{}
	idle chan *pgconn.PgConn
}

func newCallers(options Options) *callers {
	return &callers{options: options, pools: map[target]*callerPool{}}
}

func (c *callers) pool(t target) *callerPool {
	c.mu.Lock()
	defer c.mu.Unlock()

	p := c.pools[t]
	if p == nil {
		p = &callerPool{
			room: make(chan struct{}, c.options.Connections), idle: make(chan *pgconn.PgConn, c.options.Connections),
		}
		c.pools[t] = p
	}

	return p
}

// with runs a function on a connection to a target.
func (c *callers) with(ctx context.Context, t target, run func(conn *pgconn.PgConn) error) error {
	p := c.pool(t)

	select {
	case p.room <- struct{}{}:
	case <-ctx.Done():
		return &notSentError{ctx.Err()}
	}

	defer func() { <-p.room }()

	var conn *pgconn.PgConn

	select {
	case conn = <-p.idle:
	default:
		var err error
		if conn, err = c.dial(ctx, t); err != nil {
			return &notSentError{err}
		}
	}

	err := run(conn)

	if conn.IsClosed() || conn.TxStatus() != 'I' {
		discard(ctx, conn)
		return err
	}

	p.idle <- conn

	return err
}

func (c *callers) dial(ctx context.Context, t target) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(t.proxy)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy address %q", t.proxy)
	}

	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "connection settings")
	}

	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy address %q", t.proxy)
	}

	config.Host, config.Port = host, uint16(number)
	config.User, config.Password, config.Database = c.options.User, c.options.Password, t.database
	config.RuntimeParams = map[string]string{"application_name": t.application}
	config.Fallbacks = nil

	return pgconn.ConnectConfig(ctx, config)
}

func discard(ctx context.Context, conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()

	_ = conn.Close(ctx)
}

func (c *callers) close(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, p := range c.pools {
		for len(p.idle) > 0 {
			discard(ctx, <-p.idle)
		}
	}
}

// notSentError is a failure before anything was sent.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// unknownStates are the SQLSTATEs that leave the outcome of a write open.
//
//nolint:gochecknoglobals // Constant table.
var unknownStates = map[string]bool{"08007": true, "40003": true, "57P01": true, "57P02": true}

// judge returns what an error says about a write that was sent.
func judge(err error) outcome {
	var (
		notSent *notSentError
		failed  *pgconn.PgError
	)

	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &notSent):
		return refused
	case errors.As(err, &failed) && !unknownStates[failed.Code]:
		return refused
	default:
		return unknown
	}
}

// state names an error in the report: its SQLSTATE, or what else ended the request.
func state(err error) string {
	var (
		notSent *notSentError
		failed  *pgconn.PgError
	)

	switch {
	case errors.As(err, &failed):
		return failed.Code
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.As(err, &notSent):
		return "not connected"
	default:
		return "connection lost"
	}
}

// query runs one statement with text parameters and returns its rows.
func query(ctx context.Context, conn *pgconn.PgConn, sql string, parameters ...string) ([][][]byte, error) {
	values := make([][]byte, len(parameters))
	for i, p := range parameters {
		values[i] = []byte(p)
	}

	result := conn.ExecParams(ctx, sql, values, nil, nil, nil).Read()

	return result.Rows, result.Err
}
