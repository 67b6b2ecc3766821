package sessions

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/sessions/inproc"
	"persimmonrock.example/structs"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// transcript is a session that records its exchanges, as callers, operators and
// backend servers see them, and merged time lines of requests and jobs.
type transcript struct {
	*session
	text strings.Builder
}

func (s *transcript) printf(format string, args ...any) { fmt.Fprintf(&s.text, format+"\n", args...) }

// exchange sends a request and records it with its answer.
func (s *transcript) exchange(e *inproc.Entry, key, method, path, body string, header ...string) inproc.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := e.Do(ctx, method, path, key, body, header...)
	s.printf("> %s %s %s %s %s", strings.Split(e.Name, "#")[0], method, path, strings.Join(header, ": "), body)
	var short bytes.Buffer
	if json.Compact(&short, []byte(r.Body)) != nil {
		short.WriteString(r.Body)
	}
	retry := ""
	if r.Header.Get("Retry-After") != "" {
		retry = " (come back later)"
	}
	s.printf("< %d %s%s", r.Status, strings.TrimSpace(short.String()), retry)
	return r
}

func (s *transcript) callService(e *inproc.Entry, service structs.Service, body string, header ...string) inproc.Response {
	return s.exchange(e, inproc.CustomerKey(customer), "POST", "/v1/services/"+string(service)+"/call", body, header...)
}

func (s *transcript) printTimeline(request structs.RequestID, job structs.JobID) {
	timeline := s.Timeline(request, job)
	if job != "" {
		// Simultaneous events of two processes have no defined order, so a
		// job's time line is grouped by process.
		slices.SortStableFunc(timeline, func(a, b structs.Event) int { return strings.Compare(a.Process, b.Process) })
	}
	for _, e := range timeline {
		s.printf("  %-10s %-13s epoch=%d peer=%s %s", e.Process, e.Step, e.Epoch, e.Peer, e.Detail)
	}
}

func (s *transcript) printTimelineOf(r inproc.Response) {
	s.printTimeline(structs.RequestID(r.Header.Get("Persimmonrock-Request")), "")
}

var generatedIDs = regexp.MustCompile(`\b([jk]-[a-z0-9]{20,}|[a-z2-7]{26})\b`)

// instanceNames matches the names of instances; a call may go to any of them.
var instanceNames = regexp.MustCompile(`\binstance-\d\b`)

// replaceIDs replaces generated IDs by numbers in order of appearance.
func replaceIDs(text string) string {
	seen := make(map[string]string)
	return generatedIDs.ReplaceAllStringFunc(text, func(name string) string {
		kind, _, _ := strings.Cut(name, "-")
		if len(kind) == len(name) {
			kind = "request"
		}
		if seen[name] == "" {
			seen[name] = fmt.Sprintf("<%s %d>", kind, len(seen)+1)
		}
		return seen[name]
	})
}

// runGolden runs a session in fake time and compares its transcript with the
// golden file.
func runGolden(t *testing.T, name string, o options, steps func(*transcript)) {
	var got string
	synctest.Test(t, func(t *testing.T) {
		s := &transcript{session: newSession(t, o)}
		steps(s)
		if n := s.overcommits.Load() + int64(s.Registry.Violations()); n != 0 {
			t.Errorf("%d broken invariants", n)
		}
		got = replaceIDs(s.text.String())
		if o.instances > 1 {
			got = instanceNames.ReplaceAllString(got, "instance-N")
		}
		s.Close()
		time.Sleep(time.Minute)
	})
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("run with -update after an intended change (-want +got):\n%s", diff)
	}
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// Guards against a slot that is freed when its caller stops waiting, although
// the call still runs. Two callers fill an instance of two slots and time out;
// the backend server keeps working. A third call is refused with proof that it
// did not run; once the work has ended, a fourth is served.
func TestGoldenSlotsHeldAfterClientTimeout(t *testing.T) {
	runGolden(t, "g1-slots", options{slots: 2, work: constant(2 * time.Second)}, func(s *transcript) {
		for range 2 {
			go s.call(s.entries[0], sample.AssayCheck, `{"sample":"early"}`, 300*time.Millisecond)
		}
		time.Sleep(time.Second)
		s.printf("two callers have given up after 300ms")
		s.printTimelineOf(s.callService(s.entries[0], sample.AssayCheck, `{"sample":"third"}`, "Request-Timeout", "4s"))
		time.Sleep(3 * time.Second)
		s.printf("the backend server has answered")
		s.printTimelineOf(s.callService(s.entries[0], sample.AssayCheck, `{"sample":"fourth"}`, "Request-Timeout", "4s"))
	})
}

