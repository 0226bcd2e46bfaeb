package pool

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SleepUntil waits until a time. It returns false if ctx ends first.
func SleepUntil(ctx context.Context, at time.Time) bool {
	return Sleep(ctx, time.Until(at))
}

// WaitForChange waits until changed is closed or d has elapsed. It returns false if ctx ends first.
func WaitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
