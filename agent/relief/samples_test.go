package relief

import (
	"slices"
	"testing"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

func services(list []wire.Sample) (out []structs.Service) {
	for _, s := range list {
		out = append(out, s.Service)
	}
	return out
}

// Guards against: an entry never receives the samples of one service. It comes about
// when the windows of busier services are always newer and are sent first. The
// service that waits longest must come first, and no sample may be sent twice.
func TestEachServiceIsSentInTurnAndOnce(t *testing.T) {
	s, sent := newSamples(), make(Sent)
	for _, name := range []structs.Service{"a", "b", "c"} {
		s.record(time.Second, decide.Sample{Service: name, Calls: 9, ServiceTime: time.Second})
	}
	var order []structs.Service
	for range 4 {
		order = append(order, services(s.next(sent))...)
		s.record(time.Second, decide.Sample{Service: "a", Calls: 9, ServiceTime: time.Second})
	}
	if want := []structs.Service{"a", "b", "c", "a"}; !slices.Equal(order, want) {
		t.Errorf("sent %v, want %v", order, want)
	}
	s.next(sent)
	if again := s.next(sent); again != nil {
		t.Errorf("sent twice: %+v", again)
	}
}

func TestWindowOfFewCallsReplacesOnlyAnOldOne(t *testing.T) {
	s := newSamples()
	record := func(at time.Duration, calls int) int {
		s.record(at, decide.Sample{Service: "a", Calls: calls, ServiceTime: time.Second, Together: []decide.KindCount{{Kind: "k", Count: 1.03}, {Kind: "gone", Count: 0.01}}})
		return s.latest["a"].sample.Calls
	}
	if n := record(0, 1); n != 1 {
		t.Errorf("first window: %d calls", n)
	}
	record(time.Second, 9)
	if n := record(2*time.Second, 1); n != 9 {
		t.Errorf("a window of one call replaced one of nine: %d", n)
	}
	if n := record(time.Second+maxInformativeAge, 1); n != 1 {
		t.Errorf("an old window is kept forever: %d", n)
	}
	if got, want := s.latest["a"].sample.Together, []wire.KindCount{{Kind: "k", Count: 1}}; !slices.Equal(got, want) {
		t.Errorf("rounded to %+v", got)
	}
}
