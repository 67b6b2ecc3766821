package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/placement"
)

// starvingTerm is a term whose waiting filling work presses on every worker that
// has room, and the log that it writes.
func starvingTerm(enabled bool) (*Term, *bytes.Buffer) {
	t := busyTerm(6, 60)
	var log bytes.Buffer
	t.deps.Log = zerolog.New(&log)
	t.cfg.Policies.Diagnosis.Enabled = enabled
	return t, &log
}

const passedOverMessage = "tasks of a step passed over"

// Load: 60 jobs of 20 filling tasks wait beside six workers, and a plan is made
// 60 times a second. A line for each step and plan would be 3,600 a second.
func TestPassedOverStepsAreLoggedOnceASecond(t *testing.T) {
	term, log := starvingTerm(true)
	began := time.Now()
	for range 40 {
		term.plan()
	}
	lines := strings.Count(log.String(), passedOverMessage)
	if most := 60 * (1 + int(time.Since(began)/diagnosisLogEvery)); lines == 0 || lines > most {
		t.Errorf("%d lines, want 1 to %d", lines, most)
	}
	if !strings.Contains(log.String(), `"main":"`) {
		t.Errorf("no cause in %s", log.String())
	}
}

func TestNothingIsDiagnosedWhileThePolicyIsOff(t *testing.T) {
	term, log := starvingTerm(false)
	term.plan()
	if strings.Contains(log.String(), passedOverMessage) {
		t.Error("a line is written")
	}
	for name, ms := range term.deps.Counters.PassedOver.figures() {
		if ms != 0 {
			t.Errorf("%s counts %d ms", name, ms)
		}
	}
}

// Time counts for the cause that was found, and no more of it than between two
// classifications, although the step may not have been planned for long.
func TestPassedOverTimeIsCountedByCause(t *testing.T) {
	term, _ := starvingTerm(true)
	p := passedOver{paused: 1, others: 3}
	p.workers.Workers[placement.FillingFull], p.workers.Workers[placement.Pressing], p.workers.Sole[placement.Pressing] = 4, 2, 1
	term.countPassedOver(&p, 200*time.Millisecond)
	got := term.deps.Counters.PassedOver.figures()
	if got["pressing"] != 600 || got["paused"] != 200 || got["filling_full"] != 0 {
		t.Errorf("counted %v", got)
	}
	s := term.active[0].occurrences[0].steps[0]
	v := term.newView()
	v.setService("s")
	s.diagnosis = diagnosis{at: time.Now().Add(-time.Hour), last: passedOver{moving: 1}}
	term.diagnose(v, term.active[0].occurrences[0], term.active[0], 0, time.Now())
	if ms := term.deps.Counters.PassedOver.Moving.Load(); ms != (2 * diagnoseEvery).Milliseconds() {
		t.Errorf("%d ms counted after a gap of an hour", ms)
	}
}
