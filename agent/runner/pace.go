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
	// paceInterval is the time between two looks at the tails, whose figures
	// cover half a second.
	paceInterval = 250 * time.Millisecond
	fullPace     = 100
	// paceRepeat is the time after which a pace is told again.
	paceRepeat = 2 * time.Second
	// atWork is the progress of a lasting task that has started up.
	atWork = 100
)

// paceLoop paces the filling work beside serving tasks.
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
		l := r.life
		var orders []paced
		if l != nil {
			orders = r.planPace(l)
		}
		r.mu.Unlock()
		for _, o := range orders {
			go r.pace(ctx, l, o)
		}
	}
}

// planPace returns the orders that bring all filling work to its pace.
func (r *Runner) planPace(l *life) []paced {
	serving := r.serving(l)
	filling := l.filling()
	if len(filling) == 0 {
		return nil
	}
	list := make([]pressure.Filling, len(filling))
	for i := range filling {
		list[i] = filling[i].Filling
		list[i].Rank = r.rankOf(filling[i].job)
	}
	next := pressure.Pace(serving, list, r.weight)
	l.paces = make(map[paceKey]float64, len(filling))
	for i, f := range filling {
		if math.Abs(next[i]-f.Pace) > 0.1 || next[i] == 0 && f.Pace > 0 {
			r.deps.Log.Info().Str("job", string(f.job)).Str("image", f.Image).Float64("pace", next[i]).Float64("before", f.Pace).
				Float64("used", f.Used).Float64("tail_share", worstShare(serving)).Msg("pace")
		}
		l.paces[f.paceKey()] = next[i]
	}
	return r.paceOrders(l)
}

// paceKey names what has one pace on a worker.
type paceKey struct {
	job   workload.JobID
	image string
}

// jobFilling is the filling work of one job and image.
type jobFilling struct {
	pressure.Filling
	job workload.JobID
}

func (f *jobFilling) paceKey() paceKey { return paceKey{f.job, f.Image} }

func (x *run) paceKey() paceKey { return paceKey{x.id.Task.Job, x.image} }

// rankOf is the job's place in the scheduler's order; jobs of which it has not
// told come last.
func (r *Runner) rankOf(id workload.JobID) int {
	if rank, ok := r.ranks[id]; ok {
		return rank
	}
	return len(r.ranks)
}

func (r *Runner) paceOrders(l *life) []paced {
	var orders []paced
	for _, x := range l.runs {
		if !x.fills || x.state != dispatch.RunPresent || x.stopping {
			continue
		}
		pace := int(math.Round(fullPace * l.paceOf(x)))
		if r.repace(x, pace) {
			x.account(r.deps.Now())
			x.pace, x.pacedAt = pace, r.deps.Now()
			orders = append(orders, paced{run: x.id, pace: pace})
		}
	}
	return orders
}

// paceOf is the pace of a run; what was never paced works at full speed.
func (l *life) paceOf(x *run) float64 {
	if p, ok := l.paces[x.paceKey()]; ok {
		return p
	}
	return 1
}

// account counts the work until now at the pace so far.
func (x *run) account(now time.Duration) {
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

// serving lists the serving jobs at work on the worker. The tasks of one job
// carry the same load, and each figure is rough, so their mean is taken.
func (r *Runner) serving(l *life) []pressure.Serving {
	now := r.deps.Now()
	index := map[workload.JobID]int{}
	var list []pressure.Serving
	var rates []meanRate
	for _, x := range l.runs {
		if !x.atWork() || x.rate <= 0 {
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

// meanRate averages the inverse of tails, which is linear in the load.
type meanRate struct {
	sum float64
	n   int
}

func (m *meanRate) add(rate float64) {
	m.sum += rate
	m.n++
}

func (m *meanRate) mean() float64 { return m.sum / float64(max(1, m.n)) }

// atWork reports whether x is a serving task that has started up.
func (x *run) atWork() bool {
	return x.tailTarget > 0 && x.state == dispatch.RunPresent && x.progress >= atWork && x.rough > 0
}

// rateGain is the weight of a new figure against those before it.
const rateGain = 1.0

// measure takes a new rough figure of a run.
func (x *run) measure(rough float64, now time.Duration) {
	x.rough = rough
	if !x.atWork() {
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

// overWorthTelling is how long a tail has to have been over its target for a
// line in the log: the rough figure alone goes over it for half a second.
const overWorthTelling = time.Second

// tellOver logs that the tail of a serving task was over its target from since
// on and no longer is.
func (r *Runner) tellOver(l *life, x *run, since time.Duration) {
	over := r.deps.Now() - since
	if since == 0 || x.overSince != 0 || over < overWorthTelling {
		return
	}
	filled := false
	for _, o := range l.runs {
		filled = filled || o.fills && o.state == dispatch.RunPresent
	}
	r.deps.Log.Info().Stringer("run", x.id).Str("image", x.image).Dur("over", over).Bool("filled", filled).Msg("tail was over its target")
}

// filling sums the filling work by job and image.
func (l *life) filling() []jobFilling {
	sums := map[paceKey]*jobFilling{}
	whole := float64(max(1, l.worker.Capacity.CPU))
	for _, x := range l.runs {
		if !x.fills || x.state != dispatch.RunPresent {
			continue
		}
		f := sums[x.paceKey()]
		if f == nil {
			f = &jobFilling{Filling: pressure.Filling{Image: x.image, Pace: l.paceOf(x)}, job: x.id.Task.Job}
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

// repace reports whether a run has to be told its pace. It is told again now
// and then: an order without an answer may be carried out seconds later,
// after newer ones, and nothing shows the pace that is in force.
func (r *Runner) repace(x *run, pace int) bool {
	if x.pacedAt == 0 {
		return pace != fullPace
	}
	return x.pace != pace || r.deps.Now()-x.pacedAt > paceRepeat
}

// hasUnknownPair reports whether filling work runs beside a serving task of
// which it is not known whether it presses there.
func (r *Runner) hasUnknownPair(l *life) bool {
	for _, s := range l.runs {
		if !s.atWork() {
			continue
		}
		for _, f := range l.runs {
			if f.fills && f.state == dispatch.RunPresent && !r.weight(pressure.Pair{Serving: s.image, Filling: f.image}).Known {
				return true
			}
		}
	}
	return false
}

// sampleTime is the time between two samples now.
func (r *Runner) sampleTime(l *life) time.Duration {
	if r.sampleUnknown < r.sampleEvery && r.hasUnknownPair(l) {
		return r.sampleUnknown
	}
	return r.sampleEvery
}

// takeSample records what ran together, for the scheduler to learn from.
func (r *Runner) takeSample(l *life) {
	now := r.deps.Now()
	if every := r.sampleTime(l); every <= 0 || now-r.sampledAt < every {
		return
	}
	s := &dispatch.TailSample{}
	index := map[workload.JobID]int{}
	var rates []meanRate
	for _, x := range l.runs {
		if !x.atWork() {
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
	// The list is in the order of the images.
	for _, f := range l.filling() {
		if n := len(s.Filling); n > 0 && s.Filling[n-1].Image == f.Image {
			s.Filling[n-1].Used += f.Used
			continue
		}
		s.Filling = append(s.Filling, dispatch.FillingSample{Image: f.Image, Used: f.Used})
	}
	r.sample, r.sampledAt = s, now
	r.touch(true)
}

// learn takes what the scheduler has learnt.
func (r *Runner) learn(args *dispatch.WatchArgs) {
	r.sampleEvery, r.sampleUnknown = args.SampleEvery, args.SampleUnknown
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
