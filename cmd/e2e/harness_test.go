package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/cmd/node"
	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/structs"
)

// waitTimeout bounds every wait for a condition.
const waitTimeout = 30 * time.Second

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

func build(t *testing.T) string {
	t.Helper()
	binaries.once.Do(func() {
		if binaries.dir, binaries.err = os.MkdirTemp("", "persimmonrock"); binaries.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", binaries.dir, "persimmonrock.example/cmd/persimmonrock", "persimmonrock.example/cmd/persimmonrock-agent").CombinedOutput()
		if err != nil {
			binaries.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return binaries.dir
}

// process is one running binary.
type process struct {
	name      string
	cmd       *exec.Cmd
	http, rpc string
	config    object
	// relay forwards to rpc, if the test has a network.
	relay *relay
	mu    sync.Mutex
	log   bytes.Buffer
	ended chan struct{}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
}

func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end; its log:\n%s", p.name, p.logText())
		return 0
	}
}

// address returns the address at which other processes reach the process.
func (p *process) address() string {
	if p.relay != nil {
		return p.relay.address()
	}
	return p.rpc
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// cluster holds the platform's stand-ins, the backend servers and the processes
// of a test.
type cluster struct {
	t        *testing.T
	table    *memory.Table
	objects  *memory.Objects
	registry *memory.RunRegistry
	lodged   *sample.Submissions
	operator string
	secret   string
	entries  []*process
	agents   []*process
	ctx      context.Context
	// net has a relay for each link; nil unless the test breaks links.
	net *network
	// entryOverrides are added to the entries' default settings.
	entryOverrides object
}

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &cluster{
		t: t, table: memory.NewTable(), objects: memory.NewObjects(), registry: memory.NewRunRegistry(zerolog.Nop()),
		lodged: sample.NewSubmissions(), operator: keys.Generate(), secret: "a secret of the test's processes", ctx: ctx,
	}
}

// store serves the table and the object store to one process, so that a test
// can cut off that process alone.
func (w *cluster) store() (url string, control *fault.Control) {
	control = fault.NewControl(1)
	s := httptest.NewServer(remote.Handler(fault.NewTable(w.table, control), fault.NewObjects(w.objects, control)))
	w.t.Cleanup(s.Close)
	return s.URL, control
}

func (w *cluster) start(binary, name string, args []string, config any) *process {
	w.t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.t.TempDir(), "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
	p := &process{name: name, ended: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(build(w.t), binary), append(args, "-settings", path)...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	if w.net != nil {
		w.net.mu.Lock()
		w.net.pids[p.cmd.Process.Pid] = name
		w.net.mu.Unlock()
	}
	w.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if w.t.Failed() {
			w.t.Logf("log of %s:\n%s", name, p.logText())
		}
	})
	started := make(chan struct{})
	go p.readLog(stderr, started)
	select {
	case <-started:
	case <-p.ended:
		w.t.Fatalf("%s ended at its start:\n%s", name, p.logText())
	case <-time.After(waitTimeout):
		w.t.Fatalf("%s did not start:\n%s", name, p.logText())
	}
	return p
}

// readLog stores the process's log and reads the addresses from the log line of
// the start.
func (p *process) readLog(stderr io.Reader, started chan struct{}) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		fmt.Fprintln(&p.log, lines.Text())
		p.mu.Unlock()
		var line struct{ Message, HTTP, RPC string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.RPC != "" && p.rpc == "" {
			p.http, p.rpc = line.HTTP, line.RPC
			close(started)
		}
	}
	_ = p.cmd.Wait()
	close(p.ended)
}

type object = map[string]any

const anyPort = "127.0.0.1:0"

// relayedURL returns the URL at which one process reaches a service: that of a
// relay, or url itself in a cluster without relays.
func (w *cluster) relayedURL(from, service, url string) string {
	if w.net == nil {
		return url
	}
	r := w.net.listen(from, service)
	r.setTarget(strings.TrimPrefix(url, "http://"))
	return "http://" + r.address()
}

// startAt starts a process behind the relay r, or behind a new one if r is nil.
func (w *cluster) startAt(r *relay, binary, name string, args []string, config object) *process {
	w.t.Helper()
	if w.net != nil && r == nil {
		r = w.net.listen("", name)
	}
	if r != nil {
		listen := config["rpc"].(object)["listen"]
		config["rpc"] = object{"listen": listen, "advertise": r.address()}
	}
	p := w.start(binary, name, args, config)
	p.relay, p.config = r, config
	if r != nil {
		r.setTarget(p.rpc)
	}
	return p
}

