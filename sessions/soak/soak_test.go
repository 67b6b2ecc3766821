package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

var (
	seeds            = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed        = flag.Uint64("soak.first", 1, "the first seed")
	faultDuration    = flag.Duration("soak.for", 8*time.Second, "time for which faults are injected per seed")
	concurrentFaults = flag.Int("soak.beside", 3, "number of concurrent faults")
	admit            = flag.Bool("soak.admission", true, "refuse jobs that can't end while they are of use")
	keepInstances    = flag.Bool("soak.keep-instances", false, "workers start again under the identifier that they had")
	logDir           = flag.String("soak.keep", "", "directory for the logs of failed seeds")
)

const (
	clients = 4
	// crashingClient is the number of the client whose jobs, one every
	// crashInterval, crash their workers.
	crashingClient = 97
	crashInterval  = 4 * time.Second
	// submitTries is the number of attempts to submit a job.
	submitTries = 4
	// settleTime is the time after the last fault within which every accepted
	// job must finish, even if its tasks wait until the last lease of an
	// unresponsive worker expires.
	settleTime = 30 * time.Second
	// deletionTime is the time from the start of all entries within which a
	// scheduler deletes jobs that it takes for old, a little more than the time
	// between two of its checks.
	deletionTime = 13 * time.Second
)

// entryProgram and agentProgram are the paths of the built programs.
var entryProgram, agentProgram string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	entryProgram, agentProgram = filepath.Join(dir, "persimmonrock"), filepath.Join(dir, "persimmonrock-agent")
	out, err := exec.Command("go", "build", "-o", dir, "persimmonrock.example/cmd/persimmonrock", "persimmonrock.example/cmd/persimmonrock-agent").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Real processes are killed, stopped, frozen and disconnected in overlapping
// series, while clients submit jobs over persistent connections. No task may
// run twice at a time or again after its end, no worker be overcommitted, no
// accepted job be lost, and no unfinished job be shown as done.
func TestSoak(t *testing.T) {
	var beside []fault
	if *odd {
		beside = oddWriter
	}
	for n := range uint64(*seeds) {
		seed := *firstSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, beside) })
	}
}

// runSeed plays one seed. Faults of the kinds beside, if there are any, are injected
// beside the others.
func runSeed(t *testing.T, seed uint64, beside []fault) {
	d := deploy(t, seed)
	defer d.saveLogs()
	d.awaitFirstJob()
	lasting := workload.Job{ID: jobID(seed, 99, 0), Queue: queue, Payload: "lasting", Steps: []workload.Step{
		{Count: 3, Need: workload.Resources{CPU: 1000, Memory: 1000}, Lasting: true},
	}}
	if !d.client().Submit(lasting, 10) {
		t.Fatal("the lasting job was not accepted")
	}
	until := time.Now().Add(*faultDuration)
	var group sync.WaitGroup
	for n := range uint64(*concurrentFaults) {
		group.Go(func() { d.injectFaults(rand.New(rand.NewPCG(seed, n)), faults, until) })
	}
	if len(beside) > 0 {
		group.Go(func() { d.injectFaults(rand.New(rand.NewPCG(seed, oddStream)), beside, until) })
	}
	var crashJobs []workload.JobID
	group.Go(func() { crashJobs = d.submitCrashingJobs(until) })
	accepted := make([][]workload.JobID, clients)
	refused := make([]*refusals, clients)
	for n := range clients {
		refused[n] = &refusals{d: d}
		group.Go(func() { accepted[n] = d.submitJobs(n, until, refused[n]) })
	}
	group.Wait()
	total, refusedJobs := 0, 0
	for _, r := range refused {
		late, all := r.stop()
		accepted = append(accepted, late)
		refusedJobs += all
	}
	for _, ids := range accepted {
		total += len(ids)
		for id, state := range d.client().Await(ids, settleTime) {
			t.Errorf("job %s is %q %v after the last fault", id, state, settleTime)
		}
	}
	for id, state := range d.client().Await(crashJobs, settleTime) {
		t.Errorf("job %s, which crashes its workers, is %q %v after the last fault", id, state, settleTime)
	}
	d.checkEndedJobsStayKnown(accepted)
	if n := d.countRunning(lasting.ID); n != 3 {
		t.Errorf("%d of 3 lasting tasks run", n)
	}
	for _, b := range d.rules.Broken() {
		t.Error(b)
	}
	if total == 0 {
		t.Error("no job was accepted")
	}
	t.Logf("%d jobs refused at first", refusedJobs)
	t.Logf("%d jobs accepted, %d that crash their workers, %d starts, %d crashes", total, len(crashJobs), d.rules.Started, d.rules.Crashes())
}

