package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/problem"
	"persimmonrock.example/structs"
	"persimmonrock.example/structs/api"
	"persimmonrock.example/wire"
)

const (
	operatorKey = "prk_operator"
	kowhaiKey   = "prk_kowhai"
	graniteKey  = "prk_granite"
	testMaxBody = 2000
)

// testEntry is one entry on a table in memory, with two customers and one
// service that is not idempotent.
type testEntry struct {
	t     *testing.T
	entry *Entry
	table *memory.Table
	mux   http.Handler
}

func newTestEntry(t *testing.T, ctx context.Context) *testEntry {
	s := &testEntry{t: t, table: memory.NewTable()}
	s.entry = New(Config{ID: "e1", Address: "e1", OperatorKeyHashes: []string{keys.Hash(operatorKey)}, MaxBody: testMaxBody}, Deps{
		Table: s.table, Objects: memory.NewObjects(), Peers: wire.NewClient([]byte("secret"), nil, nil),
		Events: events.New("e1", 100), Log: zerolog.Nop(),
	})
	s.mux = s.entry.Mux()
	go s.entry.Run(ctx)
	time.Sleep(time.Minute)
	for customer, key := range map[string]string{"kowhai": kowhaiKey, "granite-notch": graniteKey} {
		s.must(http.MethodPut, "/v1/admin/contracts/"+customer, operatorKey, contractBody(0.5, key), http.StatusOK)
	}
	var reply wire.HelloReply
	s.entry.RPC().Hello(wire.HelloRequest{Address: "i1", Load: wire.Load{Instance: "i1", Process: "p", Sequence: 1,
		Services: []wire.ServiceLoad{{Service: "claims", Slots: 1}}}}, &reply)
	time.Sleep(time.Second)
	return s
}

func contractBody(share float64, key string) string {
	return fmt.Sprintf(`{"latency_target": "1s", "batch_queue": 9, "share": %g, "key_hashes": [%q]}`, share, keys.Hash(key))
}

func (s *testEntry) do(method, path, key, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.mux.ServeHTTP(w, r)
	return w
}

func (s *testEntry) must(method, path, key, body string, status int) []byte {
	s.t.Helper()
	w := s.do(method, path, key, body)
	if w.Code != status {
		s.t.Fatalf("%s %s: %d, want %d: %s", method, path, w.Code, status, w.Body)
	}
	return w.Body.Bytes()
}

// submit returns the path of a new job.
func (s *testEntry) submit(key string) string {
	var job api.Job
	if err := json.Unmarshal(s.must(http.MethodPost, "/v1/jobs", key, `{"kind": "assay", "declared": {"slots": 1}}`, http.StatusAccepted), &job); err != nil {
		s.t.Fatal(err)
	}
	return "/v1/jobs/" + string(job.ID)
}

// rows returns the whole table, but only the keys of rows that are renewed
// periodically.
func (s *testEntry) rows() map[string]infra.Row {
	all := make(map[string]infra.Row)
	list, err := s.table.Scan(s.t.Context(), "", "", 10_000)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range list {
		if strings.HasPrefix(r.Key, structs.ShardPrefix) || strings.HasPrefix(r.Key, "entry/") {
			r = infra.Row{Key: r.Key}
		}
		all[r.Key] = r
	}
	return all
}

// badCase is one request that must be refused.
type badCase struct {
	name, method, path, key, body string
	headers                       []string
	status                        int
	kind                          structs.RefusalType
}

var customerPaths = []string{
	"POST /v1/services/claims/call", "POST /v1/jobs", "GET /v1/jobs", "GET /v1/jobs/j-1", "DELETE /v1/jobs/j-1", "GET /v1/jobs/j-1/result",
}

var operatorPaths = []string{
	"GET /v1/admin/contracts", "GET /v1/admin/contracts/kowhai", "PUT /v1/admin/contracts/kowhai", "DELETE /v1/admin/contracts/kowhai",
	"GET /v1/admin/config", "GET /v1/admin/backends", "GET /v1/admin/instances", "POST /v1/admin/instances/i1/stop",
	"POST /v1/admin/instances/i1/resume", "POST /v1/admin/backends/i1/claims/retire", "GET /v1/admin/events", "POST /v1/admin/jobs/kowhai/j-1/release",
}

