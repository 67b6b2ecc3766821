package workload

import (
	"strconv"
	"testing"
)

func TestWorkerIDNamesInstanceAndLife(t *testing.T) {
	for _, c := range []struct {
		instance string
		born     int64
		want     WorkerID
	}{{"i-1", 0, "i-1"}, {"i-1", 1767225600123, "i-1@" + WorkerID(strconv.FormatInt(1767225600123, 36))}, {"a@b", 0, "a@b@0"}, {"a@b", 7, "a@b@7"}} {
		id := NewWorkerID(c.instance, c.born)
		if id != c.want || id.Instance() != c.instance || id.Born() != c.born {
			t.Errorf("%q %d: %q, which is %q %d", c.instance, c.born, id, id.Instance(), id.Born())
		}
	}
}
