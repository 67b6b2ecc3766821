package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/structs/workload"
)

// Guards against a worker whose first report has the number 0, and counts as one
// that was heard before: nothing starts there before its next report.
func TestFirstReportMayHaveAnyNumber(t *testing.T) {
	for _, number := range []uint64{0, 1, 1 << 40} {
		r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return time.Hour }})
		w := workload.Worker{ID: "i-1", Capacity: workload.Resources{CPU: 1000}}
		r.Registered(7, w)
		r.Reported(w, number)
		if r.candidateAt == 0 {
			t.Errorf("report %d of a worker that the process before had found is ignored", number)
		}
		r.candidateAt, r.candidateOrder = time.Hour, reportOrder{newest: number, seen: true}
		r.incarnation = &incarnation{id: w.ID, worker: w}
		r.Reported(w, number)
		if r.incarnation.reportedAt == 0 {
			t.Errorf("report %d of a worker that was found is ignored", number)
		}
		r.Reported(workload.Worker{ID: w.ID, Draining: true}, number)
		if r.incarnation.worker.Draining {
			t.Errorf("report %d was applied twice", number)
		}
	}
}

// Failure guarded against: after one report with a number that the worker has not
// reached, all its later reports are dropped, and it counts as silent; or late reports
// undo a newer one.
func TestReportsCountAgainAfterOneWithAnOddNumber(t *testing.T) {
	const beat = 1100 * time.Millisecond
	type arrival struct {
		at     time.Duration
		number uint64
	}
	beats := func(from uint64, first time.Duration, n int) (list []arrival) {
		for i := range n {
			list = append(list, arrival{first + time.Duration(i)*beat, from + uint64(i)})
		}
		return list
	}
	cases := []struct {
		name     string
		arrivals []arrival
		// newest is the number that counts in the end, silent the longest time without
		// a sign of the worker.
		newest uint64
		silent time.Duration
	}{
		{"the largest number", append([]arrival{{0, 8}, {beat / 2, 1<<64 - 1}}, beats(9, beat, 4)...), 12, 3 * time.Second},
		{"a number within reach of no bound", append([]arrival{{0, 8}, {beat / 2, 4000000000}}, beats(9, beat, 4)...), 12, 3 * time.Second},
		{"odd and true reports by turns", []arrival{{0, 8}, {1, 100}, {beat, 9}, {beat + 1, 101}, {2 * beat, 10}}, 101, 3 * time.Second},
		{"late reports in a burst", append([]arrival{{0, 8}}, arrival{10, 3}, arrival{11, 4}, arrival{12, 5}, arrival{13, 6}), 8, 3 * time.Second},
		{"late reports between others", []arrival{{0, 8}, {beat / 2, 3}, {beat, 9}, {beat * 3 / 2, 4}, {2 * beat, 10}, {beat * 5 / 2, 5}}, 10, 3 * time.Second},
		{"one late report again and again", []arrival{{0, 8}, {beat, 3}, {2 * beat, 3}, {3 * beat, 3}, {4 * beat, 3}}, 8, 5 * beat},
	}
	for _, c := range cases {
		now := time.Hour
		r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
		w := workload.Worker{ID: "i-1", Capacity: workload.Resources{CPU: 1000}}
		r.incarnation = &incarnation{id: w.ID, worker: w}
		last, silent := now, time.Duration(0)
		for _, a := range c.arrivals {
			now = time.Hour + a.at
			r.Reported(w, a.number)
			silent = max(silent, r.incarnation.reportedAt-last)
			last = r.incarnation.reportedAt
		}
		if silent = max(silent, now-last); silent > c.silent {
			t.Errorf("%s: the worker counts as silent for %v", c.name, silent)
		}
		if got := r.incarnation.order.newest; got != c.newest {
			t.Errorf("%s: the newest report is %d, want %d", c.name, got, c.newest)
		}
	}
}
