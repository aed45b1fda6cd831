package metrics

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"almondgrade/internal/web"
)

// Handler serves a registry as text lines, or as JSON for "Accept: application/json" or ?format=json.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wantsJSON := r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json")
		if wantsJSON {
			web.WriteJSON(w, http.StatusOK, registry.GetAll())

			return
		}

		w.Header().Set("Content-Type", "text/plain; charset=utf-8")

		out := bufio.NewWriter(w)

		for _, line := range Lines(registry) {
			_, _ = out.WriteString(line + "\n")
		}

		_ = out.Flush()
	})
}

// quantiles are the quantiles that the text form shows for histograms and timers.
//
//nolint:gochecknoglobals // The list is constant.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// Lines returns "NAME VALUE" for each counter and gauge, and "NAME.PART VALUE" for the parts of the others, in order of
// name.
func Lines(registry gometrics.Registry) []string {
	var lines []string

	add := func(name string, value any) { lines = append(lines, fmt.Sprintf("%s %v", name, value)) }

	registry.Each(func(name string, metric any) {
		switch typed := metric.(type) {
		case gometrics.Counter:
			add(name, typed.Count())
		case gometrics.Gauge:
			add(name, typed.Value())
		case gometrics.GaugeFloat64:
			add(name, typed.Value())
		case gometrics.Histogram:
			snapshot := typed.Snapshot()
			addParts(add, name, snapshot.Count(), snapshot.Max(), snapshot.Percentiles(quantiles))
		case gometrics.Timer:
			snapshot := typed.Snapshot()
			addParts(add, name, snapshot.Count(), snapshot.Max(), snapshot.Percentiles(quantiles))
		case gometrics.Meter:
			snapshot := typed.Snapshot()
			add(name+".count", snapshot.Count())
			add(name+".rate1", snapshot.Rate1())
		}
	})

	slices.Sort(lines)

	return lines
}

func addParts(add func(string, any), name string, count, maximum int64, percentiles []float64) {
	add(name+".count", count)
	add(name+".max", maximum)

	for i, quantile := range quantiles {
		add(fmt.Sprintf("%s.p%g", name, quantile*100), percentiles[i])
	}
}