// The agent that runs a job is frozen for longer than its lease, the job runs
// on another instance, and the agent resumes. Other processes can't distinguish
// the pause from a crash.
func TestGoldenFrozenAgent(t *testing.T) {
	runGolden(t, "g2-frozen", options{slots: 2, lease: randomLease}, func(s *transcript) {
		id := s.submit(s.entries[0], 300, 200*time.Millisecond)
		time.Sleep(10 * time.Second)
		s.printf("the agent is frozen")
		old := s.instances[0].Agent
		old.Freeze()
		s.instances = append(s.instances, s.StartInstance("instance-2", 2))
		time.Sleep(50 * time.Second)
		s.printf("the agent wakes")
		old.Thaw()
		time.Sleep(2 * time.Minute)
		s.printf("the job is %s at epoch %d", s.job(id).State, s.job(id).Epoch)
		s.printTimeline("", structs.JobID(id))
	})
}

// A job runs on an instance during a planned stop. The job must be
// checkpointed, evicted and resumed once, on another instance, without
// repeating the work before the checkpoint.
func TestGoldenEvictedJobResumes(t *testing.T) {
	runGolden(t, "g3-resume", options{slots: 2, lease: randomLease}, func(s *transcript) {
		id := s.submit(s.entries[0], 50, 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		s.instances = append(s.instances, s.StartInstance("instance-2", 2))
		time.Sleep(5 * time.Second)
		s.printf("planned stop of the instance: %v", s.instances[0].Agent.Drain(context.Background()))
		s.printf("checkpoint kept: %v", s.job(id).Checkpoint != "")
		time.Sleep(8 * time.Second)
		s.printf("8s later the job is %s after %d eviction, at epoch %d", s.job(id).State, s.job(id).Evictions, s.job(id).Epoch)
		s.printTimeline("", structs.JobID(id))
	})
}

// The connection to a backend server is cut in the middle of the body. An
// idempotent call is answered completely by another instance. A call that is
// not idempotent is not run again, and its caller is told that the outcome is
// unknown.
func TestGoldenTruncatedBody(t *testing.T) {
	runGolden(t, "g4-cut", options{instances: 2, slots: 2}, func(s *transcript) {
		cutOnce := func() {
			cut := false
			s.Web.Script(func(r *http.Request) inproc.WebFault {
				if cut || r.Method != http.MethodPost {
					return inproc.WebDeliver
				}
				cut = true
				return inproc.WebCutBody
			})
		}
		cutOnce()
		s.printTimelineOf(s.callService(s.entries[0], sample.AssayCheck, `{"sample":"GN-17"}`))
		cutOnce()
		s.printTimelineOf(s.callService(s.entries[0], sample.SubmitClaim, `{"claim":"C-1"}`))
		s.printf("lodged %d times", s.executedClaims.Count("C-1"))
	})
}

// A call that is not idempotent is not sent to the agent, is lost on the way,
// loses its answer, or finds the backend server's port closed. A refusal may
// say "not run" only if that is certain, and the count of executions must
// agree.
func TestGoldenAccurateRefusals(t *testing.T) {
	runGolden(t, "g5-refusals", options{slots: 2}, func(s *transcript) {
		for _, fault := range []inproc.Fault{inproc.Unsent, inproc.LoseRequest, inproc.LoseAnswer} {
			s.Net.Script(func(m inproc.Message) inproc.Fault {
				if m.Method == "Agent.Call" {
					return fault
				}
				return inproc.Deliver
			})
			claim := fmt.Sprintf("cut-%d", fault)
			s.callService(s.entries[0], sample.SubmitClaim, fmt.Sprintf(`{"claim":%q}`, claim))
			s.printf("lodged %d times", s.executedClaims.Count(claim))
			time.Sleep(5 * time.Second)
		}
		s.Net.Script(nil)
		s.Web.Script(func(*http.Request) inproc.WebFault { return inproc.WebRefuse })
		s.callService(s.entries[0], sample.SubmitClaim, `{"claim":"refused"}`)
		s.printf("lodged %d times", s.executedClaims.Count("refused"))
	})
}

// The answer to a call is lost, and the call is repeated under its idempotency
// key through the other entry. A second call is sent through an entry that
// can't reach the store, and is repeated afterwards. Neither may run twice. A
// call whose key can't be stored is refused immediately with a Retry-After
// header.
func TestGoldenClaimOnce(t *testing.T) {
	runGolden(t, "g6-once", options{entries: 2, slots: 2}, func(s *transcript) {
		s.Net.Script(func(m inproc.Message) inproc.Fault {
			if m.Method == "Agent.Call" {
				return inproc.LoseAnswer
			}
			return inproc.Deliver
		})
		sendClaim := func(e int, claim string) {
			s.callService(s.entries[e], sample.SubmitClaim, fmt.Sprintf(`{"claim":%q}`, claim), "Idempotency-Key", claim)
			s.printf("%s lodged %d times", claim, s.executedClaims.Count(claim))
		}
		sendClaim(0, "C-1")
		s.Net.Script(nil)
		sendClaim(1, "C-1")
		s.entries[1].Store.Cut(true)
		sendClaim(1, "C-2")
		s.entries[1].Store.Cut(false)
		time.Sleep(3 * time.Second)
		sendClaim(1, "C-2")
		time.Sleep(time.Second)
		sendClaim(0, "C-2")
	})
}

// A backend server leaves while the store is down for all processes. Once it
// has left, it must receive no calls; the other instance serves them all.
func TestGoldenLeavingServer(t *testing.T) {
	runGolden(t, "g7-leaving", options{instances: 2, slots: 2}, func(s *transcript) {
		s.entries[0].Store.Cut(true)
		for _, i := range s.instances {
			i.Agent.Store.Cut(true)
		}
		s.printf("the store is down; the backend server leaves: %v", s.backends[0].Leave(context.Background()))
		served := s.backends[0].Guard.Counters.Served.Load()
		for range 10 {
			if r := s.call(s.entries[0], sample.AssayCheck, `{"sample":"GN-17"}`, time.Second); r.Status != http.StatusOK {
				s.printf("refused: %d %s", r.Status, r.Body)
			}
		}
		s.printf("10 calls; the leaving server got %d of them", s.backends[0].Guard.Counters.Served.Load()-served)
	})
}

// An entry is stopped as planned while a call is in progress. The call gets its
// complete answer. A new call is refused with proof that it did not run, and
// the other entry serves that call.
func TestGoldenPlannedStop(t *testing.T) {
	runGolden(t, "g8-stop", options{entries: 2, slots: 2, work: constant(time.Second)}, func(s *transcript) {
		early := make(chan inproc.Response, 1)
		go func() { early <- s.call(s.entries[0], sample.AssayCheck, `{"sample":"early"}`, 5*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- s.entries[0].Drain(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		s.callService(s.entries[0], sample.AssayCheck, `{"sample":"late"}`)
		s.callService(s.entries[1], sample.AssayCheck, `{"sample":"late"}`)
		r := <-early
		s.printf("the early call got %d %s", r.Status, strings.TrimSpace(r.Body))
		s.printf("stopped: %v", <-done)
	})
}

// Two operators change one contract from the same revision: one change is
// accepted, the other refused with the current revision. A third operator
// repeats a change. Meanwhile the other entry is frozen; once resumed, it must
// answer its first request with the newest contract.
func TestGoldenConfiguration(t *testing.T) {
	runGolden(t, "g9-config", options{entries: 2, slots: 2}, func(s *transcript) {
		path := "/v1/admin/contracts/kowhai"
		contract := func(share string) string {
			return fmt.Sprintf(`{"latency_target":"1s","batch_queue":10,"share":%s,"key_hashes":[]}`, share)
		}
		s.exchange(s.entries[0], inproc.OperatorKey, "PUT", path, contract("0.1"), "If-None-Match", "*")
		s.entries[1].Freeze()
		s.printf("entry-2 is frozen")
		s.exchange(s.entries[0], inproc.OperatorKey, "PUT", path, contract("0.2"), "If-Match", `"3"`)
		s.exchange(s.entries[0], inproc.OperatorKey, "PUT", path, contract("0.3"), "If-Match", `"3"`)
		s.exchange(s.entries[0], inproc.OperatorKey, "PUT", path, contract("0.4"), "Operation-Id", "op-7")
		s.exchange(s.entries[0], inproc.OperatorKey, "PUT", path, contract("0.4"), "Operation-Id", "op-7")
		time.Sleep(30 * time.Second)
		s.entries[1].Thaw()
		s.printf("entry-2 wakes")
		s.exchange(s.entries[1], inproc.OperatorKey, "GET", path, "")
	})
}
