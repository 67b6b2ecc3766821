package dispatch

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// The scheduler's machine is permanently unreachable. If each state request of
// the entries dialled by itself behind the others, the entries' watch of the
// scheduler, which uses the same link, would take longer and longer, and no
// entry would take over.
func TestCallsToUnreachablePeerDoNotQueueUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink("peer")
		l.dial = func(context.Context) (net.Conn, error) {
			time.Sleep(dialTimeout)
			return nil, errors.New("no route")
		}
		for range 20 {
			go func() {
				var reply NoteReply
				_ = l.Call(t.Context(), "Scheduler.Note", NoteArgs{}, &reply, time.Second)
			}()
		}
		time.Sleep(10 * time.Millisecond)
		begun := time.Now()
		var reply NoteReply
		err := l.Call(t.Context(), "Scheduler.State", StateArgs{}, &reply, 350*time.Millisecond)
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("error %v, not ErrNotSent", err)
		}
		if took := time.Since(begun); took > 400*time.Millisecond {
			t.Errorf("a call with 350 ms took %v", took)
		}
		time.Sleep(2 * time.Second)
	})
}
