package scheduler

import (
	"slices"
	"time"

	"persimmonrock.example/decide/layout"
	"persimmonrock.example/decide/pressure"
)

// maxUnknownPress bounds the probability assumed for an unknown pair, which is
// not barred.
const maxUnknownPress = 0.4

// fillingDemand is the filling work of one service.
type fillingDemand struct {
	remembered layout.Demand
	// present is the CPU of the tasks that run or could start, running that of
	// those that run, by image.
	present, running map[string]float64
	// need is the mean CPU of a task, by image.
	need map[string]float64
}

// fleetSnapshot is a fleet of package layout with the names of its parts.
type fleetSnapshot struct {
	layout.Fleet
	serving, filling []string
	refs             []taskRef
	moving           int
	// known counts the pairs of which it is known whether they press.
	known, pairs int
}

// updateDemand updates the filling work of each service.
func (t *Term) updateDemand(now time.Duration) {
	for _, d := range t.demand {
		d.present, d.running = map[string]float64{}, map[string]float64{}
	}
	for _, j := range t.active {
		if j.state.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for si, s := range o.steps {
				if s.spec.Fills && o.ready(si) {
					t.demandOf(j.queue.Service).add(s)
				}
			}
		}
	}
	for _, d := range t.demand {
		d.remembered.Update(d.present, now)
	}
}

func (t *Term) demandOf(service string) *fillingDemand {
	d := t.demand[service]
	if d == nil {
		if t.demand == nil {
			t.demand = map[string]*fillingDemand{}
		}
		d = &fillingDemand{present: map[string]float64{}, running: map[string]float64{}, need: map[string]float64{}}
		t.demand[service] = d
	}
	return d
}

// needGain is the weight of the latest step in the mean need of an image.
const needGain = 0.2

func (d *fillingDemand) add(s *step) {
	cpu := float64(s.spec.Need.CPU)
	d.present[s.spec.Image] += cpu * float64(len(s.tasks)-s.done)
	d.running[s.spec.Image] += cpu * float64(len(s.tasks)-s.done-s.waiting)
	if mean, ok := d.need[s.spec.Image]; ok {
		cpu = mean + needGain*(cpu-mean)
	}
	d.need[s.spec.Image] = cpu
}

// snapshotFleet returns the workers and serving tasks of a service, with the
// demand of its filling images.
func (t *Term) snapshotFleet(v *view, service string) *fleetSnapshot {
	v.setService(service)
	f := &fleetSnapshot{}
	whole := 0
	for i := range v.candidates {
		c := &v.candidates[i]
		w := layout.Worker{Free: c.Free}
		if !c.Barred {
			w.Room = max(0, float64(c.Free.CPU+c.Leftover))
		}
		whole += c.Capacity.CPU
		f.Workers = append(f.Workers, w)
	}
	d := t.demandOf(service)
	f.filling = d.remembered.Images()
	slices.Sort(f.filling)
	for _, image := range f.filling {
		f.Demand = append(f.Demand, d.present[image])
		f.Weight = append(f.Weight, d.weight(image))
	}
	t.addServingTasks(v, service, f)
	if len(v.candidates) > 0 {
		f.addPresses(t.learner.weights(), d, whole/len(v.candidates))
	}
	return f
}

func (t *Term) addServingTasks(v *view, service string, f *fleetSnapshot) {
	now := time.Now()
	tasks, found, moving := t.servingTasks(v)
	f.moving = moving
	for i := range tasks {
		if found[i].job.queue.Service == service && !slices.Contains(f.serving, tasks[i].Image) {
			f.serving = append(f.serving, tasks[i].Image)
		}
	}
	slices.Sort(f.serving)
	for i, x := range tasks {
		if found[i].job.queue.Service != service {
			continue
		}
		image, _ := slices.BinarySearch(f.serving, x.Image)
		r := found[i]
		var barred map[int]bool
		f.Tasks = append(f.Tasks, layout.Task{
			Image: image, Step: x.Step, Worker: x.Worker, Need: x.Need, Fixed: x.Fixed || now.Before(r.task.pinUntil),
			Stuck: r.stuck(),
			// Only some tasks are asked for: in a large fleet, all would take too long.
			Barred: func(w int) bool {
				if barred == nil {
					barred = v.barredFor(r.job, r.step, r.task)
				}
				return barred[w]
			},
		})
		f.refs = append(f.refs, found[i])
	}
}

// stuck reports whether a task is never moved; see mayMove.
func (r taskRef) stuck() bool {
	return r.task.moves >= relocatePerTask || r.job.queue.Advised || r.step.spec.Gang || r.step.spec.MayMiss > 0
}

// addPresses sets the probabilities that filling images press, for tasks of their
// mean need on a worker of the mean capacity.
func (f *fleetSnapshot) addPresses(table *weightTable, d *fillingDemand, capacity int) {
	for _, serving := range f.serving {
		weights := table.weights[table.row(serving)]
		row := make([]float64, len(f.filling))
		for i, filling := range f.filling {
			row[i] = pressProbability(weights[table.column(filling)], d.need[filling], capacity)
			f.pairs++
			if weights[table.column(filling)].Known {
				f.known++
			}
		}
		f.Presses = append(f.Presses, row)
	}
}

