package decide

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonrock.example/structs"
)

// observe adds a sample of a service whose undisturbed time is 100 ms, with 5 %
// noise. Each task of kind "bad" adds harm to the inflation, and tasks of kind
// "good" add nothing.
func observe(m *Interference, seed uint64, bad, good, harm float64) {
	noise := 1 + 0.05*(2*unit(mix(seed))-1)
	m.Observe(Sample{
		Service: "s", Band: BandMiddle, Calls: 20,
		ServiceTime: time.Duration(100e6 * (1 + bad*harm) * noise),
		Together:    []KindCount{{"bad", bad}, {"good", good}},
	})
}

func trainedModel(samples int, harm float64) *Interference {
	m := NewInterference()
	for i := range samples {
		r := mix(uint64(i))
		observe(m, r, float64(r%4), float64(r>>8%4), harm)
	}
	return m
}

func TestLearnerAttributesHarmToHarmfulKind(t *testing.T) {
	m := trainedModel(200, 0.2)
	if p := m.Predict("s", "bad", BandMiddle); math.Abs(p-1.2) > 0.04 {
		t.Errorf("bad: %v, want 1.2", p)
	}
	if p := m.Predict("s", "good", BandMiddle); p > 1.03 {
		t.Errorf("good: %v, want 1", p)
	}
	if b := m.BaseTime("s", BandMiddle); b < 94*time.Millisecond || b > 106*time.Millisecond {
		t.Errorf("base %v, want 100ms", b)
	}
}

func TestSparsePairShrinksToMeanOfKind(t *testing.T) {
	m := trainedModel(200, 0.2)
	known := m.Predict("s", "bad", BandMiddle)
	if p := m.Predict("new", "bad", BandMiddle); p < 1+(known-1)/2 || p > known {
		t.Errorf("new service beside a bad kind: %v, want towards %v", p, known)
	}
	if p := m.Predict("new", "unknown", BandMiddle); p > 1.1 {
		t.Errorf("nothing known: %v", p)
	}
}

// Guards against: calls are slow for hours after a new release of a batch kind. It
// comes about when the new release harms a service and the variances, small after
// days of samples, make the learner treat each slow answer as noise. The learner
// must raise the variances when residuals keep one sign.
func TestRegimeChangeIsLearntWithinFewSamples(t *testing.T) {
	m := trainedModel(5000, 0.0)
	for i := range 40 {
		observe(m, mix(uint64(i)+9), float64(1+i%3), float64(i%2), 0.5)
	}
	if p := m.Predict("s", "bad", BandMiddle); p < 1.35 || m.Counters().RegimeChanges == 0 {
		t.Errorf("after the change: %v with %+v, want 1.5", p, m.Counters())
	}
}

// Guards against: every call of one service is refused as late. It comes about when
// two terms whose sum fits the measurements diverge in opposite directions until
// the predicted duration of a call is hours.
func TestLearnerStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewInterference()
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			s := Sample{
				Service: "s", Band: LoadBand(rapid.IntRange(0, 4).Draw(t, "band")),
				ServiceTime: time.Duration(rapid.Int64Range(-5, 1<<42).Draw(t, "time")),
				Calls:       rapid.IntRange(-1, 50).Draw(t, "calls"),
				Together: []KindCount{
					{"a", rapid.Float64Range(-1, 20).Draw(t, "a")},
					{"b", rapid.SampledFrom([]float64{0, 1, math.NaN(), math.Inf(1), 1e9}).Draw(t, "b")},
				},
			}
			before := m.Predict("s", "a", BandLow)
			if !m.Observe(s) && m.Predict("s", "a", BandLow) != before {
				t.Fatal("a dropped sample moved a prediction")
			}
			for b := BandLow; b < bandCount; b++ {
				if p := m.Predict("s", "a", b); !(p >= 1 && p <= 1+highestHarm/lowestBase) {
					t.Fatalf("prediction %v", p)
				}
			}
		}
	})
}

// The report of a window in which only kind "old" ran arrives after the tasks of
// "old" ended and one of "new" started. The window must count "old" alone.
func TestHistoryCoversMeasuredWindow(t *testing.T) {
	h := NewHistory(time.Minute)
	h.Add(0, "old", 2)
	h.SetLoad(0, "s", 4)
	h.Add(10*time.Second, "old", -2)
	h.Add(10*time.Second, "new", 1)
	h.SetLoad(10*time.Second, "s", 8)
	kinds, inUse, ok := h.Window(13*time.Second, 6*time.Second, 10*time.Second, "s", nil)
	if !ok || len(kinds) != 1 || kinds[0] != (KindCount{"old", 2}) || inUse != 4 {
		t.Fatalf("window of old: %v %v %v", kinds, inUse, ok)
	}
	kinds, inUse, _ = h.Window(13*time.Second, 9*time.Second, 11*time.Second, "s", nil)
	if len(kinds) != 2 || inUse != 6 || kinds[0].Count+kinds[1].Count != 1.5 {
		t.Fatalf("mixed window: %v %v", kinds, inUse)
	}
	for name, w := range map[string][2]time.Duration{
		"future": {12 * time.Second, 14 * time.Second}, "empty": {5 * time.Second, 5 * time.Second}, "before start": {-time.Second, time.Second},
	} {
		if _, _, ok := h.Window(13*time.Second, w[0], w[1], "s", nil); ok {
			t.Errorf("%s window was answered", name)
		}
	}
}

