package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"persimmonrock.example/structs/workload"
)

// record writes what was sent, answered and run, and keeps what the rules need.
type record struct {
	began time.Time
	file  *os.File

	mu   sync.Mutex
	out  *bufio.Writer
	runs map[string][]*runRecord // by task
}

// runRecord is one run of a task, as its minion saw it.
type runRecord struct {
	minion  workload.WorkerID
	life    *minion
	run     int
	started time.Time
	ended   time.Time
	how     string
	number  uint64
	noted   time.Time
	// lapsed: the minion's lease lapsed after the end and before it was noted.
	lapsed bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]*runRecord{}}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// say also prints the line.
func (r *record) say(format string, args ...any) {
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.add(format, args...)
}

func (r *record) started(m *minion, id workload.RunID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := id.Task.String()
	r.runs[task] = append(r.runs[task], &runRecord{minion: m.info.ID, life: m, run: id.Run, started: time.Now()})
	r.line("run %s starts on %s", id, m.info.ID)
}

func (r *record) find(m *minion, id workload.RunID) *runRecord {
	for _, x := range r.runs[id.Task.String()] {
		if x.life == m && x.run == id.Run {
			return x
		}
	}
	return &runRecord{}
}

func (r *record) ended(m *minion, e workload.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.find(m, e.Run)
	x.ended, x.how, x.number = time.Now(), string(e.Kind), e.Number
	r.line("run %s ends on %s: %s, end %d", e.Run, m.info.ID, e.Kind, e.Number)
}

func (r *record) noted(m *minion, e workload.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.find(m, e.Run).noted = time.Now()
	r.line("end %d on %s (%s) is taken note of", e.Number, m.info.ID, e.Run)
}

func (r *record) lapsed(m *minion, last uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("lease of %s lapses", m.info.ID)
	for _, list := range r.runs {
		for _, x := range list {
			if x.life == m && !x.ended.IsZero() && x.noted.IsZero() && x.number <= last {
				x.lapsed = true
			}
		}
	}
}

func (r *record) crashed(m *minion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, list := range r.runs {
		for _, x := range list {
			if x.life == m && x.ended.IsZero() {
				x.ended, x.how = time.Now(), "crashed"
				r.line("run %s#%d is lost with %s", task, x.run, m.info.ID)
			}
		}
	}
}

// twice lists the breaches of TWICE: two runs of a task at the same time, or a
// start after a run that ended done, if that end was taken note of then or
// later and the minion's lease did not lapse between the two.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	at := func(t time.Time) float64 { return t.Sub(r.began).Seconds() }
	for task, list := range r.runs {
		for _, a := range list {
			for _, b := range list {
				if a == b || b.started.Before(a.started) {
					continue
				}
				switch {
				case a.ended.IsZero() || b.started.Before(a.ended):
					found = append(found, fmt.Sprintf("%s: run %d on %s from %.3f and run %d on %s from %.3f at the same time", task, a.run, a.minion, at(a.started), b.run, b.minion, at(b.started)))
				case a.how == "done" && !a.noted.IsZero() && !a.lapsed:
					found = append(found, fmt.Sprintf("%s: run %d on %s ended done at %.3f (taken note of at %.3f), run %d starts on %s at %.3f", task, a.run, a.minion, at(a.ended), at(a.noted), b.run, b.minion, at(b.started)))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}

// counts returns the number of runs of tasks whose name begins with prefix, by how
// they ended.
func (r *record) counts(prefix string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := map[string]int{}
	for task, list := range r.runs {
		if !strings.HasPrefix(task, prefix) {
			continue
		}
		for _, x := range list {
			n["all"]++
			if x.ended.IsZero() {
				n["running"]++
			} else {
				n[x.how]++
			}
		}
	}
	return n
}
