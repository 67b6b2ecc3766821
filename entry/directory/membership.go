package directory

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Pace of an entry's own row. With five entries it costs one write and one
// read a second in all.
const (
	memberPrefix  = "entry/"
	memberRenew   = 5 * time.Second
	memberTimeout = 2 * time.Second
	// memberSilence is how long a row must stay unchanged, in this process's
	// sight, before its entry no longer counts as alive.
	memberSilence = 4 * memberRenew
	memberPage    = 200
	// memberForget is after how many silent periods the row is deleted.
	memberForget = 30
)

// memberRow is the row of one entry. It is only a hint for spreading shards
// and for finding addresses; no right follows from it.
type memberRow struct {
	Entry   structs.EntryID `json:"entry"`
	Address string          `json:"address"`
	Counter uint64          `json:"counter"`
}

// sighting is when a row was last seen to change.
type sighting struct {
	row     memberRow
	version uint64
	changed time.Time
}

// Members keeps the list of entries that are alive through rows of the table
// service. While the service is down the last list stands.
type Members struct {
	self  memberRow
	table infra.Table
	dir   *Directory

	mu      sync.Mutex
	seen    map[string]*sighting
	counter uint64

	Writes, Reads, Failed atomic.Int64
}

// NewMembers returns a list that holds only this entry.
func NewMembers(id structs.EntryID, address string, table infra.Table, dir *Directory) *Members {
	return &Members{self: memberRow{Entry: id, Address: address}, table: table, dir: dir, seen: make(map[string]*sighting)}
}

// Run renews the own row and reads the others' until ctx ends.
func (m *Members) Run(ctx context.Context) {
	timer := time.NewTimer(memberRenew)
	defer timer.Stop()
	for {
		if err := m.round(ctx); err != nil {
			m.Failed.Add(1)
		}
		timer.Reset(memberRenew)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func (m *Members) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	m.counter++
	row := m.self
	row.Counter = m.counter
	value, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "members: encode row")
	}
	m.Writes.Add(1)
	// The put is unconditional: only this entry writes its own row.
	_, err = m.table.Commit(ctx, infra.Txn{Op: rand.Text(), Puts: []infra.Put{{Key: memberPrefix + string(row.Entry), Value: value}}})
	if err != nil {
		return eris.Wrap(err, "members: write own row to table")
	}
	m.Reads.Add(1)
	rows, err := m.table.Scan(ctx, memberPrefix, "", memberPage)
	if err != nil {
		return eris.Wrap(err, "members: scan entries in table")
	}
	m.take(rows, time.Now())
	m.forget(ctx, time.Now())
	return nil
}

// take notes which rows changed.
func (m *Members) take(rows []infra.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, r := range rows {
		var row memberRow
		if json.Unmarshal(r.Value, &row) != nil {
			continue
		}
		s := m.seen[r.Key]
		if s == nil {
			s = &sighting{}
			m.seen[r.Key] = s
		}
		if s.version != r.Version {
			*s = sighting{row: row, version: r.Version, changed: now}
		}
		if now.Sub(s.changed) <= memberSilence {
			addresses = append(addresses, row.Address)
		}
	}
	m.dir.SetEntries(addresses)
}

// forget deletes rows that have been silent for long. The delete is
// conditional, so an entry that was only slow is never deleted.
func (m *Members) forget(ctx context.Context, now time.Time) {
	m.mu.Lock()
	var old []infra.Cond
	for key, s := range m.seen {
		if now.Sub(s.changed) > memberForget*memberSilence {
			old = append(old, infra.Cond{Key: key, Version: s.version})
			delete(m.seen, key)
		}
	}
	m.mu.Unlock()
	for _, c := range old {
		_, _ = m.table.Commit(ctx, infra.Txn{Op: fmt.Sprintf("forget/%s/%d", c.Key, c.Version), Conds: []infra.Cond{c}, Deletes: []string{c.Key}})
	}
}

// Alive returns the entries believed alive, this one included, in order.
func (m *Members) Alive() []structs.EntryID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := []structs.EntryID{m.self.Entry}
	now := time.Now()
	for _, s := range m.seen {
		if s.row.Entry != m.self.Entry && now.Sub(s.changed) <= memberSilence {
			ids = append(ids, s.row.Entry)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Leave deletes the own row at a planned stop.
func (m *Members) Leave(ctx context.Context) error {
	_, err := m.table.Commit(ctx, infra.Txn{Op: rand.Text(), Deletes: []string{memberPrefix + string(m.self.Entry)}})
	return err
}
