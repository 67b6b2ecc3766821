package rebalance

import "testing"

func TestAwaitedAreTheLastRunsOfAStep(t *testing.T) {
	for _, c := range []struct {
		name                 string
		count, done, waiting int
		want                 bool
	}{
		{"the last two of eleven", 11, 9, 0, true},
		{"the last of two", 2, 1, 0, true},
		{"half of a step", 11, 5, 0, false},
		{"a step of one task", 1, 0, 0, false},
		{"a step that has not begun to end", 3, 0, 0, false},
		{"one runs, one waits for a worker", 11, 9, 1, false},
		{"a step that is done", 11, 11, 0, false},
	} {
		if got := Awaited(c.count, c.done, c.waiting); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