func accessCases() []badCase {
	var all []badCase
	add := func(paths []string, name, key string, status int, kind structs.RefusalType) {
		for _, p := range paths {
			method, path, _ := strings.Cut(p, " ")
			all = append(all, badCase{name + " on " + p, method, path, key, contractBody(0.1, "prk_other"), nil, status, kind})
		}
	}
	for _, paths := range [][]string{customerPaths, operatorPaths} {
		add(paths, "no key", "", 401, structs.RefusedUnauthorised)
		add(paths, "wrong key", "prk_wrong", 401, structs.RefusedUnauthorised)
	}
	add(customerPaths, "operator's key", operatorKey, 401, structs.RefusedUnauthorised)
	add(operatorPaths, "customer's key", kowhaiKey, 403, structs.RefusedForbidden)
	return all
}

func lookupCases(foreign string) []badCase {
	const none = "/v1/jobs/j-none"
	release := strings.Replace(foreign, "/v1/jobs/", "/v1/admin/jobs/kowhai/", 1) + "/release"
	list := []badCase{
		{"unknown service", "POST", "/v1/services/none/call", kowhaiKey, "{}", nil, 404, structs.RefusedUnknownService},
		{"unknown path", "GET", "/v1/none", kowhaiKey, "", nil, 404, structs.RefusedNotFound},
		{"unknown method", "PATCH", "/v1/jobs", kowhaiKey, "", nil, 404, structs.RefusedNotFound},
		{"unknown customer", "GET", "/v1/admin/contracts/none", operatorKey, "", nil, 404, structs.RefusedNotFound},
		{"delete of unknown customer", "DELETE", "/v1/admin/contracts/none", operatorKey, "", nil, 404, structs.RefusedNotFound},
		{"unknown instance", "POST", "/v1/admin/instances/none/stop", operatorKey, "", nil, 404, structs.RefusedNotFound},
		{"unknown backend's instance", "POST", "/v1/admin/backends/none/claims/retire", operatorKey, "", nil, 404, structs.RefusedNotFound},
		{"release of unknown job", "POST", "/v1/admin/jobs/kowhai/j-none/release", operatorKey, "", nil, 404, structs.RefusedNotFound},
		{"release under another customer", "POST", release, operatorKey, "", nil, 404, structs.RefusedNotFound},
		{"events after a word", "GET", "/v1/admin/events?after=x", operatorKey, "", nil, 400, structs.RefusedBadRequest},
		{"list after no text", "GET", "/v1/jobs?after=%ff", kowhaiKey, "", nil, 400, structs.RefusedBadRequest},
	}
	for _, p := range []string{none, foreign, strings.Replace(foreign, "/v1/jobs/", "/v1/jobs/..%2F00%2F", 1)} {
		list = append(list,
			badCase{"GET " + p, "GET", p, kowhaiKey, "", nil, 404, structs.RefusedNotFound},
			badCase{"DELETE " + p, "DELETE", p, kowhaiKey, "", nil, 404, structs.RefusedNotFound},
			badCase{"result " + p, "GET", p + "/result", kowhaiKey, "", nil, 404, structs.RefusedNotFound})
	}
	for _, p := range []string{"GET /v1/jobs/%ff", "DELETE /v1/jobs/%ff", "GET /v1/jobs/a%00/result", "POST /v1/services/%ff/call",
		"GET /v1/admin/contracts/%ff", "PUT /v1/admin/contracts/%ff", "DELETE /v1/admin/contracts/%ff", "POST /v1/admin/jobs/%ff/j-1/release"} {
		method, path, _ := strings.Cut(p, " ")
		key := kowhaiKey
		if strings.Contains(path, "admin") {
			key = operatorKey
		}
		list = append(list, badCase{p, method, path, key, contractBody(0.1, "prk_other"), nil, 400, structs.RefusedBadRequest})
	}
	return list
}

