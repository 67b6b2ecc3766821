// Package watch lets entries follow a table of the store together: the
// scheduler's entry reads its changes from the store, and passes each answer of
// the store on to the other entries. An entry that is told nothing reads the
// store itself.
//
// The number of store calls does not grow with the number of entries. Every
// answer carries its age, so that nobody takes an old state for the present one,
// whatever way it came.
package watch

import (
	"context"
	"sort"
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

// Hub keeps the newest rows of a table, and the store's last answer about them.
type Hub struct {
	table string
	now   func() time.Duration

	mu   sync.Mutex
	rows map[rowstore.Key]rowstore.Row
	// packed holds the compressed values of rows that were passed on.
	packed map[rowstore.Key]packedRow
	// floor is the version of the last list; deletions before it are not known.
	floor uint64
	// version and storeNow are those of the last answer. The rows were known to
	// be current at confirmedAt, a local time; 0 before the first answer.
	version     uint64
	storeNow    time.Duration
	confirmedAt time.Duration
	// answered is closed with the next answer.
	answered chan struct{}
}

type packedRow struct {
	version uint64
	value   []byte
}

// NewHub returns a hub of the table; now reads the local clock.
func NewHub(table string, now func() time.Duration) *Hub {
	return &Hub{table: table, now: now, rows: map[rowstore.Key]rowstore.Row{}, packed: map[rowstore.Key]packedRow{}, answered: make(chan struct{})}
}

// recordList replaces the rows by a list that was current at confirmedAt.
func (h *Hub) recordList(rows []rowstore.Row, at rowstore.Stamp, confirmedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Version < h.version {
		return
	}
	clear(h.rows)
	clear(h.packed)
	h.floor = at.Version
	h.record(rows, at, confirmedAt)
}

// recordChanges applies the changes after version after. Changes that do not
// follow on what is known are dropped.
func (h *Hub) recordChanges(after uint64, rows []rowstore.Row, at rowstore.Stamp, confirmedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmedAt == 0 || after > h.version {
		return
	}
	h.record(rows, at, confirmedAt)
}

// record applies an answer. The caller holds mu.
func (h *Hub) record(rows []rowstore.Row, at rowstore.Stamp, confirmedAt time.Duration) {
	for _, row := range rows {
		if row.Version >= h.rows[row.Key].Version {
			h.rows[row.Key] = row
		}
	}
	h.version = max(h.version, at.Version)
	if confirmedAt > h.confirmedAt {
		h.confirmedAt, h.storeNow = confirmedAt, at.Now
	}
	close(h.answered)
	h.answered = make(chan struct{})
}

// Next returns the rows that have changed after a version, and waits for an
// answer of the store that arrives within wait if there is none. ok is false if
// the hub does not know all changes since that version.
func (h *Hub) Next(ctx context.Context, after uint64, wait time.Duration) (rows []rowstore.Row, at rowstore.Stamp, ok bool) {
	h.mu.Lock()
	answered, changed := h.answered, h.version > after && len(h.changes(after)) > 0
	h.mu.Unlock()
	if !changed {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmedAt == 0 || after < h.floor || h.version < after {
		return nil, rowstore.Stamp{}, false
	}
	age := h.now() - h.confirmedAt
	return h.changes(after), rowstore.Stamp{Version: h.version, Now: h.storeNow + age, Age: age}, true
}

// changes lists the rows that have changed after a version, oldest change first.
// The caller holds mu.
func (h *Hub) changes(after uint64) []rowstore.Row {
	var rows []rowstore.Row
	for _, row := range h.rows {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows
}

// pack compresses the values of rows in place. A value is compressed once for
// all entries.
func (h *Hub) pack(rows []rowstore.Row) {
	for i := range rows {
		row := &rows[i]
		h.mu.Lock()
		p := h.packed[row.Key]
		h.mu.Unlock()
		if p.version != row.Version {
			p = packedRow{version: row.Version, value: dispatch.Pack(row.Value)}
			h.mu.Lock()
			h.packed[row.Key] = p
			h.mu.Unlock()
		}
		row.Value = p.value
	}
}

// Service tells other entries what the hub learns.
type Service struct{ hub *Hub }

// Service returns the RPC service for other entries.
func (h *Hub) Service() *Service { return &Service{hub: h} }

// Next implements the RPC method of that name.
func (s *Service) Next(args dispatch.ChangesArgs, reply *dispatch.ChangesReply) error {
	if args.Table != s.hub.table {
		return nil
	}
	received := s.hub.now()
	rows, at, ok := s.hub.Next(context.Background(), args.After, args.Wait)
	waited := s.hub.now() - received
	s.hub.pack(rows)
	*reply = dispatch.ChangesReply{Known: ok, Rows: rows, At: at, Waited: waited}
	return nil
}
