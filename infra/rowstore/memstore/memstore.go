// Package memstore is a rowstore.Store in memory, with the faults of the users'
// store: it can be down, refuse single clients, be slow, lose answers, apply
// writes late and drop its history.
package memstore

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"persimmonrock.example/infra/progress"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
)

// Fault is the fault of all calls of one client.
type Fault uint8

// The faults of a client.
const (
	// Healthy calls are served.
	Healthy Fault = iota
	// Refused calls fail after the answer time.
	Refused
	// Unresponsive calls get no answer and have no effect.
	Unresponsive
)

// AnswerTime is the answer time of the users' store for a read.
const AnswerTime = 4 * time.Millisecond

const (
	// txnTime and answerTime are the users' store's times for a transaction
	// and for an answer.
	txnTime    = 8 * time.Millisecond
	answerTime = AnswerTime
	// maxQueueTime is the waiting time of a partition's transactions above
	// which further ones are refused.
	maxQueueTime = time.Second
	// defaultIdle is the time without data after which most clients time out.
	defaultIdle = 1500 * time.Millisecond
	// maxDelay is the longest delay of a write that is applied late.
	maxDelay = 6 * time.Second
)

// Store holds the rows and their history. One lock guards all state.
type Store struct {
	mu  sync.Mutex
	rng *rand.Rand
	// began is when the store was made, clockStart the time of its clock then.
	began      time.Time
	clockStart time.Duration
	version    uint64
	rows       map[rowstore.Key]rowstore.Row
	history    []rowstore.Row
	// horizon is the oldest version from which a feed can continue.
	horizon   uint64
	changed   chan struct{}
	faults    map[string]Fault
	allFault  Fault
	slowdown  float64
	lostShare float64
	applyLate bool
	refused   func(rowstore.Key) bool
	// muteShare is the share of reads that get no answer. failedUntil is the
	// end of the last fault of reads.
	muteShare   float64
	failedUntil time.Time
	// rate is the speed of each client's link in bytes a second, 0 unbounded.
	rate          float64
	linkBusyUntil map[string]time.Time
	// partBusyUntil is the end of the last transaction of each partition.
	partBusyUntil map[string]time.Time

	reads, writes int
}

const (
	// maxClockStart and maxVersionStart bound the clock and the version of a new
	// store. A clock or counter that begins at 0 hides a reader that takes an
	// unknown value for one near the start.
	maxClockStart   = 30 * 24 * time.Hour
	maxVersionStart = 1 << 40
)

// New returns an empty store whose random values follow seed, the start of its
// clock and of its versions included.
func New(seed uint64) *Store {
	starts := rand.New(rand.NewPCG(seed, 2))
	version := starts.Uint64N(maxVersionStart)
	return &Store{
		rng: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), clockStart: time.Millisecond + time.Duration(starts.Int64N(int64(maxClockStart))), version: version, horizon: version,
		rows:    map[rowstore.Key]rowstore.Row{},
		changed: make(chan struct{}), faults: map[string]Fault{}, slowdown: 1, partBusyUntil: map[string]time.Time{}, linkBusyUntil: map[string]time.Time{},
	}
}

// SetFault sets the fault of the calls of client; an empty client means all
// clients.
func (s *Store) SetFault(client string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if client == "" {
		s.allFault = f
		return
	}
	s.faults[client] = f
}

// SetSlow makes every answer take x times as long.
func (s *Store) SetSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordReadFaults()
	s.slowdown = x
}

// SetLost loses the answers of a share of the writes; with applyLate, these
// writes are applied 1 to 6 s later if their conditions still hold.
func (s *Store) SetLost(share float64, applyLate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostShare, s.applyLate = share, applyLate
}

// SetMute leaves a share of the reads without an answer, as on unresponsive
// connections.
func (s *Store) SetMute(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordReadFaults()
	s.muteShare = share
}

// slowReads is the slowdown above which reads take over 0.4 s.
const slowReads = 100

func (s *Store) readsFail() bool { return s.muteShare > 0 || s.slowdown > slowReads }

func (s *Store) recordReadFaults() {
	if s.readsFail() {
		s.failedUntil = time.Now()
	}
}

// ReadsHealthyFor returns the time since the last fault of reads (SetMute, or
// SetSlow above slowReads) ended, 0 during a fault.
func (s *Store) ReadsHealthyFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsFail() {
		return 0
	}
	return time.Since(s.failedUntil)
}

