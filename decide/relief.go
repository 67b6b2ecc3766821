package decide

import (
	"math"
	"time"

	"persimmonrock.example/structs"
)

// ServicePressure is the load and the latency of one service on the instance.
type ServicePressure struct {
	Service structs.Service
	// Target is the strictest latency target of the customers that use the
	// service on this instance; 0 for none.
	Target time.Duration
	// Time is the recent median duration of a call; 0 if no call ended.
	Time         time.Duration
	InUse, Slots int
	// Calls is the number of calls measured for Time; 0 counts as assumedCalls.
	Calls int
}

// RunningTask is one batch task on the instance.
type RunningTask struct {
	Job      structs.JobID
	Epoch    structs.Epoch
	Customer structs.Customer
	Kind     structs.Kind
	// Ran is the duration of this run so far.
	Ran time.Duration
	// Progress is the part of the job that is done. Saved is the part that its last
	// checkpoint holds. Both are 0 to 1. Runtime is the whole job's expected duration.
	Progress, Saved float64
	Runtime         time.Duration
	// Speed is the present speed; 1 means not throttled.
	Speed       float64
	Slots       int
	MemoryBytes int64
	// Borrowed is set if Customer holds more than its quota on the instance.
	Borrowed bool
}

// ReliefState is an agent's view of its instance.
type ReliefState struct {
	Services []ServicePressure
	Tasks    []RunningTask
	// MemoryBytes is the instance's memory, 0 when unknown.
	MemoryBytes int64
	// SlotsOwed is the number of slots that urgent calls or tasks within their
	// customer's quota could not get since the last call of Relieve. CallsOwed
	// is the part of SlotsOwed that calls could not get.
	SlotsOwed, CallsOwed int
}

// ActionKind is the kind of change to a task.
type ActionKind string

// The kinds of action, mildest first.
const (
	ActionRestore  ActionKind = "restore"
	ActionThrottle ActionKind = "throttle"
	ActionEvict    ActionKind = "evict"
)

// Action is one decision of Relieve. Speed is the task's new speed.
type Action struct {
	Kind   ActionKind
	Job    structs.JobID
	Epoch  structs.Epoch
	Speed  float64
	Reason string
}

// Tuning of Relieve.
const (
	// Tasks are throttled if a service's inflation is above toleratedInflation.
	// For hysteresis, their speed is raised only at or below restoredInflation. A
	// strict latency target lowers both limits (see inflationLimit).
	toleratedInflation = 2.6
	restoredInflation  = 2.2
	// equalWeightCalls is the number of calls at which a measurement has the same
	// weight as the prediction. A few calls are weak evidence, since calls differ
	// in size. assumedCalls replaces an unknown number of calls.
	equalWeightCalls = 20
	assumedCalls     = 8
	// targetPart is the part of the latency target that the median may use.
	targetPart = 0.5
	// settleTime is the time until reports show the effect of an action.
	settleTime = 2 * time.Second
	// evictAfter is the time for which a service's inflation may stay above its
	// limit despite throttling before a task is evicted.
	evictAfter = 15 * time.Second
	// minRunTime is the least run time of a task evicted for pressure or for a slot
	// owed to a task. Evictions for memory or for a slot owed to calls ignore it.
	minRunTime = 20 * time.Second
	minSpeed   = 0.125
	// reclaimDelay is the time for which slots must be owed without a break before
	// a task on a borrowed slot is evicted. Most tasks on borrowed slots end sooner.
	reclaimDelay = 4 * time.Second
	speedStep    = 0.5
	maxActions   = 64
)

// Reasons of actions.
const (
	ReasonPressure  = "service is disturbed beyond its limit"
	ReasonRecovered = "service is undisturbed again"
	ReasonReclaim   = "borrowed slot is given back"
	ReasonMemory    = "instance is out of memory"
)

