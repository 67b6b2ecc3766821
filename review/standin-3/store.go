package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeTimes are those of a small deployment's sheet and settings.
const (
	readTime = 4 * time.Millisecond
	txnTime  = 8 * time.Millisecond
	history  = 20 * time.Second
	pageRows = 500
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"row-version,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (r *row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type txn struct {
	Expected []row `json:"expected-rev"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"row-version"`
	NowMs   int64  `json:"now-ms"`
}

// storeFault is what the store does to the calls of one machine.
type storeFault struct {
	// busy refuses all calls with 503, silent answers none and does nothing.
	busy, silent bool
	// lost is the share of transactions that are done and not answered; with late
	// they are done 1 to 6 s later.
	lost float64
	late bool
}

type change struct {
	at  time.Time
	row row
}

// store is the platform's metadata store.
type store struct {
	began   time.Time
	clockMs int64

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	changes []change
	horizon uint64
	changed chan struct{}
	busy    map[string]time.Time
	faults  map[string]storeFault
}

func newStore() *store {
	v := 1000 + rand.Uint64N(1<<30)
	return &store{began: time.Now(), clockMs: 1 + rand.Int64N(1<<30), version: v, horizon: v, rows: map[rowKey]row{}, changed: make(chan struct{}), busy: map[string]time.Time{}, faults: map[string]storeFault{}}
}

func (s *store) setFault(node string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[node] = f
}

func (s *store) fault(node string) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[node]
}

func (s *store) nowMs() int64 { return s.clockMs + time.Since(s.began).Milliseconds() }

// listen serves the store to one machine and returns the address.
func (s *store) listen(ip, node string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transaction(w, r, node) })
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, node) })
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, node) })
	mux.HandleFunc("GET /rows-parts", func(w http.ResponseWriter, r *http.Request) { s.parts(w, r, node) })
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return l.Addr().String(), nil
}

// admit applies the fault of a call, and reports whether the call goes on.
func (s *store) admit(w http.ResponseWriter, r *http.Request, node string) bool {
	f := s.fault(node)
	if f.silent {
		<-r.Context().Done()
		return false
	}
	time.Sleep(readTime)
	if f.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request, node string) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, node) {
		return
	}
	part, ok := t.part()
	if !ok || len(t.Expected)+len(t.Puts)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	now := time.Now()
	from := s.busy[part]
	if from.Before(now) {
		from = now
	}
	if from.Sub(now) > time.Second {
		s.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.busy[part] = from.Add(txnTime)
	s.mu.Unlock()
	time.Sleep(time.Until(from.Add(txnTime)))
	f := s.fault(node)
	if rand.Float64() < f.lost {
		if f.late {
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { s.apply(t) })
		} else {
			s.apply(t)
		}
		<-r.Context().Done()
		return
	}
	done, a := s.apply(t)
	status := http.StatusOK
	if !done {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, a)
}

func (t *txn) part() (string, bool) {
	var all []row
	all = append(append(append(all, t.Expected...), t.Puts...), t.Remove...)
	for i := range all {
		if all[i].Part != all[0].Part {
			return "", false
		}
	}
	if len(all) == 0 {
		return "", false
	}
	return all[0].Part, true
}

func (s *store) apply(t txn) (bool, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []row{}}
	holds := true
	for _, e := range t.Expected {
		have, ok := s.rows[e.key()]
		version := uint64(0)
		if ok {
			a.Rows = append(a.Rows, have)
			version = *have.Version
		}
		holds = holds && e.Version != nil && *e.Version == version
	}
	if holds {
		a.Rows = []row{}
		s.version++
		v := s.version
		for _, p := range t.Puts {
			p.Version = &v
			s.rows[p.key()] = p
			s.changes = append(s.changes, change{time.Now(), p})
		}
		for _, p := range t.Remove {
			delete(s.rows, p.key())
			p.Version, p.Tombstone, p.Value = &v, true, nil
			s.changes = append(s.changes, change{time.Now(), p})
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	a.Version, a.NowMs = s.version, s.nowMs()
	return holds, a
}

// put writes a row for the operator.
func (s *store) put(table, key string, value []byte) {
	s.apply(txn{Puts: []row{{Table: table, Key: key, Value: value}}})
}

func (s *store) get(w http.ResponseWriter, r *http.Request, node string) {
	if !s.admit(w, r, node) {
		return
	}
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	rows := []row{}
	for k, have := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			rows = append(rows, have)
		}
	}
	a := storeAnswer{Version: s.version, NowMs: s.nowMs()}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows, a.More = rows[:limit], true
	}
	a.Rows = rows
	writeJSON(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, node string) {
	if !s.admit(w, r, node) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.forget()
		if after < s.horizon {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := storeAnswer{Rows: []row{}, Version: s.version, NowMs: s.nowMs()}
		first := sort.Search(len(s.changes), func(i int) bool { return *s.changes[i].row.Version > after })
		for _, c := range s.changes[first:] {
			if c.row.Table == q.Get("table") {
				a.Rows = append(a.Rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if s.fault(node).silent {
				<-r.Context().Done()
				return
			}
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// forget drops the history that is older than the settings promise. The caller
// holds mu.
func (s *store) forget() {
	n := 0
	for n < len(s.changes) && time.Since(s.changes[n].at) > history {
		s.horizon = *s.changes[n].row.Version
		n++
	}
	s.changes = s.changes[n:]
}

func (s *store) parts(w http.ResponseWriter, r *http.Request, node string) {
	if !s.admit(w, r, node) {
		return
	}
	s.mu.Lock()
	set := map[string]bool{}
	for k := range s.rows {
		if k.Table == r.URL.Query().Get("table") && k.Part > r.URL.Query().Get("after") {
			set[k.Part] = true
		}
	}
	s.mu.Unlock()
	list := []string{}
	for p := range set {
		list = append(list, p)
	}
	sort.Strings(list)
	writeJSON(w, http.StatusOK, map[string]any{"parts": list, "row-version": s.version, "now-ms": s.nowMs()})
}

// rowsOf returns the values of the rows whose keys begin with prefix.
func (s *store) rowsOf(table, prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for k, r := range s.rows {
		if k.Table == table && strings.HasPrefix(k.Key, prefix) {
			list = append(list, fmt.Sprintf("%s=%s", k.Key, r.Value))
		}
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // the types above always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may be gone
}
