package scheduler

import (
	"testing"
	"time"
)

// A fleet of 240 workers is scheduled on a machine with 0.8 of a core, and used
// a quarter of it. Its agents still sampled and heard of what was learnt as
// seldom as a fifth of a core bears, each 3.2 s, and filling work went on
// pressing on serving tasks for so long. A weak machine keeps to what it bears,
// and a few workers are sampled as often as ever.
func TestRatesFollowTheMachine(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		agents               int
		power                float64
		usual, unknown, tell time.Duration
	}{
		{11, 0, 500 * ms, 250 * ms, 300 * ms},
		{11, 0.4, 500 * ms, 250 * ms, 300 * ms},
		{11, 0.8, 500 * ms, 250 * ms, 300 * ms},
		{240, 0, 1200 * ms, 1200 * ms, 3200 * ms},
		{240, 0.2, 1200 * ms, 1200 * ms, 3200 * ms},
		{240, 0.8, 500 * ms, 500 * ms, 800 * ms},
	}
	for _, c := range cases {
		usual, unknown := sampleTimes(c.agents, c.power)
		if tell := tellTime(c.agents, c.power); usual != c.usual || unknown != c.unknown || tell != c.tell {
			t.Errorf("%d agents, %.1f cores: samples each %v and %v, tellings each %v; want %v, %v and %v",
				c.agents, c.power, usual, unknown, tell, c.usual, c.unknown, c.tell)
		}
	}
}
