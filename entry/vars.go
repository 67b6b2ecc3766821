package entry

import "time"

// Vars holds the entry's counters for /debug/vars.
type Vars struct {
	UptimeSeconds float64 `json:"uptime_seconds"`
	Draining      bool    `json:"draining"`
	Calls         struct {
		Received   int64 `json:"received"`
		Answered   int64 `json:"answered"`
		Refused    int64 `json:"refused"`
		NotRun     int64 `json:"refused_not_run"`
		Unknown    int64 `json:"refused_unknown"`
		Attempts   int64 `json:"attempts"`
		Retries    int64 `json:"retries"`
		Mismatched int64 `json:"replies_mismatched"`
		Hedges     int64 `json:"hedges"`
		HedgesWon  int64 `json:"hedges_won"`
		Dropped    int64 `json:"answers_dropped"`
		Checks     int64 `json:"liveness_checks"`
		Silent     int64 `json:"agents_silent"`
	} `json:"calls"`
	Keyed struct {
		Begun    int64 `json:"begun"`
		Replayed int64 `json:"replayed"`
		InDoubt  int64 `json:"in_doubt"`
		Pending  int64 `json:"ends_pending"`
		Dropped  int64 `json:"ends_dropped"`
		Writes   int64 `json:"record_writes"`
		Alone    int64 `json:"records_resolved"`
		Stamped  int64 `json:"records_stamped"`
		Deleted  int64 `json:"records_deleted"`
	} `json:"keyed_calls"`
	Config struct {
		Revision  uint64 `json:"revision"`
		Installed int64  `json:"installed"`
		Older     int64  `json:"older_refused"`
		Reads     int64  `json:"reads"`
		Failed    int64  `json:"reads_failed"`
		Held      int64  `json:"requests_held_back"`
	} `json:"config"`
	Directory struct {
		Agents     int   `json:"agents"`
		Entries    int   `json:"entries"`
		Heartbeats int64 `json:"heartbeats"`
		Stale      int64 `json:"loads_stale"`
		Lost       int64 `json:"agents_lost"`
		Writes     int64 `json:"member_writes"`
		Reads      int64 `json:"member_reads"`
		Failed     int64 `json:"member_failed"`
	} `json:"directory"`
	Interference struct {
		Taken   uint64 `json:"samples_taken"`
		Dropped uint64 `json:"samples_dropped"`
		Regimes uint64 `json:"regime_changes"`
	} `json:"interference"`
	Batch any `json:"batch"`
}

// Vars returns the current counters. docs/OPERATIONS.md describes them.
func (e *Entry) Vars() any {
	var v Vars
	v.UptimeSeconds = time.Since(e.started).Seconds()
	v.Draining = e.requests.closing()
	c := &e.urgent.Counters
	v.Calls.Received, v.Calls.Answered, v.Calls.Refused = c.Calls.Load(), c.Answered.Load(), c.Refused.Load()
	v.Calls.NotRun, v.Calls.Unknown = c.NotRun.Load(), c.Unknown.Load()
	v.Calls.Attempts, v.Calls.Retries, v.Calls.Mismatched = c.Attempts.Load(), c.Retries.Load(), c.Mismatched.Load()
	v.Calls.Hedges, v.Calls.HedgesWon = c.Hedges.Load(), c.HedgesWon.Load()
	v.Calls.Dropped = c.Dropped.Load()
	v.Calls.Checks, v.Calls.Silent = e.urgent.LivenessChecks()
	r := e.urgent.Records()
	v.Keyed.Begun, v.Keyed.Replayed, v.Keyed.InDoubt = r.Begun.Load(), r.Replayed.Load(), r.InDoubt.Load()
	v.Keyed.Pending, v.Keyed.Dropped = r.Pending.Load(), r.Dropped.Load()
	v.Keyed.Writes, v.Keyed.Alone = r.Writes()
	v.Keyed.Stamped, v.Keyed.Deleted = r.Stamped.Load(), r.Deleted.Load()
	s := e.contracts
	v.Config.Revision, v.Config.Installed, v.Config.Older = uint64(s.Config().Revision), s.Installed.Load(), s.Older.Load()
	v.Config.Reads, v.Config.Failed, v.Config.Held = s.Reads.Load(), s.Failed.Load(), s.Held.Load()
	d := e.directory
	v.Directory.Agents, v.Directory.Entries = len(d.Agents()), len(e.members.Alive())
	v.Directory.Heartbeats, v.Directory.Stale, v.Directory.Lost = d.HeartbeatCount.Load(), d.Stale.Load(), d.Lost.Load()
	v.Directory.Writes, v.Directory.Reads, v.Directory.Failed = e.members.Writes.Load(), e.members.Reads.Load(), e.members.Failed.Load()
	learnt := e.learnt.Counters()
	v.Interference.Taken, v.Interference.Dropped, v.Interference.Regimes = learnt.Taken, learnt.Dropped, learnt.RegimeChanges
	v.Batch = e.batch.Vars()
	return v
}