// SetRate sets the speed of each client's link in bytes a second; 0 means
// unbounded. The answers that a client reads at the same time share its link.
func (s *Store) SetRate(bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytes
}

// FaultFree reports whether a client's calls have no fault.
func (s *Store) FaultFree(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allFault == Healthy && s.faults[client] == Healthy && s.slowdown == 1 && s.lostShare == 0 && s.muteShare == 0
}

// AdvanceClock moves the store's clock forward, as when the store goes on on
// another machine.
func (s *Store) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockStart += d
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.horizon = s.version
}

// Calls returns the numbers of reads and writes so far.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Rows counts the rows of a table.
func (s *Store) Rows(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.rows {
		if k.Table == table {
			n++
		}
	}
	return n
}

// RowsOf returns the rows of a table, whatever faults the store has.
func (s *Store) RowsOf(table string) []rowstore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowstore.Row
	for _, row := range s.rows {
		if row.Key.Table == table && !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b rowstore.Row) int {
		return cmp.Or(cmp.Compare(a.Key.Part, b.Key.Part), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return rows
}

// Client returns the store as the named client sees it.
func (s *Store) Client(name string) rowstore.Store { return s.ClientWithIdleTimeout(name, defaultIdle) }

// ClientWithIdleTimeout returns the store as the named client sees it; a call
// times out once no data of its answer has arrived for idle.
func (s *Store) ClientWithIdleTimeout(name string, idle time.Duration) rowstore.Store {
	return &client{store: s, name: name, idle: idle}
}

type client struct {
	store *Store
	name  string
	idle  time.Duration
}

// bound returns a context that ends when the client's adapter would time out.
func (c *client) bound(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return progress.WithIdleTimeout(ctx, wait+c.idle)
}

// chunk is the number of bytes of an answer that a link transfers at a time.
const chunk = 16 << 10

// receive waits until the client's link has transferred the values of rows.
func (c *client) receive(ctx context.Context, rows []rowstore.Row) error {
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	for ; size > 0; size -= chunk {
		if !wait.For(ctx, c.reserveLink(min(size, chunk))) {
			return rowstore.ErrUnknown
		}
		progress.Received(ctx)
	}
	return nil
}

// reserveLink returns the time until the link has transferred n bytes more.
func (c *client) reserveLink(n int) time.Duration {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 {
		return 0
	}
	now := time.Now()
	if s.linkBusyUntil[c.name].Before(now) {
		s.linkBusyUntil[c.name] = now
	}
	s.linkBusyUntil[c.name] = s.linkBusyUntil[c.name].Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	return s.linkBusyUntil[c.name].Sub(now)
}

// startCall counts a call, waits for its duration and returns a fault's error.
func (c *client) startCall(ctx context.Context, duration time.Duration, write bool) error {
	s := c.store
	s.mu.Lock()
	if write {
		s.writes++
	} else {
		s.reads++
	}
	fault := max(s.allFault, s.faults[c.name])
	duration = time.Duration(float64(duration) * s.slowdown)
	if !write && fault == Healthy && s.muteShare > 0 && s.rng.Float64() < s.muteShare {
		fault = Unresponsive
	}
	s.mu.Unlock()
	switch fault {
	case Refused:
		wait.For(ctx, answerTime)
		return rowstore.ErrUnavailable
	case Unresponsive:
		wait.For(ctx, c.idle)
		return rowstore.ErrUnknown
	}
	if !wait.For(ctx, duration) {
		return rowstore.ErrUnknown
	}
	return nil
}

// Apply implements rowstore.Store.
func (c *client) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	if err := c.startCall(ctx, answerTime, true); err != nil {
		return rowstore.Stamp{}, err
	}
	if err := c.store.check(t); err != nil {
		return rowstore.Stamp{}, err
	}
	s := c.store
	queueTime, err := s.enqueue(t)
	if err != nil {
		return rowstore.Stamp{}, err
	}
	if queueTime > c.idle-answerTime || !wait.For(ctx, queueTime) {
		// The client times out; the transaction is executed nevertheless.
		wait.For(ctx, c.idle-answerTime)
		s.applyLater(t, queueTime)
		return rowstore.Stamp{}, rowstore.ErrUnknown
	}
	stamp, err, lost := s.execute(t)
	if lost {
		wait.For(ctx, c.idle)
		return rowstore.Stamp{}, rowstore.ErrUnknown
	}
	return stamp, err
}

