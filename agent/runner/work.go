package runner

import (
	"math"
	"time"

	"persimmonrock.example/wire/dispatch"
)

const (
	// paceMemory is the time constant of the mean pace that is reported. Paces
	// follow the load of the serving tasks within a fraction of a second.
	paceMemory = time.Second
	// changedPace is the change of the mean pace above which it is reported again.
	changedPace = 0.25
	// minGained is the progress, in percent, from which the remaining work is
	// computed: listings show whole per cents.
	minGained = 10
)

// workMeter measures how a filling run gets on. It is separate from run.worked,
// which is unknown for the runs of an earlier process of the agent.
type workMeter struct {
	// pace is the mean pace up to at, worked the work since the first listing.
	pace   float64
	worked time.Duration
	at     time.Duration
	// firstProgress is the progress in the first listing.
	firstProgress int
	// reported is the last report, nil before.
	reported *dispatch.RunWork
}

// measureWork updates the mean pace of a filling run after a listing, and
// reports it with the next answer if it has changed noticeably.
func (r *Runner) measureWork(x *run) {
	if !r.reportsWork || !x.fills || x.inherited && x.pacedAt == 0 {
		return
	}
	now := r.deps.Now()
	m := &x.work
	if m.at == 0 {
		*m = workMeter{pace: 1, at: now, firstProgress: x.progress}
		return
	}
	elapsed := now - m.at
	present := 1.0
	if x.pacedAt > 0 {
		present = float64(x.pace) / fullPace
	}
	m.pace += (present - m.pace) * (1 - math.Exp(-elapsed.Seconds()/paceMemory.Seconds()))
	m.worked += time.Duration(present * float64(elapsed))
	m.at = now
	if x.workDue() {
		x.changed = r.recordChange(false)
	}
}

// workDue reports whether the scheduler lacks the present pace, or the remaining
// work of a run that is paced down. A run at full pace is not reported.
func (x *run) workDue() bool {
	last := dispatch.RunWork{Pace: 1}
	if x.work.reported != nil {
		last = *x.work.reported
	}
	lacksLeft := last.Left == 0 && x.work.pace < 1-changedPace && x.gained() >= minGained
	return lacksLeft || math.Abs(x.work.pace-last.Pace) > changedPace
}

// reportedWork is the work to report of x, nil if none is requested or known.
func (r *Runner) reportedWork(x *run) *dispatch.RunWork {
	if !r.reportsWork || x.work.at == 0 || x.state != dispatch.RunPresent {
		return nil
	}
	x.work.reported = x.workSoFar()
	return x.work.reported
}

// gained is the progress since the first listing, in percent.
func (x *run) gained() int { return x.progress - x.work.firstProgress }

// workSoFar is the work done and left, by the progress that the work has made
// since the first listing, if there is enough to tell.
func (x *run) workSoFar() *dispatch.RunWork {
	report := &dispatch.RunWork{Pace: x.work.pace, Worked: x.work.worked}
	if gained := x.gained(); gained >= minGained {
		percent := float64(x.work.worked) / float64(gained)
		report.Worked = time.Duration(percent * float64(x.progress))
		report.Left = time.Duration(percent * float64(100-x.progress))
	}
	return report
}
