package scheduler

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// termOfAgents is a new term with links to agents that have not answered yet. Each
// agent's first answer is returned.
func termOfAgents(agents int) (*Term, []*agentLink, []dispatch.WatchReply) {
	now := time.Minute
	t := loadedTerm(&now, workload.Queue{Name: "q", Service: "s"})
	links, replies := make([]*agentLink, agents), make([]dispatch.WatchReply, agents)
	for n := range agents {
		links[n] = &agentLink{node: fmt.Sprint("agent-", n), term: t, claimDue: make(chan struct{}, 1), outbox: make(chan struct{}, 1)}
		info := workload.Worker{ID: workload.WorkerID(fmt.Sprint("w-", n)), Service: "s", Labels: []string{"a", "r1"}, Capacity: workload.Resources{CPU: 64000, Memory: 250000}}
		replies[n] = dispatch.WatchReply{Process: 1, Version: 1, Worker: info, Listed: true}
	}
	return t, links, replies
}

// BenchmarkFirstAnswers measures what a scheduler does with the first answers of
// all agents after a takeover.
func BenchmarkFirstAnswers(b *testing.B) {
	for _, agents := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint("agents:", agents), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				t, links, replies := termOfAgents(agents)
				b.StartTimer()
				for n, l := range links {
					l.apply(&replies[n])
				}
				if len(t.workers) != agents {
					b.Fatalf("%d workers", len(t.workers))
				}
			}
		})
	}
}

// Guards against a worker that stays on record beside the next one of its agent.
func TestNextWorkerOfAnAgentReplacesTheFormer(t *testing.T) {
	term, links, replies := termOfAgents(2)
	for n, l := range links {
		l.apply(&replies[n])
	}
	next := replies[0]
	next.Worker.ID = "w-next"
	links[0].apply(&next)
	if len(term.workers) != 2 || term.workers["w-next"] == nil || term.workers["w-1"] == nil || len(term.byAgent) != 2 {
		t.Errorf("workers %v", term.workers)
	}
}
