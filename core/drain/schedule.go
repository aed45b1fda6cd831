package drain

import "time"

// Phase is a phase of a planned stop.
type Phase uint8

// The phases in the order in which they follow each other.
const (
	Serving Phase = iota
	Closing
	Refusing
	Answering
	Ended
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"serving", "closing", "refusing", "answering", "ended"}[p]
}

const (
	// servingShare bounds the first phase where the grace period is short.
	servingShare = 0.4
	// acceptShare is the fraction of the grace period in which callers are accepted and open transactions may go on.
	acceptShare = 0.5
	// statementShare is the fraction of the grace period that statements have to end by themselves.
	statementShare = 0.85
	// answerShare is the fraction of the grace period after which the process ends in any case. The rest is for the end of
	// the calls between processes and for closing connections before the process is killed.
	answerShare = 0.9
)

// Schedule divides the grace period of a planned stop into phases.
type Schedule struct {
	closing, refusing, answering, end time.Duration
}

// NewSchedule returns the schedule of a stop. The process is killed when the grace period is over, and gets new callers
// until balancerDelay has passed.
func NewSchedule(grace, balancerDelay time.Duration) Schedule {
	part := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }

	return Schedule{
		closing: min(balancerDelay, part(servingShare)), refusing: part(acceptShare), answering: part(statementShare),
		end: part(answerShare),
	}
}

// Phase returns the phase at a time since the beginning of the stop. The stop ends early if no work is left: neither
// sessions and logins nor statements and transactions of other proxies.
func (s Schedule) Phase(elapsed time.Duration, workLeft int) Phase {
	switch {
	case elapsed < s.closing:
		return Serving
	case workLeft <= 0 || elapsed >= s.end:
		return Ended
	case elapsed >= s.answering:
		return Answering
	case elapsed >= s.refusing:
		return Refusing
	default:
		return Closing
	}
}
