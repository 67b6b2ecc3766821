package logtime

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// line returns one line of a process whose machine has been up for boot, in
// milliseconds, and whose wall clock is ahead by jump.
func line(process, start string, at, boot, jump float64, rest string) []byte {
	return fmt.Appendf(nil, `{"process":%q,"start_id":%q,"time":%.0f,"steady_us":%.0f,%s}`, process, start, 1e12+at+jump, (boot+at)*1000, rest)
}

func read(t *testing.T, lines [][]byte) (*Log, []Stamp) {
	t.Helper()
	var l Log
	var stamps []Stamp
	for _, one := range lines {
		s, ok := l.Read(one)
		if !ok {
			t.Fatalf("not read: %s", one)
		}
		stamps = append(stamps, s)
	}
	return &l, stamps
}

// The wall clock of an agent's machine jumps ahead by 2.4 s between two runs,
// so that by wall clocks a run seems to start after the scheduler recorded the
// run's end.
func TestAxisIgnoresWallClockJumps(t *testing.T) {
	var lines [][]byte
	for n := range 10 {
		at, jump := float64(1000*n), 0.0
		if n >= 6 {
			jump = 2400
		}
		run := fmt.Sprintf(`"run":"j.0.0.%d#1"`, n)
		lines = append(lines,
			line("entry-1", "a", at, 5000, 0, run+`,"message":"placed"`),
			line("agent-1", "b", at+20, 900000, jump, run+`,"message":"start"`),
			line("agent-1", "b", at+500, 900000, jump, run+`,"how":"failed","message":"run ended"`),
			line("entry-1", "a", at+520, 5000, 0, run+`,"how":"failed","ran":500,"message":"run ended"`),
		)
	}
	l, stamps := read(t, lines)
	axis := l.Axis()
	var times []float64
	for i, s := range stamps {
		times = append(times, axis.Time(s))
		if axis.Uncertain(s) {
			t.Errorf("line %d: its time is reported as uncertain", i)
		}
	}
	if !slices.IsSorted(times) {
		t.Errorf("lines out of order: %.0f", times)
	}
	if times[0] != 1e12 {
		t.Errorf("the axis begins at %.0f, not at the wall clock of the scheduler", times[0])
	}
}

// A process that shares no event with others is placed by its wall clock and
// reported as unaligned; a new start of a process has its own steady clock.
func TestUnlinkedProcessesAreUnaligned(t *testing.T) {
	l, stamps := read(t, [][]byte{
		line("entry-1", "a", 0, 5000, 0, `"epoch":7,"message":"lease taken"`),
		line("agent-1", "b", 10, 100, 3000, `"epoch":7,"message":"new scheduler"`),
		line("agent-1", "c", 900, -800, 0, `"message":"agent started"`),
		line("entry-9", "d", 500, 1, 0, `"message":"entry started"`),
	})
	axis := l.Axis()
	if diff := cmp.Diff([]string{"agent-1 b", "agent-1 c", "entry-9 d"}, axis.Unaligned()); diff != "" {
		t.Errorf("unaligned (-want +got):\n%s", diff)
	}
	if axis.Time(stamps[1]) < axis.Time(stamps[0]) {
		t.Error("an effect is placed before its cause")
	}
	if d := axis.Time(stamps[2]) - axis.Time(stamps[0]); d != 900 {
		t.Errorf("the second start is placed %.0f ms after the first line, 900 by its wall clock", d)
	}
}

// Lines without steady clocks keep the times of their wall clocks.
func TestLinesWithoutSteadyClock(t *testing.T) {
	l, stamps := read(t, [][]byte{
		[]byte(`{"process":"entry-1","time":1000,"run":"j.0.0.0#1","message":"placed"}`),
		[]byte(`{"process":"agent-1","time":900,"run":"j.0.0.0#1","message":"start"}`),
	})
	axis := l.Axis()
	if a, b := axis.Time(stamps[0]), axis.Time(stamps[1]); a != 1000 || b != 900 {
		t.Errorf("lines at %.0f and %.0f", a, b)
	}
}
