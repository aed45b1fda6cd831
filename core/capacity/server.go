package capacity

import (
	"math"
	"time"
)

const (
	// minWindowSamples is the least number of answers after which a limit is cut, windowSamples the number after which a
	// window ends in any case.
	minWindowSamples = 4
	windowSamples    = 32
	// growthSamples is the number of answers after which the limit may grow, unless growthInterval has passed before.
	growthSamples  = 12
	growthInterval = 250 * time.Millisecond
	// noise is the deviation of a relative time from n answers, times the square root of n, beyond which it counts as
	// longer. With costs that vary by a factor of ten the standard deviation for one answer is 0.75. A value of 3, four
	// of them, cut limits of sound servers under a sustained overload, because each of many windows is judged.
	noise = 3.5
	// proofSamples is the number of answers needed to tell a server that is slow from one that is crowded.
	proofSamples = 16
	// growthTolerance is the ratio of the relative time to the expected one up to which the limit grows.
	growthTolerance = 1.25
	// minCut and maxCut bound the factor of one cut.
	minCut = 0.5
	maxCut = 0.8
	// busyCut is the factor of a cut after a busy answer. busyCutInterval is the time within which busy answers count as
	// one: the statements that were sent together are refused together.
	busyCut         = 0.7
	busyCutInterval = 100 * time.Millisecond
	// firstBusyGap is the time after a busy answer in which no further statement starts; it doubles with each one that
	// follows without an answer in between, up to maxBusyGap. A server works off its queue in about 0.1 s.
	firstBusyGap = 8 * time.Millisecond
	maxBusyGap   = 64 * time.Millisecond
	// growthSteps is the number of steps from nothing to the whole share. Beyond cautionAt of the value of the last cut
	// a step is smaller by cautionDivisor.
	growthSteps    = 4
	cautionAt      = 0.8
	cautionDivisor = 4
	// cautionPeriod is the time for which the value of the last cut counts, because servers recover.
	cautionPeriod = 5 * time.Second
	// recoveryTime is the time in which an unused limit returns to the whole share.
	recoveryTime = 10 * time.Second
	// baseSmoothing divides the difference when an answer of a server that is not crowded enters its base time.
	baseSmoothing  = 48
	minBaseSamples = 24
	// uncrowdedDivisor divides the slots: a server is not crowded with no more statements than that. Service times may
	// begin to grow at half of the slots.
	uncrowdedDivisor = 3
	// baseDecayTime is the time constant with which the base time of a server without statements returns to that of the
	// other servers, so that a server that was slow is tried again.
	baseDecayTime = 10 * time.Second
	// baseDecayStart is the time without an answer after which the decay begins.
	baseDecayStart = time.Second
	// equalSpeed is the ratio of two servers' base times up to which they count as equally fast.
	equalSpeed = 1.6
	// slownessInterval is the least time between two comparisons of a server with the others.
	slownessInterval = 20 * time.Millisecond
)

// Outcome is the way in which a statement ended.
type Outcome uint8

// The outcomes.
const (
	// Done means that the server answered.
	Done Outcome = iota
	// Busy means that the server refused the statement for lack of room.
	Busy
	// Ignored means that the time says nothing about the server's capacity, for example because the answer was lost.
	Ignored
)

// Server estimates the capacity of one server, as far as this proxy uses it.
type Server struct {
	group    *Group
	inFlight int
	// share is the limit that follows from the announced slots, limit the one in force.
	share   float64
	limit   float64
	slots   float64
	holders float64
	// base is the relative time of an answer while the server is not crowded.
	base        float64
	baseSamples int
	// baseReference is the moving mean of the references of the answers in base.
	baseReference float64
	lastAnswer    time.Time
	// slowness is the result of the last comparison with the other servers, at slownessAt.
	slowness   float64
	slownessAt time.Time

	window window
	// timeAtCut is the relative time that led to the last cut, limitAtCut the limit before it.
	timeAtCut  float64
	limitAtCut float64
	lastCut    time.Time
	// lastGrowth is the time up to which the recovery of an unused limit was counted.
	lastGrowth time.Time

	lastBusyCut time.Time
	busyGap     time.Duration
	busyUntil   time.Time
}

