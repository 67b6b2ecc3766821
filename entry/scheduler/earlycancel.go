package scheduler

import (
	"errors"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// earlyCancel is the cancellation of a job that the term does not know: the store
// may carry out the job's submission later, or its rows were deleted.
type earlyCancel struct {
	// row is the version of the cancellation's row; 0 before the row was read.
	row uint64
	// since is when the term first knew of the cancellation.
	since time.Duration
}

// recordEarlyCancel records the cancellation of a job that is not known. The
// caller holds mu.
func (t *Term) recordEarlyCancel(id workload.JobID, row uint64) {
	c, ok := t.earlyCancels[id]
	if !ok {
		c.since = t.deps.Now()
	}
	c.row = max(c.row, row)
	t.earlyCancels[id] = c
}

// oldEarlyCancels returns the versions of the rows of early cancellations that
// the term has known for as long as the jobs that it retires. A submission is
// carried out seconds after its call at the latest.
func (t *Term) oldEarlyCancels() map[workload.JobID]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := map[workload.JobID]uint64{}
	for id, c := range t.earlyCancels {
		if len(old) == retireBatch {
			break
		}
		if c.row != 0 && t.deps.Now()-c.since >= t.cfg.StatusFor+retireMargin {
			old[id] = c.row
		}
	}
	return old
}

// deleteEarlyCancels deletes the rows of old early cancellations whose jobs do not
// exist.
func (t *Term) deleteEarlyCancels() {
	for id, row := range t.oldEarlyCancels() {
		_, err := t.deps.Store.Apply(t.ctx, rowstore.Txn{
			Conds:   []rowstore.Cond{{Key: JobKey(id)}, {Key: CancelKey(id), Version: row}},
			Deletes: []rowstore.Key{CancelKey(id)},
		})
		var conflict *rowstore.ConflictError
		gone := errors.As(err, &conflict) && conflict.Find(CancelKey(id)).Version != row
		if err != nil && !gone {
			t.deps.Log.Info().Err(err).Str("job", string(id)).Msg("cancellation of a job that does not exist not deleted; trying again later")
			continue
		}
		t.mu.Lock()
		if t.earlyCancels[id].row == row {
			delete(t.earlyCancels, id)
		}
		t.mu.Unlock()
	}
}
