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
	// maxOutside bounds the marks of final jobs whose rows are in the table
	// service only; with more of them each unknown job is looked up there.
	maxOutside = 500_000
	// expirePage is the number of rows that a pass over a shard reads at once.
	expirePage = 500
)

// outside marks the final jobs of a shard that left its owner's memory. Their
// rows stay until their retention is over.
type outside struct {
	marks map[uint64]struct{}
	// full is set once there were too many to mark.
	full bool
}

func mark(id structs.JobID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

func (o *outside) add(id structs.JobID) {
	if len(o.marks) >= maxOutside {
		o.full = true
		return
	}
	if o.marks == nil {
		o.marks = make(map[uint64]struct{})
	}
	o.marks[mark(id)] = struct{}{}
}

func (o *outside) remove(id structs.JobID) { delete(o.marks, mark(id)) }

// marked says that a job very probably has a row outside the memory.
func (o *outside) marked(id structs.JobID) bool {
	_, marked := o.marks[mark(id)]
	return marked
}

// mayHave is false only for a job that has no row outside the memory.
func (o *outside) mayHave(id structs.JobID) bool {
	return o.full || o.marked(id)
}

// trim lets the oldest final jobs leave the memory. The caller holds t.mu.
func (t *tenure) trim() {
	extra := max(0, len(t.finals)-t.m.cfg.Retain)
	for _, id := range t.finals[:extra] {
		delete(t.jobs, id)
		t.outside.add(id)
	}
	t.finals = t.finals[extra:]
}

// recall brings a final job back into the memory that left it, so that the
// writer finds it.
//
// Failure guarded against: a customer submits a job again under its
// Idempotency-Key days after its end, the owner doesn't know it any more, and
// the claim is lodged twice. The guard: the owner marks what left its memory
// and reads such a row before it decides. Even without the mark the insert
// would be refused, since it requires that there is no row.
func (t *tenure) recall(ctx context.Context, id structs.JobID) error {
	t.mu.Lock()
	wanted := t.jobs[id] == nil && t.outside.mayHave(id)
	t.mu.Unlock()
	if !wanted {
		return nil
	}
	row, err := t.m.get(ctx, structs.JobKey(t.shard, id))
	if errors.Is(err, infra.ErrNotFound) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.outside.remove(id)
		return nil
	}
	if err != nil {
		return err
	}
	var j structs.Job
	if json.Unmarshal(row.Value, &j) != nil {
		t.m.broken("job row %s can't be read", row.Key)
		return infra.ErrUnavailable
	}
	t.m.count.jobsRecalled.Add(1)
	t.remember(j, row.Version)
	return nil
}

// remember puts the row of a final job into the memory, unless it is there.
func (t *tenure) remember(j structs.Job, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs[j.ID] == nil && j.State.Final() {
		t.store(j, version)
	}
}

// expire deletes old final jobs of the shard until the tenure ends.
func (t *tenure) expire() {
	every := t.m.cfg.JobRetention / retention.Keep
	for t.pause(every) {
		t.expirePass()
	}
}

// expirePass looks at each row of the shard once. Memory is bounded by the
// page; what fails is left to the next pass.
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
		var over []structs.JobID
		for _, r := range rows {
			after = r.Key
			var j structs.Job
			if json.Unmarshal(r.Value, &j) == nil && t.over(j, r.Version) {
				over = append(over, j.ID)
			}
		}
		t.forget(over)
		if len(rows) < expirePage {
			return
		}
	}
}

// over reports whether a row may be deleted now. A final row without a stamp
// gets one, and its objects are deleted before the row that names them.
func (t *tenure) over(j structs.Job, version uint64) bool {
	if !ended(j.State) {
		return false
	}
	if j.Ended == 0 {
		if _, known := t.m.retention.Epoch(); known {
			t.remember(j, version)
			t.submit(t.stampChange(j))
		}
		return false
	}
	return t.m.retention.Expired(j.Ended) && t.deleteObjects(j)
}

// ended reports whether a job in state s is over for good; a parked one may
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

// forget hands rows to the writer, which deletes them.
func (t *tenure) forget(ids []structs.JobID) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	t.expired = append(t.expired, ids...)
	t.mu.Unlock()
	signal(t.wake)
	for {
		t.mu.Lock()
		left := len(t.expired)
		t.mu.Unlock()
		if left == 0 || !t.pause(time.Second) {
			return
		}
	}
}

// dropExpired forgets jobs whose rows are deleted. The caller holds t.mu.
func (t *tenure) dropExpired(ids []structs.JobID) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		delete(t.jobs, id)
		t.outside.remove(id)
	}
	t.expired = slices.Delete(t.expired, 0, len(ids))
	t.finals = slices.DeleteFunc(t.finals, func(id structs.JobID) bool { return t.jobs[id] == nil })
	t.m.count.jobsExpired.Add(int64(len(ids)))
}

// stampChange notes when a final job ended, for a row that doesn't say it:
// the count of periods was not known then, or the row is of an older version.
// The row is written as it was read, since the memory lacks the payload.
func (t *tenure) stampChange(row structs.Job) *change {
	return &change{job: row.ID, decide: func(_ *view, current structs.Job, found bool) (structs.Job, error) {
		epoch, known := t.m.retention.Epoch()
		if !found || !ended(current.State) || current.Ended != 0 || !known {
			return current, errKeep
		}
		row.Ended = epoch
		return row, nil
	}}
}

// stamped is the next state of a job with the time of its end.
func (m *Manager) stamped(old, next structs.Job) structs.Job {
	if ended(next.State) && !ended(old.State) {
		next.Ended, _ = m.retention.Epoch()
	}
	return next
}
