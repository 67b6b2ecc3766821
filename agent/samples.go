package agent

import (
	"persimmonrock.example/agent/relief"
	"persimmonrock.example/wire"
)

// sampleEvery is the number of heartbeats to an entry of which one carries a
// measurement. A measurement of a service that runs beside eight kinds takes
// about 200 bytes; in every second heartbeat that adds a fifth to the bytes
// that a thousand agents send an entry.
const sampleEvery = 2

// sampling records the measurements that were sent to one entry. Only the
// goroutine that sends the heartbeats uses it.
type sampling struct {
	heartbeats int
	sent       relief.Sent
}

// next returns the measurements for the next heartbeat.
//
// Failure guarded against: a heartbeat arrives and its answer is lost; if its
// measurements were sent again they would count twice, and the entry would be
// more certain than it should be. They count as sent before the exchange, so
// each is sent at most once; a later window replaces a lost one.
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
