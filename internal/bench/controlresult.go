package bench

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// ControlResult is the result of a measurement of the cost of control.
type ControlResult struct {
	Command string        `json:"command"`
	Began   time.Time     `json:"began"`
	Cells   []ControlCell `json:"cells"`
	Fits    []Fit         `json:"fits"`
}

// ControlCell is what was measured with one number of proxies and groups. Processor time is the sum over the leader and
// all proxies.
type ControlCell struct {
	Proxies int `json:"proxies"`
	Groups  int `json:"groups"`
	// SettingsBytes is the size of the encoded settings.
	SettingsBytes int `json:"settings_bytes"`
	// FullBytes is the size of the update with the whole view, the first message of every stream to a proxy.
	FullBytes int `json:"full_update_bytes"`
	// IdleCPU is the processor time in milliseconds per second, IdleBytes the traffic of one proxy in bytes per second.
	IdleCPU   float64 `json:"idle_cpu_millis_per_second"`
	IdleBytes float64 `json:"idle_bytes_per_second_per_proxy"`
	// ChangeCPU and ChangeBytes are what one configuration change uses in addition, in milliseconds and bytes.
	ChangeCPU   float64 `json:"cpu_millis_per_change"`
	ChangeBytes float64 `json:"bytes_per_change_per_proxy"`
	// AnnounceCPU is the processor time in milliseconds for one announcement that changes nothing.
	AnnounceCPU float64 `json:"cpu_millis_per_announcement"`
	// LeaderHeap is the heap in bytes of the replicated state and the leader, ProxyHeap that of one proxy's client
	// and of the leader's side of its stream.
	LeaderHeap float64 `json:"leader_heap_bytes"`
	ProxyHeap  float64 `json:"heap_bytes_per_proxy"`
	// Delays are the times in milliseconds from the acceptance of each change until the last proxy received it.
	Delays []float64 `json:"delays_millis"`
	Delay  Spread    `json:"delay_millis"`
}

// Fit is a least-squares fit of a figure for N proxies and G groups as
// Constant + PerProxy*N + PerGroup*G + PerProduct*N*G.
type Fit struct {
	Figure     string  `json:"figure"`
	Constant   float64 `json:"constant"`
	PerProxy   float64 `json:"per_proxy"`
	PerGroup   float64 `json:"per_group"`
	PerProduct float64 `json:"per_proxy_and_group"`
	// Deviation is the root mean square of the differences between the fit and the measured values.
	Deviation float64 `json:"deviation"`
}

const fitTerms = 4

func (r *ControlResult) computeFits() {
	if len(r.Cells) < fitTerms {
		return
	}

	figures := []struct {
		name  string
		value func(ControlCell) float64
	}{
		{"idle_cpu_millis_per_second", func(c ControlCell) float64 { return c.IdleCPU }},
		{"idle_bytes_per_second_per_proxy", func(c ControlCell) float64 { return c.IdleBytes }},
		{"cpu_millis_per_change", func(c ControlCell) float64 { return c.ChangeCPU }},
		{"bytes_per_change_per_proxy", func(c ControlCell) float64 { return c.ChangeBytes }},
		{"cpu_millis_per_announcement", func(c ControlCell) float64 { return c.AnnounceCPU }},
		{"full_update_bytes", func(c ControlCell) float64 { return float64(c.FullBytes) }},
		{"leader_heap_bytes", func(c ControlCell) float64 { return c.LeaderHeap }},
		{"heap_bytes_per_proxy", func(c ControlCell) float64 { return c.ProxyHeap }},
	}

	for _, figure := range figures {
		if fitted, solvable := leastSquaresFit(r.Cells, figure.value); solvable {
			fitted.Figure = figure.name
			r.Fits = append(r.Fits, fitted)
		}
	}
}

func (c ControlCell) terms() [fitTerms]float64 {
	n, g := float64(c.Proxies), float64(c.Groups)

	return [fitTerms]float64{1, n, g, n * g}
}

// leastSquaresFit solves the normal equations. They have no unique solution unless the cells differ in proxies and in
// groups.
func leastSquaresFit(cells []ControlCell, value func(ControlCell) float64) (Fit, bool) {
	var equations [fitTerms][fitTerms + 1]float64

	for _, cell := range cells {
		terms := cell.terms()
		for i := range fitTerms {
			for j := range fitTerms {
				equations[i][j] += terms[i] * terms[j]
			}

			equations[i][fitTerms] += terms[i] * value(cell)
		}
	}

	solution, solvable := solveLinearSystem(equations)
	if !solvable {
		return Fit{}, false
	}

	squares := 0.0

	for _, cell := range cells {
		difference := value(cell)
		for i, term := range cell.terms() {
			difference -= solution[i] * term
		}

		squares += difference * difference
	}

	return Fit{
		Constant: solution[0], PerProxy: solution[1], PerGroup: solution[2], PerProduct: solution[3],
		Deviation: math.Sqrt(squares / float64(len(cells))),
	}, true
}

// solveLinearSystem uses Gauss-Jordan elimination with partial pivoting. It returns false for a singular system.
func solveLinearSystem(rows [fitTerms][fitTerms + 1]float64) ([fitTerms]float64, bool) {
	const singular = 1e-9

	for column := range fitTerms {
		pivot := column
		for i := column + 1; i < fitTerms; i++ {
			if math.Abs(rows[i][column]) > math.Abs(rows[pivot][column]) {
				pivot = i
			}
		}

		if math.Abs(rows[pivot][column]) < singular {
			return [fitTerms]float64{}, false
		}

		rows[column], rows[pivot] = rows[pivot], rows[column]

		for i := range fitTerms {
			if i == column {
				continue
			}

			factor := rows[i][column] / rows[column][column]
			for j := range rows[i] {
				rows[i][j] -= factor * rows[column][j]
			}
		}
	}

	var solution [fitTerms]float64
	for i := range solution {
		solution[i] = rows[i][fitTerms] / rows[i][i]
	}

	return solution, true
}

// Write prints the cells and the fits as tables.
func (r ControlResult) Write(to io.Writer) error {
	var table strings.Builder

	fmt.Fprintln(&table, "proxies\tgroups\tidle cpu ms/s\tidle B/s a proxy\tcpu ms a change\tB a change a proxy\tcpu µs an announcement\tleader heap KB\theap KB a proxy\tdelay min/median/max ms")

	for _, c := range r.Cells {
		fmt.Fprintf(&table, "%d\t%d\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f/%.1f/%.1f\n", c.Proxies, c.Groups, c.IdleCPU,
			c.IdleBytes, c.ChangeCPU, c.ChangeBytes, 1000*c.AnnounceCPU, c.LeaderHeap/1000, c.ProxyHeap/1000,
			c.Delay.Min, c.Delay.Median, c.Delay.Max)
	}

	fmt.Fprintln(&table, "fit\tconstant\ta proxy\ta group\ta proxy and group\tdeviation")

	for _, f := range r.Fits {
		fmt.Fprintf(&table, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\n", f.Figure, f.Constant, f.PerProxy, f.PerGroup, f.PerProduct, f.Deviation)
	}

	return writeTable(to, table.String())
}

// writeTable aligns and prints lines whose cells are separated by tabs.
func writeTable(to io.Writer, text string) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text); err != nil {
		return eris.Wrap(err, "print result")
	}

	return eris.Wrap(table.Flush(), "print result")
}
