package operator

import (
	"net/http"

	"almondgrade/internal/metrics"
)

// metrics writes the metrics of the registry as text lines or as JSON.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	metrics.Handler(s.options.Registry).ServeHTTP(w, r)
}
