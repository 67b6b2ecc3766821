package blame

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// trials returns one trial after the other, each on another worker.
func trials(chance float64, crashes ...Crash) []Trial {
	began := time.Unix(1000, 0)
	var list []Trial
	for i, c := range crashes {
		at := began.Add(time.Duration(i) * time.Minute)
		list = append(list, Trial{Worker: fmt.Sprint("w-", i), Began: at, Lost: at.Add(time.Second), Chance: chance, Crash: c})
	}
	return list
}

func evidence(list ...Trial) *Evidence {
	e := &Evidence{}
	for _, t := range list {
		e.Add(t)
	}
	return e
}

// Failure guarded against: a task is judged by its crashes alone, whatever the others
// see, or is never judged.
func TestDeadlyAfter(t *testing.T) {
	alone := Crash{Confirmed: true, Alone: true}
	last := Crash{Confirmed: true, Last: true}
	soon := Crash{Confirmed: true, Soon: true}
	fellow := Crash{Confirmed: true}
	lost := Crash{Alone: true, Last: true, Soon: true}
	const rare, frequent = 0.003, 0.08
	cases := []struct {
		name    string
		chance  float64
		crashes []Crash
		want    bool
	}{
		{"two alone", rare, []Crash{alone, alone}, false},
		{"three alone", rare, []Crash{alone, alone, alone}, true},
		{"three alone, crashes are frequent", frequent, []Crash{alone, alone, alone}, false},
		{"four alone, crashes are frequent", frequent, []Crash{alone, alone, alone, alone}, true},
		{"three as the last", rare, []Crash{last, last, last}, true},
		{"three as the last, crashes are frequent", frequent, []Crash{last, last, last}, false},
		{"two soon, one alone", rare, []Crash{soon, soon, alone}, true},
		{"one alone, two soon", rare, []Crash{alone, soon, soon}, false},
		{"one among others, two alone", rare, []Crash{fellow, alone, alone}, true},
		{"four among others, one alone", rare, []Crash{fellow, fellow, fellow, fellow, alone}, false},
		{"three of unconfirmed runs", rare, []Crash{lost, lost, lost}, false},
		{"two alone and one unconfirmed between", rare, []Crash{alone, lost, alone}, false},
		{"three alone, the latest unconfirmed", rare, []Crash{alone, alone, lost}, false},
	}
	for _, c := range cases {
		list := trials(c.chance, c.crashes...)
		e := evidence(list...)
		if got := e.Deadly(list[len(list)-1].Worker); got != c.want {
			t.Errorf("%s: deadly %t, want %t (evidence %+v)", c.name, got, c.want, e)
		}
	}
}

// Failure guarded against: a task that will most likely crash its next worker, too,
// is started like any other, or one that may well be innocent has to wait.
func TestLikelyDeadlyBeforeTheLastCrash(t *testing.T) {
	alone, soon := Crash{Confirmed: true, Alone: true}, Crash{Confirmed: true, Soon: true}
	cases := []struct {
		name    string
		chance  float64
		crashes []Crash
		want    bool
	}{
		{"one alone", 0.003, []Crash{alone}, false},
		{"two alone", 0.003, []Crash{alone, alone}, true},
		{"two alone, crashes are frequent", 0.08, []Crash{alone, alone}, false},
		{"one soon, one alone", 0.003, []Crash{soon, alone}, true},
		{"two soon", 0.003, []Crash{soon, soon}, false},
		{"three alone", 0.003, []Crash{alone, alone, alone}, false},
	}
	for _, c := range cases {
		list := trials(c.chance, c.crashes...)
		e := evidence(list...)
		if got := e.LikelyDeadly(list[len(list)-1].Worker); got != c.want {
			t.Errorf("%s: likely deadly %t, want %t (evidence %+v)", c.name, got, c.want, e)
		}
	}
}

// Failure guarded against: a crash counts twice, once as first reported and once as
// known in the end.
func TestCorrectedCrashCountsAsKnownNow(t *testing.T) {
	before, now := Crash{Confirmed: true, Soon: true}, Crash{Confirmed: true, Soon: true, Alone: true}
	first, latest := trials(0.01, before)[0], trials(0.01, now)[0]
	corrected, direct := evidence(first, latest), evidence(latest)
	if got, want := corrected.weigh(latest, nil), direct.weigh(latest, nil); got != want {
		t.Errorf("corrected %+v, added %+v", got, want)
	}
}

