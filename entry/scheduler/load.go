package scheduler

import (
	"errors"
	"math"
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// loadRetry is the pause after a read that failed.
	loadRetry = 100 * time.Millisecond
	// feedWait bounds the time for which the store holds a feed call, and thereby
	// the time for which a dead connection goes unnoticed.
	feedWait = 800 * time.Millisecond
	// listsAtOnce bounds the partitions that are read concurrently.
	listsAtOnce = 8
	// agentsWait replaces feedWait in the feed of agent rows, which change rarely.
	agentsWait = 2 * time.Second
)

// load reads the rows written by earlier schedulers and by all entries. It
// returns the version from which the feed of jobs continues.
func (t *Term) load() (uint64, error) {
	var progress, parts, learnt, jobs []rowstore.Row
	var stamp uint64
	// The earlier scheduler can store nothing any more, so the reads may be made
	// at the same time.
	err := inParallel(
		func() (err error) { progress, err = t.listAll(progressTable, schedulerPart); return err },
		func() (err error) { parts, err = t.listAll(partsTable, schedulerPart); return err },
		func() (err error) { learnt, err = t.listAll(learntTable, schedulerPart); return err },
		func() (err error) { jobs, stamp, err = t.listJobs(); return err },
		t.loadLeaseEnds,
	)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.storeClock.known() {
		return 0, errNoStoreTime
	}
	t.addJobRows(jobs)
	for _, row := range learnt {
		switch row.Key.Key {
		case learntKey.Key:
			t.restoreLearnt(row)
		case runtimesKey.Key:
			t.restoreRuntimes(row)
		}
	}
	now := time.Now()
	t.storedParts = groupParts(parts)
	before := map[workload.JobID]bool{}
	for _, row := range progress {
		t.restoreProgress(row, now)
		before[workload.JobID(row.Key.Key)] = true
	}
	for id := range t.storedParts {
		if j := t.jobs[id]; j != nil && !before[id] {
			t.knowParts(j)
		}
	}
	t.storedParts = nil
	t.loaded = true
	// Jobs with progress, hundreds in a fleet, were logged by earlier schedulers.
	for _, j := range t.active {
		if !before[j.spec.ID] {
			t.logKnown(j)
		}
	}
	t.deps.Log.Warn().Uint64("epoch", t.epoch).Int("jobs", len(t.jobs)).Int("active", len(t.active)).Int("workers", len(t.workers)).
		Int64("store_ms", t.storeNow()).Dur("took", t.deps.Now()-t.beganAt).Msg("term begins")
	return stamp, nil
}

// inParallel runs the functions at the same time, and returns their errors.
func inParallel(functions ...func() error) error {
	errs := make([]error, len(functions))
	var group sync.WaitGroup
	for i, f := range functions {
		group.Go(func() { errs[i] = f() })
	}
	group.Wait()
	return errors.Join(errs...)
}

// listAll reads a partition. It retries until validFor after the term began.
func (t *Term) listAll(table, part string) ([]rowstore.Row, error) {
	rows, _, err := t.listAllAt(table, part)
	return rows, err
}

func (t *Term) listAllAt(table, part string) ([]rowstore.Row, rowstore.Stamp, error) {
	for {
		asked := t.deps.Now()
		rows, at, err := rowstore.ListAll(t.ctx, t.deps.Store, table, part)
		if err == nil {
			t.mu.Lock()
			t.recordStoreTime(at, asked)
			t.mu.Unlock()
			return rows, at, nil
		}
		if t.ctx.Err() != nil || t.deps.Now() > t.beganAt+validFor {
			return nil, at, err
		}
		t.deps.Log.Warn().Err(err).Str("table", table).Msg("store read failed")
		t.sleep(loadRetry)
	}
}

// listJobs reads all jobs and cancellations.
func (t *Term) listJobs() ([]rowstore.Row, uint64, error) {
	return t.listParts(JobsTable, jobPartNames())
}

// listParts reads several partitions of a table, listsAtOnce at a time. The
// feed after the returned version has all changes that the rows lack.
func (t *Term) listParts(table string, parts []string) ([]rowstore.Row, uint64, error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []rowstore.Row
	var failed error
	first := uint64(math.MaxUint64)
	slots := make(chan struct{}, listsAtOnce)
	for _, part := range parts {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			rows, at, err := t.listAllAt(table, part)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, rows...)
			first = min(first, at.Version)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	return all, first, failed
}

// addJobRows adds the jobs and cancellations of rows. The caller holds mu.
func (t *Term) addJobRows(rows []rowstore.Row) {
	for _, row := range rows {
		id, cancel := splitJobKey(row.Key.Key)
		switch {
		case cancel || t.outdated(id, row.Version):
			continue
		case row.Deleted:
			t.sawDeletion(id, row.Version)
			continue
		}
		if known := t.jobs[id]; known != nil && !t.replaced(known, row.Version) {
			known.rowVersion = row.Version
			continue
		}
		j, err := decodeJob(row)
		if err != nil {
			t.rejectRow(row, err)
			continue
		}
		delete(t.jobs, id)
		t.addJob(j)
		t.jobs[id].rowVersion = row.Version
	}
	for _, row := range rows {
		id, cancel := splitJobKey(row.Key.Key)
		switch {
		case !cancel || row.Deleted:
		case t.jobs[id] == nil:
			t.recordEarlyCancel(id, row.Version)
		default:
			t.cancelJob(id)
		}
	}
}