// pressProbability is the probability that a task with this need is barred beside
// the serving image (see weightTable.pressedBy).
func pressProbability(w pressure.Weight, need float64, capacity int) float64 {
	switch {
	case !w.Known:
		return min(maxUnknownPress, w.Presses())
	case capacity > 0 && w.Value*need/float64(capacity) > pressingExtra:
		return 1
	}
	return 0
}

// setLayoutMix sets Mix and SameImage of each candidate for a serving step, in
// place of setMix, while the policy Layout is on.
func (t *Term) setLayoutMix(v *view, service string, s *step) {
	x := v.mixers[service]
	if x == nil || !x.has(s.spec.Image) {
		x = t.mixer(v, service, s.spec.Image)
		if v.mixers == nil {
			v.mixers = map[string]*namedMixer{}
		}
		v.mixers[service] = x
	}
	own := x.index[s.spec.Image]
	var on []int
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.SameImage = w.images[s.spec.Image] > 0
		on = on[:0]
		for image := range w.images {
			if image != s.spec.Image {
				on = append(on, x.index[image])
			}
		}
		slices.Sort(on)
		c.Mix = x.Mix(own, on)
	}
}

// namedMixer is a mixer with the numbers of the serving images.
type namedMixer struct {
	layout.Mixer
	index map[string]int
}

func (x *namedMixer) has(image string) bool {
	_, ok := x.index[image]
	return ok
}

// join counts the combinations that a task placed on w by the plan has formed.
func (x *namedMixer) join(w *worker, image string) {
	if w.images[image] > 1 {
		return
	}
	own := x.index[image]
	for other := range w.images {
		x.Together[own][x.index[other]]++
		x.Together[x.index[other]][own]++
	}
}

// mixer makes the mixer of a service for the serving images on its workers and one
// more. A plan makes it once for each new image: in a large fleet it takes about a
// millisecond.
func (t *Term) mixer(v *view, service, extra string) *namedMixer {
	x := &namedMixer{index: map[string]int{extra: 0}}
	var names []string
	for _, w := range v.workers {
		for image := range w.images {
			names = append(names, image)
		}
	}
	slices.Sort(names)
	f := &fleetSnapshot{serving: []string{extra}}
	for _, image := range slices.Compact(names) {
		if image != extra {
			x.index[image] = len(f.serving)
			f.serving = append(f.serving, image)
		}
	}
	d := t.demandOf(service)
	f.filling = d.remembered.Images()
	slices.Sort(f.filling)
	whole := 0
	for _, w := range v.workers {
		whole += w.info.Capacity.CPU
	}
	f.addPresses(t.learner.weights(), d, whole/max(1, len(v.workers)))
	x.Presses = f.Presses
	for _, image := range f.filling {
		x.Weights = append(x.Weights, d.remembered.Of(image))
	}
	x.Together = make([][]int, len(f.serving))
	for i := range x.Together {
		x.Together[i] = make([]int, len(f.serving))
	}
	for _, w := range v.workers {
		for a := range w.images {
			for b := range w.images {
				x.Together[x.index[a]][x.index[b]]++
			}
		}
	}
	return x
}

// layoutTerm is what a term keeps for the layout of serving images.
type layoutTerm struct {
	demand       map[string]*fillingDemand
	lastMeasured time.Duration
	lastPairs    time.Duration
}

// layoutAfter is the time after its placement from which a serving task counts as
// at work again. The layout moves the next task of its step then: what a move
// costs its callers is weighed against what it gains.
const layoutAfter = 2 * time.Second

// planLayout moves serving tasks so that more of the filling work may run. It
// replaces regroup while the policy Layout is on. The caller holds mu.
func (t *Term) planLayout() bool {
	now := t.deps.Now()
	if !t.loaded || now-t.lastRegroup < regroupEvery {
		return false
	}
	t.lastRegroup = now
	t.regroupRounds++
	t.updateDemand(now)
	v := t.newView()
	share := fleetScale(len(v.workers))
	moved := 0
	for service, d := range t.demand {
		if !d.waits() {
			continue
		}
		f := t.snapshotFleet(v, service)
		if f.moving >= regroupAtOnce*share {
			continue
		}
		for _, m := range f.Exchanges(layout.Limits{Moves: share, Pass: t.regroupRounds}) {
			moved++
			t.deps.Counters.LaidOut.Add(1)
			t.moveTo(v, f.refs[m.One], m.To, "serving task moved for the layout")
			if m.Other != layout.NoOther {
				t.deps.Counters.LaidOut.Add(1)
				t.moveTo(v, f.refs[m.Other], f.Tasks[m.One].Worker, "serving task moved for the layout")
			}
		}
	}
	return moved > 0
}

// waits reports whether any filling task waits.
func (d *fillingDemand) waits() bool {
	for image, cpu := range d.present {
		if cpu > d.running[image] {
			return true
		}
	}
	return false
}

// weight is the demand of an image by which the layout is chosen: the work that
// waits counts twice, since moves are for this work first.
func (d *fillingDemand) weight(image string) float64 {
	return d.remembered.Of(image) + max(0, d.present[image]-d.running[image])
}
