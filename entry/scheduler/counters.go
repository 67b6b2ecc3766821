package scheduler

import (
	"sync/atomic"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/ops/histogram"
)

// Counters are a scheduler's metrics over all terms of a process.
type Counters struct {
	// Terms counts how often the lease was taken, Jobs the jobs that each term
	// loaded or received, JobsEnded the jobs whose final state was stored.
	Terms, Jobs, JobsEnded atomic.Int64
	// Placements, Ends, Void and Lost count the runs placed, reported as ended,
	// reported as void (not on the worker, now or later), and lost with their
	// worker. Relocated, Regrouped and Rescued count the runs stopped so that their
	// tasks run elsewhere: filling runs, serving runs, and runs that progressed too
	// slowly. Suspected counts how often a worker became suspect because runs of
	// several jobs failed there.
	Placements, Ends, Void, Lost, Relocated, Regrouped, Rescued, Suspected atomic.Int64
	// Rebalanced counts the runs stopped because they held up their step, Restarted
	// those of them without a checkpoint, whose tasks begin anew.
	Rebalanced, Restarted atomic.Int64
	// Blamed counts how often a task may have crashed a worker, Quarantined the
	// runs placed in quarantine, GivenUp the jobs failed for crashing workers,
	// Contained the tasks of lasting jobs that are not started any more.
	Blamed, Quarantined, GivenUp, Contained atomic.Int64
	// Drained counts the moves of lasting tasks out of drained data centres.
	// Drains lists the data centres that are drained now; nil between terms.
	Drained atomic.Int64
	Drains  atomic.Pointer[[]DrainedDataCentre]
	// PlacedFirst counts the runs of aged jobs that were placed before those of
	// other jobs, Starved how often a job had no run for its objective.
	PlacedFirst, Starved atomic.Int64
	// PlacedPaced counts the filling runs placed at a reduced pace beside serving
	// tasks on which they press.
	PlacedPaced atomic.Int64
	// Returned counts the lasting tasks that returned to their machines after a loss
	// of most workers.
	Returned atomic.Int64
	// Commits counts transaction attempts, CommitErrors errors except conflicts.
	// Unanswered counts transactions that were found to be applied though their
	// answer had not arrived.
	Commits, CommitErrors, Unanswered atomic.Int64
	// SetApart counts writes that the store has refused for good, and that were left
	// out of their transactions.
	SetApart atomic.Int64
	// RowsRejected counts the rows that were read and not used, since they could not
	// be decoded or held impossible values.
	RowsRejected atomic.Int64
	// Retired counts the jobs whose rows were deleted.
	Retired atomic.Int64
	// FirstStart is the time from a job's acceptance to its first placement,
	// Commit the duration of a transaction attempt that succeeded, Plan the time
	// to make a plan and encode the changed jobs.
	FirstStart, Commit, Plan histogram.Latency
	// LaidOut counts the serving runs stopped so that they run where they leave
	// more room to filling work.
	LaidOut atomic.Int64
	// PassedOver is the waiting time of tasks by what kept them waiting, counted
	// while the policy Diagnosis is on.
	PassedOver PassedOver
	// Forecast is the time to compute a forecast of ends. ForecastErrors are the
	// errors of the forecasts for jobs that have ended.
	Forecast       histogram.Latency
	ForecastErrors forecastErrors
	// Agents is the number of agents that the present term knows, AgentsHeard the
	// number of agents that answer; both are 0 between terms.
	Agents, AgentsHeard atomic.Int64
}

// PassedOver sums the waiting time of tasks whose step was planned, in
// milliseconds.
type PassedOver struct {
	// Paused tasks waited after a failure, Moving ones for the worker to which
	// they were moved, Suspects for a quarantine. Open is the time of tasks which
	// a worker could have taken when the workers were classified.
	Paused, Moving, Suspects, Open atomic.Int64
	// ByCause is the time of the other tasks, by the cause that excluded most of
	// the workers that otherwise had room.
	ByCause [placement.Causes]atomic.Int64
}

func (p *PassedOver) figures() map[string]int64 {
	all := map[string]int64{"paused": p.Paused.Load(), "moving": p.Moving.Load(), "awaits_quarantine": p.Suspects.Load(), "open": p.Open.Load()}
	for c := range p.ByCause {
		all[placement.Cause(c).String()] = p.ByCause[c].Load()
	}
	return all
}

// DrainedDataCentre is a drained data centre and the work left there.
type DrainedDataCentre struct {
	DataCentre string `json:"data_centre"`
	Workers    int    `json:"workers"`
	// Lasting counts the runs of lasting tasks there, Ending all other runs.
	Lasting int `json:"lasting"`
	Ending  int `json:"ending"`
}

// drains returns the drained data centres, an empty list if Drains is nil.
func (c *Counters) drains() []DrainedDataCentre {
	if list := c.Drains.Load(); list != nil {
		return *list
	}
	return []DrainedDataCentre{}
}

// Figures returns the counters as they are published.
func (c *Counters) Figures() map[string]any {
	return map[string]any{
		"terms": c.Terms.Load(), "jobs": c.Jobs.Load(), "jobs_ended": c.JobsEnded.Load(), "placements": c.Placements.Load(),
		"ends": c.Ends.Load(), "void": c.Void.Load(), "lost": c.Lost.Load(), "relocated": c.Relocated.Load(), "regrouped": c.Regrouped.Load(), "rescued": c.Rescued.Load(),
		"rebalanced": c.Rebalanced.Load(), "restarted": c.Restarted.Load(),
		"suspected": c.Suspected.Load(), "rows_rejected": c.RowsRejected.Load(), "drained": c.Drained.Load(), "returned": c.Returned.Load(), "drains": c.drains(),
		"laid_out": c.LaidOut.Load(), "passed_over_ms": c.PassedOver.figures(),
		"blamed": c.Blamed.Load(), "quarantined": c.Quarantined.Load(), "given_up": c.GivenUp.Load(), "contained": c.Contained.Load(),
		"placed_first": c.PlacedFirst.Load(), "starved": c.Starved.Load(), "placed_paced": c.PlacedPaced.Load(),
		"commits": c.Commits.Load(), "commit_errors": c.CommitErrors.Load(),
		"unanswered": c.Unanswered.Load(), "set_apart": c.SetApart.Load(), "retired": c.Retired.Load(),
		"first_start_ms": c.FirstStart.Summary(), "commit_ms": c.Commit.Summary(), "plan_ms": c.Plan.Summary(),
		"forecast_ms": c.Forecast.Summary(), "forecast_errors": c.ForecastErrors.figures(),
		"agents": c.Agents.Load(), "agents_heard": c.AgentsHeard.Load(),
	}
}
