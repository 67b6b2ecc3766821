// Package problem writes refusals as RFC 9457 problem documents and reads
// them back.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"persimmonrock.example/structs"
)

const (
	// ContentType is the media type of a problem document.
	ContentType = "application/problem+json"
	// TypeBase precedes the refusal's type in the document's "type" URI.
	TypeBase = "https://persimmonrock.example/problems/"
	// maxDetail bounds the quote from a body that is no problem document, in
	// characters.
	maxDetail = 200
)

// Document is the JSON form of a refusal.
type Document struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Outcome structs.Outcome `json:"outcome"`
	Step    string          `json:"step,omitempty"`
	Peer    string          `json:"peer,omitempty"`
	// Instance is the request ID or path that the refusal answers.
	Instance string `json:"instance,omitempty"`
}

// Write responds with r as a problem document. instance may be empty.
// Retry-After is rounded up to whole seconds, since an earlier retry would be
// refused again. A refusal without a valid outcome is sent as "unknown", which
// proves nothing.
func Write(w http.ResponseWriter, r *structs.Refusal, instance string) {
	status := r.Status
	if status < http.StatusBadRequest || status > 599 {
		status = http.StatusInternalServerError
	}
	outcome := r.Outcome
	if outcome != structs.NotRun {
		outcome = structs.Unknown
	}
	body, err := json.MarshalIndent(Document{
		Type:     TypeBase + string(r.Type),
		Title:    title(r.Type),
		Status:   status,
		Detail:   r.Detail,
		Outcome:  outcome,
		Step:     r.Step,
		Peer:     r.Peer,
		Instance: instance,
	}, "", "  ")
	if err != nil {
		body = []byte(`{"outcome": "unknown"}`)
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(r.RetryAfter), 10))
	}
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// title turns "queue-full" into "Queue full".
func title(t structs.RefusalType) string {
	s := strings.ReplaceAll(string(t), "-", " ")
	if s == "" {
		return "Refused"
	}
	return strings.ToUpper(s[:1]) + s[1:]
}

// Decode reads the refusal from a response that is not a success. For a
// response that isn't a problem document, such as a load balancer's, it returns
// an internal refusal with the outcome unknown.
func Decode(status int, header http.Header, body []byte) *structs.Refusal {
	var d Document
	err := json.Unmarshal(body, &d)
	if err != nil || !strings.HasPrefix(d.Type, TypeBase) {
		d = Document{
			Type:    TypeBase + string(structs.RefusedInternal),
			Detail:  fmt.Sprintf("answer %d is no problem document: %.*q", status, maxDetail, body),
			Outcome: structs.Unknown,
		}
	}
	if d.Outcome != structs.NotRun {
		d.Outcome = structs.Unknown
	}
	seconds, _ := strconv.Atoi(header.Get("Retry-After"))
	return &structs.Refusal{
		Type:       structs.RefusalType(strings.TrimPrefix(d.Type, TypeBase)),
		Status:     status,
		Outcome:    d.Outcome,
		Detail:     d.Detail,
		RetryAfter: time.Duration(max(seconds, 0)) * time.Second,
		Step:       d.Step,
		Peer:       d.Peer,
	}
}
