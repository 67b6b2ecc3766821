//go:build crowd

package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	// memoryMB and maxDescriptors are the limits of a small machine, manyDescriptors
	// those of one with more connections than memory.
	memoryMB        = 96
	maxDescriptors  = 600
	manyDescriptors = 4100
	// sampleInterval is the time between two samples of a process's usage.
	sampleInterval = 50 * time.Millisecond
	// patience bounds each wait of a test for something that must happen.
	patience = 60 * time.Second
	// callTimeout bounds one attempt of an ordinary call.
	callTimeout = 5 * time.Second
	// firstPort is the first port of each process; each has its own IP address.
	firstPort = 21900
)

var (
	queue  = workload.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
	limits = standin.RequestLimits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, Header: 3 * time.Second, Idle: 15 * time.Second}
)

// entryProgram is the path of the built program.
var entryProgram string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	entryProgram = filepath.Join(dir, "persimmonrock")
	out, err := exec.Command("go", "build", "-o", entryProgram, "persimmonrock.example/cmd/persimmonrock").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// entry is a process that serves clients, and the most that it has used.
type entry struct {
	standin.Machine
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	// ordinary makes one attempt at an ordinary call.
	ordinary func() error
	jobs     int

	mu      sync.Mutex
	memory  int64
	sockets int
}

// startEntries starts entries with a store of their own and waits until each of
// them serves an ordinary call.
func startEntries(t *testing.T, n, descriptors int) []*entry {
	store := memstore.New(1)
	config, err := standin.ConfigWithLimits(7, queue, limits)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Client("operator").Apply(t.Context(), config); err != nil {
		t.Fatal(err)
	}
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	var entries []*entry
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		server := httptest.NewServer(standin.StoreHandler(store.Client(name)))
		t.Cleanup(server.Close)
		entries = append(entries, startEntry(t, standin.Machine{
			Node: name, IP: fmt.Sprintf("%s.%d", network, 1+i), Port: firstPort, Cores: 0.4,
			MemoryMB: memoryMB, MaxDescriptors: descriptors, Store: strings.TrimPrefix(server.URL, "http://"),
		}))
	}
	for _, e := range entries {
		e.mustServe("before the crowd")
	}
	return entries
}

// startEntry starts an entry with the settings of a machine.
func startEntry(t *testing.T, m standin.Machine) *entry {
	text, err := m.Settings()
	if err != nil {
		t.Fatal(err)
	}
	path := writeSettings(t, text)
	e := &entry{Machine: m, t: t, cmd: exec.Command(entryProgram, "entry")}
	e.cmd.Env = []string{standin.Environment(path)}
	e.ordinary = e.submit
	e.start()
	return e
}

func writeSettings(t *testing.T, text []byte) (path string) {
	path = filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// start starts the process and samples its usage until its end.
func (e *entry) start() {
	t, m := e.t, e.Machine
	e.exited = make(chan struct{})
	e.cmd.Env = append(e.cmd.Env, "GOMAXPROCS=1") // the machine has one core
	var log strings.Builder
	e.cmd.Stdout, e.cmd.Stderr = &log, &log
	if err := e.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// The machine's limit on descriptors holds for the process, too.
	limit := &unix.Rlimit{Cur: uint64(m.MaxDescriptors), Max: uint64(m.MaxDescriptors)}
	if err := unix.Prlimit(e.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = e.cmd.Wait() // check fails on an exit before the end of the test
		close(e.exited)
	}()
	go e.sampleUsage()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill() // fails only if the process has exited
		<-e.exited
		if t.Failed() {
			t.Logf("last lines of %s:\n%s", m.Node, lastLines(log.String(), 10))
		}
	})
}

func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// sampleUsage keeps the maxima of the process's usage until it exits.
func (e *entry) sampleUsage() {
	for {
		select {
		case <-e.exited:
			return
		case <-time.After(sampleInterval):
			e.sample()
		}
	}
}

