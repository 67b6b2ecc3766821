package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// The planned size: 1,000 workers, 110 customers, 30,800 running tasks.
const (
	benchCustomers = 110
	benchKinds     = 40
	benchServices  = 30
	tasksPerWorker = 28
	queuedPerRound = 4 * benchCustomers
	startsPerRound = 23 // 450 per second in rounds of 50 ms
)

func benchModel() *Interference {
	m := NewInterference()
	for i := range 20_000 {
		r := mix(uint64(i))
		m.Observe(Sample{
			Service:     structs.Service(fmt.Sprintf("service-%d", r%benchServices)),
			Band:        LoadBand(r >> 8 % 3),
			ServiceTime: time.Duration(100+r>>16%5) * time.Millisecond,
			Calls:       20,
			Together: []KindCount{
				{structs.Kind(fmt.Sprintf("kind-%d", r>>24%benchKinds)), float64(r >> 40 % 4)},
				{structs.Kind(fmt.Sprintf("kind-%d", r>>32%benchKinds)), float64(r >> 44 % 3)},
			},
		})
	}
	return m
}

func benchView(workers int) *BatchView {
	v := &BatchView{
		Held:      make(map[structs.Customer]structs.Resources),
		Contracts: make(map[structs.Customer]structs.Contract),
	}
	for i := range workers {
		total := structs.Resources{Slots: 48, MilliCores: 60_000, MemoryBytes: 250 * gigabyte, Accelerators: 2}
		in := Instance{ID: structs.InstanceID(fmt.Sprintf("worker-%d", i)), Total: total}
		in.Free = structs.Resources{Slots: 48 - tasksPerWorker, MilliCores: 25_000, MemoryBytes: 90 * gigabyte, Accelerators: 1}
		for s := range 3 {
			in.Services = append(in.Services, wire.ServiceLoad{
				Service: structs.Service(fmt.Sprintf("service-%d", (i+7*s)%benchServices)), Slots: 8, InUse: (i + s) % 6,
			})
		}
		for k := range 7 {
			in.Batch = append(in.Batch, wire.BatchLoad{Kind: structs.Kind(fmt.Sprintf("kind-%d", (i*3+k*5)%benchKinds)), Running: tasksPerWorker / 7})
		}
		v.Instances = append(v.Instances, in)
	}
	for i := range queuedPerRound {
		c := structs.Customer(fmt.Sprintf("customer-%d", i%benchCustomers))
		v.Contracts[c] = structs.Contract{Customer: c, Share: 0.9 / benchCustomers}
		v.Held[c] = structs.Resources{Slots: 100 + i%50}
		need := structs.Resources{Slots: 1, MilliCores: 800, MemoryBytes: int64(1+i%7) * gigabyte}
		v.Queue = append(v.Queue, Waiting{
			Job: structs.JobID(fmt.Sprintf("job-%d", i)), Customer: c, Kind: structs.Kind(fmt.Sprintf("kind-%d", i%benchKinds)), Need: need, Order: uint64(i),
		})
	}
	return v
}

// BenchmarkPlaceBatch reports the cost of one placement in a round of 23 placements.
func BenchmarkPlaceBatch(b *testing.B) {
	m := benchModel()
	for _, workers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			v := benchView(workers)
			var p Planner
			p.PlaceBatch(v, m, startsPerRound)
			b.ReportAllocs()
			b.ResetTimer()
			placed := 0
			for b.Loop() {
				out, _ := p.PlaceBatch(v, m, startsPerRound)
				placed += len(out)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/placement")
		})
	}
}

func BenchmarkChooseUrgent(b *testing.B) {
	m := benchModel()
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view := benchView(n)
			cs := make([]Candidate, n)
			for i := range cs {
				cs[i] = Candidate{
					Instance: view.Instances[i].ID, Zone: structs.DataCentre(fmt.Sprint(i % 5)), Slots: 8, InUse: i % 9,
					ServiceTime: 100 * time.Millisecond, Age: time.Second, Batch: view.Instances[i].Batch,
				}
			}
			q := UrgentQuery{Service: "service-1", Customer: "customer-1", Zone: "1", Remaining: time.Second}
			b.ReportAllocs()
			for b.Loop() {
				q.Random++
				ChooseUrgent(q, cs, m)
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	uses := make([]SlotUse, benchCustomers+1)
	for i := range benchCustomers {
		uses[i] = SlotUse{Customer: structs.Customer(fmt.Sprintf("customer-%d", i)), Urgent: i % 2, Quota: 1, Expected: 2}
	}
	uses[benchCustomers] = SlotUse{Urgent: 20, Expected: 24}
	c := structs.Contract{Customer: "customer-109", Share: 0.008}
	free := structs.Resources{Slots: 9}
	b.Run("urgent", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			AdmitUrgent(uses, c, 1, free)
		}
	})
	b.Run("batch", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			AdmitBatch(uses, c, 1, structs.Resources{Slots: 1}, free)
		}
	})
}

// BenchmarkState reports the memory of the state that an entry keeps for
// decisions: snapshot, planner, learner, sizes, health, reports and budgets.
func BenchmarkState(b *testing.B) {
	for _, workers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				kept := buildState(workers)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(kept)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}

func buildState(workers int) []any {
	m, v := benchModel(), benchView(workers)
	p, s, h, r, reports := &Planner{}, &Sizes{}, &Health{}, &RetryBudget{}, &Reports{}
	p.PlaceBatch(v, m, startsPerRound)
	for i := range workers * tasksPerWorker {
		c := structs.Customer(fmt.Sprintf("customer-%d", i%benchCustomers))
		k := structs.Kind(fmt.Sprintf("kind-%d", i%benchKinds))
		s.Observe(c, k, structs.Resources{MemoryBytes: gigabyte, MilliCores: 1000}, time.Minute)
		h.Report(time.Duration(i)*time.Millisecond, v.Instances[i%workers].ID, k, true)
		r.Call(0, c)
	}
	for i := range v.Instances {
		in := &v.Instances[i]
		reports.Accept(0, 0, &wire.Load{Instance: in.ID, Incarnation: 1, Sequence: 1, Total: in.Total, Free: in.Free})
	}
	return []any{m, v, p, s, h, r, reports}
}
