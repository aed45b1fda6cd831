package managedproxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/route"
	"almondgrade/io/managedcontrol"
)

const (
	// connectTimeout bounds the opening of a connection. A server that takes no connection for so long is taken for
	// unreachable by the request, which goes elsewhere or is refused.
	connectTimeout = 500 * time.Millisecond
	// lagProbe is the time after which a replica that was behind is tried again. It refuses a read that it can't serve
	// without work, and tells its position.
	lagProbe = 250 * time.Millisecond
	// lagMargin is added to the lag that an answer showed, because the lag varies from commit to commit.
	lagMargin = 30 * time.Millisecond
	// lagWeight is the weight of a smaller lag in the estimate, as a divisor. A greater one replaces the estimate.
	lagWeight = 4
)

// server is a backend server with what the gateway learned of it.
type server struct {
	id      string
	info    atomic.Pointer[managedcontrol.Server]
	pool    *pool
	dial    Dialer
	running atomic.Int64

	mutex sync.Mutex
	// lag estimates how far the server's log is behind the primary's; it was observed, or put to the test, at lagAt.
	lag   time.Duration
	lagAt time.Time
	held  position.Position
	// failed is the time of the last failure to use the server, failing that of the first one since the last answer.
	failed  time.Time
	failing time.Time
	// answered is the time of the last answer.
	answered time.Time
	// full is the time of the last answer that the server had no room.
	full time.Time
	// usual is the moving mean of the time that answers take.
	usual time.Duration
}

func newServer(info managedcontrol.Server, dial Dialer) *server {
	created := &server{id: info.ID, dial: dial}
	created.info.Store(&info)
	created.pool = &pool{server: created, limit: 1}

	return created
}

// open opens a connection.
func (s *server) open(deadline time.Time) (*conn, error) {
	backend, err := s.dial(minTime(deadline, time.Now().Add(connectTimeout)), s.info.Load().Server)
	if err != nil {
		if outcome := outcomeOf(err); outcome != ConnectionLimit && outcome != Busy {
			s.fail(time.Now())
		}

		return nil, err
	}

	return newConn(backend, s), nil
}

// fail notes that the server could not be used.
func (s *server) fail(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.failed = now
	if s.failing.IsZero() {
		s.failing = now
	}
}

const (
	// usualWeight is the weight of one answer in the moving mean, as a divisor.
	usualWeight = 8
	// patienceFactor is the multiple of the usual time after which an answer is taken for lost. Work varies by a factor
	// of ten between statements.
	patienceFactor = 10
)

// took notes the time that an answer took.
func (s *server) took(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.usual += (duration - s.usual) / usualWeight
}

// patience returns the time after which an answer to a read is taken for lost, between a third and three quarters of a
// statement's timeout. A server that is overloaded answers late; a read that is given up then would be work done twice.
func (s *server) patience(timeout time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return min(max(patienceFactor*s.usual, timeout/3), timeout*3/4)
}

// mean returns the moving mean of the time that answers take.
func (s *server) mean() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.usual
}

// end notes that a statement ended.
func (s *server) end() {
	s.running.Add(-1)
	s.pool.nudge()
}

// unreachable reports whether the last attempts to use the server failed, the last one a moment ago.
func (s *server) unreachable(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.failing.IsZero() && now.Sub(s.failed) < failedPause
}

// crowdedTime is the time for which a server is taken to have no room after it said so. It works off its queue in about
// as much.
const crowdedTime = 100 * time.Millisecond

// crowd notes that the server had no room.
func (s *server) crowd(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.full = now
}

// crowded reports whether the server had no room a moment ago.
func (s *server) crowded(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return now.Sub(s.full) < crowdedTime
}

// failedPause is the time after a failure in which no further statement tries a primary that has no substitute. The
// statements wait for the next attempt or for another primary.
const failedPause = 100 * time.Millisecond

// answer notes that the server answered.
func (s *server) answer(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.answered = now
	s.failed, s.failing = time.Time{}, time.Time{}
}

// holds notes the position of a replica's log and its lag.
func (s *server) holds(now time.Time, held position.Position, lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.held.Less(held) {
		s.held = held
	}

	if lag > 0 {
		lag += lagMargin
	}

	if lag < s.lag {
		lag = s.lag + (lag-s.lag)/lagWeight
	}

	s.lag, s.lagAt = lag, now
}

// covers reports whether the server's log is expected to hold a position that the primary passed some time ago. A
// replica that was behind is tried again from time to time.
func (s *server) covers(now time.Time, floor position.Position, passed time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if !s.held.Less(floor) || passed >= s.lag {
		return true
	}

	if now.Sub(s.lagAt) < lagProbe {
		return false
	}

	s.lagAt = now

	return true
}

// describe returns the server for a routing decision.
func (s *server) describe(primary bool) route.Server {
	info := s.info.Load()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return route.Server{
		Name: s.id, Centre: info.Centre, Primary: primary, Reachable: !info.Silent || s.failing.IsZero(),
		Leaving: info.Leaving, Running: int(s.running.Load()), Slots: info.Slots, Failed: s.failed,
	}
}

// sight returns what the proxy says of a primary.
func (s *server) sight(now time.Time) managedcontrol.PrimaryReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	sight := managedcontrol.PrimaryReport{Server: s.id}

	switch {
	case !s.failing.IsZero():
		sight.FailingFor = max(now.Sub(s.failing), time.Millisecond)
	case now.Sub(s.answered) < sightTime:
		sight.Reached = true
	}

	return sight
}

// sightTime is the age up to which an answer shows that a server is reached.
const sightTime = time.Second

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

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
