package ledger

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/structs"
)

// Guards against an instance that gets more and more tasks until the platform
// kills them. It comes about when tasks declare a tenth of the memory they use,
// and free memory is counted by declared sizes alone. Memory measured above a
// declared size is not free until the task has stopped. A task that uses less
// than it declared frees nothing, since it may still need the rest.
func TestMemoryUsedAboveTheClaimIsNotFree(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(t)
	small := structs.Resources{Slots: 1, MemoryBytes: 50}
	key := func(id structs.JobID) TaskKey { return TaskKey{Job: id, Epoch: 1} }
	reserve := func(id structs.JobID) Reason { return l.Reserve(key(id), "all", "k", small, now) }
	want := func(step string, free int64) {
		t.Helper()
		if got := l.Load(now).Free.MemoryBytes; got != free {
			t.Errorf("%s: %d bytes free, want %d", step, got, free)
		}
	}
	if why := max(reserve("a"), reserve("b")); why != Admitted {
		t.Fatalf("not admitted: %v", why)
	}
	want("by their claims", 700)
	l.Measured(key("a"), 500)
	l.Measured(key("b"), 10)
	want("a uses ten times its claim", 250)
	l.Measured(key("a"), 400)
	want("a uses less for a moment", 250)
	l.Measured(key("b"), 999)
	want("both use more than there is", 0)
	if why := reserve("c"); why != Full {
		t.Errorf("a task was admitted without free memory: %v", why)
	}
	l.ReleaseTask(key("b"), now)
	l.Measured(key("b"), 999)
	l.ReleaseTask(key("a"), now)
	want("both have stopped", 800)
}

// Guards against a customer that floods the instance with calls and jobs at
// once and slows down another customer's calls. It comes about when its calls
// stay within its quota and its tasks borrow slots on top. While its calls use
// most of its quota, its tasks may borrow no slot; some seconds after the calls
// have ended they may again.
func TestNoSlotIsLentToTasksOnTopOfAFloodOfCalls(t *testing.T) {
	l := newLedger(t)
	now := l.start
	l.config.Total.Slots = 16
	l.contract("granite", structs.Contract{Customer: "granite", Share: 0.125})
	join(l, 1, now)
	n := 0
	task := func() Reason {
		n++
		return l.Reserve(TaskKey{Job: structs.JobID(fmt.Sprint("j", n)), Epoch: 1}, "granite", "k", structs.Resources{Slots: 1}, now)
	}
	var calls []structs.RequestID
	for i := range 4 {
		id := structs.RequestID(fmt.Sprint("c", i))
		if _, why := l.Admit(Request{ID: id, Customer: "granite", Service: "s", Budget: time.Hour}, now); why != Admitted {
			t.Fatal(why)
		}
		calls = append(calls, id)
	}
	now = now.Add(refreshInterval)
	if why := task(); why != Share {
		t.Errorf("a task on top of a flood of calls: %v, want the share used up", why)
	}
	for _, id := range calls {
		l.Answered(id, now)
	}
	now = now.Add(10 * time.Second)
	for range 6 {
		if why := task(); why != Admitted {
			t.Fatalf("a task after the flood: %v", why)
		}
	}
}
