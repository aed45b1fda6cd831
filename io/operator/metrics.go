package operator

import (
	"net/http"

	"almondgrade/internal/metrics"
)

// metrics answers with the registry as text lines or as JSON.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	metrics.Handler(s.options.Registry).ServeHTTP(w, r)
}