func bodyCases() []badCase {
	var list []badCase
	large := strings.Repeat("x", testMaxBody+1)
	good := contractBody(0.1, "prk_other")
	for _, p := range []string{"POST /v1/services/claims/call", "POST /v1/jobs", "PUT /v1/admin/contracts/new"} {
		method, path, _ := strings.Cut(p, " ")
		key := kowhaiKey
		if method == "PUT" {
			key = operatorKey
		}
		list = append(list, badCase{"oversized " + p, method, path, key, large, nil, 413, structs.RefusedTooLarge})
	}
	for _, body := range []string{"", "no JSON", "null", "[]", `"kind"`, "{}", `{"kind": ""}`, `{"kind": 7}`, `{"kind": "a", "colour": 1}`,
		`{"kind": "a"} {"kind": "b"}`, `{"kind": "a"}}`, `{"kind": "a"}]`, `{"kind": "a", "runtime": 5}`, `{"kind": "a", "runtime": "-1s"}`,
		`{"kind": "a", "declared": {"slots": -1}}`, `{"kind": "a", "declared": {"memory_bytes": -1}}`, `{"kind": "a", "declared": {"milli_cores": -1}}`,
		`{"kind": "a", "declared": {"accelerators": -1}}`, `{"kind": "a", "declared": {"connections": -1}}`, `{"kind": "a", "declared": {"slots": 1.5}}`,
		`{"kind": "a", "declared": {"slots": 99999999999999999999}}`, `{"kind": "a", "declared": {"slots": 9223372036854775807}}`,
		`{"kind": "a", "declared": {"memory_bytes": 9223372036854775807}}`, `{"kind": "` + strings.Repeat("k", maxKind+1) + `"}`} {
		list = append(list, badCase{"job " + body, "POST", "/v1/jobs", kowhaiKey, body, nil, 400, structs.RefusedBadRequest})
	}
	for _, edit := range []string{`"1s"|"0s"`, `"1s"|"-1s"`, `"1s"|"9999h"`, `"1s"|1`, `"1s"|"soon"`, `9,|-1,`, `9,|1000001,`, `0.1|0`, `0.1|-0.5`, `0.1|1.01`,
		`0.1|"half"`, `0.1|1e999`, `{"lat|{"customer": "other", "lat`, `"share"|"shares"`, `}|}}`, `}|} {}`, keys.Hash("prk_other") + `|abc`,
		keys.Hash("prk_other") + "|" + strings.ToUpper(keys.Hash("prk_other")), keys.Hash("prk_other") + "|" + keys.Hash(graniteKey),
		keys.Hash("prk_other") + `|` + strings.Repeat("a", 64) + `", "` + strings.Repeat("b", 64) + `", "` + strings.Repeat("c", 64)} {
		from, to, _ := strings.Cut(edit, "|")
		list = append(list, badCase{"contract " + edit, "PUT", "/v1/admin/contracts/new", operatorKey, strings.Replace(good, from, to, 1), nil, 400, structs.RefusedBadRequest})
	}
	for _, customer := range []string{strings.Repeat("c", maxCustomer+1), "a%2Fb"} {
		list = append(list, badCase{"customer " + customer, "PUT", "/v1/admin/contracts/" + customer, operatorKey, good, nil, 400, structs.RefusedBadRequest})
	}
	return list
}

