package scheduler

import (
	"math"
	"slices"
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

// snapshotter builds the snapshot of a forecast.
type snapshotter struct {
	t   *Term
	s   *forecast.Snapshot
	now int64
	// rooms indexes the pair of rooms of each service: filling, then reserved.
	rooms map[string]int
	// images indexes the images of each filling room.
	images []map[fillingImage]int
	// steps, after and elapsed are the memory of the jobs' lists and the steps'.
	steps   []forecast.Step
	after   []int
	elapsed []time.Duration
}

// fillingImage is an image with the need of its tasks.
type fillingImage struct {
	image string
	need  workload.Resources
}

// stepsPerJob is the usual number of steps of a job.
const stepsPerJob = 2

// snapshot copies what a forecast depends on. The caller holds mu.
func (t *Term) snapshot() *forecast.Snapshot {
	c := t.forecaster
	errors := c.errors
	now := t.storeNow()
	b := &snapshotter{t: t, now: now, rooms: map[string]int{}, s: &forecast.Snapshot{
		At: time.Duration(now) * time.Millisecond, Window: arrivalWindow, Spread: c.runtimes.Spread, Errors: &errors,
		Jobs: make([]forecast.Job, 0, len(t.active)),
	}, steps: make([]forecast.Step, 0, stepsPerJob*len(t.active))}
	for _, j := range t.active {
		// The key of a job that no plan has seen is not known yet.
		if !j.state.Final() && j.key != (order.Key{}) {
			b.addJob(j)
		}
	}
	b.addQueues()
	b.addArrivals()
	b.measureRooms()
	return b.s
}

// roomsOf returns the index of a service's filling room; the one for reserved
// capacity follows it.
func (b *snapshotter) roomsOf(service string) int {
	n, ok := b.rooms[service]
	if !ok {
		n = len(b.s.Rooms)
		b.rooms[service] = n
		b.s.Rooms = append(b.s.Rooms, forecast.Room{Service: service, Filling: true}, forecast.Room{Service: service})
		b.images = append(b.images, map[fillingImage]int{}, nil)
	}
	return n
}

func (b *snapshotter) imageOf(room int, s *workload.Step) int {
	key := fillingImage{image: s.Image, need: s.Need}
	n, ok := b.images[room][key]
	if !ok {
		n = len(b.images[room])
		b.images[room][key] = n
	}
	return n
}

func (b *snapshotter) addJob(j *job) {
	x := forecast.Job{
		ID: j.spec.ID, Accepted: time.Duration(j.spec.Accepted) * time.Millisecond, Key: j.key,
		Endless: j.spec.Steps[0].Lasting, Repeats: j.next < j.spec.Occurrences(),
	}
	begun := len(b.steps)
	for _, o := range j.occurrences {
		first := len(b.steps) - begun
		for _, s := range o.steps {
			b.steps = append(b.steps, b.step(j, s, first))
		}
	}
	x.Steps = b.steps[begun:len(b.steps):len(b.steps)]
	b.s.Jobs = append(b.s.Jobs, x)
}

// step returns the state of a step; first is the index of its occurrence's first
// step.
func (b *snapshotter) step(j *job, s *step, first int) forecast.Step {
	x := forecast.Step{Room: b.roomsOf(j.queue.Service), Image: -1, Cores: float64(s.spec.Need.CPU) / 1000}
	if s.spec.Fills {
		x.Image = b.imageOf(x.Room, s.spec)
	} else {
		x.Room++
	}
	begun := len(b.after)
	for _, a := range s.spec.After {
		b.after = append(b.after, first+a)
	}
	x.After = b.after[begun:len(b.after):len(b.after)]
	if s.complete() {
		return x
	}
	x.Typical = b.t.typical(j, s)
	pace := b.t.forecaster.runtimes.Pace(s.spec.Image)
	begun = len(b.elapsed)
	for i := range s.tasks {
		k := &s.tasks[i]
		var spared time.Duration
		if s.spec.Checkpointing {
			spared = time.Duration(float64(k.worked) * pace)
		}
		switch k.state {
		case taskWaiting:
			x.Waiting++
			x.Spared += spared
		case taskPlaced:
			b.elapsed = append(b.elapsed, b.since(k)+spared)
		}
	}
	x.Running = b.elapsed[begun:len(b.elapsed):len(b.elapsed)]
	return x
}

// since is the time since a placed task was placed.
func (b *snapshotter) since(k *task) time.Duration {
	if k.placedStore == 0 {
		return max(0, time.Since(k.placedAt))
	}
	return time.Duration(max(0, b.now-k.placedStore)) * time.Millisecond
}

// outlookImages bounds the images of a queue for which an outlook is computed.
const outlookImages = 12

// addQueues adds the queues of the configuration, and those of active jobs.
func (b *snapshotter) addQueues() {
	images := map[string][]int{}
	queues := make(map[string]workload.Queue, len(b.t.queues))
	for name, q := range b.t.queues {
		queues[name] = q
	}
	for _, j := range b.t.active {
		queues[j.queue.Name] = j.queue
		for i := range j.spec.Steps {
			known := images[j.queue.Name]
			if s := &j.spec.Steps[i]; s.Fills && !j.state.Final() && len(known) < outlookImages {
				if n := b.imageOf(b.roomsOf(j.queue.Service), s); !slices.Contains(known, n) {
					images[j.queue.Name] = append(known, n)
				}
			}
		}
	}
	for name, q := range queues {
		room := b.roomsOf(q.Service)
		b.s.Queues = append(b.s.Queues, forecast.Queue{Name: name, Priority: q.Priority, Filling: room, Reserved: room + 1, Images: images[name]})
	}
}

// addArrivals adds the jobs with filling work that were accepted within the
// window, before others that have not ended.
func (b *snapshotter) addArrivals() {
	c := b.t.forecaster
	least := b.s.At - arrivalWindow
	for _, j := range c.arrived {
		at := time.Duration(j.spec.Accepted) * time.Millisecond
		if work := j.wholeWork(); work > 0 && at > least {
			c.arrivals = append(c.arrivals, serviceArrival{service: j.queue.Service, Arrival: forecast.Arrival{At: at, Priority: j.queue.Priority, Work: work}})
		}
	}
	c.arrived = nil
	kept := c.arrivals[:0]
	for _, a := range c.arrivals {
		if a.At > least {
			kept = append(kept, a)
		}
	}
	c.arrivals = kept[max(0, len(kept)-maxArrivals):]
	b.s.Arrivals = make([]forecast.Arrival, len(c.arrivals))
	for i, a := range c.arrivals {
		// The rooms of each snapshot have numbers of their own.
		a.Room = b.roomsOf(a.service)
		b.s.Arrivals[i] = a.Arrival
	}
}

// wholeWork is the filling work of one occurrence of the job by its estimates, in
// core-seconds; 0 for lasting jobs.
func (j *job) wholeWork() float64 {
	if j.spec.Steps[0].Lasting {
		return 0
	}
	sum := 0.0
	for i := range j.spec.Steps {
		if s := &j.spec.Steps[i]; s.Fills {
			sum += float64(s.Count) * float64(s.Need.CPU) / 1000 * s.Estimate.Seconds()
		}
	}
	return sum
}

// roomMeter sums the room of the workers of one service, in thousandths of a core.
type roomMeter struct {
	capacity, unused, reserved int
	images                     []fillingImage
	columns                    []int
	// byImage is the room that tasks of each image can use, freeFor that which is
	// free at present.
	byImage, freeFor []int
	// rows is the memory of add.
	rows []int
}

// measureRooms sets the capacity of all rooms.
func (b *snapshotter) measureRooms() {
	table := b.t.learner.weights()
	meters := make(map[string]*roomMeter, len(b.rooms))
	for service, n := range b.rooms {
		m := &roomMeter{images: make([]fillingImage, len(b.images[n])), columns: make([]int, len(b.images[n])), byImage: make([]int, len(b.images[n])), freeFor: make([]int, len(b.images[n]))}
		for image, i := range b.images[n] {
			m.images[i], m.columns[i] = image, table.column(image.image)
		}
		meters[service] = m
	}
	now := b.t.deps.Now()
	for _, w := range b.t.workers {
		if m := meters[w.info.Service]; m != nil && w.accepts(w.info.Service) && w.quarantine == nil {
			m.add(b.t, w, table, now)
		}
	}
	for service, n := range b.rooms {
		b.setRoom(service, n, meters[service], now)
	}
	b.t.forecaster.usualAt = now
}

func (m *roomMeter) add(t *Term, w *worker, table *weightTable, now time.Duration) {
	free := w.info.Capacity.Sub(w.used)
	unused := max(0, free.CPU+t.learner.leftover(w, now))
	m.capacity += w.info.Capacity.CPU
	m.reserved += max(0, w.info.Capacity.CPU-w.lasting.CPU-w.heldForOthers(workload.TaskID{}).CPU)
	m.unused += unused
	if len(m.images) == 0 || unused == 0 {
		return
	}
	rows := m.rows[:0]
	for image := range w.images {
		rows = append(rows, table.row(image))
	}
	m.rows = rows
	for i, x := range m.images {
		if x.need.CPU > 0 && !presses(table, rows, m.columns[i], x.need, w.info.Capacity) {
			m.byImage[i] += unused / x.need.CPU * x.need.CPU
			m.freeFor[i] += max(0, unused-w.fillLoad) / x.need.CPU * x.need.CPU
		}
	}
}

// presses reports whether a task with the given need is known to press on a
// serving image, so that the plan keeps it off the worker.
func presses(table *weightTable, rows []int, column int, need, capacity workload.Resources) bool {
	for _, row := range rows {
		own := table.weights[row][column]
		if own.Known && own.Value*float64(need.CPU) > pressingExtra*float64(capacity.CPU) {
			return true
		}
	}
	return false
}

// setRoom sets the rooms of a service from what its workers have.
func (b *snapshotter) setRoom(service string, n int, m *roomMeter, now time.Duration) {
	c := b.t.forecaster
	filling, reserved := &b.s.Rooms[n], &b.s.Rooms[n+1]
	filling.Cores, reserved.Cores = float64(m.unused)/1000, float64(m.reserved)/1000
	share := c.averageShare(service, m, now)
	filling.Usual, reserved.Usual = share*float64(m.capacity)/1000, reserved.Cores
	m.setImages(filling)
	if old, ok := c.stored[service]; ok && now < b.t.beganAt+settleAfter {
		filling.Cores, filling.Usual = max(filling.Cores, old.Filling), max(filling.Usual, old.Filling)
		reserved.Cores, reserved.Usual = max(reserved.Cores, old.Reserved), max(reserved.Usual, old.Reserved)
	}
	c.rooms[service] = storedRoom{Filling: filling.Usual, Reserved: reserved.Usual}
}

// setImages sets the parts of the room that each image can use.
func (m *roomMeter) setImages(r *forecast.Room) {
	r.Images, r.Free = make([]float64, len(m.byImage)), make([]float64, len(m.byImage))
	for i, cores := range m.byImage {
		if cores == 0 || m.unused == 0 {
			// Filling work that presses everywhere is barred nowhere.
			r.Images[i], r.Free[i] = 1, 1
			continue
		}
		r.Images[i] = float64(cores) / float64(m.unused)
		r.Free[i] = float64(m.freeFor[i]) / float64(m.unused)
	}
}

// averageShare updates and returns the mean share of a service's CPU that filling
// tasks can use. A share follows lost workers at once, while the mean of cores
// would not.
func (c *forecaster) averageShare(service string, m *roomMeter, now time.Duration) float64 {
	old, known := c.usual[service]
	if m.capacity == 0 {
		return old
	}
	share := float64(m.unused) / float64(m.capacity)
	if known {
		keep := math.Exp(-(now - c.usualAt).Seconds() / usualRoomMemory.Seconds())
		share = keep*old + (1-keep)*share
	}
	c.usual[service] = share
	return share
}
