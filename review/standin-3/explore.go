package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// explore plays random jobs of all kinds beside random faults.
func explore(root, record string, trouble bool) int {
	labels := [][]string{}
	for n := range 6 {
		l := []string{"a", fmt.Sprintf("r1-%d", 1+n/3)}
		if n%2 == 0 {
			l = append(l, "b")
		}
		labels = append(labels, l)
	}
	kinds := os.Getenv("FAULTS")
	if kinds == "" {
		kinds = "entrykill,agentkill,crash,entryfreeze,agentfreeze,busy,lost,late,term,silent,orderslate,answerslost,leave,flap,resets,slow"
	}
	list := strings.Split(kinds, ",")
	return play(root, record, options{entries: 3, labels: labels, cpu: 8000}, func(d *deployment) int {
		end := time.Now().Add(30 * time.Second)
		var group sync.WaitGroup
		var mu sync.Mutex
		var jobs []*jobSpec
		for range clients() {
			group.Add(1)
			go func() {
				defer group.Done()
				for time.Now().Before(end) {
					j := randomJob()
					if ok, rejected := d.submit(j); ok {
						mu.Lock()
						jobs = append(jobs, j)
						mu.Unlock()
						if rand.IntN(8) == 0 || os.Getenv("LASTING") != "" && j.Steps[0].Lasting && rand.IntN(2) == 0 {
							time.Sleep(rand.N(1500 * time.Millisecond))
							d.rules.sendCancel(j.id)
							status, _ := d.call(rand.IntN(3), "DELETE", j.path(), nil)
							d.note("cancel", "job", j.id, "status", status)
							if status == 200 || status == 410 {
								d.rules.mu.Lock()
								d.rules.cancelled[j.id] = time.Now()
								d.rules.mu.Unlock()
							}
						}
					} else {
						d.note("not accepted", "job", j.id, "rejected", rejected)
					}
					time.Sleep(rand.N(1200 * time.Millisecond))
				}
			}()
		}
		stopped := make(chan struct{})
		defer close(stopped)
		var last atomic.Int64
		last.Store(time.Now().UnixNano())
		go d.monitor(stopped, func() time.Time { return time.Unix(0, last.Load()) })
		if trouble {
			for time.Now().Before(end.Add(-2 * time.Second)) {
				fault(d, list[rand.IntN(len(list))])
				last.Store(time.Now().Add(5 * time.Second).UnixNano())
				time.Sleep(rand.N(2500 * time.Millisecond))
			}
		}
		group.Wait()
		for _, p := range d.entries {
			d.store.setFault(p.node, storeFault{})
		}
		for _, p := range d.agents {
			d.store.setFault(p.node, storeFault{})
		}
		calm := time.Now()
		open := 0
		for time.Since(calm) < 40*time.Second {
			open = 0
			for _, j := range jobs {
				if j.Steps[0].Lasting {
					continue
				}
				if status, state := d.state(rand.IntN(3), j.id); status != 200 || state != "completed" && state != "failed" && state != "cancelled" {
					open++
				}
			}
			if open == 0 {
				break
			}
			time.Sleep(time.Second)
		}
		d.note("calm", "open", open, "after_s", time.Since(calm).Seconds())
		bad := 0
		for _, j := range jobs {
			status, state := d.state(rand.IntN(3), j.id)
			d.rules.mu.Lock()
			_, cancelled := d.rules.cancelled[j.id]
			failed := d.rules.failedEnd[j.id]
			complete := true
			for k := range max(1, j.Repeat) {
				for si, s := range j.Steps {
					for i := range s.Count {
						complete = complete && (d.rules.state(fmt.Sprintf("%s.%d.%d.%d", j.id, k, si, i)).done || d.rules.gangDone(j.id, k, si))
					}
				}
			}
			d.rules.mu.Unlock()
			switch {
			case cancelled:
				continue
			case j.Steps[0].Lasting && state == "running":
				continue
			case state == "failed" && failed >= maxAttempts:
				continue
			case state == "completed" && complete:
				continue
			case state == "failed" && failed == 0 && os.Getenv("BLAMED") != "":
				continue // the cases of this review
			case state == "cancelled" && d.rules.cancelSent(j.id):
				continue
			}
			bad++
			d.note("LOST?", "job", j.id, "status", status, "state", state, "failed_ends", failed, "complete", complete, "row", clip(d.store.rowsOf("progress", j.id)), "steps", fmt.Sprintf("%+v", *j.Steps[0]))
		}
		d.rules.mu.Lock()
		defer d.rules.mu.Unlock()
		total := 0
		for rule, list := range d.rules.breaks {
			if rule != "GANG" {
				total += len(list)
			}
			fmt.Println(rule, len(list), list[0])
		}
		fmt.Println("jobs", len(jobs), "bad", bad, "open", open, "alone", d.rules.alone)
		if total+bad > 0 {
			return broken
		}
		return held
	})
}

