package soak

import (
	"sync"
	"time"

	"persimmonrock.example/structs/workload"
)

// refusals are the jobs of one client that were refused because they could not
// end while of use. Each comes back when its client is told to, until it is
// accepted, its attempts are used up, or the load ends. The rules report a job
// that starts though all its attempts were refused.
type refusals struct {
	d        *deployment
	group    sync.WaitGroup
	mu       sync.Mutex
	stopped  bool
	count    int
	accepted []workload.JobID
}

func (r *refusals) comeBack(j workload.Job, after time.Duration, tries int) {
	r.count++
	r.group.Go(func() {
		c := r.d.client()
		for tries > 0 && r.sleep(after) {
			var ok bool
			if ok, after, tries = c.Offer(j, tries); ok {
				r.mu.Lock()
				r.accepted = append(r.accepted, j.ID)
				r.mu.Unlock()
				return
			}
		}
	})
}

// sleep waits for d, and returns false if the load ends before.
func (r *refusals) sleep(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return false
		}
	}
	return true
}

// stop ends the load, and returns the jobs that were accepted after a refusal,
// and the number of jobs that were refused.
func (r *refusals) stop() ([]workload.JobID, int) {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.group.Wait()
	return r.accepted, r.count
}
