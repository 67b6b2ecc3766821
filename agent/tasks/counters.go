package tasks

import "sync/atomic"

// Counters are a manager's counters.
type Counters struct {
	Granted, Started, Refused, RefusedTombstone        atomic.Int64
	Done, Failed, Evicted, Lost, Cancelled, NotStarted atomic.Int64
	Lapsed, WorkerRenewed, WorkerRenewSkipped          atomic.Int64
	CheckpointPut, CheckpointFailed, CheckpointSkipped atomic.Int64
	Reported, ReportMessages, Settled, PollFailed      atomic.Int64
	StopsBeforeStart, SecondStarts, Forgot             atomic.Int64
	Throttled, Restored, RelievedByEviction            atomic.Int64
}

// Values returns the counters by name.
func Values(c *Counters) map[string]int64 {
	return map[string]int64{
		"granted": c.Granted.Load(), "started": c.Started.Load(), "refused": c.Refused.Load(),
		"refused_tombstone": c.RefusedTombstone.Load(), "done": c.Done.Load(), "failed": c.Failed.Load(),
		"evicted": c.Evicted.Load(), "lost": c.Lost.Load(), "cancelled": c.Cancelled.Load(), "not_started": c.NotStarted.Load(),
		"lapsed": c.Lapsed.Load(), "worker_renewed": c.WorkerRenewed.Load(),
		"worker_renew_skipped": c.WorkerRenewSkipped.Load(), "checkpoint_put": c.CheckpointPut.Load(),
		"checkpoint_failed": c.CheckpointFailed.Load(), "checkpoint_skipped": c.CheckpointSkipped.Load(),
		"reported": c.Reported.Load(), "report_messages": c.ReportMessages.Load(), "settled": c.Settled.Load(),
		"poll_failed": c.PollFailed.Load(), "stops_before_start": c.StopsBeforeStart.Load(),
		"second_starts": c.SecondStarts.Load(), "forgot": c.Forgot.Load(), "throttled": c.Throttled.Load(),
		"restored": c.Restored.Load(), "relieved_by_eviction": c.RelievedByEviction.Load(),
	}
}