// execute applies a transaction, now or later, and reports whether its answer is
// lost.
func (s *Store) execute(t rowstore.Txn) (stamp rowstore.Stamp, err error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostShare == 0 || s.rng.Float64() >= s.lostShare {
		stamp, err = s.apply(t)
		return stamp, err, false
	}
	if s.applyLate {
		delay := time.Second + time.Duration(s.rng.Float64()*float64(maxDelay-time.Second))
		s.applyLater(t, delay)
	} else {
		_, _ = s.apply(t) // applied, and the answer is lost
	}
	return rowstore.Stamp{}, nil, true
}

// enqueue queues t and returns the time until its execution ends: the
// transactions of a partition are executed one after another.
func (s *Store) enqueue(t rowstore.Txn) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := partOf(t)
	now := time.Now()
	from := s.partBusyUntil[part]
	if from.Before(now) {
		from = now
	}
	if from.Sub(now) > maxQueueTime {
		return 0, rowstore.ErrUnavailable
	}
	s.partBusyUntil[part] = from.Add(time.Duration(float64(txnTime) * s.slowdown))
	return s.partBusyUntil[part].Sub(now), nil
}

func partOf(t rowstore.Txn) string {
	switch {
	case len(t.Puts) > 0:
		return t.Puts[0].Key.Part
	case len(t.Conds) > 0:
		return t.Conds[0].Key.Part
	case len(t.Deletes) > 0:
		return t.Deletes[0].Part
	}
	return ""
}

// applyLater applies a transaction after a delay, without an answer.
func (s *Store) applyLater(t rowstore.Txn, after time.Duration) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(t) // its client has timed out
	})
}

func (s *Store) apply(t rowstore.Txn) (rowstore.Stamp, error) {
	var now []rowstore.Row
	holds := true
	for _, cond := range t.Conds {
		row, ok := s.rows[cond.Key]
		if ok {
			now = append(now, row)
		}
		holds = holds && row.Version == cond.Version
	}
	if !holds {
		return rowstore.Stamp{}, &rowstore.ConflictError{Rows: now}
	}
	s.version++
	for _, p := range t.Puts {
		s.put(rowstore.Row{Key: p.Key, Value: append([]byte(nil), p.Value...), Version: s.version})
	}
	for _, k := range t.Deletes {
		delete(s.rows, k)
		s.history = append(s.history, rowstore.Row{Key: k, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.stamp(), nil
}

func (s *Store) put(r rowstore.Row) {
	s.rows[r.Key] = r
	s.history = append(s.history, r)
}

func (s *Store) stamp() rowstore.Stamp {
	return rowstore.Stamp{Version: s.version, Now: s.clockStart + time.Since(s.began)}
}

// List implements rowstore.Store.
func (c *client) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	ctx, cancel := c.bound(ctx, 0)
	defer cancel()
	if err := c.startCall(ctx, answerTime, false); err != nil {
		return nil, false, rowstore.Stamp{}, err
	}
	rows, more, at := c.store.list(table, part, from, to)
	if err := c.receive(ctx, rows); err != nil {
		return nil, false, rowstore.Stamp{}, err
	}
	return rows, more, at, nil
}

func (s *Store) list(table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowstore.Row
	for k, r := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key.Key < rows[j].Key.Key })
	more := len(rows) > pageRows
	if more {
		rows = rows[:pageRows]
	}
	return rows, more, s.stamp()
}

const pageRows = 500

// Feed implements rowstore.Store.
func (c *client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	ctx, cancel := c.bound(ctx, wait)
	defer cancel()
	if err := c.startCall(ctx, answerTime, false); err != nil {
		return nil, rowstore.Stamp{}, err
	}
	rows, at, err := c.store.waitChanges(ctx, table, after, wait)
	if err == nil {
		err = c.receive(ctx, rows)
	}
	if err != nil {
		return nil, rowstore.Stamp{}, err
	}
	return rows, at, nil
}

func (s *Store) waitChanges(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.horizon {
			s.mu.Unlock()
			return nil, rowstore.Stamp{}, rowstore.ErrCompacted
		}
		rows := s.changesSince(table, after)
		stamp, changed := s.stamp(), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return rows, stamp, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, stamp, nil
		case <-ctx.Done():
			return nil, rowstore.Stamp{}, rowstore.ErrUnknown
		}
	}
}

func (s *Store) changesSince(table string, after uint64) []rowstore.Row {
	var rows []rowstore.Row
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, r := range s.history[first:] {
		if r.Key.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}
