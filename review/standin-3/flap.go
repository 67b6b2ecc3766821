package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"
)

var present atomic.Pointer[deployment]

// closeAll ends the processes of the case that is played.
func closeAll() {
	if d := present.Load(); d != nil {
		d.close()
	}
}

// play makes a deployment, and runs a case on it.
func play(root, record string, o options, do func(*deployment) int) int {
	d, err := newDeployment(root, record, o)
	if d != nil {
		present.Store(d)
		defer d.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return do(d)
}

// The users' srv_flap: share 0.1, gap_s 1.4, for_s 6.5. The first half of each period
// the minion is down.
const (
	flapPeriod = 1400 * time.Millisecond
	flapFor    = 6500 * time.Millisecond
)

// tenMinions are in racks of three. One of them has the label of the jobs below.
func tenMinions() options {
	o := options{entries: 2, cpu: 64000}
	for n := range 10 {
		o.labels = append(o.labels, []string{"a", fmt.Sprintf("r1-%d", 1+n/3)})
	}
	o.labels[9] = append(o.labels[9], "b")
	return o
}

// flap makes a minion go down and up by turns, and leaves it up.
func (s *site) flap() {
	s.d.note("flap begins", "site", s.name)
	for end := time.Now().Add(flapFor); time.Now().Before(end); {
		s.crash()
		time.Sleep(flapPeriod / 2)
		if err := s.start(); err != nil {
			s.d.note("minion not started", "why", err.Error())
		}
		time.Sleep(min(flapPeriod/2, time.Until(end)))
	}
	s.d.note("flap ends", "site", s.name)
}

// follow asks for the job's state until it is final or until end, and notes changes.
func (d *deployment) follow(id string, end time.Time) string {
	shown := ""
	for time.Now().Before(end) && shown != "completed" && shown != "failed" && shown != "cancelled" {
		if status, state := d.state(0, id); status == 200 && state != shown {
			d.note("shown", "job", id, "state", state)
			shown = state
		}
		time.Sleep(100 * time.Millisecond)
	}
	return shown
}

// flappingJob: a job that can be done, on the one minion that has its label, is
// handed in while this minion goes down and up by turns. Broken if it is shown as
// failed although none of its runs has ended so.
func flappingJob(root, record string, trouble bool) int {
	return play(root, record, tenMinions(), func(d *deployment) int {
		s := d.sites[9]
		if trouble {
			go s.flap()
			time.Sleep(200 * time.Millisecond)
		}
		j := &jobSpec{Spec: "grade report", Steps: []*stepSpec{{Count: 1, CPU: 7000, Mem: 13000, EstimatedMs: 2200, Requirements: "b", workMs: 2200}}}
		if accepted, _ := d.submit(j); !accepted {
			return notRun
		}
		state := d.follow(j.id, time.Now().Add(60*time.Second))
		d.rules.mu.Lock()
		failed, starts := d.rules.failedEnd[j.id], d.rules.startsOf[j.id]
		d.rules.mu.Unlock()
		d.note("result", "state", state, "starts", starts, "ends_failed", failed)
		switch {
		case state == "completed":
			return held
		case state == "failed" && failed == 0:
			return broken
		}
		return notRun
	})
}

// flappingWatch: a task that lasts, on the one minion that has its label. This minion
// flaps twice, and is sound from then on. Broken if the task doesn't run, from 6 s
// after its last run and 4 s after the end of the disruption on, for 3 s on end. It is
// watched for 30 s.
func flappingWatch(root, record string, trouble bool) int {
	const (
		afterRun = 6 * time.Second
		contact  = 4 * time.Second
		longest  = 3 * time.Second
		watched  = 30 * time.Second
	)
	return play(root, record, tenMinions(), func(d *deployment) int {
		s := d.sites[9]
		j := &jobSpec{Spec: "lot watch", Steps: []*stepSpec{{Count: 1, CPU: 13000, Mem: 26000, EstimatedMs: 320, Requirements: "b", Lasting: true}}}
		if trouble {
			go s.flap()
			time.Sleep(200 * time.Millisecond)
		}
		if accepted, _ := d.submit(j); !accepted {
			return notRun
		}
		if trouble {
			time.Sleep(flapFor)
			s.flap()
		}
		task := j.id + ".0.0.0"
		end := time.Now()
		lastRun, still := end, time.Duration(0)
		for time.Since(end) < watched {
			time.Sleep(100 * time.Millisecond)
			d.rules.mu.Lock()
			runs := len(d.rules.state(task).on) > 0
			d.rules.mu.Unlock()
			if runs {
				lastRun = time.Now()
			}
			from := lastRun.Add(afterRun)
			if calm := end.Add(contact); calm.After(from) {
				from = calm
			}
			still = max(still, time.Since(from))
		}
		_, state := d.state(0, j.id)
		d.rules.mu.Lock()
		starts := d.rules.startsOf[j.id]
		d.rules.mu.Unlock()
		d.note("result", "state", state, "starts", starts, "stood_still_s", still.Seconds())
		if still > longest {
			return broken
		}
		return held
	})
}

// scheduledJob: a job of ten tasks that runs eight times, 250 ms apart, on ten
// minions. One of them crashes once, and is back 0.7 s later. Broken if the job is
// shown as failed although none of its runs has ended so.
func scheduledJob(root, record string, trouble bool) int {
	const (
		times    = 8
		interval = 250 * time.Millisecond
		down     = 700 * time.Millisecond
		// The minion crashes from earliest on after the first time is due, at most later
		// than that.
		earliest = 800 * time.Millisecond
		later    = time.Second
	)
	return play(root, record, tenMinions(), func(d *deployment) int {
		first := time.Now().Add(time.Second)
		j := &jobSpec{
			Spec: "grade report", Repeat: times, FirstMs: first.UnixMilli(), IntervalMs: interval.Milliseconds(),
			Steps: []*stepSpec{{Count: 10, CPU: 7000, Mem: 13000, EstimatedMs: 2200, workMs: 2200}},
		}
		if accepted, _ := d.submit(j); !accepted {
			return notRun
		}
		if trouble {
			time.Sleep(time.Until(first) + earliest + rand.N(later))
			s := d.sites[rand.IntN(len(d.sites))]
			s.crash()
			time.Sleep(down)
			if err := s.start(); err != nil {
				return notRun
			}
		}
		state := d.follow(j.id, time.Now().Add(60*time.Second))
		d.rules.mu.Lock()
		failed, starts := d.rules.failedEnd[j.id], d.rules.startsOf[j.id]
		d.rules.mu.Unlock()
		d.note("result", "state", state, "starts", starts, "ends_failed", failed)
		switch {
		case state == "completed":
			return held
		case state == "failed" && failed == 0:
			return broken
		}
		return notRun
	})
}
