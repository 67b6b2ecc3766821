package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonrock.example/structs"
)

func TestSumOfQuotasDoesNotExceedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fleet []InstanceSlots
		total := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "instances") {
			n := rapid.IntRange(0, 40).Draw(t, "slots")
			total += n
			fleet = append(fleet, InstanceSlots{structs.InstanceID(fmt.Sprint("w", i)), n})
		}
		c := contract(structs.Customer(rapid.StringN(1, 8, -1).Draw(t, "customer")), rapid.Float64Range(0.0001, 1).Draw(t, "share"))
		sum := 0
		for i, n := range QuotaIn(c, fleet) {
			if n < 0 || n > fleet[i].Slots {
				t.Fatalf("quota of %d slots on an instance with %d", n, fleet[i].Slots)
			}
			sum += n
		}
		if exact := c.Share * float64(total); float64(sum) > exact+1e-6 || float64(sum) < exact-1-1e-6 {
			t.Fatalf("sum %d, share is %v", sum, exact)
		}
	})
}

func TestSmallShareHasWholeSlotsOnSomeInstances(t *testing.T) {
	sum, some := 0, 0
	for i := range 1000 {
		n := Quota(contract("small", 0.01), structs.InstanceID(fmt.Sprint("w", i)), slots(8, 1))
		sum += n
		some += min(n, 1)
	}
	if sum < 60 || sum > 100 || some < 60 {
		t.Errorf("%d slots on %d of 1000 instances, want about 80", sum, some)
	}
}

func TestAdmission(t *testing.T) {
	idle := []SlotUse{{Customer: "x"}, {Customer: "y"}}
	reserved := []SlotUse{{Customer: "x", Urgent: 4, Recent: 4, Quota: 2}, {Customer: "y", Quota: 4, Expected: 3}}
	burst := []SlotUse{{Customer: "x", Urgent: 4, Recent: 0.3, Quota: 2}, reserved[1]}
	recentUnknown := []SlotUse{{Customer: "x", Urgent: 4, Quota: 2}, reserved[1]}
	ownBatch := []SlotUse{{Customer: "x", Batch: 4, Quota: 4, Expected: 2}}
	ownFlood := []SlotUse{{Customer: "x", Urgent: 4, Recent: 4, Expected: 5, Quota: 8}}
	common := []SlotUse{reserved[1], {Customer: "z", Quota: 4, Expected: 3}, {Urgent: 0, Expected: 2}}
	x := contract("x", 0.25)
	for name, c := range map[string]struct {
		uses  []SlotUse
		quota int
		free  int
		batch int
		want  bool
	}{
		"within quota":                             {idle, 2, 1, 0, true},
		"no slot":                                  {idle, 2, 0, 0, false},
		"borrows unreserved slot":                  {[]SlotUse{{Customer: "x", Urgent: 4, Quota: 2}}, 2, 1, 0, true},
		"flood leaves reserved slots":              {reserved, 2, 3, 0, false},
		"burst may borrow reserved slot":           {burst, 2, 1, 0, true},
		"recent use unknown, within reserved":      {recentUnknown, 2, 3, 0, false},
		"recent use unknown, beyond reserved":      {recentUnknown, 2, 4, 0, true},
		"batch within free slots":                  {idle, 2, 2, 2, true},
		"batch leaves reserved slots":              {reserved, 2, 3, 1, false},
		"batch beyond reserved slots":              {burst, 2, 4, 1, true},
		"no borrowing batch beside flood of calls": {reserved, 2, 9, 1, false},
		"flood's batch within its quota":           {ownFlood, 8, 9, 1, true},
		"batch leaves own calls' slots":            {ownBatch, 4, 2, 1, false},
		"common peak bounds reserved slots":        {common, 2, 3, 1, true},
	} {
		free := slots(c.free, 1)
		ok, hold := AdmitUrgent(c.uses, x, c.quota, free)
		if c.batch > 0 {
			ok, hold = AdmitBatch(c.uses, x, c.quota, structs.Resources{Slots: c.batch}, free)
		}
		if ok != c.want || ok == hold.Held() {
			t.Errorf("%s: %v %+v", name, ok, hold)
		}
	}
	if ok, hold := AdmitUrgent(idle, contract("z", 0), 0, slots(4, 1)); ok || hold.Refusal != structs.RefusedForbidden {
		t.Error("a customer without a share was admitted")
	}
}

