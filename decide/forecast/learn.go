package forecast

import (
	"math"
	"time"
)

const (
	// estimateNoise is the standard deviation of the logarithm of a step's usual
	// duration relative to its estimate, before any was learnt.
	estimateNoise = 0.5
	// stepNoise is likewise that of the working times within a step.
	stepNoise = 0.2
	// paceNoise is likewise that of the time a run takes relative to its working
	// time at full speed.
	paceNoise = 0.25
	// priorWeight is the number of samples that an assumption counts for.
	priorWeight = 2.0
	// forget is the weight of older samples after each new one: the last 50 count.
	forget = 0.98
	// slowLog is the logarithm of the ratio above which a task counts as slow.
	slowLog = 1.1
	// maxKnown bounds the images and queues that are remembered.
	maxKnown = 256
)

// Ratio is the learnt distribution of a logarithm of a ratio.
type Ratio struct {
	Weight float64 `json:"w"`
	Mean   float64 `json:"m"`
	// Square is the mean square deviation from Mean.
	Square float64 `json:"s"`
}

// Observe adds a sample.
func (r *Ratio) Observe(x float64) {
	r.Weight = r.Weight*forget + 1
	d := x - r.Mean
	r.Mean += d / r.Weight
	r.Square += (d*(x-r.Mean) - r.Square) / r.Weight
}

// combine returns mean and variance with an assumption of the given mean and
// variance.
func (r *Ratio) combine(mean, variance float64) (float64, float64) {
	if r == nil {
		return mean, variance
	}
	w := r.Weight + priorWeight
	m := (r.Weight*r.Mean + priorWeight*mean) / w
	return m, (r.Weight*r.Square + priorWeight*variance) / w
}

// Runtimes learns how long tasks take: their working time relative to their
// estimates, and the time from start to end relative to the working time.
type Runtimes struct {
	// Queues relate working times to estimates, Images hold the ratios to what the
	// queue's relation says, Paces those of the time from start to end to the
	// working time by image.
	Queues map[string]*Fit   `json:"q,omitempty"`
	Images map[string]*Ratio `json:"i,omitempty"`
	Paces  map[string]*Ratio `json:"p,omitempty"`
	Spread Spread            `json:"s"`
}

func observe(m *map[string]*Ratio, name string, x float64) {
	if *m == nil {
		*m = map[string]*Ratio{}
	}
	r := (*m)[name]
	if r == nil {
		if len(*m) >= maxKnown {
			dropLightest(*m)
		}
		r = &Ratio{}
		(*m)[name] = r
	}
	r.Observe(x)
}

func dropLightest(m map[string]*Ratio) {
	lightest := ""
	for name, r := range m {
		if lightest == "" || r.Weight < m[lightest].Weight || r.Weight == m[lightest].Weight && name < lightest {
			lightest = name
		}
	}
	delete(m, lightest)
}

// StepTimes are the ended tasks of one step.
type StepTimes struct {
	// Logs sums the logarithms of working time over estimate, Tasks counts them.
	Logs  float64
	Tasks int
	// Walls sums likewise the logarithms of the time from start to end.
	Walls float64
}

// EndedTask learns from a task that ended: worked is its working time at full
// speed over all runs, runWorked that of its last run, which took ran.
func (r *Runtimes) EndedTask(s *StepTimes, image string, estimate, worked, runWorked, ran time.Duration) {
	if estimate <= 0 || worked <= 0 {
		return
	}
	x := math.Log(worked.Seconds() / estimate.Seconds())
	r.Spread.Tasks = r.Spread.Tasks*spreadForget + 1
	r.Spread.Slow *= spreadForget
	if s.Tasks > 0 && x-s.Logs/float64(s.Tasks) > slowLog {
		r.Spread.Slow++
	} else {
		r.usualTask(s, x, image, runWorked, ran)
	}
}

// usualTask learns from a task that was not slow; x is the logarithm of its working
// time over its estimate.
func (r *Runtimes) usualTask(s *StepTimes, x float64, image string, runWorked, ran time.Duration) {
	wall := x
	if runWorked > 0 && ran > 0 {
		pace := math.Log(max(1, ran.Seconds()/runWorked.Seconds()))
		observe(&r.Paces, image, pace)
		wall += pace
	}
	if s.Tasks > 0 {
		n := float64(s.Tasks)
		d := wall - s.Walls/n
		r.Spread.Squares = r.Spread.Squares*spreadForget + d*d*n/(n+1)
		r.Spread.Deviations = r.Spread.Deviations*spreadForget + 1
	}
	s.Logs += x
	s.Walls += wall
	s.Tasks++
}

// spreadForget is forget for the share of slow tasks: the last 1,000 count.
const spreadForget = 0.999

// EndedStep learns from a step all of whose tasks have ended.
func (r *Runtimes) EndedStep(s StepTimes, image, queue string, estimate time.Duration) {
	if s.Tasks == 0 {
		return
	}
	x := math.Log(estimate.Seconds())
	y := x + s.Logs/float64(s.Tasks)
	if r.Queues == nil {
		r.Queues = map[string]*Fit{}
	}
	f := r.Queues[queue]
	if f == nil && len(r.Queues) < maxKnown {
		f = &Fit{}
		r.Queues[queue] = f
	}
	if f != nil {
		f.Observe(x, y)
	}
	observe(&r.Images, image, y-f.At(x))
}

// Typical is the expected time between start and end of a usual task.
func (r *Runtimes) Typical(s StepTimes, image, queue string, estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return 0
	}
	x := math.Log(estimate.Seconds())
	mean, variance := r.Images[image].combine(0, estimateNoise*estimateNoise)
	mean += r.Queues[queue].At(x) - x
	if s.Tasks > 0 {
		// The step's own tasks differ far less than the steps.
		w := stepNoise * stepNoise / max(variance, 0.01)
		mean = (w*mean + s.Logs) / (w + float64(s.Tasks))
	}
	return time.Duration(float64(estimate) * math.Exp(mean) * r.Pace(image))
}

// Pace is the time that runs of an image take relative to their working time.
func (r *Runtimes) Pace(image string) float64 {
	pace, _ := r.Paces[image].combine(0, paceNoise*paceNoise)
	return math.Exp(pace)
}
