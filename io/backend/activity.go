package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// terminateTimeout bounds one request to end connections.
	terminateTimeout = 3 * time.Second
	// terminateLimit is the time after which a server that did not take the request has lost its connections, or has
	// noticed by itself that they are dead.
	terminateLimit = time.Minute
	// terminatePause is the greatest pause between two requests. Several proxies may ask at once, and the server keeps
	// one connection free for all of them.
	terminatePause = time.Second
)

// Inquirer asks a server about connections that may no longer reach it. Each question goes over a new connection,
// which needs no permit: the connections in doubt may hold all of them, and the reserve for administration is meant
// for this. It is safe for concurrent use.
type Inquirer struct {
	options Options

	mu sync.Mutex
	// abandoned are the connections that the server is to end.
	abandoned   []abandoned
	terminating bool
}

// abandoned is a connection that was closed while the server may still work for it. Its permit is held until the
// server has ended it, because it counts there until then.
type abandoned struct {
	application string
	permit      Permit
	since       time.Time
}

// NewInquirer returns an Inquirer for the server of the options.
func NewInquirer(options Options) *Inquirer {
	return &Inquirer{options: options}
}

// monitored counts the reads of a connection, so that a wait which began long ago can be told from a new one.
type monitored struct {
	net.Conn

	reads   atomic.Uint64
	blocked atomic.Bool
}

// Read implements net.Conn.
func (m *monitored) Read(buffer []byte) (int, error) {
	m.reads.Add(1)
	m.blocked.Store(true)

	n, err := m.Conn.Read(buffer)

	m.blocked.Store(false)

	return n, err
}

// Waiting returns the number of the present or last read and whether it waits for the server. A connection whose
// answer is not read, because the caller is slow, does not wait.
func (c *Conn) Waiting() (read uint64, waits bool) {
	return c.reads.reads.Load(), c.reads.blocked.Load()
}

// Working asks the server whether it runs a statement for a connection. An answer that has not been received by then
// is lost or on its way.
func (i *Inquirer) Working(ctx context.Context, conn *Conn) (bool, error) {
	var working bool

	err := i.ask(ctx, func(other *Conn, deadline time.Time) error {
		rows, _, err := other.Query(deadline, "SELECT count(*) FROM pg_stat_activity WHERE state = 'active' AND "+
			"application_name = "+literal(conn.application))
		working = len(rows) == 1 && len(rows[0]) == 1 && rows[0][0] != "0"

		return err
	})

	return working, err
}

// Terminate makes the server end a connection that was closed while the server may still work for it, and returns at
// once. The server may never learn of the end: something between has lost track of the connection, and an open
// transaction would keep its locks. The application name tells the connection from a later one with the same process
// id.
//
// The permit of the connection is released when the server has ended it.
func (i *Inquirer) Terminate(conn *Conn, permit Permit) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.abandoned = append(i.abandoned, abandoned{application: conn.application, permit: permit, since: time.Now()})

	if !i.terminating {
		i.terminating = true

		go i.terminateAll()
	}
}

func (i *Inquirer) terminateAll() {
	for {
		i.mu.Lock()
		batch := i.abandoned
		i.abandoned = nil
		i.terminating = len(batch) > 0
		i.mu.Unlock()

		if len(batch) == 0 {
			return
		}

		if err := i.end(batch); err == nil {
			release(batch)

			continue
		}

		i.again(batch)
		time.Sleep(time.Duration(rand.Int64N(int64(terminatePause))))
	}
}

// end makes the server end connections.
func (i *Inquirer) end(batch []abandoned) error {
	names := make([]string, len(batch))
	for at, each := range batch {
		names[at] = literal(each.application)
	}

	ctx, cancel := context.WithTimeout(context.Background(), terminateTimeout)
	defer cancel()

	return i.ask(ctx, func(other *Conn, deadline time.Time) error {
		return other.Exec(deadline, "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE "+
			"application_name IN ("+strings.Join(names, ", ")+")")
	})
}

// again keeps what is to be tried again and releases the permits of what has lasted too long.
func (i *Inquirer) again(batch []abandoned) {
	now := time.Now()

	i.mu.Lock()
	defer i.mu.Unlock()

	for _, each := range batch {
		if now.Sub(each.since) < terminateLimit {
			i.abandoned = append(i.abandoned, each)
		} else {
			release([]abandoned{each})
		}
	}
}

func release(batch []abandoned) {
	for _, each := range batch {
		if each.permit != nil {
			each.permit.Release()
		}
	}
}

// ask runs a question over a new connection: an open one may have gone silent like the one that is in doubt.
func (i *Inquirer) ask(ctx context.Context, question func(*Conn, time.Time) error) error {
	other, err := Open(ctx, i.options)
	if err != nil {
		return err
	}
	defer other.Close()

	deadline, _ := ctx.Deadline()

	return question(other, deadline)
}

// DropIdle closes the idle connections that were last used before a time.
func (p *Pool) DropIdle(before time.Time) {
	p.Reap(before, func(_ *Conn, idle time.Duration) bool { return idle > 0 })
}
