package agent

import (
	"persimmonrock.example/agent/relief"
	"persimmonrock.example/wire"
)

// One in sampleEvery heartbeats to an entry carries measurements. Those of a
// service that runs beside eight kinds of tasks take about 200 bytes. In every
// second heartbeat they add a fifth to the bytes that a thousand agents send to
// an entry.
const sampleEvery = 2

// sampling records the measurements that were sent to one entry. Only the
// goroutine that sends the heartbeats uses it.
type sampling struct {
	heartbeats int
	sent       relief.Sent
}

// next returns the measurements for the next heartbeat.
//
// Guards against measurements that count twice and make the entry more certain
// than it should be. It comes about when a heartbeat's answer is lost and its
// measurements are sent again. Therefore measurements count as sent before the
// exchange, and each is sent at most once; a later window replaces a lost one.
func (s *sampling) next(r *relief.Controller) []wire.Sample {
	s.heartbeats++
	if s.heartbeats%sampleEvery != 0 {
		return nil
	}
	if s.sent == nil {
		s.sent = make(relief.Sent)
	}
	return r.Sample(s.sent)
}
