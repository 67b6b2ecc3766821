package runner

import (
	"context"
	"math"
	"sort"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// paceInterval is the time between two adjustments of the paces. The
	// measured tails cover half a second.
	paceInterval = 250 * time.Millisecond
	fullPace     = 100
	// paceRepeat is the time after which an unchanged pace is sent again.
	paceRepeat = 2 * time.Second
	// startedProgress is the progress, in percent, of a started lasting task.
	startedProgress = 100
)

// paceLoop sets the pace of the filling work beside serving tasks.
func (r *Runner) paceLoop(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		inc := r.incarnation
		var orders []paceOrder
		if inc != nil {
			orders = r.planPaces(inc)
		}
		r.mu.Unlock()
		for _, o := range orders {
			go r.sendPace(ctx, inc, o)
		}
	}
}

// planPaces plans the paces of all filling work and returns the pace orders.
func (r *Runner) planPaces(inc *incarnation) []paceOrder {
	servingJobs := r.servingJobs(inc)
	fillingWork := inc.fillingWork()
	if len(fillingWork) == 0 {
		return nil
	}
	list := make([]pressure.Filling, len(fillingWork))
	for i := range fillingWork {
		list[i] = fillingWork[i].Filling
		list[i].Rank = r.rankOf(fillingWork[i].job)
	}
	next := pressure.Pace(servingJobs, list, r.weight)
	inc.paces = make(map[paceKey]float64, len(fillingWork))
	for i, f := range fillingWork {
		if math.Abs(next[i]-f.Pace) > 0.1 || next[i] == 0 && f.Pace > 0 {
			r.deps.Log.Info().Str("job", string(f.job)).Str("image", f.Image).Float64("pace", next[i]).Float64("before", f.Pace).
				Float64("used", f.Used).Float64("tail_share", worstShare(servingJobs)).Msg("pace")
		}
		inc.paces[f.paceKey()] = next[i]
	}
	return r.paceOrders(inc)
}

// paceKey names the runs on a worker that share one pace.
type paceKey struct {
	job   workload.JobID
	image string
}

type jobFilling struct {
	pressure.Filling
	job workload.JobID
}

func (f *jobFilling) paceKey() paceKey { return paceKey{f.job, f.Image} }

func (x *run) paceKey() paceKey { return paceKey{x.id.Task.Job, x.image} }

// rankOf returns the job's place in the scheduler's order; jobs that are not in
// this order come last.
func (r *Runner) rankOf(id workload.JobID) int {
	if rank, ok := r.ranks[id]; ok {
		return rank
	}
	return len(r.ranks)
}

func (r *Runner) paceOrders(inc *incarnation) []paceOrder {
	var orders []paceOrder
	for _, x := range inc.runs {
		if !x.fills || x.state != dispatch.RunPresent || x.stopping {
			continue
		}
		pace := int(math.Round(fullPace * inc.paceOf(x)))
		if r.needsPace(x, pace) {
			x.accountWork(r.deps.Now())
			x.pace, x.pacedAt = pace, r.deps.Now()
			orders = append(orders, paceOrder{run: x.id, pace: pace})
		}
	}
	return orders
}

// paceOf returns the pace of a run; a run without a pace works at full speed.
func (inc *incarnation) paceOf(x *run) float64 {
	if p, ok := inc.paces[x.paceKey()]; ok {
		return p
	}
	return 1
}

// accountWork adds the work since workedAt, at the pace in force since then.
func (x *run) accountWork(now time.Duration) {
	if x.workedAt > 0 {
		pace := fullPace
		if x.pacedAt > 0 {
			pace = x.pace
		}
		x.worked += (now - x.workedAt) * time.Duration(pace) / fullPace
	}
	x.workedAt = now
}

func worstShare(serving []pressure.Serving) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, s.Tail/s.Target)
	}
	return worst
}