// ReliefTracker is the state that Relieve keeps between calls for one instance.
// The zero value is ready for use.
type ReliefTracker struct {
	lastAction     time.Duration
	hasActed       bool
	overLimitSince time.Duration
	overLimit      bool
	owedSince      time.Duration
	owed           bool
	actions        []Action
	speeds         []float64
	evicted        []bool
}

// Relieve returns the actions at time now against disturbance of services, lack of
// memory and owed slots. Against disturbance it throttles first and evicts last.
// The result is valid until the next call with the same tracker.
func Relieve(now time.Duration, st ReliefState, m *Interference, tracker *ReliefTracker) []Action {
	tracker.reset(&st)
	tracker.freeMemory(&st)
	tracker.reclaimBorrowed(now, &st)
	worst, inflation := tracker.worstService(&st, m)
	limit := inflationLimit(worst, m)
	switch {
	case worst == nil:
		tracker.overLimit = false
		tracker.restore(now, &st, m)
	case inflation > limit:
		tracker.relievePressure(now, &st, m, worst, inflation, limit)
	default:
		tracker.overLimit = false
		if inflation <= limit*restoredInflation/toleratedInflation {
			tracker.restore(now, &st, m)
		}
	}
	return tracker.actions
}

func (r *ReliefTracker) reset(st *ReliefState) {
	r.actions = r.actions[:0]
	r.speeds = r.speeds[:0]
	r.evicted = r.evicted[:0]
	for i := range st.Tasks {
		speed := st.Tasks[i].Speed
		if !(speed > 0 && speed <= 1) {
			speed = 1
		}
		r.speeds = append(r.speeds, speed)
		r.evicted = append(r.evicted, false)
	}
}

func (r *ReliefTracker) settled(now time.Duration) bool {
	return !r.hasActed || now-r.lastAction >= settleTime || now < r.lastAction
}

func (r *ReliefTracker) recordAction(now time.Duration) {
	r.lastAction, r.hasActed = now, true
}

func (r *ReliefTracker) evict(st *ReliefState, i int, reason string) {
	t := &st.Tasks[i]
	r.evicted[i] = true
	r.actions = append(r.actions, Action{Kind: ActionEvict, Job: t.Job, Epoch: t.Epoch, Reason: reason})
}

func (r *ReliefTracker) setSpeed(st *ReliefState, i int, kind ActionKind, speed float64, reason string) {
	t := &st.Tasks[i]
	r.speeds[i] = speed
	r.actions = append(r.actions, Action{Kind: kind, Job: t.Job, Epoch: t.Epoch, Speed: speed, Reason: reason})
}

// freeMemory evicts tasks until the measured memory fits. It ignores minRunTime:
// otherwise the platform would kill a task of its own choice.
func (r *ReliefTracker) freeMemory(st *ReliefState) {
	if st.MemoryBytes <= 0 {
		return
	}
	used := int64(0)
	for i := range st.Tasks {
		used += max(st.Tasks[i].MemoryBytes, 0)
	}
	for used > st.MemoryBytes {
		over := float64(used - st.MemoryBytes)
		i := r.chooseVictim(st, 0, func(t *RunningTask) float64 {
			return math.Min(float64(t.MemoryBytes)/over, 1)
		})
		if i < 0 {
			return
		}
		used -= st.Tasks[i].MemoryBytes
		r.evict(st, i, ReasonMemory)
	}
}

// reclaimBorrowed evicts one task that holds a borrowed slot when slots have been
// owed for reclaimDelay without a break.
//
// Guards against: calls within their customer's quota are refused for 20 seconds,
// three times as long as urgent work may wait for its start. It comes about when
// newly started tasks have borrowed all slots and minRunTime protects them.
// minRunTime therefore does not protect a task if slots are owed to calls.
func (r *ReliefTracker) reclaimBorrowed(now time.Duration, st *ReliefState) {
	if st.SlotsOwed <= 0 {
		r.owed = false
		return
	}
	if !r.owed {
		r.owed, r.owedSince = true, now
	}
	if now-r.owedSince < reclaimDelay {
		return
	}
	r.owedSince = now
	minRan := minRunTime
	if st.CallsOwed > 0 {
		minRan = 0
	}
	i := r.chooseVictim(st, minRan, func(t *RunningTask) float64 {
		if t.Borrowed {
			return 1
		}
		return 0
	})
	if i >= 0 {
		r.evict(st, i, ReasonReclaim)
	}
}

