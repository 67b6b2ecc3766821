// Package sample holds small services and a batch kind for `persimmonrock dev`
// and for tests: an assay check, a receipt check, a claim submission that must
// not run twice, and grade reports as batch tasks.
package sample

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// Names of the sample services and of the batch kind.
const (
	AssayCheck   structs.Service = "assay-check"
	ReceiptCheck structs.Service = "receipt-check"
	SubmitClaim  structs.Service = "lodge-claim"
	GradeReport  structs.Kind    = "grade-report"
)

// maxSample bounds a request to a sample service in bytes.
const maxSample = 1 << 20

// Assay answers a quick check of a drill sample: {"sample":"..."}.
func Assay(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Sample string `json:"sample"`
	}
	if !read(w, r, &q) {
		return
	}
	h := fnv.New32a()
	io.WriteString(h, q.Sample)
	answer(w, map[string]any{"sample": q.Sample, "grams_per_tonne": float64(h.Sum32()%1000) / 100})
}

// Receipt answers a check of a donation receipt: {"receipt":"...","cents":n}.
func Receipt(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Receipt string `json:"receipt"`
		Cents   int64  `json:"cents"`
	}
	if !read(w, r, &q) {
		return
	}
	answer(w, map[string]any{"receipt": q.Receipt, "valid": q.Receipt != "" && q.Cents > 0, "credit_cents": q.Cents / 3})
}

// Submissions counts the submissions of each claim; more than one is a fault.
type Submissions struct {
	mu    sync.Mutex
	count map[string]int
}

// NewSubmissions returns an empty count.
func NewSubmissions() *Submissions { return &Submissions{count: make(map[string]int)} }

// ServeHTTP records a submission of the claim {"claim":"..."}.
func (s *Submissions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Claim string `json:"claim"`
	}
	if !read(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.count[q.Claim]++
	n := s.count[q.Claim]
	s.mu.Unlock()
	answer(w, map[string]any{"claim": q.Claim, "lodged": n})
}

// Count returns the number of submissions of a claim.
func (s *Submissions) Count(claim string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[claim]
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSample))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// reportState is the checkpoint of a grade report.
type reportState struct {
	Step int `json:"step"`
}

// Report is the program of GradeReport: {"samples":n,"step":"20ms"} works
// through n samples and can resume after any of them.
func Report(ctx context.Context, t memory.Task) ([]byte, error) {
	q := struct {
		Samples int              `json:"samples"`
		Step    structs.Duration `json:"step"`
	}{Samples: 10, Step: structs.Duration(20 * time.Millisecond)}
	if len(t.Payload) > 0 {
		if err := json.Unmarshal(t.Payload, &q); err != nil {
			return nil, fmt.Errorf("grade-report: payload: %w", err)
		}
	}
	var state reportState
	if t.Checkpoint != nil {
		if err := json.Unmarshal(t.Checkpoint, &state); err != nil {
			return nil, fmt.Errorf("grade-report: checkpoint: %w", err)
		}
	}
	for state.Step < q.Samples {
		if err := t.Step(ctx, q.Step.Std()); err != nil {
			return nil, err
		}
		state.Step++
		saved, _ := json.Marshal(state)
		t.Save(saved, float64(state.Step)/float64(q.Samples))
	}
	return json.Marshal(map[string]any{"job": t.Job, "samples": q.Samples})
}
