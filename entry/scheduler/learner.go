package scheduler

import (
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// sampleEvery is the usual time between two samples of tail latencies from an
	// agent. With many agents, the time is longer, so that a scheduler on a
	// machine of weakPower receives at most samplesPerSecond.
	sampleEvery      = 500 * time.Millisecond
	samplesPerSecond = 200
	// unknownPerSecond bounds the samples taken at shorter intervals on workers
	// with a filling image whose pressure on a serving image is unknown.
	unknownPerSecond = 50
	// sameLoadWindow is the longest time between two samples that count as taken
	// at the same load of a job; the load changes within seconds.
	sameLoadWindow = 800 * time.Millisecond
	// othersCount is the weight of a sample's comparison with samples of other
	// workers: each pair of samples is compared once, so half of the comparisons
	// add information. ownCount is the weight of the comparison with the worker's
	// previous sample: the job's own load may have changed in between.
	othersCount = 0.5
	ownCount    = 0.3
	// maxOthers bounds the other workers that a sample is compared with; map
	// iteration picks them at random.
	maxOthers = 6
	// solveEvery is the time between two computations of the weights, maxFade the
	// longest time for which a computation lets the evidence fade after a pause
	// without samples.
	solveEvery = 250 * time.Millisecond
	maxFade    = 5 * time.Second
	// harmlessExtra is the extra load below which a filling task counts as not
	// pressing on a serving image.
	harmlessExtra = 0.015
	// pressingExtra is the extra load above which a filling task should run
	// elsewhere. A serving task can bear 0.15 more than its highest own load.
	pressingExtra = 0.05
)

// learner learns which filling images press on which serving images. All tasks
// of a job carry the same load, which hardly changes in half a second. So a
// difference between two samples of a job shows pressure.
type learner struct {
	model pressure.Model
	// solvedAt is when the model was last solved.
	solvedAt time.Duration
	// baseTails is the lowest tail latency observed of each serving image.
	baseTails map[string]float64
	// latest is the last sample of each worker.
	latest map[workload.WorkerID]timedSample
	// ownLoads is the own load of each serving job.
	ownLoads map[workload.JobID]ownLoad
	table    *weightTable
	trials   trials
}

type timedSample struct {
	at time.Duration
	// tails holds tail latencies by job, used the share of the worker that each
	// filling image uses.
	tails map[workload.JobID]float64
	used  map[string]float64
}

func (l *learner) initMaps() {
	if l.latest == nil {
		l.latest = map[workload.WorkerID]timedSample{}
		l.ownLoads = map[workload.JobID]ownLoad{}
		l.baseTails = map[string]float64{}
	}
}

func (l *learner) observe(w *worker, s *dispatch.TailSample, now time.Duration) {
	l.initMaps()
	this := timedSample{at: now, tails: map[workload.JobID]float64{}, used: map[string]float64{}}
	for _, f := range s.Filling {
		if f.Used > 0 {
			this.used[f.Image] = f.Used
		}
	}
	for _, v := range s.Serving {
		this.tails[v.Job] = v.Tail
		if b := l.baseTails[v.Image]; b == 0 || v.Tail < b {
			l.baseTails[v.Image] = v.Tail
		}
	}
	for _, v := range s.Serving {
		l.compare(v, w.id, this)
		l.updateOwnLoad(v, this)
	}
	l.latest[w.id] = this
	if now-l.solvedAt >= solveEvery {
		l.model.Solve(min(now-l.solvedAt, maxFade))
		l.solvedAt = now
		l.dropStaleLoads(now)
	}
}

// compare learns from the differences between a sample of a job and the latest
// samples of the same job, on other workers and on the same one.
func (l *learner) compare(v dispatch.ServingSample, at workload.WorkerID, this timedSample) {
	var others []timedSample
	for id, o := range l.latest {
		if o.tails[v.Job] == 0 || this.at-o.at > sameLoadWindow {
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
	s.Load = l.baseTails[v.Image] * (1/other.tails[v.Job] - 1/v.Tail)
	for image, u := range this.used {
		s.Used[image] += u
	}
	for image, u := range other.used {
		s.Used[image] -= u
	}
	return s
}

// workerPressure is the pressure of filling work on the serving images of a
// worker.
type workerPressure struct {
	// serving are the images, as rows of the table of weights.
	serving []int
	// load is the load of the worker's filling tasks, at full pace, on each image.
	load []float64
}

// weightTable holds the weights of all pairs of one version of the model,
// indexed by numbers of images: a plan reads some ten thousand weights, and
// lookups by name would take two thirds of the plan's time.
type weightTable struct {
	version uint64
	serving map[string]int
	filling map[string]int
	// weights has a row for each serving image and a column for each filling
	// image; the last row and column are for unknown images.
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

// weights returns the table of the present version of the model.
func (l *learner) weights() *weightTable {
	if l.table == nil || l.table.version != l.model.Version() {
		l.table = newWeightTable(&l.model)
	}
	return l.table
}

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

// pressedBy returns the load that filling tasks would put on the most pressed
// serving image of w with one more task of s, whose image has the given column.
// presses says that this task is known to press on a serving image of w.
func (t *weightTable) pressedBy(w *worker, p *workerPressure, s *workload.Step, column int) (worst float64, presses bool) {
	for i, row := range p.serving {
		own := t.weights[row][column]
		extra := own.Value * float64(s.Need.CPU) / float64(w.info.Capacity.CPU)
		presses = presses || own.Known && extra > pressingExtra
		if extra >= harmlessExtra {
			// The load of other filling tasks counts only if this task presses.
			extra += p.load[i]
		}
		worst = max(worst, extra)
	}
	return worst, presses
}

// weakPower is the processor power, in cores, for which the bounds on samples
// and updates are set; the bounds grow with the machine's power.
const weakPower = 0.2

// powerScale is the power of a machine as a multiple of weakPower, at least 1.
func powerScale(power float64) float64 { return max(1, power/weakPower) }

// sampleIntervals returns the time between two samples of one of n agents: the
// usual one, and that for workers with a pair of images of unknown pressure.
//
// A large fleet nearly always has such pairs. If all its workers were sampled
// twice as often, a weak machine would lack processor time, and short jobs
// would wait for the scheduler. With many workers there are enough samples
// anyway.
func sampleIntervals(n int, power float64) (usual, unknown time.Duration) {
	usual = max(sampleEvery, turnInterval(n, samplesPerSecond*powerScale(power)))
	unknown = max(sampleEvery/2, turnInterval(n, unknownPerSecond*powerScale(power)))
	return usual, min(usual, unknown)
}

// turnInterval is the time in which each of n agents has one turn, at perSecond
// turns a second.
func turnInterval(n int, perSecond float64) time.Duration {
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}
