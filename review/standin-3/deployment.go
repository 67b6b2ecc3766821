package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	entries   = 2
	minions   = 10
	service   = "huvo11a"
	firstPort = 27720
	workPort  = 28165
	storePort = 28169
	metrics   = 9464 // fixed by the programs

	clientDeadline = 3 * time.Second
	clientTries    = 5
	readyTime      = 20 * time.Second
)

var queue = workload.Queue{Name: "grade-report", Service: service, Priority: 2, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}

// deployment is a small deployment: entries, agents with their minions, and the
// platform's store. Each machine has an address of its own in 127.0.0.0/8.
type deployment struct {
	log     *record
	dir     string
	network string
	store   *memstore.Store
	entries []standin.Machine
	sites   []*site
	http    *http.Client

	mu        sync.Mutex
	processes []*exec.Cmd
}

func newDeployment(log *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{log: log, dir: dir, store: memstore.New(rand.Uint64()), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	for range 100 {
		d.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if d.free() {
			return d, nil
		}
	}
	return nil, errors.New("no loopback network with free ports")
}

// free reports whether the ports of all machines are free.
func (d *deployment) free() bool {
	var addresses []string
	for n := range entries + minions {
		ip := d.ip(n)
		for _, port := range []int{firstPort, firstPort + 1, firstPort + 2, firstPort + 3, workPort, storePort, metrics} {
			addresses = append(addresses, fmt.Sprintf("%s:%d", ip, port))
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// ip is the address of a machine: first the entries, then the agents.
func (d *deployment) ip(n int) string { return fmt.Sprintf("%s.%d", d.network, 1+n) }

// start starts all machines and waits until the entries accept work.
func (d *deployment) start() error {
	config, err := standin.Config(17, queue)
	if err != nil {
		return err
	}
	if err := d.store.ApplyNow(config); err != nil {
		return err
	}
	for n := range entries {
		m := standin.Machine{Node: fmt.Sprintf("edge-%d", n+1), IP: d.ip(n), Port: firstPort, Cores: 0.4, MemoryMB: 284, MaxDescriptors: 4100}
		d.entries = append(d.entries, m)
		if err := d.startProcess(m, "target/persimmonrock", "entry", "-scheduling", "deploy/scheduling.hujson"); err != nil {
			return err
		}
	}
	for n := range minions {
		m := standin.Machine{Node: fmt.Sprintf("side-%d", n+1), IP: d.ip(entries + n), Port: firstPort, Cores: 0.24, MemoryMB: 152, MaxDescriptors: 4096}
		m.Worker = fmt.Sprintf("%s:%d", m.IP, workPort)
		if err := d.startProcess(m, "target/persimmonrock-agent"); err != nil {
			return err
		}
		s := &site{log: d.log, number: n + 1, address: m.Worker, reports: m.Reports(), labels: []string{"a", fmt.Sprintf("r1-%d", 1+n/3)}}
		if n == minions-1 {
			s.labels = append(s.labels, kindB)
		}
		d.sites = append(d.sites, s)
		if err := s.start(); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// kindB is a label that only the last minion has.
const kindB = "b"

// startProcess starts a program on a machine, with its own way to the store.
func (d *deployment) startProcess(m standin.Machine, command ...string) error {
	m.Store = fmt.Sprintf("%s:%d", m.IP, storePort)
	l, err := net.Listen("tcp", m.Store)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, standin.StoreHandler(d.store.Client(m.Node))) }() // ends with the process
	text, err := m.Settings()
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, m.Node+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.dir, m.Node+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	c := exec.Command(command[0], command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, standin.Environment(path)}
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.processes = append(d.processes, c)
	d.mu.Unlock()
	d.log.add("process %d: %s on %s (%s)", c.Process.Pid, strings.Join(command, " "), m.Node, m.IP)
	return nil
}

// awaitReady waits until a job with a task for each minion has run through each entry.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(readyTime)
	for n := range entries {
		j := workload.Job{ID: newID(), Payload: "the first job", Steps: []workload.Step{{
			Count: minions, Spread: 1, Need: workload.Resources{CPU: 7000, Memory: 13000}, Estimate: shortWork,
		}}}
		c := &standin.Client{Address: d.entries[n].Clients(), HTTP: d.http}
		for accepted, done := false, false; !done; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return errors.New("the first jobs have not run")
			}
			ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
			if !accepted {
				accepted = c.Submit(ctx, queue, j) == nil
			} else if s, err := c.State(ctx, queue, j.ID); err == nil {
				done = s == workload.Completed
			}
			cancel()
		}
	}
	d.log.add("all entries are ready")
	return nil
}

// end ends all processes that the deployment has started.
func (d *deployment) end() {
	for _, s := range d.sites {
		s.close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func newID() workload.JobID { return workload.JobID(fmt.Sprintf("%016x", rand.Uint64())) }

// submit hands in the job of a file, with a client's retries at the other entries. The
// fields replace those of the file.
func (d *deployment) submit(path string, fields map[string]any) (workload.JobID, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var job map[string]any
	if err := json.Unmarshal(text, &job); err != nil {
		return "", err
	}
	for k, v := range fields {
		job[k] = v
	}
	if text, err = json.Marshal(job); err != nil {
		return "", err
	}
	id := newID()
	for n := range clientTries {
		status, answer, err := d.post(d.entries[n%entries].Clients(), id, text)
		d.log.add("POST %s at edge-%d: %s -> %d %s %v", id, n%entries+1, text, status, answer, err)
		if status == http.StatusOK {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, errors.New("the job was not accepted")
}

func (d *deployment) post(address string, id workload.JobID, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+standin.Prefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// state asks an entry for a job's state.
func (d *deployment) state(n int, id workload.JobID) (workload.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	c := &standin.Client{Address: d.entries[n].Clients(), HTTP: d.http}
	return c.State(ctx, queue, id)
}

// follow asks all entries for the job's state until it is final or until end, records
// changes, and returns the last state.
func (d *deployment) follow(id workload.JobID, end time.Time) workload.State {
	var shown workload.State
	for time.Now().Before(end) && !shown.Final() {
		for n := range entries {
			if s, err := d.state(n, id); err == nil && s != shown {
				d.log.add("GET %s at edge-%d: %s", id, n+1, s)
				shown = s
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return shown
}
