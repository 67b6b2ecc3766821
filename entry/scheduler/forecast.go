package scheduler

import (
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/structs/workload"
)

const (
	// forecastEvery is the least time between two forecasts. The time grows with
	// the cost of one, to at most 1/forecastShare of a processor.
	forecastEvery = 250 * time.Millisecond
	forecastShare = 50
	// arrivalWindow is the time over which arrivals are counted; maxArrivals bounds
	// their number.
	arrivalWindow = 12 * time.Second
	maxArrivals   = 1000
	// usualRoomMemory is the time over which the room left by serving tasks is
	// averaged.
	usualRoomMemory = 5 * time.Second
	// settleAfter is the time after which all agents have reported to a new term.
	// Until then, the room is the one that the term before has stored, if larger.
	settleAfter = 2 * time.Second
	// backlogLogEvery is the time between two log lines on the backlog.
	backlogLogEvery = 5 * time.Second
	// leastTypical stands for the duration of tasks without an estimate.
	leastTypical = 50 * time.Millisecond
)

// forecaster holds the forecast of ends and what it is learnt from.
type forecaster struct {
	runtimes forecast.Runtimes
	errors   forecast.Errors
	last     forecast.Forecast
	// madeAt is when last was made, cost what it took; both by Deps.Now.
	madeAt, cost time.Duration
	// loggedAt is when the backlog was last logged.
	loggedAt time.Duration
	arrivals []serviceArrival
	// arrived are the jobs not yet counted among the arrivals: their work is known
	// with the next snapshot.
	arrived []*job
	tracked map[workload.JobID]*trackedJob
	// usual is the mean share of a service's CPU that filling tasks can use.
	usual   map[string]float64
	usualAt time.Duration
	// stored are the rooms that an earlier term has stored, by service.
	stored map[string]storedRoom
	rooms  map[string]storedRoom
	// changes counts what was learnt, savedChanges what of it is stored.
	changes, savedChanges int
	savedAt               time.Duration
}

// serviceArrival is an arrival without its room, which follows from the service.
type serviceArrival struct {
	forecast.Arrival
	service string
}

// storedRoom is the room of a service, in cores.
type storedRoom struct {
	Filling  float64 `json:"f"`
	Reserved float64 `json:"r"`
}

func newForecaster() *forecaster {
	return &forecaster{tracked: map[workload.JobID]*trackedJob{}, usual: map[string]float64{}, stored: map[string]storedRoom{}, rooms: map[string]storedRoom{}}
}

// forecastOf returns the last forecast of a job's end. The caller holds mu.
func (t *Term) forecastOf(j *job) (forecast.End, bool) {
	if t.forecaster == nil {
		return forecast.End{}, false
	}
	e, ok := t.forecaster.last.Ends[j.spec.ID]
	return e, ok
}

// outlook returns the summary of the last forecast for entries. The caller holds
// mu and does not change the result.
func (t *Term) outlook() forecast.Outlook {
	if t.forecaster == nil {
		return forecast.Outlook{}
	}
	return t.forecaster.last.Outlook
}

// forecastLoop makes forecasts until the term ends.
func (t *Term) forecastLoop() {
	for t.ctx.Err() == nil {
		t.sleep(t.forecastPause())
		t.makeForecast()
	}
}

func (t *Term) forecastPause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(forecastEvery, t.forecaster.cost*forecastShare)
}

// makeForecast computes a forecast, without holding mu for the computation.
func (t *Term) makeForecast() {
	t.mu.Lock()
	if t.forecaster.last.At == 0 {
		// The first plan of the term, which sets the order of jobs, makes the first
		// forecast.
		t.mu.Unlock()
		return
	}
	begun := t.deps.Now()
	s := t.snapshot()
	t.mu.Unlock()
	f := forecast.Compute(s)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keepForecast(s, f, begun)
}

// firstForecast makes the first forecast of a term, so that it is there with the
// first plan. The caller holds mu.
func (t *Term) firstForecast() {
	if t.forecaster == nil || t.forecaster.last.At != 0 {
		return
	}
	begun := t.deps.Now()
	s := t.snapshot()
	t.keepForecast(s, forecast.Compute(s), begun)
	t.deps.Log.Info().Uint64("epoch", t.epoch).Int("jobs", len(s.Jobs)).Int("ends", len(t.forecaster.last.Ends)).
		Dur("took", t.deps.Now()-begun).Msg("first forecast of the term made")
}

func (t *Term) keepForecast(s *forecast.Snapshot, f forecast.Forecast, begun time.Duration) {
	c := t.forecaster
	c.last, c.madeAt = f, t.deps.Now()
	c.cost = c.madeAt - begun
	t.deps.Counters.Forecast.Observe(c.cost)
	t.trackForecast(s)
	t.logBacklog(s)
}

// logBacklog logs, for each room, what is forecast, once per backlogLogEvery.
func (t *Term) logBacklog(s *forecast.Snapshot) {
	c := t.forecaster
	if c.loggedAt != 0 && c.madeAt-c.loggedAt < backlogLogEvery {
		return
	}
	c.loggedAt = c.madeAt
	last := s.At
	for _, e := range c.last.Ends {
		last = max(last, e.Half)
	}
	for i := range s.Rooms {
		r := &s.Rooms[i]
		waiting, running := s.Demand(i)
		if waiting+running > 0 {
			t.deps.Log.Info().Str("service", r.Service).Bool("filling", r.Filling).Float64("cores", roundThousandth(r.Cores)).Float64("usual_cores", roundThousandth(r.Usual)).
				Float64("waiting_cores", roundThousandth(waiting)).Float64("running_cores", roundThousandth(running)).Int("jobs", len(s.Jobs)).Dur("all_end", last-s.At).Msg("backlog forecast")
		}
	}
}

// forecastArrival records that a job was accepted. The caller holds mu.
func (t *Term) forecastArrival(j *job) {
	if t.forecaster != nil {
		t.forecaster.arrived = append(t.forecaster.arrived, j)
		load := t.forecaster.last.Outlook.Loads[j.queue.Name].Filling
		if wait, ok := load.Wait(j.wholeWork()); ok && t.loaded {
			j.outlookWait = wait
		}
	}
}

// learnDuration learns from a task that has ended. The caller holds mu.
func (t *Term) learnDuration(j *job, s *step, k *task, e workload.End) {
	c := t.forecaster
	if c == nil {
		return
	}
	// What a run from before this term took is not known: its end may have been
	// reported late.
	var ran time.Duration
	if k.placedStore > 0 && !k.fromEarlierTerm {
		ran = time.Duration(t.storeNow()-k.placedStore) * time.Millisecond
	}
	worked := e.Worked
	if worked <= 0 {
		worked = ran
	}
	c.runtimes.EndedTask(&s.times, s.spec.Image, s.spec.Estimate, k.worked+worked, worked, ran)
	if s.done+1 == len(s.tasks) {
		c.runtimes.EndedStep(s.times, s.spec.Image, j.queue.Name, s.spec.Estimate)
	}
	c.changes++
}

// typical is the expected time between start and end of a usual task of s.
func (t *Term) typical(j *job, s *step) time.Duration {
	return max(leastTypical, t.forecaster.runtimes.Typical(s.times, s.spec.Image, j.queue.Name, s.spec.Estimate))
}
