// Package wait holds the pause that ends early with its context.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx lasted until then.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
