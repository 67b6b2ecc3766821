package infra_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/agent"
	"persimmonrock.example/backend"
	"persimmonrock.example/entry"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// deployment is two entries and three instances on one in-memory table.
type deployment struct {
	t        *testing.T
	ctx      context.Context
	table    *memory.Table
	objects  *memory.Objects
	peers    *wire.Client
	entries  []string
	front    string
	operator string
	key      string
}

var secret = []byte("a secret of the test's processes")

// listen returns a loopback listener and an RPC server for one node.
func (d *deployment) listen() (net.Listener, *wire.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	s := wire.NewServer(secret, &wire.ByteCount{})
	d.t.Cleanup(s.Close)
	return l, s
}

func (d *deployment) startEntry(i int) {
	l, s := d.listen()
	id := structs.EntryID(fmt.Sprint("entry-", i))
	e := entry.New(
		entry.Config{ID: id, Address: l.Addr().String(), Seeds: d.entries, OperatorKeyHashes: []string{keys.Hash(d.operator)}, ConfigPoll: time.Second, ShardLease: 10 * time.Second},
		entry.Deps{Table: d.table, Objects: d.objects, Peers: d.peers, Events: events.New(string(id), 100), Log: zerolog.Nop()})
	if err := s.ServeEntry(e.RPC()); err != nil {
		d.t.Fatal(err)
	}
	go func() { _ = s.Serve(l, nil) }()
	go func() { _ = e.Run(d.ctx) }()
	front := httptest.NewServer(e.Mux())
	d.t.Cleanup(front.Close)
	d.front = front.URL
	d.entries = append(d.entries, l.Addr().String())
}

func (d *deployment) startInstance(i int) {
	l, s := d.listen()
	id := structs.InstanceID(fmt.Sprint("instance-", i))
	report := func(ctx context.Context, t memory.Task) ([]byte, error) { return nil, t.Step(ctx, 10*time.Millisecond) }
	a, err := agent.New(
		agent.Config{Instance: id, Address: l.Addr().String(), Seeds: d.entries, Total: structs.Resources{Slots: 40, Connections: 60, MilliCores: 60000, MemoryBytes: 1 << 38}, Lease: 10 * time.Minute, WorkerLease: 30 * time.Second},
		agent.Deps{
			Table: d.table, Objects: d.objects, Peers: d.peers, Events: events.New(string(id), 100), Log: zerolog.Nop(), HTTP: http.DefaultClient,
			Worker: memory.NewWorker(memory.WorkerOptions{Instance: id, Kinds: map[structs.Kind]memory.Program{"report": report}}),
		})
	if err != nil {
		d.t.Fatal(err)
	}
	if err := s.ServeAgent(a.RPC()); err != nil {
		d.t.Fatal(err)
	}
	go func() { _ = s.Serve(l, nil) }()
	go func() { _ = a.Run(d.ctx) }()
	announce := httptest.NewServer(a.Handler())
	d.t.Cleanup(announce.Close)
	for service, idempotent := range map[structs.Service]bool{"check": true, "lodge": false} {
		front := httptest.NewUnstartedServer(nil)
		guard := backend.New(backend.Config{Agent: announce.URL, Name: string(service), Service: service, Address: "http://" + front.Listener.Addr().String(), Idempotent: idempotent, Slots: 8},
			http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
		front.Config.Handler = guard
		front.Start()
		d.t.Cleanup(front.Close)
		go func() { _ = guard.Run(d.ctx) }()
	}
}

// send sends one request to the last entry.
func (d *deployment) send(method, path, key, idempotency, body string) (int, string) {
	request, err := http.NewRequestWithContext(d.ctx, method, d.front+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// sendUntil repeats a request for up to 20 s until its answer has the status.
func (d *deployment) sendUntil(status int, method, path, key, idempotency, body string) string {
	d.t.Helper()
	got, text := 0, ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got, text = d.send(method, path, key, idempotency, body); got == status {
			return text
		}
	}
	d.t.Fatalf("%s %s: %d %s", method, path, got, text)
	return ""
}

// measure logs the store operations during do, including background operations,
// in total and for each of the n operations in do.
func (d *deployment) measure(label string, n int, do func()) map[string]uint64 {
	before, began := d.table.Operations(), time.Now()
	objects := d.objects.Writes()
	do()
	took := time.Since(began)
	served := make(map[string]uint64)
	for _, o := range d.table.Operations() {
		served[o.Operation] = o.Served
	}
	for _, o := range before {
		served[o.Operation] -= o.Served
	}
	d.t.Logf("%s: %d in %v, object writes each %.3f", label, n, took.Round(time.Millisecond), float64(d.objects.Writes()-objects)/float64(n))
	for _, o := range d.table.Operations() {
		if k := served[o.Operation]; k > 0 {
			d.t.Logf("  %-24s %6d, each %.3f, a second %.1f", o.Operation, k, float64(k)/float64(n), float64(k)/took.Seconds())
		}
	}
	return served
}

// Measures the store operations of each kind of request. An idempotent call
// must need no operation on call rows, or it fails while the store is down.
func TestStoreOperationsOfEachRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := &deployment{t: t, ctx: ctx, table: memory.NewTable(), objects: memory.NewObjects(), operator: keys.Generate(), key: keys.Generate(), peers: wire.NewClient(secret, nil, &wire.ByteCount{})}
	for i := range 2 {
		d.startEntry(i)
	}
	for i := range 3 {
		d.startInstance(i)
	}
	contract, _ := json.Marshal(map[string]any{"latency_target": "2s", "batch_queue": 10000, "share": 1, "key_hashes": []string{keys.Hash(d.key)}})
	d.sendUntil(200, "PUT", "/v1/admin/contracts/granite", d.operator, "", string(contract))
	d.sendUntil(200, "POST", "/v1/services/check/call", d.key, "", "{}")
	d.sendUntil(200, "POST", "/v1/services/lodge/call", d.key, "warm-up", "{}")
	d.sendUntil(202, "POST", "/v1/jobs", d.key, "", `{"kind":"report"}`)

	// The jobs of one measurement fit on the instances at once.
	const n, jobs = 200, 100
	d.measure("seconds idle, 2 entries and 3 agents", 3, func() { time.Sleep(3 * time.Second) })
	calls := d.measure("idempotent calls", n, func() {
		for range n {
			d.sendUntil(200, "POST", "/v1/services/check/call", d.key, "", "{}")
		}
	})
	for operation, k := range calls {
		if k > 0 && strings.Contains(operation, "call") {
			t.Errorf("idempotent calls made %d operations %q", k, operation)
		}
	}
	d.measure("keyed calls that aren't idempotent", n, func() {
		for i := range n {
			d.sendUntil(200, "POST", "/v1/services/lodge/call", d.key, fmt.Sprint("claim-", i), "{}")
		}
	})
	d.measure("jobs, from submission to result", jobs, func() {
		ids := make(chan string, jobs)
		for range jobs {
			go func() {
				var job struct{ ID string }
				_ = json.Unmarshal([]byte(d.sendUntil(202, "POST", "/v1/jobs", d.key, "", `{"kind":"report"}`)), &job)
				ids <- job.ID
			}()
		}
		for range jobs {
			d.sendUntil(200, "GET", "/v1/jobs/"+<-ids+"/result", d.key, "", "")
		}
	})
}