func TestHistoryKeepsLongRunningTasksWhenTrimmed(t *testing.T) {
	h := NewHistory(10 * time.Second)
	h.Add(0, "steady", 3)
	now := time.Duration(0)
	for i := range 3 * maxChanges {
		now = time.Duration(i) * 20 * time.Millisecond
		h.Add(now, "busy", float64(1-2*(i%2)))
	}
	kinds, _, ok := h.Window(now, now-5*time.Second, now, "s", nil)
	found := false
	for _, k := range kinds {
		found = found || k.Kind == "steady" && math.Abs(k.Count-3) < 1e-9
	}
	if !ok || !found || len(h.changes) > maxChanges+1 {
		t.Fatalf("%v %v, %d changes kept", ok, kinds, len(h.changes))
	}
}

func TestSizesAreLearntFromEnoughRuns(t *testing.T) {
	var s Sizes
	declared := structs.Resources{Slots: 1, MemoryBytes: 300 * gigabyte, MilliCores: 100}
	for i := range 20 {
		if got, _ := s.Estimate("x", "k", declared, 0); i < minSizeRuns && got != declared {
			t.Fatalf("after %d runs: %+v", i, got)
		}
		s.Observe("x", "k", structs.Resources{MemoryBytes: int64(10+i%2) * gigabyte, MilliCores: 2000}, time.Minute)
	}
	got, ran := s.Estimate("x", "k", declared, 0)
	if got.MemoryBytes < 11*gigabyte || got.MemoryBytes > 13*gigabyte || got.MilliCores != 2000 || got.Slots != 1 || ran != time.Minute {
		t.Fatalf("learnt %+v %v", got, ran)
	}
	for _, bad := range []structs.Resources{{MemoryBytes: -1}, {MemoryBytes: math.MaxInt64}, {MilliCores: math.MaxInt}} {
		if s.Observe("x", "k", bad, 0) {
			t.Errorf("%+v was accepted", bad)
		}
	}
	if after, _ := s.Estimate("x", "k", declared, 0); after != got || s.Dropped() != 3 {
		t.Fatalf("absurd values moved the estimate to %+v", after)
	}
}

// Guards against: every call of one service is refused as late. It comes about when
// residuals are computed from the shrunk prediction but the unshrunk term is
// updated. The term of a pair with few samples then has no effect on the next
// residual and diverges until the predicted duration of a call is hours.
func TestSparsePairsDoNotDiverge(t *testing.T) {
	for seed := range uint64(20) {
		m := NewInterference()
		r := mix(seed)
		for i := range 2000 {
			s := Sample{Service: structs.Service(rune('a' + i%6)), Band: LoadBand(i / 6 % 3), Calls: 20}
			level := 1.0
			for k := range 10 {
				r = mix(r)
				if r%4 != 0 {
					continue
				}
				n := 0.25 * float64(r>>8%8)
				level += n * 0.3 * unit(mix(uint64(k*7+i%6+i/1000*100)+seed<<32))
				s.Together = append(s.Together, KindCount{structs.Kind(rune('0' + k)), n})
			}
			s.ServiceTime = time.Duration(500e6 * level)
			m.Observe(s)
		}
		for i := range 6 {
			b := m.BaseTime(structs.Service(rune('a'+i)), BandMiddle)
			if b < 200*time.Millisecond || b > 1500*time.Millisecond {
				t.Errorf("seed %d, service %d: undisturbed time %v, want about 500ms", seed, i, b)
			}
		}
	}
}

// Guards against: forty jobs that declare a tenth of the memory that they use are
// killed one after the other. It comes about when the size is learnt only from four
// runs on, although one run proves that the declared size is too small.
func TestOneRunProvesADeclaredSizeTooSmall(t *testing.T) {
	var s Sizes
	declared := structs.Resources{Slots: 1, MemoryBytes: gigabyte}
	s.Observe("x", "k", structs.Resources{MemoryBytes: 10 * gigabyte}, 0)
	if got, _ := s.Estimate("x", "k", declared, 0); got.MemoryBytes < 10*gigabyte {
		t.Errorf("after a run of 10 GB: %+v", got)
	}
	declared.MemoryBytes = 300 * gigabyte
	if got, _ := s.Estimate("x", "k", declared, 0); got != declared {
		t.Errorf("one small run made a large declared size %+v", got)
	}
}
