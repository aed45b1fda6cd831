package managedproxy

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/capacity"
	"almondgrade/core/outlier"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

const (
	// soundLatency stands for the time that a sound server takes for a statement. The choice of a replica depends on the
	// ratio of the servers' latencies only.
	soundLatency = 10 * time.Millisecond
	// maxHighPriority is the greatest priority number of high-priority pools.
	maxHighPriority = 1
	// minRetryDelay and maxRetryDelay bound the time after which a refused caller is told to come back, before it is
	// spread. The deadlines of urgent statements begin at 1.2 s.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// routineDelayFactor multiplies that time for routine statements, so that urgent ones find room first.
	routineDelayFactor = 2
	// retrySpread is the part of that time by which it varies to either side, so that callers do not return together.
	retrySpread = 0.25
)

// groupCapacity holds what the statements show about the servers of a group. It is safe for concurrent use.
type groupCapacity struct {
	// gateway logs and counts the decisions; nil in a server without a group.
	gateway *Gateway

	mutex    sync.Mutex
	estimate *capacity.Group
	judge    *outlier.Judge
	// allAdmitted is true while the judge admits every server.
	allAdmitted atomic.Bool
}

func newGroupCapacity(gateway *Gateway) *groupCapacity {
	created := &groupCapacity{gateway: gateway, estimate: capacity.NewGroup(), judge: outlier.NewJudge()}
	created.allAdmitted.Store(true)

	return created
}

// groupCapacity returns the object for a group. The mutex is held.
func (g *Gateway) groupCapacity(name string) *groupCapacity {
	known := g.capacities[name]
	if known == nil {
		known = newGroupCapacity(g)
		g.capacities[name] = known
	}

	return known
}

// setReplicas sets the servers that may be ejected: all but the primary.
func (c *groupCapacity) setReplicas(group *viewGroup) {
	ids := make([]string, 0, len(group.servers))

	for _, server := range group.servers {
		if server != group.primary {
			ids = append(ids, server.id)
		}
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.judge.SetReplicas(ids)
	c.allAdmitted.Store(c.judge.AllAdmitted())
}

// serverCapacity holds what the statements show about one server. The atomic fields repeat what the estimate says, so
// that a decision takes no lock.
type serverCapacity struct {
	group    *groupCapacity
	estimate *capacity.Server
	// limit is the number of statements that this proxy should have at the server, or zero if it is not known. limited is
	// true if that is less than what follows from the announced slots.
	limit   atomic.Int64
	limited atomic.Bool
	// busyUntil is the time in Unix nanoseconds before which no statement should start, because the server refused one for
	// lack of room. It is zero if there is none.
	busyUntil atomic.Int64
	// slownessBits is the slowness as a float64; zero stands for one.
	slownessBits atomic.Uint64
	sharers      atomic.Int64
}

// joinGroup makes the server one of a group. It is called before the server is used.
func (s *server) joinGroup(group *groupCapacity) {
	group.mutex.Lock()
	defer group.mutex.Unlock()

	s.group, s.estimate = group, group.estimate.NewServer()
}

// leaveGroup removes the server from the comparison with the others.
func (s *server) leaveGroup() {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.group.estimate.Remove(s.estimate)
}

// setShare sets the limit that follows from the announced slots, which the proxies share.
func (s *server) setShare(fairShare int64, proxies int) {
	s.sharers.Store(int64(max(1, proxies)))

	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.estimate.SetShare(int(fairShare), s.info.Load().Slots, proxies)
	s.publish(time.Now())
}

// publish stores what the estimate says in the atomic fields. The mutex of the group is held.
func (s *server) publish(now time.Time) {
	limit, slowness := int64(s.estimate.Limit(now)), s.estimate.Slowness(now)
	s.limit.Store(limit)

	if limited := s.estimate.Limited(); s.limited.Swap(limited) != limited {
		s.group.logDecision("server_limited", limited, "limit of a server changed", "server", s.id, "limit", limit, "limited", limited)
	}

	bits := uint64(0)
	if slowness != 1 {
		bits = math.Float64bits(slowness)
	}

	s.slownessBits.Store(bits)

	busyUntil := int64(0)
	if until := s.estimate.BusyUntil(); !until.IsZero() {
		busyUntil = until.UnixNano()
	}

	s.busyUntil.Store(busyUntil)
}

// statementLimit returns the number of statements that this proxy may have at the server, at most fairShare.
func (s *server) statementLimit(fairShare int64) int64 {
	if limit := s.limit.Load(); limit > 0 {
		return min(limit, fairShare)
	}

	return fairShare
}

// awaitsRoom reports whether the server refused a statement for lack of room a moment ago.
func (s *server) awaitsRoom(now time.Time) bool {
	until := s.busyUntil.Load()

	return until != 0 && now.UnixNano() < until
}

// slowness returns how many times longer the server takes than the others of its group; one for servers of about equal
// speed.
func (s *server) slowness() float64 {
	if bits := s.slownessBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}

	return 1
}

// recordStart records that a statement is sent to the server.
func (s *server) recordStart(now time.Time) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.estimate.Start(now)
}

