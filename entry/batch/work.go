package batch

import (
	"fmt"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Bounds of one round of placement.
const (
	// maxClaims bounds the claims of one round; they fit one transaction.
	maxClaims = 200
	// minBackoff and maxBackoff bound the time for which backOff excludes a job
	// from placement.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// leaseCheckEvery is the interval at which running jobs are compared with the
// observed leases of their agents.
const leaseCheckEvery = 250 * time.Millisecond

// workLoop places, starts, stops and requeues jobs until the tenure ends.
func (t *tenure) workLoop() {
	tick := time.NewTicker(t.m.cfg.PlanEvery)
	defer tick.Stop()
	var checked time.Time
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		case <-t.wakeWork:
		}
		checkLeases := time.Since(checked) >= leaseCheckEvery
		if !t.hasWork(checkLeases) {
			continue
		}
		agents, changes := t.m.agents()
		if checkLeases {
			checked = time.Now()
			t.requeueEndedClaims(agents)
		}
		if t.roundDue(time.Now(), changes) {
			t.place(agents)
		}
		t.sendDueJobs(agents)
	}
}

// hasWork reports whether there is anything to place, to send or to check.
func (t *tenure) hasWork(checkLeases bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queue) > 0 || (checkLeases && len(t.running) > 0) || t.sendDue(time.Now())
}

// handleStartAnswer handles an agent's answer to one start and reports whether
// the job is requeued.
func (t *tenure) handleStartAnswer(j structs.Job, refused *structs.Refusal) bool {
	if refused == nil {
		t.confirmStart(j)
		return false
	}
	if refused.Outcome != structs.NotRun {
		return false
	}
	t.m.count.startsRefused.Add(1)
	t.requeueUnstarted(j, fmt.Sprintf("%s refused: %s", j.Instance, refused.Type))
	return true
}

func (t *tenure) confirmStart(j structs.Job) {
	t.mu.Lock()
	if r := t.jobs[j.ID]; r != nil && r.job.Epoch == j.Epoch {
		r.confirmed = true
		r.backoffs = 0
		if !r.job.CancelRequested {
			t.clearSend(j.Instance, j.ID)
		}
	}
	t.mu.Unlock()
	t.m.reserved.remove(t, j.ID)
}

// requeueUnstarted ends a claim whose task provably never started.
func (t *tenure) requeueUnstarted(j structs.Job, reason string) {
	c := t.endChange(wire.TaskReport{Job: j.ID, Shard: t.shard, Epoch: j.Epoch, End: wire.EndNotStarted})
	c.settle = func(after structs.Job, err error) {
		t.m.reserved.remove(t, j.ID)
		if err != nil {
			t.clearSending(j)
			return
		}
		t.jobEvent(after)
		t.backOff(j.ID, reason)
	}
	t.submit(c)
}
