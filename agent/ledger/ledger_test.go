package ledger

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/backend"
	"persimmonrock.example/structs"
	"pgregory.net/rapid"
)

// newLedger returns a ledger of 8 slots with contracts for shares of one half,
// one half and the whole.
func newLedger(t interface{ Errorf(string, ...any) }) *Ledger {
	l := New(Config{
		Instance: "i1", AnnounceTimeout: time.Minute, Retention: time.Hour,
		Total:    structs.Resources{Slots: 8, MilliCores: 8000, MemoryBytes: 800, Accelerators: 2, Connections: 64},
		OnBroken: func(what string, recent []Step) { t.Errorf("invariant broken: %s %v", what, recent) },
	})
	l.SetConfig(structs.Config{Revision: 1, Contracts: map[structs.Customer]structs.Contract{
		"granite": {Share: 0.5}, "kowhai": {Share: 0.5}, "all": {Share: 1},
	}})
	return l
}

// join announces a server of 4 slots twice, the second time as one that has
// accepted the agent, and returns the server's guard.
func join(l *Ledger, incarnation uint64, now time.Time) *backend.Guard {
	g := backend.NewGuard(incarnation, 4)
	for range 2 {
		if answer, err := l.Announce("b", announcementOf(g), now); err == nil {
			g.CarryOut(answer)
		}
	}
	return g
}

func announcementOf(g *backend.Guard) backend.Announcement {
	return g.Fill(backend.Announcement{Service: "s", Address: "x", Slots: 4, Connections: 4, MemoryBytes: 100})
}

// An operator retires a backend server. It gets no calls once the agent has
// received the DELETE request or the server's announcement that it leaves. A
// late or repeated earlier announcement doesn't bring the server back; a new
// process under its name does.
func TestLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, byAnnouncement := range []bool{false, true} {
		l := newLedger(t)
		g := join(l, 1, now)
		n := 0
		admit := func() Reason {
			n++
			_, why := l.Admit(Request{ID: structs.RequestID(fmt.Sprint(n)), Customer: "all", Service: "s", Budget: time.Second}, now)
			return why
		}
		late := announcementOf(g)
		if why := admit(); why != Admitted {
			t.Fatalf("before leaving: %v", why)
		}
		if byAnnouncement {
			g.Leave()
			_, _ = l.Announce("b", announcementOf(g), now)
		} else {
			l.Leave("b")
		}
		late.Slots = 400
		_, _ = l.Announce("b", late, now)
		if why := admit(); why != Leaving {
			t.Errorf("by announcement %v: %v, want leaving", byAnnouncement, why)
		}
		if s, _ := l.Status("b"); s.Safe || s.InUse != 1 {
			t.Errorf("status %+v with a call in progress", s)
		}
		l.Answered("1", now)
		if s, _ := l.Status("b"); !s.Safe {
			t.Errorf("status %+v without a call", s)
		}
		fresh := join(l, 2, now)
		if why := admit(); why != Admitted {
			t.Errorf("a new process: %v", why)
		}
		stale := announcementOf(fresh)
		stale.Slots = 1
		_, _ = l.Announce("b", announcementOf(fresh), now)
		if _, err := l.Announce("b", stale, now); err == nil || l.Offers().Slots != 4 {
			t.Errorf("an announcement older than the last: %v, %d slots", err, l.Offers().Slots)
		}
	}
}

// Two customers share an instance. The first floods it with tasks and gets more
// than its quota while the second needs one slot. Once the second sends more
// calls, the first gets only slots that are free beside the second's quota.
func TestShares(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(t)
	n := 0
	flood := func() (held int) {
		for range 20 {
			n++
			k := TaskKey{Job: structs.JobID(fmt.Sprint("f", n)), Epoch: 1}
			if l.Reserve(k, "granite", "k", structs.Resources{Slots: 1}, now) == Admitted {
				held++
			}
		}
		return held
	}
	join(l, 1, now)
	if got, why := l.Admit(Request{ID: "k1", Customer: "kowhai", Service: "s", Budget: time.Second}, now); why != Admitted {
		t.Fatal(got, why)
	}
	if held := flood(); held != 7 {
		t.Errorf("granite got %d of the 7 slots that nobody is expected to need", held)
	}
	if !l.Borrows("granite") || l.Borrows("kowhai") {
		t.Error("want granite to borrow and kowhai not to")
	}
	if _, why := l.Admit(Request{ID: "k2", Customer: "kowhai", Service: "s", Budget: time.Second}, now); why != Full || l.Owed() != (Owed{Slots: 1, Calls: 1}) {
		t.Errorf("kowhai within its right on a full instance: %v, want full and one slot owed", why)
	}
	l.ReleaseTask(TaskKey{Job: "f1", Epoch: 1}, now)
	if held := flood(); held != 0 {
		t.Errorf("granite took %d slots that are owed to kowhai", held)
	}
	if _, why := l.Admit(Request{ID: "k2", Customer: "kowhai", Service: "s", Budget: time.Second}, now); why != Admitted {
		t.Errorf("kowhai's call for the freed slot: %v", why)
	}
}