// servingJobs lists the jobs with started serving tasks on the worker. A job's
// tasks carry the same load, and each tail is rough: the tails are averaged.
func (r *Runner) servingJobs(inc *incarnation) []pressure.Serving {
	now := r.deps.Now()
	index := map[workload.JobID]int{}
	var list []pressure.Serving
	var rates []meanRate
	for _, x := range inc.runs {
		if !x.serves() || x.rate <= 0 {
			continue
		}
		i, ok := index[x.id.Task.Job]
		if !ok {
			i = len(list)
			index[x.id.Task.Job] = i
			list = append(list, pressure.Serving{Image: x.image, Target: float64(x.tailTarget.Milliseconds()), Base: r.base[x.image]})
			rates = append(rates, meanRate{})
		}
		rates[i].add(x.rate)
		if x.overSince > 0 {
			list[i].Over = max(list[i].Over, now-x.overSince)
		}
	}
	for i := range list {
		list[i].Tail = 1 / rates[i].mean()
	}
	return list
}

// meanRate averages inverse tails, since a tail's inverse is linear in the
// load.
type meanRate struct {
	sum float64
	n   int
}

func (m *meanRate) add(rate float64) {
	m.sum += rate
	m.n++
}

func (m *meanRate) mean() float64 { return m.sum / float64(max(1, m.n)) }

// serves reports whether x is a serving task that has started up.
func (x *run) serves() bool {
	return x.tailTarget > 0 && x.state == dispatch.RunPresent && x.progress >= startedProgress && x.rough > 0
}

// rateGain is the weight of a new measurement in run.rate; with 1 the earlier
// ones don't count.
const rateGain = 1.0

// updateRough records a run's tail latency or CPU use over the last half second
// (workerctl.RunStatus.Rough). For a started serving task it also updates rate
// and overSince.
func (x *run) updateRough(rough float64, now time.Duration) {
	x.rough = rough
	if !x.serves() {
		return
	}
	if x.rate == 0 {
		x.rate = 1 / rough
	}
	x.rate += rateGain * (1/rough - x.rate)
	switch {
	case rough <= float64(x.tailTarget.Milliseconds()):
		x.overSince = 0
	case x.overSince == 0:
		x.overSince = now
	}
}

// minLoggedOver is the shortest time above its target for which a tail is
// logged: a single half-second measurement is sometimes above the target.
const minLoggedOver = time.Second

// logOver logs that a serving task's tail is no longer over its target, if it
// was from since until now and for at least minLoggedOver.
func (r *Runner) logOver(inc *incarnation, x *run, since time.Duration) {
	over := r.deps.Now() - since
	if since == 0 || x.overSince != 0 || over < minLoggedOver {
		return
	}
	filled := false
	for _, o := range inc.runs {
		filled = filled || o.fills && o.state == dispatch.RunPresent
	}
	r.deps.Log.Info().Stringer("run", x.id).Str("image", x.image).Dur("over", over).Bool("filled", filled).Msg("tail was over its target")
}

// fillingWork sums the filling work by job and image.
func (inc *incarnation) fillingWork() []jobFilling {
	sums := map[paceKey]*jobFilling{}
	whole := float64(max(1, inc.worker.Capacity.CPU))
	for _, x := range inc.runs {
		if !x.fills || x.state != dispatch.RunPresent {
			continue
		}
		f := sums[x.paceKey()]
		if f == nil {
			f = &jobFilling{Filling: pressure.Filling{Image: x.image, Pace: inc.paceOf(x)}, job: x.id.Task.Job}
			sums[x.paceKey()] = f
		}
		f.Used += x.rough / whole
		f.Wanted += float64(x.need.CPU) / whole
	}
	list := make([]jobFilling, 0, len(sums))
	for _, f := range sums {
		list = append(list, *f)
	}
	sort.Slice(list, func(i, k int) bool {
		if list[i].Image != list[k].Image {
			return list[i].Image < list[k].Image
		}
		return list[i].job < list[k].job
	})
	return list
}

