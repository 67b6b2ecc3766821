package sessions

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/sessions/inproc"
	"persimmonrock.example/structs"
)

// interferenceSession is a session in which a task of kind "noisy" slows only
// the service sample.AssayCheck on its instance, and a task of kind "calm"
// slows nothing.
type interferenceSession struct {
	*session
	noisyTasks map[structs.InstanceID]*atomic.Int64
}

const (
	baseLatency = 40 * time.Millisecond
	// otherCheck is a service that noisy tasks do not slow.
	otherCheck structs.Service = "other-check"
)

func (p *interferenceSession) start(id structs.InstanceID, slots int, services ...structs.Service) {
	running := &atomic.Int64{}
	p.noisyTasks[id] = running
	run := func(ctx context.Context, t memory.Task, delta int64) ([]byte, error) {
		running.Add(delta)
		defer running.Add(-delta)
		return nil, t.Step(ctx, 40*time.Second)
	}
	p.Kinds = map[structs.Kind]memory.Program{
		"noisy": func(ctx context.Context, t memory.Task) ([]byte, error) { return run(ctx, t, 1) },
		"calm":  func(ctx context.Context, t memory.Task) ([]byte, error) { return run(ctx, t, 0) },
	}
	i := p.StartInstance(id, slots)
	for _, service := range services {
		i.StartBackend(service, true, slots, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			latency := baseLatency
			if service == sample.AssayCheck {
				latency *= time.Duration(1 + running.Load())
			}
			time.Sleep(latency)
			sample.Assay(w, r)
		}))
	}
	p.instances = append(p.instances, i)
	time.Sleep(10 * time.Second)
}

func (p *interferenceSession) submitKind(kind string) {
	p.t.Helper()
	r := p.request(p.entries[0], "POST", "/v1/jobs", fmt.Sprintf(`{"kind":%q,"declared":{"slots":1}}`, kind))
	if r.Status != http.StatusAccepted {
		p.t.Fatalf("job: %+v", r)
	}
}

// sendCalls calls both services every 50 ms for the duration d.
func (p *interferenceSession) sendCalls(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, service := range []structs.Service{sample.AssayCheck, otherCheck} {
			go p.call(p.entries[0], service, `{"sample":"GN-1"}`, 2*time.Second)
		}
	}
}

// Guards against a task that is placed beside a service that it slows, although
// the slowdown was measured on another instance. It comes about when heartbeats
// carry no measurements: only the agent that ran the task beside the service
// has data on the slowdown. Of the two instances that start later, the one with
// the service is the tighter fit.
func TestMeasuredSlowdownIsAvoidedOnOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := inproc.NewCluster(1, zerolog.Nop())
		defer w.Close()
		p := &interferenceSession{session: &session{Cluster: w, t: t}, noisyTasks: make(map[structs.InstanceID]*atomic.Int64)}
		p.entries = append(p.entries, w.StartEntry("entry-1"))
		synctest.Wait()
		if r := w.Contract(p.entries[0], customer, 1, 1000); r.Status != 200 {
			t.Fatalf("contract: %+v", r)
		}
		p.start("instance-1", 8, sample.AssayCheck, otherCheck)
		p.sendCalls(20 * time.Second)
		for _, kind := range []string{"noisy", "calm", "noisy", "calm"} {
			p.submitKind(kind)
			p.sendCalls(25 * time.Second)
		}
		p.instances[0].Agent.Kill()
		time.Sleep(time.Minute)
		p.start("instance-2", 6, sample.AssayCheck)
		p.start("instance-3", 8, otherCheck)
		for range 2 {
			p.submitKind("noisy")
			time.Sleep(2 * time.Second)
		}
		if onSlowedService, onOther := p.noisyTasks["instance-2"].Load(), p.noisyTasks["instance-3"].Load(); onSlowedService != 0 || onOther != 2 {
			t.Errorf("noisy tasks on the instance of the service that they slow: %d, on the other instance: %d; want 0 and 2", onSlowedService, onOther)
		}
		w.Close()
		time.Sleep(time.Minute)
	})
}
