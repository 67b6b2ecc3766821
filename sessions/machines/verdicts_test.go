package machines

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// verdicts counts the judgements on tasks that may have crashed their workers.
type verdicts struct {
	// scheduled says that the jobs that end have several overlapping occurrences.
	scheduled       bool
	days, unrelated int
	// innocent counts the jobs without a deadly task, wronged those of them that were
	// failed, or of whose lasting tasks one was contained.
	innocent, wronged int
	// deadly counts the jobs with a deadly task, crashes the crashes by these tasks,
	// missed the jobs that were neither failed nor contained.
	deadly, crashes, missed int
}

// baseRates are the mean intervals between two crashes of a worker that no task
// causes. At each, at most wronged innocent jobs may be wronged, and one more in each
// share of them if share is set.
var baseRates = []struct {
	interval       time.Duration
	wronged, share int
}{
	{10 * time.Minute, 0, 0},
	{time.Minute, 1, 0},
	{15 * time.Second, 2, 200},
}

// TestVerdictsOnCrashes counts false verdicts on random days with and without deadly
// tasks, with workers that crash by themselves at different rates. It plays a day of
// each kind for every eight of -seeds.
func TestVerdictsOnCrashes(t *testing.T) {
	for _, rate := range baseRates {
		for _, deadly := range []float64{0, 1.0 / 8} {
			t.Run(fmt.Sprintf("%v/%v", rate.interval, deadly > 0), func(t *testing.T) {
				var v verdicts
				for i := range max(1, *seeds/8) {
					v.playDay(t, *firstSeed+uint64(i), rate.interval, deadly)
				}
				v.check(t, rate.wronged, rate.share)
			})
		}
	}
}

// Failure guarded against: a crash counts once for each overlapping occurrence of a
// scheduled job, so that crashes with other causes fail the job. It plays a day of each
// kind for every 24 of -seeds.
func TestVerdictsOnScheduledJobs(t *testing.T) {
	for _, rate := range baseRates {
		for _, deadly := range []float64{0, 1.0 / 8} {
			t.Run(fmt.Sprintf("%v/%v", rate.interval, deadly > 0), func(t *testing.T) {
				v := verdicts{scheduled: true}
				for i := range max(1, *seeds/24) {
					v.playDay(t, *firstSeed+uint64(i), rate.interval, deadly)
				}
				v.check(t, rate.wronged, rate.share)
			})
		}
	}
}

// check checks the verdicts: at most wronged innocent jobs may be wronged, and one more
// in each share of them if share is set.
func (v *verdicts) check(t *testing.T, wronged, share int) {
	t.Logf("%+v", *v)
	if v.missed > 0 {
		t.Errorf("%d of %d deadly jobs are neither failed nor contained", v.missed, v.deadly)
	}
	if share > 0 {
		wronged += v.innocent / share
	}
	if v.wronged > wronged {
		t.Errorf("%d of %d innocent jobs are failed or contained", v.wronged, v.innocent)
	}
}

// playDay simulates a minute of jobs, of which the given share is deadly.
func (v *verdicts) playDay(t *testing.T, seed uint64, interval time.Duration, share float64) {
	const jobs = 60
	deadly := func(id workload.JobID) bool { return crashesWorkers(seed, id, share) }
	outcome := func(r workload.RunID) Outcome {
		rng := rand.New(rand.NewPCG(seed, uint64(r.Run)<<32|uint64(r.Task.Index)<<16|uint64(r.Task.Step)))
		return Outcome{
			For:     time.Duration(100+rng.IntN(2500)) * time.Millisecond,
			Crashes: r.Task.Step == 0 && r.Task.Index == 0 && deadly(r.Task.Job),
		}
	}
	simulate(t, Options{Seed: seed, Entries: 2, Machines: 11, Outcome: outcome}, func(t *testing.T, sim *Simulation, c *Client) {
		rng := rand.New(rand.NewPCG(seed, 105))
		stop := make(chan bool)
		ended := make(chan int)
		go func() { ended <- sim.crashAtRandom(rand.New(rand.NewPCG(seed, 107)), interval, stop) }()
		var ending, lasting []workload.Job
		for n := range jobs {
			j := job(n, 1+rng.IntN(6))
			if v.scheduled {
				j.Repeat = workload.Repeat{Count: 4, First: time.Now().UnixMilli(), Interval: 250}
			}
			if rng.IntN(8) == 0 {
				j = lastingJob(n, 1+rng.IntN(3))
			}
			submit(t, c, j)
			if j.Steps[0].Lasting {
				lasting = append(lasting, j)
			} else {
				ending = append(ending, j)
			}
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		}
		close(stop)
		v.unrelated += <-ended
		v.days++
		ids := make([]workload.JobID, len(ending))
		for i, j := range ending {
			ids[i] = j.ID
		}
		c.Await(ids, 2*time.Minute)
		time.Sleep(30 * second)
		before := sim.Rules.Crashes()
		time.Sleep(30 * second)
		for _, j := range ending {
			v.count(deadly(j.ID), c.State(j.ID) == workload.Failed)
		}
		for _, j := range lasting {
			harmless := j.Steps[0].Count
			if deadly(j.ID) {
				harmless--
				v.count(true, sim.Rules.Crashes() == before)
			}
			if harmless > 0 {
				v.count(false, sim.runningOf(j.ID) < harmless)
			}
		}
		v.crashes += sim.Rules.Crashes()
		for _, j := range lasting {
			c.Cancel(j.ID)
		}
	})
}

// count adds a verdict on a job, or on the harmless tasks of a lasting one.
func (v *verdicts) count(deadly, guilty bool) {
	switch {
	case deadly:
		v.deadly++
		if !guilty {
			v.missed++
		}
	default:
		v.innocent++
		if guilty {
			v.wronged++
		}
	}
}

// crashAtRandom crashes workers, each at the mean interval, until it is stopped. It
// returns the number of crashes.
func (sim *Simulation) crashAtRandom(rng *rand.Rand, interval time.Duration, stop chan bool) int {
	const back = 3 * time.Second
	for n := 0; ; {
		wait := time.Duration(rng.ExpFloat64() * float64(interval) / float64(len(sim.agents)))
		select {
		case <-stop:
			return n
		case <-time.After(wait):
		}
		a := sim.agents[rng.IntN(len(sim.agents))]
		if _, alive := a.Worker().Info(); alive {
			n++
			a.Worker().Crash()
			time.AfterFunc(back, a.NewWorker)
		}
	}
}