// An agent is killed while two backend servers of its instance work. Its
// successor receives the announcement of one of them. Until the successor knows
// what the other server runs, it may admit no calls or batch tasks to slots that
// the other server may be using. This also holds if the other server has
// announced itself and the answer was lost: that server has not accepted the
// new agent and has sent no list of its calls.
func TestNewAgentReservesSlotsOfUnreportedServers(t *testing.T) {
	for _, lost := range []bool{false, true} {
		testReservedSlots(t, lost)
	}
}

func testReservedSlots(t *testing.T, lost bool) {
	old, now := newLedger(t), time.Now()
	one, two := backend.NewGuard(1, 4), backend.NewGuard(1, 4)
	announce := func(l *Ledger, name string, g *backend.Guard) {
		if answer, err := l.Announce(name, announcementOf(g), now); err == nil {
			g.CarryOut(answer)
		}
	}
	for range 3 {
		announce(old, "one", one)
		announce(old, "two", two)
	}
	l := newLedger(t)
	l.config.Settle = time.Second
	reserve := func(slots int) Reason {
		return l.Reserve(TaskKey{Job: structs.JobID(fmt.Sprint(slots, now)), Epoch: 1}, "all", "k", structs.Resources{Slots: slots}, now)
	}
	if why := reserve(1); why != NotReady {
		t.Errorf("a task before any server can have announced itself: %v, want not ready", why)
	}
	now = now.Add(2 * time.Second)
	if lost {
		_, _ = l.Announce("two", announcementOf(two), now)
	}
	announce(l, "one", one)
	announce(l, "one", one)
	if free := l.Load(now).Free.Slots; free != 4 {
		t.Errorf("%d slots free of 8, want 4 kept for the server that has not reported", free)
	}
	if why := reserve(5); why != Full {
		t.Errorf("a task of 5 slots: %v, want full", why)
	}
	announce(l, "two", two)
	announce(l, "two", two)
	if free := l.Load(now).Free.Slots; free != 8 {
		t.Errorf("%d slots free of 8 when both have reported", free)
	}
}

// Tasks of any declared size come and go. Their sum never exceeds the instance
// in any resource, and all of it is released at the end.
func TestRandomSizes(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value
	defer func(all string) { _ = checks.Set(all) }(checks.String())
	_ = checks.Set("500")
	admittedInAll := 0
	rapid.Check(t, func(t *rapid.T) {
		l, now := newLedger(t), time.Unix(1000, 0)
		join(l, 1, now)
		total, before := l.config.Total, l.used
		var held []TaskKey
		for n := range rapid.IntRange(1, 10).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			size := structs.Resources{
				Slots: rapid.IntRange(-1, 9).Draw(t, "slots"), MilliCores: rapid.IntRange(-1, 5000).Draw(t, "cores"),
				MemoryBytes: rapid.Int64Range(-1, 500).Draw(t, "memory"), Accelerators: rapid.IntRange(0, 3).Draw(t, "accelerators"),
			}
			c := rapid.SampledFrom([]structs.Customer{"granite", "kowhai", "all", "nobody"}).Draw(t, "customer")
			k := TaskKey{Job: structs.JobID(fmt.Sprint(n)), Epoch: 1}
			admitted := l.Reserve(k, c, "k", size, now) == Admitted
			if !l.fits(l.used, total) || l.used.MilliCores < 0 || l.used.MemoryBytes < 0 || admitted && c == "nobody" {
				t.Fatalf("%s got %+v: %+v in use of %+v", c, size, l.used, total)
			}
			if admitted {
				admittedInAll++
				held = append(held, k)
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "ends") {
				l.ReleaseTask(held[0], now)
				held = held[1:]
			}
		}
		for _, k := range held {
			l.ReleaseTask(k, now)
		}
		if l.used != before {
			t.Fatalf("%+v in use at the end, %+v before", l.used, before)
		}
	})
	if admittedInAll == 0 {
		t.Error("nothing was admitted in any run")
	}
}

// Guards against a service whose callers are still refused when it is fast
// again after a slow period. It comes about when the estimate of a call's
// duration changes only with calls: while it is high, entries send none.
func TestEstimateOfASlowServerFades(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(t)
	join(l, 1, now)
	call := func(id structs.RequestID, took time.Duration) {
		if _, why := l.Admit(Request{ID: id, Customer: "all", Service: "s", Budget: time.Second}, now); why != Admitted {
			t.Fatalf("%s: %v", id, why)
		}
		now = now.Add(took)
		l.Answered(id, now)
	}
	expect := func(when string, least, most time.Duration) {
		t.Helper()
		if got := l.Load(now).Services[0].ServiceTime; got < least || got > most {
			t.Errorf("%s: %s, want %s to %s", when, got, least, most)
		}
	}
	call("slow", 4*time.Second)
	expect("after a slow call", 4*time.Second, 4*time.Second)
	now = now.Add(3 * medianHalfLife)
	expect("after three half-lives without calls", 500*time.Millisecond, 500*time.Millisecond)
	call("fast", 10*time.Millisecond)
	expect("after a fast call", 10*time.Millisecond, 450*time.Millisecond)
	call("slow again", 30*time.Second)
	expect("after a call that took long itself", 450*time.Millisecond, 500*time.Millisecond)
}
