package managedpeer

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Server answers the calls of other proxies.
type Server struct {
	listener net.Listener
	logger   *slog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mutex  sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Serve accepts connections and answers each request with the result of run. It calls run concurrently.
func Serve[Q, R any](listener net.Listener, logger *slog.Logger, run func(context.Context, *Q) *R) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{listener: listener, logger: logger, ctx: ctx, cancel: cancel, conns: make(map[net.Conn]struct{})}

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

// Close closes the listener and all connections and waits for the calls in progress.
func (s *Server) Close() {
	s.cancel()

	_ = s.listener.Close() // A failure has no consequence, because no connection is accepted any more.

	s.mutex.Lock()
	s.closed = true

	for conn := range s.conns {
		_ = conn.Close() // The other proxies notice the end.
	}
	s.mutex.Unlock()

	s.running.Wait()
}

func (s *Server) accept(answer func(*framedConn, uint64, []byte)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() == nil {
				s.logger.Error("accepting connections of other proxies failed; no more are accepted", "error", err)
			}

			return
		}

		if !s.register(conn) {
			_ = conn.Close() // The server is closing.

			return
		}

		s.running.Go(func() { s.readRequests(conn, answer) })
	}
}

func (s *Server) register(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.conns[conn] = struct{}{}

	return !s.closed
}

// readRequests starts a goroutine for each request of a connection.
func (s *Server) readRequests(conn net.Conn, answer func(*framedConn, uint64, []byte)) {
	from := newFramedConn(conn)

	for {
		callID, content, err := from.receive()
		if err != nil {
			s.logger.Debug("connection of another proxy ended", "error", err)

			break
		}

		s.running.Go(func() { answer(from, callID, content) })
	}

	_ = conn.Close() // It has ended already.

	s.mutex.Lock()
	delete(s.conns, conn)
	s.mutex.Unlock()
}