// window sums up the answers since the last decision.
type window struct {
	began     time.Time
	samples   int
	latency   time.Duration
	reference time.Duration
	inFlight  int
}

// SetShare sets the number of statements that this proxy may have at the server as it announces itself, its slots, and
// the number of proxies that share them. A limit that was cut keeps its proportion to the share.
func (s *Server) SetShare(share, slots, holders int) {
	next := float64(max(1, share))
	s.slots, s.holders = float64(max(1, slots)), float64(max(1, holders))

	if s.share == 0 {
		s.limit = next
	} else if s.share != next {
		s.limit *= next / s.share
		s.limitAtCut *= next / s.share
	}

	s.share = next
	s.limit = min(s.limit, s.share)
}

// InFlight returns the number of statements that have started and not ended.
func (s *Server) InFlight() int {
	return s.inFlight
}

// Start records the start of a statement.
func (s *Server) Start(now time.Time) {
	s.inFlight++
	s.recoverUnused(now)
}

// End records the end of a statement with the time that its answer took.
func (s *Server) End(now time.Time, kind Kind, outcome Outcome, latency time.Duration) {
	inFlight := s.inFlight
	s.inFlight = max(0, s.inFlight-1)

	switch outcome {
	case Ignored:
		return
	case Busy:
		s.recordBusy(now)

		return
	case Done:
	}

	s.busyGap, s.busyUntil = 0, time.Time{}

	crowded := float64(inFlight) > max(1, s.slots/s.holders/uncrowdedDivisor)

	reference := s.group.reference(kind, latency, crowded || s.Slowness(now) > 1)
	if reference == 0 || now.Add(-latency).Before(s.lastCut) {
		return // The statement started before the cut, and does not show its effect.
	}

	s.decayBase(now)

	s.lastAnswer = now
	if !crowded {
		s.baseSamples++
		s.baseReference += (float64(reference) - s.baseReference) / float64(min(s.baseSamples, baseSmoothing))
		s.base += (float64(latency) - s.base*float64(reference)) / s.baseReference / float64(min(s.baseSamples, baseSmoothing))
	}

	if s.window.samples == 0 {
		s.window.began = now
	}

	s.window.samples++
	s.window.latency += latency
	s.window.reference += reference
	s.window.inFlight += inFlight

	s.judge(now)
}

// recordBusy cuts the limit after a busy answer.
func (s *Server) recordBusy(now time.Time) {
	s.busyGap = min(max(2*s.busyGap, firstBusyGap), maxBusyGap)
	s.busyUntil = now.Add(s.busyGap)

	if now.Sub(s.lastBusyCut) < busyCutInterval {
		return
	}

	s.lastBusyCut = now
	s.cut(now, busyCut, 0)
}

// BusyUntil returns the time before which no further statement should start, because the server has refused one for
// lack of room. It is zero if the last statement was answered.
func (s *Server) BusyUntil() time.Time {
	return s.busyUntil
}

// cut multiplies the limit. relative is the time that led to the cut, or zero.
func (s *Server) cut(now time.Time, factor, relative float64) {
	s.limitAtCut, s.timeAtCut, s.lastCut = s.limit, relative, now
	s.limit = max(1, s.limit*factor)
	s.window, s.lastGrowth = window{}, now
}

// judge cuts the limit or lets it grow if the answers of the window suffice for that.
func (s *Server) judge(now time.Time) {
	w := &s.window
	if w.samples < minWindowSamples {
		return
	}

	// Time in the server's queue does not depend on the kind, so the sums are compared and not the single times.
	relative := float64(w.latency) / float64(w.reference)
	inFlight := float64(w.inFlight) / float64(w.samples)
	// The others are taken to use their shares in full. So the time that a sound server takes is never underestimated
	// unless this proxy has cut its limit and others have not.
	perSlot := s.holders * max(s.limit, inFlight) / s.slots
	excess := relative / (max(1, s.base) * max(1, perSlot))
	inUse := inFlight >= s.limit/2

	// An answer takes at least as long as on a server that is not crowded.
	if s.base > 1 && w.samples >= growthSamples && relative*equalSpeed < s.base {
		s.base = max(1, relative)
	}

	switch {
	case inUse && w.samples&(w.samples-1) == 0 && excess > 1+noise/math.Sqrt(float64(w.samples)):
		if slow, known := s.slowWhateverItsLoad(relative, perSlot); !known {
			return
		} else if slow {
			s.base = max(s.base, relative/max(1, perSlot))
			s.baseSamples = max(s.baseSamples, minBaseSamples)
			s.timeAtCut = 0
			s.window = window{}
		} else {
			s.cut(now, min(max(1/excess, minCut), maxCut), relative)
		}
	case w.samples >= growthSamples || now.Sub(w.began) >= growthInterval && inUse:
		if s.limit >= s.ceiling() {
			s.limit = s.ceiling()
		} else if inUse && excess <= growthTolerance {
			s.grow(now)
		}

		if w.samples >= windowSamples || s.limit < s.ceiling() {
			s.window = window{}
		}
	}
}

