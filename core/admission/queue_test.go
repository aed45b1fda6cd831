package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/admission"
	"almondgrade/core/result"
)

// naive is a reference version that keeps all waiting requests in order of arrival and scans them.
type naive struct {
	limits  admission.Limits
	waiting []admission.Item[int]
	running int
	streak  int
}

func (n *naive) count(class admission.Class) int {
	found := 0

	for _, item := range n.waiting {
		if item.Class == class {
			found++
		}
	}

	return found
}

func (n *naive) startWaiting(now time.Time) []int {
	var started []int

	for n.running < n.limits.MaxRunning {
		best := -1

		for i, item := range n.waiting {
			if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
				continue
			}

			preferred := admission.Urgent
			if n.streak >= 7 {
				preferred = admission.Routine
			}

			if best < 0 || item.Class == preferred && n.waiting[best].Class != preferred {
				best = i
			}
		}

		if best < 0 {
			break
		}

		item := n.waiting[best]
		n.waiting = append(n.waiting[:best:best], n.waiting[best+1:]...)
		n.run(item.Class)

		started = append(started, item.Value)
	}

	return started
}

func (n *naive) run(class admission.Class) {
	n.running++
	n.streak++

	if class == admission.Routine {
		n.streak = 0
	}
}

// Guards against requests that start out of order, twice, late or never, and against more running or waiting requests
// than allowed. Requests take no time here, so that the expected wait is always zero.
func TestQueueMatchesNaive(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{
			MaxRunning: rapid.IntRange(1, 4).Draw(t, "running"), MaxWaiting: rapid.IntRange(0, 10).Draw(t, "waiting"),
		}
		queue := admission.New[int](limits)
		expected := &naive{limits: limits}
		now := time.Unix(50, 0)

		for number := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "millis")) * time.Millisecond)
			case 1:
				limits.MaxRunning = rapid.IntRange(1, 4).Draw(t, "limit")
				expected.limits = limits
				require.Equal(t, expected.startWaiting(now), queue.SetLimits(now, limits))
			case 2:
				var want, left []int

				for _, item := range expected.waiting {
					if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
						want = append(want, item.Value)
					} else {
						left = append(left, item.Value)
					}
				}

				require.ElementsMatch(t, want, queue.RemoveExpired(now))

				for _, value := range want {
					expected.withdraw(value)
				}

				require.Len(t, expected.waiting, len(left))
			case 3:
				value := rapid.IntRange(0, number).Draw(t, "withdrawn")
				require.Equal(t, expected.withdraw(value), queue.Withdraw(value))
			case 4, 5, 6:
				if expected.running > 0 {
					expected.running--
					require.Equal(t, expected.startWaiting(now), queue.Done(now, 0))
				}
			default:
				item := admission.Item[int]{
					Value: number, Class: admission.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				}
				if rapid.Bool().Draw(t, "bounded") {
					item.Deadline = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
				}

				require.Equal(t, expected.offer(now, item), queue.Offer(now, item))
			}

			require.Equal(t, expected.running, queue.RunningCount())
			require.Equal(t, len(expected.waiting), queue.WaitingCount())
		}
	})
}

func (n *naive) offer(now time.Time, item admission.Item[int]) admission.Decision {
	startable := 0

	for _, waiting := range n.waiting {
		if waiting.Deadline.IsZero() || now.Before(waiting.Deadline) {
			startable++
		}
	}

	switch {
	case n.running < n.limits.MaxRunning && startable == 0:
		n.run(item.Class)

		return admission.Decision{Run: true}
	case n.count(item.Class) >= n.limits.MaxWaiting:
		return admission.Decision{Code: result.QueueFull}
	default:
		n.waiting = append(n.waiting, item)

		return admission.Decision{}
	}
}

func (n *naive) withdraw(value int) bool {
	for i, item := range n.waiting {
		if item.Value == value {
			n.waiting = append(n.waiting[:i:i], n.waiting[i+1:]...)

			return true
		}
	}

	return false
}

// Guards against requests that wait although they can't start before their deadline.
func TestExpectedWait(t *testing.T) {
	t.Parallel()

	queue := admission.New[int](admission.Limits{MaxRunning: 1, MaxWaiting: 100})
	now := time.Unix(50, 0)

	for range 200 {
		require.True(t, queue.Offer(now, admission.Item[int]{Class: admission.Routine}).Run)
		queue.Done(now, time.Second)
	}

	require.True(t, queue.Offer(now, admission.Item[int]{Value: 1}).Run)

	for value := range 5 {
		decision := queue.Offer(now, admission.Item[int]{Value: 2 + value, Class: admission.Routine})
		assert.InDelta(t, float64(value+1), decision.ExpectedWait.Seconds(), 0.1)
	}

	late := admission.Item[int]{Value: 9, Class: admission.Routine, Deadline: now.Add(4 * time.Second)}
	assert.Equal(t, result.DeadlinePassed, queue.Offer(now, late).Code)

	late.Class = admission.Urgent
	assert.Equal(t, result.OK, queue.Offer(now, late).Code, "an urgent request goes before the routine ones")

	late.Value, late.Deadline = 10, now
	assert.Equal(t, result.DeadlinePassed, queue.Offer(now, late).Code)
}

// Guards against a new request that waits forever: all waiting requests are past their deadline and nothing runs, so
// nothing would ever start it.
func TestExpiredWaitersBlockNobody(t *testing.T) {
	t.Parallel()

	queue := admission.New[int](admission.Limits{MaxRunning: 1, MaxWaiting: 10})
	now := time.Unix(50, 0)

	require.True(t, queue.Offer(now, admission.Item[int]{Value: 1}).Run)
	queue.Offer(now, admission.Item[int]{Value: 2, Deadline: now.Add(time.Second)})

	now = now.Add(2 * time.Second)
	require.Empty(t, queue.Done(now, time.Second))
	assert.True(t, queue.Offer(now, admission.Item[int]{Value: 3}).Run)
	assert.Equal(t, []int{2}, queue.RemoveExpired(now))
}

func ExampleQueue() {
	now := time.Unix(0, 0)
	queue := admission.New[string](admission.Limits{MaxRunning: 1, MaxWaiting: 2})

	fmt.Println(queue.Offer(now, admission.Item[string]{Value: "a", Class: admission.Routine}).Run)
	queue.Offer(now, admission.Item[string]{Value: "b", Class: admission.Routine})
	queue.Offer(now, admission.Item[string]{Value: "c", Class: admission.Urgent})
	fmt.Println(queue.Done(now, time.Millisecond))
	// Output:
	// true
	// [c]
}
