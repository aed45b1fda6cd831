package admission

import (
	"slices"
	"time"

	"almondgrade/core/result"
)

// Class is the class of a request.
type Class uint8

// The classes, in order of precedence.
const (
	Urgent Class = iota
	Routine
	classCount
)

const (
	// maxUrgentStreak is the number of urgent requests in a row after which one routine request is started.
	maxUrgentStreak = 7
	// meanWeightDivisor defines the weight of one running time in the moving mean, 1/meanWeightDivisor.
	meanWeightDivisor = 16
)

// Limits limit a queue.
type Limits struct {
	// MaxRunning is the maximum number of requests that run at once.
	MaxRunning int
	// MaxWaiting is the maximum number of waiting requests of each class.
	MaxWaiting int
}

// Item is a request.
type Item[T comparable] struct {
	Value T
	Class Class
	// Deadline is the time by which the request has to start. The zero time means no deadline.
	Deadline time.Time
}

// Decision is the answer to Offer: the request runs, waits (neither Run nor a code is set), or is refused with a code.
type Decision struct {
	Run  bool
	Code result.Code
	// ExpectedWait is the estimated wait of a request that waits or was refused because of its deadline.
	ExpectedWait time.Duration
}

// Queue holds waiting requests. Their values must be distinct.
type Queue[T comparable] struct {
	limits       Limits
	waiting      [classCount][]Item[T]
	running      int
	urgentStreak int
	// meanRunning is the moving mean of the running times.
	meanRunning time.Duration
}

// New returns an empty queue.
func New[T comparable](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits}
}

// Offer requests that an item runs, now or later.
func (q *Queue[T]) Offer(now time.Time, item Item[T]) Decision {
	if item.deadlinePassed(now) {
		return Decision{Code: result.DeadlinePassed}
	}

	// If fewer requests run than are allowed, all waiting ones are past their deadline, because the end of each request
	// starts others.
	if q.running < q.limits.MaxRunning {
		q.recordStart(item.Class)

		return Decision{Run: true}
	}

	if len(q.waiting[item.Class]) >= q.limits.MaxWaiting {
		return Decision{Code: result.QueueFull}
	}

	wait := q.expectedWait(item.Class)
	if !item.Deadline.IsZero() && now.Add(wait).After(item.Deadline) {
		return Decision{Code: result.DeadlinePassed, ExpectedWait: wait}
	}

	q.waiting[item.Class] = append(q.waiting[item.Class], item)

	return Decision{ExpectedWait: wait}
}

// Done records that a running request ended after the given time, and returns the requests to start. Requests whose
// deadline has passed stay until RemoveExpired returns them.
func (q *Queue[T]) Done(now time.Time, took time.Duration) []T {
	q.running--
	q.meanRunning += (took - q.meanRunning) / meanWeightDivisor

	return q.startWaiting(now)
}

// SetLimits changes the limits and returns the requests to start. Running requests above a lower limit continue.
func (q *Queue[T]) SetLimits(now time.Time, limits Limits) []T {
	q.limits = limits

	return q.startWaiting(now)
}

// RemoveExpired removes and returns the waiting requests whose deadline has passed. They did not run.
func (q *Queue[T]) RemoveExpired(now time.Time) []T {
	var expired []T

	for class := range q.waiting {
		q.waiting[class] = slices.DeleteFunc(q.waiting[class], func(item Item[T]) bool {
			if !item.deadlinePassed(now) {
				return false
			}

			expired = append(expired, item.Value)

			return true
		})
	}

	return expired
}

// Withdraw removes a waiting request. It returns false if the request is not waiting.
func (q *Queue[T]) Withdraw(value T) bool {
	for class := range q.waiting {
		at := slices.IndexFunc(q.waiting[class], func(item Item[T]) bool { return item.Value == value })
		if at >= 0 {
			q.waiting[class] = slices.Delete(q.waiting[class], at, at+1)

			return true
		}
	}

	return false
}

// WaitingCount returns the number of waiting requests.
func (q *Queue[T]) WaitingCount() int {
	return len(q.waiting[Urgent]) + len(q.waiting[Routine])
}

// RunningCount returns the number of running requests.
func (q *Queue[T]) RunningCount() int {
	return q.running
}

// startWaiting starts waiting requests while fewer run than are allowed.
func (q *Queue[T]) startWaiting(now time.Time) []T {
	var started []T

	for q.running < q.limits.MaxRunning {
		class, at, found := q.next(now)
		if !found {
			break
		}

		started = append(started, q.waiting[class][at].Value)
		q.waiting[class] = slices.Delete(q.waiting[class], at, at+1)
		q.recordStart(class)
	}

	return started
}

// next returns the class and position of the request to start: the first of its class whose deadline has not passed.
func (q *Queue[T]) next(now time.Time) (Class, int, bool) {
	first := func(class Class) int {
		return slices.IndexFunc(q.waiting[class], func(item Item[T]) bool { return !item.deadlinePassed(now) })
	}

	urgent, routine := first(Urgent), first(Routine)

	switch {
	case routine >= 0 && (urgent < 0 || q.urgentStreak >= maxUrgentStreak):
		return Routine, routine, true
	case urgent >= 0:
		return Urgent, urgent, true
	default:
		return 0, 0, false
	}
}

func (q *Queue[T]) recordStart(class Class) {
	q.running++
	q.urgentStreak++

	if class == Routine {
		q.urgentStreak = 0
	}
}

// expectedWait returns the expected wait of a new request of a class.
func (q *Queue[T]) expectedWait(class Class) time.Duration {
	ahead := len(q.waiting[Urgent])
	if class == Routine {
		ahead += len(q.waiting[Routine])
	} else {
		ahead += min(len(q.waiting[Routine]), ahead/maxUrgentStreak)
	}

	return q.meanRunning * time.Duration(ahead+1) / time.Duration(max(1, q.limits.MaxRunning))
}

func (i Item[T]) deadlinePassed(now time.Time) bool {
	return !i.Deadline.IsZero() && !now.Before(i.Deadline)
}
