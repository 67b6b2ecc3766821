package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

const (
	// renewEvery is the time between transactions of an idle scheduler.
	renewEvery = 500 * time.Millisecond
	// commitGap is the least time between two rounds of transactions. A round
	// stores all ends and starts since the previous round, since users pay for
	// each call of the store.
	commitGap = 15 * time.Millisecond
	// commitRows bounds the rows of a transaction, below the store's limit.
	commitRows = 80
	// commitBytes bounds the size of these rows in bytes, before base64.
	commitBytes = 600 << 10
	// commitRetry is the pause after a failure; it doubles up to commitRetryMax.
	commitRetry    = 40 * time.Millisecond
	commitRetryMax = 400 * time.Millisecond
)

// commitLoop makes plans and stores them, one transaction at a time, until the
// lease is lost or the term is cancelled.
func (t *Term) commitLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := time.Time{}
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
			t.sleep(commitGap - time.Since(last))
		case <-timer.C:
		}
		r := t.collect()
		if len(r.txns) == 0 && time.Since(last) >= renewEvery {
			r.txns = append(r.txns, nil)
		}
		if len(r.txns) > 0 {
			last = time.Now()
		}
		for _, x := range r.txns {
			if !t.store(x) {
				return
			}
		}
		t.acknowledgeStored(r)
		if !timer.Stop() {
			select {
			case <-timer.C:
			default:
			}
		}
		timer.Reset(renewEvery)
	}
}

// round holds the transactions of one plan, and the ends of runs to acknowledge
// once the transactions are stored.
type round struct {
	txns []txn
	// ends holds, by worker, the highest End.Number applied before the round.
	ends map[*worker]uint64
}

// txn is one transaction of writes that belong together in groups.
type txn []group

// group holds writes of one job, or others that are stored together.
type group struct {
	puts    []rowstore.Put
	deletes []rowstore.Key
	// job is the job whose writes these are, if any; stored is set in the last
	// group of a job's writes.
	job    *job
	stored *storedJob
}

type storedJob struct {
	job   *job
	state workload.State
	span  int
	// retire is the mark of a job whose rows may be deleted; 0 without a mark.
	retire uint64
	// placed holds the placements to send once the transaction is stored.
	placed []placedTask
	// ends holds, by worker, the lowest number of an end that the writes cover.
	ends map[*worker]uint64
}

type placedTask struct {
	id   workload.TaskID
	step *step
	task *task
	run  int
}

// packer gathers writes in transactions within the bounds.
type packer struct {
	txns       []txn
	x          txn
	rows, size int
}

func (p *packer) flush() {
	if len(p.x) > 0 {
		p.txns = append(p.txns, p.x)
	}
	p.x, p.rows, p.size = nil, 0, 0
}

// reserve begins another transaction if the present one has no room, and reports
// whether it did.
func (p *packer) reserve(rows, size int) bool {
	full := p.rows > 0 && (p.rows+rows > commitRows || p.size+size > commitBytes)
	if full {
		p.flush()
	}
	p.rows, p.size = p.rows+rows, p.size+size
	return full
}

func (p *packer) put(put rowstore.Put) {
	p.reserve(1, len(put.Value))
	p.x = append(p.x, group{puts: []rowstore.Put{put}})
}

// add adds the writes of a job, in one transaction if they fit.
func (p *packer) add(c rowChange, s *storedJob) {
	g := group{job: s.job}
	if size := c.size(); len(c.puts)+len(c.deletes) <= commitRows && size <= commitBytes {
		p.reserve(len(c.puts)+len(c.deletes), size)
		g.puts, g.deletes = c.puts, c.deletes
	} else {
		p.flush()
		for _, put := range c.puts {
			if p.reserve(1, len(put.Value)) {
				p.txns = append(p.txns, txn{g})
				g = group{job: s.job}
			}
			g.puts = append(g.puts, put)
		}
		for _, key := range c.deletes {
			if p.reserve(1, 0) {
				p.txns = append(p.txns, txn{g})
				g = group{job: s.job}
			}
			g.deletes = append(g.deletes, key)
		}
	}
	g.stored = s
	p.x = append(p.x, g)
}

