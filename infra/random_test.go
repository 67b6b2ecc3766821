package infra_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
)

// ledger records each transaction that takes effect in the store.
type ledger struct {
	infra.Table
	mu       sync.Mutex
	versions map[string][][]uint64
}

func (l *ledger) Commit(ctx context.Context, t infra.Txn) ([]uint64, error) {
	versions, err := l.Table.Commit(ctx, t)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions == nil {
		l.versions = make(map[string][][]uint64)
	}
	if err == nil {
		l.versions[t.Op] = append(l.versions[t.Op], versions)
	}
	return versions, err
}

// client is one process that appends its operation IDs to shared rows.
type client struct {
	id       int
	control  *fault.Control
	table    infra.Table
	steps    []step
	outcomes map[string]outcome
	wrong    []string
}

// step is one read-change-write of a client.
type step struct {
	// keys are the rows that the step appends to; checked is a row that it
	// only requires to be unchanged, or "".
	keys    []string
	checked string
	pause   time.Duration
	timeout time.Duration
}

func drawPlan(t *rapid.T, label string) fault.Plan {
	probability := rapid.SampledFrom([]float64{0, 0.05, 0.2})
	return fault.Plan{
		Down:          probability.Draw(t, label+" down"),
		Timeout:       probability.Draw(t, label+" timeout"),
		LoseAnswer:    probability.Draw(t, label+" lose answer"),
		Delay:         probability.Draw(t, label+" delay"),
		Slow:          probability.Draw(t, label+" slow"),
		Latency:       fault.Range{Min: time.Millisecond, Max: 3 * time.Second},
		AnswerTimeout: fault.Range{Max: 200 * time.Millisecond},
		ApplyDelay:    fault.Range{Max: rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, label+" landing")},
	}
}

func drawStep(t *rapid.T) step {
	rows := []string{"row/a", "row/b", "row/c"}
	s := step{
		keys:    rapid.SliceOfNDistinct(rapid.SampledFrom(rows), 1, 2, rapid.ID[string]).Draw(t, "keys"),
		pause:   time.Duration(rapid.IntRange(0, 300).Draw(t, "pause ms")) * time.Millisecond,
		timeout: time.Duration(rapid.IntRange(1, 4000).Draw(t, "patience ms")) * time.Millisecond,
	}
	if other := rapid.SampledFrom(rows).Draw(t, "checked"); !slices.Contains(s.keys, other) {
		s.checked = other
	}
	return s
}

// run executes the steps; each is one intent with one operation ID.
func (c *client) run() {
	// No two clients act at the same instant, so that runs are reproducible.
	time.Sleep(time.Duration(c.id) * 137 * time.Microsecond)
	for i, s := range c.steps {
		time.Sleep(s.pause)
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
		c.step(ctx, fmt.Sprintf("c%d-%d", c.id, i), s)
		cancel()
	}
}

func (c *client) step(ctx context.Context, op string, s step) {
	txn := infra.Txn{Op: op}
	for _, key := range append(slices.Clone(s.keys), s.checked) {
		if key == "" {
			continue
		}
		row, err := c.table.Get(ctx, key)
		if err != nil {
			return
		}
		txn.Conds = append(txn.Conds, infra.Cond{Key: key, Version: row.Version})
		if key != s.checked {
			txn.Puts = append(txn.Puts, infra.Put{Key: key, Value: append(row.Value, " "+op...)})
		}
	}
	versions, err := infra.CommitOnce(ctx, c.table, txn)
	c.outcomes[op] = outcomeOf(err)
	if err == nil {
		c.checkVersions(txn, versions)
	}
}

// checkVersions checks that the versions that a success returned are this
// client's: a row that still has one of them must name the client's operation.
func (c *client) checkVersions(txn infra.Txn, versions []uint64) {
	for i, p := range txn.Puts {
		row, err := c.table.Get(context.Background(), p.Key)
		if err == nil && row.Version == versions[i] && row.Op != txn.Op {
			c.wrong = append(c.wrong, fmt.Sprintf("%s received version %d of %s, which %s wrote", txn.Op, row.Version, p.Key, row.Op))
		}
	}
}

// Three processes change the same rows through a store that is down, slow,
// loses answers and applies writes late, all at once. Guards against a job that
// is lost (reported as written, but isn't) or doubled (reported as refused, but
// runs, or written twice). Each row lists the operations that changed it, so that
// both are detected.
func TestRandomFaultsNeitherLoseNorDoubleWrites(t *testing.T) {
	seen := make(map[outcome]int)
	rapid.Check(t, func(rt *rapid.T) {
		clients := make([]*client, 3)
		for i := range clients {
			control := fault.NewControl(rapid.Uint64().Draw(rt, "seed"))
			control.Set(drawPlan(rt, fmt.Sprint("client ", i)))
			clients[i] = &client{
				id:       i,
				control:  control,
				steps:    rapid.SliceOfN(rapid.Custom(drawStep), 1, 12).Draw(rt, "steps"),
				outcomes: make(map[string]outcome),
			}
		}
		var wrong []string
		synctest.Test(t, func(t *testing.T) { wrong = runClients(t, clients, seen) })
		if len(wrong) > 0 {
			rt.Fatal(strings.Join(wrong, "\n"))
		}
	})
	t.Logf("outcomes: %v", seen)
	for _, o := range []outcome{applied, conflict, superseded, hidden, unknown, unavailable} {
		if seen[o] == 0 {
			t.Errorf("no run had the outcome %q", o)
		}
	}
}

func runClients(t *testing.T, clients []*client, seen map[outcome]int) (wrong []string) {
	inner := &ledger{Table: memory.NewTable()}
	for _, key := range []string{"row/a", "row/b", "row/c"} {
		overwrite(t, inner, key)
	}
	var running sync.WaitGroup
	for _, c := range clients {
		c.table = fault.NewTable(inner, c.control)
		running.Go(c.run)
	}
	running.Wait()
	for _, c := range clients {
		c.control.Wait()
	}
	for _, c := range clients {
		wrong = append(wrong, c.wrong...)
		for op, o := range c.outcomes {
			seen[o]++
			effects := len(inner.versions[op])
			if !o.allows(effects) {
				wrong = append(wrong, fmt.Sprintf("%s took effect %d times, its caller got outcome %q", op, effects, o))
			}
		}
	}
	return append(wrong, compareLists(t, inner)...)
}

// allows reports whether an operation of this outcome may have taken effect n
// times in all.
func (o outcome) allows(n int) bool {
	switch o {
	case applied, superseded:
		return n == 1
	case conflict, unavailable, invalid:
		return n == 0
	}
	return n <= 1
}

// compareLists checks the rows against the ledger: each operation that took
// effect is listed once in each of its rows, and no row lists any other
// operation.
func compareLists(t *testing.T, inner *ledger) (wrong []string) {
	listed := make(map[string]int)
	rows, err := inner.Scan(t.Context(), "row/", "", 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		for _, op := range strings.Fields(string(row.Value))[1:] {
			listed[op]++
		}
	}
	for op, effects := range inner.versions {
		if op != "other" && listed[op] != len(effects[0]) {
			wrong = append(wrong, fmt.Sprintf("%s is listed in %d rows, wrote %d", op, listed[op], len(effects[0])))
		}
		delete(listed, op)
	}
	if len(listed) > 0 {
		wrong = append(wrong, fmt.Sprintf("rows list operations that never took effect: %v", listed))
	}
	return wrong
}