func headerCases(own string) []badCase {
	var list []badCase
	add := func(path, key, body, header string, status int, kind structs.RefusalType) {
		method, path, _ := strings.Cut(path, " ")
		list = append(list, badCase{header + " on " + method + " " + path, method, path, key, body, []string{header}, status, kind})
	}
	for _, timeout := range []string{"soon", "5", "0s", "0.1ns", "-1s", "2h", "99999999h", "NaN", "1s 1s"} {
		for _, path := range []string{"POST /v1/services/claims/call", "POST /v1/jobs", "GET /v1/jobs", "GET " + own, "DELETE " + own, "GET " + own + "/result"} {
			add(path, kowhaiKey, `{"kind": "a"}`, headerTimeout+": "+timeout, 400, structs.RefusedBadRequest)
		}
	}
	long := strings.Repeat("k", maxKey+1)
	for _, value := range []string{"\xff", "a/b", long} {
		add("POST /v1/services/claims/call", kowhaiKey, "{}", headerKey+": "+value, 400, structs.RefusedBadRequest)
		add("POST /v1/jobs", kowhaiKey, `{"kind": "a"}`, headerKey+": "+value, 400, structs.RefusedBadRequest)
	}
	const contract = "/v1/admin/contracts/kowhai"
	body := contractBody(0.1, kowhaiKey)
	for _, path := range []string{"PUT " + contract, "DELETE " + contract} {
		for _, value := range []string{"\xff", long} {
			add(path, operatorKey, body, headerOperation+": "+value, 400, structs.RefusedBadRequest)
		}
		for _, match := range []string{"If-Match: x", `If-Match: ""`, `If-Match: "0"`, `If-Match: "-1"`, `If-Match: W/"2"`, `If-Match: "2", "3"`,
			`If-Match: "18446744073709551615"`, `If-Match: "18446744073709551616"`, `If-None-Match: "2"`} {
			add(path, operatorKey, body, match, 400, structs.RefusedBadRequest)
		}
		add(path, operatorKey, body, `If-Match: "999"`, 412, structs.RefusedPrecondition)
		add(path, operatorKey, body, `If-None-Match: *`, 412, structs.RefusedPrecondition)
	}
	return list
}

// Each request is wrong in one way. The answer must be a problem document that
// names the cause and proves that nothing ran. The request may change no row,
// at once or in the seconds afterwards.
func TestBadInputIsRefusedAndChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		s := newTestEntry(t, ctx)
		own, foreign := s.submit(kowhaiKey), s.submit(graniteKey)
		time.Sleep(5 * time.Second)
		var all []badCase
		for _, group := range [][]badCase{accessCases(), lookupCases(foreign), bodyCases(), headerCases(own)} {
			all = append(all, group...)
		}
		first := s.rows()
		for _, c := range all {
			before := s.rows()
			w := s.do(c.method, c.path, c.key, c.body, c.headers...)
			checkProblem(t, c, w)
			time.Sleep(time.Second)
			if diff := cmp.Diff(before, s.rows()); diff != "" {
				t.Errorf("%s: rows changed:\n%s", c.name, diff)
			}
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(first, s.rows()); diff != "" {
			t.Errorf("rows changed by the end:\n%s", diff)
		}
		if n := s.entry.urgent.Records().Pending.Load(); n != 0 {
			t.Errorf("%d records are still being written", n)
		}
		t.Logf("%d requests refused", len(all))
	})
}

func checkProblem(t *testing.T, c badCase, w *httptest.ResponseRecorder) {
	t.Helper()
	var d problem.Document
	if err := json.Unmarshal(w.Body.Bytes(), &d); err != nil {
		t.Errorf("%.120s: %d without a problem document: %s", c.name, w.Code, w.Body)
		return
	}
	path, _ := url.Parse(c.path)
	got := []any{w.Code, w.Header().Get("Content-Type"), d.Type, d.Status, d.Outcome, d.Detail != "", d.Step != "", d.Peer}
	want := []any{c.status, problem.ContentType, problem.TypeBase + string(c.kind), c.status, structs.NotRun, true, true, "e1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%.120s: %s\n%s", c.name, w.Body, diff)
	}
	if strings.ToValidUTF8(path.Path, "\uFFFD") != d.Instance {
		t.Errorf("%.120s: instance %q", c.name, d.Instance)
	}
	if (c.status == 401) != (w.Header().Get("WWW-Authenticate") != "") {
		t.Errorf("%.120s: WWW-Authenticate %q", c.name, w.Header().Get("WWW-Authenticate"))
	}
}
