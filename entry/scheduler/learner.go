package scheduler

import (
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// sampleEvery is the time between two samples of an agent; with many
	// agents it grows, so that the scheduler takes at most samplesPerSecond
	// on a machine of weakPower.
	sampleEvery      = 500 * time.Millisecond
	samplesPerSecond = 200
	// unknownPerSecond bounds the samples that are taken sooner beside pairs
	// that are not known.
	unknownPerSecond = 50
	// sameTime is how far apart two samples may be to show the same load of
	// a job, which changes within seconds.
	sameTime = 800 * time.Millisecond
	// othersCount is how much the comparison of a sample with other workers
	// counts; each pair of samples is met once, so that half of their number
	// is the number of those that tell something new. ownCount is the same
	// for the sample before: the job's own load has moved since.
	othersCount = 0.5
	ownCount    = 0.3
	// maxOthers bounds the other workers that a sample is compared with; the
	// order of a map picks them at random.
	maxOthers = 6
	// solveEvery is the time between two solutions of the model, maxFade what
	// a pause without samples counts for at most.
	solveEvery = 250 * time.Millisecond
	maxFade    = 5 * time.Second
	// harmlessExtra is the load below which a task does not press.
	harmlessExtra = 0.015
	// pressingExtra is the load above which it is to run elsewhere. A serving
	// task has 0.15 to spare at the top of its own load.
	pressingExtra = 0.05
)

// learner learns which images press on which. The tasks of one job carry the
// same load wherever they run, and hardly another one half a second later, so
// what differs between two samples of a job is what presses on it.
type learner struct {
	model pressure.Model
	// solved is when the model was last solved.
	solved time.Duration
	// base is the lowest tail seen of each serving image.
	base map[string]float64
	// latest is the last sample of each worker.
	latest map[workload.WorkerID]timedSample
	// own is the own load of each serving job.
	own    map[workload.JobID]ownLoad
	table  *weightTable
	trials trials
}

type timedSample struct {
	at time.Duration
	// tails are those of the serving jobs.
	tails map[workload.JobID]float64
	used  map[string]float64
}

// begin makes the learner ready for use.
func (l *learner) begin() {
	if l.latest == nil {
		l.latest = map[workload.WorkerID]timedSample{}
		l.own = map[workload.JobID]ownLoad{}
		l.base = map[string]float64{}
	}
}

// take learns from a worker's sample.
func (l *learner) take(w *worker, s *dispatch.TailSample, now time.Duration) {
	l.begin()
	this := timedSample{at: now, tails: map[workload.JobID]float64{}, used: map[string]float64{}}
	for _, f := range s.Filling {
		if f.Used > 0 {
			this.used[f.Image] = f.Used
		}
	}
	for _, v := range s.Serving {
		this.tails[v.Job] = v.Tail
		if b := l.base[v.Image]; b == 0 || v.Tail < b {
			l.base[v.Image] = v.Tail
		}
	}
	for _, v := range s.Serving {
		l.compare(v, w.id, this)
		l.takeOwn(v, this)
	}
	l.latest[w.id] = this
	if now-l.solved >= solveEvery {
		l.model.Solve(min(now-l.solved, maxFade))
		l.solved = now
		l.forgetOwn(now)
	}
}

// compare learns from what differs between a sample of a job and the last
// ones of the same job, on other workers and on its own.
func (l *learner) compare(v dispatch.ServingSample, at workload.WorkerID, this timedSample) {
	var others []timedSample
	for id, o := range l.latest {
		if o.tails[v.Job] == 0 || this.at-o.at > sameTime {
			continue
		}
		if id == at {
			l.model.Observe(l.difference(v, this, o, ownCount))
			continue
		}
		if len(others) < maxOthers {
			others = append(others, o)
		}
	}
	for _, o := range others {
		l.model.Observe(l.difference(v, this, o, othersCount/float64(len(others))))
	}
}

func (l *learner) difference(v dispatch.ServingSample, this, other timedSample, count float64) pressure.Sample {
	s := pressure.Sample{Serving: v.Image, Used: map[string]float64{}, Count: count}
	s.Load = l.base[v.Image] * (1/other.tails[v.Job] - 1/v.Tail)
	for image, u := range this.used {
		s.Used[image] += u
	}
	for image, u := range other.used {
		s.Used[image] -= u
	}
	return s
}

