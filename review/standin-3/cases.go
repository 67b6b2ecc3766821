package main

import (
	"math/rand/v2"
	"path/filepath"
	"time"

	"persimmonrock.example/structs/workload"
)

const jobFile = "job.json"

// scheduledJob: a job of ten tasks that runs eight times, 250 ms apart, on ten
// minions. One of them crashes once, and is back 0.7 s later. Broken if the job is
// shown as failed although none of its runs has ended so.
func scheduledJob(d *deployment, folder string, trouble bool) int {
	const (
		// The minion crashes from earliest on after the first time is due, at most later
		// than that.
		earliest = 800 * time.Millisecond
		later    = time.Second
		down     = 700 * time.Millisecond
	)
	first := time.Now().Add(time.Second)
	id, err := d.submit(filepath.Join(folder, jobFile), map[string]any{"first-run-ms": first.UnixMilli()})
	if err != nil {
		d.log.add("%v", err)
		return notRun
	}
	if trouble {
		time.Sleep(time.Until(first) + earliest + rand.N(later))
		s := d.sites[rand.IntN(len(d.sites))]
		s.crash()
		time.Sleep(down)
		if err := s.start(); err != nil {
			d.log.add("%v", err)
			return notRun
		}
	}
	return d.judgeFailed(id)
}

// judgeFailed follows a job that can be done until its state is final.
func (d *deployment) judgeFailed(id workload.JobID) int {
	state := d.follow(id, time.Now().Add(60*time.Second))
	starts, failed := d.counts(id)
	d.log.add("the job is shown as %q after %d starts; runs that ended failed: %d", state, starts, failed)
	switch {
	case state == workload.Completed:
		return held
	case state == workload.Failed && failed == 0:
		return broken
	}
	return notRun
}

// The users' srv_flap: share 0.1, gap_s 1.4, for_s 6.5. In the first half of each
// period the minion is down.
const (
	flapPeriod = 1400 * time.Millisecond
	flapFor    = 6500 * time.Millisecond
)

// flap makes a minion go down and up by turns, whatever runs there, and leaves it up.
func (s *site) flap() error {
	s.log.add("site %d begins to flap", s.number)
	for end := time.Now().Add(flapFor); time.Now().Before(end); {
		s.crash()
		time.Sleep(flapPeriod / 2)
		if err := s.start(); err != nil {
			return err
		}
		time.Sleep(min(flapPeriod/2, time.Until(end)))
	}
	s.log.add("site %d has ceased to flap", s.number)
	return nil
}

// flappingJob: a job that can be done, on the one minion that has its label, is
// handed in while this minion flaps. Broken if it is shown as failed although none of
// its runs has ended so.
func flappingJob(d *deployment, folder string, trouble bool) int {
	s := d.sites[minions-1]
	flapped := make(chan error, 1)
	flapped <- nil
	if trouble {
		<-flapped
		go func() { flapped <- s.flap() }()
		time.Sleep(200 * time.Millisecond)
	}
	id, err := d.submit(filepath.Join(folder, jobFile), nil)
	if err == nil {
		err = <-flapped
	}
	if err != nil {
		d.log.add("%v", err)
		return notRun
	}
	return d.judgeFailed(id)
}

// flappingWatch: a task that lasts, on the one minion that has its label. This minion
// flaps twice, one time after the other, and is sound from then on. Broken if, from 6 s
// after the task's last run and contact after the disruption on, it doesn't run for
// over 3 s on end. It is watched for 30 s.
func flappingWatch(d *deployment, folder string, trouble bool) int {
	const (
		afterRun = 6 * time.Second
		contact  = 4 * time.Second
		longest  = 3 * time.Second
		watched  = 30 * time.Second
	)
	s := d.sites[minions-1]
	flapped := make(chan error, 1)
	if trouble {
		go func() {
			err := s.flap()
			if err == nil {
				err = s.flap()
			}
			flapped <- err
		}()
		time.Sleep(200 * time.Millisecond)
	}
	id, err := d.submit(filepath.Join(folder, jobFile), nil)
	if err == nil && trouble {
		err = <-flapped
	}
	if err != nil {
		d.log.add("%v", err)
		return notRun
	}
	calm := time.Now()
	lastRun, still := calm, time.Duration(0)
	for time.Since(calm) < watched {
		time.Sleep(50 * time.Millisecond)
		if s.runs(id) {
			lastRun = time.Now()
		}
		from := lastRun.Add(afterRun)
		if after := calm.Add(contact); after.After(from) {
			from = after
		}
		still = max(still, time.Since(from))
	}
	state, err := d.state(0, id)
	starts, _ := d.counts(id)
	d.log.add("the job is shown as %q (%v) after %d starts; it stood still for %.1f s beyond the bounds", state, err, starts, still.Seconds())
	if still > longest {
		return broken
	}
	return held
}
