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
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	entries  = 4
	minions  = 10
	service  = "s"
	port     = 27720
	workPort = 28165
	dataPort = 28169

	clientDeadline = 3 * time.Second
	clientTries    = 5
	readyTime      = 20 * time.Second
)

var queue = workload.Queue{Name: "grade-report", Service: service, Priority: 2, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}

// deployment is a small deployment: 4 entries, 10 agents with their minions, and
// the platform's store. Each machine has an address of its own in 127.0.0.0/8.
type deployment struct {
	log     *record
	dir     string
	network string
	store   *memstore.Store
	fleet   *fleet
	entries []standin.Machine
	minions []*minion

	mu        sync.Mutex
	processes []*exec.Cmd
}

func deploy(log *record) (*deployment, error) {
	d := &deployment{
		log: log, network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), store: memstore.New(1),
		fleet: &fleet{begun: map[workload.JobID]bool{}, gangs: map[string][]*run{}},
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return d, err
	}
	config, err := standin.Config(17, queue)
	if err != nil {
		return d, err
	}
	if err := d.store.ApplyNow(config); err != nil {
		return d, err
	}
	for n := range entries {
		m := standin.Machine{Node: fmt.Sprintf("entry-%d", n+1), IP: fmt.Sprintf("%s.%d", d.network, 1+n), Port: port, Cores: 0.4}
		d.entries = append(d.entries, m)
		if err := d.startProcess(m, "target/persimmonrock", "entry", "-scheduling", "deploy/scheduling.hujson"); err != nil {
			return d, err
		}
	}
	for n := range minions {
		if err := d.startMachine(n); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// startMachine starts an agent and its minion. The first minion is the only one of
// its kind.
func (d *deployment) startMachine(n int) error {
	m := standin.Machine{Node: fmt.Sprintf("agent-%d", n+1), IP: fmt.Sprintf("%s.%d", d.network, 101+n), Port: port, Cores: 0.24}
	m.Worker = fmt.Sprintf("%s:%d", m.IP, workPort)
	if err := d.startProcess(m, "target/persimmonrock-agent"); err != nil {
		return err
	}
	kind := "a"
	if n == 0 {
		kind = "b"
	}
	x := &minion{log: d.log, fleet: d.fleet, info: workload.Worker{
		ID: workload.WorkerID(fmt.Sprintf("i-%02d", n+1)), Service: service, Labels: []string{kind, fmt.Sprintf("r1-%d", 1+n/3)},
		Capacity: workload.Resources{CPU: 64000, Memory: 256000},
	}}
	d.minions = append(d.minions, x)
	return x.start(m.Worker, m.Reports())
}

// startProcess starts a program on a machine, with its own way to the store.
func (d *deployment) startProcess(m standin.Machine, command ...string) error {
	m.Store = fmt.Sprintf("%s:%d", m.IP, dataPort)
	l, err := net.Listen("tcp", m.Store)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, standin.StoreHandler(d.store.Client(m.Node))) }()
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
	d.log.add("process %d: %v on %s (%s)", c.Process.Pid, command, m.Node, m.IP)
	return nil
}

// awaitReady waits until each entry has taken a job, and all these have run.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(readyTime)
	for n := range entries {
		j := workload.Job{ID: newID(), Payload: "gang of 1, work of 300 ms", Steps: []workload.Step{{Count: minions, Need: workload.Resources{CPU: 7000, Memory: 13000}}}}
		for accepted, done := false, false; !done; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return errors.New("the first jobs haven't run")
			}
			ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
			c := &standin.Client{Address: d.entries[n].Clients(), HTTP: http.DefaultClient}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	d.processes = nil
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("logs:", d.dir)
}

func newID() workload.JobID { return workload.JobID(fmt.Sprintf("%016x", rand.Uint64())) }

// submit hands in the job of a file as it stands there, with a client's retries at
// the other entries.
func (d *deployment) submit(path string) (workload.JobID, bool) {
	body, err := os.ReadFile(path)
	if err != nil {
		d.log.add("%v", err)
		return "", false
	}
	id := newID()
	for n := range clientTries {
		status, _ := d.call(n, http.MethodPost, string(id), bytes.Join(bytes.Fields(body), []byte(" ")))
		if status == http.StatusOK {
			return id, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}

// call makes a client's call of an entry; the status is 0 without an answer.
func (d *deployment) call(n int, method, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.entries[n%entries].Clients()+standin.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = standin.Host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.log.add("client: %s %s at entry %d: %v", method, id, n%entries+1, err)
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.log.add("client: %s %s%s %s at entry %d: %d %s", method, standin.Prefix, id, body, n%entries+1, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, text
}

// waiting is the number of waiting jobs that an entry gives, or -1.
func (d *deployment) waiting(n int) int {
	_, text := d.call(n, http.MethodGet, "", nil)
	a := struct {
		Waiting *int `json:"waiting"`
	}{}
	if json.Unmarshal(text, &a) != nil || a.Waiting == nil {
		return -1
	}
	return *a.Waiting
}

// runsOf is the number of a job's runs on all minions.
func (d *deployment) runsOf(id workload.JobID) int {
	n := 0
	for _, m := range d.minions {
		n += m.runsOf(id)
	}
	return n
}
