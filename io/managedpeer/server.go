package managedpeer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// CloseTimeout bounds Server.Close. Replies take milliseconds; a client that accepts no data must not delay the end of
// the process.
const CloseTimeout = 500 * time.Millisecond

// Server answers the calls of other proxies.
type Server struct {
	listener net.Listener
	logger   *slog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mutex  sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool
}

// serverConn is a connection of another proxy.
type serverConn struct {
	framed *framedConn

	mutex sync.Mutex
	// running is the number of calls whose replies have not been written yet.
	running int
	// stopping is true once the server closes, finished once it has written the last reply.
	stopping bool
	finished bool
}

// Serve accepts connections and answers each request with the result of run. It calls run concurrently.
func Serve[Q, R any](listener net.Listener, logger *slog.Logger, run func(context.Context, *Q) *R) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{listener: listener, logger: logger, ctx: ctx, cancel: cancel, conns: make(map[*serverConn]struct{})}

	answer := func(from *framedConn, callID uint64, content []byte) {
		request := new(Q)

		var reply any

		if err := cbor.Unmarshal(content, request); err != nil {
			logger.Warn("request of another proxy could not be decoded; it is answered without content", "error", err)
		} else {
			reply = run(ctx, request)
		}

		if err := from.send(callID, reply); err != nil {
			logger.Info("reply to another proxy could not be sent", "error", err)
		}
	}

	server.running.Go(func() { server.accept(answer) })

	return server
}

// Close closes the listener, waits until the replies to the calls in progress have been written, and closes the
// connections. After CloseTimeout it closes them without waiting any longer.
func (s *Server) Close() {
	_ = s.listener.Close() // A failure has no consequence, because no connection is accepted any more.

	s.mutex.Lock()
	s.closed = true

	for conn := range s.conns {
		conn.stop()
	}
	s.mutex.Unlock()

	ended := make(chan struct{})

	go func() {
		defer close(ended)

		s.running.Wait()
	}()

	limit := time.NewTimer(CloseTimeout)
	defer limit.Stop()

	select {
	case <-ended:
	case <-limit.C:
		s.logger.Warn("calls of other proxies are cut off, because their replies were not written in time")
	}

	s.cancel()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for conn := range s.conns {
		_ = conn.framed.conn.Close() // The other proxies notice the end.
	}
}

func (s *Server) accept(answer func(*framedConn, uint64, []byte)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if !s.isClosed() {
				s.logger.Error("accepting connections of other proxies failed; no more are accepted", "error", err)
			}

			return
		}

		from := &serverConn{framed: newFramedConn(conn)}
		s.register(from)
		s.running.Go(func() { s.readRequests(from, answer) })
	}
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.closed
}

// register adds a connection. Close may have begun since it was accepted.
func (s *Server) register(conn *serverConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.conns[conn] = struct{}{}

	if s.closed {
		conn.stop()
	}
}

// readRequests starts a goroutine for each request of a connection.
func (s *Server) readRequests(from *serverConn, answer func(*framedConn, uint64, []byte)) {
	for {
		callID, content, err := from.framed.receive()
		if err != nil {
			s.logger.Debug("connection of another proxy ended", "error", err)

			break
		}

		if !from.begin() {
			continue
		}

		s.running.Go(func() {
			defer from.end()

			answer(from.framed, callID, content)
		})
	}

	_ = from.framed.conn.Close() // It has ended already.

	s.mutex.Lock()
	delete(s.conns, from)
	s.mutex.Unlock()
}

// begin counts a call. It returns false if no reply can be sent any more.
func (c *serverConn) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.finished {
		return false
	}

	c.running++

	return true
}

// end is called when the reply to a call was written.
func (c *serverConn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.running--
	c.finishIfIdle()
}

// stop makes the connection end after the replies to the calls in progress.
func (c *serverConn) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.stopping = true
	c.finishIfIdle()
}

// finishIfIdle ends the sending side once all replies were written. The connection stays open for reading until the client
// closes it: closing it with unread requests would reset it, which discards replies on their way. The mutex is held.
func (c *serverConn) finishIfIdle() {
	if !c.stopping || c.finished || c.running > 0 {
		return
	}

	c.finished = true

	if half, ok := c.framed.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // It fails only if the connection has ended.
	} else {
		_ = c.framed.conn.Close()
	}
}
