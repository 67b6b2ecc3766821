package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

var queue = workload.Queue{Name: "q", Stretch: 2, TargetLatency: time.Second}

// jobOf returns a job of one step with tasks of a second on one core.
func jobOf(id string, tasks int) *workload.Job {
	return &workload.Job{ID: workload.JobID(id), Steps: []workload.Step{{Count: tasks, Need: workload.Resources{CPU: 1000}, Estimate: time.Second}}}
}

// outlook returns an outlook in which jobs with up to 5 core-seconds wait for
// small, and larger ones for large.
func outlook(small, large time.Duration) forecast.Outlook {
	const cores = 10
	b := forecast.Backlog{Cores: cores, Steps: []forecast.BacklogStep{{UpTo: 5, Ahead: cores * small.Seconds()}, {UpTo: 50, Ahead: cores * large.Seconds()}}}
	return forecast.Outlook{At: time.Hour, Loads: map[string]forecast.Load{"q": {Reserved: b}}}
}

// Guards against a refusal in doubt or with room free.
func TestDoubtAccepts(t *testing.T) {
	const never = time.Hour
	full := outlook(never, never)
	gang, lasting, gpu, repeated := jobOf("a", 1), jobOf("a", 1), jobOf("a", 1), jobOf("a", 1)
	gang.Steps[0].Gang, lasting.Steps[0].Lasting, gpu.Steps[0].Need.GPU, repeated.Repeat.Count = true, true, 1, 2
	unestimated, filling := jobOf("a", 1), jobOf("a", 1)
	unestimated.Steps[0].Estimate, filling.Steps[0].Fills = 0, true
	noRoom := forecast.Outlook{At: time.Hour, Loads: map[string]forecast.Load{"q": {Reserved: forecast.Backlog{Steps: full.Loads["q"].Reserved.Steps}}}}
	other := workload.Queue{Name: "other", Stretch: 2}
	for name, c := range map[string]struct {
		queue workload.Queue
		job   *workload.Job
		o     forecast.Outlook
		age   time.Duration
		want  Reason
	}{
		"no outlook":            {queue, jobOf("a", 1), forecast.Outlook{}, 0, NoOutlook},
		"another queue":         {other, jobOf("a", 1), full, 0, NoOutlook},
		"no objective":          {workload.Queue{Name: "q"}, jobOf("a", 1), full, 0, NoOutlook},
		"old":                   {queue, jobOf("a", 1), full, MaxAge + 1, OldOutlook},
		"no room is known":      {queue, jobOf("a", 1), noRoom, 0, NoOutlook},
		"gang":                  {queue, gang, full, 0, Exempt},
		"lasting":               {queue, lasting, full, 0, Exempt},
		"accelerators":          {queue, gpu, full, 0, Exempt},
		"repeated":              {queue, repeated, full, 0, Exempt},
		"no estimate":           {queue, unestimated, full, 0, Exempt},
		"room of another kind":  {queue, filling, full, 0, NoOutlook},
		"room free":             {queue, jobOf("a", 1), outlook(0, 0), 0, InUse},
		"late, but of some use": {queue, jobOf("a", 1), outlook(8*time.Second, never), 0, InUse},
		"of no use":             {queue, jobOf("a", 1), outlook(30*time.Second, never), MaxAge, TooLate},
	} {
		if v := Decide(c.queue, Describe(c.job), c.o, c.age); v.Reason != c.want {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Guards against small jobs that are refused while large ones take the room.
func TestLargestWaitIsRefusedFirst(t *testing.T) {
	o := outlook(4*time.Second, 40*time.Second)
	if v := Decide(queue, Describe(jobOf("a", 4)), o, 0); v.Refused() {
		t.Errorf("the small job: %+v", v)
	}
	if v := Decide(queue, Describe(jobOf("a", 40)), o, 0); !v.Refused() || v.Excess <= 0 {
		t.Errorf("the large job: %+v", v)
	}
}

const (
	overloadCores = 10.0
	// overloadEvery makes two jobs of 10 core-seconds arrive a second: twice what
	// the cores do.
	overloadEvery = 500 * time.Millisecond
	overloadFor   = time.Minute
	overloadStep  = 50 * time.Millisecond
	clientRetries = 4
)

// overload plays an overload of twice the capacity for a minute. The cores serve
// the accepted jobs in the product's order. Refused clients come back when they
// are told to.
type overload struct {
	admit   bool
	due     map[time.Duration][]*caller
	waiting []*caller
	booked  time.Duration
	away    int
	// useful and useless count accepted jobs by their end, givenUp the clients
	// that were refused to the end. idle is the time without work while clients
	// are away. lastEnd is the last end of an accepted job. returns counts the
	// returns by second.
	useful, useless, givenUp int
	idle, lastEnd            time.Duration
	returns                  map[time.Duration]int
}

type caller struct {
	job      *workload.Job
	accepted time.Duration
	tries    int
	left     float64
}

func (o *overload) run() *overload {
	o.due, o.returns = map[time.Duration][]*caller{}, map[time.Duration]int{}
	for n := range int(overloadFor / overloadEvery) {
		at := time.Duration(n) * overloadEvery
		o.due[at] = append(o.due[at], &caller{job: jobOf(fmt.Sprint(n), 10)})
	}
	for now := time.Duration(0); now < 4*overloadFor; now += overloadStep {
		for _, c := range o.due[now] {
			o.arrive(c, now)
		}
		o.serve(now)
	}
	return o
}

func (o *overload) arrive(c *caller, now time.Duration) {
	if c.tries > 0 {
		o.away--
		o.returns[now.Truncate(time.Second)]++
	}
	j := Describe(c.job)
	ahead := 0.0
	for _, w := range o.waiting {
		ahead += w.left
	}
	backlog := forecast.Backlog{Cores: overloadCores, Steps: []forecast.BacklogStep{{UpTo: j.Work, Ahead: ahead}}}
	v := Decide(queue, j, forecast.Outlook{At: 1, Loads: map[string]forecast.Load{"q": {Reserved: backlog}}}, 0)
	if !o.admit || !v.Refused() {
		c.accepted, c.left = now, j.Work
		o.waiting = append(o.waiting, c)
		return
	}
	if c.tries++; c.tries > clientRetries {
		o.givenUp++
		return
	}
	booked := max(0, o.booked-now)
	at := (now + RetryAfter(v, j, booked)).Truncate(overloadStep) + overloadStep
	o.booked = now + Book(booked, v.Excess, Slot(j.Work, v.Cores))
	o.due[at] = append(o.due[at], c)
	o.away++
}

// serve gives all cores to the job that is first in the product's order.
func (o *overload) serve(now time.Duration) {
	if len(o.waiting) == 0 && o.away > 0 {
		o.idle += overloadStep
	}
	if len(o.waiting) == 0 {
		return
	}
	key := func(c *caller) order.Key {
		chain := Describe(c.job).Chain
		return order.Rank(queue, c.accepted, now, chain, min(chain, time.Duration(c.left/overloadCores*float64(time.Second))))
	}
	first := slices.MinFunc(o.waiting, func(a, b *caller) int { return key(a).Compare(key(b)) })
	if first.left -= overloadCores * overloadStep.Seconds(); first.left > 0 {
		return
	}
	o.waiting = slices.DeleteFunc(o.waiting, func(c *caller) bool { return c == first })
	o.lastEnd = now
	if now-first.accepted <= usefulObjectives*order.Objective(queue, Describe(first.job).Chain) {
		o.useful++
	} else {
		o.useless++
	}
}

// An overload of twice the capacity for a minute. Guards against jobs that are
// accepted and end when they are of no use, against room that is idle while
// clients were sent away, and against returns at the same moment.
func TestOverload(t *testing.T) {
	without, with := (&overload{}).run(), (&overload{admit: true}).run()
	for _, o := range []*overload{without, with} {
		t.Logf("admission %t: %d ended while of use, %d later, %d clients gave up; last end %v after the last arrival, %v idle", o.admit, o.useful, o.useless, o.givenUp, o.lastEnd-overloadFor, o.idle)
	}
	if with.useful < without.useful {
		t.Errorf("%d jobs end while of use, %d without admission", with.useful, without.useful)
	}
	if with.useless > without.useless/2 {
		t.Errorf("%d accepted jobs end too late, %d without admission", with.useless, without.useless)
	}
	if with.idle > 0 {
		t.Errorf("the room is idle for %v while refused clients are away", with.idle)
	}
	for at, n := range with.returns {
		if n > 4 {
			t.Errorf("%d clients come back within the second from %v", n, at)
		}
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	j := Describe(jobOf("a", 10))
	for _, v := range []Verdict{{Cores: 10}, {Excess: time.Hour, Cores: 10}, {Excess: time.Second}, {Excess: time.Second, Cores: 1e-9}} {
		if after := RetryAfter(v, j, 0); after < minReturn || after > maxReturn {
			t.Errorf("%+v: %v", v, after)
		}
	}
	if RetryAfter(Verdict{Cores: 10}, j, 20*time.Second) < 20*time.Second {
		t.Error("the client comes back while the room is promised to others")
	}
}
