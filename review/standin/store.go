package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as PROTOCOL.md and the settings give them.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	rowBytes      = 65536
	pageRows      = 500
	pageBytes     = 1 << 20
	txnTime       = 8 * time.Millisecond
	readTime      = 4 * time.Millisecond
	historyTime   = 20 * time.Second
)

type rowKey struct{ table, part, key string }

type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"row-version,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"row-version"`
	NowMs   int64  `json:"now-ms"`
}

type change struct {
	row row
	at  time.Time
}

// store is the platform's store. It loses nothing and is linearizable.
type store struct {
	rec   *record
	began time.Time
	parts sync.Map // part -> *sync.Mutex: a part carries out one transaction at a time

	mu        sync.Mutex
	rows      map[rowKey]row
	history   []change
	dropped   uint64
	version   uint64
	changed   chan struct{}
	silent    bool
	refusedTx int
	largest   int // the largest row that was stored, in bytes
}

func newStore(rec *record) *store {
	return &store{rec: rec, began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// setSilent makes the store leave all calls unanswered and do nothing for them.
func (s *store) setSilent(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = v
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) answer() storeAnswer {
	return storeAnswer{Rows: []row{}, Version: s.version, NowMs: time.Since(s.began).Milliseconds()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			// Nothing is done and nothing is answered, also after the outage.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

type txnBody struct {
	Expected []row `json:"expected-rev"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t txnBody
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxTxnBytes)).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if why := t.refusal(); why != "" {
		s.mu.Lock()
		s.refusedTx++
		n := s.refusedTx
		s.mu.Unlock()
		if n <= 20 {
			s.rec.add("store refuses a transaction (400): %s", why)
		}
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": why})
		return
	}
	lock, _ := s.parts.LoadOrStore(t.part(), &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	time.Sleep(txnTime)
	status, a := s.apply(t)
	lock.(*sync.Mutex).Unlock()
	writeJSON(w, status, a)
}

// refusal says which limit of the pages the transaction exceeds, or "".
func (t *txnBody) refusal() string {
	if n := len(t.Expected) + len(t.Puts) + len(t.Remove); n > maxTxnEntries {
		return strconv.Itoa(n) + " entries, more than 100"
	}
	size := 0
	for _, p := range t.Puts {
		size += len(p.Value)
		if len(p.Value) > rowBytes {
			return "row " + p.Table + "/" + p.Key + " of " + strconv.Itoa(len(p.Value)) + " bytes, more than row-bytes 65536"
		}
	}
	if size > maxTxnBytes {
		return "more than 1 MB"
	}
	return ""
}

func (t *txnBody) part() string {
	for _, list := range [][]row{t.Expected, t.Puts, t.Remove} {
		for _, r := range list {
			return r.Part
		}
	}
	return ""
}

func (s *store) apply(t txnBody) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	var now []row
	for _, e := range t.Expected {
		want := uint64(0)
		if e.Version != nil {
			want = *e.Version
		}
		have, there := s.rows[e.id()]
		if there {
			now = append(now, have)
		}
		if there && *have.Version != want || !there && want != 0 {
			ok = false
		}
	}
	if !ok {
		a := s.answer()
		a.Rows = append(a.Rows, now...)
		return http.StatusPreconditionFailed, a
	}
	s.version++
	v := s.version
	for _, p := range t.Puts {
		s.largest = max(s.largest, len(p.Value))
		p.Version, p.Tombstone = &v, false
		s.rows[p.id()] = p
		s.history = append(s.history, change{p, time.Now()})
	}
	for _, d := range t.Remove {
		if _, there := s.rows[d.id()]; !there {
			continue
		}
		delete(s.rows, d.id())
		s.history = append(s.history, change{row{Table: d.Table, Part: d.Part, Key: d.Key, Version: &v, Tombstone: true}, time.Now()})
	}
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = *s.history[0].row.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.answer()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer()
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (!q.Has("target") || k.key < q.Get("target")) {
			a.Rows = append(a.Rows, x)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	size := 0
	for i, x := range a.Rows {
		size += len(x.Value)
		if i >= limit || i > 0 && size > pageBytes {
			a.Rows, a.More = a.Rows[:i], true
			break
		}
	}
	writeJSON(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(readTime)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a, changed := s.answer(), s.changed
		for _, c := range s.history {
			if *c.row.Version > after && c.row.Table == q.Get("table") {
				a.Rows = append(a.Rows, c.row)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
		if s.isSilent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
}

// put writes a row of the operator.
func (s *store) put(table, key string, value any) {
	text, _ := json.Marshal(value)
	s.apply(txnBody{Puts: []row{{Table: table, Key: key, Value: text}}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) largestRow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest
}
