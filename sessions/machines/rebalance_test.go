package machines

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
)

// moveWatch calls moved, once, when a log says that a run is stopped to be moved.
type moveWatch struct {
	once  sync.Once
	moved func()
}

func (w *moveWatch) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("stopped to be moved")) {
		w.once.Do(func() { go w.moved() })
	}
	return len(line), nil
}

// Guards against a task that runs twice, or not at all, if a process is lost while
// the task is on its way from a worker that paces it down.
func TestMovedTaskRunsOnceWhateverIsLost(t *testing.T) {
	for name, lose := range map[string]func(sim *Simulation){
		"nothing":       func(*Simulation) {},
		"the scheduler": func(sim *Simulation) { sim.Leader().Kill() },
		"the scheduler's link": func(sim *Simulation) {
			node := sim.Leader().Node
			sim.Cut(node, true)
			time.Sleep(4 * second)
			sim.Cut(node, false)
		},
		"the store": func(sim *Simulation) {
			sim.Store.SetLost(1, true)
			time.Sleep(second)
			sim.Store.SetLost(0, false)
		},
		"an agent":   func(sim *Simulation) { sim.Agents()[0].Kill(); time.Sleep(second / 4); sim.Agents()[0].Start() },
		"all agents": func(sim *Simulation) { sim.KillAll(); time.Sleep(second / 4); sim.StartAll() },
		"a worker that may be chosen": func(sim *Simulation) {
			for _, a := range sim.Agents() {
				if len(a.Worker().Running()) == 0 {
					a.Worker().Crash()
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			watch := &moveWatch{}
			moved := make(chan bool)
			opt := Options{Entries: 3, Machines: 4, Log: watch, Policies: scheduling.Policies{Rebalancing: scheduling.Rebalancing{Enabled: true}},
				Outcome: func(workload.RunID) Outcome { return Outcome{For: 12 * second} }}
			simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
				watch.moved = func() { lose(sim); close(moved) }
				fills := job(1, 3)
				fills.Steps = fills.Steps[:1]
				s := &fills.Steps[0]
				s.Fills, s.Image, s.Estimate, s.Checkpointing = true, "f", 12*second, true
				submit(t, c, fills)
				time.Sleep(second)
				// The simulated tails are at 5 ms: all filling work beside this task is paused.
				serves := lastingJob(2, 2)
				serves.Steps[0].TailTarget, serves.Steps[0].Image, serves.Steps[0].Spread = 4*time.Millisecond, "a", 1
				submit(t, c, serves)
				await(t, c, fills.ID, workload.Completed, time.Minute)
				select {
				case <-moved:
				default:
					t.Error("no run was moved")
				}
				c.Cancel(serves.ID)
			})
		})
	}
}
