package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/placement"
)

const (
	// diagnoseEvery is the time between two classifications of the workers for a
	// step whose tasks are passed over.
	diagnoseEvery = 250 * time.Millisecond
	// diagnosisLogEvery is the least time between two log lines about one step.
	diagnosisLogEvery = time.Second
)

// diagnosis is what is known of a step whose tasks are passed over.
type diagnosis struct {
	// at is when the workers were last classified; loggedAt is when the last line
	// was written.
	at, loggedAt time.Time
	// last holds what the classification at that time found.
	last passedOver
}

// passedOver counts the waiting tasks of a step by what they wait for.
type passedOver struct {
	// paused tasks wait after a failure or are contained, moving ones for the worker to which they
	// are moved, suspects for a quarantine, others for a worker.
	paused, moving, suspects, others int
	// workers says why no worker takes one of the others.
	workers placement.Exclusion
}

// diagnose counts and logs why waiting tasks of a step are passed over. It is
// called after the step's plan, while bars for the step are in force.
func (t *Term) diagnose(v *view, o *occurrence, j *job, si int, now time.Time) {
	if !t.cfg.Policies.Diagnosis.Enabled {
		return
	}
	s := o.steps[si]
	if s.waiting == 0 {
		s.diagnosis = diagnosis{loggedAt: s.diagnosis.loggedAt}
		return
	}
	d := &s.diagnosis
	if now.Sub(d.at) < diagnoseEvery {
		return
	}
	if !d.at.IsZero() {
		// A longer gap means that the step was not planned in between.
		t.countPassedOver(&d.last, min(now.Sub(d.at), 2*diagnoseEvery))
	}
	d.at, d.last = now, passedOver{}
	d.last.classify(t, v, s, now)
	if now.Sub(d.loggedAt) >= diagnosisLogEvery {
		d.loggedAt = now
		logStep(t.deps.Log.Info(), j, o.number, si).Str("image", s.spec.Image).Bool("fills", s.spec.Fills).Int("need_cpu", s.spec.Need.CPU).
			EmbedObject(&d.last).Msg("tasks of a step passed over")
	}
}

func (p *passedOver) classify(t *Term, v *view, s *step, now time.Time) {
	for i := range s.tasks {
		k := &s.tasks[i]
		switch {
		case k.state != taskWaiting:
		case k.awaitsQuarantine(now):
			p.suspects++
		case k.contained() || k.notBefore.After(now):
			p.paused++
		case k.waitsForMove(now):
			p.moving++
		default:
			if p.others == 0 {
				avoid := v.index(k.avoid)
				p.workers = placement.Explain(placement.Request{
					Step: s.spec, Avoid: avoid, ExcludeAvoid: v.mustAvoid(s.spec, avoid, k.failedAt), Rack: v.rackOfStep(s),
				}, v.candidates)
			}
			p.others++
		}
	}
}

// countPassedOver adds waiting time to the counters, in milliseconds of tasks.
func (t *Term) countPassedOver(p *passedOver, d time.Duration) {
	c := &t.deps.Counters.PassedOver
	ms := d.Milliseconds()
	c.Paused.Add(int64(p.paused) * ms)
	c.Moving.Add(int64(p.moving) * ms)
	c.Suspects.Add(int64(p.suspects) * ms)
	switch {
	case p.others == 0:
	case p.workers.Open > 0:
		c.Open.Add(int64(p.others) * ms)
	default:
		c.ByCause[p.workers.Main()].Add(int64(p.others) * ms)
	}
}

// MarshalZerologObject adds the counts to a log line.
func (p *passedOver) MarshalZerologObject(e *zerolog.Event) {
	for _, n := range []struct {
		name  string
		count int
	}{{"tasks_paused", p.paused}, {"tasks_moving", p.moving}, {"tasks_suspect", p.suspects}, {"tasks_waiting", p.others}} {
		if n.count > 0 {
			e.Int(n.name, n.count)
		}
	}
	if p.others == 0 {
		return
	}
	e.Str("main", p.workers.Main().String()).Int("workers_open", p.workers.Open)
	e.Dict("workers", countsByCause(&p.workers.Workers)).Dict("sole", countsByCause(&p.workers.Sole))
}

func countsByCause(counts *[placement.Causes]int) *zerolog.Event {
	d := zerolog.Dict()
	for c, n := range counts {
		if n > 0 {
			d.Int(placement.Cause(c).String(), n)
		}
	}
	return d
}
