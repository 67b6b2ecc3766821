package main

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step of a job as a client sends it, and how its tasks behave.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	Mem           int    `json:"mem-mb"`
	EstimatedMs   int    `json:"estimated-ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"anti-affinity,omitempty"`
	Lasting       bool   `json:"long-running,omitempty"`
	Image         string `json:"image,omitempty"`

	workMs int
	spread bool
	// failing makes all runs of the task of this index fail, if above 0.
	failing int
}

// workTime is the time that a task works; the same in each run.
func (s *stepSpec) workTime(task string) time.Duration {
	d := time.Duration(s.workMs) * time.Millisecond
	if s.spread && !s.Gang {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		d = d/2 + d*time.Duration(h.Sum32()%1000)/1000
	}
	return d
}

func (s *stepSpec) fails(task string) bool {
	return s.failing > 0 && strings.HasSuffix(task, "."+strconv.Itoa(s.failing-1))
}

// jobSpec is a job as a client sends it.
type jobSpec struct {
	Spec       string      `json:"task-spec"`
	Steps      []*stepSpec `json:"steps"`
	Repeat     int         `json:"repeat-count,omitempty"`
	FirstMs    int64       `json:"first-run-ms,omitempty"`
	IntervalMs int64       `json:"interval-ms,omitempty"`
	id         string
	advised    bool
}

type taskState struct {
	on      map[string]int // minion id: run, while it runs there
	noted   bool           // an end done was taken note of
	done    bool
	failed  int // ends that were taken note of
	starts  int
	lastRun int
}

// rules sees what minions see, and counts what breaks a rule.
type rules struct {
	d  *deployment
	mu sync.Mutex
	// jobs are those that clients have sent, by ID.
	jobs      map[string]*jobSpec
	tasks     map[string]*taskState
	cancelled map[string]time.Time
	accepted  map[string]bool
	// sentCancel are the jobs of which a client has asked for the cancelling.
	sentCancel map[string]bool
	// blamed are the jobs that were shown as failed although no run of theirs was.
	blamed    map[string]bool
	breaks    map[string][]string
	failedEnd map[string]int
	startsOf  map[string]int
	alone     int
}

func newRules(d *deployment) *rules {
	return &rules{d: d, jobs: map[string]*jobSpec{}, tasks: map[string]*taskState{}, cancelled: map[string]time.Time{}, accepted: map[string]bool{}, sentCancel: map[string]bool{}, blamed: map[string]bool{}, breaks: map[string][]string{}, failedEnd: map[string]int{}, startsOf: map[string]int{}}
}

func (r *rules) breach(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.breaks[rule] = append(r.breaks[rule], text)
	r.d.note("BROKEN "+rule, "what", text)
}

func splitTask(task string) (id string, k, step, index int) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return "", 0, 0, 0
	}
	k, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	index, _ = strconv.Atoi(f[3])
	return f[0], k, step, index
}

func (r *rules) state(task string) *taskState {
	t := r.tasks[task]
	if t == nil {
		t = &taskState{on: map[string]int{}}
		r.tasks[task] = t
	}
	return t
}

// started judges a start. The caller holds the minion's mu.
func (r *rules) started(m *minion, o order) *stepSpec {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.note("start", "minion", m.id, "task", o.Task, "run", o.Run, "checkpoint", o.Checkpoint)
	id, k, step, index := splitTask(o.Task)
	j := r.jobs[id]
	if j == nil || step >= len(j.Steps) || index >= j.Steps[step].Count || o.Spec != j.Spec {
		r.breach("UNASKED", "%s run %d on %s: no client sent it", o.Task, o.Run, m.id)
		return nil
	}
	s := j.Steps[step]
	t := r.state(o.Task)
	for on, n := range t.on {
		r.breach("TWICE", "%s run %d starts on %s while run %d is on %s", o.Task, o.Run, m.id, n, on)
	}
	if t.noted && !s.Lasting {
		r.breach("TWICE", "%s run %d starts on %s after an end done was taken note of", o.Task, o.Run, m.id)
	}
	for _, a := range s.After {
		for i := range j.Steps[a].Count {
			if !r.state(fmt.Sprintf("%s.%d.%d.%d", id, k, a, i)).done && !r.gangDone(id, k, a) {
				r.breach("ORDER", "%s run %d starts before task %d of step %d is done", o.Task, o.Run, i, a)
				break
			}
		}
	}
	if j.Repeat > 0 {
		if due := time.UnixMilli(j.FirstMs + int64(k)*j.IntervalMs); time.Until(due) > 250*time.Millisecond {
			r.breach("ORDER", "%s starts %v before its time", o.Task, time.Until(due))
		}
	}
	if s.Requirements != "" && !contains(m.s.labels, s.Requirements) {
		r.breach("ROUTE", "%s starts on %s without %s", o.Task, m.id, s.Requirements)
	}
	cpu, same := s.CPU, 1
	for _, x := range m.running {
		if x.step == nil {
			continue
		}
		cpu += x.step.CPU
		if strings.HasPrefix(x.task, o.Task[:strings.LastIndex(o.Task, ".")+1]) && x.step == s {
			same++
		}
	}
	if cpu > m.s.cpu {
		r.breach("LIMIT", "%s brings %s to %d of %d", o.Task, m.id, cpu, m.s.cpu)
	}
	if s.AntiAffinity > 0 && same > s.AntiAffinity {
		r.breach("ROUTE", "%s is number %d of its step on %s", o.Task, same, m.id)
	}
	if t.failed >= maxAttempts && !s.Lasting {
		r.breach("BUDGET", "%s run %d after %d runs failed", o.Task, o.Run, t.failed)
	}
	if at, ok := r.cancelled[id]; ok && time.Since(at) > 4*time.Second {
		r.breach("UNASKED", "%s starts %v after the cancel was acknowledged", o.Task, time.Since(at))
	}
	t.on[m.id] = o.Run
	t.starts++
	t.lastRun = max(t.lastRun, o.Run)
	r.startsOf[id]++
	return s
}

func (r *rules) gangDone(id string, k, step int) bool {
	j := r.jobs[id]
	if !j.Steps[step].Gang {
		return false
	}
	for i := range j.Steps[step].Count {
		if r.state(fmt.Sprintf("%s.%d.%d.%d", id, k, step, i)).done {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// ended records an end. The caller holds the minion's mu.
func (r *rules) ended(m *minion, x *run, n uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.note("end", "minion", m.id, "task", x.task, "run", x.n, "how", how)
	t := r.state(x.task)
	delete(t.on, m.id)
	id, _, _, _ := splitTask(x.task)
	switch how {
	case "done":
		t.done = true
	case "failed":
		r.failedEnd[id]++
	case "alone":
		r.alone++
		if _, ok := r.cancelled[id]; !ok {
			r.breach("GANG", "%s run %d on %s ends alone", x.task, x.n, m.id)
		}
	}
}

// gone records that a run was lost with its minion. The caller holds no lock.
func (r *rules) gone(m *minion, x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.note("lost", "minion", m.id, "task", x.task, "run", x.n)
	delete(r.state(x.task).on, m.id)
}

// noted records that an end was taken note of. The caller holds the minion's mu.
func (r *rules) noted(_ *minion, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.How {
	case "done":
		r.state(e.Task).noted = true
	case "failed":
		r.state(e.Task).failed++
	}
}

// advised reports whether the task's queue has advice.
func (r *rules) advised(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _, _ := splitTask(task)
	j := r.jobs[id]
	return j != nil && j.advised
}

func (r *rules) sendCancel(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentCancel[id] = true
}

func (r *rules) cancelSent(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentCancel[id]
}
