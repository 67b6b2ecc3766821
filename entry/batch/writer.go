package batch

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// maxJobRows bounds the job rows of a transaction; the shard row is one more.
const maxJobRows = infra.MaxTxnRows - 1

// maxTxnBytes is the size of payloads at which a transaction is full.
const maxTxnBytes = 1 << 20

// repeatPause is the wait between attempts of one transaction.
const repeatPause = 20 * time.Millisecond

// view is the shard's state with the decisions of one transaction applied.
type view struct {
	t         *tenure
	jobs      map[structs.JobID]structs.Job
	order     []structs.JobID
	tallies   map[structs.Customer]tally
	submitted uint64
	bytes     int
	// expired are final jobs whose rows the transaction deletes.
	expired []structs.JobID
	// fence is set when an answer needs a write that proves this entry's
	// ownership.
	fence bool
	// release is set in the last transaction of a tenure that releases its shard.
	release bool
}

func (v *view) get(id structs.JobID) (structs.Job, bool) {
	if j, ok := v.jobs[id]; ok {
		return j, true
	}
	if r := v.t.jobs[id]; r != nil {
		return r.job, true
	}
	return structs.Job{}, false
}

func (v *view) digest(id structs.JobID) uint64 {
	if j, ok := v.jobs[id]; ok && v.t.jobs[id] == nil {
		return digest(j.Spec)
	}
	return v.t.jobs[id].digest
}

func (v *view) tally(c structs.Customer) tally {
	if y, ok := v.tallies[c]; ok {
		return y
	}
	if y := v.t.tallies[c]; y != nil {
		return *y
	}
	return tally{}
}

func (v *view) unfinished(c structs.Customer) int { return v.tally(c).unfinished }
func (v *view) held(c structs.Customer) int       { return v.tally(c).heldSlots }

// put records the next state of a job, after checking the transition.
func (v *view) put(old structs.Job, found bool, next structs.Job) {
	next = v.t.m.withEndPeriod(old, next)
	v.t.m.checkTransition(old, found, next)
	y := v.tally(next.Customer)
	if found {
		y.add(old, -1)
	}
	y.add(next, 1)
	v.tallies[next.Customer] = y
	if _, again := v.jobs[next.ID]; !again {
		v.order = append(v.order, next.ID)
	}
	v.jobs[next.ID] = next
	v.bytes += len(next.Spec.Payload)
}

// checkTransition checks the rules for every change of a job. A claim starts
// from queued and raises the epoch by one; nothing else changes the epoch. A
// final state never changes, except that an operator may release a parked job
// or its customer may cancel it.
func (m *Manager) checkTransition(old structs.Job, found bool, next structs.Job) {
	claim := next.State == structs.JobRunning && old.State != structs.JobRunning
	switch {
	case claim && (old.State != structs.JobQueued || next.Epoch != old.Epoch+1):
		m.reportViolation("job %s is claimed from %s, epoch %d to %d", next.ID, old.State, old.Epoch, next.Epoch)
	case !claim && next.Epoch != old.Epoch:
		m.reportViolation("job %s changes its epoch from %d to %d without a claim", next.ID, old.Epoch, next.Epoch)
	case found && old.State.Final() && old.State != structs.JobParked && next.State != old.State:
		m.reportViolation("job %s leaves its final state %s for %s", next.ID, old.State, next.State)
	}
}

// submit passes changes to the writer; false means that the tenure is not
// serving and the changes will have no effect.
func (t *tenure) submit(changes ...*change) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || !t.loaded || t.draining {
		return false
	}
	t.pending = append(t.pending, changes...)
	signal(t.wakeWriter)
	return true
}

// withdraw removes a change that is in no transaction yet; the change then has
// no effect and is not settled.
func (t *tenure) withdraw(c *change) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.taken {
		return false
	}
	at := slices.Index(t.pending, c)
	if at < 0 {
		return false
	}
	t.pending = slices.Delete(t.pending, at, at+1)
	return true
}

// writeLoop is the shard's only writer. It returns when the tenure ends.
func (t *tenure) writeLoop() {
	defer close(t.done)
	defer t.rejectPending()
	renew := time.NewTimer(t.m.cfg.ShardLease / 3)
	defer renew.Stop()
	for {
		renewalDue := false
		select {
		case <-t.ctx.Done():
			return
		case <-renew.C:
			renewalDue = true
		case <-t.wakeWriter:
			if !t.pause(t.m.cfg.FlushEvery) {
				return
			}
		}
		if !t.flush(renewalDue) {
			return
		}
		renew.Reset(t.m.cfg.ShardLease / 3)
	}
}

