package scheduler

import (
	"testing"
	"time"
)

// Failure guarded against: a machine with 0.8 of a core, of which it uses a
// quarter, schedules 240 workers. Yet it samples agents as rarely as a machine
// with a fifth of a core must, and updates them every 3.2 s. Filling work
// presses on serving tasks for that long. A weak machine must stay within its
// limits, and small fleets keep the usual intervals.
func TestUpdateRatesScaleWithMachinePower(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		agents                 int
		power                  float64
		usual, unknown, update time.Duration
	}{
		{11, 0, 500 * ms, 250 * ms, 300 * ms},
		{11, 0.4, 500 * ms, 250 * ms, 300 * ms},
		{11, 0.8, 500 * ms, 250 * ms, 300 * ms},
		{240, 0, 1200 * ms, 1200 * ms, 3200 * ms},
		{240, 0.2, 1200 * ms, 1200 * ms, 3200 * ms},
		{240, 0.8, 500 * ms, 500 * ms, 800 * ms},
	}
	for _, c := range cases {
		usual, unknown := sampleIntervals(c.agents, c.power)
		if update := pressureUpdateInterval(c.agents, c.power); usual != c.usual || unknown != c.unknown || update != c.update {
			t.Errorf("%d agents, %.1f cores: samples each %v and %v, updates each %v; want %v, %v and %v",
				c.agents, c.power, usual, unknown, update, c.usual, c.unknown, c.update)
		}
	}
}