// Guards against: the five jobs of one customer wait for a thousand jobs that
// another customer submitted a moment earlier. It comes about when jobs are placed
// in the order of arrival.
func TestFloodOfJobsLeavesOthersTheirShare(t *testing.T) {
	v := &BatchView{Contracts: map[structs.Customer]structs.Contract{"flood": contract("flood", 0.5), "calm": contract("calm", 0.25)}}
	v.Instances = []Instance{{ID: "w", Total: slots(24, 100), Free: slots(24, 100)}}
	for i := range 1000 {
		v.Queue = append(v.Queue, Waiting{Job: structs.JobID(fmt.Sprint("f", i)), Customer: "flood", Need: slots(1, 1), Order: uint64(i)})
	}
	for i := range 5 {
		v.Queue = append(v.Queue, Waiting{Job: structs.JobID(fmt.Sprint("c", i)), Customer: "calm", Need: slots(1, 1), Order: uint64(i)})
	}
	var p Planner
	placed, _ := p.PlaceBatch(v, nil, 15)
	calm := 0
	for _, pl := range placed {
		if v.Queue[pl.Index].Customer == "calm" {
			calm++
		}
	}
	if len(placed) != 15 || calm != 5 {
		t.Fatalf("placed %d, %d of the calm customer", len(placed), calm)
	}
	placed, holds := p.PlaceBatch(v, nil, 1000)
	if got := len(placed); got != 5+16 || holds["f999"].Reason != "waits: share of customer flood used up" {
		t.Fatalf("placed %d of 24, want 21, which leaves free slots for others; %+v", got, holds["f999"])
	}
}

func TestPlacementsFitAndUnplaceableJobsBlockNoOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &BatchView{Contracts: map[structs.Customer]structs.Contract{"a": contract("a", 0.5), "b": contract("b", 0.5)}}
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		for i := range n {
			total := slots(rapid.IntRange(2, 30).Draw(t, "slots"), 100)
			in := Instance{ID: structs.InstanceID(fmt.Sprint(i)), Total: total, Free: total}
			in.Draining = i > 0 && rapid.IntRange(0, 3).Draw(t, "draining") == 0
			v.Instances = append(v.Instances, in)
		}
		impossible := map[structs.JobID]bool{}
		jobs := rapid.IntRange(0, 40).Draw(t, "jobs")
		for i := range jobs {
			need := slots(1, 1)
			id := structs.JobID(fmt.Sprint("j", i))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				need.MemoryBytes, impossible[id] = 101*gigabyte, true
			case 1:
				need.MemoryBytes, impossible[id] = -1, true
			}
			c := rapid.SampledFrom([]structs.Customer{"a", "b"}).Draw(t, "customer")
			v.Queue = append(v.Queue, Waiting{Job: id, Customer: c, Need: need, Order: uint64(i)})
		}
		var p Planner
		placed, holds := p.PlaceBatch(v, nil, 1000)
		free := map[structs.InstanceID]structs.Resources{}
		for _, in := range v.Instances {
			free[in.ID] = in.Free
			if in.Draining {
				free[in.ID] = structs.Resources{}
			}
		}
		for _, pl := range placed {
			need := v.Queue[pl.Index].Need
			if impossible[pl.Job] || !fits(need, free[pl.Instance]) {
				t.Fatalf("%s placed on %s with %+v free", pl.Job, pl.Instance, free[pl.Instance])
			}
			free[pl.Instance] = minus(free[pl.Instance], need)
		}
		if len(placed)+len(holds) != jobs {
			t.Fatalf("%d placed and %d held of %d", len(placed), len(holds), jobs)
		}
		for id := range impossible {
			if holds[id].Refusal == "" {
				t.Fatalf("%s: %+v", id, holds[id])
			}
		}
		for id, h := range holds {
			if !impossible[id] && h.Reason == ReasonNoFit {
				for i, in := range v.Instances {
					if !in.Draining && fits(slots(1, 1), free[in.ID]) {
						t.Fatalf("%s waits within its share while instance %d has free capacity", id, i)
					}
				}
			}
		}
	})
}

func TestRetriesStayUnderATenthOfCallsInOutage(t *testing.T) {
	var b RetryBudget
	calls, attempts := 0, 0
	for now := time.Duration(0); now < 2*time.Minute; now += 10 * time.Millisecond {
		b.Call(now, "x")
		calls++
		attempts++
		for range 3 {
			if b.Retry(now, "x") {
				attempts++
			}
		}
	}
	if a := float64(attempts) / float64(calls); a >= 1.1 || a <= 1 {
		t.Errorf("%v attempts a call", a)
	}
	if b.Hedge(time.Hour, "x", false, time.Second, time.Millisecond, time.Second) {
		t.Error("hedged a call that is not idempotent")
	}
	if !b.Hedge(time.Hour, "x", true, time.Second, time.Millisecond, time.Second) || b.Hedge(time.Hour, "x", true, 0, time.Millisecond, time.Second) {
		t.Error("hedge of an idempotent call: want after its p95 only")
	}
}

func TestRetryAfterGrowsWithQueueAndIsJittered(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range uint64(100) {
		short, long := RetryAfter(1, 10, 100*time.Millisecond, i), RetryAfter(1000, 10, 100*time.Millisecond, i)
		if short < minRetryAfter || long > maxRetryAfter || long < 10*time.Second {
			t.Fatalf("short %v, long %v", short, long)
		}
		seen[long] = true
	}
	if len(seen) < 90 || RetryAfter(1<<60, 1, time.Hour, 1) > maxRetryAfter || RetryAfter(-1, -1, -1, 1) < minRetryAfter {
		t.Errorf("%d different values of 100", len(seen))
	}
}