func (t *tenure) pause(d time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// flush commits one transaction of pending changes. A due renewal is written
// even without changes; every transaction renews the shard's lease.
func (t *tenure) flush(renewalDue bool) bool {
	v, taken := t.collect()
	if len(v.order) == 0 && len(v.expired) == 0 && !v.fence && !renewalDue && !v.release {
		t.settle(v, taken, nil)
		return true
	}
	txn, lease := t.transaction(v)
	sent := time.Now()
	versions, err := t.commit(txn)
	switch {
	case err == nil:
		t.apply(v, lease, versions, sent)
		t.settle(v, taken, nil)
		if v.release {
			t.stop(errDrained)
		}
		return true
	case errors.Is(err, infra.ErrUnavailable):
		t.m.count.flushesUnavailable.Add(1)
		t.clearInFlight()
		t.settle(v, taken, errNotApplied)
		if v.release {
			signal(t.wakeWriter)
		}
		return t.pause(repeatPause)
	}
	t.settle(v, taken, err)
	return false
}

func (t *tenure) clearInFlight() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = nil
}

type decision struct {
	change *change
	err    error
}

// collect decides pending changes until a transaction is full.
func (t *tenure) collect() (*view, []decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offloadFinals()
	v := &view{
		t: t, jobs: make(map[structs.JobID]structs.Job), tallies: make(map[structs.Customer]tally),
		submitted: t.submitted,
	}
	var taken []decision
	for len(t.pending) > 0 && len(v.order) < maxJobRows && v.bytes < maxTxnBytes {
		c := t.pending[0]
		t.pending = t.pending[1:]
		c.taken = true
		current, found := v.get(c.job)
		next, err := c.decide(v, current, found)
		if err == nil {
			v.put(current, found, next)
		}
		if errors.Is(err, errAbsent) || errors.Is(err, errStale) {
			v.fence = true
		}
		taken = append(taken, decision{c, err})
	}
	v.expired = t.expired[:min(len(t.expired), maxJobRows-len(v.order))]
	if len(t.pending) > 0 || len(v.expired) < len(t.expired) {
		signal(t.wakeWriter)
		return v, taken
	}
	t.pending = nil
	v.release = t.draining
	return v, taken
}

// transaction builds the conditional write of v. The shard row is its first
// condition and first put, which fences a replaced owner.
func (t *tenure) transaction(v *view) (infra.Txn, structs.ShardLease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lease := t.lease
	lease.Counter++
	if v.release {
		lease.Owner = ""
	}
	key := structs.ShardKey(t.shard)
	txn := infra.Txn{
		Op:    string(t.m.cfg.Entry) + "/" + rand.Text(),
		Conds: []infra.Cond{{Key: key, Version: t.version}},
		Puts:  []infra.Put{{Key: key, Value: encode(lease)}},
	}
	t.inFlight = make(map[structs.JobID]struct{}, len(v.order))
	for _, id := range v.order {
		t.inFlight[id] = struct{}{}
		rowKey := structs.JobKey(t.shard, id)
		r := t.jobs[id]
		switch {
		case r == nil:
			txn.Conds = append(txn.Conds, infra.Cond{Key: rowKey})
		case r.version != 0:
			txn.Conds = append(txn.Conds, infra.Cond{Key: rowKey, Version: r.version})
		}
		txn.Puts = append(txn.Puts, infra.Put{Key: rowKey, Value: encode(v.jobs[id])})
	}
	for _, id := range v.expired {
		txn.Deletes = append(txn.Deletes, structs.JobKey(t.shard, id))
	}
	return txn, lease
}

