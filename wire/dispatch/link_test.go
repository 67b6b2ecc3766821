package dispatch

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against: no entry replaces a scheduler that is permanently
// unreachable. It came about when each request dialled in turn: the entries'
// checks of the scheduler use the same link, so they took longer and longer.
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
