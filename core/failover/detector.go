package failover

import "time"

// Outcome is the result of a query to a backend server.
type Outcome uint8

// The outcomes of a query.
const (
	// Answered means that the server answered, or returned an error that shows that it works.
	Answered Outcome = iota
	// Refused means that the server or its network rejected the connection, or that the server reported that it is
	// down.
	Refused
	// TimedOut means that no answer arrived in time.
	TimedOut
)

// State is a Detector's conclusion about a server.
type State uint8

// The states.
const (
	// Healthy means that the server answers in time.
	Healthy State = iota
	// Slow means that the server answers, but late.
	Slow
	// Unsure means that there are failures that do not prove that the server is dead: they occurred on existing
	// connections, or there are too few on new ones.
	Unsure
	// Dead means that enough consecutive attempts on new connections failed.
	Dead
)

// String returns the name that messages use.
func (s State) String() string {
	return [...]string{"healthy", "slow", "unsure", "dead"}[s]
}

// Query describes one query to a server, as observed by the client.
type Query struct {
	// StartedAt is the time at which the query, or the opening of its connection, started.
	StartedAt time.Time
	Duration  time.Duration
	// NewConnection is true if the connection was opened for this query.
	NewConnection bool
	Outcome       Outcome
}

// Thresholds configure a Detector.
type Thresholds struct {
	// Failures is the number of consecutive failures on new connections after which a server is dead.
	Failures int
	// FailureSpacing is the minimum time between the starts of two failures that are counted separately. It prevents a
	// burst of attempts during a short interruption from being taken for a long outage.
	FailureSpacing time.Duration
	// SlowAfter is the duration above which an answer counts as late.
	SlowAfter time.Duration
}

// Detector distinguishes a dead backend server from a lost connection and from a slow server. It is not safe for
// concurrent use.
type Detector struct {
	thresholds  Thresholds
	failures    int
	lastCounted time.Time
	state       State
}

// NewDetector returns a detector that initially considers the server healthy.
func NewDetector(thresholds Thresholds) *Detector {
	return &Detector{thresholds: thresholds}
}

// SetThresholds replaces the thresholds. Failures counted before are kept.
func (d *Detector) SetThresholds(thresholds Thresholds) {
	d.thresholds = thresholds
}

// Observe records the outcome of a query and returns the resulting state.
func (d *Detector) Observe(query Query) State {
	if query.Outcome == Answered {
		d.failures = 0
		d.lastCounted = time.Time{}
		d.state = Healthy

		if query.Duration > d.thresholds.SlowAfter {
			d.state = Slow
		}

		return d.state
	}

	if query.NewConnection && (d.failures == 0 || query.StartedAt.Sub(d.lastCounted) >= d.thresholds.FailureSpacing) {
		d.failures++
		d.lastCounted = query.StartedAt
	}

	d.state = Unsure
	if d.failures >= d.thresholds.Failures {
		d.state = Dead
	}

	return d.state
}

// State returns the current state.
func (d *Detector) State() State {
	return d.state
}

// Failures returns the number of consecutive failures on new connections.
func (d *Detector) Failures() int {
	return d.failures
}