func (r *Runner) weight(p pressure.Pair) pressure.Weight {
	if w, ok := r.weights[p]; ok {
		return w
	}
	var m pressure.Model
	return m.Weight(p)
}

// needsPace reports whether a run's pace has to be sent. A pace is repeated
// after paceRepeat: an order without an answer may be carried out seconds
// later, after newer ones, and nothing shows the pace that is in force.
func (r *Runner) needsPace(x *run, pace int) bool {
	if x.pacedAt == 0 {
		// An earlier process of the agent may have set the pace of an inherited run.
		return x.inherited || pace != fullPace
	}
	return x.pace != pace || r.deps.Now()-x.pacedAt > paceRepeat
}

// hasUnknownPair reports whether filling work runs beside a serving task and
// its pressure on that task is unknown.
func (r *Runner) hasUnknownPair(inc *incarnation) bool {
	for _, s := range inc.runs {
		if !s.serves() {
			continue
		}
		for _, f := range inc.runs {
			if f.fills && f.state == dispatch.RunPresent && !r.weight(pressure.Pair{Serving: s.image, Filling: f.image}).Known {
				return true
			}
		}
	}
	return false
}

func (r *Runner) currentSampleInterval(inc *incarnation) time.Duration {
	if r.unknownInterval < r.sampleInterval && r.hasUnknownPair(inc) {
		return r.unknownInterval
	}
	return r.sampleInterval
}

// takeSample records the tails and the filling work if a sample is due and a
// serving task runs. The scheduler learns from them.
func (r *Runner) takeSample(inc *incarnation) {
	now := r.deps.Now()
	if interval := r.currentSampleInterval(inc); interval <= 0 || now-r.sampledAt < interval {
		return
	}
	s := &dispatch.TailSample{}
	index := map[workload.JobID]int{}
	var rates []meanRate
	for _, x := range inc.runs {
		if !x.serves() {
			continue
		}
		i, ok := index[x.id.Task.Job]
		if !ok {
			i = len(s.Serving)
			index[x.id.Task.Job] = i
			s.Serving = append(s.Serving, dispatch.ServingSample{Job: x.id.Task.Job, Image: x.image})
			rates = append(rates, meanRate{})
		}
		rates[i].add(1 / x.rough)
	}
	for i := range s.Serving {
		s.Serving[i].Tail = 1 / rates[i].mean()
	}
	if len(s.Serving) == 0 {
		return
	}
	// fillingWork sorts by image, so the work of one image is adjacent.
	for _, f := range inc.fillingWork() {
		if n := len(s.Filling); n > 0 && s.Filling[n-1].Image == f.Image {
			s.Filling[n-1].Used += f.Used
			continue
		}
		s.Filling = append(s.Filling, dispatch.FillingSample{Image: f.Image, Used: f.Used})
	}
	r.sample, r.sampledAt = s, now
	r.recordChange(true)
}

// applyUpdate applies the sample intervals, the order of the jobs, and the
// pressure weights and base tails that the scheduler has learnt.
func (r *Runner) applyUpdate(args *dispatch.WatchArgs) {
	r.sampleInterval, r.unknownInterval = args.SampleEvery, args.SampleUnknown
	r.reportsWork = args.Work
	if len(args.Order) > 0 {
		r.ranks = make(map[workload.JobID]int, len(args.Order))
		for rank, id := range args.Order {
			r.ranks[id] = rank
		}
	}
	if len(args.Pressure) > 0 {
		r.weights = map[pressure.Pair]pressure.Weight{}
		for _, p := range args.Pressure {
			r.weights[pressure.Pair{Serving: p.Serving, Filling: p.Filling}] = pressure.Weight{Value: p.Value, Known: p.Known}
		}
	}
	if len(args.Base) > 0 {
		r.base = args.Base
	}
}
