package model

import "time"

type eventKind uint8

const (
	eventCall eventKind = iota
	eventCallDone
	eventCallRetry
	eventJob
	eventTaskEnd
	eventAgentTick
	eventPlan
	eventMeasured
	eventLoad
	eventCancel
)

// event is due at one point of virtual time. The meaning of a and b depends on
// kind.
type event struct {
	at    time.Duration
	order uint64
	kind  eventKind
	a, b  int
}

// queue is a binary heap by time, then by order of insertion, so that a run is
// deterministic.
type queue struct {
	events []event
	order  uint64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

func (q *queue) push(at time.Duration, kind eventKind, a, b int) {
	q.order++
	q.events = append(q.events, event{at, q.order, kind, a, b})
	for i := len(q.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

func (q *queue) pop() (event, bool) {
	if len(q.events) == 0 {
		return event{}, false
	}
	top := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events = q.events[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			break
		}
		q.events[i], q.events[child] = q.events[child], q.events[i]
		i = child
	}
	return top, true
}