// restoreProgress restores the progress that an earlier term has stored.
func (t *Term) restoreProgress(row rowstore.Row, now time.Time) {
	id := workload.JobID(row.Key.Key)
	var p progressRow
	if err := decode(row, &p); err != nil {
		t.rejectRow(row, err)
		return
	}
	j := t.jobs[id]
	switch {
	case j == nil && p.Retire != 0:
		// The earlier term deleted the job's other rows before it ended.
		t.retired = append(t.retired, id)
		return
	case j == nil:
		// Nothing proves that the job's row was deleted.
		t.deps.Log.Warn().Str("job", string(id)).Str("state", string(p.State)).Msg("progress without its job's row is kept")
		return
	}
	parts := t.knowParts(j)
	if p.Retire != 0 && p.Retire != j.rowVersion {
		// The row is that of an earlier job of the same identifier.
		t.markDirty(j)
		return
	}
	if err := p.check(&j.spec); err != nil {
		t.rejectRow(row, err)
		return
	}
	cancelled := j.state == workload.Cancelled
	j.occurrences = nil
	j.restore(p, now)
	if p.Span > 0 {
		if err := j.restoreParts(p, parts, now); err != nil {
			t.rejectRow(row, err)
		}
	}
	if j.state != p.State || j.span == 0 && len(j.parts) > 0 {
		t.markDirty(j)
	}
	j.head, j.storedSpan = rowHash(row.Value), p.Span
	j.finalSeen = t.deps.Now()
	j.addDue(time.Now())
	j.each(func(tid workload.TaskID, s *step, k *task) {
		if k.state == taskPlaced {
			t.recordedWorker(k).add(workload.RunID{Task: tid, Run: k.run}, s.spec)
			k.stopping = j.state.Final()
		}
	})
	if cancelled && !j.state.Final() {
		t.end(j, workload.Cancelled)
	}
}

// knowParts records which parts of a job the store has, and returns them. Parts that
// no row refers to are deleted with the next write.
func (t *Term) knowParts(j *job) []rowstore.Row {
	rows := t.storedParts[j.spec.ID]
	for _, row := range rows {
		_, k, _ := splitPartKey(row.Key.Key)
		j.parts[k] = 0
	}
	return rows
}

// recordedWorker returns the worker of a stored placement. If no agent reports
// the worker, its runs stay on record until the last lease that an earlier
// scheduler may have granted has expired.
func (t *Term) recordedWorker(k *task) *worker {
	w := t.workers[k.worker]
	if w == nil {
		w = newWorker(k.worker, k.agent)
		w.leaseEnd = t.earlier.endOf(w.id)
		t.addWorker(w)
	}
	return w
}

// followJobs reads new jobs and cancellations from the store's feed. Entries
// also send each of them by a call; the feed covers lost calls.
func (t *Term) followJobs(after uint64) {
	for t.ctx.Err() == nil {
		asked := t.deps.Now()
		rows, at, err := t.deps.Store.Feed(t.ctx, JobsTable, after, feedWait)
		switch {
		case errors.Is(err, rowstore.ErrCompacted):
			rows, version, listErr := t.listJobs()
			if listErr != nil {
				t.sleep(loadRetry)
				continue
			}
			t.receiveJobs(rows)
			after = version
		case err != nil:
			t.sleep(loadRetry)
		default:
			t.mu.Lock()
			t.recordStoreTime(at, asked)
			t.mu.Unlock()
			t.receiveJobs(rows)
			after = max(after, at.Version, lastVersion(rows))
		}
	}
}

func lastVersion(rows []rowstore.Row) uint64 {
	if len(rows) == 0 {
		return 0
	}
	return rows[len(rows)-1].Version
}

func (t *Term) receiveJobs(rows []rowstore.Row) {
	if len(rows) == 0 {
		return
	}
	t.mu.Lock()
	t.addJobRows(rows)
	t.mu.Unlock()
	t.wakeUp()
}

// followAgents connects to every agent that has registered.
func (t *Term) followAgents() {
	after, ok := uint64(0), false
	for t.ctx.Err() == nil {
		var rows []rowstore.Row
		var version uint64
		var err error
		if ok {
			var at rowstore.Stamp
			rows, at, err = t.deps.Store.Feed(t.ctx, dispatch.AgentsTable, after, agentsWait)
			version = at.Version
		} else {
			rows, version, err = t.listParts(dispatch.AgentsTable, dispatch.AgentParts())
		}
		if err != nil {
			ok = ok && !errors.Is(err, rowstore.ErrCompacted)
			t.sleep(loadRetry)
			continue
		}
		after, ok = max(after, version), true
		t.updateAgents(rows)
	}
}

func (t *Term) updateAgents(rows []rowstore.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		old := t.agents[row.Key.Key]
		if row.Deleted {
			continue
		}
		a, err := dispatch.DecodeAgentRow(row)
		if err == nil && t.deps.CheckAddress != nil {
			err = t.deps.CheckAddress(a.Address)
		}
		if err != nil {
			t.rejectRow(row, err)
			continue
		}
		if old != nil && old.link.Address() == a.Address {
			continue
		}
		if old != nil {
			old.close()
		}
		t.agents[row.Key.Key] = t.newLink(row.Key.Key, a.Address)
	}
}
