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

// Renewal of an entry's own row. Five entries together cost one write and one
// read a second.
const (
	memberPrefix        = "entry/"
	memberRenewInterval = 5 * time.Second
	memberTimeout       = 2 * time.Second
	// memberExpiry is how long this process must read a row unchanged until the
	// row's entry no longer counts as alive.
	memberExpiry   = 4 * memberRenewInterval
	memberPageSize = 200
	// memberDeleteAfter is the number of memberExpiry periods before deletion.
	memberDeleteAfter = 30
)

// memberRow is the row of one entry. It is only a hint for spreading shards and
// finding addresses; it grants no rights.
type memberRow struct {
	Entry   structs.EntryID `json:"entry"`
	Address string          `json:"address"`
	Counter uint64          `json:"counter"`
}

// observedRow holds a row's latest version, which was first read at changed.
type observedRow struct {
	row     memberRow
	version uint64
	changed time.Time
}

// Members maintains the list of alive entries through rows of the table
// service. While the service is down, the last list stays in use.
type Members struct {
	self  memberRow
	table infra.Table
	dir   *Directory

	mu      sync.Mutex
	seen    map[string]*observedRow
	counter uint64

	Writes, Reads, Failed atomic.Int64
}

// NewMembers returns a list that holds only this entry.
func NewMembers(id structs.EntryID, address string, table infra.Table, dir *Directory) *Members {
	return &Members{self: memberRow{Entry: id, Address: address}, table: table, dir: dir, seen: make(map[string]*observedRow)}
}

// Run renews this entry's row and reads those of the others until ctx ends.
func (m *Members) Run(ctx context.Context) {
	timer := time.NewTimer(memberRenewInterval)
	defer timer.Stop()
	for {
		if err := m.round(ctx); err != nil {
			m.Failed.Add(1)
		}
		timer.Reset(memberRenewInterval)
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
	// Unconditional: only this entry writes its own row.
	_, err = m.table.Commit(ctx, infra.Txn{Op: rand.Text(), Puts: []infra.Put{{Key: memberPrefix + string(row.Entry), Value: value}}})
	if err != nil {
		return eris.Wrap(err, "members: write own row to table")
	}
	m.Reads.Add(1)
	rows, err := m.table.Scan(ctx, memberPrefix, "", memberPageSize)
	if err != nil {
		return eris.Wrap(err, "members: scan entries in table")
	}
	m.recordRows(rows, time.Now())
	m.deleteExpired(ctx, time.Now())
	return nil
}

// recordRows records the rows that changed, and gives the directory the
// addresses of the live entry processes.
func (m *Members) recordRows(rows []infra.Row, now time.Time) {
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
			s = &observedRow{}
			m.seen[r.Key] = s
		}
		if s.version != r.Version {
			*s = observedRow{row: row, version: r.Version, changed: now}
		}
		if now.Sub(s.changed) <= memberExpiry {
			addresses = append(addresses, row.Address)
		}
	}
	m.dir.SetEntries(addresses)
}

// deleteExpired deletes rows unchanged for memberDeleteAfter expiry periods.
// The delete is conditional on the version, so a row renewed meanwhile stays.
func (m *Members) deleteExpired(ctx context.Context, now time.Time) {
	m.mu.Lock()
	var expired []infra.Cond
	for key, s := range m.seen {
		if now.Sub(s.changed) > memberDeleteAfter*memberExpiry {
			expired = append(expired, infra.Cond{Key: key, Version: s.version})
			delete(m.seen, key)
		}
	}
	m.mu.Unlock()
	for _, c := range expired {
		_, _ = m.table.Commit(ctx, infra.Txn{Op: fmt.Sprintf("forget/%s/%d", c.Key, c.Version), Conds: []infra.Cond{c}, Deletes: []string{c.Key}})
	}
}

// Alive returns the entries that count as alive, this entry included, in order.
func (m *Members) Alive() []structs.EntryID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := []structs.EntryID{m.self.Entry}
	now := time.Now()
	for _, s := range m.seen {
		if s.row.Entry != m.self.Entry && now.Sub(s.changed) <= memberExpiry {
			ids = append(ids, s.row.Entry)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Leave deletes this entry's row at a planned stop.
func (m *Members) Leave(ctx context.Context) error {
	_, err := m.table.Commit(ctx, infra.Txn{Op: rand.Text(), Deletes: []string{memberPrefix + string(m.self.Entry)}})
	return err
}
