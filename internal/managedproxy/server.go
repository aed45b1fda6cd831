package managedproxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondgrade/core/outlier"
	"almondgrade/core/position"
	"almondgrade/core/route"
	"almondgrade/io/managedcontrol"
)

const (
	// connectTimeout bounds the opening of a connection. After it the statement treats the server as unreachable, and
	// goes to another one or is refused.
	connectTimeout = 500 * time.Millisecond
	// lagRetryInterval is the time after which a lagging replica is tried again. This is cheap: the replica refuses a
	// read that it can't serve without running it, and reports its position.
	lagRetryInterval = 250 * time.Millisecond
	// lagMargin is added to an observed lag, because the lag varies from commit to commit.
	lagMargin = 30 * time.Millisecond
	// lagSmoothingDivisor divides the difference when a smaller lag enters the estimate. A greater lag replaces the
	// estimate.
	lagSmoothingDivisor = 4
)

// server is a backend server with what the gateway has learned about it.
type server struct {
	id                string
	info              atomic.Pointer[managedcontrol.Server]
	connPool          *connPool
	dial              Dialer
	answers           answerCounts
	runningStatements atomic.Int64
	// runningCommits counts the commits that were sent or are about to be sent, openWrites the open transactions that have
	// written.
	runningCommits atomic.Int64
	openWrites     atomic.Int64
	serverCapacity
	// statusMutex is held while a commit asks for the server's status.
	statusMutex sync.Mutex

	mutex sync.Mutex
	// lag estimates how far the server's log is behind the primary's. lagUpdated is the time of the last observation,
	// or of the last attempt at a read despite the lag.
	lag         time.Duration
	lagUpdated  time.Time
	logPosition position.Position
	// receivedPosition is the position that the server last reported to have received. It may not have applied it.
	receivedPosition position.Position
	// lastFailure is the time of the last failure to use the server, failingSince that of the first one since the last
	// answer.
	lastFailure  time.Time
	failingSince time.Time
	// lastAnswer is the time of the last answer.
	lastAnswer time.Time
	// lastBusy is the time of the last answer with the outcome Busy.
	lastBusy time.Time
	// latency is the moving mean of the time that an answer takes.
	latency time.Duration
}

func newServer(info managedcontrol.Server, dial Dialer) *server {
	created := &server{id: info.ID, dial: dial}
	created.info.Store(&info)
	created.connPool = newConnPool(created)
	created.joinGroup(newGroupCapacity(nil))

	return created
}

// openConn opens a connection for a customer.
func (s *server) openConn(deadline time.Time, customer string) (*conn, error) {
	backend, err := s.dial(earlierTime(deadline, time.Now().Add(connectTimeout)), s.info.Load().Server, customer)
	if err != nil {
		if outcome := outcomeOf(err); outcome != ConnectionLimit && outcome != Busy {
			now := time.Now()
			s.recordFailure(now)

			// A server at its limit of connections, for example after all proxies were restarted, leaves attempts to connect
			// unanswered as well.
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.judgeOutcome(now, outlier.Failed)
			}
		}

		return nil, err
	}

	opened := newConn(backend, s)
	opened.customer = customer

	return opened, nil
}

// recordFailure records that the server could not be used.
func (s *server) recordFailure(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.lastFailure = now
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
}

const (
	// latencySmoothingDivisor divides the difference when a new latency enters the moving mean.
	latencySmoothingDivisor = 8
	// readTimeoutFactor is the multiple of the mean latency after which an answer to a read counts as lost. The cost
	// of statements varies by a factor of ten.
	readTimeoutFactor = 10
)

// recordLatency adds the time that an answer took to the moving mean.
func (s *server) recordLatency(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.latency += (duration - s.latency) / latencySmoothingDivisor
}

// readTimeout returns the time after which an answer to a read counts as lost, between a third and three quarters of
// the statement's timeout. An overloaded server answers late, and a read that is abandoned then is work done twice.
func (s *server) readTimeout(timeout time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return min(max(readTimeoutFactor*s.latency, timeout/3), timeout*3/4)
}

// meanLatency returns the moving mean of the time that an answer takes.
func (s *server) meanLatency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.latency
}

// endStatement records that a statement ended, and serves the statements that wait for a connection.
func (s *server) endStatement() {
	s.runningStatements.Add(-1)
	s.connPool.serveWaiters()
}

// isUnreachable reports whether all attempts to use the server since its last answer failed, the latest one within
// failureCooldown.
func (s *server) isUnreachable(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.failingSince.IsZero() && now.Sub(s.lastFailure) < failureCooldown
}

// busyPeriod is the time for which a server counts as busy after it answered Busy. It takes about as long to work off
// its queue.
const busyPeriod = 100 * time.Millisecond

// recordBusy records that the server answered Busy.
func (s *server) recordBusy(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.lastBusy = now
}

// isBusy reports whether the server answered Busy within busyPeriod, or sustains fewer statements than it announces.
func (s *server) isBusy(now time.Time) bool {
	if s.limited.Load() {
		return true
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return now.Sub(s.lastBusy) < busyPeriod
}

// failureCooldown is the time after a failure during which no further statement tries a primary that has no
// substitute. The statements wait until the next attempt, or for another primary.
const failureCooldown = 100 * time.Millisecond

// recordAnswer records that the server answered.
func (s *server) recordAnswer(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.lastAnswer = now
	s.lastFailure, s.failingSince = time.Time{}, time.Time{}
}

// recordReplicaPosition records the position of a replica's log and updates the estimate of its lag.
func (s *server) recordReplicaPosition(now time.Time, logPosition position.Position, lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.logPosition.Less(logPosition) {
		s.logPosition = logPosition
	}

	if lag > 0 {
		lag += lagMargin
	}

	if lag < s.lag {
		lag = s.lag + (lag-s.lag)/lagSmoothingDivisor
	}

	s.lag, s.lagUpdated = lag, now
}

// likelyHolds reports whether the server's log is expected to hold a position that the primary passed floorAge ago.
// For a lagging replica it is true once in lagRetryInterval, so that its lag is measured again.
func (s *server) likelyHolds(now time.Time, floor position.Position, floorAge time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if !s.logPosition.Less(floor) || floorAge >= s.lag {
		return true
	}

	if now.Sub(s.lagUpdated) < lagRetryInterval {
		return false
	}

	s.lagUpdated = now

	return true
}

// routeServer returns the server as a candidate of a routing decision.
func (s *server) routeServer(primary bool) route.Server {
	info := s.info.Load()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return route.Server{
		Name: s.id, Centre: info.Centre, Primary: primary, Reachable: !info.Silent || s.failingSince.IsZero(),
		Leaving: info.Leaving, RunningStatements: int(s.runningStatements.Load()), Slots: info.Slots, FailedAt: s.lastFailure,
		ExpectedLatency: time.Duration(float64(soundLatency) * s.slowness()), Sharers: int(s.sharers.Load()),
	}
}

// reachability returns what the proxy reports to control about a primary.
func (s *server) reachability(now time.Time) managedcontrol.PrimaryReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	reachability := managedcontrol.PrimaryReport{Server: s.id}

	switch {
	case !s.failingSince.IsZero():
		reachability.FailingFor = max(now.Sub(s.failingSince), time.Millisecond)
	case now.Sub(s.lastAnswer) < answerValidity:
		reachability.Reached = true
	}

	return reachability
}

// answerValidity is the age up to which an answer proves that a server is reachable.
const answerValidity = time.Second

func outcomeOf(err error) Outcome {
	var failure *OutcomeError
	if errors.As(err, &failure) {
		return failure.Outcome
	}

	return Done
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
