package batch

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"persimmonrock.example/entry/retention"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

const (
	// maxOffloaded bounds the marks of offloaded jobs. Beyond it, a submission or
	// cancellation of a job that is not in memory reads the job's row.
	maxOffloaded = 500_000
	// expirePage is the number of rows that a pass over a shard reads at once.
	expirePage = 500
)

// offloaded marks the final jobs of a shard that were removed from its owner's
// memory. Their rows stay until their retention ends.
type offloaded struct {
	marks map[uint64]struct{}
	// full is set once a job was not marked because of maxOffloaded.
	full bool
}

func hashJobID(id structs.JobID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

func (o *offloaded) add(id structs.JobID) {
	if len(o.marks) >= maxOffloaded {
		o.full = true
		return
	}
	if o.marks == nil {
		o.marks = make(map[uint64]struct{})
	}
	o.marks[hashJobID(id)] = struct{}{}
}

func (o *offloaded) remove(id structs.JobID) { delete(o.marks, hashJobID(id)) }

// contains reports whether a job, or one of the same hash, is marked.
func (o *offloaded) contains(id structs.JobID) bool {
	_, contains := o.marks[hashJobID(id)]
	return contains
}

// mayContain is false only for a job that was certainly not offloaded.
func (o *offloaded) mayContain(id structs.JobID) bool {
	return o.full || o.contains(id)
}

// offloadFinals drops the oldest final jobs beyond Retain from memory. The
// caller holds t.mu.
func (t *tenure) offloadFinals() {
	extra := max(0, len(t.finals)-t.m.cfg.Retain)
	for _, id := range t.finals[:extra] {
		delete(t.jobs, id)
		t.offloaded.add(id)
	}
	t.finals = t.finals[extra:]
}

// recall reads an offloaded job back into memory, where the writer finds it.
//
// Failure guarded against: days after its end a job is submitted again under
// its Idempotency-Key, the owner no longer has it in memory, and the job runs
// twice. The guard: the owner marks the jobs that it offloads, and reads a
// marked job's row before it decides on a submission. Even without the mark the
// store would refuse the insert, which requires that there is no row.
func (t *tenure) recall(ctx context.Context, id structs.JobID) error {
	t.mu.Lock()
	needed := t.jobs[id] == nil && t.offloaded.mayContain(id)
	t.mu.Unlock()
	if !needed {
		return nil
	}
	row, err := t.m.get(ctx, structs.JobKey(t.shard, id))
	if errors.Is(err, infra.ErrNotFound) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.offloaded.remove(id)
		return nil
	}
	if err != nil {
		return err
	}
	var j structs.Job
	if json.Unmarshal(row.Value, &j) != nil {
		t.m.reportViolation("job row %s can't be decoded", row.Key)
		return infra.ErrUnavailable
	}
	t.m.count.jobsRecalled.Add(1)
	t.cacheFinal(j, row.Version)
	return nil
}

// cacheFinal puts job j into memory if it is final and not there already.
func (t *tenure) cacheFinal(j structs.Job, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs[j.ID] == nil && j.State.Final() {
		t.setConfirmed(j, version)
	}
}

// expire deletes old final jobs of the shard until the tenure ends.
func (t *tenure) expire() {
	interval := t.m.cfg.JobRetention / retention.Keep
	for t.pause(interval) {
		t.expirePass()
	}
}

// expirePass examines each row of the shard once. It holds one page of rows in
// memory; failures are left to the next pass.
func (t *tenure) expirePass() {
	after := ""
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, t.m.cfg.StoreTimeout)
		t.m.count.reads.Add(1)
		rows, err := t.m.deps.Table.Scan(ctx, structs.JobShardPrefix(t.shard), after, expirePage)
		cancel()
		if err != nil {
			return
		}
		var deletable []structs.JobID
		for _, r := range rows {
			after = r.Key
			var j structs.Job
			if json.Unmarshal(r.Value, &j) == nil && t.deletable(j, r.Version) {
				deletable = append(deletable, j.ID)
			}
		}
		t.deleteRows(deletable)
		if len(rows) < expirePage {
			return
		}
	}
}

// deletable reports whether the row of job j may be deleted now. Before it
// returns true, it deletes the objects that the row names. The row of an ended
// job without a retention period is stamped with the current period and kept.
func (t *tenure) deletable(j structs.Job, version uint64) bool {
	if !ended(j.State) {
		return false
	}
	if j.Ended == 0 {
		if _, known := t.m.retention.Epoch(); known {
			t.cacheFinal(j, version)
			t.submit(t.endPeriodChange(j))
		}
		return false
	}
	return t.m.retention.Expired(j.Ended) && t.deleteObjects(j)
}

// ended reports whether a job in state s can't run any more; a parked job may
// still be released.
func ended(s structs.JobState) bool { return s.Final() && s != structs.JobParked }

func (t *tenure) deleteObjects(j structs.Job) bool {
	for _, key := range []string{j.Result, j.Checkpoint} {
		if key == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, t.m.cfg.StoreTimeout)
		err := t.m.deps.Objects.Delete(ctx, key)
		cancel()
		if err != nil && !errors.Is(err, infra.ErrNotFound) {
			t.m.count.expireFailed.Add(1)
			return false
		}
	}
	return true
}

// deleteRows passes rows to the writer and waits until they are deleted.
func (t *tenure) deleteRows(ids []structs.JobID) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	t.expired = append(t.expired, ids...)
	t.mu.Unlock()
	signal(t.wakeWriter)
	for {
		t.mu.Lock()
		left := len(t.expired)
		t.mu.Unlock()
		if left == 0 || !t.pause(time.Second) {
			return
		}
	}
}

// dropExpired removes jobs whose rows are deleted. The caller holds t.mu.
func (t *tenure) dropExpired(ids []structs.JobID) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		delete(t.jobs, id)
		t.offloaded.remove(id)
	}
	t.expired = slices.Delete(t.expired, 0, len(ids))
	t.finals = slices.DeleteFunc(t.finals, func(id structs.JobID) bool { return t.jobs[id] == nil })
	t.m.count.jobsExpired.Add(int64(len(ids)))
}

// endPeriodChange records the current retention period as the end of a final
// job whose row has none: the period was not known then, or an older release
// wrote the row. The row is written as read, since the job in memory lacks the
// payload.
func (t *tenure) endPeriodChange(row structs.Job) *change {
	return &change{job: row.ID, decide: func(_ *view, current structs.Job, found bool) (structs.Job, error) {
		epoch, known := t.m.retention.Epoch()
		if !found || !ended(current.State) || current.Ended != 0 || !known {
			return current, errUnchanged
		}
		row.Ended = epoch
		return row, nil
	}}
}

// withEndPeriod sets next.Ended to the current period if next ends the job.
func (m *Manager) withEndPeriod(old, next structs.Job) structs.Job {
	if ended(next.State) && !ended(old.State) {
		next.Ended, _ = m.retention.Epoch()
	}
	return next
}
