package order

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// simJob is a job of the queue model: width tasks of one core each, in each step.
type simJob struct {
	accepted, lastRun, idleSince, longestIdle, ended time.Duration
	spec                                             []workload.Step
	durations                                        [][]time.Duration
	placed, done                                     []int
	work                                             float64
	rank                                             Key
}

func (j *simJob) estimates() []time.Duration { return estimatedDurations(j.spec) }

func (j *simJob) objective() time.Duration {
	return Objective(queue(2), Chain(j.spec, j.estimates(), func(int) bool { return false }))
}

// expected is the time within which the client expects the job to end, given how
// long its tasks really take.
func (j *simJob) expected() time.Duration {
	length := time.Duration(0)
	for _, d := range j.durations {
		length += slices.Max(d)
	}
	return Objective(queue(2), length)
}

// step is the first step that is not complete.
func (j *simJob) step() int {
	for i := range j.spec {
		if j.done[i] < j.spec[i].Count {
			return i
		}
	}
	return -1
}

func (j *simJob) running() bool {
	s := j.step()
	return s >= 0 && j.placed[s] > j.done[s]
}

func (j *simJob) key(now time.Duration, aging bool) Key {
	left := Chain(j.spec, j.estimates(), func(i int) bool { return j.done[i] == j.spec[i].Count })
	total := Chain(j.spec, j.estimates(), func(int) bool { return false })
	k := Rank(queue(2), j.accepted, now, total, left)
	k.Work = Work(j.spec, j.estimates(), func(i int) int { return j.spec[i].Count - j.done[i] })
	if !aging {
		return k
	}
	p := Progress{Objective: j.objective(), Age: now - j.accepted, Remaining: k.Work, Total: j.work}
	if !j.running() {
		p.Idle = now - j.idleSince
	}
	return k.Weigh(p)
}

// simulation is a queue model of one pool of cores without workers.
type simulation struct {
	aging bool
	jobs  []*simJob
	ends  map[time.Duration][]simEnd
	share Share
	// takeover is when another scheduler takes over, 0 for never. waitsKnown says
	// that it knows since when the jobs have had no run.
	takeover   time.Duration
	waitsKnown bool
}

type simEnd struct {
	job  *simJob
	step int
}

const tick = 50 * time.Millisecond