// chooseVictim returns the task with the least cost per unit of relief, or -1 for
// none. It considers tasks that ran for at least minRan and whose relief is above 0.
func (r *ReliefTracker) chooseVictim(st *ReliefState, minRan time.Duration, relief func(*RunningTask) float64) int {
	best, bestCost := -1, math.Inf(1)
	for i := range st.Tasks {
		t := &st.Tasks[i]
		if r.evicted[i] || t.Ran < minRan {
			continue
		}
		gain := relief(t)
		if gain <= 0 {
			continue
		}
		if cost := (lostSeconds(t) + restartCost) / gain; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// restartCost is the cost of stopping and resuming any task, in seconds.
const restartCost = 2.0

// lostSeconds returns the seconds of work that an eviction of t loses.
func lostSeconds(t *RunningTask) float64 {
	unsaved := math.Max(0, math.Min(t.Progress, 1)-math.Max(t.Saved, 0))
	runtime := t.Runtime
	if runtime <= 0 {
		runtime = t.Ran
		unsaved = 1
		if t.Saved > 0 {
			unsaved = 0.5
		}
	}
	return unsaved * runtime.Seconds()
}

// worstService returns the service with the highest ratio of inflation to limit,
// or nil, and its inflation.
func (r *ReliefTracker) worstService(st *ReliefState, m *Interference) (*ServicePressure, float64) {
	var worst *ServicePressure
	worstRatio, worstInflation := 0.0, 1.0
	for i := range st.Services {
		s := &st.Services[i]
		base := m.BaseTime(s.Service, BandOf(s.InUse, s.Slots))
		if s.Time <= 0 || base <= 0 || s.InUse < 0 {
			continue
		}
		inflation := r.estimatedInflation(st, m, s, base)
		if ratio := inflation / inflationLimit(s, m); ratio > worstRatio {
			worst, worstRatio, worstInflation = s, ratio, inflation
		}
	}
	return worst, worstInflation
}

// estimatedInflation returns the weighted mean of the measured inflation, which is
// delayed and rests on few calls, and the inflation predicted from the present tasks.
func (r *ReliefTracker) estimatedInflation(st *ReliefState, m *Interference, s *ServicePressure, base time.Duration) float64 {
	calls := float64(s.Calls)
	if s.Calls <= 0 {
		calls = assumedCalls
	}
	trust := calls / (calls + equalWeightCalls)
	return trust*float64(s.Time)/float64(base) + (1-trust)*r.predictedInflation(st, m, s)
}

// predictedInflation returns the inflation of s predicted for the tasks' speeds.
func (r *ReliefTracker) predictedInflation(st *ReliefState, m *Interference, s *ServicePressure) float64 {
	band := BandOf(s.InUse, s.Slots)
	sum := 1.0
	for i := range st.Tasks {
		if !r.evicted[i] {
			sum += r.speeds[i] * (m.Predict(s.Service, st.Tasks[i].Kind, band) - 1)
		}
	}
	return sum
}

// inflationLimit returns toleratedInflation or, if less, the inflation at which
// the median reaches targetPart of the latency target.
func inflationLimit(s *ServicePressure, m *Interference) float64 {
	if s == nil {
		return toleratedInflation
	}
	base := m.BaseTime(s.Service, BandOf(s.InUse, s.Slots))
	if s.Target <= 0 || base <= 0 {
		return toleratedInflation
	}
	byTarget := targetPart * float64(s.Target) / float64(base)
	return math.Max(1.05, math.Min(toleratedInflation, byTarget))
}

func (r *ReliefTracker) relievePressure(now time.Duration, st *ReliefState, m *Interference, s *ServicePressure, inflation, limit float64) {
	if !r.overLimit {
		r.overLimit, r.overLimitSince = true, now
	}
	if !r.settled(now) {
		return
	}
	band := BandOf(s.InUse, s.Slots)
	excess := inflation - (limit+restoredInflation)/2
	for excess > 0 && len(r.actions) < maxActions {
		i := r.mostHarmful(st, m, s.Service, band)
		if i < 0 {
			break
		}
		speed := math.Max(r.speeds[i]*speedStep, minSpeed)
		excess -= (r.speeds[i] - speed) * (m.Predict(s.Service, st.Tasks[i].Kind, band) - 1)
		r.setSpeed(st, i, ActionThrottle, speed, ReasonPressure)
		r.recordAction(now)
	}
	if r.settled(now) && now-r.overLimitSince >= evictAfter {
		r.evictForPressure(now, st, m, s.Service, band)
	}
}

// mostHarmful returns the task that harms the service most at its present speed
// and can still be throttled, or -1. Harm of borrowing tasks counts double.
func (r *ReliefTracker) mostHarmful(st *ReliefState, m *Interference, s structs.Service, b LoadBand) int {
	best, most := -1, 0.0
	for i := range st.Tasks {
		if r.evicted[i] || r.speeds[i] <= minSpeed {
			continue
		}
		harm := r.speeds[i] * (m.Predict(s, st.Tasks[i].Kind, b) - 1)
		if harm <= negligibleHarm*r.speeds[i] {
			continue
		}
		if st.Tasks[i].Borrowed {
			harm *= 2
		}
		if harm > most {
			best, most = i, harm
		}
	}
	return best
}

func (r *ReliefTracker) evictForPressure(now time.Duration, st *ReliefState, m *Interference, s structs.Service, b LoadBand) {
	i := r.chooseVictim(st, minRunTime, func(t *RunningTask) float64 {
		return m.Predict(s, t.Kind, b) - 1
	})
	if i < 0 {
		return
	}
	r.evict(st, i, ReasonPressure)
	r.recordAction(now)
	r.overLimitSince = now
}

// restore raises the speeds of throttled tasks, the least harmful task first,
// while each service's predicted inflation stays at most halfway between
// restoredInflation and its limit.
func (r *ReliefTracker) restore(now time.Duration, st *ReliefState, m *Interference) {
	if !r.settled(now) {
		return
	}
	for range maxActions {
		i := r.leastHarmful(st, m)
		if i < 0 {
			return
		}
		speed := math.Min(1, r.speeds[i]/speedStep)
		before := r.speeds[i]
		r.speeds[i] = speed
		if r.predictedAboveLimit(st, m) {
			r.speeds[i] = before
			return
		}
		r.setSpeed(st, i, ActionRestore, speed, ReasonRecovered)
		r.recordAction(now)
	}
}

func (r *ReliefTracker) leastHarmful(st *ReliefState, m *Interference) int {
	best, least := -1, math.Inf(1)
	for i := range st.Tasks {
		if r.evicted[i] || r.speeds[i] >= 1 {
			continue
		}
		harm := 0.0
		for j := range st.Services {
			s := &st.Services[j]
			harm += m.Predict(s.Service, st.Tasks[i].Kind, BandOf(s.InUse, s.Slots)) - 1
		}
		if harm < least {
			best, least = i, harm
		}
	}
	return best
}

func (r *ReliefTracker) predictedAboveLimit(st *ReliefState, m *Interference) bool {
	for j := range st.Services {
		s := &st.Services[j]
		if s.InUse == 0 {
			continue
		}
		if r.predictedInflation(st, m, s) > (inflationLimit(s, m)+restoredInflation)/2 {
			return true
		}
	}
	return false
}
