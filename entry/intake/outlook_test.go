package intake

import (
	"sync/atomic"
	"testing"
	"time"

	"persimmonrock.example/wire/dispatch"
)

// Two schedulers in turn: the one that was replaced still answers, and replies
// overtake each other. Guards against an older outlook that replaces a newer one.
func TestNewestOutlookIsKept(t *testing.T) {
	var received atomic.Int64
	k := outlookKeeper{enabled: true, received: &received}
	offer := func(epoch uint64, at, age, asked time.Duration) {
		k.offer(&dispatch.Outlook{Epoch: epoch, At: at, Age: age}, asked)
	}
	expect := func(what string, epoch uint64, at, age time.Duration) {
		t.Helper()
		o, got := k.get(100 * time.Second)
		if k.mark() != (dispatch.OutlookMark{Wanted: true, Epoch: epoch, At: at}) || o.At != at || got != age {
			t.Errorf("%s: epoch %d, at %v, age %v", what, k.epoch, o.At, got)
		}
	}
	offer(5, 50*time.Second, time.Second, 90*time.Second)
	expect("the first", 5, 50*time.Second, 11*time.Second)
	offer(5, 49*time.Second, 0, 99*time.Second)
	expect("an overtaken one", 5, 50*time.Second, 11*time.Second)
	offer(7, 40*time.Second, 0, 98*time.Second)
	expect("of a new scheduler", 7, 40*time.Second, 2*time.Second)
	offer(5, 60*time.Second, 0, 99*time.Second)
	expect("of the former scheduler", 7, 40*time.Second, 2*time.Second)
	k.offer(nil, 99*time.Second)
	expect("none", 7, 40*time.Second, 2*time.Second)
	if received.Load() != 2 {
		t.Errorf("%d received", received.Load())
	}
}
