package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"persimmonrock.example/structs"
)

// record is one job as the table service last confirmed it.
type record struct {
	job structs.Job
	// version is the row's version, 0 when a lost answer left it unknown.
	version uint64
	// digest identifies the submitted body, also after the payload is dropped.
	digest uint64
	// confirmed is set once the agent has accepted the start of this epoch.
	confirmed bool
	// mayHaveSent is set before the first start of this epoch is sent, and
	// for every running job that an earlier tenure claimed.
	mayHaveSent bool
	// sending is set while a start of this epoch is in flight, or while the job
	// is being requeued because its start was never sent.
	sending bool
	// nextSend is the time at which a start or stop is sent again.
	nextSend time.Time
	// notBefore is the time until which backOff excludes the job from placement;
	// backoffs counts these exclusions.
	notBefore time.Time
	backoffs  int
	// considered is the number of the last sweep that considered the queued job.
	considered uint64
	// waitReason tells clients why the job is still queued.
	waitReason string
}

// tally counts the jobs and slots of one customer in the shard.
type tally struct {
	unfinished int
	heldSlots  int
}

func (y *tally) add(j structs.Job, sign int) {
	if !j.State.Final() {
		y.unfinished += sign
	}
	if j.State == structs.JobRunning {
		y.heldSlots += sign * slotsOf(j)
	}
}

// instanceTasks holds the running jobs of one instance. All were claimed under
// lowestLease or a later lease: until lowestLease ends, no job needs a check.
type instanceTasks struct {
	jobs        map[structs.JobID]struct{}
	lowestLease structs.Incarnation
}

// slotsOf returns the number of slots that a task holds, at least one.
func slotsOf(j structs.Job) int { return max(1, j.Spec.Declared.Slots) }

// tenure is one period in which this entry owns a shard. All state in memory is
// dropped at its end; the next tenure reads the rows again.
type tenure struct {
	m          *Manager
	shard      structs.ShardID
	epoch      structs.Epoch
	ctx        context.Context
	stop       context.CancelCauseFunc
	wakeWriter chan struct{}
	wakeWork   chan struct{}
	done       chan struct{}

	mu sync.Mutex
	// lease and version are the shard row as last confirmed.
	lease   structs.ShardLease
	version uint64
	// validUntil is the end of the lease by this process's own clock: ShardLease
	// after the last confirmed write was first sent.
	validUntil time.Time
	loaded     bool
	draining   bool
	// stalledSince is when the outcome of the transaction in flight became
	// unknown, or zero.
	stalledSince time.Time
	// inFlight are the jobs of the transaction in flight.
	inFlight map[structs.JobID]struct{}
	jobs     map[structs.JobID]*record
	tallies  map[structs.Customer]*tally
	queue    map[structs.Customer][]structs.JobID
	running  map[structs.InstanceID]*instanceTasks
	// outboxes hold the unanswered starts and the stops for each instance.
	outboxes map[structs.InstanceID]*outbox
	// finals are the ended jobs in memory, in the order in which they ended or
	// were read. offloaded marks ended jobs removed from memory. expired are jobs
	// whose rows are to be deleted.
	finals    []structs.JobID
	offloaded offloaded
	expired   []structs.JobID
	submitted uint64
	sweep     sweep
	// claimEnds counts ended claims: each frees slots of a customer's share.
	claimEnds uint64
	pending   []*change
}

// errReplaced ends a tenure whose shard row another entry has written.
var errReplaced = errors.New("batch: the shard has another owner")

// errDrained ends a tenure that released its shard.
var errDrained = errors.New("batch: the shard was released")

func newTenure(ctx context.Context, m *Manager, lease structs.ShardLease, version uint64, sent time.Time) *tenure {
	t := &tenure{
		m: m, shard: lease.Shard, epoch: lease.Epoch, lease: lease, version: version,
		validUntil: sent.Add(m.cfg.ShardLease),
		wakeWriter: make(chan struct{}, 1),
		wakeWork:   make(chan struct{}, 1),
		done:       make(chan struct{}),
		jobs:       make(map[structs.JobID]*record),
		tallies:    make(map[structs.Customer]*tally),
		queue:      make(map[structs.Customer][]structs.JobID),
		running:    make(map[structs.InstanceID]*instanceTasks),
		outboxes:   make(map[structs.InstanceID]*outbox),
	}
	t.ctx, t.stop = context.WithCancelCause(ctx)
	return t
}

