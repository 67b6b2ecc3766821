package scheduler

import (
	"sync/atomic"

	"persimmonrock.example/ops/histogram"
)

// Counters are a scheduler's figures over all terms of a process.
type Counters struct {
	// Terms counts the leases taken, Jobs and JobsEnded the jobs.
	Terms, Jobs, JobsEnded atomic.Int64
	// Placements, Ends, Void and Lost count runs: placed, ended, never run, and
	// lost with their worker. Relocated are filling runs that were stopped to run
	// elsewhere, Regrouped serving ones, Rescued those moved off workers on which
	// they progressed too slowly. Suspected counts how often a worker was
	// excluded from tasks that end by themselves, since it failed them.
	Placements, Ends, Void, Lost, Relocated, Regrouped, Rescued, Suspected atomic.Int64
	// Blamed counts how often a task may have crashed a worker, Quarantined the
	// runs in quarantine, GivenUp the jobs failed for their crashes.
	Blamed, Quarantined, GivenUp atomic.Int64
	// Drained counts lasting tasks that were moved out of drained data centres;
	// Drains lists these.
	Drained atomic.Int64
	Drains  atomic.Pointer[[]DrainedDataCentre]
	// Commits counts transactions with retries, CommitErrors those that failed.
	Commits, CommitErrors atomic.Int64
	// FirstStart is the time from acceptance to a job's first placement,
	// Commit that of a transaction, Plan that of a plan with its encoding.
	FirstStart, Commit, Plan histogram.Latency
	// Agents is the number of agents that the present term knows, AgentsHeard the
	// number of those that answer; both are 0 between terms.
	Agents, AgentsHeard atomic.Int64
}

// DrainedDataCentre is a drained data centre and the work left there.
type DrainedDataCentre struct {
	DataCentre string `json:"data_centre"`
	Workers    int    `json:"workers"`
	// Lasting and Ending count the runs there that last, and those that end by
	// themselves.
	Lasting int `json:"lasting"`
	Ending  int `json:"ending"`
}

// drains lists the drained data centres.
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
		"suspected": c.Suspected.Load(), "drained": c.Drained.Load(), "drains": c.drains(),
		"blamed": c.Blamed.Load(), "quarantined": c.Quarantined.Load(), "given_up": c.GivenUp.Load(),
		"commits": c.Commits.Load(), "commit_errors": c.CommitErrors.Load(),
		"first_start_ms": c.FirstStart.Summary(), "commit_ms": c.Commit.Summary(), "plan_ms": c.Plan.Summary(),
		"agents": c.Agents.Load(), "agents_heard": c.AgentsHeard.Load(),
	}
}
