package dispatch

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// The scheduler's machine is gone for good. Every entry goes on asking it for
// states, and each question waits for a dial of its own while the others
// queue up behind it. The entries' watch of the scheduler, which asks over
// the same link, waits longer and longer, and nobody takes over.
func TestCallsToAPeerThatIsGoneDoNotQueueUp(t *testing.T) {
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
