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

// pairs is a world in which tasks of kind "noisy" slow the assay check beside
// them and nothing else, and tasks of kind "calm" slow nothing.
type pairs struct {
	*session
	noisy map[structs.InstanceID]*atomic.Int64
}

const (
	undisturbed = 40 * time.Millisecond
	// otherCheck is a service that noisy tasks don't slow.
	otherCheck structs.Service = "other-check"
)

func (p *pairs) start(id structs.InstanceID, slots int, services ...structs.Service) {
	beside := &atomic.Int64{}
	p.noisy[id] = beside
	run := func(ctx context.Context, t memory.Task, noisy int64) ([]byte, error) {
		beside.Add(noisy)
		defer beside.Add(-noisy)
		return nil, t.Step(ctx, 40*time.Second)
	}
	p.Kinds = map[structs.Kind]memory.Program{
		"noisy": func(ctx context.Context, t memory.Task) ([]byte, error) { return run(ctx, t, 1) },
		"calm":  func(ctx context.Context, t memory.Task) ([]byte, error) { return run(ctx, t, 0) },
	}
	i := p.StartInstance(id, slots)
	for _, service := range services {
		i.StartBackend(service, true, slots, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			took := undisturbed
			if service == sample.AssayCheck {
				took *= time.Duration(1 + beside.Load())
			}
			time.Sleep(took)
			sample.Assay(w, r)
		}))
	}
	p.instances = append(p.instances, i)
	time.Sleep(10 * time.Second)
}

func (p *pairs) job(kind string) {
	p.t.Helper()
	r := p.ask(p.entries[0], "POST", "/v1/jobs", fmt.Sprintf(`{"kind":%q,"declared":{"slots":1}}`, kind))
	if r.Status != http.StatusAccepted {
		p.t.Fatalf("job: %+v", r)
	}
}

// calls checks samples for a while, a few at once.
func (p *pairs) calls(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, service := range []structs.Service{sample.AssayCheck, otherCheck} {
			go p.call(p.entries[0], service, `{"sample":"GN-1"}`, 2*time.Second)
		}
	}
}

// A prospector's check is slow on a fresh instance, minutes after the same
// kind of task had slowed the same service elsewhere. One instance runs the
// harmful pair and its agent measures it; then two more come up, and the one
// with that service is the tighter fit. Without measurements in heartbeats
// only the first agent knows the pair, and the next noisy task is placed there.
func TestHarmSeenOnOneInstanceIsAvoidedOnAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := inproc.NewCluster(1, zerolog.Nop())
		defer w.Close()
		p := &pairs{session: &session{Cluster: w, t: t}, noisy: make(map[structs.InstanceID]*atomic.Int64)}
		p.entries = append(p.entries, w.StartEntry("entry-1"))
		synctest.Wait()
		if r := w.Contract(p.entries[0], customer, 1, 1000); r.Status != 200 {
			t.Fatalf("contract: %+v", r)
		}
		p.start("instance-1", 8, sample.AssayCheck, otherCheck)
		p.calls(20 * time.Second)
		for _, kind := range []string{"noisy", "calm", "noisy", "calm"} {
			p.job(kind)
			p.calls(25 * time.Second)
		}
		p.instances[0].Agent.Kill()
		time.Sleep(time.Minute)
		p.start("instance-2", 6, sample.AssayCheck)
		p.start("instance-3", 8, otherCheck)
		for range 2 {
			p.job("noisy")
			time.Sleep(2 * time.Second)
		}
		if beside, elsewhere := p.noisy["instance-2"].Load(), p.noisy["instance-3"].Load(); beside != 0 || elsewhere != 2 {
			t.Errorf("noisy tasks beside the check they slow: %d, elsewhere: %d; want 0 and 2", beside, elsewhere)
		}
		w.Close()
		time.Sleep(time.Minute)
	})
}
