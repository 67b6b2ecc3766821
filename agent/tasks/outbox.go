package tasks

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// maxReports bounds the reports in one message.
const maxReports = 128

// outbox holds the reports of ended tasks that no entry has confirmed yet.
type outbox struct {
	pending map[Key]wire.TaskReport
	order   []Key
	// owners is, by shard, the entry that last confirmed one of its reports.
	owners map[structs.ShardID]string
	wake   chan struct{}
}

func newOutbox() outbox {
	return outbox{
		pending: make(map[Key]wire.TaskReport),
		owners:  make(map[structs.ShardID]string),
		wake:    make(chan struct{}, 1),
	}
}

// add queues r; the manager's lock is held.
func (o *outbox) add(k Key, r wire.TaskReport) {
	if _, ok := o.pending[k]; ok {
		return
	}
	o.pending[k] = r
	o.order = append(o.order, k)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// deliverEnds sends the pending reports until they are confirmed. To bound its
// rate it sends one message at a time and pauses longer while none is confirmed.
func (m *Manager) deliverEnds(ctx context.Context) {
	pause := m.config.Report
	for {
		if !m.anyPending() {
			select {
			case <-ctx.Done():
				return
			case <-m.outbox.wake:
			}
			pause = m.config.Report
		}
		settled := m.reportRound(ctx)
		if settled > 0 || !m.anyPending() {
			pause = m.config.Report
		} else {
			pause = min(2*pause, m.config.RetryMax)
		}
		jitter := time.Duration(rand.Int64N(int64(pause)/4 + 1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause + jitter):
		}
	}
}

func (m *Manager) anyPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.outbox.pending) > 0
}

// reportRound sends each pending report to the last known owner of its shard,
// or else to one entry after another. It returns the number confirmed.
func (m *Manager) reportRound(ctx context.Context) int {
	total := 0
	entries := m.deps.Entries()
	m.pruneOwners(entries)
	for _, entry := range entries {
		if _, left := m.deps.Lease.Held(time.Now()); left <= 0 {
			return total
		}
		reports := m.reportsFor(entry)
		if len(reports) == 0 {
			continue
		}
		total += m.reportTo(ctx, entry, reports)
	}
	return total
}

// pruneOwners drops owners that are no longer known as entries.
func (m *Manager) pruneOwners(entries []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for shard, owner := range m.outbox.owners {
		if !slices.Contains(entries, owner) {
			delete(m.outbox.owners, shard)
		}
	}
}

func (m *Manager) reportsFor(entry string) []wire.TaskReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.TaskReport
	for _, k := range m.outbox.order {
		r, ok := m.outbox.pending[k]
		if !ok {
			continue
		}
		owner := m.outbox.owners[r.Shard]
		if owner == "" || owner == entry {
			out = append(out, r)
		}
		if len(out) == maxReports {
			break
		}
	}
	return out
}

func (m *Manager) reportTo(ctx context.Context, entry string, reports []wire.TaskReport) int {
	callCtx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	m.Counters.ReportMessages.Add(1)
	m.Counters.Reported.Add(int64(len(reports)))
	reply, err := m.deps.Peers.Entry(entry).Report(callCtx, wire.ReportRequest{
		Instance: m.config.Instance, Reports: reports, Load: m.deps.Ledger.Load(time.Now()),
	})
	settled := m.removeSettled(entry, reports, reply.Settled, err)
	for _, k := range settled {
		m.Counters.Settled.Add(1)
		m.deps.Events.Record(structs.Event{Step: StepSettled, Peer: entry, Job: k.Job, Epoch: k.Epoch})
		m.forget(ctx, k)
	}
	return len(settled)
}

// removeSettled removes the confirmed reports and updates the shards' owners.
func (m *Manager) removeSettled(entry string, reports []wire.TaskReport, settled []bool, err error) []Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Key
	for i, r := range reports {
		if err != nil || i >= len(settled) || !settled[i] {
			if m.outbox.owners[r.Shard] == entry {
				delete(m.outbox.owners, r.Shard)
			}
			continue
		}
		k := Key{Job: r.Job, Epoch: r.Epoch}
		delete(m.outbox.pending, k)
		m.outbox.owners[r.Shard] = entry
		out = append(out, k)
	}
	m.outbox.requeue(reports)
	return out
}

// requeue drops confirmed reports from the order. Reports that were sent but
// not confirmed move to the end, so that they don't delay the others.
func (o *outbox) requeue(sent []wire.TaskReport) {
	var rest, unsettled []Key
	tried := make(map[Key]bool, len(sent))
	for _, r := range sent {
		tried[Key{Job: r.Job, Epoch: r.Epoch}] = true
	}
	for _, k := range o.order {
		if _, ok := o.pending[k]; !ok {
			continue
		}
		if tried[k] {
			unsettled = append(unsettled, k)
		} else {
			rest = append(rest, k)
		}
	}
	o.order = append(rest, unsettled...)
}
