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
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

// errNotTold means that an entry knows no fresh state of the table.
var errNotTold = errors.New("the entry has no fresh state of the table")

// Hub keeps the newest rows of a table, and the store's last answer about them.
type Hub struct {
	table string
	now   func() time.Duration

	// packing is held while a value is compressed, so that the entries that wait
	// for it share the work. packed holds the values that were passed on.
	packing sync.Mutex
	packed  map[rowstore.Key]packedRow

	mu   sync.Mutex
	rows map[rowstore.Key]rowstore.Row
	// floor is the version of the last list; deletions before it are not known.
	floor uint64
	// version and storeNow are those of the last answer.
	version  uint64
	storeNow time.Duration
	// last is when the last answer arrived; zero before the first one.
	last arrival
	// answered is closed with the next answer.
	answered chan struct{}
}

// arrival is when an answer of the store arrived at the process that read it, and
// until when its state was certainly current, both by the local clock.
type arrival struct{ at, current time.Duration }

// toldArrival returns the arrival of an answer that another entry has just passed
// on.
func toldArrival(stamp rowstore.Stamp, now time.Duration) arrival {
	return arrival{at: now - stamp.Age, current: now - stamp.Age - stamp.Lag}
}

type packedRow struct {
	version uint64
	value   []byte
}

// NewHub returns a hub of the table; now reads the local clock.
func NewHub(table string, now func() time.Duration) *Hub {
	return &Hub{table: table, now: now, rows: map[rowstore.Key]rowstore.Row{}, packed: map[rowstore.Key]packedRow{}, answered: make(chan struct{})}
}

// recordList replaces the rows by a list.
func (h *Hub) recordList(rows []rowstore.Row, at rowstore.Stamp, came arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Version < h.version {
		return
	}
	clear(h.rows)
	h.floor = at.Version
	h.record(rows, at, came)
}

// recordChanges applies the changes after version after. Changes that do not
// follow on what is known are dropped.
func (h *Hub) recordChanges(after uint64, rows []rowstore.Row, at rowstore.Stamp, came arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.at == 0 || after > h.version {
		return
	}
	h.record(rows, at, came)
}

// record applies an answer. The caller holds mu.
func (h *Hub) record(rows []rowstore.Row, at rowstore.Stamp, came arrival) {
	for _, row := range rows {
		if row.Version >= h.rows[row.Key].Version {
			h.rows[row.Key] = row
		}
	}
	h.version = max(h.version, at.Version)
	if came.at > h.last.at {
		h.last, h.storeNow = came, at.Now
	}
	close(h.answered)
	h.answered = make(chan struct{})
}

// Next returns the rows that have changed after a version. If there are none, it
// waits for the store's next answer, for wait at most, and until the last answer
// is older than maxAge. err is rowstore.ErrCompacted if the hub knows all rows,
// but not all changes since the version, and errNotTold if its rows are older
// than the version.
func (h *Hub) Next(ctx context.Context, after uint64, wait time.Duration) (rows []rowstore.Row, at rowstore.Stamp, err error) {
	h.mu.Lock()
	answered, changed := h.answered, h.version > after && len(h.changes(after)) > 0
	wait = min(wait, max(0, h.last.at+maxAge-h.now()))
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
	switch {
	case h.last.at == 0 || h.version < after:
		return nil, rowstore.Stamp{}, errNotTold
	case after < h.floor:
		return nil, rowstore.Stamp{}, rowstore.ErrCompacted
	}
	return h.changes(after), h.stamp(), nil
}

// All returns all rows; err is errNotTold if the hub knows none, or none of the
// version least or later.
func (h *Hub) All(least uint64) (rows []rowstore.Row, at rowstore.Stamp, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.at == 0 || h.version < least {
		return nil, rowstore.Stamp{}, errNotTold
	}
	rows = slices.DeleteFunc(h.changes(0), func(r rowstore.Row) bool { return r.Deleted })
	return rows, h.stamp(), nil
}

// lastVersion returns the version of the last answer.
func (h *Hub) lastVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// stamp returns the stamp of the last answer, as of now. The caller holds mu.
func (h *Hub) stamp() rowstore.Stamp {
	age := h.now() - h.last.at
	return rowstore.Stamp{Version: h.version, Now: h.storeNow + age, Age: age, Lag: h.last.at - h.last.current}
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
	h.packing.Lock()
	defer h.packing.Unlock()
	for i := range rows {
		row := &rows[i]
		p := h.packed[row.Key]
		if p.version != row.Version {
			p = packedRow{version: row.Version, value: dispatch.Pack(row.Value)}
			h.packed[row.Key] = p
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
	var rows []rowstore.Row
	var at rowstore.Stamp
	var err error
	if args.All {
		rows, at, err = s.hub.All(args.After)
	} else {
		rows, at, err = s.hub.Next(context.Background(), args.After, args.Wait)
	}
	waited := s.hub.now() - received
	s.hub.pack(rows)
	*reply = dispatch.ChangesReply{Known: err == nil, Compacted: errors.Is(err, rowstore.ErrCompacted), Rows: rows, At: at, Waited: waited}
	return nil
}
