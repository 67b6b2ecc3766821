package decide

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

func slots(n int, gb int64) structs.Resources {
	return structs.Resources{Slots: n, MilliCores: n * 1000, MemoryBytes: gb * gigabyte}
}

func contract(c structs.Customer, share float64) structs.Contract {
	return structs.Contract{Customer: c, Share: share}
}

func TestChooseUrgentSkipsUnusableAndPrefersLocal(t *testing.T) {
	q := UrgentQuery{Service: "s", Zone: "a", Remaining: time.Second, Random: 7}
	free := Candidate{Instance: "free", Zone: "a", Slots: 8, ServiceTime: 10 * time.Millisecond}
	full := free
	full.InUse = 8
	leaving := free
	leaving.Leaving = true
	late := free
	late.ServiceTime = 2 * time.Second
	remote := free
	remote.Zone = "b"
	for name, c := range map[string]struct {
		cs      []Candidate
		want    int
		refusal structs.RefusalType
	}{
		"none":                  {nil, -1, structs.RefusedUnknownService},
		"free local":            {[]Candidate{full, leaving, remote, free}, 3, ""},
		"local full":            {[]Candidate{full, leaving, remote}, 2, ""},
		"local late":            {[]Candidate{late, remote}, 1, ""},
		"all late":              {[]Candidate{late}, -1, structs.RefusedDeadline},
		"all full":              {[]Candidate{full, full}, -1, structs.RefusedNoCapacity},
		"all leaving":           {[]Candidate{leaving}, -1, structs.RefusedDraining},
		"full with outstanding": {[]Candidate{{Zone: "a", Slots: 2, InUse: 1, Outstanding: 1}}, -1, structs.RefusedNoCapacity},
	} {
		got, hold := ChooseUrgent(q, c.cs, nil)
		if got != c.want || hold.Refusal != c.refusal {
			t.Errorf("%s: got %d %+v, want %d %q", name, got, hold, c.want, c.refusal)
		}
	}
}

// Guards against: a queue makes no progress although workers are free. It comes
// about when jobs are served strictly in order and the first job needs more memory
// than any worker has.
func TestUnplaceableJobDoesNotBlockQueue(t *testing.T) {
	v := &BatchView{
		Instances: []Instance{{ID: "w1", Total: slots(4, 60), Free: slots(4, 60)}},
		Contracts: map[structs.Customer]structs.Contract{"x": contract("x", 1)},
		Queue: []Waiting{
			{Job: "big", Customer: "x", Kind: "k", Need: slots(1, 300)},
			{Job: "small", Customer: "x", Kind: "k", Need: slots(1, 1), Order: 1},
		},
	}
	var p Planner
	placed, holds := p.PlaceBatch(v, nil, 10)
	if len(placed) != 1 || placed[0].Job != "small" || placed[0].Index != 1 {
		t.Fatalf("placed %+v", placed)
	}
	if h := holds["big"]; h.Reason != "no worker has 300 GB" || h.Refusal != structs.RefusedNoCapacity {
		t.Fatalf("hold %+v", h)
	}
}

func TestReportVerdicts(t *testing.T) {
	good := wire.Load{Instance: "w", Incarnation: 2, Sequence: 5, Total: slots(8, 8), Free: slots(3, 2)}
	var r Reports
	if v := r.Accept(time.Second, time.Second, &good); v != ReportAccepted {
		t.Fatal(v)
	}
	change := func(f func(*wire.Load)) wire.Load { l := good; l.Sequence++; f(&l); return l }
	for _, c := range []struct {
		load  wire.Load
		taken time.Duration
		want  ReportVerdict
	}{
		{good, 0, ReportDuplicate},
		{change(func(l *wire.Load) { l.Sequence = 4 }), 0, ReportOld},
		{change(func(l *wire.Load) { l.Incarnation = 1 }), 0, ReportReplaced},
		{change(func(l *wire.Load) {}), time.Hour, ReportFuture},
		{change(func(l *wire.Load) { l.Free.Slots = 9 }), 0, ReportAbsurd},
		{change(func(l *wire.Load) { l.Free.MemoryBytes = -1 }), 0, ReportAbsurd},
		{change(func(l *wire.Load) { l.Batch = []wire.BatchLoad{{Running: -1}} }), 0, ReportAbsurd},
		{change(func(l *wire.Load) { l.Services = []wire.ServiceLoad{{ServiceTime: -1}} }), 0, ReportAbsurd},
		{change(func(l *wire.Load) {}), 0, ReportAccepted},
	} {
		if v := r.Accept(time.Second, c.taken, &c.load); v != c.want {
			t.Errorf("%+v: %s, want %s", c.load, v, c.want)
		}
	}
}

