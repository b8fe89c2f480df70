// Package pause provides sleeps and periodic calls that end with a context.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls step once per interval until ctx ends, first after one interval. Steps don't
// overlap: one that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step()
		}
	}
}
