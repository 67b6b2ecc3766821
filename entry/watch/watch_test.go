package watch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/wire/dispatch"
)

const (
	table = "op"
	// feedWait is the wait of a follower's feed.
	feedWait = 500 * time.Millisecond
	// dialTimeout is the time after which a dial to a silent source fails.
	dialTimeout = 600 * time.Millisecond
)

// follower is an entry that follows the table as intake.Follower does.
type follower struct {
	hub    *Hub
	reader *Reader

	mu      sync.Mutex
	value   string
	at      time.Time
	current time.Duration
}

func (f *follower) run(ctx context.Context) {
	after, listed := uint64(0), false
	for ctx.Err() == nil {
		var rows []rowstore.Row
		var at rowstore.Stamp
		var err error
		if listed {
			rows, at, err = f.reader.Feed(ctx, table, after, feedWait)
		} else {
			rows, at, err = rowstore.ListAll(ctx, f.reader, table, "")
		}
		if err != nil {
			listed = listed && !errors.Is(err, rowstore.ErrUnknown) && !errors.Is(err, rowstore.ErrCompacted)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		after, listed = max(after, at.Version), true
		f.mu.Lock()
		f.current = f.hub.now() - at.Age
		for _, row := range rows {
			if row.Key.Key != "config" {
				continue
			}
			f.value, f.at = string(row.Value), time.Now()
			if row.Deleted {
				f.value = ""
			}
		}
		f.mu.Unlock()
	}
}

func (f *follower) state() (value string, at time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.at, f.hub.now() - f.current
}

// fleet is a number of followers, of which the first is the source of the
// others.
type fleet struct {
	store     *memstore.Store
	followers []*follower
	// silent makes the source leave calls unanswered.
	silent atomic.Bool
	conns  []net.Conn
	mu     sync.Mutex
}

func (f *fleet) dial(context.Context) (net.Conn, error) {
	if f.silent.Load() {
		time.Sleep(dialTimeout)
		return nil, errors.New("no route")
	}
	near, far := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Watch", f.followers[0].hub.Service()); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.conns = append(f.conns, near)
	f.mu.Unlock()
	go server.ServeConn(far)
	return near, nil
}

// cutSource ends the connections to the source and prevents new ones.
func (f *fleet) cutSource() {
	f.silent.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

func (f *fleet) write(t *testing.T, key, value string) {
	t.Helper()
	if err := f.store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: rowstore.Key{Table: table, Key: key}, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) directReads() (n int64) {
	for _, x := range f.followers {
		n += x.reader.Counters.Direct.Load()
	}
	return n
}

// awaitValue returns the time from now until all followers but the first skip
// have the value.
func (f *fleet) awaitValue(t *testing.T, value string, skip int) time.Duration {
	t.Helper()
	begun := time.Now()
	for time.Since(begun) < 10*time.Second {
		all := true
		for _, x := range f.followers[skip:] {
			got, _, _ := x.state()
			all = all && got == value
		}
		if all {
			return time.Since(begun)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not all have the value %q after 10 s", value)
	return 0
}

func withFleet(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{store: memstore.New(1)}
		f.write(t, "config", "first")
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Second }
		for n := range size {
			hub := NewHub(table, now)
			link := dispatch.NewLinkWithDial("source", f.dial)
			source := func() *dispatch.Link { return link }
			if n == 0 {
				source = func() *dispatch.Link { return nil }
			}
			x := &follower{hub: hub, reader: NewReader(f.store.Client(fmt.Sprint("entry-", n)), hub, source)}
			f.followers = append(f.followers, x)
		}
		for _, x := range f.followers {
			go x.run(ctx)
		}
		defer func() {
			cancel()
			f.cutSource()
			time.Sleep(30 * time.Second) // calls in flight
		}()
		time.Sleep(3 * time.Second)
		test(t, f)
	})
}

// Guards against store calls that grow with the number of entries.
func TestOneEntryReadsForAll(t *testing.T) {
	counts := map[int]int64{}
	for _, size := range []int{4, 40} {
		withFleet(t, size, func(t *testing.T, f *fleet) {
			before := f.directReads()
			time.Sleep(20 * time.Second)
			counts[size] = f.directReads() - before
			f.write(t, "config", strings.Repeat("second", 9000))
			if took := f.awaitValue(t, strings.Repeat("second", 9000), 0); took > 100*time.Millisecond {
				t.Errorf("%d entries have a change after %v", size, took)
			}
		})
	}
	if counts[4] != counts[40] || counts[4] > 50 {
		t.Errorf("reads of the store in 20 s by number of entries: %v", counts)
	}
}

// Guards against entries that take an old state for the present one while nobody
// tells them anything.
func TestEntriesReadTheStoreWhenTheSourceIsSilent(t *testing.T) {
	cases := map[string]func(f *fleet){
		"the source is gone":               func(f *fleet) { f.cutSource() },
		"the source is cut from the store": func(f *fleet) { f.store.SetFault("entry-0", memstore.Unresponsive) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, func(t *testing.T, f *fleet) {
				fail(f)
				oldest := time.Duration(0)
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					for _, x := range f.followers[1:] {
						_, _, age := x.state()
						oldest = max(oldest, age)
					}
				}
				if bound := 1400 * time.Millisecond; oldest > bound {
					t.Errorf("an entry's state was %v old, want %v at most", oldest, bound)
				}
				f.write(t, "config", "second")
				if took := f.awaitValue(t, "second", 1); took > time.Second {
					t.Errorf("a change is known after %v", took)
				}
			})
		})
	}
}

