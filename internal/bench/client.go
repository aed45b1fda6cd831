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

// target is what a pooled connection connects to: a proxy, a database, and the application name of a request class.
type target struct {
	proxy, database, application string
}

// connectionPools keeps a limited number of connections for each target and reuses them.
type connectionPools struct {
	options Options
	mu      sync.Mutex
	pools   map[target]*connectionPool
}

type connectionPool struct {
	permits chan struct{}
	idle    chan *pgconn.PgConn
}

func newConnectionPools(options Options) *connectionPools {
	return &connectionPools{options: options, pools: map[target]*connectionPool{}}
}

func (c *connectionPools) pool(t target) *connectionPool {
	c.mu.Lock()
	defer c.mu.Unlock()

	p := c.pools[t]
	if p == nil {
		p = &connectionPool{
			permits: make(chan struct{}, c.options.Connections), idle: make(chan *pgconn.PgConn, c.options.Connections),
		}
		c.pools[t] = p
	}

	return p
}

// withConnection runs a function on an idle or new connection to a target. It waits while all of them are in use.
func (c *connectionPools) withConnection(ctx context.Context, t target, run func(conn *pgconn.PgConn) error) error {
	p := c.pool(t)

	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return &notSentError{ctx.Err()}
	}

	defer func() { <-p.permits }()

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
		closeConnection(ctx, conn)
		return err
	}

	p.idle <- conn

	return err
}

func (c *connectionPools) dial(ctx context.Context, t target) (*pgconn.PgConn, error) {
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

func closeConnection(ctx context.Context, conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()

	_ = conn.Close(ctx)
}

func (c *connectionPools) close(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, p := range c.pools {
		for len(p.idle) > 0 {
			closeConnection(ctx, <-p.idle)
		}
	}
}

// notSentError is a failure before the request was sent.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// unknownOutcomeStates are the SQLSTATEs after which the outcome of a write is unknown.
//
//nolint:gochecknoglobals // Constant table.
var unknownOutcomeStates = map[string]bool{"08007": true, "40003": true, "57P01": true, "57P02": true}

// outcomeOf returns the outcome of a write that ended with the given error.
func outcomeOf(err error) outcome {
	var (
		notSent *notSentError
		failed  *pgconn.PgError
	)

	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &notSent):
		return refused
	case errors.As(err, &failed) && !unknownOutcomeStates[failed.Code]:
		return refused
	default:
		return unknown
	}
}

// errorState returns the name of an error in the report: its SQLSTATE, or another cause that ended the request.
func errorState(err error) string {
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
