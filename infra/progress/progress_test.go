package progress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a call that times out while its answer arrives, and against a
// call that never times out.
func TestBoundEndsOnlyWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithIdleTimeout(t.Context(), time.Second)
		defer cancel()
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			Received(ctx)
		}
		if err := ctx.Err(); err != nil {
			t.Fatalf("ended despite progress: %v", err)
		}
		time.Sleep(1100 * time.Millisecond)
		if err := context.Cause(ctx); !errors.Is(err, ErrIdle) {
			t.Errorf("ended by %v, want %v", err, ErrIdle)
		}
	})
}

// Guards against an outer bound that ends a call while data arrives under an
// inner bound.
func TestInnerProgressExtendsOuterBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := WithIdleTimeout(t.Context(), time.Second)
		defer cancelOuter()
		inner, cancel := WithIdleTimeout(outer, time.Second)
		defer cancel()
		time.Sleep(900 * time.Millisecond)
		Received(inner)
		time.Sleep(900 * time.Millisecond)
		if err := outer.Err(); err != nil {
			t.Errorf("the outer bound ended: %v", err)
		}
	})
}
