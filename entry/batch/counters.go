package batch

import (
	"fmt"
	"sync/atomic"

	"persimmonrock.example/structs"
)

// counters are the sums that Vars returns. The fields reads and writes count
// requests to the table service.
type counters struct {
	reads, writes, rowsWritten, renewals        atomic.Int64
	commitsUnknown, commitsFoundApplied         atomic.Int64
	commitsFenced, flushesUnavailable           atomic.Int64
	shardsTaken, shardsReleased, shardsLost     atomic.Int64
	submitted, submitRefused, cancelled         atomic.Int64
	claims, claimsOverShare, parked             atomic.Int64
	startsSent, startsRefused, startsLost       atomic.Int64
	startsUnsent, startsLate, stopsSent         atomic.Int64
	reportsSettled, reportsVoid, reportsPending atomic.Int64
	requeuedByLapse, requeuedByIncarnation      atomic.Int64
	requeuedByRelease                           atomic.Int64
	agentsFenced, observerBlind                 atomic.Int64
	forwards, forwardsLost                      atomic.Int64
	jobsRecalled, jobsExpired, expireFailed     atomic.Int64
	invariantBroken                             atomic.Int64
}

// ShardVars is the state of one owned shard.
type ShardVars struct {
	Epoch   structs.Epoch `json:"epoch"`
	Loaded  bool          `json:"loaded"`
	Queued  int           `json:"queued"`
	Running int           `json:"running"`
	Jobs    int           `json:"jobs"`
	Pending int           `json:"pending"`
}

// Vars returns the manager's counters and shards for expvar.
func (m *Manager) Vars() any {
	c := &m.count
	sums := map[string]int64{}
	for name, v := range map[string]*atomic.Int64{
		"store_reads": &c.reads, "store_writes": &c.writes, "rows_written": &c.rowsWritten,
		"renewals": &c.renewals, "commits_unknown": &c.commitsUnknown,
		"commits_found_applied": &c.commitsFoundApplied, "commits_fenced": &c.commitsFenced,
		"flushes_unavailable": &c.flushesUnavailable,
		"shards_taken":        &c.shardsTaken, "shards_released": &c.shardsReleased, "shards_lost": &c.shardsLost,
		"submitted": &c.submitted, "submit_refused": &c.submitRefused, "cancelled": &c.cancelled,
		"claims": &c.claims, "claims_over_share": &c.claimsOverShare, "parked": &c.parked,
		"starts_sent": &c.startsSent, "starts_refused": &c.startsRefused, "starts_lost": &c.startsLost,
		"starts_unsent": &c.startsUnsent, "starts_late": &c.startsLate, "stops_sent": &c.stopsSent,
		"reports_settled": &c.reportsSettled, "reports_void": &c.reportsVoid, "reports_pending": &c.reportsPending,
		"requeued_by_lapse": &c.requeuedByLapse, "requeued_by_incarnation": &c.requeuedByIncarnation,
		"requeued_by_release": &c.requeuedByRelease, "agents_fenced": &c.agentsFenced,
		"jobs_recalled": &c.jobsRecalled, "jobs_expired": &c.jobsExpired, "expire_failed": &c.expireFailed,
		"observer_blind": &c.observerBlind, "forwards": &c.forwards, "forwards_lost": &c.forwardsLost,
		"invariant_broken": &c.invariantBroken,
	} {
		sums[name] = v.Load()
	}
	shards := map[string]ShardVars{}
	for _, t := range m.tenures() {
		shards[fmt.Sprintf("%02d", t.shard)] = t.vars()
	}
	return map[string]any{"counters": sums, "shards": shards}
}

func (t *tenure) vars() ShardVars {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := ShardVars{Epoch: t.epoch, Loaded: t.loaded, Jobs: len(t.jobs), Pending: len(t.pending)}
	for _, q := range t.queue {
		v.Queued += len(q)
	}
	for _, on := range t.running {
		v.Running += len(on.jobs)
	}
	return v
}

// reportViolation counts a broken invariant and logs the first one.
func (m *Manager) reportViolation(format string, args ...any) {
	m.count.invariantBroken.Add(1)
	m.brokenOnce.Do(func() {
		m.deps.Log.Error().Msg("invariant broken: " + fmt.Sprintf(format, args...))
	})
}
