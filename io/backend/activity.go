package backend

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// terminateTimeout bounds one request to end connections.
const terminateTimeout = 3 * time.Second

// Inquirer asks a server about connections that may no longer reach it, each time over a new connection. It is safe
// for concurrent use.
type Inquirer struct {
	options Options
	acquire func(ctx context.Context, urgent bool) (Permit, error)

	mu sync.Mutex
	// abandoned are the application names of connections that the server is to end.
	abandoned   []string
	terminating bool
}

// NewInquirer returns an Inquirer. The function acquire waits for the permit to open one connection.
func NewInquirer(options Options, acquire func(ctx context.Context, urgent bool) (Permit, error)) *Inquirer {
	return &Inquirer{options: options, acquire: acquire}
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
func (i *Inquirer) Terminate(conn *Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.abandoned = append(i.abandoned, conn.application)

	if !i.terminating {
		i.terminating = true

		go i.terminateAll()
	}
}

func (i *Inquirer) terminateAll() {
	for {
		i.mu.Lock()
		names := i.abandoned
		i.abandoned = nil
		i.terminating = len(names) > 0
		i.mu.Unlock()

		if len(names) == 0 {
			return
		}

		for at, name := range names {
			names[at] = literal(name)
		}

		ctx, cancel := context.WithTimeout(context.Background(), terminateTimeout)
		// A server that can't be reached has lost its connections or will be replaced.
		_ = i.ask(ctx, func(other *Conn, deadline time.Time) error {
			return other.Exec(deadline, "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE "+
				"application_name IN ("+strings.Join(names, ", ")+")")
		})

		cancel()
	}
}

// ask runs a question over a new connection: an open one may have gone silent like the one that is in doubt.
func (i *Inquirer) ask(ctx context.Context, question func(*Conn, time.Time) error) error {
	permit, err := i.acquire(ctx, true)
	if err != nil {
		return err
	}
	defer permit.Release()

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
