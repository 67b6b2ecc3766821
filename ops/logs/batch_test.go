package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a takeover of a fleet whose lines about workers crowd out those
// about requests.
func TestEventsOfAFleetTakeOneLine(t *testing.T) {
	var out bytes.Buffer
	limit := &Limit{PerSecond: 100}
	b := NewBatch(zerolog.New(&out).Hook(limit))
	lost := Kind{Level: zerolog.WarnLevel, Message: "worker lost", Why: "its last lease has expired"}
	for n := range 2000 {
		b.Add(Kind{Level: zerolog.InfoLevel, Message: "worker reported"}, fmt.Sprint("worker-", n), 1)
		b.Add(lost, fmt.Sprint("worker-", n), 2)
	}
	b.Flush()
	b.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || limit.Skipped() > 0 {
		t.Fatalf("%d lines, %d left out", len(lines), limit.Skipped())
	}
	for _, want := range []string{`"count":2000`, `"worker-1999"`, `"runs":4000`, `"why":"its last lease has expired"`, `"message":"worker lost"`} {
		if !strings.Contains(lines[1], want) {
			t.Errorf("no %s in %.100s", want, lines[1])
		}
	}
}