// serving reports whether the rows are loaded and the tenure neither drains
// nor has ended.
func (t *tenure) serving() bool {
	if t.ctx.Err() != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded && !t.draining
}

// setConfirmed makes j the confirmed state of its row. The caller holds t.mu.
func (t *tenure) setConfirmed(j structs.Job, version uint64) *record {
	r := t.jobs[j.ID]
	if r == nil {
		r = &record{digest: digest(j.Spec)}
		t.jobs[j.ID] = r
	} else {
		t.unindex(r.job)
	}
	wasEnded := ended(r.job.State)
	if r.job.Epoch != j.Epoch || r.job.State != j.State || r.job.CancelRequested != j.CancelRequested {
		r.nextSend = time.Time{}
		r.waitReason = ""
		r.considered = 0
	}
	if r.job.Epoch != j.Epoch {
		r.confirmed = false
		r.mayHaveSent = false
		r.sending = false
	}
	if ended(j.State) {
		j.Spec.Payload = nil
	}
	r.job = j
	r.version = version
	if !wasEnded {
		t.index(j)
	}
	if j.State == structs.JobRunning && (!r.confirmed || j.CancelRequested) {
		t.queueSend(j)
	} else {
		t.clearSend(j.Instance, j.ID)
	}
	t.submitted = max(t.submitted, j.Submitted)
	return r
}

func (t *tenure) index(j structs.Job) {
	y := t.tallies[j.Customer]
	if y == nil {
		y = &tally{}
		t.tallies[j.Customer] = y
	}
	y.add(j, 1)
	switch {
	case j.State == structs.JobQueued:
		q := t.queue[j.Customer]
		at, _ := slices.BinarySearchFunc(q, j.Submitted, t.bySubmission)
		t.queue[j.Customer] = slices.Insert(q, at, j.ID)
		t.sweep.more = true
	case j.State == structs.JobRunning:
		on := t.running[j.Instance]
		if on == nil {
			on = &instanceTasks{jobs: make(map[structs.JobID]struct{}), lowestLease: j.Incarnation}
			t.running[j.Instance] = on
		}
		on.jobs[j.ID] = struct{}{}
		on.lowestLease = min(on.lowestLease, j.Incarnation)
	case ended(j.State):
		t.finals = append(t.finals, j.ID)
	}
}

func (t *tenure) bySubmission(id structs.JobID, submitted uint64) int {
	at := t.jobs[id].job.Submitted
	switch {
	case at < submitted:
		return -1
	case at > submitted:
		return 1
	}
	return 0
}

func (t *tenure) unindex(j structs.Job) {
	t.tallies[j.Customer].add(j, -1)
	switch j.State {
	case structs.JobQueued:
		q := t.queue[j.Customer]
		at, _ := slices.BinarySearchFunc(q, j.Submitted, t.bySubmission)
		if at == len(q) || q[at] != j.ID {
			t.m.reportViolation("queued job %s is not in the queue of its customer", j.ID)
			return
		}
		if q = slices.Delete(q, at, at+1); len(q) == 0 {
			delete(t.queue, j.Customer)
			return
		}
		t.queue[j.Customer] = q
	case structs.JobRunning:
		t.claimEnds++
		on := t.running[j.Instance]
		delete(on.jobs, j.ID)
		if len(on.jobs) == 0 {
			delete(t.running, j.Instance)
		}
	}
}

// current returns the confirmed state of a job, unless a transaction in flight
// may have changed it. The row may then be newer than the state in memory, and
// a client that has seen the row through another entry would see the job return
// to an earlier state here.
func (t *tenure) current(id structs.JobID) (structs.Job, bool) {
	t.mu.Lock()
	_, changing := t.inFlight[id]
	t.mu.Unlock()
	if changing {
		return structs.Job{}, false
	}
	return t.get(id)
}

// get returns the confirmed state of a job.
func (t *tenure) get(id structs.JobID) (structs.Job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.jobs[id]
	if r == nil {
		return structs.Job{}, false
	}
	j := r.job
	if j.State == structs.JobQueued && r.waitReason != "" {
		j.Reason = r.waitReason
	}
	return j, true
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