// collect makes a plan and encodes every changed job.
func (t *Term) collect() round {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := t.deps.Now()
	defer func() { t.deps.Counters.Plan.Observe(t.deps.Now() - begun) }()
	t.plan()
	r := round{ends: map[*worker]uint64{}}
	for _, w := range t.workers {
		if w.endsApplied > w.endsStored {
			r.ends[w] = w.endsApplied
		}
	}
	var p packer
	if put, due := t.learntPut(); due {
		p.put(put)
	}
	if put, due := t.runtimesPut(); due {
		p.put(put)
	}
	retired := t.retiredKeys()
	dirty := t.dirty
	t.dirty = nil
	for _, j := range dirty {
		j.unsaved = false
		if j.apartUntil > t.deps.Now() {
			t.markDirty(j)
			continue
		}
		if j.state.Final() && j.final == 0 {
			j.final = t.storeNow()
		}
		c := j.changedRows(t.cfg.RowBytes)
		if j.apartUntil > 0 {
			// Others are not to be refused with it again.
			p.flush()
		}
		p.add(c, &storedJob{job: j, state: j.state, span: j.span, retire: j.retire, placed: unordered(j), ends: j.unstoredEnds})
		if j.apartUntil > 0 {
			p.flush()
		}
		j.unstoredEnds = nil
	}
	p.flush()
	r.txns = p.txns
	if len(retired) > 0 {
		r.txns = append(r.txns, txn{{deletes: retired}})
	}
	return r
}

// commitResult is the result of a transaction.
type commitResult uint8

const (
	committed commitResult = iota
	// termEnds: the lease is lost, or the term is cancelled.
	termEnds
	// refusedForGood: the store has done nothing and will never take it.
	refusedForGood
)

// commit applies x under the lease. It retries until x is applied or refused for
// good, the lease is lost, or the term is cancelled.
func (t *Term) commit(x txn) commitResult {
	lease := t.lease
	lease.Count++
	lease.Epoch = t.epoch
	full := rowstore.Txn{Conds: []rowstore.Cond{{Key: leaseKey, Version: t.leaseVersion}}}
	var puts []rowstore.Put
	for _, g := range x {
		puts, full.Deletes = append(puts, g.puts...), append(full.Deletes, g.deletes...)
	}
	first := t.deps.Now()
	pause := commitRetry
	for t.ctx.Err() == nil {
		sent := t.deps.Now()
		lease.SentBy = t.storeTimeBound(sent)
		// An attempt without an answer may still be on its way, so each has a list of its own.
		full.Puts = append([]rowstore.Put{{Key: leaseKey, Value: encode(lease)}}, puts...)
		// The answer is awaited even while the process stops: the release of the
		// lease needs the version of the last transaction.
		stamp, err := t.deps.Store.Apply(context.WithoutCancel(t.ctx), full)
		t.deps.Counters.Commits.Add(1)
		if err == nil {
			t.deps.Counters.Commit.Observe(t.deps.Now() - sent)
			t.recordRenewal(lease, stamp.Version, sent, stamp)
			return committed
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			if v := ownVersion(conflict, lease); v != 0 {
				// An attempt was applied, and its answer is lost or still on its way.
				t.deps.Counters.Commit.Observe(t.deps.Now() - sent)
				t.recordRenewal(lease, v, first, rowstore.Stamp{})
				return committed
			}
			t.deps.Log.Warn().Uint64("epoch", t.epoch).Msg("term ends: another scheduler has taken the lease")
			return termEnds
		}
		t.deps.Counters.CommitErrors.Add(1)
		if errors.Is(err, rowstore.ErrRefused) && len(x) > 0 {
			t.deps.Log.Error().Err(err).Int("rows", len(full.Puts)+len(full.Deletes)-1).Msg("transaction refused for good")
			return refusedForGood
		}
		t.deps.Log.Warn().Err(err).Int("rows", len(full.Puts)+len(full.Deletes)-1).Dur("since", t.deps.Now()-first).Msg("transaction not stored yet")
		t.sleep(pause)
		pause = min(2*pause, commitRetryMax)
	}
	return termEnds
}

