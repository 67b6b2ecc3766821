// Package memstore is a rowstore.Store in memory, with the faults that the
// users' store has: it can be down, turn single clients away, be slow, lose
// answers, apply writes late and forget its history.
package memstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"persimmonrock.example/infra/progress"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
)

// Fault is what happens to the calls of one client.
type Fault uint8

// The faults of a client.
const (
	// Healthy calls are served.
	Healthy Fault = iota
	// Refused calls are turned away at once.
	Refused
	// Silent calls get no answer and have no effect.
	Silent
)

// AnswerTime is that of the users' store for a read.
const AnswerTime = 4 * time.Millisecond

const (
	// txnTime and answerTime are those of the users' store.
	txnTime    = 8 * time.Millisecond
	answerTime = AnswerTime
	// partQueue is how long transactions of one part may wait for each other
	// before more are turned away.
	partQueue = time.Second
	// silence is how long a client usually waits for an answer.
	silence = 1500 * time.Millisecond
	// latest is the longest delay of a write that is applied late.
	latest = 6 * time.Second
)

// Store is the rows and their history. All state is under one lock.
type Store struct {
	mu      sync.Mutex
	rng     *rand.Rand
	began   time.Time
	version uint64
	rows    map[rowstore.Key]rowstore.Row
	history []rowstore.Row
	// horizon is the oldest version from which a feed can go on.
	horizon uint64
	changed chan struct{}
	faults  map[string]Fault
	all     Fault
	slow    float64
	lost    float64
	late    bool
	// mute is the share of the reads that get no answer, failedUntil until when
	// any got none or a very late one.
	mute        float64
	failedUntil time.Time
	// rate is the speed of each client's link in bytes a second, 0 unbounded,
	// and sent until when each link is taken.
	rate float64
	sent map[string]time.Time
	// busy is until when the transactions of each part take.
	busy map[string]time.Time

	reads, writes int
}

// New returns an empty store whose luck follows seed.
func New(seed uint64) *Store {
	return &Store{
		rng: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), rows: map[rowstore.Key]rowstore.Row{},
		changed: make(chan struct{}), faults: map[string]Fault{}, slow: 1, busy: map[string]time.Time{}, sent: map[string]time.Time{},
	}
}

// SetFault sets what happens to the calls of client; empty means all clients.
func (s *Store) SetFault(client string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if client == "" {
		s.all = f
		return
	}
	s.faults[client] = f
}

// SetSlow makes every answer take x times as long.
func (s *Store) SetSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteReads()
	s.slow = x
}

// SetLost loses the answers of a share of the writes; with late, those are
// applied seconds later if their conditions still hold.
func (s *Store) SetLost(share float64, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.late = share, late
}

// SetMute leaves a share of the reads without an answer, as on connections that
// have fallen silent.
func (s *Store) SetMute(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteReads()
	s.mute = share
}

// slowReads is the slowness from which on reads take over 0.4 s.
const slowReads = 100

func (s *Store) readsFail() bool { return s.mute > 0 || s.slow > slowReads }

// noteReads notes that reads fail until now, if they do.
func (s *Store) noteReads() {
	if s.readsFail() {
		s.failedUntil = time.Now()
	}
}

// ReadsFineFor returns for how long no read has been left without an answer, or
// answered very late; 0 while some are.
func (s *Store) ReadsFineFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsFail() {
		return 0
	}
	return time.Since(s.failedUntil)
}

// SetRate sets the speed of each client's link in bytes a second; 0 does not
// bound it. The answers that a client reads at the same time share its link.
func (s *Store) SetRate(bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytes
}

