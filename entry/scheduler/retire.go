package scheduler

import (
	"errors"
	"slices"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// Rows do not expire by themselves, and the store's size is limited, so the
// scheduler deletes the rows of jobs that ended long ago. A deletion can't be
// taken back, and no time that is read from the store proves it right: the clock
// that dated a job's end may not be the one that it is compared with. So a job is
// retired in three steps, each on what the step before has stored:
//
//  1. Schedulers have seen the job's final state in the store for long enough, each
//     by its own clock and for its own term; what they have seen is stored each
//     seenEvery. The one in office marks the job's progress row with the version of
//     the job's row. The mark is stored under the lease, so only it decides.
//  2. The job's row and its cancellation are deleted if the job's row still has
//     that version.
//  3. The progress row is deleted under the lease.
//
// A later term goes on with a marked job where the earlier one has stopped.

const (
	// retireEvery is the time between two checks for jobs whose rows may be
	// deleted.
	retireEvery = 10 * time.Second
	// retireMargin is the time for which a job is kept beyond StatusFor: a client
	// may repeat a submission seconds after the answer, and the job would run
	// again if its row were deleted.
	retireMargin = 2 * time.Minute
	// seenEvery is the time between two records of the time for which a final state was
	// seen. A term that is shorter adds nothing to it.
	seenEvery = time.Minute
	// retireBatch bounds the jobs of one check: at the users' highest rate, 17 jobs a
	// second end, 170 between two checks.
	retireBatch = 400
	// retirePerTxn bounds the jobs of one transaction, which has up to three entries
	// for each.
	retirePerTxn = rowstore.MaxTxnEntries / 3
)

// oldJob is a job whose rows may be deleted: its mark is stored.
type oldJob struct {
	id workload.JobID
	// row is the version of the job's row to which the mark applies.
	row uint64
	// seen is the time for which schedulers have seen the final state.
	seen time.Duration
	// cancelRow says that the job also has a cancellation row.
	cancelRow bool
}

// retireLoop marks the jobs that ended long ago, and deletes the rows of marked
// jobs.
func (t *Term) retireLoop() {
	for {
		t.sleep(retireEvery)
		if t.ctx.Err() != nil {
			return
		}
		t.mu.Lock()
		marked := t.markOldJobs()
		old := t.markedJobs()
		t.mu.Unlock()
		if marked {
			t.wakeUp()
		}
		gone := t.deleteJobs(old)
		t.mu.Lock()
		for _, o := range gone {
			t.forget(o)
		}
		t.mu.Unlock()
		t.deleteEarlyCancels()
	}
}

// markOldJobs marks jobs without placed runs or parts whose final state has been seen
// in the store for long enough, and records this time for the others. It reports
// whether there were any.
func (t *Term) markOldJobs() bool {
	marked, changed := 0, false
	for _, j := range t.jobs {
		if !j.stored.Final() || j.rowVersion == 0 || j.retire != 0 || j.unsaved || j.hasPlaced() || len(j.parts) > 0 {
			continue
		}
		seen := t.seenFinal(j)
		switch {
		case seen >= t.cfg.StatusFor+retireMargin && marked < retireBatch:
			j.retire = j.rowVersion
			marked++
		case seen < t.cfg.StatusFor+retireMargin && seen-j.seenStored >= seenEvery:
			j.seenStored = seen
		default:
			continue
		}
		t.markDirty(j)
		changed = true
	}
	return changed
}

// seenFinal is the time for which schedulers have seen the final state of j in the
// store.
func (t *Term) seenFinal(j *job) time.Duration { return j.seenBefore + t.deps.Now() - j.finalSeen }

// markedJobs lists jobs whose mark is stored.
func (t *Term) markedJobs() []oldJob {
	var old []oldJob
	for id, j := range t.jobs {
		if len(old) == retireBatch {
			break
		}
		if j.retireStored {
			old = append(old, oldJob{id: id, row: j.retire, seen: t.seenFinal(j), cancelRow: j.cancelRow})
		}
	}
	return old
}

// deleteJobs deletes the rows of marked jobs and their cancellations, in one
// transaction for each partition, and returns the jobs whose rows are gone.
// Progress rows are deleted later, by the term's transactions: a job whose
// progress row was deleted first would run again.
func (t *Term) deleteJobs(old []oldJob) []oldJob {
	parts := map[string][]oldJob{}
	for _, o := range old {
		parts[jobPart(o.id)] = append(parts[jobPart(o.id)], o)
	}
	var gone []oldJob
	for _, list := range parts {
		for some := range slices.Chunk(list, retirePerTxn) {
			gone = append(gone, t.deletePart(some)...)
		}
	}
	if len(gone) > 0 {
		ids, least := make([]string, len(gone)), gone[0].seen
		for i, o := range gone {
			ids[i], least = string(o.id), min(least, o.seen)
		}
		t.deps.Counters.Retired.Add(int64(len(gone)))
		t.deps.Log.Info().Uint64("epoch", t.epoch).Strs("jobs", ids).Dur("final_for", least).Msg("rows of ended jobs deleted, except for their progress")
	}
	return gone
}

// deletePart deletes the rows of jobs of one partition, and returns the jobs whose
// rows are gone.
func (t *Term) deletePart(list []oldJob) []oldJob {
	var x rowstore.Txn
	for _, o := range list {
		x.Conds = append(x.Conds, rowstore.Cond{Key: JobKey(o.id), Version: o.row})
		x.Deletes = append(x.Deletes, JobKey(o.id))
		if o.cancelRow {
			x.Deletes = append(x.Deletes, CancelKey(o.id))
		} else {
			// A cancellation that the term has not heard of would outlive the job, and
			// cancel a later one of the same identifier.
			x.Conds = append(x.Conds, rowstore.Cond{Key: CancelKey(o.id)})
		}
	}
	_, err := t.deps.Store.Apply(t.ctx, x)
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return list
	case errors.As(err, &conflict):
		return t.deletedBefore(list)
	}
	t.deps.Log.Info().Err(err).Int("jobs", len(list)).Msg("rows of ended jobs not deleted; trying again later")
	return nil
}

