package batch

import (
	"context"
	"time"
)

// Bounds of the interval between scans of the agents' lease rows. The rows of
// 1,000 agents are 18 KB, too many bytes for a scan every few seconds.
const (
	// maxUnstretchedRows is the largest number of rows that is scanned every
	// AgentScanEvery; with more rows the interval grows in proportion, so that
	// the bytes a second stay the same.
	maxUnstretchedRows = 200
	// maxScanStretch bounds the interval, as a multiple of AgentScanEvery. A
	// lapsed lease is noticed up to two scans after its end.
	maxScanStretch = 6
)

// watchAgents reads the agents' lease rows until ctx ends.
func (m *Manager) watchAgents(ctx context.Context) {
	for ctx.Err() == nil {
		m.observeAgents(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(m.agentScanInterval()):
		}
	}
}

// agentScanInterval computes the pause between scans from the number of rows in
// the last complete scan. observedLease expects this gap between two readings.
func (m *Manager) agentScanInterval() time.Duration {
	interval := m.cfg.AgentScanEvery
	stretched := interval * time.Duration(m.leaseRows.Load()) / maxUnstretchedRows
	return min(max(interval, stretched), maxScanStretch*interval)
}
