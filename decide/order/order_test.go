package order

import (
	"slices"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

func queue(priority int) workload.Queue {
	return workload.Queue{Priority: priority, Stretch: 2, TargetLatency: time.Second}
}

func estimatedDurations(steps []workload.Step) []time.Duration {
	durations := make([]time.Duration, len(steps))
	for i := range steps {
		durations[i] = steps[i].Estimate
	}
	return durations
}

func TestChainIsTheLongestPath(t *testing.T) {
	steps := []workload.Step{
		{Estimate: time.Second}, {Estimate: 3 * time.Second}, {Estimate: time.Second, After: []int{0}}, {Estimate: time.Second, After: []int{0, 1}},
	}
	durations := estimatedDurations(steps)
	none := func(int) bool { return false }
	if got, want := Chain(steps, durations, none), time.Duration(longestTaskFactor*float64(4*time.Second)); got.Round(time.Millisecond) != want.Round(time.Millisecond) {
		t.Errorf("chain %v, want %v", got, want)
	}
	done := func(i int) bool { return i < 2 }
	if got, want := Chain(steps, durations, done), time.Duration(longestTaskFactor*float64(time.Second)); got != want {
		t.Errorf("chain of the unfinished steps %v, want %v", got, want)
	}
}

func TestClasses(t *testing.T) {
	// The objective of four seconds of work is 9 s.
	cases := []struct {
		now, left time.Duration
		want      Class
	}{
		{0, 4 * time.Second, InTime},
		{5 * time.Second, 4 * time.Second, InTime},
		{6 * time.Second, 4 * time.Second, Late},
		{23 * time.Second, 4 * time.Second, Late},
		{24 * time.Second, 4 * time.Second, Overdue},
		{8 * time.Second, time.Second, InTime},
	}
	for _, c := range cases {
		if got := Rank(queue(0), 0, c.now, 4*time.Second, c.left).Class; got != c.want {
			t.Errorf("now %v, left %v: class %d, want %d", c.now, c.left, got, c.want)
		}
	}
}

func TestOrder(t *testing.T) {
	work := 4 * time.Second
	urgent := Rank(queue(0), 10*time.Second, 10*time.Second, work, work)
	early := Rank(queue(2), 2*time.Second, 5*time.Second, work, work)
	late := Rank(queue(2), 0, 20*time.Second, work, work)
	lateUrgent := Rank(queue(0), 0, 60*time.Second, work, work)
	overdue := Rank(queue(2), 0, 60*time.Second, work, work)
	sorted := []Key{urgent, lateUrgent, early, late, overdue}
	for i := range sorted {
		for k := range sorted {
			if (sorted[i].Compare(sorted[k]) < 0) != (i < k) {
				t.Errorf("key %d before key %d: %t", i, k, sorted[i].Compare(sorted[k]) < 0)
			}
		}
	}
}

// For a minute, one slot serves jobs of 4 s that arrive 1.5 times as fast as the
// slot serves them. In the order of acceptance the queue grows until all jobs end
// late. In the order of rank, more jobs must end in time.
func TestOverloadServesJobsThatCanEndInTime(t *testing.T) {
	const jobs, every, work = 15, 2666 * time.Millisecond, 4 * time.Second
	served := func(ranked bool) int {
		inTime := 0
		var waiting []time.Duration
		now, next := time.Duration(0), 0
		for done := 0; done < jobs; {
			for ; next < jobs && time.Duration(next)*every <= now; next++ {
				waiting = append(waiting, time.Duration(next)*every)
			}
			if len(waiting) == 0 {
				now = time.Duration(next) * every
				continue
			}
			best := 0
			for i := range waiting {
				a, b := Rank(queue(0), waiting[i], now, work, work), Rank(queue(0), waiting[best], now, work, work)
				if ranked && a.Compare(b) < 0 {
					best = i
				}
			}
			accepted := waiting[best]
			waiting = append(waiting[:best], waiting[best+1:]...)
			now += work
			done++
			if now <= accepted+Objective(queue(0), work) {
				inTime++
			}
		}
		return inTime
	}
	if plain, ranked := served(false), served(true); ranked < plain+3 {
		t.Errorf("in time: %d in the order of acceptance, %d ranked", plain, ranked)
	}
}

// Guards against: small jobs end late because a large job, which arrived first,
// uses all capacity. It comes about when jobs are ordered by deadline. Within a
// class, the job with the least remaining work must come first. A job that can
// end in time must come before every job that can't, even a smaller one.
func TestLeastRemainingWorkComesFirst(t *testing.T) {
	step := func(count int) workload.Step {
		return workload.Step{Count: count, Need: workload.Resources{CPU: 7000}, Estimate: 2 * time.Second, Fills: true}
	}
	steps := []workload.Step{step(4), step(10), {Count: 3, Need: workload.Resources{CPU: 1000}, Estimate: time.Second}}
	if got := Work(steps, estimatedDurations(steps), func(i int) int { return steps[i].Count - 1 }); got != 12*14 {
		t.Errorf("remaining work %v, want %v core-seconds", got, 12*14)
	}
	large := Key{Work: 800, By: 5 * time.Second}
	small := Key{Work: 60, By: 9 * time.Second}
	nearly := Key{Work: 14, By: 9 * time.Second}
	late := Key{Class: Late, Work: 1, By: time.Second}
	counted := Key{By: 20 * time.Second}
	urgent := Key{Priority: -1, Class: Overdue, Work: 900}
	want := []Key{urgent, counted, nearly, small, large, late}
	got := []Key{late, large, counted, nearly, urgent, small}
	slices.SortFunc(got, Key.Compare)
	if !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Guards against overdue jobs that lose their runs to one that crashes its
// workers, while they could be served before it.
func TestOverdueSuspectsComeLast(t *testing.T) {
	suspect := Key{Class: Overdue, Suspect: true, By: time.Second}
	for name, other := range map[string]Key{
		"overdue": {Class: Overdue, By: time.Minute}, "overdue, with filling work": {Class: Overdue, Work: 100, By: time.Minute}, "late": {Class: Late, By: time.Minute},
	} {
		if suspect.Compare(other) <= 0 || other.Compare(suspect) >= 0 {
			t.Errorf("an overdue suspect comes before a job that is %s", name)
		}
	}
	if suspect.Compare(Key{Priority: 1}) >= 0 {
		t.Error("an overdue suspect comes after a job of lower priority")
	}
}