// awaitFirstJob waits until the entries accept a job and the job is done.
func (d *deployment) awaitFirstJob() {
	id := jobID(d.seed, 98, 0)
	c := d.client()
	if !c.Submit(newJob(id, 1), 60) {
		d.t.Fatal("the entries do not accept jobs")
	}
	if open := c.Await([]workload.JobID{id}, settleTime); len(open) > 0 {
		d.t.Fatalf("the first job is not done: %v", open)
	}
}

// submitJobs submits jobs one after another and cancels some of them. A job that
// is refused because it can't end while it is of use comes back by itself, so
// that the others arrive as if it had been accepted.
func (d *deployment) submitJobs(client int, until time.Time, r *refusals) []workload.JobID {
	rng := rand.New(rand.NewPCG(d.seed, 100+uint64(client)))
	c := d.client()
	var accepted []workload.JobID
	for n := 0; time.Now().Before(until); n++ {
		id := jobID(d.seed, client, n)
		j := newJob(id, 1+rng.IntN(4))
		ok, comeBack, left := c.Offer(j, submitTries)
		if !ok && comeBack == 0 {
			continue
		}
		cancel := rng.IntN(8) == 0
		if ok {
			accepted = append(accepted, id)
		} else {
			r.comeBack(j, comeBack, left)
		}
		if ok && cancel {
			c.Cancel(id)
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	return accepted
}

func (d *deployment) submitCrashingJobs(until time.Time) []workload.JobID {
	c := d.client()
	var accepted []workload.JobID
	for n := 0; time.Now().Before(until); n++ {
		if id := jobID(d.seed, crashingClient, n); c.Submit(newJob(id, 2), 4) {
			accepted = append(accepted, id)
		}
		time.Sleep(crashInterval)
	}
	return accepted
}

// checkEndedJobsStayKnown kills all entries and checks that the next scheduler
// keeps the jobs.
func (d *deployment) checkEndedJobsStayKnown(accepted [][]workload.JobID) {
	for _, p := range d.entries {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(deletionTime)
	c := d.client()
	for _, ids := range accepted {
		for _, id := range ids {
			if s := c.State(id); !s.Final() {
				d.t.Errorf("job %s is %q %v after its end and a start of all entries", id, s, deletionTime)
			}
		}
	}
}

// countRunning returns the number of a job's running tasks. It polls for up to
// settleTime until 3 run, because a task may be between two runs.
func (d *deployment) countRunning(id workload.JobID) int {
	for started := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, s := range d.hosts {
			for _, r := range s.current().Running() {
				if r.Task.Job == id {
					n++
				}
			}
		}
		if n == 3 || time.Since(started) > settleTime {
			return n
		}
	}
}

func newJob(id workload.JobID, tasks int) workload.Job {
	s := workload.Step{Count: tasks, Need: workload.Resources{CPU: 1500, Memory: 1000}, Estimate: 600 * time.Millisecond}
	next := s
	next.After = []int{0}
	return workload.Job{ID: id, Queue: queue, Payload: "p" + string(id), Steps: []workload.Step{s, next}}
}

// clientOf returns the client number that jobID encoded in a job's ID.
func clientOf(id workload.JobID) int {
	var seed, client int
	_, _ = fmt.Sscanf(string(id), "%06x%04x", &seed, &client) // 0 for an ID of another form
	return client
}

func jobID(seed uint64, client, n int) workload.JobID {
	return workload.JobID(fmt.Sprintf("%06x%04x%06x", seed&0xffffff, client, n))
}

// saveLogs copies the logs of the processes to logDir if the seed has failed.
func (d *deployment) saveLogs() {
	if !d.t.Failed() || *logDir == "" {
		return
	}
	for _, p := range d.processes() {
		text, err := os.ReadFile(p.file(".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("%d-%s.log", d.seed, p.Node)), text, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
}
