package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run has measured.
type Result struct {
	Workload  string    `json:"workload"`
	Seed      uint64    `json:"seed"`
	Scale     float64   `json:"scale"`
	Seconds   float64   `json:"seconds"`
	Proxies   int       `json:"proxies"`
	Databases int       `json:"databases"`
	Began     time.Time `json:"began"`
	// Void is true if there are violations; the figures then mean nothing.
	Void       bool       `json:"void"`
	Violations Violations `json:"violations"`
	Examples   []string   `json:"examples,omitempty"`
	// ReplicaShare is the fraction of reads that replicas served.
	ReplicaShare float64 `json:"replica_share"`
	// WriteGapMillis is the longest time between two acknowledged writes to the same database.
	WriteGapMillis float64                `json:"write_gap_millis"`
	Classes        map[string]ClassResult `json:"classes"`
}

// ClassResult is what a run has measured for one class of requests. Latencies are measured from the planned arrival.
type ClassResult struct {
	Arrivals     int            `json:"arrivals"`
	Answered     int            `json:"answered"`
	Reads        int            `json:"reads"`
	ReplicaReads int            `json:"replica_reads"`
	States       map[string]int `json:"states,omitempty"`
	MeanMillis   float64        `json:"mean_millis"`
	P50Millis    float64        `json:"p50_millis"`
	P99Millis    float64        `json:"p99_millis"`
	P999Millis   float64        `json:"p999_millis"`
	MaxMillis    float64        `json:"max_millis"`
	// Histogram is the complete distribution of latencies in microseconds, in the encoding of HdrHistogram.
	Histogram string `json:"histogram"`
}

func (r *run) result() Result {
	result := Result{
		Workload: r.workload.Name, Seed: r.options.Seed, Scale: r.options.Scale,
		Seconds: r.options.Duration.Seconds(), Proxies: len(r.options.Proxies), Databases: len(r.options.Databases),
		Began: r.began.UTC(), Violations: r.ledger.violations, Void: r.ledger.violations.Total() != 0,
		Examples: r.ledger.examples, WriteGapMillis: microsToMillis(float64(r.ledger.maxWriteGap.Microseconds())),
		Classes: map[string]ClassResult{},
	}

	reads, replicaReads := 0, 0

	for name, m := range r.results {
		h := m.histogram
		m.result.MeanMillis, m.result.MaxMillis = microsToMillis(h.Mean()), microsToMillis(float64(h.Max()))
		m.result.P50Millis = microsToMillis(float64(h.ValueAtQuantile(50)))
		m.result.P99Millis = microsToMillis(float64(h.ValueAtQuantile(99)))
		m.result.P999Millis = microsToMillis(float64(h.ValueAtQuantile(99.9)))

		if encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
			m.result.Histogram = string(encoded)
		}

		result.Classes[name] = m.result
		reads += m.result.Reads
		replicaReads += m.result.ReplicaReads
	}

	if reads > 0 {
		result.ReplicaShare = float64(replicaReads) / float64(reads)
	}

	return result
}

func microsToMillis(micros float64) float64 {
	return micros / float64(time.Millisecond/time.Microsecond)
}

// Write prints the result in a readable form.
func (r Result) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)

	if r.Void {
		_, _ = fmt.Fprintf(table, "VOID\t%+v\n", r.Violations)

		for _, example := range r.Examples {
			_, _ = fmt.Fprintf(table, "\t%s\n", example)
		}
	}

	_, _ = fmt.Fprintf(table, "workload\t%s, seed %d, scale %g, %g s\n", r.Workload, r.Seed, r.Scale, r.Seconds)
	_, _ = fmt.Fprintf(table, "replica reads\t%.1f%%\n", 100*r.ReplicaShare)
	_, _ = fmt.Fprintf(table, "write gap\t%.0f ms\n", r.WriteGapMillis)
	_, _ = fmt.Fprintln(table, "class\tarrivals\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\terrors")

	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%v\n", name, c.Arrivals, c.Answered, c.P50Millis,
			c.P99Millis, c.P999Millis, c.MaxMillis, c.States)
	}

	return table.Flush()
}

// Compare prints the figures of two results side by side. It fails if one of them is void or if they are results of
// different workloads, scales or targets.
func Compare(before, after Result, out io.Writer) error {
	switch {
	case before.Void || after.Void:
		return fmt.Errorf("a result is void; violations before: %+v, after: %+v", before.Violations, after.Violations)
	case before.Workload != after.Workload || before.Scale != after.Scale || before.Databases != after.Databases ||
		before.Proxies != after.Proxies:
		return fmt.Errorf("the results are of different workloads, scales or targets")
	}

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "figure\tbefore\tafter\tratio")

	line := func(name string, a, b float64) {
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.2f", b/a)
		}

		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%s\n", name, a, b, ratio)
	}

	line("replica reads %", 100*before.ReplicaShare, 100*after.ReplicaShare)
	line("write gap ms", before.WriteGapMillis, after.WriteGapMillis)

	for _, name := range slices.Sorted(maps.Keys(before.Classes)) {
		a, b := before.Classes[name], after.Classes[name]
		line(name+" answered %", answeredPercent(a), answeredPercent(b))
		line(name+" p50 ms", a.P50Millis, b.P50Millis)
		line(name+" p99 ms", a.P99Millis, b.P99Millis)
		line(name+" p99.9 ms", a.P999Millis, b.P999Millis)
	}

	return table.Flush()
}

func answeredPercent(c ClassResult) float64 {
	if c.Arrivals == 0 {
		return 0
	}

	return 100 * float64(c.Answered) / float64(c.Arrivals)
}