// Calm reports whether a client's calls meet no fault.
func (s *Store) Calm(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all == Healthy && s.faults[client] == Healthy && s.slow == 1 && s.lost == 0 && s.mute == 0
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

// Client returns the store as the named client sees it.
func (s *Store) Client(name string) rowstore.Store { return s.PatientClient(name, silence) }

// PatientClient returns the store as the named client sees it, giving a call up
// once nothing of its answer has come for so long.
func (s *Store) PatientClient(name string, silence time.Duration) rowstore.Store {
	return &client{store: s, name: name, silence: silence}
}

type client struct {
	store   *Store
	name    string
	silence time.Duration
}

// bound ends a read that the client's adapter would give up.
func (c *client) bound(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return progress.Bound(ctx, wait+c.silence)
}

// chunk is how many bytes of an answer a link carries at a time.
const chunk = 16 << 10

// receive waits until the client's link has carried the values of rows.
func (c *client) receive(ctx context.Context, rows []rowstore.Row) error {
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	for ; size > 0; size -= chunk {
		if !wait.For(ctx, c.carry(min(size, chunk))) {
			return rowstore.ErrUnknown
		}
		progress.Heard(ctx)
	}
	return nil
}

// carry returns how long the link takes until it has carried n bytes more.
func (c *client) carry(n int) time.Duration {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 {
		return 0
	}
	now := time.Now()
	if s.sent[c.name].Before(now) {
		s.sent[c.name] = now
	}
	s.sent[c.name] = s.sent[c.name].Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	return s.sent[c.name].Sub(now)
}

// enter counts a call, waits its time and reports a fault.
func (c *client) enter(ctx context.Context, took time.Duration, write bool) error {
	s := c.store
	s.mu.Lock()
	if write {
		s.writes++
	} else {
		s.reads++
	}
	fault := max(s.all, s.faults[c.name])
	took = time.Duration(float64(took) * s.slow)
	if !write && fault == Healthy && s.mute > 0 && s.rng.Float64() < s.mute {
		fault = Silent
	}
	s.mu.Unlock()
	switch fault {
	case Refused:
		wait.For(ctx, answerTime)
		return rowstore.ErrUnavailable
	case Silent:
		wait.For(ctx, c.silence)
		return rowstore.ErrUnknown
	}
	if !wait.For(ctx, took) {
		return rowstore.ErrUnknown
	}
	return nil
}

// Apply implements rowstore.Store.
func (c *client) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	if err := c.enter(ctx, answerTime, true); err != nil {
		return rowstore.Stamp{}, err
	}
	s := c.store
	turn, err := s.queue(t)
	if err != nil {
		return rowstore.Stamp{}, err
	}
	if turn > c.silence-answerTime || !wait.For(ctx, turn) {
		// The client gives up; the transaction has its turn all the same.
		wait.For(ctx, c.silence-answerTime)
		s.applyLater(t, turn)
		return rowstore.Stamp{}, rowstore.ErrUnknown
	}
	stamp, err, lost := s.carryOut(t)
	if lost {
		wait.For(ctx, c.silence)
		return rowstore.Stamp{}, rowstore.ErrUnknown
	}
	return stamp, err
}

// ApplyNow applies a transaction whatever the faults, for a client that they
// do not concern.
func (s *Store) ApplyNow(t rowstore.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(t)
	return err
}

// carryOut applies a transaction, now or later, and reports whether its client
// hears of that.
func (s *Store) carryOut(t rowstore.Txn) (stamp rowstore.Stamp, err error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == 0 || s.rng.Float64() >= s.lost {
		stamp, err = s.apply(t)
		return stamp, err, false
	}
	if s.late {
		delay := time.Second + time.Duration(s.rng.Float64()*float64(latest-time.Second))
		s.applyLater(t, delay)
	} else {
		_, _ = s.apply(t) // applied, and the answer is lost
	}
	return rowstore.Stamp{}, nil, true
}

// queue returns how long a transaction takes until it is carried out: those of
// a part are, one after another.
func (s *Store) queue(t rowstore.Txn) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := partOf(t)
	now := time.Now()
	from := s.busy[part]
	if from.Before(now) {
		from = now
	}
	if from.Sub(now) > partQueue {
		return 0, rowstore.ErrUnavailable
	}
	s.busy[part] = from.Add(time.Duration(float64(txnTime) * s.slow))
	return s.busy[part].Sub(now), nil
}

// partOf is the part of all rows of a transaction.
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

// applyLater carries out a transaction of which its client hears nothing more.
func (s *Store) applyLater(t rowstore.Txn, after time.Duration) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(t) // its client has long given up
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
	return rowstore.Stamp{Version: s.version, Now: time.Since(s.began) + time.Millisecond}
}

// List implements rowstore.Store.
func (c *client) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	ctx, cancel := c.bound(ctx, 0)
	defer cancel()
	if err := c.enter(ctx, answerTime, false); err != nil {
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

// pageRows is the largest page of rows.
const pageRows = 500

// Feed implements rowstore.Store.
func (c *client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	ctx, cancel := c.bound(ctx, wait)
	defer cancel()
	if err := c.enter(ctx, answerTime, false); err != nil {
		return nil, rowstore.Stamp{}, err
	}
	rows, at, err := c.store.follow(ctx, table, after, wait)
	if err == nil {
		err = c.receive(ctx, rows)
	}
	if err != nil {
		return nil, rowstore.Stamp{}, err
	}
	return rows, at, nil
}

func (s *Store) follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.horizon {
			s.mu.Unlock()
			return nil, rowstore.Stamp{}, rowstore.ErrCompacted
		}
		rows := s.since(table, after)
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

func (s *Store) since(table string, after uint64) []rowstore.Row {
	var rows []rowstore.Row
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, r := range s.history[first:] {
		if r.Key.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}