// Guards against: calls are sent to a dead instance. It comes about when a report
// of the instance's former agent arrives after a report of its new agent. With good
// and bad reports mixed, decisions must be the same as with the good reports alone.
func TestBadReportsChangeNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var mixed, clean Reports
		var seen, want []Candidate
		for i := range 4 {
			id := structs.InstanceID(rune('a' + i))
			seen = append(seen, Candidate{Instance: id, Slots: 8})
			want = append(want, Candidate{Instance: id, Slots: 8})
		}
		now := time.Hour
		for n := range rapid.IntRange(1, 40).Draw(t, "reports") {
			i := rapid.IntRange(0, 3).Draw(t, "instance")
			l := wire.Load{Instance: seen[i].Instance, Incarnation: 7, Sequence: uint64(n + 1), Total: slots(8, 8)}
			l.Services = []wire.ServiceLoad{{Service: "s", Slots: 8, InUse: rapid.IntRange(0, 8).Draw(t, "in use")}}
			if clean.Accept(now, now, &l) == ReportAccepted {
				want[i].InUse = l.Services[0].InUse
			}
			bad, taken := l, now
			bad.Services = []wire.ServiceLoad{{Service: "s", Slots: 8, InUse: 3}}
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				bad.Incarnation = 6
				bad.Sequence += 100
			case 1:
				taken = now + time.Second
			case 2:
				bad.Services[0].InUse = -3
			case 3:
				bad.Free.Slots = 99
			case 4:
				bad.Sequence = 0
			}
			for _, r := range []struct {
				l     wire.Load
				taken time.Duration
			}{{l, now}, {bad, taken}, {l, now}} {
				if mixed.Accept(now, r.taken, &r.l) == ReportAccepted {
					seen[i].InUse = r.l.Services[0].InUse
				}
			}
			q := UrgentQuery{Service: "s", Remaining: time.Second, Random: uint64(n)}
			got, _ := ChooseUrgent(q, seen, nil)
			if wanted, _ := ChooseUrgent(q, want, nil); got != wanted {
				t.Fatalf("after report %d: %d instead of %d", n, got, wanted)
			}
		}
		if c := mixed.Counters(); c.Accepted != clean.Counters().Accepted || c.Duplicate == 0 {
			t.Fatalf("%+v", c)
		}
	})
}

// Guards against: jobs wait forever beside free workers. It comes about when calls
// are slow while a process is paused, and the kind that ran beside them is then
// predicted to be harmful on every instance. Its tasks no longer start, so no
// measurement corrects the prediction.
//
// One task must start every trialInterval. On an instance without recent calls,
// tasks must start at once, since they can disturb no call.
func TestKindPredictedHarmfulIsTriedAgain(t *testing.T) {
	m := NewInterference()
	for range 40 {
		m.Observe(Sample{Service: "s", Band: BandLow, ServiceTime: 10 * time.Millisecond, Calls: 20})
		m.Observe(Sample{Service: "s", Band: BandLow, ServiceTime: 100 * time.Millisecond, Calls: 20, Together: []KindCount{{Kind: "k", Count: 1}}})
	}
	service := wire.ServiceLoad{Service: "s", Slots: 8, InUse: 1, ServiceTime: 10 * time.Millisecond}
	count := func(l wire.ServiceLoad, share float64, span time.Duration) (placed int) {
		var p Planner
		for now := time.Duration(0); now <= span; now += time.Second {
			v := &BatchView{
				Now:       now,
				Instances: []Instance{{ID: "w1", Total: slots(16, 60), Free: slots(16, 60), Services: []wire.ServiceLoad{l}}},
				Contracts: map[structs.Customer]structs.Contract{"x": contract("x", share)},
				Queue:     []Waiting{{Job: "j1", Customer: "x", Kind: "k", Need: slots(1, 1)}, {Job: "j2", Customer: "x", Kind: "k", Need: slots(1, 1), Order: 1}},
			}
			some, _ := p.PlaceBatch(v, m, 10)
			placed += len(some)
		}
		return placed
	}
	if n := count(service, 1, trialInterval-time.Second); n != 0 {
		t.Errorf("%d placed before a trial was due", n)
	}
	if n := count(service, 1, 5*trialInterval); n != 5 {
		t.Errorf("%d placed in 5 times trialInterval, want 5", n)
	}
	if n := count(service, 0.01, 5*trialInterval); n != 0 {
		t.Errorf("%d placed for a customer beyond its share", n)
	}
	idle := service
	idle.InUse, idle.ServiceTime = 0, 0
	if n := count(idle, 1, 0); n != 2 {
		t.Errorf("%d of 2 placed where no call has run for long", n)
	}
}

// Guards against: every call with a deadline of 2 s is refused as late. It comes
// about when the first calls of a service took 4 s, while their backend server
// started. No later call is tried, so no measurement corrects the learnt time.
//
// A call may be refused as late only because of the instance's measured time, which
// shrinks while there are no calls.
func TestSlowFirstCallsDoNotRefuseLaterOnes(t *testing.T) {
	m := NewInterference()
	for range 4 {
		m.Observe(Sample{Service: "assay-check", Band: BandHigh, ServiceTime: 4 * time.Second, Calls: 1})
	}
	candidates := func(measured time.Duration, batch ...wire.BatchLoad) []Candidate {
		return []Candidate{{Instance: "i1", Zone: "hill", Slots: 4, ServiceTime: measured, Batch: batch}}
	}
	q := UrgentQuery{Service: "assay-check", Zone: "hill", Remaining: 2 * time.Second, Random: 1}
	cases := []struct {
		name string
		cs   []Candidate
		late bool
	}{
		{"measured time unchanged", candidates(4 * time.Second), true},
		{"measured time shrunk but above the deadline", candidates(2500 * time.Millisecond), true},
		{"measured time shrunk below the deadline", candidates(time.Second), false},
		{"no measured time after long idleness", candidates(0), false},
		{"new instance with batch tasks", candidates(0, wire.BatchLoad{Kind: "grade-report", Running: 2}), false},
		{"late because of batch tasks", candidates(1900*time.Millisecond, wire.BatchLoad{Kind: "grade-report", Running: 10}), true},
		{"second candidate in time", append(candidates(4*time.Second), candidates(time.Second)...), false},
	}
	for _, c := range cases {
		_, hold := ChooseUrgent(q, c.cs, m)
		if late := hold.Refusal == structs.RefusedDeadline; late != c.late {
			t.Errorf("%s: refused as late %v, want %v", c.name, late, c.late)
		}
	}
}
