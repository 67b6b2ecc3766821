package decide

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/structs"
)

func runningTask(job string, kind structs.Kind, ran time.Duration, speed float64) RunningTask {
	return RunningTask{Job: structs.JobID(job), Kind: kind, Ran: ran, Speed: speed, Slots: 1, Progress: 0.5, Runtime: 10 * time.Minute}
}

// simulateRelief calls Relieve each second. Service times follow the task speeds
// with a delay of 3 s.
func simulateRelief(t *testing.T, harm float64, seconds int) (throttles, evictions, restores int, first ActionKind) {
	m := trainedModel(300, 0.4)
	var memory ReliefTracker
	tasks := []RunningTask{runningTask("a", "bad", time.Minute, 1), runningTask("b", "bad", time.Minute, 1), runningTask("c", "bad", time.Minute, 1), runningTask("d", "good", time.Minute, 1)}
	var past []float64
	for s := range seconds {
		level := 1.0
		for _, k := range tasks {
			if k.Kind == "bad" {
				level += harm * k.Speed
			}
		}
		past = append(past, level)
		seen := past[max(0, s-3)]
		st := ReliefState{
			Services: []ServicePressure{{Service: "s", Time: time.Duration(seen * 100e6), InUse: 4, Slots: 8, Calls: 100}},
			Tasks:    tasks,
		}
		for _, a := range Relieve(time.Duration(s)*time.Second, st, m, &memory) {
			if first == "" {
				first = a.Kind
			}
			for i := range tasks {
				if tasks[i].Job != a.Job {
					continue
				}
				switch a.Kind {
				case ActionThrottle:
					throttles++
					tasks[i].Speed = a.Speed
				case ActionRestore:
					restores++
					tasks[i].Speed = a.Speed
				case ActionEvict:
					evictions++
					tasks = append(tasks[:i], tasks[i+1:]...)
				}
				break
			}
		}
	}
	for _, k := range tasks {
		if k.Kind == "good" && k.Speed < 1 {
			t.Error("the task that does no harm was throttled")
		}
	}
	return throttles, evictions, restores, first
}

func TestReliefThrottlesFirstAndEvictsLast(t *testing.T) {
	if th, ev, _, first := simulateRelief(t, 0.6, 120); th == 0 || ev != 0 || first != ActionThrottle {
		t.Errorf("harm for which throttling suffices: %d throttles, %d evictions, first %s", th, ev, first)
	}
	if th, ev, _, first := simulateRelief(t, 12, 120); th == 0 || ev == 0 || first != ActionThrottle {
		t.Errorf("harm for which throttling does not suffice: %d throttles, %d evictions, first %s", th, ev, first)
	}
	if th, ev, re, _ := simulateRelief(t, 0.1, 120); th+ev+re != 0 {
		t.Errorf("no harm: %d throttles, %d evictions, %d restores", th, ev, re)
	}
}

// Guards against: the agent throttles, the service recovers seconds later, the
// agent restores the speed, and this repeats forever. The gap between the two
// inflation limits and settleTime prevent this oscillation.
func TestReliefDoesNotOscillate(t *testing.T) {
	if th, ev, re, _ := simulateRelief(t, 0.5, 600); th+re+ev > 20 {
		t.Errorf("%d throttles, %d restores, %d evictions in 600 s", th, re, ev)
	}
}

func TestVictimHasLeastCostForItsRelief(t *testing.T) {
	costly, cheap, young := runningTask("costly", "k", time.Hour, 1), runningTask("cheap", "k", time.Hour, 1), runningTask("young", "k", time.Second, 1)
	cheap.Saved = 0.49
	costly.Borrowed, cheap.Borrowed, young.Borrowed = true, true, true
	own := runningTask("own", "k", time.Hour, 1)
	own.Saved = 0.5
	var memory ReliefTracker
	st := ReliefState{Tasks: []RunningTask{costly, cheap, young, own}, SlotsOwed: 1}
	m := NewInterference()
	if acts := Relieve(0, st, m, &memory); len(acts) != 0 {
		t.Errorf("a slot owed for an instant: %+v", acts)
	}
	acts := Relieve(reclaimDelay, st, m, &memory)
	if len(acts) != 1 || acts[0].Job != "cheap" || acts[0].Reason != ReasonReclaim {
		t.Errorf("slot owed: %+v", acts)
	}
	for i := range st.Tasks {
		st.Tasks[i].MemoryBytes = 10 * gigabyte
	}
	st.MemoryBytes, st.SlotsOwed = 35*gigabyte, 0
	acts = Relieve(reclaimDelay, st, m, &ReliefTracker{})
	if len(acts) != 1 || acts[0].Job != "own" || acts[0].Reason != ReasonMemory {
		t.Errorf("out of memory: %+v", acts)
	}
}

