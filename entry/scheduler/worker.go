package scheduler

import (
	"strings"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// worker is one life of a worker as the scheduler sees it.
type worker struct {
	id workload.WorkerID
	// agent is the node of its agent, link the connection; link is nil while
	// no agent of this term has reported the worker.
	agent string
	link  *agentLink
	info  workload.Worker
	// alive says that the agent has listed it and its grant has not run out.
	alive bool
	// drained says that its data centre is.
	drained bool
	// bound is when the last lease that may have been granted is over.
	bound time.Duration
	// runs are the runs on record there, with what they take.
	runs map[workload.RunID]reservation
	used workload.Resources
	// lasting is the part of used that does not end by itself.
	lasting workload.Resources
	// fillLoad is the CPU of filling runs, serving the number of runs with a
	// target for their tail.
	fillLoad int
	serving  int
	// fills sums the CPU of filling runs by image, images counts the serving
	// runs.
	fills  map[string]int
	images map[string]int
	// kept is room for tasks that are to move here.
	kept map[workload.TaskID]keptRoom
	// processed is the highest end applied, stored the highest whose effect
	// is stored.
	processed uint64
	stored    uint64
	health    health
	// seenAt is when its agent last told that it answers.
	seenAt time.Duration
	// suspects are the tasks that may have crashed it, if it has.
	suspects []suspect
	// quarantine dedicates the worker to one job for a while; nil else.
	quarantine *quarantine
	// slowUntil is until when tasks that get on at their own pace go
	// elsewhere.
	slowUntil time.Duration
}

// keptRoom is room for one task, until a time.
type keptRoom struct {
	need  workload.Resources
	until time.Time
}

// keptFor is the room that is kept here for tasks other than id.
func (w *worker) keptFor(id workload.TaskID, now time.Time) workload.Resources {
	var sum workload.Resources
	for k, r := range w.kept {
		switch {
		case !now.Before(r.until):
			delete(w.kept, k)
		case k != id:
			sum = sum.Add(r.need)
		}
	}
	return sum
}

type reservation struct {
	counted workload.Resources
	fill    int
	lasts   bool
	serves  bool
	// target is the bound of a serving task's tail.
	target time.Duration
	image  string
}

func newWorker(id workload.WorkerID, agent string) *worker {
	return &worker{id: id, agent: agent, runs: map[workload.RunID]reservation{}, fills: map[string]int{}, images: map[string]int{}, kept: map[workload.TaskID]keptRoom{}}
}

// add counts a run.
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

// remove frees the room of a run.
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
		take(w.fills, v.image, v.fill)
	}
	if v.serves {
		w.serving--
		take(w.images, v.image, 1)
	}
}

// take lowers a count, and drops it at nothing.
func take(counts map[string]int, image string, n int) {
	counts[image] -= n
	if counts[image] <= 0 {
		delete(counts, image)
	}
}

// candidate is the worker as the placement sees it.
func (w *worker) candidate(service string, now time.Duration) placement.Candidate {
	return placement.Candidate{
		Capacity: w.info.Capacity, Free: w.info.Capacity.Sub(w.used).Sub(w.keptFor(workload.TaskID{}, time.Now())), FillLoad: w.fillLoad, Serving: w.serving,
		Rack: rackOf(w.info.Labels), Labels: w.info.Labels, Suspect: w.health.suspect(now), Slow: now < w.slowUntil,
		Barred: !w.takes(service) || w.quarantine != nil,
	}
}

// takes reports whether tasks of the service may begin on the worker.
func (w *worker) takes(service string) bool {
	return w.alive && !w.leaving() && w.info.Service == service
}

// leaving reports whether nothing more may begin on the worker, whatever its
// room.
func (w *worker) leaving() bool { return w.info.Draining || w.drained }

// rackOf finds the rack among a worker's labels: the first label is the
// worker's kind, the last its rack.
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
