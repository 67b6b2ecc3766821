package decide

import (
	"math"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// LoadBand is a range of a service's slot utilisation. The disturbance of a
// service by a batch task depends on how busy the service is.
type LoadBand uint8

// The bands: below 1/3 of the slots in use, below 3/4, and the rest.
const (
	BandLow LoadBand = iota
	BandMiddle
	BandHigh
	bandCount
)

// BandOf returns the band for inUse of total slots.
func BandOf(inUse, total int) LoadBand {
	switch {
	case total <= 0 || 3*inUse < total:
		return BandLow
	case 4*inUse < 3*total:
		return BandMiddle
	default:
		return BandHigh
	}
}

// KindCount is the mean number of running tasks of one kind over the window of
// a sample, each task weighted by its speed.
type KindCount struct {
	Kind  structs.Kind
	Count float64
}

// Sample is one delayed measurement of a service on one instance, with the
// tasks that ran in the measured window (not when the sample arrived).
type Sample struct {
	Service structs.Service
	Band    LoadBand
	// ServiceTime is the mean or median duration of the calls that ended in
	// the window.
	ServiceTime time.Duration
	// Calls is the number of calls that ended in the window; it weights the sample.
	Calls    int
	Together []KindCount
}

// InterferenceCounters counts learnt and dropped samples.
type InterferenceCounters struct {
	Samples uint64
	// Dropped counts samples with negative or absurd values.
	Dropped uint64
	// RegimeChanges counts how often the variances of a service's estimates
	// were raised (see detectRegimeChange).
	RegimeChanges uint64
	// Full counts pairs of service and kind ignored because the table is full.
	Full uint64
}

// Tuning of the learner. Variances are of durations relative to serviceState.scale.
const (
	priorHarm      = 0.02
	priorVariance  = 0.25
	baseVariance   = 0.09
	noiseVariance  = 0.04
	driftVariance  = 0.00002
	varianceFloor  = 1e-6
	shrinkEvidence = 4.0
	// priorWeight is the weight of the prior in the mean of a kind, where a
	// pair with shrinkEvidence or more evidence has weight 1.
	priorWeight     = 0.5
	maxInflation    = 50.0
	maxCount        = 10_000
	maxPairs        = 65_536
	regimeSlack     = 0.75
	regimeThreshold = 8.0
	regimeReset     = 0.25
	// regimeBaseReset is far smaller than regimeReset: the undisturbed time is
	// part of every sample. With as much variance as the pairs, its estimate
	// would absorb the residuals of the pairs.
	regimeBaseReset   = 0.02
	maxSampleDuration = time.Hour
	// maxDeviation bounds the residual of one sample, in standard deviations.
	maxDeviation = 3.0
	// Bounds of a task's harm and of a service's undisturbed time, relative to the
	// service's reference duration. Without bounds, a series of bad samples can
	// drive two terms apart without limit while their sum fits the measurements.
	lowestHarm, highestHarm = -0.02, 5.0
	lowestBase, highestBase = 0.1, 3.0
)

// estimate is a mean with its variance, one cell of a Kalman filter whose
// covariance is kept diagonal.
type estimate struct {
	mean, variance, evidence float64
}

// pair holds the harm of one kind to one service, per load band.
type pair struct {
	bands [bandCount]estimate
}

type kindMean struct {
	sum, weight float64
}

func (k kindMean) mean(prior float64) float64 {
	return (k.sum + priorWeight*prior) / (k.weight + priorWeight)
}

type serviceState struct {
	// scale is a reference duration in seconds; all estimates are relative to it.
	scale float64
	base  [bandCount]estimate
	// cusumHigh and cusumLow are the two sides of a CUSUM of normalised residuals.
	cusumHigh, cusumLow float64
	pairs               map[structs.Kind]*pair
}

// Interference learns the harm of kinds to services, per load band: the increase
// of a service's inflation by one running task of the kind. The zero value is not
// usable; see NewInterference.
//
// A sample's service time is modelled as base + sum of count*harm over the kinds
// that ran beside the service. A residual is distributed over the terms by their
// uncertainty, so that a new pair hardly changes estimates of low variance.
type Interference struct {
	services map[structs.Service]*serviceState
	pairs    int
	kinds    map[structs.Kind]*[bandCount]kindMean
	overall  kindMean
	counters InterferenceCounters
}

// NewInterference returns a learner without samples.
func NewInterference() *Interference {
	return &Interference{
		services: make(map[structs.Service]*serviceState),
		kinds:    make(map[structs.Kind]*[bandCount]kindMean),
	}
}

// Counters returns the counts so far.
func (m *Interference) Counters() InterferenceCounters { return m.counters }

// Observe learns from s and reports whether it accepted s. A sample with
// negative, infinite or absurd values is counted and changes no estimate.
func (m *Interference) Observe(s Sample) bool {
	if !s.valid() {
		m.counters.Dropped++
		return false
	}
	st := m.service(s)
	y := s.ServiceTime.Seconds() / st.scale
	if y > maxInflation {
		m.counters.Dropped++
		return false
	}
	m.counters.Samples++
	m.learn(st, s, y)
	return true
}

func (s Sample) valid() bool {
	if s.Service == "" || s.Band >= bandCount || s.Calls <= 0 {
		return false
	}
	if s.ServiceTime <= 0 || s.ServiceTime > maxSampleDuration {
		return false
	}
	for _, t := range s.Together {
		if t.Kind == "" || !(t.Count >= 0 && t.Count <= maxCount) {
			return false
		}
	}
	return true
}

func (m *Interference) service(s Sample) *serviceState {
	st := m.services[s.Service]
	if st != nil {
		return st
	}
	st = &serviceState{pairs: make(map[structs.Kind]*pair)}
	harm := 0.0
	for _, t := range s.Together {
		harm += t.Count * m.harm(st, t.Kind, s.Band)
	}
	st.scale = s.ServiceTime.Seconds() / (1 + harm)
	for b := range st.base {
		st.base[b] = estimate{mean: 1, variance: baseVariance}
	}
	m.services[s.Service] = st
	return st
}

func (m *Interference) learn(st *serviceState, s Sample, y float64) {
	base := &st.base[s.Band]
	base.variance += driftVariance
	expected := base.mean
	total := base.variance
	for _, t := range s.Together {
		p := m.pairFor(st, t.Kind)
		if p == nil {
			continue
		}
		e := &p.bands[s.Band]
		e.variance += driftVariance
		expected += t.Count * e.mean
		total += t.Count * t.Count * e.variance
	}
	noise := noiseVariance / math.Min(float64(s.Calls), 20) * math.Max(1, y*y)
	total += noise
	z := clamp((y-expected)/math.Sqrt(total), -maxDeviation, maxDeviation)
	residual := z * math.Sqrt(total)
	m.detectRegimeChange(st, s, z)
	base.update(1, residual, total)
	base.mean = clamp(base.mean, lowestBase, highestBase)
	for _, t := range s.Together {
		p := st.pairs[t.Kind]
		if p == nil || t.Count == 0 {
			continue
		}
		m.learnPair(&p.bands[s.Band], t, s.Band, residual, total)
	}
}

func (m *Interference) learnPair(e *estimate, t KindCount, b LoadBand, residual, total float64) {
	before, weight := e.mean, e.weight()
	e.update(t.Count, residual, total)
	e.mean = clamp(e.mean, lowestHarm, highestHarm)
	e.evidence += math.Min(t.Count, 1)
	after := e.weight()
	for _, k := range []*kindMean{&m.kinds[t.Kind][b], &m.overall} {
		k.sum += after*e.mean - weight*before
		k.weight += after - weight
	}
}

// weight returns the weight of a pair in the mean of its kind, 0 to 1.
func (e *estimate) weight() float64 { return math.Min(e.evidence, shrinkEvidence) / shrinkEvidence }

func (e *estimate) update(x, residual, total float64) {
	gain := e.variance * x / total
	e.mean += gain * residual
	e.variance = math.Max(e.variance*(1-gain*x), varianceFloor)
}

func clamp(x, low, high float64) float64 { return math.Max(low, math.Min(high, x)) }

// detectRegimeChange raises the variances of the service's base and of the pairs
// in s when residuals keep one sign for longer than noise explains. Variances
// shrink with each sample. If they stayed small, learning a change of the workload
// would take hours, in which calls are placed beside tasks that slow them down.
func (m *Interference) detectRegimeChange(st *serviceState, s Sample, z float64) {
	st.cusumHigh = math.Max(0, st.cusumHigh+z-regimeSlack)
	st.cusumLow = math.Max(0, st.cusumLow-z-regimeSlack)
	if st.cusumHigh < regimeThreshold && st.cusumLow < regimeThreshold {
		return
	}
	st.cusumHigh, st.cusumLow = 0, 0
	m.counters.RegimeChanges++
	for _, t := range s.Together {
		p := st.pairs[t.Kind]
		if p == nil {
			continue
		}
		for b := range p.bands {
			p.bands[b].variance = math.Max(p.bands[b].variance, regimeReset*priorVariance)
		}
	}
	for b := range st.base {
		st.base[b].variance = math.Max(st.base[b].variance, regimeBaseReset*baseVariance)
	}
}

func (m *Interference) pairFor(st *serviceState, k structs.Kind) *pair {
	if p := st.pairs[k]; p != nil {
		return p
	}
	if m.pairs >= maxPairs {
		m.counters.Full++
		return nil
	}
	p := &pair{}
	if m.kinds[k] == nil {
		m.kinds[k] = new([bandCount]kindMean)
	}
	for b := range p.bands {
		p.bands[b] = estimate{mean: m.kindHarm(k, LoadBand(b)), variance: priorVariance}
	}
	st.pairs[k] = p
	m.pairs++
	return p
}

// shrinkToKind returns the mean of e, shrunk towards the mean of its kind unless
// e has much evidence.
func (m *Interference) shrinkToKind(e *estimate, k structs.Kind, b LoadBand) float64 {
	if e.evidence >= 8*shrinkEvidence {
		return e.mean
	}
	prior := m.kindHarm(k, b)
	return (e.evidence*e.mean + shrinkEvidence*prior) / (e.evidence + shrinkEvidence)
}

func (m *Interference) kindHarm(k structs.Kind, b LoadBand) float64 {
	prior := m.overall.mean(priorHarm)
	if kind := m.kinds[k]; kind != nil {
		return kind[b].mean(prior)
	}
	return prior
}

// harm returns the harm of one task of kind k, relative to the service's reference
// duration. st may be nil.
func (m *Interference) harm(st *serviceState, k structs.Kind, b LoadBand) float64 {
	if st != nil {
		if p := st.pairs[k]; p != nil {
			return math.Max(0, m.shrinkToKind(&p.bands[b], k, b))
		}
	}
	return math.Max(0, m.kindHarm(k, b))
}

func (st *serviceState) baseMean(b LoadBand) float64 {
	if st == nil {
		return 1
	}
	return st.base[b].mean
}

// Predict returns the inflation of service s by one running task of kind k at
// load band b: 1 for no harm. A pair without samples has the kind's mean.
func (m *Interference) Predict(s structs.Service, k structs.Kind, b LoadBand) float64 {
	if m == nil || b >= bandCount {
		return 1
	}
	st := m.services[s]
	return 1 + m.harm(st, k, b)/st.baseMean(b)
}

// Inflation returns the predicted inflation of service s by all tasks of batch.
func (m *Interference) Inflation(s structs.Service, b LoadBand, batch []wire.BatchLoad) float64 {
	if m == nil || b >= bandCount {
		return 1
	}
	return m.inflation(m.services[s], b, batch)
}

func (m *Interference) inflation(st *serviceState, b LoadBand, batch []wire.BatchLoad) float64 {
	sum := 0.0
	for i := range batch {
		if n := batch[i].Running; n > 0 {
			sum += float64(n) * m.harm(st, batch[i].Kind, b)
		}
	}
	return math.Min(1+sum/st.baseMean(b), maxInflation)
}

// BaseTime returns the undisturbed duration of a call of service s at load band
// b, or 0 without a sample of s.
func (m *Interference) BaseTime(s structs.Service, b LoadBand) time.Duration {
	if m == nil || b >= bandCount {
		return 0
	}
	st := m.services[s]
	if st == nil {
		return 0
	}
	return time.Duration(st.undisturbedTime(b) * float64(time.Second))
}

// serviceModel is the learner with its state of one service; both may be nil.
type serviceModel struct {
	m  *Interference
	st *serviceState
}

func (m *Interference) modelOf(s structs.Service) serviceModel {
	if m == nil {
		return serviceModel{}
	}
	return serviceModel{m, m.services[s]}
}

// undisturbedTime returns the undisturbed duration of a call, in seconds.
func (st *serviceState) undisturbedTime(b LoadBand) float64 { return st.scale * st.base[b].mean }
