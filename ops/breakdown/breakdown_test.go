package breakdown

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// A job of two steps with an objective of 12 s. Its first step has one task,
// which waits for 1 s. The second step starts after the first. Of its three
// tasks, two work for 2 s. The third is stopped after 1 s, starts elsewhere 500
// ms later, has pace 0 for 2 s and works for 3 s.
const sampleLog = `
{"process":"entry-1","job":"j1","objective":12000,"time":10000,"message":"job known"}
{"process":"entry-1","run":"j1.0.0.0#1","worker":"w1","time":11000,"message":"placed"}
{"process":"agent-1","run":"j1.0.0.0#1","image":"f","fills":true,"cpu":4000,"time":11100,"message":"start"}
{"process":"agent-1","run":"j1.0.0.0#1","how":"done","time":13100,"message":"run ended"}
{"process":"entry-1","run":"j1.0.0.0#1","how":"done","ran":2100,"time":13100,"message":"run ended"}
{"process":"entry-1","run":"j1.0.1.0#1","worker":"w1","time":13100,"message":"placed"}
{"process":"entry-1","run":"j1.0.1.1#1","worker":"w1","time":13100,"message":"placed"}
{"process":"entry-1","run":"j1.0.1.2#1","worker":"w2","time":13100,"message":"placed"}
{"process":"agent-1","run":"j1.0.1.0#1","image":"f","fills":true,"cpu":4000,"time":13100,"message":"start"}
{"process":"agent-1","run":"j1.0.1.1#1","image":"f","fills":true,"cpu":4000,"time":13100,"message":"start"}
{"process":"agent-2","run":"j1.0.1.2#1","image":"f","fills":true,"cpu":4000,"time":13100,"message":"start"}
{"process":"entry-1","run":"j1.0.1.2#1","how":"stopped","ran":1000,"time":14100,"message":"run ended"}
{"process":"agent-2","run":"j1.0.1.2#1","how":"stopped","checkpoint":false,"time":14100,"message":"run ended"}
{"process":"entry-1","run":"j1.0.1.2#2","worker":"w3","time":14600,"message":"placed"}
{"process":"agent-3","run":"j1.0.1.2#2","image":"f","fills":true,"cpu":4000,"time":14600,"message":"start"}
{"process":"entry-1","run":"j1.0.1.0#1","how":"done","ran":2000,"time":15100,"message":"run ended"}
{"process":"entry-1","run":"j1.0.1.1#1","how":"done","ran":2000,"time":15100,"message":"run ended"}
{"process":"agent-3","job":"j1","image":"f","pace":0,"time":15600,"message":"pace"}
{"process":"agent-3","job":"j1","image":"f","pace":1,"time":17600,"message":"pace"}
{"process":"agent-3","job":"j2","image":"f","pace":0,"time":17700,"message":"pace"}
{"process":"entry-1","run":"j1.0.1.2#2","how":"done","ran":5000,"time":19600,"message":"run ended"}
{"process":"entry-1","job":"j1","state":"completed","time":19700,"message":"job ended"}
{"process":"entry-1","job":"j2","objective":12000,"time":12000,"message":"job known"}
{"process":"agent-3","run":"j2.0.0.0#1","image":"f","fills":true,"cpu":4000,"time":17700,"message":"start"}
{"process":"agent-1","run":"s.0.0.0#1","image":"a","over":1500,"filled":true,"time":18000,"message":"tail was over its target"}
{"process":"agent-1","run":"s.0.0.1#1","image":"a","over":1000,"filled":false,"time":18000,"message":"tail was over its target"}
  12.3 edge not a structured line {broken
`

