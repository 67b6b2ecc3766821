package logs

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// At ten times the limit, no more lines than the limit are written, lines below
// the warning level don't crowd out warnings, and the lines left out are
// counted.
func TestLimitBoundsLinesPerSecond(t *testing.T) {
	now := time.Unix(100, 0)
	l := &Limit{PerSecond: 50, Now: func() time.Time { return now }}
	var out bytes.Buffer
	log := zerolog.New(&out).Hook(l)
	for i := range 500 {
		now = time.Unix(100, int64(i)*int64(2*time.Millisecond))
		log.Info().Msg("decision")
	}
	log.Warn().Msg("store lost")
	n := bytes.Count(out.Bytes(), []byte("\n"))
	// A fifth of the 50 is reserved for rarer kinds.
	if n != 41 {
		t.Errorf("%d lines, want 41", n)
	}
	if !bytes.Contains(out.Bytes(), []byte("store lost")) {
		t.Error("a warning was left out")
	}
	if want := int64(501 - n); l.Skipped() != want {
		t.Errorf("%d lines counted as left out, want %d", l.Skipped(), want)
	}
	now = time.Unix(101, 0)
	log.Info().Msg("decision")
	if after := bytes.Count(out.Bytes(), []byte("\n")); after != n+1 {
		t.Errorf("%d lines after a second, want %d", after, n+1)
	}
}

// Guards against a log that holds only the placements of the first tenths of a
// busy second. Such a log doesn't explain later requests, and doesn't show that
// lines are missing.
func TestLinesLeftOutAreSpreadAndReported(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	var reports []map[string]int
	l := &Limit{PerSecond: 100, Now: func() time.Time { return now }, OnLeftOut: func(m map[string]int) { reports = append(reports, m) }}
	log := zerolog.New(&out).Hook(l)
	byTenth := map[int]int{}
	for i := range 1000 {
		now = time.Unix(100, int64(i)*int64(time.Millisecond))
		before := out.Len()
		log.Info().Msg("placed")
		if out.Len() > before {
			byTenth[i/100]++
		}
		if i%250 == 249 {
			log.Info().Msg("job failed")
		}
	}
	for tenth := range tenths {
		if byTenth[tenth] < 100/tenths/2 {
			t.Errorf("%d lines written in tenth %d of a second", byTenth[tenth], tenth)
		}
	}
	if n := bytes.Count(out.Bytes(), []byte("job failed")); n != 4 {
		t.Errorf("%d of 4 rare lines written", n)
	}
	now = time.Unix(101, 0)
	log.Info().Msg("placed")
	written := bytes.Count(out.Bytes(), []byte("placed")) - 1
	if diff := cmp.Diff([]map[string]int{{"placed": 1000 - written}}, reports); diff != "" {
		t.Errorf("reported lines left out (-want +got):\n%s", diff)
	}
}

// With many kinds of lines, their sum stays within the limit.
func TestManyKindsStayWithinLimit(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	log := zerolog.New(&out).Hook(&Limit{PerSecond: 100, Now: func() time.Time { return now }})
	for i := range 2000 {
		now = time.Unix(100, int64(i)*int64(time.Millisecond/2))
		log.Info().Msg(fmt.Sprintf("kind %d", i%200))
	}
	if n := bytes.Count(out.Bytes(), []byte("\n")); n > 100 {
		t.Errorf("%d lines, want 100 at most", n)
	}
}
