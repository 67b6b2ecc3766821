package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// meteredRunner is a runner with one filling run, listed every half second.
type meteredRunner struct {
	*Runner
	now time.Duration
	x   *run
}

func newMeteredRunner(ask bool) *meteredRunner {
	m := &meteredRunner{now: time.Hour}
	m.Runner = New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return m.now }})
	m.applyUpdate(&dispatch.WatchArgs{Work: ask})
	m.incarnation = &incarnation{runs: map[workload.RunID]*run{}}
	m.x = &run{id: workload.RunID{Task: workload.TaskID{Job: "j"}, Run: 1}, fills: true, image: "f"}
	m.incarnation.runs[m.x.id] = m.x
	m.confirmRun(m.incarnation, m.x, 0)
	m.version++
	return m
}

// work lists the run n times at a pace and returns the reports of its work, as a
// scheduler reads them that asks for changes after each listing.
func (m *meteredRunner) work(n, pace, progress int) (reports []dispatch.RunWork) {
	for range n {
		since := m.version
		m.now += 500 * time.Millisecond
		m.incarnation.paces = map[paceKey]float64{m.x.paceKey(): float64(pace) / fullPace}
		m.paceOrders(m.incarnation)
		m.applyRunning(m.incarnation, workerctl.RunStatus{Run: m.x.id, Progress: progress, Rough: 1})
		for _, r := range m.report(since).Runs {
			if r.Work != nil {
				reports = append(reports, *r.Work)
			}
		}
	}
	return reports
}

// Guards against traffic for runs that get on well, or as before: a run at full
// pace isn't reported, a run whose pace has changed once or twice.
func TestWorkIsReportedWhenThePaceChanges(t *testing.T) {
	m := newMeteredRunner(true)
	if got := m.work(20, 100, 5); len(got) != 0 {
		t.Errorf("at full pace: %+v", got)
	}
	got := m.work(20, 10, 5)
	if len(got) < 2 || len(got) > 4 || got[len(got)-1].Pace > 0.4 {
		t.Errorf("at a tenth for 10 s: %+v", got)
	}
	if got := m.work(10, 10, 5); len(got) != 0 {
		t.Errorf("at a tenth for 5 s more: %+v", got)
	}
	if got := m.work(10, 100, 5); len(got) < 2 || got[len(got)-1].Pace < 0.7 {
		t.Errorf("at full pace again: %+v", got)
	}
}

func TestNoWorkIsReportedUnlessRequested(t *testing.T) {
	m := newMeteredRunner(false)
	if got := m.work(20, 10, 5); len(got) != 0 {
		t.Errorf("reports %+v", got)
	}
	if r := m.report(0).Runs; len(r) != 1 || r[0].Work != nil {
		t.Errorf("the whole state is %+v", r)
	}
}

// A task may take seven times as long as the others of its step: what is left
// follows from the run's progress for its work, whatever its pace was.
func TestRemainingWorkFollowsFromTheProgress(t *testing.T) {
	m := newMeteredRunner(true)
	m.work(1, 50, 0)
	got := m.work(8, 50, 20)
	if len(got) == 0 {
		t.Fatal("no report of a run at half pace")
	}
	last := m.report(0).Runs[0].Work
	if want := 8 * time.Second; last.Left < want-time.Second || last.Left > want+time.Second {
		t.Errorf("%v left after 2 s of work and a fifth of the progress, want %v", last.Left, want)
	}
}

// Guards against a scheduler's successor that never hears of a pace which does
// not change any more.
func TestWholeStateHoldsTheWork(t *testing.T) {
	m := newMeteredRunner(true)
	m.work(20, 10, 5)
	for range 2 {
		if w := m.report(0).Runs[0].Work; w == nil || w.Pace > 0.4 {
			t.Errorf("the whole state holds the work %+v", w)
		}
	}
}