// recordEnd records the answer to a statement, or that there was none.
func (s *server) recordEnd(now time.Time, kind capacity.Kind, answer Answer, err error, latency time.Duration) {
	before := s.limit.Load()
	outcome := capacity.Ignored

	switch {
	case answer.Outcome == Busy:
		outcome = capacity.Busy
	case err == nil && (answer.Outcome == Done || answer.Outcome == TimedOut):
		outcome = capacity.Done
	}

	s.group.mutex.Lock()
	s.estimate.End(now, kind, outcome, latency)
	s.publish(now)

	switch failed := err != nil && !errors.Is(err, errSetup) || answer.Outcome > UnknownStatement; {
	case failed:
		s.judgeLocked(now, outlier.Failed)
	case outcome == capacity.Done:
		s.judgeLocked(now, outlier.Succeeded)
	}
	s.group.mutex.Unlock()

	switch {
	case outcome == capacity.Busy:
		time.AfterFunc(time.Duration(s.busyUntil.Load()-now.UnixNano()), s.serveRoom)
	case s.limit.Load() > before:
		s.connPool.serveWaiters()
	}
}

// serveRoom lets as many waiting statements start as the limit permits. connPool.serveWaiters starts one, because it does
// not know yet whether the former one has started.
func (s *server) serveRoom() {
	for range max(1, s.limit.Load()-s.runningStatements.Load()) {
		s.connPool.serveWaiters()
	}
}

// judgeOutcome records what an attempt to connect has seen of the server.
func (s *server) judgeOutcome(now time.Time, outcome outlier.Outcome) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.judgeLocked(now, outcome)
}

// judgeLocked records what a statement has seen of the server. The mutex of the group is held.
func (s *server) judgeLocked(now time.Time, outcome outlier.Outcome) {
	slowness := s.slowness()

	ejected := s.group.judge.Record(now, s.id, outcome) || slowness > 1 && s.group.judge.RecordSlowness(now, s.id, slowness)
	if ejected {
		s.group.logDecision("replica_ejected", true, "replica ejected", "server", s.id, "slowness", slowness)
	}

	s.group.allAdmitted.Store(s.group.judge.AllAdmitted())
}

// logDecision logs a decision, and counts it if count is true.
func (c *groupCapacity) logDecision(counter string, count bool, message string, details ...any) {
	if c.gateway == nil {
		return
	}

	c.gateway.options.Logger.Info(message, details...)

	if count {
		c.gateway.count(counter)
	}
}

// refreshCapacity lets the estimate of a server that gets no statements recover.
func (s *server) refreshCapacity(now time.Time) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.publish(now)
}

// isAdmitted reports whether a statement that another server could run may go to this one.
func (s *server) isAdmitted(now time.Time) bool {
	if s.group.allAdmitted.Load() {
		return true
	}

	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	return s.group.judge.Admits(now, s.id)
}

// recordChoice records that a statement goes to the server.
func (s *server) recordChoice(now time.Time) {
	if s.group.allAdmitted.Load() {
		return
	}

	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.group.judge.Take(now, s.id)
}

// statementKind returns the kind of a command for the comparison of latencies. Setup commands before it take time too.
func statementKind(pool *topology.Pool, command *Command, setup bool) capacity.Kind {
	kind := capacity.Kind{Pool: pool.Name, Setup: setup}

	switch {
	case command.Kind == Commit:
		kind.Operation = capacity.Commit
	case command.Writes:
		kind.Operation = capacity.Write
	}

	return kind
}

// refusalError is a refusal for lack of room.
type refusalError struct {
	cause error
	// running, limit and waiting are the figures on which the refusal is based: the statements at the server, the
	// limit of them, and the statements that wait.
	running, limit, waiting int64
}

// Error implements error.
func (e *refusalError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *refusalError) Unwrap() error {
	return e.cause
}

// withTimeToReturn adds the time after which the caller should come back to a refusal for lack of room at a server. Other
// errors are returned unchanged.
func withTimeToReturn(err error, candidate *server, pool *topology.Pool) error {
	code := result.CodeOf(err)
	if errors.Is(err, errCallerGone) {
		return err
	}

	if code != result.QueueFull && code != result.DeadlinePassed && outcomeOf(err) != Busy {
		return err
	}

	wait, waiting, limit := candidate.connPool.timeUntilRoom(pool.Priority)
	room := wait - max(0, pool.TargetLatency-candidate.meanLatency())

	return &refusalError{
		cause:   &retryAfterError{err, timeToReturn(room, pool.Priority, rand.Float64())},
		running: candidate.runningStatements.Load(), limit: limit, waiting: int64(waiting),
	}
}

// timeToReturn returns the time after which a caller should come back if room is expected after the given one. The random
// number is uniform in [0, 1).
func timeToReturn(room time.Duration, priority int, random float64) time.Duration {
	room = max(room, minRetryDelay)
	if priority > maxHighPriority {
		room *= routineDelayFactor
	}

	spread := 1 - retrySpread + 2*retrySpread*random

	return time.Duration(float64(min(room, maxRetryDelay)) * spread)
}

// timeUntilRoom returns the time that another statement of the priority is expected to wait, the number of statements that
// wait, and the limit of statements at the server.
func (p *connPool) timeUntilRoom(priority int) (wait time.Duration, waiting int, limit int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.expectedWait(p.conns.WaitingUpTo(priority)), p.conns.Waiting(), p.statementLimit()
}