// ownVersion returns the version of the conflicting lease row if the row equals
// want, which shows that an earlier attempt was applied; otherwise 0.
func ownVersion(conflict *rowstore.ConflictError, want leaseRow) uint64 {
	row := conflict.Find(leaseKey)
	var have leaseRow
	if row.Version == 0 || json.Unmarshal(row.Value, &have) != nil {
		return 0
	}
	// Attempts of one write differ in this only.
	have.SentBy, want.SentBy = 0, 0
	if have != want {
		return 0
	}
	return row.Version
}

func (t *Term) recordRenewal(lease leaseRow, version uint64, sent time.Duration, at rowstore.Stamp) {
	t.lease, t.leaseVersion = lease, version
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = max(t.validUntil, sent+validFor)
	t.renewal = renewal{version: version, sent: sent}
	if at.Now == 0 {
		t.deps.Counters.Unanswered.Add(1)
	}
	t.recordStoreTime(at, sent)
}

// storeTimeBound bounds the store's clock at now from above, in ms.
func (t *Term) storeTimeBound(now time.Duration) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeBound.boundMs(now)
}

// applyCommitted makes the stored states visible to clients and queues the
// stored placements for agents.
func (t *Term) applyCommitted(x txn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range x {
		if g.stored != nil {
			t.applyStored(g.stored)
		}
	}
}

func (t *Term) applyStored(s *storedJob) {
	j := s.job
	if j.stored != s.state && s.state.Final() {
		t.deps.Log.Info().Str("job", string(j.spec.ID)).Str("state", string(s.state)).
			Int64("age_ms", t.storeNow()-j.spec.Accepted).Msg("job ended")
		t.deps.Counters.JobsEnded.Add(1)
		t.checkForecast(j, s.state)
	}
	if !j.stored.Final() {
		j.stored = s.state
		j.finalSeen = t.deps.Now()
	}
	j.retireStored = s.retire != 0
	j.storedSpan = s.span
	t.rejoin(j)
	t.sendStored(s)
}

// unordered lists the placements that have not been queued for an agent.
func unordered(j *job) []placedTask {
	if j.state.Final() {
		return nil
	}
	var list []placedTask
	j.each(func(id workload.TaskID, s *step, k *task) {
		if k.state == taskPlaced && !k.ordered && !k.stopping {
			list = append(list, placedTask{id: id, step: s, task: k, run: k.run})
		}
	})
	return list
}

// sendStored queues the stored placements for their agents.
func (t *Term) sendStored(x *storedJob) {
	for _, p := range x.placed {
		k := p.task
		k.storedRun = max(k.storedRun, p.run)
		if k.state != taskPlaced || k.run != p.run || k.ordered || k.stopping {
			continue
		}
		w := t.workers[k.worker]
		if w == nil || w.link == nil {
			continue
		}
		k.ordered = true
		w.link.addStart(x.job, p.id, p.step, k)
	}
}

// acknowledgeStored acknowledges the reported ends of runs to the agents, once
// the effects of the ends are stored.
func (t *Term) acknowledgeStored(r round) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for w, n := range r.ends {
		w.endsStored = max(w.endsStored, t.acknowledgeable(w, n))
		if w.link != nil {
			w.link.triggerClaim()
		}
	}
}

// release releases the lease, so that another entry can take over at once. If
// there is a successor, no other entry may take the lease for successorWait.
func (t *Term) release(ctx context.Context) {
	lease := t.lease
	lease.Count++
	lease.Epoch = t.epoch
	lease.Released = true
	lease.Successor = t.successorNode()
	lease.SentBy = t.storeTimeBound(t.deps.Now())
	_, err := t.deps.Store.Apply(ctx, rowstore.Txn{
		Conds: []rowstore.Cond{{Key: leaseKey, Version: t.leaseVersion}},
		Puts:  []rowstore.Put{{Key: leaseKey, Value: encode(lease)}, {Key: leaseEndsKey, Value: t.leaseEndsValue()}},
	})
	t.deps.Log.Info().Err(err).Uint64("epoch", t.epoch).Msg("lease release attempted")
}
