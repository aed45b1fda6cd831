package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondgrade/core/timer"
)

// Guards against callbacks that run out of order or after their subscription has ended.
func TestManualCallsCallbacksInOrder(t *testing.T) {
	t.Parallel()

	service := timer.NewManual(time.Unix(0, 0))

	var calls []string

	stop := service.Every(2*time.Second, func(time.Time) { calls = append(calls, "every") })
	service.After(3*time.Second, func(time.Time) { calls = append(calls, "after"); stop() })
	service.Advance(10 * time.Second)

	assert.Equal(t, []string{"every", "after"}, calls)
	assert.Equal(t, time.Unix(10, 0), service.Now())
}