// deletedBefore returns the jobs of a list whose rows are gone: an attempt without an
// answer was applied, and the row is absent, or is that of a later submission of the
// same identifier. The others are deleted at the next check. The rows are read, since a
// conflict that doesn't show a row proves nothing of it.
func (t *Term) deletedBefore(list []oldJob) []oldJob {
	var gone []oldJob
	for _, o := range list {
		row, err := rowstore.Get(t.ctx, t.deps.Store, JobKey(o.id))
		if err == nil && row.Version != o.row {
			gone = append(gone, o)
		}
	}
	return gone
}

// forget removes a job whose rows are deleted. The caller holds mu.
func (t *Term) forget(o oldJob) {
	if j := t.jobs[o.id]; j != nil && j.retire == o.row {
		delete(t.jobs, o.id)
		t.deleted[o.id] = o.row
		t.retired = append(t.retired, o.id)
	}
}

// outdated reports whether a version of a job's row is that of a job which the term
// has deleted: a list that was read before the deletion may be applied after it, and
// the feed may tell of the row before it tells of the deletion. The caller holds mu.
func (t *Term) outdated(id workload.JobID, version uint64) bool {
	deleted, ok := t.deleted[id]
	return ok && version <= deleted
}

// sawDeletion records that the feed has told of the deletion of a job's row. What it
// tells later is newer. The caller holds mu.
func (t *Term) sawDeletion(id workload.JobID, version uint64) {
	if row, ok := t.deleted[id]; ok && version > row {
		delete(t.deleted, id)
	}
}

// replaced reports whether a version of the row of a known job shows that the job
// was retired, and its identifier submitted again. The caller holds mu.
func (t *Term) replaced(j *job, version uint64) bool {
	return j.retire != 0 && version > j.retire
}

// retiredKeys removes jobs from t.retired, and returns their progress keys. The
// progress of a job that was submitted again is overwritten instead.
func (t *Term) retiredKeys() []rowstore.Key {
	n := min(len(t.retired), commitRows)
	keys := make([]rowstore.Key, 0, n)
	for _, id := range t.retired[:n] {
		if j := t.jobs[id]; j != nil {
			t.markDirty(j)
			continue
		}
		keys = append(keys, ProgressKey(id))
	}
	t.retired = t.retired[n:]
	return keys
}
