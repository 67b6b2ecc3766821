package connbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const perConnection = 100

func newBudget(connections int, memory int64) *Budget {
	return New(Limits{Connections: connections, Memory: memory, PerConnection: perConnection, Patience: time.Second})
}

func accept(t *testing.T, b *Budget, name string, now time.Duration) *Conn {
	t.Helper()
	c, yield, ok := b.Accept(name, now, 0)
	if !ok || len(yield) > 0 {
		t.Fatalf("%s: accepted %t, %d connections yield", name, ok, len(yield))
	}
	return c
}

func names(conns []*Conn) []string {
	var out []string
	for _, c := range conns {
		out = append(out, c.Owner.(string))
	}
	return out
}

func expect(t *testing.T, what string, got []*Conn, want ...string) {
	t.Helper()
	if n := names(got); len(n) != len(want) {
		t.Fatalf("%s: %v yield, want %v", what, n, want)
	}
	for i, n := range names(got) {
		if n != want[i] {
			t.Fatalf("%s: %v yield, want %v", what, names(got), want)
		}
	}
}

// Guards against silent connections that keep newcomers out.
func TestLongestIdleConnectionYieldsToANewcomer(t *testing.T) {
	b := newBudget(3, 1000)
	first := accept(t, b, "first", 0)
	accept(t, b, "second", 1)
	accept(t, b, "third", 2)
	b.Receive(first, 3, 0)
	b.Serve(first, 3)
	b.Rest(first, 4, 0)
	_, yield, ok := b.Accept("fourth", 5, 0)
	expect(t, "a fourth connection", yield, "second")
	if !ok || b.Open() != 3 {
		t.Errorf("accepted %t, %d open, want 3", ok, b.Open())
	}
}

// Guards against bodies that stop short and keep the memory.
func TestRequestThatStallsYieldsBeforeIdleConnections(t *testing.T) {
	b := newBudget(10, 1000)
	idle := accept(t, b, "idle", 0)
	slow := accept(t, b, "slow", 0)
	b.Receive(slow, 0, 0)
	if _, ok := b.Take(slow, 600, 0); !ok {
		t.Fatal("the slow request did not get its memory")
	}
	ordinary := accept(t, b, "ordinary", 2*time.Second)
	b.Receive(ordinary, 2*time.Second, 0)
	yield, ok := b.Take(ordinary, 200, 2*time.Second)
	expect(t, "a request", yield, "slow")
	if !ok || slow.State() != Closed || idle.State() != Idle || b.Held() != 2*perConnection+200 {
		t.Errorf("ok %t, slow %d, idle %d, held %d", ok, slow.State(), idle.State(), b.Held())
	}
}

// Guards against the loss of requests that have arrived whole.
func TestServedRequestsNeverYield(t *testing.T) {
	b := newBudget(2, 1000)
	for _, name := range []string{"first", "second"} {
		c := accept(t, b, name, 0)
		b.Receive(c, 0, 0)
		b.Serve(c, 0)
	}
	if _, yield, ok := b.Accept("third", time.Hour, 0); ok || len(yield) > 0 {
		t.Errorf("accepted %t, %v yield", ok, names(yield))
	}
}

// Guards against a request that displaces others although it can never fit, and
// against one that displaces younger ones.
func TestRequestThatCannotFitDisplacesNobody(t *testing.T) {
	b := newBudget(10, 1000)
	accept(t, b, "idle", 0)
	large := accept(t, b, "large", 0)
	b.Receive(large, 0, 0)
	if yield, ok := b.Take(large, 950, 0); ok || len(yield) > 0 {
		t.Errorf("got its memory %t, %v yield", ok, names(yield))
	}
	if _, ok := b.Take(large, 700, 0); !ok {
		t.Fatal("the request did not get what is free")
	}
	young := accept(t, b, "young", 2*time.Second)
	b.Receive(young, 2*time.Second, 0)
	if yield, ok := b.Take(large, 100, 2*time.Second); ok || len(yield) > 0 {
		t.Errorf("the oldest request got memory %t, and %v yield", ok, names(yield))
	}
}