func TestReport(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(sampleLog)); err != nil {
		t.Fatal(err)
	}
	r := l.Report()
	if r.ByClass[InTime].Jobs != 1 || r.Unfinished != 1 || r.OverTarget != 2.5 || r.OverTargetFilled != 1.5 {
		t.Errorf("%d in time, %d not ended, targets exceeded for %.1f and %.1f s", r.ByClass[InTime].Jobs, r.Unfinished, r.OverTarget, r.OverTargetFilled)
	}
	want := [causes]float64{Working: 4, Straggling: 1, Waiting: 1, Paced: 2, Repeating: 1.5, Recording: 0.2}
	total := 0.0
	for c, seconds := range r.ByClass[InTime].Seconds {
		total += seconds
		if math.Abs(seconds-want[c]) > 1e-9 {
			t.Errorf("%s: %.2f s, want %.2f", Cause(c).Name(), seconds, want[c])
		}
		if core := r.ByClass[InTime].CoreSeconds[c]; math.Abs(core-4*seconds) > 1e-9 {
			t.Errorf("%s: %.2f core-seconds, want %.2f", Cause(c).Name(), core, 4*seconds)
		}
	}
	if math.Abs(total-9.7) > 1e-9 {
		t.Errorf("the causes sum up to %.2f s, the job took 9.7", total)
	}
	var text strings.Builder
	if err := r.Print(&text); err != nil || !strings.Contains(text.String(), "1 in time, 0 late") {
		t.Errorf("%v:\n%s", err, text.String())
	}
}

// stepLog is sampleLog as a scheduler with hundreds of workers writes it: one
// line for the placements of a step, and no line for a run that ended as done,
// which only the agents log.
var stepLog = strings.NewReplacer(
	`{"process":"entry-1","run":"j1.0.1.0#1","worker":"w1","time":13100,"message":"placed"}
{"process":"entry-1","run":"j1.0.1.1#1","worker":"w1","time":13100,"message":"placed"}
{"process":"entry-1","run":"j1.0.1.2#1","worker":"w2","time":13100,"message":"placed"}`,
	`{"process":"entry-1","job":"j1","occurrence":0,"step":1,"placements":["0#1@w1","1#1@w1","2#1@w2"],"time":13100,"message":"placed"}`,
	`{"process":"entry-1","run":"j1.0.0.0#1","how":"done","ran":2100,`, `{"process":"agent-1","run":"j1.0.0.0#1","how":"done",`,
	`{"process":"entry-1","run":"j1.0.1.0#1","how":"done","ran":2000,`, `{"process":"agent-1","run":"j1.0.1.0#1","how":"done",`,
	`{"process":"entry-1","run":"j1.0.1.1#1","how":"done","ran":2000,`, `{"process":"agent-1","run":"j1.0.1.1#1","how":"done",`,
	`{"process":"entry-1","run":"j1.0.1.2#2","how":"done","ran":5000,`, `{"process":"agent-3","run":"j1.0.1.2#2","how":"done",`,
).Replace(sampleLog)

// A scheduler with thousands of runs a second does not log each run: the report
// must be the same from one line per step and the ends logged by the agents.
func TestReportFromStepLines(t *testing.T) {
	if strings.Contains(stepLog, `"done","ran"`) || strings.Contains(stepLog, `1.1#1","worker"`) {
		t.Fatal("the sample still has lines of single runs")
	}
	reports := make([]Report, 2)
	for i, text := range []string{sampleLog, stepLog} {
		var l Log
		if err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		reports[i] = l.Report()
	}
	if diff := cmp.Diff(reports[0], reports[1], cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Errorf("lines of runs (-) and of steps (+):\n%s", diff)
	}
}

// A process had to leave lines out of its log. The report must show that its
// figures are incomplete.
func TestReportNamesGaps(t *testing.T) {
	const gap = `{"process":"entry-1","lines":12,"kinds":{"placed":10,"step done":2},"time":14000,"message":"lines left out"}`
	var l Log
	if err := l.Read(strings.NewReader(sampleLog + gap + "\n" + gap)); err != nil {
		t.Fatal(err)
	}
	r := l.Report()
	var text strings.Builder
	if err := r.Print(&text); err != nil || !strings.Contains(text.String(), `gaps: 20 lines "placed"`) {
		t.Errorf("%v:\n%s", err, text.String())
	}
}

