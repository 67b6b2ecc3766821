package progress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A call is given up while its answer arrives, or goes on though nothing comes.
func TestBoundEndsWithSilenceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := Bound(t.Context(), time.Second)
		defer cancel()
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			Heard(ctx)
		}
		if err := ctx.Err(); err != nil {
			t.Fatalf("ended beside progress: %v", err)
		}
		time.Sleep(1100 * time.Millisecond)
		if err := context.Cause(ctx); !errors.Is(err, ErrSilent) {
			t.Errorf("ended by %v, want %v", err, ErrSilent)
		}
	})
}

// An outer bound ends a call that tells only the inner one of its progress.
func TestOuterBoundHearsOfProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := Bound(t.Context(), time.Second)
		defer cancelOuter()
		inner, cancel := Bound(outer, time.Second)
		defer cancel()
		time.Sleep(900 * time.Millisecond)
		Heard(inner)
		time.Sleep(900 * time.Millisecond)
		if err := outer.Err(); err != nil {
			t.Errorf("the outer bound ended: %v", err)
		}
	})
}
