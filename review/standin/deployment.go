package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName  = "grade-svc"
	queueHost    = "grades.example"
	queuePrefix  = "/quick/"
	restartDelay = 300 * time.Millisecond
)

// deployment is a small deployment with the bounds of gnac-sched: the project's
// programs as processes, the platform's store and the minions as stand-ins.
type deployment struct {
	rec     *record
	dir     string
	net     string
	port    int
	store   *store
	hosts   []*minionHost
	entries []*process
	agents  []*process
	clients int
}

// process is a program on a machine. It is restarted when it exits.
type process struct {
	rec  *record
	name string
	ip   string
	port int
	args []string
	dir  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	done   chan struct{}
}

func (p *process) address(n int) string { return fmt.Sprintf("%s:%d", p.ip, p.port+n) }

func (p *process) peers() string   { return p.address(0) }
func (p *process) front() string   { return p.address(1) }
func (p *process) ready() string   { return p.address(2) }
func (p *process) control() string { return p.address(3) }

func (p *process) supervise() {
	defer close(p.done)
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer log.Close()
	for {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env = []string{"PERSIMMONROCK_BOOT=" + filepath.Join(p.dir, p.name+".json"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
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
			p.rec.say("%s doesn't start: %v", p.name, err)
			return
		}
		err = cmd.Wait()
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if !closed {
			p.rec.say("process %s ends: %v", p.name, err)
		}
		time.Sleep(restartDelay)
	}
}

func (p *process) stop() {
	p.mu.Lock()
	p.closed = true
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}

// settings of a process, as DEPLOY.md shows them, with the bounds of gnac-sched.
func (d *deployment) settings(p *process, class, app string) []byte {
	listen := map[string]string{"front": p.front(), "ready": p.ready()}
	serves := []string{"edge"}
	if class == "side" {
		listen = map[string]string{"control": p.control()}
		serves = []string{"side"}
	}
	share, memory := 0.4, 284
	if class == "side" {
		share, memory = 0.24, 152
	}
	s := map[string]any{
		"node-name": p.name, "role": class, "machine-class": class, "serves": serves, "ip": p.ip, "zone": "barre-hall", "region": "nne",
		"zones": map[string]string{"barre-hall": "nne"}, "listen": listen, "port-range": []int{p.port, p.port + 2}, "seeds": []string{}, "bootstrap": true, "loss-counts": false,
		"limits":   map[string]any{"cpu-share": share, "cores": 1, "memory-mb": memory, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "local", "entry": "vip", "heartbeat-ms": beatEvery.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "recovery-s": 12, "max-hold-ms": 10000, "stop-ms": 200, "gang-ms": 3000,
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far-factor": 1.5, "checkpoint-s": 1, "restore-ms": 250,
			"notice-ms": 4500, "move-s": 1.5, "maintenance-s": 2, "require-fencing": false, "lease-ms": 3000, "thaw-ms": 300, "pace-ms": 100, "harm-ms": 4000,
		},
		"orders": "call",
		"platform": map[string]any{
			"address": d.address(200, 0), "form": "table", "writes-per-s": 800, "reads-per-s": 2000, "tx-ms": 8.0, "part-writes-s": 150, "row-bytes": rowBytes,
			"across": false, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-s": 80.0,
		},
	}
	if app != "" {
		s["app"], s["service"] = app, serviceName
	}
	text, _ := json.Marshal(s)
	return text
}

func (d *deployment) address(host, offset int) string {
	return fmt.Sprintf("%s.%d:%d", d.net, host, d.port+offset)
}

func (d *deployment) launch(name, class string, host int, app string, args ...string) (*process, error) {
	p := &process{rec: d.rec, name: name, ip: fmt.Sprintf("%s.%d", d.net, host), port: d.port, args: args, dir: d.dir, done: make(chan struct{})}
	if err := os.WriteFile(filepath.Join(d.dir, name+".json"), d.settings(p, class, app), 0o600); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

// deploy starts the store, the minions and the programs, and waits until an
// entry is ready and all minions are known.
func deploy(rec *record, entries, minions int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)), port: 20000 + 10*rand.IntN(1000)}
	d.store = newStore(rec)
	d.store.put("op", "config", map[string]any{
		"version": 3, "limits": map[string]int{"max-body-bytes": 262144, "max-header-bytes": 16384},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "enforces-capacity": false, "max-conns": 64}},
		"routes": []map[string]any{{
			"name": "quick", "host": queueHost, "path-prefix": queuePrefix, "service": serviceName, "priority": 0, "max-attempts": 2,
			"stretch": 1.5, "target-latency-ms": 250, "timeout-ms": 3000, "route-type": "non_idempotent",
		}},
	})
	l, err := net.Listen("tcp", d.address(200, 0))
	if err != nil {
		return nil, err
	}
	go (&http.Server{Handler: d.store.handler()}).Serve(l)
	for n := range entries {
		p, err := d.launch(fmt.Sprintf("edge-%d", n+1), "edge", 1+n, "", "target/persimmonrock", "entry", "-scheduling", "deploy/scheduling.hujson")
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, p)
	}
	for n := range minions {
		h := &minionHost{rec: rec, name: fmt.Sprintf("%d", n+1), zone: "barre-hall", rack: fmt.Sprintf("r1-%d", n/3+1), room: capacity{64000, 256000, 0}, address: d.address(101+n, 4), control: d.address(101+n, 3)}
		if err := h.start(); err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
		p, err := d.launch(fmt.Sprintf("side-%d", n+1), "side", 101+n, h.address, "target/persimmonrock-agent")
		if err != nil {
			return d, err
		}
		d.agents = append(d.agents, p)
	}
	return d, d.awaitReady(15 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, e := range d.entries {
			if resp, err := http.Get("http://" + e.ready() + "/readiness"); err == nil {
				if resp.StatusCode == http.StatusOK {
					ready++
				}
				resp.Body.Close()
			}
		}
		if ready == len(d.entries) {
			time.Sleep(4 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all entries are ready after %v", limit)
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
