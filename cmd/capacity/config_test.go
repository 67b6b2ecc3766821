package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/agent/configuration"
	"persimmonrock.example/entry/contracts"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Changes of one measurement, at their rate of 3,200 a day: one in 27 s.
const (
	changes     = 4
	changeEvery = 24 * time.Hour / 3200
	lookEvery   = 10 * time.Millisecond
)

// writer accepts changes as an entry does.
func (s *store) writer() *contracts.Store {
	return contracts.New(s.Table, nil, structs.NoEvents{}, zerolog.Nop(), contracts.Options{})
}

// aChange is the n-th change of a customer's contract.
func aChange(c, n int) contracts.Change {
	contract := structs.Contract{Customer: customer(c), LatencyTarget: structs.Duration(time.Second), BatchQueue: 1000 + n, Share: 0.01, KeyHashes: []string{fmt.Sprintf("%064x", n+1)}}
	return contracts.Change{Customer: contract.Customer, Contract: &contract, Operation: rand.Text()}
}

func mustChange(ctx context.Context, w *contracts.Store, c contracts.Change) structs.Revision {
	r, refused := w.Apply(ctx, c)
	if refused != nil {
		panic(refused)
	}
	return r
}

// agents are followers of the configuration that reach the table service over
// connections of their own, whose bytes are counted.
type agents struct {
	bytes atomic.Int64
	held  []atomic.Uint64
}

func startAgents(t *testing.T, s *store, n int, entry string) *agents {
	a := &agents{held: make([]atomic.Uint64, n)}
	server := &httptest.Server{Listener: counting{listen(), &a.bytes}, Config: &http.Server{Handler: remote.Handler(s, memory.NewObjects())}}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	peers := wire.NewClient([]byte(secret), nil, nil)
	t.Cleanup(peers.Close)
	ask := func(ctx context.Context, r structs.Revision) (wire.ConfigReply, error) {
		return peers.Entry(entry).Config(ctx, wire.ConfigRequest{Revision: r, Want: wire.WantChange})
	}
	for i := range n {
		table := remote.NewTable(server.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}})
		apply := func(c structs.Config) bool {
			return a.held[i].Swap(uint64(c.Revision)) < uint64(c.Revision)
		}
		f := configuration.New(table, ask, apply, func(what string) { t.Error(what) })
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Second / time.Duration(n)) // not all at one moment
			f.Run(t.Context())
		}()
	}
	return a
}

// reach waits until all agents have revision r and returns when each had it,
// counted from began, in order.
func (a *agents) reach(r structs.Revision, began time.Time) []time.Duration {
	var took []time.Duration
	done := make([]bool, len(a.held))
	for len(took) < len(done) {
		time.Sleep(lookEvery)
		for i := range done {
			if !done[i] && a.held[i].Load() >= uint64(r) {
				done[i] = true
				took = append(took, time.Since(began))
			}
		}
	}
	return took
}

// TestConfigInForce prints how long a change takes to be in force in an entry
// and in all agents, and what following the configuration costs.
func TestConfigInForce(t *testing.T) {
	onlyMeasured(t)
	for _, n := range []int{10, 100, 1000} {
		t.Run(fmt.Sprintf("agents=%d", n), func(t *testing.T) {
			t.Parallel()
			s := newStore(t)
			s.fill(0, 110, 0, 0)
			p := start(t, "entry entry-1", s.url, "")
			a := startAgents(t, s, n, p.address)
			a.reach(2, time.Now())
			idle := a.spent(s, 30*time.Second, func() {})
			w := s.writer()
			var all, last []time.Duration
			var entry []time.Duration
			busy := a.spent(s, 0, func() {
				for i := range changes {
					began := time.Now()
					r := mustChange(t.Context(), w, aChange(i, i))
					var wait sync.WaitGroup
					wait.Go(func() { entry = append(entry, entryReaches(p.address, r, began)) })
					took := a.reach(r, began)
					wait.Wait()
					all = append(all, took...)
					last = append(last, took[len(took)-1])
					time.Sleep(time.Until(began.Add(changeEvery)))
				}
			})
			slices.Sort(all)
			t.Logf("%d agents, %d changes: in force at an agent after p50 %s, p99 %s; at all after %s; at the entry after %s", n, changes,
				all[len(all)/2].Round(time.Millisecond), all[len(all)*99/100].Round(time.Millisecond), rounded(last), rounded(entry))
			t.Logf("%d agents, nothing changes: %s; one change in %s: %s", n, idle, changeEvery, busy)
		})
	}
}

func rounded(list []time.Duration) []time.Duration {
	out := make([]time.Duration, 0, len(list))
	for _, d := range list {
		out = append(out, d.Round(10*time.Millisecond))
	}
	return out
}

// entryReaches asks an entry for its revision until it is r.
func entryReaches(address string, r structs.Revision, began time.Time) time.Duration {
	peers := wire.NewClient([]byte(secret), nil, nil)
	defer peers.Close()
	for {
		// The revision is not named, so that the entry isn't told of it.
		reply, err := peers.Entry(address).Config(context.Background(), wire.ConfigRequest{Want: wire.WantOnlyChange})
		if err == nil && reply.Revision >= r {
			return time.Since(began)
		}
		time.Sleep(lookEvery)
	}
}

// spent says what the agents cost the table service while do runs and for
// atLeast, the entry's own traffic included in the operations.
func (a *agents) spent(s *store, atLeast time.Duration, do func()) string {
	began, bytes, rates := time.Now(), a.bytes.Load(), s.rates()
	do()
	time.Sleep(time.Until(began.Add(atLeast)))
	perAgent := float64(a.bytes.Load()-bytes) / time.Since(began).Seconds() / float64(len(a.held))
	return fmt.Sprintf("%.0f B/s an agent; entry: %s", perAgent, rates())
}
