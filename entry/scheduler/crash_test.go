package scheduler

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// crashTerm is a term with jobs of one task each.
func crashTerm(ids ...workload.JobID) *Term {
	t := &Term{jobs: map[workload.JobID]*job{}, workers: map[workload.WorkerID]*worker{}, kick: make(chan struct{}, 1)}
	t.deps = Deps{Log: zerolog.Nop(), Counters: &Counters{}, Now: func() time.Duration { return time.Hour }}
	for _, id := range ids {
		j := newJob(workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}})
		j.begin(time.Now())
		t.jobs[id] = j
	}
	return t
}

// crash lets a worker crash under fresh runs of the jobs, which were there for
// certain if begun, and had begun within moments if soon.
func (t *Term) crash(id workload.WorkerID, begun, soon bool, jobs ...workload.JobID) {
	w := newWorker(id, "node")
	t.workers[id] = w
	fresh := map[workload.RunID]dispatch.FreshRun{}
	for _, j := range jobs {
		s := t.jobs[j].occurrences[0].steps[0]
		k := &s.tasks[0]
		k.run++
		k.state, k.worker, k.storedRun = taskPlaced, id, k.run
		s.waiting--
		r := workload.RunID{Task: workload.TaskID{Job: j}, Run: k.run}
		w.add(r, s.spec)
		fresh[r] = dispatch.FreshRun{Run: r, Begun: begun, Soon: soon}
	}
	t.dead(id, loss{told: true, fresh: fresh})
}

// Failure guarded against: an innocent job is given up with one that crashes workers, or that one never.
func TestJobIsGivenUpOnlyForCrashesThatItAloneCanHaveCaused(t *testing.T) {
	type crash struct {
		begun, soon bool
		jobs        []workload.JobID
	}
	both, one := []workload.JobID{"a", "b"}, []workload.JobID{"a"}
	cases := []struct {
		name    string
		crashes []crash
		want    workload.State
	}{
		{"twice alone", []crash{{true, false, one}, {true, false, one}}, workload.Failed},
		{"once among others, once alone", []crash{{true, true, both}, {true, true, one}}, workload.Queued},
		{"once among others, twice alone", []crash{{true, false, both}, {true, false, one}, {true, false, one}}, workload.Failed},
		{"twice alone, by orders without an answer", []crash{{false, false, one}, {false, false, one}}, workload.Queued},
		{"four times among others", []crash{{true, true, both}, {true, true, both}, {true, true, both}, {true, true, both}}, workload.Queued},
		{"three times at once, the last alone", []crash{{true, true, both}, {true, true, both}, {true, true, one}}, workload.Failed},
		{"five times in doubt", []crash{{false, false, one}, {true, true, both}, {false, false, both}, {true, true, both}, {false, false, one}}, workload.Failed},
	}
	for _, c := range cases {
		term := crashTerm("a", "b")
		for i, x := range c.crashes {
			term.crash(workload.WorkerID(rune('0'+i)), x.begun, x.soon, x.jobs...)
		}
		if got := term.jobs["a"].state; got != c.want {
			t.Errorf("%s: job %s, want %s", c.name, got, c.want)
		}
	}
}
