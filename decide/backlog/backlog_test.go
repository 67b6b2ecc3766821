package backlog

import (
	"strings"
	"testing"

	"persimmonrock.example/structs/workload"
)

func job(steps, tasks int, label string) *workload.Job {
	j := &workload.Job{Payload: "p"}
	for range steps {
		j.Steps = append(j.Steps, workload.Step{Count: tasks, Label: label})
	}
	return j
}

// Guards against large jobs that leave no memory for ordinary ones.
func TestLargeJobsAreRefusedBeforeOrdinaryOnes(t *testing.T) {
	ordinary, long, wide := Cost(job(2, 8, "")), Cost(job(100, 1, strings.Repeat("a", 500))), Cost(job(1, workload.MaxTasks, ""))
	for _, c := range []struct {
		free                 int64
		ordinary, long, wide bool
	}{{100 << 20, true, true, true}, {20 << 20, true, true, false}, {2 << 20, true, false, false}, {100 << 10, false, false, false}, {-1, false, false, false}} {
		if o, l, w := Fits(ordinary, c.free), Fits(long, c.free), Fits(wide, c.free); o != c.ordinary || l != c.long || w != c.wide {
			t.Errorf("%d bytes free: an ordinary job fits %t, one of long steps %t, a wide one %t, want %t, %t, %t", c.free, o, l, w, c.ordinary, c.long, c.wide)
		}
	}
}

// Guards against a limit that a job within the documented ones meets in calm: the
// smallest machine has 184 MB, six tenths of which are for jobs; an entry without jobs uses a tenth.
func TestLargestJobFitsInCalm(t *testing.T) {
	largest := job(workload.MaxSteps, workload.MaxTasks/workload.MaxSteps, strings.Repeat("a", 300))
	if cost := Cost(largest); !Fits(cost, 70<<20) {
		t.Errorf("a job of %d bytes does not fit", cost)
	}
}
