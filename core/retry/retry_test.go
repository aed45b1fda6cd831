package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/retry"
)

// naive is a reference version that keeps every event and counts those in the window. A window ends with the
// half-second part that contains the time.
type naive struct {
	requests []time.Duration
	retries  []time.Duration
}

func recent(events []time.Duration, now time.Duration) int {
	const part = 500 * time.Millisecond

	found := 0

	for _, at := range events {
		if at/part > now/part-20 {
			found++
		}
	}

	return found
}

func (n *naive) retry(now time.Duration) bool {
	if (recent(n.retries, now)+1)*10 > recent(n.requests, now) {
		return false
	}

	n.retries = append(n.retries, now)

	return true
}

// Guards against retries beyond the share, and against a window that drops events too early or too late.
func TestBudgetMatchesNaive(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow)
		expected := &naive{}
		start := time.Unix(50, 0)
		now := time.Duration(0)

		budget.RecordRequest(start)

		expected.requests = append(expected.requests, now)

		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond
			case 1:
				require.Equal(t, expected.retry(now), budget.TakeRetry(start.Add(now)))
			default:
				for range rapid.IntRange(1, 15).Draw(t, "requests") {
					budget.RecordRequest(start.Add(now))

					expected.requests = append(expected.requests, now)
				}
			}
		}
	})
}

// Guards against a retry storm: every attempt fails, and each failure requests a retry.
func TestAttemptsStayBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow)
		now := time.Unix(50, 0)
		requests, attempts := 0, 0

		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)

			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				requests++
				attempts++

				budget.RecordRequest(now)

				for budget.TakeRetry(now) {
					attempts++
				}
			}

			require.LessOrEqual(t, float64(attempts), 1.2*float64(requests))
		}
	})
}

// Guards against counts that are lost or negative when callers' times arrive out of order.
func TestTimesOutOfOrder(t *testing.T) {
	t.Parallel()

	budget := retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow)
	start := time.Unix(50, 0)

	for i := range 20 {
		budget.RecordRequest(start.Add(time.Duration(20-i) * time.Second / 4))
	}

	assert.True(t, budget.TakeRetry(start.Add(6*time.Second)))
	assert.True(t, budget.TakeRetry(start))
	assert.False(t, budget.TakeRetry(start.Add(6*time.Second)))
	assert.False(t, budget.TakeRetry(start.Add(time.Minute)))
}

// Guards against waits beyond the limit of an attempt or the deadline. The reference limit is a power of two.
func TestBackoff(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 100).Draw(t, "attempts")
		random := rapid.Float64Range(0, 0.999999).Draw(t, "random")
		now := time.Unix(50, 0)
		deadline := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond)

		limit := time.Second
		if attempts <= 7 {
			limit = 10 * time.Millisecond << (attempts - 1)
		}

		delay, inTime := retry.DefaultBackoff.Delay(attempts, random, now, deadline)
		require.GreaterOrEqual(t, delay, time.Duration(0))
		require.Less(t, delay, limit)
		require.InDelta(t, random*float64(limit), float64(delay), 1)
		require.Equal(t, now.Add(delay).Before(deadline), inTime)
	})

	_, inTime := retry.DefaultBackoff.Delay(3, 0.5, time.Unix(50, 0), time.Time{})
	assert.True(t, inTime, "a request without a deadline")
}

func ExampleBudget() {
	now := time.Unix(0, 0)
	budget := retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow)

	for range 20 {
		budget.RecordRequest(now)
	}

	fmt.Println(budget.TakeRetry(now), budget.TakeRetry(now), budget.TakeRetry(now))
	// Output: true true false
}

func ExampleBackoff() {
	now := time.Unix(0, 0)
	deadline := now.Add(100 * time.Millisecond)

	fmt.Println(retry.DefaultBackoff.Delay(1, 0.5, now, deadline))
	fmt.Println(retry.DefaultBackoff.Delay(5, 0.9, now, deadline))
	// Output:
	// 5ms true
	// 144ms false
}

// Guards against a caller on an idle system whose only request gets no second attempt, and against a minimum that is
// added to the share.
func TestMinRetries(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	budget := retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetWindow).WithMinRetries(2)
	budget.RecordRequest(now)

	granted := 0

	for range 10 {
		if budget.TakeRetry(now) {
			granted++
		}
	}

	require.Equal(t, 2, granted)

	for range 100 {
		budget.RecordRequest(now)
	}

	for range 20 {
		if budget.TakeRetry(now) {
			granted++
		}
	}

	require.Equal(t, 10, granted)
}
