package machines

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
)

// firstStartsWithin is the time from the beginning of a term within which work
// starts again after the loss of all machines.
const firstStartsWithin = second

// runsByMachine counts the runs of each job on each machine.
func runsByMachine(sim *Simulation, jobs ...workload.JobID) map[string]int {
	counts := map[string]int{}
	for _, a := range sim.Agents() {
		for _, r := range a.Worker().Running() {
			for _, id := range jobs {
				if r.Task.Job == id {
					counts[fmt.Sprint(a.Node, " ", id)]++
				}
			}
		}
	}
	return counts
}

func sum(counts map[string]int) int {
	n := 0
	for c := range maps.Values(counts) {
		n += c
	}
	return n
}

// loseAllPower ends all processes and workers at once, and starts them again.
func loseAllPower(sim *Simulation, away time.Duration) {
	sim.KillAll()
	for _, a := range sim.Agents() {
		a.NewWorker()
	}
	time.Sleep(away)
	sim.StartAll()
	for sim.Leader() == nil {
		time.Sleep(time.Millisecond)
	}
}

// servingJob is a lasting job whose tasks have an image and a tail target.
func servingJob(number, n int, image string) workload.Job {
	j := lastingJob(number, n)
	j.Steps[0].Image, j.Steps[0].TailTarget = image, 20*time.Millisecond
	return j
}

// longJob is a job of tasks that are estimated to take d.
func longJob(number, n int, d time.Duration) workload.Job {
	j := job(number, n)
	j.Steps = j.Steps[:1]
	j.Steps[0].Estimate = d
	return j
}

// Failure guarded against: all machines lose power, and what returns first is work
// that is overdue anyhow; or the lasting tasks return in another mix than the one
// found out before; or the forecast is not there with the first plan.
func TestReturnAfterTheLossOfAllMachines(t *testing.T) {
	const machines, lasting, overdue, inTime = 6, 8, 24, 12
	log := &sharedBuffer{}
	policies := scheduling.Policies{Forecast: scheduling.Forecast{Enabled: true}, Recovery: scheduling.Recovery{Enabled: true}}
	opt := Options{Entries: 3, Machines: machines, Policies: policies, Log: log, Outcome: func(workload.RunID) Outcome { return Outcome{For: time.Minute} }}
	simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
		for n := range 3 {
			submit(t, c, servingJob(n+1, lasting, fmt.Sprint("image-", n)))
		}
		submit(t, c, longJob(4, overdue, second/10))
		time.Sleep(6 * second)
		submit(t, c, longJob(5, inTime, 20*second))
		time.Sleep(second)
		serving := []workload.JobID{JobID(1), JobID(2), JobID(3)}
		before := runsByMachine(sim, serving...)
		if sum(before) != 3*lasting || sum(runsByMachine(sim, JobID(4))) != overdue || sum(runsByMachine(sim, JobID(5))) != 0 {
			t.Fatal("the overdue job does not keep the other one waiting")
		}
		log.reset()
		loseAllPower(sim, 900*time.Millisecond)
		time.Sleep(firstStartsWithin)
		if diff := cmp.Diff(before, runsByMachine(sim, serving...)); diff != "" {
			t.Errorf("lasting tasks on other machines than before (-before +after):\n%s", diff)
		}
		if n := sum(runsByMachine(sim, JobID(5))); n != inTime {
			t.Errorf("%d of the %d tasks of the job that can be in time run %v after the term began", n, inTime, firstStartsWithin)
		}
		log.mu.Lock()
		text := log.buf.String()
		log.mu.Unlock()
		for _, message := range []string{"first forecast of the term made", "lasting tasks returned to their machines"} {
			if !strings.Contains(text, message) {
				t.Errorf("not logged: %s", message)
			}
		}
	})
}
