package forecast

import (
	"math"
	"time"

	"persimmonrock.example/structs/workload"
)

const (
	// horizonFactor is the length of the profiles as a multiple of the time that
	// all work takes with the room of now; longest and leastHorizon bound it.
	horizonFactor  = 2.0
	leastHorizon   = 20 * time.Second
	longestHorizon = 240 * time.Hour
)

// model is the state of one computation.
type model struct {
	s        *Snapshot
	axis     *axis
	profiles []*profile
	arrivals arrivals
	spread   *survival
	// finish and late are when each step of the present job ends, in seconds, and
	// when it has ended with a probability of lateQuantile.
	finish, late []float64
	// counts is the memory of runningEnd.
	counts []elapsedCount
}

// Compute forecasts the ends of all jobs. Jobs take room in the order of the
// plan, each step at most its width, as a fluid: no task is placed.
func Compute(s *Snapshot) Forecast {
	m := newModel(s)
	f := Forecast{At: s.At, Ends: make(map[workload.JobID]End, len(s.Jobs))}
	for i := range s.Jobs {
		m.occupyRunning(&s.Jobs[i])
	}
	for _, p := range m.profiles {
		p.occupied()
	}
	marks := newMarks(s)
	for i := range s.Jobs {
		marks.pass(m, s.Jobs[i].Key)
		end, ok := m.serveJob(&s.Jobs[i])
		if ok && !s.Jobs[i].Repeats {
			f.Ends[s.Jobs[i].ID] = end
		}
	}
	marks.passAll(m)
	f.Outlook = marks.outlook(s)
	return f
}

func newModel(s *Snapshot) *model {
	spread := newSurvival(s.Spread)
	m := &model{s: s, axis: newAxis(horizon(s, spread.mean), s.Window), arrivals: newArrivals(s), spread: spread}
	for i := range s.Rooms {
		m.profiles = append(m.profiles, newProfile(m.axis, &s.Rooms[i]))
	}
	return m
}

// horizon is the time to foresee: enough for all work and the longest job.
// Tasks take mean times as long as usual ones.
func horizon(s *Snapshot, mean float64) time.Duration {
	work := make([]float64, len(s.Rooms))
	longest := 0.0
	for i := range s.Jobs {
		chain := 0.0
		for k := range s.Jobs[i].Steps {
			st := &s.Jobs[i].Steps[k]
			if s.Jobs[i].Endless {
				continue
			}
			work[st.Room] += float64(st.Waiting+len(st.Running)) * st.Cores * st.Typical.Seconds() * mean
			chain += st.Typical.Seconds() * slowFactor
		}
		longest = max(longest, chain)
	}
	for i := range work {
		if r := &s.Rooms[i]; r.Usual > leastCores {
			longest = max(longest, work[i]/r.Usual)
		}
	}
	return time.Duration(min(longestHorizon.Seconds(), max(leastHorizon.Seconds(), horizonFactor*longest)) * float64(time.Second))
}

// occupyRunning takes the room that running tasks use until they end.
func (m *model) occupyRunning(j *Job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if len(s.Running) == 0 || j.Endless {
			continue
		}
		sum := 0.0
		for _, elapsed := range s.Running {
			sum += m.spread.meanLeft(multiple(elapsed, s.Typical))
		}
		n := float64(len(s.Running))
		m.profiles[s.Room].occupy(n*s.Cores, sum/n*s.Typical.Seconds())
	}
}

// serveJob takes room for a job's waiting tasks, and returns the job's end.
func (m *model) serveJob(j *Job) (End, bool) {
	if j.Endless {
		// Lasting tasks that wait have fitted nowhere: they hold no room.
		return End{}, false
	}
	m.finish, m.late = m.finish[:0], m.late[:0]
	end, late, first := 0.0, 0.0, -1.0
	for i := range j.Steps {
		s := &j.Steps[i]
		from, lateFrom := 0.0, 0.0
		for _, a := range s.After {
			from, lateFrom = max(from, m.finish[a]), max(lateFrom, m.late[a])
		}
		done, lateDone := from, lateFrom
		if !s.complete() {
			var began float64
			began, done, lateDone = m.serveStep(j, s, from)
			lateDone += lateFrom - from
			if first < 0 && s.Waiting > 0 {
				first = began
			}
		}
		m.finish, m.late = append(m.finish, done), append(m.late, lateDone)
		end, late = max(end, done), max(late, lateDone)
	}
	return m.end(j, end, late, max(first, 0)), true
}

// serveStep returns when the step's waiting tasks get room, when the step ends,
// and when it has ended with a probability of lateQuantile.
func (m *model) serveStep(j *Job, s *Step, from float64) (start, end, late float64) {
	typical := s.Typical.Seconds()
	half, nine := m.spread.longest(s.Waiting)
	start = from
	if n := len(s.Running); n > 0 {
		end, late = m.runningEnd(s)
	}
	if s.Waiting == 0 {
		return start, end, max(end, late)
	}
	n := float64(s.Waiting)
	work := (n*typical*m.spread.mean - s.Spared.Seconds()) * s.Cores
	work = max(work, leastLeft*typical*s.Cores)
	var done float64
	start, done = m.profiles[s.Room].serve(demand{
		image: s.Image, from: from, work: work, width: n * s.Cores, later: m.arrivals.before(s.Room, j.Key),
	})
	each := max(leastLeft*typical, typical-s.Spared.Seconds()/n)
	// The longest task may be among the first or the last to start.
	lastStart := max(start, done-typical)
	middle := (start + lastStart) / 2
	end = max(end, done, middle+half*each)
	return start, end, max(late, done+(nine-half)*each, lastStart+nine*each)
}

// runningEnd returns when the running tasks of a step have ended. Tasks that have
// run for about the same time are taken together.
func (m *model) runningEnd(s *Step) (end, late float64) {
	typical := s.Typical.Seconds()
	counts := m.counts[:0]
	for _, elapsed := range s.Running {
		at := m.spread.index(multiple(elapsed, s.Typical))
		k := 0
		for k < len(counts) && counts[k].at != at {
			k++
		}
		if k == len(counts) {
			counts = append(counts, elapsedCount{at: at, elapsed: elapsed})
		}
		counts[k].tasks++
	}
	m.counts = counts
	for _, c := range counts {
		half, nine := m.spread.leftOf(multiple(c.elapsed, s.Typical), c.tasks)
		end, late = max(end, half*typical), max(late, nine*typical)
	}
	return end, late
}

// elapsedCount counts the running tasks of a step at one point of the grid of a
// survival table.
type elapsedCount struct {
	at, tasks int
	elapsed   time.Duration
}

// end converts seconds from now into times, corrected by the errors of earlier
// forecasts.
func (m *model) end(j *Job, end, late, start float64) End {
	bias, sd := m.s.Errors.of(KindOf(j, m.s.Rooms))
	half := end * math.Exp(bias)
	nine := max(late, half*math.Exp(normalNineTenths*sd))
	sigma := 0.0
	if half > 0 {
		sigma = min(1, math.Log(max(1, nine/half))/normalNineTenths)
	}
	at := func(seconds float64) time.Duration { return m.s.At + time.Duration(seconds*float64(time.Second)) }
	return End{Expected: at(half * math.Exp(sigma*sigma/2)), Half: at(half), NineTenths: at(nine), Start: at(start), raw: at(end)}
}

// normalNineTenths is the nine-tenths quantile of the standard normal
// distribution.
const normalNineTenths = 1.2816
