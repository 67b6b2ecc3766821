package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "number of seeds to play")
	first   = flag.Uint64("soak.first", 1, "the first seed")
	length  = flag.Duration("soak.for", 8*time.Second, "how long each seed is disturbed")
	beside  = flag.Int("soak.beside", 3, "faults at a time")
	keepDir = flag.String("soak.keep", "", "folder for the logs of seeds that fail")
)

const (
	clients = 4
	// crashing is the client whose jobs crash their workers, one each crashEvery.
	crashing   = 97
	crashEvery = 4 * time.Second
	// settled is how long after the last fault every accepted job is done:
	// leases of workers that fell silent last, and what waits for them runs.
	settled = 30 * time.Second
)

// entryProgram and agentProgram are the built programs.
var entryProgram, agentProgram string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(build(m))
}

func build(m *testing.M) int {
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

// Real processes are killed, stopped, frozen and cut off in series that
// overlap, while clients hand jobs in over connections that they keep. No task
// may run twice at a time or again after its end, no worker be overfilled, no
// accepted job be lost, none be shown as done that isn't.
func TestSoak(t *testing.T) {
	for n := range uint64(*seeds) {
		seed := *first + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

func play(t *testing.T, seed uint64) {
	d := deploy(t, seed)
	defer d.keepLogs()
	d.awaitService()
	lasting := workload.Job{ID: jobID(seed, 99, 0), Queue: queue, Payload: "lasting", Steps: []workload.Step{
		{Count: 3, Need: workload.Resources{CPU: 1000, Memory: 1000}, Lasting: true},
	}}
	if !d.client().Submit(lasting, 10) {
		t.Fatal("the lasting job was not accepted")
	}
	until := time.Now().Add(*length)
	var group sync.WaitGroup
	for n := range uint64(*beside) {
		group.Go(func() { d.disturb(rand.New(rand.NewPCG(seed, n)), until) })
	}
	var crashers []workload.JobID
	group.Go(func() { crashers = d.crash(until) })
	accepted := make([][]workload.JobID, clients)
	for n := range clients {
		group.Go(func() { accepted[n] = d.load(n, until) })
	}
	group.Wait()
	total := 0
	for _, ids := range accepted {
		total += len(ids)
		for id, state := range d.client().Await(ids, settled) {
			t.Errorf("job %s is %q %v after the last fault", id, state, settled)
		}
	}
	for id, state := range d.client().Await(crashers, settled) {
		t.Errorf("job %s, which crashes its workers, is %q %v after the last fault", id, state, settled)
	}
	if n := d.runningOf(lasting.ID); n != 3 {
		t.Errorf("%d of 3 lasting tasks run", n)
	}
	for _, b := range d.rules.Broken() {
		t.Error(b)
	}
	if total == 0 {
		t.Error("no job was accepted")
	}
	t.Logf("%d jobs accepted, %d that crash their workers, %d starts, %d crashes", total, len(crashers), d.rules.Started, d.rules.Crashes())
}

// awaitService waits until a job is done.
func (d *deployment) awaitService() {
	id := jobID(d.seed, 98, 0)
	c := d.client()
	if !c.Submit(oneJob(id, 1), 60) {
		d.t.Fatal("the entries do not accept jobs")
	}
	if open := c.Await([]workload.JobID{id}, settled); len(open) > 0 {
		d.t.Fatalf("the first job is not done: %v", open)
	}
}

// load hands jobs in one after another and cancels some of them.
func (d *deployment) load(client int, until time.Time) []workload.JobID {
	rng := rand.New(rand.NewPCG(d.seed, 100+uint64(client)))
	c := d.client()
	var accepted []workload.JobID
	for n := 0; time.Now().Before(until); n++ {
		id := jobID(d.seed, client, n)
		if !c.Submit(oneJob(id, 1+rng.IntN(4)), 4) {
			continue
		}
		accepted = append(accepted, id)
		if rng.IntN(8) == 0 {
			c.Cancel(id)
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	return accepted
}

// crash hands jobs in that crash their workers.
func (d *deployment) crash(until time.Time) []workload.JobID {
	c := d.client()
	var accepted []workload.JobID
	for n := 0; time.Now().Before(until); n++ {
		if id := jobID(d.seed, crashing, n); c.Submit(oneJob(id, 2), 4) {
			accepted = append(accepted, id)
		}
		time.Sleep(crashEvery)
	}
	return accepted
}

// runningOf counts the runs of a job, in the second look if the first falls
// between two lives of a task.
func (d *deployment) runningOf(id workload.JobID) int {
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, s := range d.seats {
			for _, r := range s.life().Running() {
				if r.Task.Job == id {
					n++
				}
			}
		}
		if n == 3 || time.Since(begun) > settled {
			return n
		}
	}
}

func oneJob(id workload.JobID, width int) workload.Job {
	s := workload.Step{Count: width, Need: workload.Resources{CPU: 1500, Memory: 1000}, Estimate: 600 * time.Millisecond}
	next := s
	next.After = []int{0}
	return workload.Job{ID: id, Queue: queue, Payload: "p" + string(id), Steps: []workload.Step{s, next}}
}

// clientOf returns the client of a job of jobID.
func clientOf(id workload.JobID) int {
	var seed, client int
	_, _ = fmt.Sscanf(string(id), "%06x%04x", &seed, &client) // 0 for a job of another form
	return client
}

func jobID(seed uint64, client, n int) workload.JobID {
	return workload.JobID(fmt.Sprintf("%06x%04x%06x", seed&0xffffff, client, n))
}

// keepLogs copies the processes' logs if the seed has failed.
func (d *deployment) keepLogs() {
	if !d.t.Failed() || *keepDir == "" {
		return
	}
	for _, p := range d.all() {
		text, err := os.ReadFile(p.file(".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(*keepDir, fmt.Sprintf("%d-%s.log", d.seed, p.Node)), text, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
}
