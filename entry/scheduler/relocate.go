package scheduler

import (
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

const (
	// relocateAfter is the least time for which a run stays where it is: the
	// samples that show its pressure cover half a second.
	relocateAfter = 900 * time.Millisecond
	// relocateEvery is the time between two checks of filling runs.
	relocateEvery = 200 * time.Millisecond
	// relocatePerPlan bounds the runs that one plan moves, per scaleUnit workers,
	// relocatePerTask the moves of one task.
	relocatePerPlan = 4
	relocatePerTask = 2
)

// relocate stops filling runs that press on serving tasks, and so hardly
// progress, if they would not press on another worker that has capacity. Their
// tasks resume there from a checkpoint; runs without checkpoints and overdue jobs
// are left alone. The caller has placed all tasks that it could.
func (t *Term) relocate(v *view) {
	if v.now-t.lastRelocate < relocateEvery {
		return
	}
	t.lastRelocate = v.now
	left := relocatePerPlan * fleetScale(len(v.workers))
	for _, j := range t.active {
		if j.state.Final() || j.key.Class == order.Overdue || j.queue.Advised {
			continue
		}
		v.setService(j.queue.Service)
		for _, o := range j.occurrences {
			for si, s := range o.steps {
				if !s.spec.Fills || !s.spec.Checkpointing || s.spec.Gang || s.done+s.waiting == len(s.tasks) {
					continue
				}
				left -= t.relocateStep(v, j, o, si, left)
				if left <= 0 {
					return
				}
			}
		}
	}
}

func (t *Term) relocateStep(v *view, j *job, o *occurrence, si, limit int) int {
	s := o.steps[si]
	v.countStep(s)
	t.setPressure(v, s.spec)
	v.barPressed(s.spec)
	defer v.liftBars()
	moved := 0
	now := time.Now()
	for i := range s.tasks {
		k := &s.tasks[i]
		if moved >= limit {
			break
		}
		from := v.index(k.worker)
		if k.state != taskPlaced || k.stopping || !k.ordered || k.moves >= relocatePerTask || from < 0 ||
			!v.candidates[from].Presses || now.Sub(k.placedAt) < relocateAfter {
			continue
		}
		n := placement.Choose(placement.Request{Step: s.spec, Avoid: -1}, v.candidates)
		if n < 0 || v.candidates[n].Presses {
			break
		}
		v.reserve(n, s.spec)
		k.moves++
		moved++
		t.deps.Counters.Relocated.Add(1)
		id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
		t.deps.Log.Info().Stringer("run", workload.RunID{Task: id, Run: k.run}).Str("from", string(k.worker)).
			Str("room", string(v.workers[n].id)).Msg("filling task stopped to be relocated")
		t.stop(id, k)
	}
	return moved
}
