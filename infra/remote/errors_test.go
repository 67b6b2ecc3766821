package remote_test

import (
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
)

func answer(status int, content, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/table/elsewhere" {
			status, body = http.StatusOK, `{"versions":[1]}`
		}
		w.Header().Set("Content-Type", content)
		w.Header().Set("Location", "/v1/table/elsewhere")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

const unavailableProblem = `{"type":"urn:persimmonrock:platform:unavailable","title":"","status":503}`

// Guards against a stored job that is reported to its customer as refused. It
// came about when the connection broke, or an intermediary between the entry
// and the store answered, and every failed request counted as one without
// effect.
func TestErrorsWithoutProofAreUnknown(t *testing.T) {
	const problemJSON, plainJSON = "application/problem+json", "application/json"
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"versions":[1]}`)
	}
	expanding := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, _ = io.WriteString(z, strings.Repeat(" ", remote.MaxBody)+`{"versions":[1]}`)
		_ = z.Close()
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		commit  error
	}{
		"cut before the answer":          {abort, infra.ErrUnknown},
		"cut within the answer":          {truncated, infra.ErrUnknown},
		"expands beyond the bound":       {expanding, infra.ErrUnknown},
		"no answer":                      {hang, infra.ErrUnknown},
		"redirect":                       {answer(307, plainJSON, ""), infra.ErrUnknown},
		"refusal by an intermediary":     {answer(503, "text/html", "busy"), infra.ErrUnknown},
		"document with another status":   {answer(500, problemJSON, unavailableProblem), infra.ErrUnknown},
		"document of another protocol":   {answer(503, problemJSON, `{"type":"about:blank","title":"","status":503}`), infra.ErrUnknown},
		"conflict that names no row":     {answer(409, problemJSON, `{"type":"urn:persimmonrock:platform:conflict","title":"","status":409}`), infra.ErrUnknown},
		"fewer versions than puts":       {answer(200, plainJSON, `{"versions":[]}`), infra.ErrUnknown},
		"success of another kind":        {answer(200, plainJSON, `{"ok":true}`), infra.ErrUnknown},
		"refusal by the platform itself": {answer(503, problemJSON, unavailableProblem), infra.ErrUnavailable},
		"not listening":                  {nil, infra.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			if c.handler == nil {
				server.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			counters := remote.NewCounters()
			tab := remote.NewTable(server.URL, nil, remote.WithCounters(counters))
			_, err := tab.Commit(ctx, infra.Txn{Op: "op", Puts: []infra.Put{{Key: "a"}}})
			wantError(t, err, c.commit, "commit")
			if errors.Is(err, infra.ErrUnavailable) == errors.Is(err, infra.ErrUnknown) {
				t.Errorf("%v is both or neither", err)
			}
			// A read has no effect, so each of its failures counts as unavailable.
			_, err = tab.Get(ctx, "a")
			wantError(t, err, infra.ErrUnavailable, "get")
			counted := counters.Vars().(remote.CounterVars)
			if counted.Reads != 1 || counted.Writes != 1 || counted.Unknown+counted.Unavailable != 2 || (counted.Unknown == 1) != errors.Is(c.commit, infra.ErrUnknown) {
				t.Errorf("counted %+v", counted)
			}
		})
	}
}

func TestHandlerRefusesInvalidBodies(t *testing.T) {
	server := httptest.NewServer(remote.Handler(memory.NewTable(), memory.NewObjects()))
	defer server.Close()
	for name, body := range map[string]string{
		"no JSON":       `key=a`,
		"unknown field": `{"op":"o","puts":[{"key":"a","value":"","ttl":1}]}`,
		"two values":    `{"op":"o"} {"op":"p"}`,
		"too large":     `{"op":"` + strings.Repeat("o", remote.MaxBody) + `"}`,
	} {
		resp, err := http.Post(server.URL+"/v1/table/commit", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), "platform:invalid") {
			t.Errorf("%s: %d %.200s", name, resp.StatusCode, text)
		}
	}
}
