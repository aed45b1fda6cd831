package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/internal/logging"
	"almondgrade/internal/web"
	"almondgrade/io/control/controlpb"
)

const (
	// maxChangeBytes bounds the body of a change. A configuration for 2,700 groups takes about 1 MiB.
	maxChangeBytes = 16 << 20
	// maxSmallBytes bounds the bodies of all other requests.
	maxSmallBytes = 64 << 10
	// maxIDBytes bounds change ids and authors, because the control log stores them.
	maxIDBytes = 128
	// requestTimeout is the default of Options.Web.Timeout.
	requestTimeout = 15 * time.Second
)

// Options configure a Server.
type Options struct {
	Web      web.Options
	Control  Control
	Registry gometrics.Registry
	Level    *slog.LevelVar
	// Settings returns the running configuration of the process, or false before it has one.
	Settings func() (settings.Running, bool)
}

// Server is a running server of the interface for operators. It is safe for concurrent use.
type Server struct {
	options Options
	web     *web.Server
}

// New returns a server that listens and serves requests.
func New(options Options) (*Server, error) {
	if options.Web.Timeout == 0 {
		options.Web.Timeout = requestTimeout
	}

	s := &Server{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("POST /v1/apply", s.apply)
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("GET /v1/settings", s.settings)
	mux.HandleFunc("GET /v1/level", s.level)
	mux.HandleFunc("PUT /v1/level", s.setLevel)

	var err error

	s.web, err = web.Listen(options.Web, web.Guard(options.Web.Gate, web.Fallback(mux)))

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

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	reply, err := s.options.Control.Status(r.Context())
	s.writeReply(w, reply, 0, err)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	change := &controlpb.Change{}

	err := s.readMessage(w, r, maxChangeBytes, change)
	if err == nil {
		err = checkChange(change)
	}

	if err != nil {
		web.WriteError(w, err)

		return
	}

	reply, err := s.options.Control.Apply(r.Context(), change)
	s.writeReply(w, reply, reply.GetCode(), err)

	if err == nil && !change.GetDry() {
		s.options.Web.Logger.Info("change answered", "id", change.GetId(), "author", change.GetAuthor(),
			"base", change.GetBase(), "number", reply.GetNumber(), "code", reply.GetCode(), "repeated", reply.GetRepeated())
	}
}

// checkChange returns an error if a change is invalid, so that it isn't sent to control.
func checkChange(change *controlpb.Change) error {
	for _, field := range []struct{ name, text string }{{"id", change.GetId()}, {"author", change.GetAuthor()}} {
		if field.text == "" || len(field.text) > maxIDBytes {
			return result.New(result.Protocol, "%s has %d bytes, want 1 to %d", field.name, len(field.text), maxIDBytes)
		}
	}

	if _, faults := settings.CheckRunning(change.GetSettings()); len(faults) > 0 {
		return result.New(result.ChangeInvalid, "%w", faults)
	}

	return nil
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	request := &controlpb.DrainRequest{}

	err := s.readMessage(w, r, maxSmallBytes, request)
	if err == nil && (request.GetServer() == "") == (request.GetProxy() == "") {
		err = result.New(result.Protocol, "want either server or proxy")
	}

	if err != nil {
		web.WriteError(w, err)

		return
	}

	reply, err := s.options.Control.Drain(r.Context(), request)
	s.writeReply(w, reply, reply.GetCode(), err)

	if err == nil {
		s.options.Web.Logger.Info("drain answered", "server", request.GetServer(), "proxy", request.GetProxy(),
			"undo", request.GetUndo(), "code", reply.GetCode())
	}
}

func (s *Server) settings(w http.ResponseWriter, _ *http.Request) {
	running, known := s.options.Settings()
	if !known {
		web.WriteError(w, result.New(result.Unconfirmed, "the process has no configuration yet"))

		return
	}

	web.WriteJSON(w, http.StatusOK, running)
}

// logLevelBody is the body of requests and answers for the log level.
type logLevelBody struct {
	Level string `json:"level"`
}

func (s *Server) level(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, logLevelBody{strings.ToLower(s.options.Level.Level().String())})
}

func (s *Server) setLevel(w http.ResponseWriter, r *http.Request) {
	data, err := web.Body(w, r, maxSmallBytes)
	if err != nil {
		web.WriteError(w, err)

		return
	}

	var body logLevelBody
	if err := json.Unmarshal(data, &body); err != nil {
		web.WriteError(w, result.New(result.Protocol, "the body is not a log level: %w", err))

		return
	}

	level, err := logging.ParseLevel(body.Level)
	if err != nil {
		web.WriteError(w, result.New(result.Protocol, "%w", err))

		return
	}

	s.options.Level.Set(level)
	s.options.Web.Logger.Warn("log level changed", "level", body.Level)
	s.level(w, r)
}

func (s *Server) readMessage(w http.ResponseWriter, r *http.Request, limit int64, into proto.Message) error {
	data, err := web.Body(w, r, limit)
	if err != nil {
		return err //nolint:wrapcheck // The error carries a code.
	}

	return decode(data, into, true)
}

// writeReply writes a reply, or the error if there is one. For a refusal, the HTTP status depends on its code.
func (s *Server) writeReply(w http.ResponseWriter, reply proto.Message, code uint32, err error) {
	if err != nil {
		web.WriteError(w, err)

		return
	}

	data, err := Encode(reply)
	if err != nil {
		web.WriteError(w, err)

		return
	}

	status := http.StatusOK
	if code != 0 {
		status = web.Status(result.Code(code))
	}

	web.WriteJSON(w, status, json.RawMessage(data))
}
