//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// operation is what became of one operation of a client.
type operation struct {
	id     string
	sent   time.Time
	ended  time.Time
	served bool
	write  bool
	result string
}

// clients send operations to the proxies at a steady rate.
type clients struct {
	proxies  []string
	database string
	record   *record
	mutex    sync.Mutex
	done     []operation
	lastID   atomic.Uint64
	stopped  atomic.Bool
	running  sync.WaitGroup
}

// deadlineTime and retries are those of the sheets.
const (
	deadlineTime = 4 * time.Second
	retries      = 2
)

// run starts a number of clients. Each sends a write, then a read, and so on.
func (c *clients) run(count int, pause time.Duration) {
	for i := range count {
		c.running.Go(func() {
			session := &clientSession{clients: c, next: i}

			for turn := 0; !c.stopped.Load(); turn++ {
				c.operate(session, (turn+i)%2 == 0)
				time.Sleep(pause)
			}

			session.close()
		})
	}
}

func (c *clients) stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// operate carries out one operation with its retries.
func (c *clients) operate(session *clientSession, write bool) {
	made := operation{sent: time.Now(), write: write}

	for attempt := 0; attempt <= retries && time.Since(made.sent) < deadlineTime; attempt++ {
		number := c.lastID.Add(1)
		made.id = fmt.Sprintf("%016x", number)
		text := fmt.Sprintf("READ i%d", number%50)

		if write {
			text = fmt.Sprintf("WRITE i%d d%d", number%50, number)
		}

		made.result = session.query(made.id, text, made.sent.Add(deadlineTime))
		made.served = strings.HasPrefix(made.result, "COMPLETE s")
		c.record.line("client: %s %s -> %s", made.id, text, made.result)

		promise := false
		for _, code := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT", "no session"} {
			promise = promise || strings.Contains(made.result, code)
		}

		if made.served || write && !promise {
			break
		}

		time.Sleep(200 * time.Millisecond)
	}

	made.ended = time.Now()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.done = append(c.done, made)
}

// served returns the number of operations that were sent in a time, and of those that were served.
func (c *clients) served(from, to time.Time) (count, served int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, each := range c.done {
		if each.sent.Before(from) || !each.sent.Before(to) {
			continue
		}

		count++

		if each.served {
			served++
		}
	}

	return count, served
}

// clientSession is a session of a client at one of the proxies.
type clientSession struct {
	clients *clients
	next    int
	conn    net.Conn
	reader  *bufio.Reader
}

func (s *clientSession) close() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// connect opens a session at the next proxy.
func (s *clientSession) connect() bool {
	address := s.clients.proxies[s.next%len(s.clients.proxies)]
	s.next++

	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}

	s.conn, s.reader = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))

	fmt.Fprintf(conn, "CONNECT %s u1\r\n", s.clients.database)

	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		s.close()

		return false
	}

	return true
}

// query sends a query and returns the line that ends its answer.
func (s *clientSession) query(id, text string, deadline time.Time) string {
	if s.conn == nil && !s.connect() {
		return "no session"
	}

	_ = s.conn.SetDeadline(deadline)
	fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text)

	result := ""

	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			s.close()

			if result == "" {
				return "no answer: " + err.Error()
			}

			return result
		}

		line = strings.TrimRight(line, "\r\n")

		switch {
		case strings.HasPrefix(line, "READY"):
			return result
		case !strings.HasPrefix(line, "DATAROW"):
			result = line
		}
	}
}