// workerPressure is how filling work presses on the serving images of a worker.
type workerPressure struct {
	// serving are the images, as rows of the table of weights.
	serving []int
	// load is what the filling tasks there, at full pace, put on each.
	load []float64
}

// weightTable holds the weights of all pairs of one version of the model by
// numbers: a plan looks some ten thousand of them up, and by names that took
// two thirds of its time.
type weightTable struct {
	version uint64
	serving map[string]int
	filling map[string]int
	// weights has a row for each serving image and a column for each filling
	// image; the last ones are those of images that are not known.
	weights [][]pressure.Weight
}

func newWeightTable(m *pressure.Model) *weightTable {
	t := &weightTable{version: m.Version(), serving: map[string]int{}, filling: map[string]int{}}
	serving := m.Serving()
	known := make([]map[string]pressure.Weight, len(serving))
	for i, image := range serving {
		t.serving[image] = i
		known[i] = m.Weights(image)
		for filling := range known[i] {
			if _, ok := t.filling[filling]; !ok {
				t.filling[filling] = len(t.filling)
			}
		}
	}
	unknown := m.Weight(pressure.Pair{})
	for i := range len(serving) + 1 {
		row := make([]pressure.Weight, len(t.filling)+1)
		for k := range row {
			row[k] = unknown
		}
		if i < len(serving) {
			for filling, w := range known[i] {
				row[t.filling[filling]] = w
			}
		}
		t.weights = append(t.weights, row)
	}
	return t
}

func (t *weightTable) row(serving string) int {
	if i, ok := t.serving[serving]; ok {
		return i
	}
	return len(t.serving)
}

func (t *weightTable) column(filling string) int {
	if i, ok := t.filling[filling]; ok {
		return i
	}
	return len(t.filling)
}

// weights is the table of the model as it is now.
func (l *learner) weights() *weightTable {
	if l.table == nil || l.table.version != l.model.Version() {
		l.table = newWeightTable(&l.model)
	}
	return l.table
}

// pressureOn works out what presses on w.
func (l *learner) pressureOn(w *worker) workerPressure {
	var p workerPressure
	if len(w.images) == 0 || w.info.Capacity.CPU == 0 {
		return p
	}
	t := l.weights()
	for image := range w.images {
		p.serving = append(p.serving, t.row(image))
	}
	p.load = make([]float64, len(p.serving))
	for image, cpu := range w.fills {
		column := t.column(image)
		for i, row := range p.serving {
			p.load[i] += t.weights[row][column].Value * float64(cpu) / float64(w.info.Capacity.CPU)
		}
	}
	return p
}

// pressedBy is the load on the most pressed serving image of w with one more
// task of s, whose image has the given column. presses says that this one is
// known to add to it.
func (t *weightTable) pressedBy(w *worker, p *workerPressure, s *workload.Step, column int) (worst float64, presses bool) {
	for i, row := range p.serving {
		own := t.weights[row][column]
		extra := own.Value * float64(s.Need.CPU) / float64(w.info.Capacity.CPU)
		presses = presses || own.Known && extra > pressingExtra
		if extra >= harmlessExtra {
			// What does not press adds nothing, however pressed the serving
			// task is by others.
			extra += p.load[i]
		}
		worst = max(worst, extra)
	}
	return worst, presses
}

// weakPower is the processor, in cores, for which the bounds on samples and
// tellings are; a stronger machine bears more of them.
const weakPower = 0.2

// strength is how many times weakPower a machine has, one at least.
func strength(power float64) float64 { return max(1, power/weakPower) }

// sampleTimes are the times between two samples of one of n agents: usually,
// and beside pairs of images of which it is not known whether they press.
//
// Beside many workers there are nearly always such pairs. Sampled twice as often
// by all of them, a weak machine is short of processor time, and short jobs wait
// for its scheduler; with so many workers enough samples come anyway.
func sampleTimes(n int, power float64) (usual, unknown time.Duration) {
	usual = max(sampleEvery, spread(n, samplesPerSecond*strength(power)))
	unknown = max(sampleEvery/2, spread(n, unknownPerSecond*strength(power)))
	return usual, min(usual, unknown)
}

// spread is the time in which each of n agents has its turn at so many turns a
// second.
func spread(n int, perSecond float64) time.Duration {
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}
