package failover

import "time"

// Outcome is how a query to a backend server ended.
type Outcome uint8

// The outcomes of a query.
const (
	// Answered is an answer, or an error that shows that the server works.
	Answered Outcome = iota
	// Refused is a connection that the server or its network rejected, or a server that says it is down.
	Refused
	// TimedOut is a query without an answer in time.
	TimedOut
)

// State is what a Detector concludes about a server.
type State uint8

// The states.
const (
	// Healthy is a server that answers in time.
	Healthy State = iota
	// Slow is a server that answers, but late.
	Slow
	// Unsure is a server with failures that prove nothing yet: on old connections, or too few on new ones.
	Unsure
	// Dead is a server with enough failures in a row on new connections.
	Dead
)

// String returns the word that messages use.
func (s State) String() string {
	return [...]string{"healthy", "slow", "unsure", "dead"}[s]
}

// Query is one query to a server, as its observer saw it.
type Query struct {
	// StartedAt is the time at which the query, or the opening of its connection, began.
	StartedAt time.Time
	Duration  time.Duration
	// NewConnection is true if the connection was opened for this query.
	NewConnection bool
	Outcome       Outcome
}

// Thresholds are the limits of a Detector.
type Thresholds struct {
	// Failures is the number of failures in a row on new connections that make a server dead.
	Failures int
	// FailureSpacing is the least time between the beginnings of two failures that count separately. It keeps a burst of
	// attempts during a short interruption from looking like a long one.
	FailureSpacing time.Duration
	// SlowAfter is the duration above which an answer is late.
	SlowAfter time.Duration
}

// Detector tells a dead backend server from a lost connection and from a slow server. It is not safe for
// concurrent use.
type Detector struct {
	thresholds  Thresholds
	failures    int
	lastCounted time.Time
	state       State
}

// NewDetector returns a detector that takes the server for healthy.
func NewDetector(thresholds Thresholds) *Detector {
	return &Detector{thresholds: thresholds}
}

// SetThresholds replaces the limits. Failures that were counted before still count.
func (d *Detector) SetThresholds(thresholds Thresholds) {
	d.thresholds = thresholds
}

// Observe takes the outcome of a query and returns the state.
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

// State returns the last state.
func (d *Detector) State() State {
	return d.state
}

// Failures returns the number of failures in a row on new connections.
func (d *Detector) Failures() int {
	return d.failures
}
