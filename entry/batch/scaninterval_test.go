package batch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// One of 1,000 instances fails and its lease row stays unchanged while the
// others renew theirs. The entry must fence that lease alone, never before it
// ends and at most two scans later, at the interval stretched for 1,000 rows.
// Until then the failed instance's tasks wait.
func TestLapseIsDetectedAtTheStretchedInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const agents, length = 1000, 10 * time.Minute
		table := memory.NewTable()
		renew := func(i, counter int) {
			l := structs.AgentLease{Instance: structs.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, Counter: uint64(counter), State: structs.LeaseActive, Length: structs.Duration(length)}
			_, _ = table.Commit(t.Context(), infra.Txn{Op: fmt.Sprint(i, counter), Puts: []infra.Put{{Key: structs.AgentLeaseKey(l.Instance), Value: encode(l)}}})
		}
		for i := range agents {
			renew(i, 1)
		}
		m := New(Config{Entry: "e1"}, Deps{Table: table})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.watchAgents(ctx)
		time.Sleep(time.Millisecond)
		interval := m.agentScanInterval()
		reads := table.Reads()
		began, counter := time.Now(), 1
		for m.count.agentsFenced.Load() == 0 && time.Since(began) < 2*length {
			time.Sleep(30 * time.Second)
			counter++
			for i := 1; i < agents; i++ {
				renew(i, counter)
			}
		}
		took := time.Since(began)
		if earliest := length + DefaultLeaseMargin; took < earliest || took > earliest+2*interval+30*time.Second {
			t.Errorf("fenced after %s with a scan every %s", took, interval)
		}
		if n := m.count.agentsFenced.Load(); n != 1 || m.agentLeases.proofOf("i0", 1) != proofFenced {
			t.Errorf("%d agents fenced", n)
		}
		t.Logf("%d agents: a scan every %s, %.3f reads a second, fenced after %s", agents, interval, float64(table.Reads()-reads)/took.Seconds(), took)
		if interval <= DefaultAgentScan {
			t.Errorf("the scan interval for %d rows is %s", agents, interval)
		}
	})
}

// With few agents the scan interval is AgentScanEvery. With very many agents it
// stays within its bound, since a failed instance's tasks wait for a scan.
func TestIntervalOfLeaseScans(t *testing.T) {
	m := New(Config{AgentScanEvery: 10 * time.Second}, Deps{})
	for rows, want := range map[int64]time.Duration{0: 10 * time.Second, maxUnstretchedRows: 10 * time.Second, 2 * maxUnstretchedRows: 20 * time.Second, 100_000: time.Minute} {
		m.leaseRows.Store(rows)
		if got := m.agentScanInterval(); got != want {
			t.Errorf("%d rows: %s, want %s", rows, got, want)
		}
	}
}
