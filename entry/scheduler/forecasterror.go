package scheduler

import (
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/ops/histogram"
	"persimmonrock.example/structs/workload"
)

// forecastPoint is a point in a job's life at which its forecast is kept, to be
// compared with its end.
type forecastPoint int

const (
	// atAcceptance is the first forecast after the job was accepted, atStart that
	// after its first placement, atHalf that after half of its tasks were done.
	atAcceptance forecastPoint = iota
	atStart
	atHalf
	forecastPoints
)

var pointNames = [forecastPoints]string{"accepted", "started", "half_done"}

// acceptedWithin is the age up to which a job's first forecast counts as made at
// its acceptance.
const acceptedWithin = time.Second

// trackedJob holds the forecasts of a job that are kept.
type trackedJob struct {
	kind  forecast.Kind
	work  float64
	made  [forecastPoints]bool
	at    [forecastPoints]forecast.Prediction
	total int
}

// forecastErrors are the ratios of actual to predicted time by kind and point.
type forecastErrors struct {
	ratios [2][forecastPoints]histogram.Ratio
}

func (f *forecastErrors) figures() map[string]any {
	out := map[string]any{}
	for _, k := range []forecast.Kind{forecast.Reserved, forecast.Filling} {
		points := map[string]any{}
		for p, name := range pointNames {
			points[name] = f.ratios[k][p].Summary()
		}
		out[k.String()] = points
	}
	return out
}

// trackForecast keeps the forecasts of jobs that have reached a point. The caller
// holds mu.
func (t *Term) trackForecast(s *forecast.Snapshot) {
	c := t.forecaster
	for i := range s.Jobs {
		x := &s.Jobs[i]
		end, ok := c.last.Ends[x.ID]
		j := t.jobs[x.ID]
		if !ok || j == nil || j.spec.Repeat.Count > 0 {
			continue
		}
		k := c.tracked[x.ID]
		if k == nil {
			k = &trackedJob{kind: forecast.KindOf(x, s.Rooms), work: j.wholeWork()}
			for i := range j.spec.Steps {
				k.total += j.spec.Steps[i].Count
			}
			c.tracked[x.ID] = k
			if s.At-x.Accepted < acceptedWithin {
				k.keep(atAcceptance, s.At, end)
			}
		}
		if j.started {
			k.keep(atStart, s.At, end)
		}
		if k.left(x) <= k.total/2 {
			k.keep(atHalf, s.At, end)
		}
	}
}

func (k *trackedJob) keep(p forecastPoint, at time.Duration, end forecast.End) {
	if !k.made[p] {
		k.made[p], k.at[p] = true, forecast.Prediction{At: at, End: end}
	}
}

// left counts the tasks that are not done.
func (k *trackedJob) left(x *forecast.Job) int {
	n := 0
	for i := range x.Steps {
		n += x.Steps[i].Waiting + len(x.Steps[i].Running)
	}
	return n
}

// checkForecast compares the forecasts of a job with its end. The caller holds mu.
func (t *Term) checkForecast(j *job, state workload.State) {
	c := t.forecaster
	if c == nil {
		return
	}
	k := c.tracked[j.spec.ID]
	delete(c.tracked, j.spec.ID)
	if k == nil || state != workload.Completed {
		return
	}
	ended := time.Duration(j.final) * time.Millisecond
	line := t.deps.Log.Info().Str("job", string(j.spec.ID)).Str("queue", j.queue.Name).Stringer("kind", k.kind).Float64("work", roundThousandth(k.work))
	for p, name := range pointNames {
		if !k.made[p] {
			continue
		}
		made := k.at[p]
		ratio := made.Error(ended)
		t.deps.Counters.ForecastErrors.ratios[k.kind][p].Observe(ratio)
		line = line.Dur(name+"_predicted", made.End.Half-made.At).Dur(name+"_nine_tenths", made.End.NineTenths-made.At).
			Dur(name+"_actual", ended-made.At).Float64(name+"_ratio", roundThousandth(ratio))
	}
	if j.outlookWait >= 0 {
		line = line.Dur("outlook_wait", j.outlookWait)
	}
	if k.made[atAcceptance] {
		c.errors.Learn(k.kind, k.at[atAcceptance], ended)
		c.changes++
	}
	line.Msg("forecast compared with the end")
}
