package problem

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonrock.example/structs"
)

func TestDecodeReadsWrittenRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &structs.Refusal{
			Type:       structs.RefusalType(rapid.SampledFrom([]string{"queue-full", "deadline", "internal"}).Draw(t, "type")),
			Status:     rapid.IntRange(400, 599).Draw(t, "status"),
			Outcome:    rapid.SampledFrom([]structs.Outcome{structs.NotRun, structs.Unknown}).Draw(t, "outcome"),
			Detail:     rapid.String().Draw(t, "detail"),
			RetryAfter: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "retry")),
			Step:       "step",
			Peer:       "peer",
		}
		w := httptest.NewRecorder()
		Write(w, want, "/v1/jobs")
		got := Decode(w.Code, w.Header(), w.Body.Bytes())
		early := want.RetryAfter - got.RetryAfter
		if early > 0 || early <= -time.Second {
			t.Fatalf("want a retry after %s, got %s", want.RetryAfter, got.RetryAfter)
		}
		got.RetryAfter = want.RetryAfter
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("-want +got:\n%s", diff)
		}
	})
}

// A load balancer responds in place of an entry, or an entry is of another
// version. Such a response must not be read as proof that nothing ran.
func TestInvalidDocumentsHaveUnknownOutcome(t *testing.T) {
	for _, body := range []string{
		"<html>Bad Gateway", "", "null", `{"outcome": "not_run"}`,
		`{"type": "https://elsewhere/x", "outcome": "not_run"}`,
		`{"type": "` + TypeBase + `internal", "outcome": "perhaps"}`,
	} {
		got := Decode(502, http.Header{"Retry-After": {"soon"}}, []byte(body))
		if got.Outcome != structs.Unknown || got.Status != 502 || got.RetryAfter != 0 {
			t.Errorf("%q: got %+v", body, got)
		}
	}
	w := httptest.NewRecorder()
	Write(w, &structs.Refusal{Type: structs.RefusedInternal, Status: 99}, "")
	if got := Decode(w.Code, w.Header(), w.Body.Bytes()); got.Status != 500 || got.Outcome != structs.Unknown {
		t.Errorf("got %+v", got)
	}
}

// TestMain makes every run draw the same cases; -rapid.seed=0 draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	m.Run()
}