// Failure guarded against: one crash that ends the runs of several occurrences counts
// once for each of them, or crashes of one task in several occurrences do not add up.
func TestCrashOfSeveralOccurrencesCountsOnce(t *testing.T) {
	alone := Crash{Confirmed: true, Alone: true}
	at := func(halves int) time.Time { return time.Unix(1000, 0).Add(time.Duration(halves) * time.Second / 2) }
	trial := func(worker string, began, lost int) *Evidence {
		return evidence(Trial{Worker: worker, Began: at(began), Lost: at(lost), Chance: 0.003, Crash: alone})
	}
	restored := func(worker string, lost int) *Evidence {
		return evidence(Trial{Worker: worker, Lost: at(lost), Chance: 0.003, Crash: alone})
	}
	join := func(former int, list ...*Evidence) *Evidence {
		e := Former(former)
		for _, x := range list {
			e.trials = append(e.trials, x.trials...)
		}
		return e
	}
	cases := []struct {
		name   string
		own    *Evidence
		others []*Evidence
		want   bool
	}{
		{"one worker under three occurrences", trial("a", 2, 3), []*Evidence{trial("a", 0, 3), trial("a", 1, 3)}, false},
		{"three workers at once", trial("a", 2, 3), []*Evidence{trial("b", 0, 3), trial("c", 1, 3)}, false},
		{"three workers at once, known one after the other", trial("a", 2, 5), []*Evidence{trial("b", 0, 3), trial("c", 1, 4)}, false},
		{"one occurrence after the other", trial("a", 4, 5), []*Evidence{trial("b", 0, 1), trial("c", 2, 3)}, false},
		{"one after the other, and its own", join(0, trial("a", 0, 1), trial("b", 4, 5)), []*Evidence{trial("c", 2, 3)}, true},
		{"by turns, each known late", join(0, trial("a", 4, 10), trial("c", 10, 16)), []*Evidence{join(0, trial("b", 0, 6), trial("d", 6, 12))}, true},
		{"at once by turns", join(0, trial("a", 0, 6), trial("c", 8, 14)), []*Evidence{join(0, trial("b", 1, 7), trial("d", 9, 15))}, false},
		{"two crashes under two occurrences each", trial("a", 2, 3), []*Evidence{join(0, trial("b", 0, 1), trial("a", 2, 3)), trial("b", 0, 1)}, false},
		{"three crashes of its own, at once with others", join(0, trial("a", 0, 1), trial("b", 2, 3), trial("c", 4, 5)), []*Evidence{trial("d", 1, 6)}, true},
		{"two former crashes of another occurrence, one of its own, and one", join(1, trial("a", 4, 5)), []*Evidence{Former(2)}, true},
		{"one former crash of each occurrence, and one", join(1, trial("a", 4, 5)), []*Evidence{Former(1), Former(1)}, false},
		{"two former crashes of another occurrence, and a run from that time", join(1, restored("a", 5)), []*Evidence{Former(2)}, false},
		{"two former crashes of its own, and a run from that time", join(2, restored("a", 5)), nil, true},
	}
	for _, c := range cases {
		latest := c.own.trials[len(c.own.trials)-1]
		if got := c.own.Deadly(latest.Worker, c.others...); got != c.want {
			t.Errorf("%s: deadly %t, want %t", c.name, got, c.want)
		}
	}
}

// Failure guarded against: a new scheduler forgets what speaks against a task, or
// fails it for crashes of which it knows only the number.
func TestFormerEvidenceNeedsOneMoreCrash(t *testing.T) {
	alone := Crash{Confirmed: true, Alone: true}
	for former := range 4 {
		e := Former(former)
		latest := trials(0.003, alone)[0]
		e.Add(latest)
		if got := e.Deadly(latest.Worker); got != (former >= 2) {
			t.Errorf("%d former crashes and one: deadly %t", former, got)
		}
	}
}

// Failure guarded against: the rate of unrelated crashes is not learnt, or is kept for
// ever.
func TestRateFollowsWhatIsSeen(t *testing.T) {
	const workers = 10
	var r Rate
	none := r.Chance()
	now := time.Hour
	r.Advance(now, workers)
	// One worker in ten crashes each second.
	for range 120 {
		now += time.Second
		r.Advance(now, workers)
		r.Add(1)
	}
	if got, want := r.Chance(), 1-math.Exp(-0.1*suspectFor.Seconds()); got < want/2 || got > want {
		t.Errorf("chance %.4f, of a rate with the chance %.4f", got, want)
	}
	for range 600 {
		now += time.Second
		r.Advance(now, workers)
	}
	if got := r.Chance(); got > none {
		t.Errorf("ten minutes later the chance is %.4f, %.4f at first", got, none)
	}
}
