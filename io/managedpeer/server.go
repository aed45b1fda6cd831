package managedpeer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"almondgrade/io/backlog"
)

// Server answers the calls of other proxies.
type Server struct {
	listener net.Listener
	logger   *slog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	// answer runs a call and writes its reply.
	answer func(from *framedConn, callID uint64, content []byte)
	// accepted is closed once no more connections are accepted.
	accepted chan struct{}

	mutex   sync.Mutex
	conns   map[*serverConn]struct{}
	closing bool
	// active is the number of connections, calls and notices in progress, and becameIdle gets a value when it falls to zero.
	active     int
	becameIdle chan struct{}
}

// serverConn is a connection of another proxy.
type serverConn struct {
	framed *framedConn

	mutex sync.Mutex
	// running is the number of calls, and of notices, that have not been written yet.
	running int
	// lastCall is the highest ID of a call that was accepted.
	lastCall uint64
	// stopping is true once the server closes, finished once it has written the last reply.
	stopping bool
	finished bool
}

// Serve accepts connections and answers each request with the result of run. It calls run concurrently.
func Serve[Q, R any](listener net.Listener, logger *slog.Logger, run func(context.Context, *Q) *R) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		listener: listener, logger: logger, ctx: ctx, cancel: cancel, accepted: make(chan struct{}),
		conns: make(map[*serverConn]struct{}), becameIdle: make(chan struct{}, 1),
	}

	server.answer = func(from *framedConn, callID uint64, content []byte) {
		request := new(Q)

		var reply any

		if err := decodeMode.Unmarshal(content, request); err != nil {
			logger.Warn("request of another proxy could not be decoded; it is answered without content", "error", err)
		} else {
			reply = run(ctx, request)
		}

		frame, err := newFrame(reply)
		if err != nil {
			logger.Warn("reply to another proxy can't be encoded; it is sent without content", "error", err)

			frame = emptyFrame()
		}

		if err := from.sendFrame(callID, frame); err != nil {
			logger.Info("reply to another proxy could not be sent", "error", err)
		}
	}

	go func() {
		defer close(server.accepted)

		server.accept()
	}()

	return server
}

// Close tells the clients that no more calls are accepted, waits until the replies to those in progress have been written,
// and closes the connections and the listener. After CloseTimeout it closes them without waiting any longer.
//
// The listener stays open meanwhile, because closing it resets the connections that were not accepted yet, whose clients
// could not tell whether their requests have run.
func (s *Server) Close() {
	limit := time.NewTimer(CloseTimeout)
	defer limit.Stop()

	s.mutex.Lock()
	s.closing = true

	for conn := range s.conns {
		s.stopLocked(conn)
	}
	s.mutex.Unlock()

	ended := s.awaitIdle(limit.C)

	for s.registerQueued() {
		ended = ended && s.awaitIdle(limit.C)
	}

	_ = s.listener.Close() // A failure has no consequence, because no connection is accepted any more.
	<-s.accepted

	if !ended || !s.awaitIdle(limit.C) {
		s.logger.Warn("calls of other proxies are cut off, because their replies were not written in time")
	}

	s.cancel()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for conn := range s.conns {
		_ = conn.framed.conn.Close() // The other proxies notice the end.
	}
}

// registerQueued adds the connections that wait to be accepted, and reports whether there were any.
func (s *Server) registerQueued() (found bool) {
	for conn, queued := backlog.Accept(s.listener); queued; conn, queued = backlog.Accept(s.listener) {
		s.register(conn)

		found = true
	}

	return found
}

// awaitIdle waits until no connection, call or notice is in progress. It returns false at the limit.
func (s *Server) awaitIdle(limit <-chan time.Time) bool {
	for {
		s.mutex.Lock()
		idle := s.active == 0
		s.mutex.Unlock()

		if idle {
			return true
		}

		select {
		case <-s.becameIdle:
		case <-limit:
			return false
		}
	}
}

// start runs a task that Close waits for.
func (s *Server) start(task func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.startLocked(task)
}

// startLocked is start for callers that hold the mutex.
func (s *Server) startLocked(task func()) {
	s.active++

	go func() {
		task()

		s.mutex.Lock()
		defer s.mutex.Unlock()

		s.active--

		if s.active == 0 {
			select {
			case s.becameIdle <- struct{}{}:
			default: // The one before has not been taken yet.
			}
		}
	}()
}

// acceptRetryDelay is the time after which a process that has no descriptor left for a connection tries again.
const acceptRetryDelay = 50 * time.Millisecond

// accept accepts connections until the listener is closed. Other errors, such as a lack of descriptors, pass.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()

		switch {
		case errors.Is(err, net.ErrClosed):
			if !s.isClosing() {
				s.logger.Error("the listener for other proxies was closed; no more connections are accepted", "error", err)
			}

			return
		case err != nil:
			s.logger.Warn("connection of another proxy could not be accepted", "error", err)
			time.Sleep(acceptRetryDelay)
		default:
			s.register(conn)
		}
	}
}

func (s *Server) isClosing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.closing
}

// register adds a connection and begins to read from it.
func (s *Server) register(accepted net.Conn) {
	conn := &serverConn{framed: newFramedConn(accepted)}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.conns[conn] = struct{}{}

	if s.closing {
		s.stopLocked(conn)
	}

	s.startLocked(func() { s.readRequests(conn) })
}

// stopLocked makes a connection end after the replies to the calls that it has accepted. The mutex is held.
func (s *Server) stopLocked(conn *serverConn) {
	notice := conn.beginStop()

	s.startLocked(func() {
		defer conn.end()

		if err := conn.framed.send(stopCallID, notice); err != nil {
			s.logger.Debug("another proxy could not be told that calls are no longer accepted", "error", err)
		}
	})
}

// readRequests starts a goroutine for each request of a connection.
func (s *Server) readRequests(from *serverConn) {
	for {
		callID, content, err := from.framed.receive()
		if err != nil {
			s.logger.Debug("connection of another proxy ended", "error", err)

			break
		}

		if !from.begin(callID) {
			continue // The client knows, or learns by the end of the connection, that there is no reply.
		}

		s.start(func() {
			defer from.end()

			s.answer(from.framed, callID, content)
		})
	}

	_ = from.framed.conn.Close() // It has ended already.

	s.mutex.Lock()
	delete(s.conns, from)
	s.mutex.Unlock()
}

// begin accepts a call, or returns false. Once the server closes, it accepts only calls of clients that don't understand
// the notice, as long as their replies can be sent.
func (c *serverConn) begin(callID uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.finished || c.stopping && callID&knowsStop != 0 {
		return false
	}

	c.running++
	c.lastCall = max(c.lastCall, callID)

	return true
}

// end is called when the reply to a call, or a notice, was written.
func (c *serverConn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.running--
	c.finishIfIdle()
}

// beginStop makes the connection refuse further calls and returns the notice to be sent.
func (c *serverConn) beginStop() *stopNotice {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.stopping = true
	c.running++

	return &stopNotice{c.lastCall}
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