// slowWhateverItsLoad reports whether a server has turned slow for a reason other than its load: with no more statements
// than slots, the last cut has not shortened its answers by at least a quarter of the statements that it took away. The
// second result is false if it takes more answers to know that.
func (s *Server) slowWhateverItsLoad(relative, perSlot float64) (slow, known bool) {
	if s.limit > 1 && (perSlot > 1 || s.timeAtCut == 0) {
		return false, true
	}

	if s.timeAtCut == 0 {
		return true, s.window.samples >= proofSamples
	}

	before := max(1, s.holders*s.limitAtCut/s.slots)
	removed := 1 - s.limit/s.limitAtCut
	slow = relative/max(1, perSlot) > s.timeAtCut/before*(1-removed/4)

	return slow, s.window.samples >= proofSamples
}

// ceiling returns the greatest limit: the share, or less at a slow server, so that an answer takes no longer than at a
// server of normal speed, but not so little that slots are unused.
func (s *Server) ceiling() float64 {
	return min(s.share, max(1, math.Ceil(s.slots/s.holders), s.share/max(1, s.Slowness(s.lastAnswer))))
}

// grow raises the limit by one step.
func (s *Server) grow(now time.Time) {
	step := max(s.share/growthSteps, 0.5)
	if s.limit+step > cautionAt*s.limitAtCut && now.Sub(s.lastCut) < cautionPeriod {
		step /= cautionDivisor
	}

	s.limit = min(s.limit+step, s.ceiling())
	s.lastGrowth = now
}

// recoverUnused lets a limit that is not in use return to the share.
func (s *Server) recoverUnused(now time.Time) {
	if s.limit >= s.share {
		return
	}

	if float64(s.inFlight) < s.limit/2 && s.lastGrowth.Before(now) {
		s.limit = min(s.share, s.limit+s.share*float64(now.Sub(s.lastGrowth))/float64(recoveryTime))
	}

	s.lastGrowth = now
}

// Limit returns the number of statements that this proxy should have at the server at most. It is at least one, and at
// most the share.
func (s *Server) Limit(now time.Time) int {
	s.recoverUnused(now)

	return max(1, int(s.limit+0.001))
}

// Limited reports whether the limit is less than the share.
func (s *Server) Limited() bool {
	return s.limit < s.share
}

// decayBase lets the base time of a server that was not used return to that of the others.
func (s *Server) decayBase(now time.Time) {
	unused := now.Sub(s.lastAnswer) - baseDecayStart
	if s.lastAnswer.IsZero() || unused <= 0 {
		return
	}

	if others := s.group.medianBase(s); others > 0 {
		s.base = others + (s.base-others)*math.Exp(-float64(unused)/float64(baseDecayTime))
		s.lastAnswer = now.Add(-baseDecayStart)
	}
}

// Slowness returns how many times longer the server takes for a statement than the other servers of its group while none
// of them is crowded. It is one for servers of about equal speed.
func (s *Server) Slowness(now time.Time) float64 {
	if now.Sub(s.slownessAt) < slownessInterval {
		return s.slowness
	}

	s.decayBase(now)
	s.slowness, s.slownessAt = 1, now

	others := s.group.medianBase(s)
	if others <= 0 || s.baseSamples < minBaseSamples {
		return 1
	}

	if ratio := s.base / others; ratio > equalSpeed || ratio < 1/equalSpeed {
		s.slowness = ratio
	}

	return s.slowness
}
