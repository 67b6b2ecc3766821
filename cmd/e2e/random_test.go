package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	processSeed  = flag.Uint64("process.seed", 1, "first seed of the randomised runs of real processes")
	processSeeds = flag.Uint64("process.seeds", 1, "number of randomised runs of real processes")
)

const (
	// faultPeriod is the time during which faults are injected, and
	// maxFaultDelay is the maximum time between two faults.
	faultPeriod   = 10 * time.Second
	maxFaultDelay = 600 * time.Millisecond
	// maxFreeze is longer than the leases of agents and of queue shards.
	maxFreeze = 9 * time.Second
	// recoveryDeadline is the timeout of a claim after the faults have ended.
	recoveryDeadline = "5s"
)

// Two entries and three agents are killed, restarted, frozen and disconnected
// from each other and from the store, while claims are lodged and reports run.
// No claim may be lodged twice, no caller may receive a wrong answer, no server
// may have more calls than slots, no task may run in two places at once, and
// each report must be done. A process may fail after any step.
func TestRandomisedProcesses(t *testing.T) {
	for seed := *processSeed; seed < *processSeed+*processSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := startFaultRun(t, seed)
			for end := time.Now().Add(faultPeriod); time.Now().Before(end); {
				c.addLoad()
				c.injectFault()
				time.Sleep(time.Duration(c.rng.Int64N(int64(maxFaultDelay))))
			}
			c.recoverAndVerify()
		})
	}
}

type faultRun struct {
	*claims
	rng       *rand.Rand
	instances []*instance
	lodged    int
	ids       []string
	resumes   sync.WaitGroup
	submits   sync.WaitGroup
}

func startFaultRun(t *testing.T, seed uint64) *faultRun {
	w := newCluster(t)
	w.net = newNetwork(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	c := &faultRun{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range 3 {
		c.instances = append(c.instances, w.startInstance(instanceName(i), object{"lease": "6s", "worker_lease": "1200ms"}))
	}
	c.claims = w.startClaims(c.instances[0], 8)
	for _, i := range c.instances[1:] {
		b := newBlockingServer(8)
		close(b.release)
		c.announceClaims(i, b)
	}
	close(c.server.release)
	return c
}

// addLoad starts some claims, new or repeated ones, and a report.
func (c *faultRun) addLoad() {
	for range 4 {
		kind := []string{"plain", "keyed"}[c.rng.IntN(2)]
		id := c.lodged
		if c.lodged++; kind == "keyed" && c.rng.IntN(2) == 0 {
			id = c.rng.IntN(c.lodged)
		}
		c.lodgeAsync(c.entries[c.rng.IntN(2)], fmt.Sprintf("%s-%d", kind, id), "2s")
	}
	e, body := c.entries[c.rng.IntN(2)], fmt.Sprintf(`{"kind":"grade-report","payload":{"samples":%d,"step":"50ms"}}`, 1+c.rng.IntN(60))
	c.submits.Go(func() {
		r, err := c.try(e, "POST", "/v1/jobs", c.key, body)
		if err == nil && r.status == http.StatusAccepted {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.ids = append(c.ids, jobID(r))
		}
	})
}

func (c *faultRun) injectFault() {
	e, i := c.rng.IntN(2), c.rng.IntN(3)
	span := time.Duration(c.rng.Int64N(int64(maxFreeze)))
	state := []linkState{linkCut, linkHeld, linkAnswersHeld, linkUp, linkUp}[c.rng.IntN(5)]
	switch c.rng.IntN(7) {
	case 0:
		c.restart(c.entries[e], func(p *process) { c.entries[e] = c.restartEntry(p) })
	case 1:
		c.restart(c.instances[i].process, func(*process) {
			c.instances[i] = c.restartAgent(c.instances[i])
			c.agents = append(c.agents, c.instances[i].process)
		})
	case 2:
		c.freeze(c.entries[e], span)
	case 3:
		c.freeze(c.instances[i].process, span)
	case 4:
		c.net.set(state, c.linksOf(c.instances[i].name, []string{c.entries[e].name})...)
	case 5:
		c.net.set(state, c.linksOf(c.instances[i].name, []string{toTable, toObjects})...)
	case 6:
		c.net.set(state, link{c.entries[e].name, toTable}, link{c.entries[e].name, toObjects})
	}
}

// restart kills a process and calls start to start it again.
func (c *faultRun) restart(p *process, start func(*process)) {
	p.signal(c.t, syscall.SIGKILL)
	p.wait(c.t)
	start(p)
}

// freeze stops a process (SIGSTOP) for span, unless the process is killed
// before.
func (c *faultRun) freeze(p *process, span time.Duration) {
	p.signal(c.t, syscall.SIGSTOP)
	c.resumes.Go(func() {
		select {
		case <-p.ended:
		case <-time.After(span):
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
	})
}

// recoverAndVerify ends all faults and checks the results of the run.
func (c *faultRun) recoverAndVerify() {
	c.resumes.Wait()
	c.net.heal()
	c.submits.Wait()
	c.calls.Wait()
	for i, e := range c.entries {
		c.eventually("claims are lodged again at "+e.name, func() bool {
			c.lodged++
			return c.lodge(e, fmt.Sprintf("plain-%d-%d", c.lodged, i), recoveryDeadline).status == 200
		})
	}
	c.repeatKeyed(c.entries[0])
	c.verify()
	for _, id := range c.ids {
		c.eventually("report "+id+" is done", func() bool { return c.state(c.entries[1], c.key, id) == "done" })
	}
	c.t.Logf("%d claims under %d names, %d reports", c.lodged, len(c.received), len(c.ids))
	c.checkAll()
}

// restartEntry starts a new entry at the addresses of one that has ended.
func (w *cluster) restartEntry(old *process) *process {
	w.t.Helper()
	config := old.config
	config["http"] = object{"listen": old.http}
	config["rpc"] = object{"listen": old.rpc}
	return w.startAt(old.relay, "persimmonrock", old.name, []string{"entry"}, config)
}
