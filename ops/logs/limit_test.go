package logs

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Ten times the load writes no more lines than the limit, warnings are not
// crowded out by decisions, and what was left out is counted.
func TestLimitBoundsTheLinesOfASecond(t *testing.T) {
	now := time.Unix(100, 0)
	l := &Limit{PerSecond: 50, Now: func() time.Time { return now }}
	var out bytes.Buffer
	log := zerolog.New(&out).Sample(l)
	for range 500 {
		log.Info().Msg("decision")
	}
	log.Warn().Msg("store lost")
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != 51 {
		t.Errorf("%d lines, want 51", n)
	}
	if !bytes.Contains(out.Bytes(), []byte("store lost")) {
		t.Error("a warning was crowded out")
	}
	if l.Skipped() != 450 {
		t.Errorf("%d lines counted as left out, want 450", l.Skipped())
	}
	now = now.Add(time.Second)
	log.Info().Msg("decision")
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != 52 {
		t.Errorf("%d lines after a second, want 52", n)
	}
}
