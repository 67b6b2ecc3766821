package scheduler

import (
	"context"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

func (l *agentLink) addStart(j *job, id workload.TaskID, s *step, k *task) {
	r := workload.RunID{Task: id, Run: k.run}
	l.starts[r] = dispatch.StartOrder{
		Run: r, Need: s.spec.Need, Fills: s.spec.Fills, Image: s.spec.Image, TailTarget: s.spec.TailTarget, Checkpoint: k.checkpoint, Ticket: k.ticket, Pace: k.startPace,
		Gang: s.spec.Gang, Watched: k.crashes > 0, Estimate: comparableEstimate(s.spec),
	}
	signal(l.outbox)
}

func (l *agentLink) addStop(r workload.RunID) {
	delete(l.starts, r)
	l.stops[r] = true
	signal(l.outbox)
}

// repeatOrders queues anew, for every run on record at the worker, the stop
// order, or the start order if one was queued before. From a repeated start
// order, an agent learns the size of a run that it already knows.
func (l *agentLink) repeatOrders() {
	if l.worker == nil {
		return
	}
	t := l.term
	clear(l.starts)
	clear(l.stops)
	for r := range l.worker.runs {
		j := t.jobs[r.Task.Job]
		if j == nil {
			continue
		}
		s, k := j.find(r.Task)
		if k == nil || k.state != taskPlaced || k.run != r.Run {
			continue
		}
		if k.stopping || j.state.Final() {
			l.addStop(r)
			k.stopping = true
			continue
		}
		if k.ordered {
			l.addStart(j, r.Task, s, k)
		}
	}
}

func (l *agentLink) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.outbox:
		}
		l.send(ctx)
	}
}

func (l *agentLink) send(ctx context.Context) {
	t := l.term
	t.mu.Lock()
	args, more := l.orders()
	t.mu.Unlock()
	if len(args.Starts)+len(args.Stops) == 0 {
		return
	}
	var reply dispatch.OrderReply
	err := l.link.Call(ctx, "Agent.Order", args, &reply, orderTimeout)
	if err != nil || reply.Refused != "" {
		if ctx.Err() == nil {
			t.deps.Log.Info().Err(err).Str("refused", string(reply.Refused)).Str("instance", l.node).Int("starts", len(args.Starts)).
				Int("stops", len(args.Stops)).Msg("orders refused or unanswered; sending again")
			t.sleep(linkRetry)
			signal(l.outbox)
		}
		return
	}
	t.mu.Lock()
	for _, s := range args.Starts {
		delete(l.starts, s.Run)
	}
	for _, r := range args.Stops {
		delete(l.stops, r)
	}
	t.mu.Unlock()
	if more {
		signal(l.outbox)
	}
}

// orders returns the next message from the outbox. It drops starts of runs that
// are no longer on record or whose job has ended. more says that starts are
// left in the outbox.
func (l *agentLink) orders() (args dispatch.OrderArgs, more bool) {
	t := l.term
	if l.worker == nil || l.process == 0 {
		return args, false
	}
	args.Claim = l.claim()
	args.Worker = l.worker.id
	args.Seen = l.worker.endsStored
	args.Payloads = map[workload.JobID]string{}
	for r := range l.stops {
		args.Stops = append(args.Stops, r)
	}
	for r, o := range l.starts {
		j := t.jobs[r.Task.Job]
		var k *task
		if j != nil {
			_, k = j.find(r.Task)
		}
		if k == nil || j.state.Final() || k.state != taskPlaced || k.run != r.Run || k.worker != l.worker.id {
			delete(l.starts, r)
			continue
		}
		if len(args.Starts) >= orderBatch {
			return args, true
		}
		args.Starts = append(args.Starts, o)
		args.Payloads[r.Task.Job] = j.spec.Payload
	}
	return args, false
}
