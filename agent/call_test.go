package agent

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonrock.example/backend"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// service is a backend server's handler that counts the runs of each request.
type service struct {
	mu     sync.Mutex
	ran    map[structs.RequestID]int
	answer func(w http.ResponseWriter, id structs.RequestID)
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := structs.RequestID(body)
	s.mu.Lock()
	s.ran[id]++
	answer := s.answer
	s.mu.Unlock()
	answer(w, id)
}

func (s *service) setAnswer(answer func(http.ResponseWriter, structs.RequestID)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *service) times(id structs.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// rawAnswer writes raw bytes on the connection and closes it.
func rawAnswer(raw string) func(http.ResponseWriter, structs.RequestID) {
	return func(w http.ResponseWriter, _ structs.RequestID) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, raw)
			conn.Close()
		}
	}
}

func plain(w http.ResponseWriter, id structs.RequestID) {
	w.Header().Set("X-Grade", "4.2")
	_, _ = io.WriteString(w, "grade of "+string(id))
}

// startServing starts an agent and a backend server with two slots.
func startServing(t *testing.T) (*rig, *Agent, *service, *backend.Server) {
	r := newRig(t, t.Context())
	r.config.MaxBody = 1 << 20
	url, setAgent := r.announceAt()
	r.setAgent = setAgent
	a, kill := r.agent()
	r.kill = kill
	setAgent(a)
	s := &service{ran: make(map[structs.RequestID]int), answer: plain}
	var guard *backend.Server
	guard, r.front = r.startBackend(url, 2, s.ServeHTTP)
	eventually(t, "backend server ready", ready(a))
	return r, a, s, guard
}

