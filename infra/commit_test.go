package infra_test

import (
	"context"
	"errors"
	"flag"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
)

// TestMain fixes the seed of the randomised tests, so that the verdict never
// changes; -rapid.seed and -rapid.checks ask for other and more runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	fence = "shard/00"
	job   = "job/00/a"
	mine  = "mine"
)

// outcome is what the caller of CommitOnce learns, in one word.
type outcome string

const (
	applied     outcome = "applied"
	conflict    outcome = "conflict"
	superseded  outcome = "superseded, applied"
	hidden      outcome = "superseded, hidden"
	unknown     outcome = "unknown"
	unavailable outcome = "unavailable"
	invalid     outcome = "invalid"
)

func outcomeOf(err error) outcome {
	var c *infra.ConflictError
	var s *infra.SupersededError
	switch {
	case err == nil:
		return applied
	case errors.As(err, &c):
		return conflict
	case errors.As(err, &s) && s.Applied:
		return superseded
	case errors.As(err, &s):
		return hidden
	case errors.Is(err, infra.ErrUnavailable):
		return unavailable
	case errors.Is(err, infra.ErrInvalid):
		return invalid
	case errors.Is(err, infra.ErrUnknown):
		return unknown
	}
	return outcome(err.Error())
}

// story is one sequence of faults around one CommitOnce. The table has the
// rows fence and job at versions 1 and 2, written by others; the transaction
// is conditional on both.
type story struct {
	name string
	// faults befall the first writes; plan applies to those after them.
	faults []fault.Fault
	plan   fault.Plan
	// raise lists the rows that the transaction puts; it checks the other.
	raise []string
	// others are written by someone else 50 ms after the first attempt.
	others []string
	want   outcome
	// effects is how often the transaction took effect in the end.
	effects int
}

func stories() []story {
	patient := fault.Plan{Patience: fault.Exactly(100 * time.Millisecond)}
	holding := fault.Plan{Patience: patient.Patience, Hold: true}
	landing := fault.Plan{Patience: patient.Patience, Landing: fault.Exactly(80 * time.Millisecond)}
	both, lost := []string{job, fence}, []fault.Fault{fault.LoseAnswer}
	return []story{
		// A customer's submission is stored, its answer is lost, and the entry
		// writes again: the job must not be reported as refused, nor be written
		// twice. Cause: the connection broke after the store had applied it.
		{"answer lost", lost, patient, both, nil, applied, 1},
		// The entry gave the first attempt up and repeated it; long after the
		// repeat succeeded, the first one reaches the store.
		{"delayed write lands after the repeat", []fault.Fault{fault.Delay}, holding, both, nil, applied, 1},
		// The first attempt lands after its time-out but before the repeat.
		{"delayed write lands before the repeat", []fault.Fault{fault.Delay}, landing, both, nil, applied, 1},
		// The store never answers the first attempt, for longer than the caller
		// has: the repeat must not wait for that.
		{"first attempt hangs", []fault.Fault{fault.LoseAnswer}, fault.Plan{Patience: fault.Exactly(time.Hour)}, both, nil, applied, 1},
		// Someone else's change came first; nothing of ours is to be seen.
		{"dropped, then another's change of the row", []fault.Fault{fault.Timeout}, patient, []string{job}, []string{fence}, conflict, 0},
		// The first attempt's answer is slow to be lost, then the store refuses
		// everything. The first attempt lands an hour later: "unavailable" would
		// have been read as proof that it never does.
		{"unavailable after unknown", []fault.Fault{fault.Delay}, fault.Plan{Patience: patient.Patience, Hold: true, Down: 1}, both, nil, unknown, 1},
		{"unavailable at once", nil, fault.Plan{Down: 1}, both, nil, unavailable, 0},
		// Our write is applied and its answer lost; then a new owner raises the
		// fence, which our transaction only checks. The repeat breaks on the
		// fence, and a job that does run was reported as not written.
		{"answer lost, checked row changed since", lost, patient, []string{job}, []string{fence}, applied, 1},
		// As above, but we put the fence too: the version now in it is the new
		// owner's. An old owner that takes it for its own goes on writing.
		{"answer lost, a put row changed since", lost, patient, both, []string{fence}, superseded, 1},
		// Every row of ours was changed since: nobody can tell any more.
		{"answer lost, every put row changed since", lost, patient, []string{job}, []string{job}, hidden, 1},
	}
}

func TestCommitOnceStories(t *testing.T) {
	for _, s := range stories() {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.run(t) })
		})
	}
}

func (s story) run(t *testing.T) {
	inner := &ledger{Table: memory.NewTable()}
	for _, key := range []string{fence, job} {
		overwrite(t, inner, key)
	}
	txn := infra.Txn{Op: mine, Conds: []infra.Cond{{Key: job, Version: 2}, {Key: fence, Version: 1}}}
	if !slices.Contains(s.raise, fence) {
		// The row that is only checked comes first, so that a repeat breaks on it.
		slices.Reverse(txn.Conds)
	}
	for _, key := range s.raise {
		txn.Puts = append(txn.Puts, infra.Put{Key: key, Value: []byte(mine)})
	}
	control := fault.NewControl(1)
	control.Set(s.plan)
	control.Next(s.faults...)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() {
		for _, key := range s.others {
			overwrite(t, inner, key)
		}
	})
	versions, err := infra.CommitOnce(ctx, fault.NewTable(inner, control), txn)
	synctest.Wait()
	control.Release()
	control.Wait()

	if got := outcomeOf(err); got != s.want {
		t.Errorf("the caller learnt %q (%v), want %q", got, err, s.want)
	}
	if got := len(inner.versions[mine]); got != s.effects {
		t.Errorf("took effect %d times, want %d", got, s.effects)
	}
	if err == nil {
		if diff := cmp.Diff(inner.versions[mine][0], versions); diff != "" {
			t.Errorf("versions that aren't those of the write: %s", diff)
		}
	}
	if s.want != unknown {
		return
	}
	// The caller comes back to it later and learns that it was applied.
	control.Heal()
	if _, err := infra.CommitAgain(t.Context(), fault.NewTable(inner, control), txn); err != nil {
		t.Errorf("later: %v, want success", err)
	}
}

// overwrite changes a row as another process does.
func overwrite(t *testing.T, tab infra.Table, key string) {
	txn := infra.Txn{Op: "other", Puts: []infra.Put{{Key: key, Value: []byte("other")}}}
	if _, err := tab.Commit(t.Context(), txn); err != nil {
		t.Error(err)
	}
}

func TestCommitOnceRefusesWhatItCannotRepeat(t *testing.T) {
	puts := []infra.Put{{Key: job}}
	for name, txn := range map[string]infra.Txn{
		"no operation ID":               {Conds: []infra.Cond{{Key: job}}, Puts: puts},
		"no condition on a row it puts": {Op: mine, Conds: []infra.Cond{{Key: fence}}, Puts: puts},
	} {
		if _, err := infra.CommitOnce(t.Context(), memory.NewTable(), txn); outcomeOf(err) != invalid {
			t.Errorf("%s: %v", name, err)
		}
	}
}