// The work that a stopped run saved counts as useful, like that of the next
// run.
func TestSavedWorkCountsAsUseful(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(strings.Replace(sampleLog, `"checkpoint":false`, `"checkpoint":true`, 1))); err != nil {
		t.Fatal(err)
	}
	got := l.Report().ByClass[InTime].Seconds
	want := [causes]float64{Working: 4, Straggling: 2, Waiting: 1, Paced: 2, Repeating: 0.5, Recording: 0.2}
	for c := range got {
		if math.Abs(got[c]-want[c]) > 1e-9 {
			t.Errorf("%s: %.2f s, want %.2f", Cause(c).Name(), got[c], want[c])
		}
	}
}

// An operator may pass only an entry's log, or a short period. Time that
// missing lines would explain must not be attributed to a cause.
func TestReportOfIncompleteLog(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(sampleLog), "\n")
	for skip := range lines {
		var l Log
		part := append(append([]string{}, lines[:skip]...), lines[skip+1:]...)
		if err := l.Read(strings.NewReader(strings.Join(part, "\n"))); err != nil {
			t.Fatal(err)
		}
		r := l.Report()
		for class := range r.ByClass {
			for c, seconds := range r.ByClass[class].Seconds {
				if seconds < 0 || seconds > 20 {
					t.Errorf("without line %d: %s takes %.1f s", skip, Cause(c).Name(), seconds)
				}
			}
		}
	}
}

// within fails the test if f takes longer than 5 s, the limit for a day's log.
func within(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the report did not end within 5 s")
	}
}

// An agent's clock jumps back, so that its run's end is earlier than the run's
// placement. Guards against an endless loop: the path back from the job's end
// returns to the same task again and again.
func TestReportEndsWhenTimesRunBackwards(t *testing.T) {
	const log = `
{"process":"entry-1","job":"j1","objective":12000,"time":10000,"message":"job known"}
{"process":"entry-1","run":"j1.0.0.0#1","worker":"w1","time":11000,"message":"placed"}
{"process":"agent-1","run":"j1.0.0.0#1","image":"f","fills":true,"cpu":4000,"time":8000,"message":"start"}
{"process":"agent-1","run":"j1.0.0.0#1","how":"done","time":10500,"message":"run ended"}
{"process":"entry-1","job":"j1","state":"completed","time":13200,"message":"job ended"}
`
	within(t, func() {
		var l Log
		if err := l.Read(strings.NewReader(log)); err != nil {
			t.Error(err)
		}
		if r := l.Report(); r.ByClass[InTime].Jobs != 1 {
			t.Errorf("%d jobs in time", r.ByClass[InTime].Jobs)
		}
	})
}

// Logs are cut, shuffled, and shifted by clocks that jump either way: the
// report always ends and can be printed.
func FuzzReportOfDisorderedLogs(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed, int64(seed)*1000)
	}
	f.Add(uint64(3), int64(math.MaxInt64/2))
	f.Fuzz(func(t *testing.T, seed uint64, most int64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		lines := strings.Split(strings.TrimSpace(sampleLog+stepLog), "\n")
		rng.Shuffle(len(lines), func(i, k int) { lines[i], lines[k] = lines[k], lines[i] })
		lines = lines[:rng.IntN(len(lines))+1]
		for i, l := range lines {
			if before, rest, ok := strings.Cut(l, `"time":`); ok {
				shift := (rng.Float64() - 0.5) * float64(most)
				lines[i] = fmt.Sprintf(`%s"steady_us":%f,"time":%f,"was":%s`, before, shift*rng.Float64(), shift, rest)
			}
			if rng.IntN(10) == 0 {
				lines[i] = l[:rng.IntN(len(l)+1)]
			}
		}
		within(t, func() {
			var l Log
			if err := l.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
				t.Error(err)
			}
			r := l.Report()
			if err := r.Print(io.Discard); err != nil {
				t.Error(err)
			}
		})
	})
}