func (w *cluster) startEntry(id string) (*process, *fault.Control) {
	url, control := w.store()
	others := []string{}
	for _, e := range w.entries {
		others = append(others, e.address())
	}
	config := object{
		"id": id, "data_centre": "dc-1", "http": object{"listen": anyPort}, "rpc": object{"listen": anyPort},
		"peers": object{"secret": w.secret}, "platform": object{"table": w.relayedURL(id, toTable, url), "objects": w.relayedURL(id, toObjects, url)},
		"operator_key_hashes": []string{keys.Hash(w.operator)}, "entries": others, "shard_lease": "2s", "agent_scan": "500ms",
	}
	maps.Copy(config, w.entryOverrides)
	p := w.startAt(nil, "persimmonrock", id, []string{"entry"}, config)
	w.entries = append(w.entries, p)
	return p, control
}

// Names of the platform's services in links.
const (
	toTable   = "table"
	toObjects = "objects"
	toWorker  = "worker"
)

// instance is one agent with its worker and backend servers.
type instance struct {
	*process
	control *fault.Control
	worker  string
}

func (w *cluster) startInstance(id string, overrides object) *instance {
	url, control := w.store()
	worker := httptest.NewServer(remote.WorkerHandler(memory.NewWorker(memory.WorkerOptions{
		Instance: structs.InstanceID(id), Registry: w.registry,
		Kinds: map[structs.Kind]memory.Program{sample.GradeReport: sample.Report},
	})))
	w.t.Cleanup(worker.Close)
	seeds := []string{}
	for _, e := range w.entries {
		seeds = append(seeds, e.address())
	}
	config := object{
		"instance": id, "data_centre": "dc-1", "http": object{"listen": anyPort}, "rpc": object{"listen": anyPort},
		"peers": object{"secret": w.secret}, "entries": seeds, "total": object{"slots": 8, "connections": 60},
		"platform": object{"table": w.relayedURL(id, toTable, url), "objects": w.relayedURL(id, toObjects, url), "worker": w.relayedURL(id, toWorker, worker.URL)},
	}
	maps.Copy(config, overrides)
	i := &instance{process: w.startAt(nil, "persimmonrock-agent", id, nil, config), control: control, worker: worker.URL}
	w.agents = append(w.agents, i.process)
	return i
}

// announce starts a backend server beside the instance's agent.
func (w *cluster) announce(i *instance, service structs.Service, idempotent bool, slots int, h http.Handler) *node.Backend {
	w.t.Helper()
	b, err := node.StartBackend(w.ctx, "http://"+i.http, service, idempotent, slots, h)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { b.HTTP.Close() })
	return b
}

type response struct {
	status int
	header http.Header
	body   []byte
}

func (r response) String() string { return fmt.Sprintf("%d %s", r.status, r.body) }

var client = &http.Client{Timeout: waitTimeout}

func (w *cluster) try(p *process, method, path, key, body string, header ...string) (response, error) {
	request, err := http.NewRequest(method, "http://"+p.http+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	answer, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, text}, err
}

func (w *cluster) do(p *process, method, path, key, body string, header ...string) response {
	w.t.Helper()
	r, err := w.try(p, method, path, key, body, header...)
	if err != nil {
		w.t.Fatalf("%s %s at %s: %v", method, path, p.name, err)
	}
	return r
}

// contract creates a contract and returns the customer's key once every entry
// has the contract.
func (w *cluster) contract(customer string, share float64) string {
	w.t.Helper()
	key := keys.Generate()
	body, _ := json.Marshal(object{"latency_target": "2s", "batch_queue": 100000, "share": share, "key_hashes": []string{keys.Hash(key)}})
	if r := w.do(w.entries[0], "PUT", "/v1/admin/contracts/"+customer, w.operator, string(body)); r.status != 200 {
		w.t.Fatalf("contract: %s", r)
	}
	for _, e := range w.entries {
		w.eventually("the contract is in force at "+e.name, func() bool {
			return w.do(e, "GET", "/v1/jobs", key, "").status == 200
		})
	}
	return key
}

func (w *cluster) eventually(what string, condition func() bool) {
	w.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(end) {
			w.t.Fatalf("not within %s: %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// state returns the state of a job, or "" while it can't be read.
func (w *cluster) state(p *process, key, id string) string {
	r, err := w.try(p, "GET", "/v1/jobs/"+id, key, "")
	if err != nil {
		return ""
	}
	var job struct{ State string }
	_ = json.Unmarshal(r.body, &job)
	return job.State
}

func (w *cluster) submit(p *process, key, body string) string {
	w.t.Helper()
	var id string
	var r response
	defer func() {
		if w.t.Failed() {
			w.t.Logf("answer to the last submission: %s", r)
		}
	}()
	w.eventually("a job is accepted", func() bool {
		r = w.do(p, "POST", "/v1/jobs", key, body, "Idempotency-Key", "")
		id = jobID(r)
		return r.status == 202
	})
	return id
}

// jobID reads the ID of a job from the answer to its submission.
func jobID(r response) string {
	var job struct{ ID string }
	_ = json.Unmarshal(r.body, &job)
	return job.ID
}