// commit writes txn and repeats it until its outcome is known or the tenure
// ends. It returns the versions of the puts; after a lost answer, only the
// shard row's version. Errors: ErrUnavailable (no effect), errNotApplied
// (replaced, no effect), or errUncertain (replaced or ended, effect unknown).
//
// Failure guarded against: the store applies the write and its answer is lost,
// or it applies the write long after the attempt timed out. In both cases the
// outcome is unknown to the owner. The guard: nothing else is written to the
// shard until the outcome is known, and each repeat is conditional on the same
// shard row version. At most one attempt can take effect: it changes that
// version, so the store refuses the others however late they arrive. A conflict
// that names this transaction's operation means that the transaction was
// applied. A conflict that names another operation after an unknown attempt
// proves nothing: the transaction may have been applied and then replaced.
func (t *tenure) commit(txn infra.Txn) ([]uint64, error) {
	unknown := false
	defer t.setStalled(false)
	for {
		ctx, cancel := context.WithTimeout(t.ctx, t.m.cfg.StoreTimeout)
		t.m.count.writes.Add(1)
		versions, err := t.m.deps.Table.Commit(ctx, txn)
		cancel()
		var conflict *infra.ConflictError
		switch {
		case err == nil:
			return versions, nil
		case errors.As(err, &conflict):
			return t.resolveConflict(txn, conflict, unknown)
		case errors.Is(err, infra.ErrUnavailable) && !unknown:
			return nil, err
		case errors.Is(err, infra.ErrInvalid):
			t.m.reportViolation("the table service refuses a transaction as invalid: %v", err)
			return nil, infra.ErrUnavailable
		case !errors.Is(err, infra.ErrUnavailable) && !unknown:
			unknown = true
			t.m.count.commitsUnknown.Add(1)
			t.setStalled(true)
		}
		if !t.pause(repeatPause) {
			return nil, errUncertain
		}
	}
}

func (t *tenure) resolveConflict(txn infra.Txn, conflict *infra.ConflictError, unknown bool) ([]uint64, error) {
	if conflict.Current.Op == txn.Op {
		t.m.count.commitsFoundApplied.Add(1)
		return t.readShardVersion(txn)
	}
	if conflict.Current.Key != structs.ShardKey(t.shard) && !unknown {
		t.m.reportViolation("row %s was changed by a process that does not own its shard", conflict.Current.Key)
	}
	t.m.count.commitsFenced.Add(1)
	t.stop(errReplaced)
	if unknown {
		return nil, errUncertain
	}
	return nil, errNotApplied
}

// readShardVersion reads the version that a transaction with a lost answer
// gave the shard row. The job rows' versions stay unknown: the next write of
// such a row relies on the shard row's condition alone.
func (t *tenure) readShardVersion(txn infra.Txn) ([]uint64, error) {
	for {
		row, err := t.m.get(t.ctx, structs.ShardKey(t.shard))
		if err == nil && row.Op == txn.Op {
			return []uint64{row.Version}, nil
		}
		if err == nil {
			t.stop(errReplaced)
			return nil, errUncertain
		}
		if !t.pause(repeatPause) {
			return nil, errUncertain
		}
	}
}

func (t *tenure) setStalled(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !on {
		t.stalledSince = time.Time{}
	} else if t.stalledSince.IsZero() {
		t.stalledSince = time.Now()
	}
}

// apply updates the state in memory after a commit.
func (t *tenure) apply(v *view, lease structs.ShardLease, versions []uint64, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = nil
	t.lease = lease
	t.validUntil = sent.Add(t.m.cfg.ShardLease)
	t.version = versions[0]
	for i, id := range v.order {
		version := uint64(0)
		if i+1 < len(versions) {
			version = versions[i+1]
		}
		t.setConfirmed(v.jobs[id], version)
		// The end of a claim removes its reservation, whatever the cause. If the
		// start was lost, no answer removes the reservation, and a queued job would
		// wait for ever although workers are free.
		if v.jobs[id].State != structs.JobRunning {
			t.m.reserved.remove(t, id)
		}
	}
	t.dropExpired(v.expired)
	t.m.count.rowsWritten.Add(int64(len(v.order)))
	if len(v.order)+len(v.expired) == 0 {
		t.m.count.renewals.Add(1)
	}
	signal(t.wakeWork)
}

// settle passes the results of one transaction to its changes.
func (t *tenure) settle(v *view, taken []decision, err error) {
	for _, d := range taken {
		if d.change.settle == nil {
			continue
		}
		if err != nil {
			d.change.settle(structs.Job{}, err)
			continue
		}
		j, _ := t.get(d.change.job)
		d.change.settle(j, d.err)
	}
}

// rejectPending settles the changes that are pending when the tenure ends:
// they are in no transaction, so they had no effect.
func (t *tenure) rejectPending() {
	t.mu.Lock()
	pending := t.pending
	t.pending = nil
	t.mu.Unlock()
	for _, c := range pending {
		if c.settle != nil {
			c.settle(structs.Job{}, errNotApplied)
		}
	}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// The types written here hold nothing that JSON can't encode.
		panic(err)
	}
	return b
}