// Guards against two mistakes: half the fleet is in quarantine after one customer
// submits a broken job kind, or a kind is parked because one worker has a full
// disk. A single failure is consistent with both causes.
func TestBrokenWorkerAndBrokenKindAreDistinguished(t *testing.T) {
	var h Health
	worker := func(i int) structs.InstanceID { return structs.InstanceID(fmt.Sprint("w", i)) }
	now := time.Duration(0)
	for i := range 400 {
		now += time.Second
		w, r := i%10, mix(uint64(i))
		kind := structs.Kind(fmt.Sprint("k", r%4))
		h.Report(now, worker(w), kind, kind != "k3" && w != 7)
	}
	for w := range 10 {
		quarantined, _, hold := h.Worker(now, worker(w))
		if quarantined != (w == 7) || quarantined != hold.Held() {
			t.Errorf("worker %d: quarantined %v", w, quarantined)
		}
	}
	for k := range 4 {
		kind := structs.Kind(fmt.Sprint("k", k))
		if parked, hold := h.Kind(kind); parked != (k == 3) || parked != hold.Held() {
			t.Errorf("%s: parked %v, %s", kind, parked, hold.Reason)
		}
	}
	// Success of tasks started before the worker broke must not release the worker.
	h.Report(now, worker(7), "k0", true)
	h.Report(now, worker(7), "k0", true)
	if q, _, _ := h.Worker(now, worker(7)); !q {
		t.Error("released without a probe")
	}
	for range probesToRelease {
		now += time.Hour
		if _, probe, _ := h.Worker(now, worker(7)); !probe {
			t.Fatal("no probe is due")
		}
		h.RecordProbe(now, worker(7))
		if _, probe, _ := h.Worker(now, worker(7)); probe {
			t.Error("two probes at once")
		}
		h.Report(now, worker(7), "k0", true)
	}
	if q, _, _ := h.Worker(now, worker(7)); q {
		t.Error("not released after its probes succeeded")
	}
	if h.Report(now-time.Hour, worker(1), "k0", false) || h.Report(now, "", "k0", false) {
		t.Error("a bad report was accepted")
	}
}

// Guards against: calls within their customer's quota are refused for 21 seconds.
// It comes about when new tasks borrow all slots while no call runs, and minRunTime
// protects these tasks. A slot owed to calls must be reclaimed after reclaimDelay.
// For a slot owed to a queued task, no task younger than minRunTime is evicted.
func TestBorrowedSlotsOfNewTasksAreReclaimedForCalls(t *testing.T) {
	firstEviction := func(calls int) time.Duration {
		var memory ReliefTracker
		for s := range 60 {
			now := time.Duration(s) * time.Second
			young := runningTask("young", "k", now, 1)
			young.Borrowed = true
			st := ReliefState{Tasks: []RunningTask{young}, SlotsOwed: 1, CallsOwed: calls}
			if acts := Relieve(now, st, NewInterference(), &memory); len(acts) > 0 {
				return now
			}
		}
		return time.Hour
	}
	if at := firstEviction(1); at != reclaimDelay {
		t.Errorf("a slot owed to calls is reclaimed after %s, want %s", at, reclaimDelay)
	}
	if at := firstEviction(0); at < minRunTime || at > minRunTime+reclaimDelay {
		t.Errorf("a slot owed to a task is reclaimed after %s, want %s", at, minRunTime)
	}
}