// Guards against a table that each entry lists for itself when the store drops its
// history.
func TestDroppedHistoryIsListedOnce(t *testing.T) {
	withFleet(t, 20, func(t *testing.T, f *fleet) {
		f.write(t, "other", "first")
		before := f.directReads()
		f.store.Compact()
		f.write(t, "config", "second")
		f.store.Compact()
		if took := f.awaitValue(t, "second", 0); took > time.Second {
			t.Errorf("a change is known after %v", took)
		}
		time.Sleep(time.Second)
		if reads := f.directReads() - before; reads > 10 {
			t.Errorf("20 entries have read the store %d times", reads)
		}
	})
}

// Guards against a deletion that is not passed on.
func TestDeletionsArePassedOn(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		if err := f.store.ApplyNow(rowstore.Txn{Deletes: []rowstore.Key{{Table: table, Key: "config"}}}); err != nil {
			t.Fatal(err)
		}
		f.awaitValue(t, "", 0)
	})
}

// Guards against changes that are missed by an entry that knows an older state
// than the hub's list: the hub does not know what was deleted before.
func TestHubDoesNotAnswerForTimesBeforeItsList(t *testing.T) {
	now := func() time.Duration { return time.Second }
	h := NewHub(table, now)
	h.recordList(nil, rowstore.Stamp{Version: 10}, arrival{at: time.Second, current: time.Second})
	if _, _, err := h.Next(t.Context(), 9, 0); !errors.Is(err, rowstore.ErrCompacted) {
		t.Errorf("for a version before its list the hub answers %v", err)
	}
	if _, _, err := h.Next(t.Context(), 11, 0); !errors.Is(err, errNotTold) {
		t.Errorf("for a version that it does not know the hub answers %v", err)
	}
	if _, _, err := h.All(11); !errors.Is(err, errNotTold) {
		t.Errorf("for a list of a version that it does not know the hub answers %v", err)
	}
	if _, at, err := h.Next(t.Context(), 10, 0); err != nil || at.Version != 10 {
		t.Errorf("stamp %+v, %v", at, err)
	}
}

// Guards against two entries that take each other's old state for a present one.
func TestAgesAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Second }
		h := NewHub(table, now)
		h.recordList(nil, rowstore.Stamp{Version: 1, Now: time.Hour}, arrival{at: now(), current: now() - 100*time.Millisecond})
		time.Sleep(700 * time.Millisecond)
		_, at, err := h.Next(t.Context(), 1, 200*time.Millisecond)
		if err != nil || at.Age != 900*time.Millisecond || at.Lag != 100*time.Millisecond || at.Now != time.Hour+900*time.Millisecond {
			t.Errorf("stamp %+v, %v", at, err)
		}
	})
}
