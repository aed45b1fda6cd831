package timer

import (
	"context"
	"time"
)

// Sleep waits for a period and returns nil. If the context ends first, it returns the cause.
func Sleep(ctx context.Context, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