// The connection or the server fails at different points after the request was
// sent, or the answer is late, too large or to another request. The caller must
// get the whole answer to its own request, or a refusal that claims no more
// than is known. The request must run once. Its slot must be free after the
// server has reported that the request doesn't run.
func TestAnswersThatFail(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	release := make(chan struct{})
	cases := []struct {
		name    string
		answer  func(http.ResponseWriter, structs.RequestID)
		budget  time.Duration
		refused structs.RefusalType
		status  int
		runs    int
		headers []wire.Header
	}{
		{"whole", plain, time.Second, "", 200, 1, nil},
		{"redirect is passed on", func(w http.ResponseWriter, _ structs.RequestID) {
			w.Header().Set("Location", "/again")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}, time.Second, "", 307, 1, nil},
		{"closed before the answer", rawAnswer(""), time.Second, structs.RefusedAnswerCut, 0, 1, nil},
		{"closed, with a key", rawAnswer(""), time.Second, structs.RefusedAnswerCut, 0, 1, []wire.Header{{Name: "Idempotency-Key", Value: "k"}}},
		{"dies after the headers", rawAnswer(ok + "Content-Length: 9\r\n\r\n"), time.Second, structs.RefusedAnswerCut, 0, 1, nil},
		{"cut in the body", rawAnswer(ok + "Content-Length: 9\r\n\r\nhalf"), time.Second, structs.RefusedAnswerCut, 0, 1, nil},
		{"cut in a chunk", rawAnswer(ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"), time.Second, structs.RefusedAnswerCut, 0, 1, nil},
		{"cut between chunks", rawAnswer(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), time.Second, structs.RefusedAnswerCut, 0, 1, nil},
		{"without a length", rawAnswer(ok + "Connection: close\r\n\r\nhalf"), time.Second, structs.RefusedAnswerCut, 0, 1, nil},
		{"answer to another request", rawAnswer(ok + "Persimmonrock-Request: other\r\nContent-Length: 4\r\n\r\nhalf"), time.Second, structs.RefusedAnswerLost, 0, 1, nil},
		{"too large", func(w http.ResponseWriter, _ structs.RequestID) { _, _ = w.Write(make([]byte, 1<<20+1)) }, time.Second, structs.RefusedTooLarge, 0, 1, nil},
		{"late", func(w http.ResponseWriter, id structs.RequestID) { <-release; plain(w, id) }, 20 * time.Millisecond, structs.RefusedDeadline, 0, 1, nil},
	}
	_, a, s, guard := startServing(t)
	for i, c := range cases {
		s.setAnswer(plain)
		call(a, structs.RequestID(fmt.Sprint("warm", i)), time.Second) // leaves an idle connection
		s.setAnswer(c.answer)
		id := structs.RequestID(fmt.Sprint("r", i))
		got := call(a, id, c.budget, c.headers...)
		switch {
		case c.refused == "" && (got.Refused != nil || got.Status != c.status || got.Request != id):
			t.Errorf("%s: %d refused %v, want %d", c.name, got.Status, got.Refused, c.status)
		case c.refused != "" && (got.Refused == nil || got.Refused.Type != c.refused || got.Refused.Outcome != structs.Unknown):
			t.Errorf("%s: %+v, want %s, unknown", c.name, got.Refused, c.refused)
		}
		if n := s.times(id); n != c.runs {
			t.Errorf("%s: ran %d times", c.name, n)
		}
		if c.name != "late" {
			eventually(t, c.name+": slot is free", func() bool { return a.load().Free.Slots == 8 })
		}
	}
	again := call(a, structs.RequestID(fmt.Sprint("r", len(cases)-1)), time.Second)
	if again.Refused == nil || again.Refused.Type != structs.RefusedInProgress || again.Refused.Outcome != structs.Unknown {
		t.Errorf("a request ID used again: %+v", again.Refused)
	}
	s.setAnswer(plain)
	if got := call(a, "next", time.Second); string(got.Body) != "grade of next" || len(got.Headers) == 0 {
		t.Errorf("the call after a late answer: %q %v", got.Body, got.Refused)
	}
	close(release)
	eventually(t, "the late answer frees its slot", func() bool { return a.load().Free.Slots == 8 })
	if guard.Guard.Counters.Full.Load() != 0 || a.ledger.Counters().InvariantBroken != 0 {
		t.Error("the server was given more than its slots")
	}
}

// A handler sends its whole body, with its length, and continues to work. The
// slot must stay taken until the handler returns; otherwise the next call would
// run beside it.
func TestSlotIsTakenUntilTheHandlerReturns(t *testing.T) {
	_, a, s, _ := startServing(t)
	var working atomic.Bool
	s.setAnswer(func(w http.ResponseWriter, _ structs.RequestID) {
		working.Store(true)
		w.Header().Set("Content-Length", "65536")
		w.Header().Set(backend.HeaderRefused, string(backend.RefusedFull))
		_, _ = w.Write(make([]byte, 65536))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond) // simulated work
		working.Store(false)
	})
	if got := call(a, "r1", time.Second); got.Refused != nil || len(got.Body) != 65536 || working.Load() {
		t.Errorf("%v, %d bytes, still working %v", got.Refused, len(got.Body), working.Load())
	}
}

// In each of these cases a call is refused as not run. None of the refused
// requests may have run.
func TestRefusalsThatProveNotRun(t *testing.T) {
	r, a, s, guard := startServing(t)
	gone := make(chan struct{})
	tries := 0
	served := func(what string) {
		eventually(t, what, func() bool {
			tries++
			return call(a, structs.RequestID(fmt.Sprint("busy-", tries)), time.Second).Refused == nil
		})
	}
	cases := []struct {
		name string
		want structs.RefusalType
		act  func() wire.CallReply
	}{
		{"no ID", structs.RefusedBadRequest, func() wire.CallReply { return call(a, "", time.Second) }},
		{"large body", structs.RefusedTooLarge, func() wire.CallReply {
			return call(a, structs.RequestID(strings.Repeat("x", 1<<20+1)), time.Second)
		}},
		{"no time left", structs.RefusedDeadline, func() wire.CallReply { return call(a, "d", 0) }},
		{"no contract", structs.RefusedForbidden, func() (reply wire.CallReply) {
			_ = a.RPC().Call(wire.CallRequest{Request: "f", Customer: "nobody", Service: "assay-check", Body: []byte("f"), Budget: time.Second, Revision: 1}, &reply)
			return reply
		}},
		{"unknown service", structs.RefusedUnknownService, func() (reply wire.CallReply) {
			_ = a.RPC().Call(wire.CallRequest{Request: "u", Customer: "granite", Service: "other", Body: []byte("u"), Budget: time.Second, Revision: 1}, &reply)
			return reply
		}},
		{"full", structs.RefusedNoCapacity, func() wire.CallReply {
			s.setAnswer(func(w http.ResponseWriter, id structs.RequestID) { <-gone; plain(w, id) })
			var wait sync.WaitGroup
			for _, id := range []structs.RequestID{"busy1", "busy2"} {
				wait.Go(func() { call(a, id, 10*time.Second) })
			}
			eventually(t, "both slots taken", func() bool { return s.times("busy1")+s.times("busy2") == 2 })
			reply := call(a, "full", time.Second)
			close(gone)
			wait.Wait()
			return reply
		}},
		{"draining", structs.RefusedDraining, func() wire.CallReply {
			a.ledger.Drain(true)
			defer a.ledger.Drain(false)
			return call(a, "drain", time.Second)
		}},
		{"fenced by another agent", structs.RefusedFenced, func() wire.CallReply {
			guard.Guard.CarryOut(backend.Answer{AgentIncarnation: 1 << 40, AgentSession: "x", Number: 1})
			return call(a, "fenced", time.Second)
		}},
		{"connection refused", structs.RefusedUnreachable, func() wire.CallReply {
			// The server soon announces the other agent's incarnation, and gets
			// no calls until it has accepted a higher one of this agent.
			served("accepted the agent again")
			address := r.front.Listener.Addr().String()
			r.front.Close()
			defer func() {
				l, err := net.Listen("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _ = http.Serve(l, guard) }()
				t.Cleanup(func() { l.Close() })
			}()
			a.client.CloseIdleConnections() // if an idle connection breaks, the call may have run
			return call(a, "nobody", time.Second)
		}},
		{"leaving", structs.RefusedDraining, func() wire.CallReply {
			served("accepted the agent again, new connection")
			guard.Guard.Leave()
			return call(a, "leave", time.Second)
		}},
	}
	for _, c := range cases {
		got := c.act()
		if got.Refused == nil || got.Refused.Type != c.want || got.Refused.Outcome != structs.NotRun {
			t.Errorf("%s: %+v, want %s, not_run", c.name, got.Refused, c.want)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.ran {
		if !strings.HasPrefix(string(id), "busy") || n != 1 {
			t.Errorf("%q ran %d times", id, n)
		}
	}
}

// Connections break under load, and the agent is killed and replaced again and
// again while calls run. No request runs twice, no request that was refused as
// not run has run, each answer is the caller's own, and the backend server
// never holds more calls than its slots.
func TestBusyServiceUnderKillsAndCuts(t *testing.T) {
	r := newRig(t, t.Context())
	url, setAgent := r.announceAt()
	s := &service{ran: make(map[structs.RequestID]int)}
	s.answer = func(w http.ResponseWriter, id structs.RequestID) {
		time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
		plain(w, id)
	}
	a, kill := r.agent()
	setAgent(a)
	guard, _ := r.startBackend(url, 2, s.ServeHTTP)
	eventually(t, "backend server ready", ready(a))
	var mu sync.Mutex // guards a
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var answered, refused [8]int
	for caller := range 8 {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				to := a
				mu.Unlock()
				id := structs.RequestID(fmt.Sprintf("c%d-%d", caller, n))
				got := call(to, id, time.Duration(1+rand.IntN(20))*time.Millisecond)
				switch {
				case got.Refused == nil && string(got.Body) != "grade of "+string(id):
					t.Errorf("%s got %q", id, got.Body)
				case got.Refused == nil:
					answered[caller]++
				case got.Refused.Outcome == structs.NotRun:
					refused[caller]++
					time.Sleep(time.Millisecond)
					if s.times(id) != 0 {
						t.Errorf("%s ran although it was refused: %v", id, got.Refused)
					}
				}
			}
		})
	}
	for range 15 {
		time.Sleep(40 * time.Millisecond) // lets calls run
		setAgent(nil)
		kill()
		next, nextKill := r.agent()
		setAgent(next)
		mu.Lock()
		a, kill = next, nextKill
		mu.Unlock()
		eventually(t, "ready after a kill", ready(next))
	}
	close(stop)
	wait.Wait()
	eventually(t, "all slots free", func() bool { return a.load().Free.Slots == 8 })
	total, twice := 0, 0
	for caller := range answered {
		total += answered[caller]
	}
	for _, n := range s.ran {
		if n > 1 {
			twice++
		}
	}
	c := &guard.Guard.Counters
	if total == 0 || twice > 0 || c.Full.Load() > 0 || c.HighWater.Load() > 2 || a.ledger.Counters().InvariantBroken > 0 {
		t.Errorf("%d answered, %d ran twice, guard refused %d as full, at most %d at once", total, twice, c.Full.Load(), c.HighWater.Load())
	}
	t.Logf("%d answered, fenced %d, at most %d at once", total, c.Fenced.Load(), c.HighWater.Load())
}
