package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// FailoverResult is the result of an experiment with failovers. All times are in milliseconds.
type FailoverResult struct {
	Command string    `json:"command"`
	Seed    uint64    `json:"seed"`
	Faults  int       `json:"faults"`
	Began   time.Time `json:"began"`
	// Void is true if there are violations, such as a lost acknowledged write; the figures then mean nothing.
	Void       bool              `json:"void"`
	Violations Violations        `json:"violations"`
	Writes     int               `json:"acknowledged_writes"`
	Unknown    int               `json:"unknown_writes"`
	Summaries  []FailoverSummary `json:"summaries"`
	Runs       []FailoverRun     `json:"runs"`
}

// FailoverRun has the figures of one fault. Gap is the time without an acknowledged write through any proxy;
// GapEverywhere ends only when the last proxy acknowledges a write. Detection, Fencing, Promotion and Routing add up to
// Gap.
type FailoverRun struct {
	Thresholds    string  `json:"thresholds"`
	Kind          string  `json:"kind"`
	Gap           float64 `json:"gap"`
	GapEverywhere float64 `json:"gap_everywhere"`
	Detection     float64 `json:"detection,omitempty"`
	Fencing       float64 `json:"fencing,omitempty"`
	Promotion     float64 `json:"promotion,omitempty"`
	Routing       float64 `json:"routing,omitempty"`
	// Frozen is the duration of a short freeze. Suspicions, Started, Abandoned and Promotions count what it caused.
	Frozen     float64 `json:"frozen,omitempty"`
	Suspicions int     `json:"suspicions,omitempty"`
	Started    int     `json:"started,omitempty"`
	Abandoned  int     `json:"abandoned,omitempty"`
	Promotions int     `json:"promotions,omitempty"`
}

// Spread is the minimum, median and maximum of a set of values.
type Spread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// FailoverSummary summarises the faults of one kind with the same thresholds.
type FailoverSummary struct {
	Thresholds    string `json:"thresholds"`
	Kind          string `json:"kind"`
	Count         int    `json:"count"`
	Gap           Spread `json:"gap"`
	GapEverywhere Spread `json:"gap_everywhere"`
	Detection     Spread `json:"detection"`
	Fencing       Spread `json:"fencing"`
	Promotion     Spread `json:"promotion"`
	Routing       Spread `json:"routing"`
	Suspicions    int    `json:"suspicions"`
	Started       int    `json:"started"`
	Abandoned     int    `json:"abandoned"`
	// Promotions counts changes of primary that short freezes caused. All of them are false promotions.
	Promotions int `json:"false_promotions"`
}

func (r *FailoverResult) addSummaries() {
	type key struct{ thresholds, kind string }

	var (
		order []key
		runs  = map[key][]FailoverRun{}
	)

	for _, run := range r.Runs {
		k := key{run.Thresholds, run.Kind}
		if runs[k] == nil {
			order = append(order, k)
		}

		runs[k] = append(runs[k], run)
	}

	for _, k := range order {
		r.Summaries = append(r.Summaries, summarise(runs[k]))
	}
}

func summarise(runs []FailoverRun) FailoverSummary {
	summary := FailoverSummary{
		Thresholds: runs[0].Thresholds, Kind: runs[0].Kind, Count: len(runs),
		Gap:           spreadOver(runs, func(r FailoverRun) float64 { return r.Gap }),
		GapEverywhere: spreadOver(runs, func(r FailoverRun) float64 { return r.GapEverywhere }),
		Detection:     spreadOver(runs, func(r FailoverRun) float64 { return r.Detection }),
		Fencing:       spreadOver(runs, func(r FailoverRun) float64 { return r.Fencing }),
		Promotion:     spreadOver(runs, func(r FailoverRun) float64 { return r.Promotion }),
		Routing:       spreadOver(runs, func(r FailoverRun) float64 { return r.Routing }),
	}

	for _, run := range runs {
		summary.Suspicions += run.Suspicions
		summary.Started += run.Started
		summary.Abandoned += run.Abandoned
		summary.Promotions += run.Promotions
	}

	return summary
}

func spreadOver[T any](runs []T, value func(T) float64) Spread {
	values := make([]float64, len(runs))
	for i, run := range runs {
		values[i] = value(run)
	}

	return spreadOf(values)
}

// spreadOf returns the spread of one or more values. The median of an even number is the mean of the middle two.
func spreadOf(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	middle := (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2

	return Spread{sorted[0], math.Round(middle*1000) / 1000, sorted[len(sorted)-1]}
}

// Write prints the summaries as a table.
func (r FailoverResult) Write(to io.Writer) error {
	var table strings.Builder

	fmt.Fprintln(&table, "thresholds\tkind\tfaults\tgap min/median/max ms\tall proxies\tdetection\tfencing\tpromotion\trouting\tsuspicions\tfalse promotions")

	for _, s := range r.Summaries {
		fmt.Fprintf(&table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", s.Thresholds, s.Kind, s.Count, s.Gap,
			s.GapEverywhere, s.Detection, s.Fencing, s.Promotion, s.Routing, s.Suspicions, s.Promotions)
	}

	fmt.Fprintf(&table, "acknowledged writes %d, unknown %d, violations %+v\n", r.Writes, r.Unknown, r.Violations)

	return writeTable(to, table.String())
}

// String returns minimum, median and maximum, rounded to whole milliseconds.
func (s Spread) String() string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", s.Min, s.Median, s.Max)
}