// Guards against a client that holds a connection by reading its response slowly.
func TestResponseThatNobodyReadsYields(t *testing.T) {
	b := newBudget(2, 1000)
	c := accept(t, b, "reader", 0)
	accept(t, b, "idle", 0)
	b.Receive(c, 0, 0)
	b.Serve(c, 0)
	b.Send(c, time.Second, 20*time.Second)
	_, yield, ok := b.Accept("next", 3*time.Second, 0)
	expect(t, "a connection", yield, "reader")
	if !ok {
		t.Error("not accepted")
	}
}

// Guards against a request that becomes young again by the start of its body or
// of a response to a part of it.
func TestIncompleteRequestKeepsItsAge(t *testing.T) {
	b := newBudget(2, 1000)
	c := accept(t, b, "slow", 0)
	b.Receive(c, 0, time.Second)
	b.Extend(c, 30*time.Second)
	b.Send(c, 2*time.Second, 40*time.Second)
	other := accept(t, b, "other", 2*time.Second)
	b.Receive(other, 2*time.Second, 0)
	_, yield, _ := b.Accept("next", 3*time.Second, 0)
	expect(t, "a connection", yield, "slow")
}

// Guards against connections that outstay their time although nothing is short.
func TestConnectionsExpire(t *testing.T) {
	b := newBudget(10, 10000)
	c, _, _ := b.Accept("idle", 0, 15*time.Second)
	head, _, _ := b.Accept("header", 0, 15*time.Second)
	b.Receive(head, time.Second, 4*time.Second)
	served, _, _ := b.Accept("served", 0, 15*time.Second)
	b.Receive(served, 0, time.Second)
	b.Serve(served, 0)
	expect(t, "before", b.Expired(3*time.Second))
	expect(t, "after the header's time", b.Expired(4*time.Second), "header")
	expect(t, "after the idle time", b.Expired(15*time.Second), "idle")
	if b.Open() != 1 || c.State() != Closed {
		t.Errorf("%d open, idle is %d", b.Open(), c.State())
	}
}

// Whatever happens to connections, the sums are those of the open ones and within
// the limits, and no connection that is served yields.
func TestSumsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: 5, Memory: 2000, PerConnection: perConnection, Patience: time.Second}
		b := New(limits)
		now := time.Duration(0)
		var conns []*Conn
		pick := func() *Conn {
			if len(conns) == 0 {
				c, _, _ := b.Accept(nil, now, 0)
				conns = append(conns, c)
			}
			return rapid.SampledFrom(conns).Draw(t, "connection")
		}
		served := func() map[*Conn]bool {
			m := map[*Conn]bool{}
			for _, c := range conns {
				m[c] = c.State() == Serving
			}
			return m
		}
		yielded := func(before map[*Conn]bool, yield []*Conn) {
			for _, c := range yield {
				if before[c] || c.State() != Closed {
					t.Fatalf("a connection yields in state %d, served %t", c.State(), before[c])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				before := served()
				c, yield, ok := b.Accept(nil, now, 0)
				yielded(before, yield)
				if ok {
					conns = append(conns, c)
				}
			},
			"take": func(t *rapid.T) {
				before, c := served(), pick()
				yield, _ := b.Take(c, rapid.Int64Range(1, 1500).Draw(t, "bytes"), now)
				yielded(before, yield)
			},
			"receive": func(*rapid.T) { b.Receive(pick(), now, now+2*time.Second) },
			"serve":   func(*rapid.T) { b.Serve(pick(), now) },
			"send":    func(*rapid.T) { b.Send(pick(), now, now+2*time.Second) },
			"rest":    func(*rapid.T) { b.Rest(pick(), now, now+2*time.Second) },
			"close":   func(*rapid.T) { b.Close(pick()) },
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "time"))
				yielded(served(), b.Expired(now))
			},
			"": func(t *rapid.T) {
				held, open := int64(0), 0
				for _, c := range conns {
					held += c.held
					if c.State() != Closed {
						open++
					}
				}
				if held != b.Held() || open != b.Open() || held > limits.Memory || open > limits.Connections {
					t.Fatalf("%d bytes and %d connections, counted %d and %d", b.Held(), b.Open(), held, open)
				}
			},
		})
	})
}