// sample takes one sample. Bytes that the process has received and not read
// count as its memory.
func (e *entry) sample() {
	memory := e.statusKB("VmRSS:")<<10 + e.unreadBytes()
	peak := e.statusKB("VmHWM:") << 10
	sockets := e.openSockets()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory, e.sockets = max(e.memory, memory, peak), max(e.sockets, sockets)
}

// statusKB returns a figure of the process's status in kilobytes, 0 if it has
// exited.
func (e *entry) statusKB(name string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid)) // unreadable once the process has exited
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb
		}
	}
	return 0
}

func (e *entry) openSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid)
	names, _ := os.ReadDir(dir) // unreadable once the process has exited
	n := 0
	for _, name := range names {
		if target, err := os.Readlink(filepath.Join(dir, name.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// unreadBytes returns the bytes that wait at the address for clients.
func (e *entry) unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	ip := net.ParseIP(e.IP).To4()
	_, port, _ := net.SplitHostPort(e.Clients())
	n, _ := strconv.Atoi(port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n)
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) < 5 || f[1] != local || f[3] == "0A" {
			continue // another socket, or one that listens
		}
		_, queued, _ := strings.Cut(f[4], ":")
		bytes, _ := strconv.ParseInt(queued, 16, 64)
		total += bytes
	}
	return total
}

// check fails the test if the process has ended or has left its bounds.
func (e *entry) check() {
	e.t.Helper()
	select {
	case <-e.exited:
		e.t.Errorf("%s has ended: %v", e.Node, e.cmd.ProcessState)
	default:
	}
	e.sample()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.t.Logf("%s: at most %d MB and %d sockets", e.Node, e.memory>>20, e.sockets)
	if e.memory > int64(e.MemoryMB)<<20 {
		e.t.Errorf("%s used %d MB of memory, more than the %d MB of its machine", e.Node, e.memory>>20, e.MemoryMB)
	}
	if limit := e.MaxDescriptors - standin.FileDescriptors; e.sockets > limit {
		e.t.Errorf("%s had %d sockets open, more than the %d of its machine", e.Node, e.sockets, limit)
	}
}

// nextJob returns the identifier of a new job.
func (e *entry) nextJob() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs++
	ip := net.ParseIP(e.IP).To4()
	return fmt.Sprintf("%02x%02x%012x", ip[2], ip[3], e.jobs)
}

// mustServe makes one ordinary call, which is repeated after a refusal or a broken
// connection.
func (e *entry) mustServe(when string) {
	e.t.Helper()
	for begun := time.Now(); ; time.Sleep(300 * time.Millisecond) {
		err := e.ordinary()
		if err == nil {
			return
		}
		if time.Since(begun) > patience {
			e.t.Fatalf("%s serves no ordinary call %s: %v", e.Node, when, err)
		}
	}
}

// submit submits a small job on a connection of its own.
func (e *entry) submit() error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return (&standin.Client{Address: e.Clients(), HTTP: client}).Submit(context.Background(), queue, workload.Job{
		ID: workload.JobID(e.nextJob()), Payload: "p", Steps: []workload.Step{{Count: 1, Need: workload.Resources{CPU: 100, Memory: 100}}},
	})
}

// state returns the status of a call for a job's state, repeated while the entry
// can't answer it.
func (e *entry) state(id string) error {
	client := &standin.Client{Address: e.Clients(), HTTP: &http.Client{Timeout: callTimeout}}
	for begun := time.Now(); ; time.Sleep(300 * time.Millisecond) {
		_, err := client.State(context.Background(), queue, workload.JobID(id))
		if err == nil || errors.Is(err, workload.ErrNoJob) || time.Since(begun) > patience {
			return err
		}
	}
}

// dial connects a client to the entry.
func (e *entry) dial() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", e.Clients(), callTimeout)
	if err == nil {
		// A client with a small send buffer notices sooner that nobody reads.
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	}
	return conn, err
}
