package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/entry/batch"
	"persimmonrock.example/entry/model"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// oneContract gives the customer kowhai a share of 1.
type oneContract struct{}

func (oneContract) Contract(structs.Customer) (structs.Contract, bool) {
	return structs.Contract{Customer: "kowhai", Share: 1}, true
}

func (c oneContract) Config() structs.Config {
	one, _ := c.Contract("kowhai")
	return structs.Config{Revision: 1, Contracts: map[structs.Customer]structs.Contract{"kowhai": one}}
}

// fleet returns a snapshot of instances i0 to i3 and a queue of n jobs.
func fleet(n int) batch.Snapshot {
	s := batch.Snapshot{Max: 64}
	total := structs.Resources{Slots: 64, MilliCores: 64000, MemoryBytes: 1 << 36}
	for i := range 4 {
		id := structs.InstanceID(fmt.Sprint("i", i))
		s.Agents = append(s.Agents, batch.AgentView{Instance: id, Lease: 1, Load: wire.Load{
			Instance: id, Total: total, Free: total, Services: []wire.ServiceLoad{{Service: "s", Slots: 8}},
		}})
	}
	for i := range n {
		s.Queue = append(s.Queue, waitingJob(i))
	}
	return s
}

func waitingJob(i int) structs.Job {
	return structs.Job{ID: structs.JobID(fmt.Sprint("j", i)), Customer: "kowhai", Submitted: uint64(i), Spec: structs.JobSpec{
		Kind: "claims", Declared: structs.Resources{Slots: 1, MemoryBytes: 1 << 30}, Runtime: structs.Duration(time.Hour),
	}}
}

// quarantinedPlacer returns a placer with i0 in quarantine.
func quarantinedPlacer(t *testing.T) *placer {
	p := newPlacer(model.New(), oneContract{})
	for i := range 20 {
		for k, id := range []structs.InstanceID{"i0", "i1", "i2", "i3"} {
			end := wire.EndDone
			if k == 0 {
				end = wire.EndFailed
			}
			p.Ended(batch.End{Job: waitingJob(100 + 4*i + k), Instance: id, End: end})
		}
	}
	if sent := probesOf(p, fleet(200)); len(sent) != 0 {
		t.Fatalf("jobs %v sent to a worker in quarantine", sent)
	}
	return p
}

// probesOf places the snapshot and returns the jobs that are sent to i0.
func probesOf(p *placer, s batch.Snapshot) (sent []structs.JobID) {
	for _, placement := range p.Place(s) {
		if placement.Instance == "i0" {
			sent = append(sent, placement.Job)
		}
	}
	return sent
}

// Jobs fail on a worker with a full disk, and the worker is in quarantine. When
// a probe is due, the worker must get one job, and no second one while a long
// probe still runs: each would cost the customer a run.
func TestWorkerInQuarantineGetsOneTaskAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := quarantinedPlacer(t)
		time.Sleep(time.Minute)
		sent := probesOf(p, fleet(200))
		if len(sent) != 1 {
			t.Fatalf("%d jobs sent to a worker in quarantine at once, want 1", len(sent))
		}
		running := fleet(200)
		running.Agents[0].Load.Batch = []wire.BatchLoad{{Customer: "kowhai", Kind: "claims", Running: 1}}
		for range 24 {
			time.Sleep(5 * time.Minute)
			if more := probesOf(p, running); len(more) != 0 {
				t.Fatalf("jobs %v sent while the probe %v runs", more, sent)
			}
		}
		p.Ended(batch.End{Job: structs.Job{ID: "other", Customer: "kowhai"}, Instance: "i0", End: wire.EndCancelled})
		if more := probesOf(p, running); len(more) != 0 {
			t.Fatalf("jobs %v sent after the end of another job", more)
		}
		done := waitingJob(0)
		done.ID = sent[0]
		p.Ended(batch.End{Job: done, Instance: "i0", End: wire.EndDone})
		if next := probesOf(p, running); len(next) != 1 {
			t.Errorf("%d jobs sent after the probe succeeded, want 1", len(next))
		}
	})
}

// If a probe's claim failed, the probe's end is never reported. Another probe
// must then be sent; otherwise a repaired worker stays idle for ever.
func TestProbeWithoutReportedEndIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := quarantinedPlacer(t)
		time.Sleep(time.Minute)
		for range 3 {
			if sent := probesOf(p, fleet(200)); len(sent) != 1 {
				t.Fatalf("%d probes, want 1", len(sent))
			}
			if sent := probesOf(p, fleet(200)); len(sent) != 0 {
				t.Fatalf("jobs %v sent directly after the probe", sent)
			}
			time.Sleep(time.Hour)
		}
	})
}

// Run times are learnt from complete runs and replace the declared ones.
// Partial runs must lower neither run times nor sizes, but may raise sizes.
func TestSizesAreLearntFromCompleteRuns(t *testing.T) {
	p := newPlacer(model.New(), oneContract{})
	end := func(e wire.TaskEnd, checkpoint string, ran time.Duration, memory int64) {
		j := waitingJob(0)
		j.Checkpoint = checkpoint
		p.Ended(batch.End{Job: j, Instance: "i1", End: e, Ran: ran, Used: structs.Resources{MemoryBytes: memory}})
	}
	expected := func() (int64, time.Duration) {
		spec := waitingJob(0).Spec
		need, ran := p.sizes.Estimate("kowhai", spec.Kind, spec.Declared, spec.Runtime.Std())
		return need.MemoryBytes, ran
	}
	for range 10 {
		end(wire.EndEvicted, "", time.Second, 1000)
		end(wire.EndFailed, "", time.Second, 1000)
		end(wire.EndCancelled, "", time.Second, 1000)
		end(wire.EndDone, "checkpoint", time.Second, 1<<30)
	}
	if memory, ran := expected(); ran != time.Hour || memory < 1<<30 {
		t.Errorf("after partial runs: estimate %s, %d bytes", ran, memory)
	}
	for range 10 {
		end(wire.EndDone, "", 5*time.Minute, 1<<30)
	}
	if _, ran := expected(); ran != 5*time.Minute {
		t.Errorf("after complete runs of 5 minutes: estimate %s", ran)
	}
	for range 40 {
		end(wire.EndEvicted, "", time.Second, 1<<33)
	}
	if memory, _ := expected(); memory < 1<<33 {
		t.Errorf("after runs stopped at 8 GB: estimate %d bytes", memory)
	}
}

// Guards against endless restarts of a kind of job that crashes its workers.
func TestKindThatCrashesWorkersIsParked(t *testing.T) {
	p := newPlacer(model.New(), oneContract{})
	for i := range 4 {
		p.Ended(batch.End{Job: waitingJob(100 + i), Instance: structs.InstanceID(fmt.Sprint("i", i)), End: wire.EndLost})
	}
	for _, placement := range p.Place(fleet(8)) {
		if placement.Instance != "" {
			t.Errorf("job %s of a kind that has crashed four workers is sent to %s", placement.Job, placement.Instance)
		}
	}
}
