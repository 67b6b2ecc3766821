package scheduler

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const testGrant = 5 * time.Second

// observedLease returns an elector whose clock is now, and its watch of the lease.
func observedLease(now *time.Duration) (*Elector, *observations) {
	deps := Deps{Now: func() time.Duration { return *now }, Counters: &Counters{}, Link: dispatch.NewLink}
	return NewElector(Config{Node: "a", Grant: testGrant}, deps), &observations{}
}

// Guards against a scheduler that counts the validity of the one before it from the
// takeover, and against one that counts it from before the row was last written.
func TestEarlierGrantsCountFromTheFirstReadOfTheLease(t *testing.T) {
	now := time.Minute
	e, w := observedLease(&now)
	read := func(version uint64) time.Duration {
		_ = e.observe(w, rowstore.Row{Version: version})
		return e.earlierGrants(w, leaseRow{Node: "b"}).end
	}
	first := read(7)
	if atLeast := now + validFor + e.cfg.leaseLength(); first < atLeast {
		t.Errorf("the bound %v is before the possible end %v", first, atLeast)
	}
	now += 3 * maxReadGap
	if again := read(7); again != first {
		t.Errorf("the bound moved by %v though the row is unchanged", again-first)
	}
	if newer := read(8); newer-first != 3*maxReadGap {
		t.Errorf("the bound moved by %v with a row written up to %v later", newer-first, 3*maxReadGap)
	}
}

// Guards against runs that are started elsewhere while their worker still has the
// lease of a scheduler that was replaced by one with a short term.
func TestReleaseKeepsTheBoundOfEarlierTerms(t *testing.T) {
	now := time.Minute
	term := loadedTerm(&now, workload.Queue{})
	term.cfg.Grant = testGrant
	term.epoch = 9
	term.earlier.end = now + 3*testGrant
	for id, left := range map[workload.WorkerID]time.Duration{"silent": time.Second, "gone": -time.Second, "unreported": 3 * testGrant, "answers": term.cfg.leaseLength()} {
		term.workers[id] = &worker{id: id, leaseEnd: now + left}
	}
	g := earlierGrants{end: time.Hour, releasedBy: 9, releasedAt: 2 * time.Minute}
	g.restore(term.leaseEnds())
	for id, want := range map[workload.WorkerID]time.Duration{"silent": time.Second, "gone": 0, "unreported": 3 * testGrant, "answers": 3 * testGrant, "unknown": 3 * testGrant} {
		if left := g.endOf(id) - g.releasedAt; left < want || left > want+2*time.Millisecond {
			t.Errorf("worker %s: %v left, want %v", id, left, want)
		}
	}
}

// Guards against a release that the store refuses because thousands of workers are
// silent: no lease may count as over before it is.
func TestLeaseEndsOfAFleetFitIntoARow(t *testing.T) {
	now := time.Minute
	term := loadedTerm(&now, workload.Queue{})
	term.cfg.Grant = testGrant
	ends := map[workload.WorkerID]time.Duration{}
	for n := range 5000 {
		id := workload.WorkerID(fmt.Sprintf("worker-of-a-large-fleet-%d", n))
		ends[id] = now + time.Duration(n%1000)*time.Millisecond
		term.workers[id] = &worker{id: id, leaseEnd: ends[id]}
	}
	value := term.leaseEndsValue()
	if len(value) > rowstore.DefaultRowBytes {
		t.Fatalf("a row of %d bytes", len(value))
	}
	var row leaseEndsRow
	if err := decode(rowstore.Row{Value: value}, &row); err != nil {
		t.Fatal(err)
	}
	if len(row.Silent) < 1000 {
		t.Errorf("%d workers are listed", len(row.Silent))
	}
	g := earlierGrants{end: time.Hour, releasedBy: term.epoch, releasedAt: now}
	g.restore(row)
	for id, end := range ends {
		if g.endOf(id) < end {
			t.Fatalf("the lease of %s counts as over %v too soon", id, end-g.endOf(id))
		}
	}
}

// Guards against ends that an earlier scheduler left at another release.
func TestLeaseEndsOfAnotherReleaseAreIgnored(t *testing.T) {
	for _, g := range []earlierGrants{{end: time.Hour}, {end: time.Hour, releasedBy: 8, releasedAt: time.Minute}} {
		g.restore(leaseEndsRow{Epoch: 9, Silent: map[workload.WorkerID]int64{"w": 1}, Others: 1})
		if end := g.endOf("w"); end != time.Hour {
			t.Errorf("released by %d: the lease ends at %v", g.releasedBy, end)
		}
	}
}

// Failure guarded against: a bound on the write of the lease row that lies before the
// write was sent, so that leases granted by it count as over while tasks run under them.
func TestStoreTimeBoundsWhenTheLeaseWasSent(t *testing.T) {
	const sent, second = time.Minute, time.Second
	cases := []struct {
		name string
		// elapsed and store are the times since the write by the local clock and by the
		// store's, slack how far the writer's bound was beyond the store's clock.
		elapsed, store, slack time.Duration
		// seen says that the version before was seen a second before the write.
		seen bool
		// latest is the latest bound, from the write on.
		latest time.Duration
	}{
		{"read at once", 0, 0, 0, true, 0},
		{"read long after the write", 8 * second, 8 * second, 0, true, second / 2},
		{"the writer knew the store's clock roughly", 8 * second, 8 * second, second, true, 3 * second / 2},
		{"the store's clock is slow", 8 * second, 8 * second * 98 / 100, 0, true, second / 2},
		{"no version was seen before", 8 * second, 8 * second, 0, false, 8 * second},
	}
	for _, c := range cases {
		now := sent - second
		e, o := observedLease(&now)
		storeClock := 5 * time.Hour
		read := func(version uint64, lease leaseRow, at time.Duration) {
			_ = e.observe(o, rowstore.Row{Version: version, Value: encode(lease)})
			o.boundSending(lease, rowstore.Stamp{Now: at}, now)
		}
		if c.seen {
			read(7, leaseRow{Process: "p"}, storeClock-second)
		}
		lease := leaseRow{Process: "p", SentBy: (storeClock + c.slack).Milliseconds()}
		now = sent + c.elapsed
		read(8, lease, storeClock+c.store)
		g := e.earlierGrants(o, lease).end - validFor - time.Duration(clockDrift*float64(validFor)) - e.cfg.leaseLength()
		if g < sent || g > sent+c.latest {
			t.Errorf("%s: the write counts as sent %v after it was sent, want 0 to %v", c.name, g-sent, c.latest)
		}
	}
}

// Failure guarded against: the holder's address refuses connections for a moment, and
// its grants count as over long afterwards, though it has renewed its lease since.
func TestRefusedConnectionDoesNotEndGrants(t *testing.T) {
	now := time.Minute
	e, o := observedLease(&now)
	lease := leaseRow{Process: "p", Address: "a"}
	e.leader = lease
	e.deps.Link = func(address string) *dispatch.Link {
		return dispatch.NewLinkWithDial(address, func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
	}
	e.link = e.deps.Link("a")
	if e.confirmed(o, e.ask(t.Context(), pingTimeout)) {
		t.Fatal("a refused connection confirms the lease")
	}
	for version := range uint64(30) {
		now += time.Second / 2
		_ = e.observe(o, rowstore.Row{Version: 1 + version, Value: encode(lease)})
	}
	if end := e.earlierGrants(o, lease).end; end < now+validFor+e.cfg.leaseLength() {
		t.Errorf("grants end in %v", end-now)
	}
}