// load makes jobs for the pool: for 60 s at 0.8 times the room, from 10 to
// 22 s at 1.5 and from 30 to 42 s at 2.1 times. Widths have a heavy tail, and 3 % of the
// tasks take seven times as long.
func load(seed int64, cores int) []*simJob {
	rng := rand.New(rand.NewSource(seed))
	var jobs []*simJob
	for at, due := time.Duration(0), 0.0; at < 60*time.Second; at += tick {
		factor := 0.8
		switch {
		case at >= 10*time.Second && at < 22*time.Second:
			factor = 1.5
		case at >= 30*time.Second && at < 42*time.Second:
			factor = 2.1
		}
		for due += factor * float64(cores) * tick.Seconds(); due > 0; {
			j := simulatedJob(rng, at)
			due -= j.work
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func simulatedJob(rng *rand.Rand, at time.Duration) *simJob {
	j := &simJob{accepted: at, lastRun: at, idleSince: at}
	steps := 1 + rng.Intn(3)
	j.placed, j.done = make([]int, steps), make([]int, steps)
	for i := range steps {
		width := min(120, 1+int(12*math.Exp(0.9*rng.NormFloat64())))
		took := time.Duration(2 * math.Exp(0.5*rng.NormFloat64()) * float64(time.Second))
		s := workload.Step{Count: width, Need: workload.Resources{CPU: 1000}, Estimate: took, Fills: true}
		if i > 0 {
			s.After = []int{i - 1}
		}
		var all []time.Duration
		for range width {
			d := time.Duration(float64(took) * math.Exp(0.2*rng.NormFloat64()))
			if rng.Float64() < 0.03 {
				d *= 7
			}
			all = append(all, d)
		}
		j.spec, j.durations = append(j.spec, s), append(j.durations, all)
	}
	j.work = Work(j.spec, j.estimates(), func(i int) int { return j.spec[i].Count })
	return j
}

func (s *simulation) run() {
	s.ends = map[time.Duration][]simEnd{}
	free := simCores
	for now := time.Duration(0); now < 300*time.Second; now += tick {
		for _, e := range s.ends[now] {
			e.job.done[e.step]++
			free++
			e.job.lastRun, e.job.idleSince = now, now
			if e.job.step() < 0 {
				e.job.ended = now
			}
		}
		if s.takeover > 0 && now == s.takeover {
			s.replaceScheduler(now)
		}
		free -= s.plan(now, free)
	}
}

func (s *simulation) replaceScheduler(now time.Duration) {
	s.share = Share{}
	for _, j := range s.jobs {
		if !s.waitsKnown && j.accepted < now {
			j.idleSince = now
		}
	}
}

func (s *simulation) plan(now time.Duration, free int) int {
	var waiting []*simJob
	var keys []Key
	for _, j := range s.jobs {
		if j.accepted <= now && j.ended == 0 {
			if !j.running() {
				j.longestIdle = max(j.longestIdle, now-j.lastRun)
			}
			waiting = append(waiting, j)
		}
	}
	if free == 0 {
		return 0
	}
	for _, j := range waiting {
		j.rank = j.key(now, s.aging)
	}
	slices.SortStableFunc(waiting, func(a, b *simJob) int { return a.rank.Compare(b.rank) })
	for _, j := range waiting {
		keys = append(keys, j.rank)
	}
	turns := Turns(keys)
	placed := 0
	for _, turn := range turns {
		if turn.First && !s.aging {
			continue
		}
		j := waiting[turn.Job]
		i := j.step()
		for j.placed[i] < j.spec[i].Count && placed < free {
			if turn.First && !s.share.MayGoFirst(now) {
				break
			}
			d := j.durations[i][j.placed[i]].Round(tick) + tick
			s.ends[now+d] = append(s.ends[now+d], simEnd{j, i})
			s.share.Add(now, j.spec[i].Estimate.Seconds(), turn.First)
			j.placed[i]++
			placed++
			if turn.First && keys[turn.Job].Starved {
				break
			}
		}
	}
	return placed
}

// figures describe the ends of jobs: large are the tenth of the jobs with the most
// work, next the fifth below it. starved had no run for three objectives.
type figures struct {
	jobs, inTime, ended, starved         int
	large, largeInTime, next, nextInTime int
}

func (f *figures) add(s *simulation) {
	byWork := slices.Clone(s.jobs)
	slices.SortFunc(byWork, func(a, b *simJob) int { return cmp.Compare(b.work, a.work) })
	for n, j := range byWork {
		inTime := 0
		if j.ended > 0 {
			f.ended++
			if j.ended-j.accepted <= j.expected() {
				inTime = 1
			}
		}
		if j.longestIdle > 3*j.objective() {
			f.starved++
		}
		f.jobs++
		f.inTime += inTime
		switch {
		case n < len(byWork)/10:
			f.large++
			f.largeInTime += inTime
		case n < 3*len(byWork)/10:
			f.next++
			f.nextInTime += inTime
		}
	}
}

const (
	simSeeds = 4
	simCores = 200
)

// Load: bursts of 1.5 and 2.1 times the room, mixed sizes with a heavy tail. No
// job may be starved, as many must end in time as in the plain order, and the
// large ones must not pay for the small ones.
func TestOverloadStarvesNoJob(t *testing.T) {
	var plain, aging figures
	for seed := range int64(simSeeds) {
		a, b := simulation{jobs: load(seed, simCores)}, simulation{aging: true, jobs: load(seed, simCores)}
		a.run()
		b.run()
		plain.add(&a)
		aging.add(&b)
	}
	t.Logf("plain %+v, aging %+v", plain, aging)
	if plain.starved == 0 {
		t.Error("the load starves no job in the plain order: it tests nothing")
	}
	if aging.starved > 0 || aging.ended < aging.jobs {
		t.Errorf("%d jobs starved, %d of %d ended", aging.starved, aging.ended, aging.jobs)
	}
	if aging.inTime < plain.inTime || aging.largeInTime < plain.largeInTime || aging.nextInTime < plain.nextInTime {
		t.Errorf("fewer jobs in time: %+v, plain %+v", aging, plain)
	}
	if 2*aging.largeInTime*aging.jobs < aging.inTime*aging.large || 2*aging.nextInTime*aging.jobs < aging.inTime*aging.next {
		t.Errorf("large jobs pay for the others: %+v", aging)
	}
}

// Guards against: the scheduler is replaced during an overload, its successor knows
// no wait and no share, and a job that was about to be served waits without bound.
func TestTakeoverStarvesNoJob(t *testing.T) {
	for _, known := range []bool{true, false} {
		for seed := range int64(simSeeds) {
			s := simulation{aging: true, jobs: load(seed, simCores), takeover: 38 * time.Second, waitsKnown: known}
			s.run()
			var f figures
			f.add(&s)
			if f.starved > 0 || f.ended < f.jobs {
				t.Errorf("waits known %t, seed %d: %+v", known, seed, f)
			}
		}
	}
}

// Guards against overdue jobs that wait for a few core-seconds behind jobs with a
// hundred times their work.
func TestNearlyDoneJobsComeFirst(t *testing.T) {
	overdue := Key{Class: Overdue, Work: 4}.Weigh(Progress{Objective: 7 * time.Second, Age: 30 * time.Second, Remaining: 4, Total: 260})
	inTime := Key{Work: 250}.Weigh(Progress{Objective: 9 * time.Second, Age: time.Second, Remaining: 250, Total: 250})
	if overdue.Compare(inTime) >= 0 || inTime.Compare(overdue) <= 0 {
		t.Errorf("a job that lacks 4 of 260 core-seconds comes after a fresh one: cost %v and %v", overdue.Cost, inTime.Cost)
	}
	begun := Key{Class: Overdue, Work: 130}.Weigh(Progress{Objective: 7 * time.Second, Age: 30 * time.Second, Remaining: 130, Total: 260})
	if begun.Compare(inTime) <= 0 {
		t.Errorf("an overdue job with half of its work left comes before one that can be in time: cost %v and %v", begun.Cost, inTime.Cost)
	}
}

func TestAgedJobsKeepToTheirShare(t *testing.T) {
	var s Share
	first := 0.0
	for n := range 1000 {
		now := time.Duration(n) * tick
		aged := s.MayGoFirst(now)
		s.Add(now, 2, aged)
		if aged {
			first += 2
		}
	}
	if got := first / 2000; math.Abs(got-agedShare) > 0.02 {
		t.Errorf("aged jobs got %.3f of the work, want %.3f", got, agedShare)
	}
	if !s.MayGoFirst(time.Hour) {
		t.Error("no aged job may go first after an hour without work")
	}
}

// A starved job comes before all others of its priority, an overdue one after it,
// and no suspect or job of lower priority.
func TestTurns(t *testing.T) {
	keys := []Key{
		{Priority: 0, Class: Overdue}, {Priority: 1}, {Priority: 1, Class: Late, Starved: true}, {Priority: 1, Class: Overdue}, {Priority: 1, Class: Overdue, Suspect: true},
	}
	want := []Turn{{0, true}, {0, false}, {2, true}, {3, true}, {1, false}, {2, false}, {3, false}, {4, false}}
	if got := Turns(keys); !slices.Equal(got, want) {
		t.Errorf("turns %v, want %v", got, want)
	}
}
