package platformapi

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"almondgrade/core/result"
	"almondgrade/internal/web"
	"almondgrade/io/control/controlpb"
)

const (
	// maxBodyBytes bounds the body of an announcement.
	maxBodyBytes = 16 << 10
	// announceTimeout is the default of Options.Web.Timeout. Servers announce themselves each second.
	announceTimeout = 5 * time.Second
)

// Announcer forwards announcements to control. Its errors carry a result.Code. It is safe for concurrent use.
type Announcer interface {
	Announce(ctx context.Context, announcement *controlpb.Announcement) (*controlpb.AnnounceReply, error)
}

// Options configure a Server.
type Options struct {
	Web       web.Options
	Announcer Announcer
	// Health returns nil if the load balancer should send callers to this process, or the reason why not.
	Health func() error
	// Ready returns nil once the process can serve, or the reason why it can't yet.
	Ready func() error
}

// Server is a running server of the interface for the platform. It is safe for concurrent use.
type Server struct {
	options Options
	web     *web.Server
}

// New returns a server that listens and serves requests.
func New(options Options) (*Server, error) {
	if options.Web.Timeout == 0 {
		options.Web.Timeout = announceTimeout
	}

	s := &Server{options: options}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/announce", web.Guard(options.Web.Gate, http.HandlerFunc(s.announce)))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeCheckResult(w, options.Health()) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { writeCheckResult(w, options.Ready()) })

	var err error

	s.web, err = web.Listen(options.Web, web.Fallback(mux))

	return s, err //nolint:wrapcheck // The error names the listener.
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.web.Address()
}

// Close stops listening and waits for the requests in progress until the context ends.
func (s *Server) Close(ctx context.Context) error {
	return s.web.Close(ctx) //nolint:wrapcheck // The error names the listener.
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	data, err := web.Body(w, r, maxBodyBytes)
	if err != nil {
		web.WriteError(w, err)

		return
	}

	read, err := parseAnnouncement(data)
	if err != nil {
		web.WriteError(w, err)

		return
	}

	answer, err := s.options.Announcer.Announce(r.Context(), read)
	if err != nil {
		web.WriteError(w, err)

		return
	}

	status := http.StatusOK
	if answer.GetCode() != 0 {
		status = web.Status(result.Code(answer.GetCode()))
	}

	web.WriteJSON(w, status, newAnnounceReply(answer))
}

// writeCheckResult answers a check with status 200, or for an error with status 503, regardless of its code, and the
// reason.
func writeCheckResult(w http.ResponseWriter, err error) {
	if err == nil {
		web.WriteJSON(w, http.StatusOK, web.Failure{Name: "ok"})

		return
	}

	failure := web.Failure{Code: result.CodeOf(err), Reason: err.Error()}
	if failure.Code != result.OK {
		failure.Name = failure.Code.Describe().Name
	}

	web.WriteJSON(w, http.StatusServiceUnavailable, failure)
}
