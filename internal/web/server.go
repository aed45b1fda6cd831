package web

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/result"
	"almondgrade/internal/security"
)

// The bounds of a connection.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// writeMargin is the time for writing the response after the request's timeout.
	writeMargin = 10 * time.Second
)

// Options describe a listener.
type Options struct {
	Address netip.AddrPort
	// TLS is nil for plain connections.
	TLS  *tls.Config
	Gate security.Gate
	// Timeout bounds the work on one request. It reaches handlers as the context's deadline.
	Timeout time.Duration
	Logger  *slog.Logger
}

// Server is a running HTTP listener.
type Server struct {
	server  *http.Server
	address netip.AddrPort
	done    chan struct{}
}

// Listen serves a handler until Close. It only checks that the Gate may listen on the address. Handlers authenticate
// requests with RequireAuthentication.
func Listen(options Options, handler http.Handler) (*Server, error) {
	if err := options.Gate.CheckListen(options.Address); err != nil {
		return nil, err //nolint:wrapcheck // The error names the listener.
	}

	listener, err := net.Listen("tcp", options.Address.String()) //nolint:noctx // Listening doesn't block.
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", options.Address)
	}

	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "read the listener's address"), listener.Close())
	}

	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}

	s := &Server{
		address: bound,
		done:    make(chan struct{}),
		server: &http.Server{
			Handler:           withTimeout(handler, options.Timeout),
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      readTimeout + options.Timeout + writeMargin,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
		},
	}

	go func() {
		defer close(s.done)

		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			options.Logger.Error("HTTP listener failed", "address", bound, "error", err)
		}
	}()

	return s, nil
}

func withTimeout(handler http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()

		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.address
}

// Close stops listening and waits until the requests in progress have finished or the context ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.server.Close())
	}

	<-s.done

	return eris.Wrap(err, "close HTTP listener")
}

// RequireAuthentication passes requests that the gate accepts to the handler, and answers the others with an error.
func RequireAuthentication(gate security.Gate, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := gate.Authenticate(r); err != nil {
			WriteError(w, err)

			return
		}

		handler.ServeHTTP(w, r)
	})
}

// WithNotFound answers requests for unknown paths and methods with a JSON error.
func WithNotFound(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, pattern := mux.Handler(r)
		if pattern == "" {
			WriteError(w, result.New(result.NotFound, "%s %s does not exist", r.Method, r.URL.Path))

			return
		}

		mux.ServeHTTP(w, r)
	})
}
