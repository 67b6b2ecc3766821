package sessions

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/backend"
	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/sessions/inproc"
	"persimmonrock.example/structs"
)

const customer structs.Customer = "granite-notch"

// options configure a session; zero fields take the defaults of newSession.
type options struct {
	entries, instances, slots int
	lease                     time.Duration
	seed                      uint64
	// work returns the working time of a call at its backend server.
	work func() time.Duration
}

// session is a cluster with entries, instances and a contract, in fake time.
type session struct {
	*inproc.Cluster
	t              *testing.T
	slots          int
	entries        []*inproc.Entry
	instances      []*inproc.Instance
	backends       []*inproc.Backend
	executedClaims *sample.Submissions
	// overcommits counts the starts after which an instance ran more work than
	// it has slots.
	overcommits atomic.Int64
	// overcommitNote lists the work that ran at the first overcommit,
	// overcommittedAt is its time.
	overcommitNote  string
	overcommittedAt time.Time
	// overlap holds the registry's log line on the first overlap of two runs.
	overlap bytes.Buffer
}

// occupancy holds the calls and tasks that are running on one instance.
type occupancy struct {
	mu      sync.Mutex
	id      structs.InstanceID
	running map[string]time.Time
}

// enter records name as running until the returned function is called.
func (s *session) enter(f *occupancy, name string) (leave func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name] = time.Now()
	if len(f.running) > s.slots && s.overcommits.Add(1) == 1 {
		s.overcommittedAt = time.Now()
		s.overcommitNote = fmt.Sprintf("%s at %s runs", f.id, time.Now().Format("04:05.000"))
		for who, since := range f.running {
			s.overcommitNote += fmt.Sprintf(" %s (since %s)", who, since.Format("04:05.000"))
		}
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, name)
	}
}

func newSession(t *testing.T, o options) *session {
	w := inproc.NewCluster(o.seed, zerolog.Nop())
	t.Cleanup(w.Close)
	w.AgentLease, w.WorkerLease = o.lease, 5*time.Second
	s := &session{Cluster: w, t: t, slots: max(o.slots, 1), executedClaims: sample.NewSubmissions()}
	w.Registry = memory.NewRunRegistry(zerolog.New(&s.overlap))
	for i := range max(o.entries, 1) {
		s.entries = append(s.entries, w.StartEntry(fmt.Sprintf("entry-%d", i+1)))
	}
	for i := range max(o.instances, 1) {
		f := &occupancy{id: structs.InstanceID(fmt.Sprintf("instance-%d", i+1)), running: make(map[string]time.Time)}
		w.Kinds = map[structs.Kind]memory.Program{sample.GradeReport: func(ctx context.Context, task memory.Task) ([]byte, error) {
			defer s.enter(f, fmt.Sprintf("task %s/%d", task.Job, task.Epoch))()
			return sample.Report(ctx, task)
		}}
		n := w.StartInstance(f.id, s.slots)
		s.backends = append(s.backends,
			n.StartBackend(sample.AssayCheck, true, s.slots, s.handler(f, http.HandlerFunc(sample.Assay), o.work)),
			n.StartBackend(sample.SubmitClaim, false, s.slots, s.handler(f, s.executedClaims, o.work)))
		s.instances = append(s.instances, n)
	}
	synctest.Wait()
	if r := w.Contract(s.entries[0], customer, 1, 1000); r.Status != 200 {
		t.Fatalf("contract: %+v", r)
	}
	time.Sleep(10 * time.Second)
	return s
}

// handler sleeps for the time that work returns and then calls inner, even if
// the caller has timed out.
func (s *session) handler(f *occupancy, inner http.Handler, work func() time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.enter(f, "call "+r.Header.Get(backend.HeaderRequest))()
		if work != nil {
			time.Sleep(work())
		}
		inner.ServeHTTP(w, r)
	})
}

// call makes an urgent call and returns the answer received within timeout.
func (s *session) call(e *inproc.Entry, service structs.Service, body string, timeout time.Duration, header ...string) inproc.Response {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.Do(ctx, "POST", "/v1/services/"+string(service)+"/call", inproc.CustomerKey(customer), body, header...)
}

// request sends a request of the customer other than an urgent call.
func (s *session) request(e *inproc.Entry, method, path, body string, header ...string) inproc.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return e.Do(ctx, method, path, inproc.CustomerKey(customer), body, header...)
}

// submit submits a job and returns its ID, or "" if the job was not accepted.
func (s *session) submit(e *inproc.Entry, samples int, step time.Duration) string {
	r := s.request(e, "POST", "/v1/jobs", fmt.Sprintf(`{"kind":"grade-report","payload":{"samples":%d,"step":"%s"}}`, samples, step))
	var job struct{ ID string }
	_ = json.Unmarshal([]byte(r.Body), &job)
	if r.Status != http.StatusAccepted {
		return ""
	}
	return job.ID
}

func (s *session) job(id string) structs.Job {
	var j structs.Job
	row, err := s.Table.Get(context.Background(), structs.JobKey(structs.ShardOf(customer), structs.JobID(id)))
	if err == nil {
		_ = json.Unmarshal(row.Value, &j)
	}
	return j
}

// brokenInvariants sums all counters named invariant_broken of a process.
func brokenInvariants(vars any) int {
	text, err := json.Marshal(vars)
	if err != nil {
		return 1
	}
	var tree any
	_ = json.Unmarshal(text, &tree)
	return sumBroken(reflect.ValueOf(tree))
}

func sumBroken(v reflect.Value) int {
	sum := 0
	for v.Kind() == reflect.Interface {
		v = v.Elem()
	}
	switch v.Kind() {
	case reflect.Map:
		for _, k := range v.MapKeys() {
			child := v.MapIndex(k).Elem()
			if k.String() == "invariant_broken" && child.Kind() == reflect.Float64 {
				sum += int(child.Float())
			}
			sum += sumBroken(child)
		}
	case reflect.Slice:
		for i := range v.Len() {
			sum += sumBroken(v.Index(i))
		}
	}
	return sum
}

// claimAnswers collects the answers that callers received, by claim.
type claimAnswers struct {
	mu      sync.Mutex
	byClaim map[string][]inproc.Response
}

func (r *claimAnswers) add(claim string, a inproc.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byClaim[claim] = append(r.byClaim[claim], a)
}
