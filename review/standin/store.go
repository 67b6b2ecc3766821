package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/platform/standin"
)

// rowBytes is the longest value of a row. A text in a call that is longer than its
// base64 is such a value.
const (
	rowBytes   = 65536
	base64Text = (rowBytes + 2) / 3 * 4
)

// store is the platform's store: the project's stand-in, which also refuses longer
// values than the pages allow and can be silent.
type store struct {
	rec  *record
	rows *memstore.Store

	mu     sync.Mutex
	silent bool
	// refused counts the refused transactions; largest is the longest text that was
	// taken, in bytes of base64.
	refused, largest int
}

func newStore(rec *record) *store { return &store{rec: rec, rows: memstore.New(1)} }

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

// largestValue is the longest value that was stored, in bytes, to the next three.
func (s *store) largestValue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest / 4 * 3
}

func (s *store) handler() http.Handler {
	var client rowstore.Store = s.rows.Client("all")
	inner := standin.StoreHandler(client)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			s.leave(r)
		}
		if r.Method == http.MethodPost {
			text, err := io.ReadAll(r.Body)
			if err != nil || !s.takes(text) {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(text))
		}
		answer := &buffer{header: http.Header{}, status: http.StatusOK}
		inner.ServeHTTP(answer, r)
		if s.isSilent() {
			s.leave(r)
		}
		for k, v := range answer.header {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
	})
}

// leave leaves a call unanswered, also after the outage.
func (s *store) leave(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// takes reports whether all values of a call fit into rows.
func (s *store) takes(text []byte) bool {
	var body any
	if json.Unmarshal(text, &body) != nil {
		return false
	}
	n := longest(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n <= base64Text {
		s.largest = max(s.largest, n)
		return true
	}
	if s.refused++; s.refused <= 20 {
		s.rec.add("store refuses a transaction (400): a value of about %d bytes, more than %d", n/4*3, rowBytes)
	}
	return false
}

// longest is the length of the longest text in a JSON value.
func longest(v any) int {
	n := 0
	switch v := v.(type) {
	case string:
		n = len(v)
	case []any:
		for _, x := range v {
			n = max(n, longest(x))
		}
	case map[string]any:
		for _, x := range v {
			n = max(n, longest(x))
		}
	}
	return n
}

// buffer holds an answer back until it is known that the store isn't silent.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffer) Header() http.Header         { return b.header }
func (b *buffer) WriteHeader(status int)      { b.status = status }
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }
