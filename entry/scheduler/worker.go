package scheduler

import (
	"strings"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// worker is one incarnation of a worker as the scheduler sees it.
type worker struct {
	id workload.WorkerID
	// agent is the node of the worker's agent, link the connection to the agent;
	// link is nil until the agent has reported the worker in this term.
	agent string
	link  *agentLink
	info  workload.Worker
	// alive says that the worker answers its agent and its lease has not expired.
	alive bool
	// drained says that the worker's data centre is drained.
	drained bool
	// freshAtStop are the runs that may have crashed the worker, as its agent
	// reported while it was stopping.
	freshAtStop map[workload.RunID]dispatch.SuspectRun
	// loss is how the worker was lost, while it is kept on record until all ends in
	// the next life of its instance are known; nil otherwise.
	loss *workerLoss
	// leaseEnd is when the last lease that may have been granted expires.
	leaseEnd time.Duration
	// runs are the runs on record, with their reservations.
	runs map[workload.RunID]reservation
	used workload.Resources
	// lasting is the part of used that lasting tasks reserve.
	lasting workload.Resources
	// fillLoad is the CPU of filling runs; serving counts the runs with a target
	// for their tail latency.
	fillLoad int
	serving  int
	// fills sums the CPU of filling runs by image, images counts the serving runs
	// by image.
	fills  map[string]int
	images map[string]int
	// held is capacity held for tasks that are to be placed here.
	held map[workload.TaskID]heldCapacity
	// endsApplied is the highest End.Number that was applied, endsStored the
	// highest whose effects are stored.
	endsApplied uint64
	endsStored  uint64
	health      health
	// answeredAt is when the agent last reported that the worker answers.
	answeredAt time.Duration
	// suspects are tasks that may have crashed the worker; nil once the worker
	// answers again.
	suspects []suspect
	// quarantine dedicates the worker to one job for a while; nil otherwise.
	quarantine *quarantine
	// replacedAt is when the worker replaced lost ones of its machine; 0 unless the
	// recovery policy is on.
	replacedAt time.Duration
	// slowUntil is the time until which tasks that end by themselves, except
	// filling ones, prefer other workers.
	slowUntil time.Duration
}

// heldCapacity is held until the task is placed or pinned elsewhere, or its job
// ends.
type heldCapacity struct {
	need workload.Resources
	// fill is the CPU of a filling task, which holds it until its pinUntil.
	fill int
	job  *job
	task *task
}

// heldForOthers is the capacity held here for tasks other than id.
func (w *worker) heldForOthers(id workload.TaskID) workload.Resources {
	var sum workload.Resources
	for k, h := range w.held {
		switch {
		case h.task.pin != w.id || h.job.state.Final():
			delete(w.held, k)
		case k != id:
			sum = sum.Add(h.need)
		}
	}
	return sum
}

type reservation struct {
	counted workload.Resources
	fill    int
	lasts   bool
	serves  bool
	// target is the tail latency target of a serving task.
	target time.Duration
	image  string
}

func newWorker(id workload.WorkerID, agent string) *worker {
	return &worker{id: id, agent: agent, runs: map[workload.RunID]reservation{}, fills: map[string]int{}, images: map[string]int{}, held: map[workload.TaskID]heldCapacity{}}
}

func (w *worker) add(r workload.RunID, s *workload.Step) {
	if _, ok := w.runs[r]; ok {
		return
	}
	v := reservation{counted: s.Reserved(), lasts: s.Lasting, serves: s.TailTarget > 0, target: s.TailTarget, image: s.Image}
	if s.Fills {
		v.fill = s.Need.CPU
	}
	w.runs[r] = v
	w.used = w.used.Add(v.counted)
	if v.lasts {
		w.lasting = w.lasting.Add(v.counted)
	}
	w.fillLoad += v.fill
	if v.fill > 0 {
		w.fills[v.image] += v.fill
	}
	if v.serves {
		w.serving++
		w.images[v.image]++
	}
}

func (w *worker) remove(r workload.RunID) {
	v, ok := w.runs[r]
	if !ok {
		return
	}
	delete(w.runs, r)
	w.used = w.used.Sub(v.counted)
	if v.lasts {
		w.lasting = w.lasting.Sub(v.counted)
	}
	w.fillLoad -= v.fill
	if v.fill > 0 {
		subtract(w.fills, v.image, v.fill)
	}
	if v.serves {
		w.serving--
		subtract(w.images, v.image, 1)
	}
}

// subtract lowers a count and deletes it at zero.
func subtract(counts map[string]int, image string, n int) {
	counts[image] -= n
	if counts[image] <= 0 {
		delete(counts, image)
	}
}

// candidate returns the worker as the placement sees it.
func (w *worker) candidate(service string, now time.Duration) placement.Candidate {
	held := w.heldForOthers(workload.TaskID{})
	c := placement.Candidate{
		Capacity: w.info.Capacity, Free: w.info.Capacity.Sub(w.used).Sub(held), Held: held, FillLoad: w.fillLoad + w.heldFill(), Serving: w.serving,
		Rack: rackOf(w.info.Labels), Labels: w.info.Labels, Suspect: w.health.suspect(now), Slow: now < w.slowUntil,
	}
	switch {
	case !w.accepts(service):
		c.Barred, c.BarredBy = true, placement.NotReady
	case w.quarantine != nil:
		c.Barred, c.BarredBy = true, placement.Quarantined
	}
	return c
}

// accepts reports whether tasks of the service may begin on the worker.
func (w *worker) accepts(service string) bool {
	return w.alive && !w.draining() && !w.agentStopping() && w.info.Service == service
}

// agentStopping reports whether the process of the worker's agent is about to
// exit, or has exited, after a stop signal.
func (w *worker) agentStopping() bool { return w.link != nil && w.link.stopping }

// draining reports whether nothing more may begin on the worker, whatever its
// free capacity.
func (w *worker) draining() bool { return w.info.Draining || w.drained }

// rackOf finds the rack among a worker's labels. The first label is the kind.
// The rack is the next label that begins with "r", or else the last label.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	for _, l := range labels[1:] {
		if strings.HasPrefix(l, "r") {
			return l
		}
	}
	return labels[len(labels)-1]
}
