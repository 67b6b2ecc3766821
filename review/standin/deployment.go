package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	serviceName  = "grade-svc"
	hostCPU      = 64000
	hostMemory   = 256000
	restartDelay = 300 * time.Millisecond
	// settleTime is the time for agents and minions to be known to the scheduler.
	settleTime = 4 * time.Second
)

var queue = workload.Queue{Name: "quick", Service: serviceName, MaxAttempts: 4, Stretch: 1.5, TargetLatency: 250 * time.Millisecond}

// deployment is a small deployment: the project's programs as processes, the
// platform's store and the minions as stand-ins.
type deployment struct {
	rec     *record
	dir     string
	net     string
	port    int
	store   *store
	hosts   []*minionHost
	entries []*process
	agents  []*process
}

// process is a program on a machine. It is restarted when it exits.
type process struct {
	standin.Machine
	rec  *record
	args []string
	dir  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	done   chan struct{}
}

func (p *process) supervise() {
	defer close(p.done)
	log, err := os.OpenFile(filepath.Join(p.dir, p.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer log.Close()
	for {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env = []string{standin.Environment(filepath.Join(p.dir, p.Node+".json")), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = log, log
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			p.rec.say("%s doesn't start: %v", p.Node, err)
			return
		}
		err = cmd.Wait()
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if !closed {
			p.rec.say("process %s ends: %v", p.Node, err)
		}
		time.Sleep(restartDelay)
	}
}

func (p *process) stop() {
	p.mu.Lock()
	p.closed = true
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}

func (d *deployment) address(host, offset int) string {
	return fmt.Sprintf("%s.%d:%d", d.net, host, d.port+offset)
}

func (d *deployment) launch(name string, host int, cores float64, worker string, args ...string) (*process, error) {
	p := &process{
		Machine: standin.Machine{Node: name, IP: fmt.Sprintf("%s.%d", d.net, host), Port: d.port, Cores: cores, Store: d.address(200, 0), Worker: worker},
		rec:     d.rec, args: args, dir: d.dir, done: make(chan struct{}),
	}
	text, err := p.Settings()
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(d.dir, name+".json"), text, 0o600); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

// deploy starts the store, the minions and the programs, and waits until all
// entries serve clients.
func deploy(rec *record, entries, minions int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)), port: 20000 + 10*rand.IntN(1000), store: newStore(rec)}
	config, err := standin.Config(3, queue)
	if err != nil {
		return d, err
	}
	if err := d.store.rows.ApplyNow(config); err != nil {
		return d, err
	}
	l, err := net.Listen("tcp", d.address(200, 0))
	if err != nil {
		return d, err
	}
	go (&http.Server{Handler: d.store.handler()}).Serve(l)
	for n := range entries {
		p, err := d.launch(fmt.Sprintf("edge-%d", n+1), 1+n, 0.4, "", "target/persimmonrock", "entry", "-scheduling", "deploy/scheduling.hujson")
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, p)
	}
	for n := range minions {
		h := &minionHost{rec: rec, name: fmt.Sprint(n + 1), rack: fmt.Sprintf("r1-%d", n/3+1), address: d.address(101+n, 4)}
		p, err := d.launch(fmt.Sprintf("side-%d", n+1), 101+n, 0.24, h.address, "target/persimmonrock-agent")
		if err != nil {
			return d, err
		}
		d.agents = append(d.agents, p)
		h.reports = p.Reports()
		if err := h.start(); err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, d.awaitEntries(15 * time.Second)
}

// awaitEntries waits until each entry tells of a job that it doesn't exist.
func (d *deployment) awaitEntries(limit time.Duration) error {
	end := time.Now().Add(limit)
	for n := range d.entries {
		for d.state(n, string(newID())) != "no such job" {
			if time.Now().After(end) {
				return fmt.Errorf("not all entries serve clients after %v", limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	var group sync.WaitGroup
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		group.Go(p.stop)
	}
	group.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