func randomJob() *jobSpec {
	if os.Getenv("WIDE") != "" {
		return wideJob()
	}
	if os.Getenv("LASTING") != "" && rand.IntN(3) == 0 {
		s := &stepSpec{Count: 1 + rand.IntN(4), CPU: 500 + rand.IntN(2500), Mem: 500, EstimatedMs: 1000, Lasting: true, AntiAffinity: rand.IntN(3), Gang: rand.IntN(5) == 0}
		if rand.IntN(4) == 0 {
			s.Requirements = "b"
		}
		return &jobSpec{Spec: "watch", Steps: []*stepSpec{s}}
	}
	j := &jobSpec{Spec: fmt.Sprintf("spec %d", rand.IntN(1000))}
	for range 1 + rand.IntN(3) {
		s := &stepSpec{Count: 1 + rand.IntN(6), CPU: 500 + rand.IntN(2500), Mem: 1000, workMs: 200 + rand.IntN(1500), spread: true}
		s.EstimatedMs = s.workMs
		if n := len(j.Steps); n > 0 {
			s.After = []int{n - 1}
		}
		switch rand.IntN(8) {
		case 0, 1:
			s.Gang = true
			s.Count = 2 + rand.IntN(3)
			s.Checkpointing = rand.IntN(2) == 0
		case 2:
			s.Requirements = "b"
		case 3:
			s.AntiAffinity = 1 + rand.IntN(2)
		case 4:
			s.Checkpointing = true
			s.workMs += 1500
		case 5:
			if rand.IntN(3) == 0 {
				s.failing = 1
			}
		}
		j.Steps = append(j.Steps, s)
	}
	j.advised = os.Getenv("ADVICE") != "" && rand.IntN(2) == 0
	switch rand.IntN(10) {
	case 0:
		j.Repeat, j.FirstMs, j.IntervalMs = 1+rand.IntN(4), time.Now().UnixMilli()+rand.Int64N(3000), 500+rand.Int64N(2000)
	case 1:
		if rand.IntN(3) == 0 {
			j.Steps = []*stepSpec{{Count: 1 + rand.IntN(3), CPU: 600, Mem: 500, EstimatedMs: 1000, Lasting: true, AntiAffinity: rand.IntN(2), Gang: rand.IntN(3) == 0}}
		}
	}
	return j
}

func fault(d *deployment, kind string) {
	d.note("fault", "kind", kind)
	entry := d.entries[rand.IntN(len(d.entries))]
	n := rand.IntN(len(d.agents))
	for3 := 500*time.Millisecond + rand.N(4*time.Second)
	switch kind {
	case "entrykill":
		entry.kill(rand.N(2 * time.Second))
	case "agentkill":
		d.agents[n].kill(rand.N(2 * time.Second))
	case "crash":
		s := d.sites[n]
		s.crash()
		time.AfterFunc(200*time.Millisecond+rand.N(3*time.Second), func() { _ = s.start() })
	case "entryfreeze":
		go entry.freeze(for3)
	case "agentfreeze":
		go d.agents[n].freeze(for3)
	case "term":
		if rand.IntN(2) == 0 {
			entry.signal(syscall.SIGTERM)
		} else {
			d.agents[n].signal(syscall.SIGTERM)
		}
	case "flap":
		go d.sites[n].flap()
	case "orderslate", "answerslost", "resets", "slow":
		f := minionFault{late: 0.3}
		switch kind {
		case "answerslost":
			f = minionFault{lost: 0.4}
		case "resets":
			f = minionFault{reset: 0.4}
		case "slow":
			f = minionFault{slow: rand.N(600 * time.Millisecond)}
		}
		s := d.sites[n]
		s.setFault(f)
		time.AfterFunc(for3, func() { s.setFault(minionFault{}) })
	case "leave":
		go d.sites[n].leave(2200*time.Millisecond+rand.N(2*time.Second), rand.N(2*time.Second))
	case "busy", "silent", "lost", "late":
		f := storeFault{busy: kind == "busy", silent: kind == "silent"}
		if kind == "lost" || kind == "late" {
			f.lost, f.late = 0.35, kind == "late"
		}
		some := []*process{entry}
		if rand.IntN(2) == 0 {
			some = append(append(some, d.entries...), d.agents...)
		}
		for _, p := range some {
			d.store.setFault(p.node, f)
		}
		time.AfterFunc(for3, func() {
			for _, p := range some {
				d.store.setFault(p.node, storeFault{})
			}
		})
	}
}

// wideJob has more tasks than fit into one row of the store.
func wideJob() *jobSpec {
	j := &jobSpec{Spec: fmt.Sprintf("spec %d", rand.IntN(1000))}
	for range 1 + rand.IntN(3) {
		s := &stepSpec{Count: 50 + rand.IntN(450), CPU: 20 + rand.IntN(60), Mem: 10, workMs: 100 + rand.IntN(1500), spread: true}
		s.EstimatedMs = s.workMs
		if n := len(j.Steps); n > 0 {
			s.After = []int{n - 1}
		}
		switch rand.IntN(5) {
		case 0:
			s.Gang = true
		case 1:
			s.Checkpointing = true
			s.workMs += 1200
		}
		j.Steps = append(j.Steps, s)
	}
	if rand.IntN(3) == 0 {
		j.Repeat, j.FirstMs, j.IntervalMs = 1+rand.IntN(3), time.Now().UnixMilli(), 500+rand.Int64N(2000)
	}
	return j
}

func clients() int {
	if os.Getenv("WIDE") != "" {
		return 1
	}
	return 3
}
