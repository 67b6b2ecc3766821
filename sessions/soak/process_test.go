package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonrock.example/platform/standin"
)

const (
	processRestartDelay = 300 * time.Millisecond
	// panicStatus is the exit status of a program that panics.
	panicStatus = 2
)

// process is one program on a simulated machine. It is restarted whenever it
// exits, as on the users' machines.
type process struct {
	standin.Machine
	t       *testing.T
	program []string
	dir     string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exits   int
	closed  bool
	done    chan struct{}
}

func startProcess(t *testing.T, dir string, m standin.Machine, program ...string) *process {
	text, err := m.Settings()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{Machine: m, t: t, program: program, dir: dir, done: make(chan struct{})}
	if err := os.WriteFile(p.file(".json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	go p.supervise()
	return p
}

func (p *process) file(suffix string) string { return filepath.Join(p.dir, p.Node+suffix) }

// supervise runs and restarts the program until close.
func (p *process) supervise() {
	defer close(p.done)
	out, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer out.Close()
	for {
		cmd := exec.Command(p.program[0], p.program[1:]...)
		cmd.Env = []string{standin.Environment(p.file(".json"))}
		cmd.Stdout, cmd.Stderr = out, out
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			p.mu.Unlock()
			p.t.Error(err)
			return
		}
		p.cmd = cmd
		p.mu.Unlock()
		_ = cmd.Wait() // the signals sent and the log show why the process ended
		if cmd.ProcessState.ExitCode() == panicStatus {
			p.t.Errorf("%s ended by itself with a panic", p.Node)
		}
		p.mu.Lock()
		p.exits++
		p.mu.Unlock()
		time.Sleep(processRestartDelay)
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may have just exited
	}
}

func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}
