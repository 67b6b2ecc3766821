package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/cmd/node"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/problem"
	"persimmonrock.example/structs"
)

// deployment is a running deployment as a client on the network sees it.
type deployment struct {
	t    *testing.T
	base string
}

// request returns status and body of a request. It repeats the request, as the
// refusal demands, while the customer's queue shard moves from one entry to
// another.
func (s deployment) request(method, path, authorization, body string) (int, []byte) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, text, refused := s.requestOnce(method, path, authorization, body)
		if refused == nil || refused.Type != structs.RefusedNotOwner || time.Now().After(end) {
			return status, text
		}
	}
}

// requestOnce sends one request. Every refusal must be a problem document that
// proves that nothing ran.
func (s deployment) requestOnce(method, path, authorization, body string) (int, []byte, *structs.Refusal) {
	s.t.Helper()
	r, err := http.NewRequest(method, s.base+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	if answer.StatusCode < 400 {
		return answer.StatusCode, text, nil
	}
	refused := problem.Decode(answer.StatusCode, answer.Header, text)
	if refused.Outcome != structs.NotRun {
		s.t.Errorf("%s %s: refused without proof: %s", method, path, text)
	}
	return answer.StatusCode, text, refused
}

func (s deployment) addCustomer(operator string, name structs.Customer) (bearer string) {
	s.t.Helper()
	key := keys.Generate()
	contract, _ := json.Marshal(structs.Contract{
		Customer: name, LatencyTarget: structs.Duration(time.Second), BatchQueue: 10, Share: 0.4, KeyHashes: []string{keys.Hash(key)},
	})
	if status, text := s.request("PUT", "/v1/admin/contracts/"+string(name), operator, string(contract)); status != http.StatusOK {
		s.t.Fatalf("contract: %d %s", status, text)
	}
	return "Bearer " + key
}

// submit submits a job, once an entry owns the customer's queue shard.
func (s deployment) submit(customer string) (job struct{ ID string }) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status, text := s.request("POST", "/v1/jobs", customer, `{"kind":"grade-report","payload":{"samples":1}}`)
		if json.Unmarshal(text, &job); status == http.StatusAccepted && job.ID != "" {
			return job
		}
	}
	s.t.Fatal("no job accepted within 10 s")
	return job
}

// An operator retires one service of an instance. Calls of that service must go
// elsewhere, and the instance's other services must stay in use: an agent that
// retired the whole instance would evict all its batch tasks.
func TestRetireTakesOneServiceOutOfUse(t *testing.T) {
	running, err := node.StartSample(zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop(t.Context())
	defer http.DefaultClient.CloseIdleConnections()
	t.Setenv(envServer, "http://"+running.Entries[0].HTTPAddress())
	t.Setenv(envKey, running.OperatorKey)
	command := func(line string) (int, string) {
		var stdout, stderr bytes.Buffer
		status := dispatch(t.Context(), "persimmonrock", commands(), strings.Fields(line), &stdout, &stderr)
		return status, stdout.String() + stderr.String()
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, list := command("backend list"); strings.Count(list, "in use") == 9 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the sample's nine services are not announced within 10 s")
		}
	}
	if status, text := command("backend retire -wait -timeout 10s instance-1 assay-check"); status != exitOK {
		t.Fatalf("status %d: %s", status, text)
	}
	_, backends := command("backend list")
	_, instances := command("instance list")
	if strings.Count(backends, "in use") != 8 || strings.Count(instances, "in use") != 3 {
		t.Errorf("afterwards:\n%s%s", backends, instances)
	}
}

// Every path must refuse requests without a key, with a wrong key and with
// another customer's key. No answer may reveal whether a job exists.
func TestEveryPathRequiresItsKey(t *testing.T) {
	running, err := node.StartSample(zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer running.Stop(t.Context())
	defer http.DefaultClient.CloseIdleConnections()
	s := deployment{t, "http://" + running.Entries[0].HTTPAddress()}
	operator := "Bearer " + running.OperatorKey
	granite, kowhai := s.addCustomer(operator, "granite"), s.addCustomer(operator, "kowhai")
	job := s.submit(granite)
	customerPaths := []string{"POST /v1/services/assay-check/call", "POST /v1/jobs", "GET /v1/jobs",
		"GET /v1/jobs/" + job.ID, "GET /v1/jobs/" + job.ID + "/result", "DELETE /v1/jobs/" + job.ID}
	operatorPaths := []string{"GET /v1/admin/contracts", "GET /v1/admin/contracts/granite", "PUT /v1/admin/contracts/granite",
		"DELETE /v1/admin/contracts/granite", "GET /v1/admin/config", "GET /v1/admin/backends", "GET /v1/admin/instances",
		"POST /v1/admin/instances/instance-1/stop", "POST /v1/admin/instances/instance-1/resume",
		"POST /v1/admin/backends/instance-1/assay-check/retire", "GET /v1/admin/events",
		"POST /v1/admin/jobs/granite/" + job.ID + "/release", "GET /debug/vars", "GET /debug/events"}
	invalidKeys := []string{"", "Bearer ", "Bearer " + keys.Generate(), "Basic " + strings.TrimPrefix(granite, "Bearer "),
		"Bearer " + keys.Hash(strings.TrimPrefix(granite, "Bearer ")), strings.ToUpper(granite), granite + "x"}
	for _, authorization := range invalidKeys {
		for _, path := range append(customerPaths, operatorPaths...) {
			method, path, _ := strings.Cut(path, " ")
			if status, text := s.request(method, path, authorization, "{}"); status != http.StatusUnauthorized {
				t.Errorf("%s %s with %q: %d %s", method, path, authorization, status, text)
			}
		}
	}
	for _, path := range operatorPaths {
		method, path, _ := strings.Cut(path, " ")
		if status, text := s.request(method, path, granite, "{}"); status != http.StatusForbidden && status != http.StatusUnauthorized {
			t.Errorf("%s %s with a customer's key: %d %s", method, path, status, text)
		}
	}
	for _, path := range customerPaths[3:] {
		method, path, _ := strings.Cut(path, " ")
		status, foreign := s.request(method, path, kowhai, "")
		_, absent := s.request(method, strings.Replace(path, job.ID, "j-absent", 1), kowhai, "")
		if status != http.StatusNotFound || !bytes.Equal(bytes.ReplaceAll(foreign, []byte(job.ID), []byte("j-absent")), absent) {
			t.Errorf("%s %s by another customer: %d %s, an absent job: %s", method, path, status, foreign, absent)
		}
	}
	if _, list := s.request("GET", "/v1/jobs", kowhai, ""); strings.Contains(string(list), job.ID) {
		t.Errorf("another customer's list: %s", list)
	}
	if status, text := s.request("GET", "/v1/jobs/"+job.ID, granite, ""); status != http.StatusOK || strings.Contains(string(text), "cancelled") {
		t.Errorf("afterwards: %d %s", status, text)
	}
}
