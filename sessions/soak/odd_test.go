package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/oddvalue"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

var odd = flag.Bool("soak.odd", false, "another writer leaves odd rows and reports, too")

// oddStream is the random stream from which the odd writer's faults are drawn.
const oddStream = 300

// Failure guarded against: an odd row or report that another writer leaves, between
// other faults, ends processes, stops scheduling or takes a worker out of use for good.
func TestSoakWithOddWriter(t *testing.T) {
	const seed = 65
	runSeed(t, seed, oddWriter)
}

// oddWriter are the faults of a writer that does not know the formats.
var oddWriter = []fault{
	{"odd lease row", func(d *deployment, rng *rand.Rand) func() {
		d.overwrite(rng, rowstore.Key{Table: "scheduler", Part: "s", Key: "lease"})
		return nil
	}},
	{"odd agent row", func(d *deployment, rng *rand.Rand) func() {
		d.overwrite(rng, d.pickRow(rng, "agents"))
		return nil
	}},
	{"odd entry row", func(d *deployment, rng *rand.Rand) func() {
		d.overwrite(rng, d.pickRow(rng, "entries"))
		return nil
	}},
	{"odd learnt row", func(d *deployment, rng *rand.Rand) func() {
		for _, key := range []string{"pressure", "runtimes"} {
			d.overwrite(rng, rowstore.Key{Table: "learnt", Part: "s", Key: key})
		}
		return nil
	}},
	{"odd row beside others", func(d *deployment, rng *rand.Rand) func() {
		job := fmt.Sprintf("%016x", rng.Uint64())
		if rng.IntN(4) == 0 {
			job = "\n"
		}
		part := fmt.Sprint(rowstore.Spread(job, 32))
		for _, key := range []rowstore.Key{
			{Table: "jobs", Part: part, Key: job}, {Table: "jobs", Part: part, Key: job + ".c"}, {Table: "progress", Part: "s", Key: job},
			{Table: "progress-parts", Part: "s", Key: job + ".100.0"}, dispatch.AgentKey(job), {Table: "entries", Part: "e", Key: job},
		} {
			d.overwrite(rng, key)
		}
		return nil
	}},
	{"odd report", func(d *deployment, rng *rand.Rand) func() {
		host := pick(rng, d.hosts)
		info, _ := host.current().Info()
		ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
		defer cancel()
		numbers := []uint64{1<<64 - 1, 4000000000, 100}
		switch rng.IntN(3) {
		case 0:
			_ = standin.RawReport(ctx, host.agent.Reports(), info.ID.Instance(), pick(rng, oddvalue.Whole()).Text) // the agent may be down
		case 1:
			_ = standin.Report(ctx, host.agent.Reports(), info, pick(rng, numbers))
		default:
			info.ID = workload.NewWorkerID(info.ID.Instance(), 1<<53)
			_ = standin.Report(ctx, host.agent.Reports(), info, pick(rng, numbers))
		}
		return nil
	}},
}

// pickRow returns the key of one of the table's rows.
func (d *deployment) pickRow(rng *rand.Rand, table string) rowstore.Key {
	rows := d.store.RowsOf(table)
	if len(rows) == 0 {
		return rowstore.Key{Table: table, Part: "none", Key: "none"}
	}
	return pick(rng, rows).Key
}

// overwrite leaves an odd value in a row: one that replaces it whole, or the present
// one with an odd part.
func (d *deployment) overwrite(rng *rand.Rand, key rowstore.Key) {
	value := pick(rng, oddvalue.Whole()).Text
	for _, row := range d.store.RowsOf(key.Table) {
		if row.Key == key && rng.IntN(2) == 0 {
			value = oddvalue.Mutate(rng, row.Value)
		}
	}
	if err := d.store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}}); err != nil {
		d.t.Error(err)
	}
}
