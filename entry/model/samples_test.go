package model

import (
	"testing"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// heartbeat returns a heartbeat of instance i1 with one slow measurement of
// service s.
func heartbeat(n structs.Incarnation, sequence uint64) wire.HelloRequest {
	total := structs.Resources{Slots: 8}
	return wire.HelloRequest{
		Load: wire.Load{
			Instance: "i1", Process: "p", Incarnation: n, Sequence: sequence, Free: total, Total: total,
			Services: []wire.ServiceLoad{{Service: "s", Slots: 8}},
		},
		Samples: []wire.Sample{{
			Service: "s", Band: uint8(decide.BandMiddle), ServiceTime: 300 * time.Millisecond, Calls: 20,
			Together: []wire.KindCount{{Kind: "noisy", Count: 2}, {Kind: "calm", Count: 1}},
		}},
	}
}

// Guards against keeping tasks off instances for interference that was never
// measured. It came about when a heartbeat was delivered twice or out of order,
// a paused agent resumed after it had been replaced, or an agent counted
// wrongly. Each such measurement must be counted and change no prediction.
func TestBadMeasurementsChangeNoPrediction(t *testing.T) {
	alter := func(f func(*wire.HelloRequest)) wire.HelloRequest {
		r := heartbeat(4, 11)
		f(&r)
		return r
	}
	alterSample := func(f func(*wire.Sample)) wire.HelloRequest {
		return alter(func(r *wire.HelloRequest) { f(&r.Samples[0]) })
	}
	for name, r := range map[string]wire.HelloRequest{
		"twice":             heartbeat(4, 10),
		"overtaken":         heartbeat(4, 9),
		"replaced process":  heartbeat(3, 99),
		"free above total":  alter(func(r *wire.HelloRequest) { r.Load.Free.Slots = 9 }),
		"no instance":       alter(func(r *wire.HelloRequest) { r.Load.Instance = "" }),
		"unknown service":   alterSample(func(s *wire.Sample) { s.Service = "other" }),
		"negative time":     alterSample(func(s *wire.Sample) { s.ServiceTime = -1 }),
		"time of hours":     alterSample(func(s *wire.Sample) { s.ServiceTime = 5 * time.Hour }),
		"no calls":          alterSample(func(s *wire.Sample) { s.Calls = 0 }),
		"no such load band": alterSample(func(s *wire.Sample) { s.Band = 77 }),
		"negative count":    alterSample(func(s *wire.Sample) { s.Together[0].Count = -1 }),
		"kind named twice":  alterSample(func(s *wire.Sample) { s.Together[1].Kind = "noisy" }),
	} {
		shared := New()
		first := heartbeat(4, 10)
		shared.Hello(time.Second, &first)
		before := predicted(shared)
		shared.Hello(2*time.Second, &r)
		if after, c := predicted(shared), shared.Counters(); after != before || c.Taken != 1 || c.Dropped != 1 {
			t.Errorf("%s: prediction %v to %v, %+v", name, before, after, c)
		}
	}
	shared := New()
	double := alter(func(r *wire.HelloRequest) { r.Samples = append(r.Samples, r.Samples[0]) })
	shared.Hello(0, &double)
	if c := shared.Counters(); c.Taken != 1 || c.Dropped != 1 {
		t.Errorf("one service twice in a heartbeat: %+v", c)
	}
	newer := heartbeat(5, 1)
	shared.Hello(0, &newer)
	if c := shared.Counters(); c.Taken != 2 {
		t.Errorf("the next process: %+v", c)
	}
}

func predicted(s *Shared) (out float64) {
	s.With(func(m *decide.Interference) { out = m.Predict("s", "noisy", decide.BandMiddle) })
	return out
}
