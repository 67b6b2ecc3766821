// Package capacity measures what entries and agents cost as the deployment
// grows: `go test ./capacity -v -capacity`. docs/CAPACITY.md quotes it.
package capacity

import (
	"bytes"
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/cmd/node"
	"persimmonrock.example/entry/directory"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

var measure = flag.Bool("capacity", false, "run the measurements of docs/CAPACITY.md")

const (
	secret   = "capacity-measurement"
	loopback = "127.0.0.1:0"
	// roleVar makes the test binary run as a process of the system, whose
	// processor time and memory can then be read apart from the test's.
	roleVar, storeVar, peersVar = "CAPACITY_ROLE", "CAPACITY_STORE", "CAPACITY_PEERS"
	window                      = 62 * time.Second
	// helloEvery lets the stand-ins begin about as far apart as the pace will
	// keep them.
	helloEvery = 160 * time.Millisecond
	// countDelay is for a writer that counts its bytes after the answer to
	// them has come already.
	countDelay = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVar); role != "" {
		serve(role)
		return
	}
	os.Exit(m.Run())
}

// serve runs "entry NAME" or "agent COUNT" until standard input is closed.
func serve(role string) {
	store, log := os.Getenv(storeVar), zerolog.Nop()
	p := node.Platform{Table: remote.NewTable(store, http.DefaultClient), Objects: remote.NewObjects(store, http.DefaultClient)}
	kind, name, _ := strings.Cut(role, " ")
	if kind == "entry" {
		s := settings.DefaultEntry()
		s.ID, s.DataCentre, s.HTTP.Listen, s.RPC.Listen, s.Peers.Secret = structs.EntryID(name), "dc-1", loopback, loopback, secret
		n, err := node.StartEntry(s, p, log)
		must(err)
		fmt.Println(n.RPCAddress())
	}
	for count, _ := strconv.Atoi(name); count > 0; count-- {
		s := settings.DefaultAgent()
		s.Instance, s.DataCentre, s.HTTP.Listen, s.RPC.Listen, s.Peers.Secret = instance(count), "dc-1", loopback, loopback, secret
		s.Entries = strings.Fields(os.Getenv(peersVar))
		s.Total = settings.Total{Slots: 32, MilliCores: 64000, MemoryBytes: 256 << 30, Connections: 600}
		p.Worker = memory.NewWorker(memory.WorkerOptions{Instance: s.Instance, Log: log})
		n, err := node.StartAgent(s, p, log)
		must(err)
		fmt.Println(n.RPCAddress())
	}
	_, _ = os.Stdin.Read(make([]byte, 1))
}

func onlyMeasured(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -capacity")
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func instance(i int) structs.InstanceID { return structs.InstanceID(fmt.Sprintf("instance-%04d", i)) }
func customer(i int) structs.Customer   { return structs.Customer(fmt.Sprintf("customer-%04d", i)) }

// process is a child that runs one role.
type process struct {
	pid     int
	address string
}

func start(t *testing.T, role, store, peers string) process {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), roleVar+"="+role, storeVar+"="+store, peersVar+"="+peers)
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	must(err)
	out, err := c.StdoutPipe()
	must(err)
	must(c.Start())
	t.Cleanup(func() { in.Close(); _ = c.Wait() })
	var address string
	_, err = fmt.Fscan(out, &address)
	must(err)
	return process{c.Process.Pid, address}
}

func (p process) file(name string) string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.pid, name))
	must(err)
	return string(b)
}

// cpu is the processor time used so far; the kernel counts it in 10 ms.
func (p process) cpu() time.Duration {
	stat := p.file("stat")
	f := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// memory is the resident size in MB.
func (p process) memory() float64 {
	_, rest, _ := strings.Cut(p.file("status"), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return float64(kb) / 1024
}

// cost waits for one window and says what p, the table service and the
// connections between the system's own processes did in it.
func cost(p process, s *store, hellos *atomic.Int64, peers *wire.ByteCount) string {
	rates := s.rates()
	n, in, out, cpu := hellos.Load(), peers.In.Load(), peers.Out.Load(), p.cpu()
	time.Sleep(window)
	n, in, out, cpu = hellos.Load()-n, peers.In.Load()-in, peers.Out.Load()-out, p.cpu()-cpu
	sec := window.Seconds()
	return fmt.Sprintf("cpu %.2f %%, rss %.1f MB; heartbeats %.2f/s of %d+%d B, together %.0f B/s; %s", 100*cpu.Seconds()/sec, p.memory(),
		float64(n)/sec, in/max(n, 1), out/max(n, 1), float64(in+out)/sec, rates())
}

// load is what an agent with three services and this many running pairs of
// customer and kind reports. It has no free slot, so that queued jobs stay.
func load(i, pairs int) wire.Load {
	l := wire.Load{Instance: instance(i), Process: rand.Text(), Incarnation: 1,
		Free:  structs.Resources{MilliCores: 21000, MemoryBytes: 70 << 30, Connections: 300},
		Total: structs.Resources{Slots: 32, MilliCores: 64000, MemoryBytes: 256 << 30, Connections: 600}}
	for _, s := range []structs.Service{"assay-check", "receipt-check", "lodge-claim"} {
		l.Services = append(l.Services, wire.ServiceLoad{Service: s, Idempotent: true, Slots: 8, InUse: 3, ServiceTime: 41 * time.Millisecond})
	}
	for j := range pairs {
		l.Batch = append(l.Batch, wire.BatchLoad{Customer: customer((i*7 + j) % 110), Kind: structs.Kind(fmt.Sprintf("kind-%d", j%10)), Running: 1 + j%3})
	}
	return l
}

// heartbeats stands in for an agent with a connection of its own that follows
// the entry's pace.
func heartbeats(ctx context.Context, entry, self string, i, pairs int, hellos *atomic.Int64, count *wire.ByteCount) {
	client := wire.NewClient([]byte(secret), nil, count)
	defer client.Close()
	// Agents read the configuration themselves; this one has the latest.
	r := wire.HelloRequest{Address: self, Zone: "dc-1", Lease: 1, Revision: 2, Want: wire.WantOnlyChange, Load: load(i, pairs)}
	var kept wire.HelloSums
	for ctx.Err() == nil {
		r.Load.Sequence++
		reply, err := client.Entry(entry).Hello(ctx, r.Omit(kept))
		if err == nil {
			hellos.Add(1)
			kept = wire.HelloSums{}
			if reply.Kept {
				kept = r.Sums()
			}
			if len(reply.Entries) > 0 {
				r.Entries = wire.EntriesSum(reply.Entries)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(reply.Next, time.Second)):
		}
	}
}

// runsAll is an agent that says of every task that it runs, so that an entry
// which has just loaded running jobs need not send their starts again.
type runsAll struct{ wire.AgentAPI }

func (runsAll) Start(r wire.StartRequest, reply *wire.StartReply) error {
	reply.Refused = make(wire.Refusals, len(r.Tasks))
	return nil
}

// admitAll serves runsAll for all stand-ins and returns its address.
func admitAll(t *testing.T) string {
	server := wire.NewServer([]byte(secret), nil)
	must(server.ServeAgent(runsAll{}))
	l := listen()
	go func() { _ = server.Serve(l, nil) }()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

func TestEntry(t *testing.T) {
	onlyMeasured(t)
	for _, size := range []struct{ entries, agents, contracts, queued, running, pairs int }{
		{1, 10, 110, 0, 0, 8}, {1, 100, 110, 0, 0, 8}, {1, 1000, 110, 0, 0, 8}, {1, 100, 110, 0, 0, 0}, {1, 100, 110, 0, 0, 28},
		{1, 10, 10, 0, 0, 8}, {1, 10, 1000, 0, 0, 8}, {2, 10, 110, 0, 0, 8}, {5, 10, 110, 0, 0, 8}, {5, 1000, 110, 0, 0, 8},
		{1, 10, 110, 3000, 0, 8}, {1, 10, 110, 30000, 0, 8}, {1, 10, 110, 0, 280, 8}, {1, 100, 110, 0, 2800, 8}, {1, 1000, 110, 0, 28000, 8},
	} {
		t.Run(strings.NewReplacer(" ", ",", "{", "", "}", "").Replace(fmt.Sprintf("%+v", size)), func(t *testing.T) {
			t.Parallel()
			s := newStore(t)
			s.fill(size.agents, size.contracts, size.queued, size.running)
			p := start(t, "entry entry-1", s.url, "")
			for i := 1; i < size.entries; i++ {
				start(t, fmt.Sprintf("entry entry-%d", i+1), s.url, "")
			}
			time.Sleep(10 * time.Second) // the shards are taken and loaded
			var hellos atomic.Int64
			var count wire.ByteCount
			self := admitAll(t)
			for i := range size.agents {
				go func() {
					time.Sleep(time.Duration(i) * helloEvery)
					heartbeats(t.Context(), p.address, self, i, size.pairs, &hellos, &count)
				}()
			}
			// Each agent has said its first hello, which is whole.
			time.Sleep(time.Duration(size.agents)*helloEvery + 15*time.Second)
			t.Log(cost(p, s, &hellos, &count))
		})
	}
}

// pacer is an entry that only answers heartbeats, at the quickest pace.
type pacer struct {
	wire.EntryAPI
	hellos atomic.Int64
}

func (p *pacer) Hello(_ wire.HelloRequest, reply *wire.HelloReply) error {
	p.hellos.Add(1)
	reply.Next = directory.MinHeartbeat
	return nil
}

func TestAgent(t *testing.T) {
	onlyMeasured(t)
	for _, size := range []struct{ entries, agents int }{{1, 1}, {5, 1}, {10, 1}, {5, 10}, {5, 100}} {
		t.Run(fmt.Sprintf("entries=%d,agents=%d", size.entries, size.agents), func(t *testing.T) {
			t.Parallel()
			var addresses bytes.Buffer
			var heard pacer
			var count wire.ByteCount
			for range size.entries {
				server := wire.NewServer([]byte(secret), &count)
				must(server.ServeEntry(&heard))
				l := listen()
				go func() { _ = server.Serve(l, nil) }()
				t.Cleanup(server.Close)
				fmt.Fprintln(&addresses, l.Addr())
			}
			s := newStore(t)
			p := start(t, fmt.Sprintf("agent %d", size.agents), s.url, addresses.String())
			time.Sleep(10 * time.Second)
			t.Log(cost(p, s, &heard.hellos, &count))
		})
	}
}

// TestConfigBytes prints what it costs to bring one agent a configuration.
func TestConfigBytes(t *testing.T) {
	onlyMeasured(t)
	for _, contracts := range []int{10, 110, 1000} {
		s := newStore(t)
		s.fill(0, contracts, 0, 0)
		p := start(t, "entry entry-1", s.url, "")
		var count wire.ByteCount
		client := wire.NewClient([]byte(secret), nil, &count)
		r := wire.HelloRequest{Zone: "dc-1", Load: load(1, 8)}
		hello := func(held structs.Revision, want wire.ConfigWant) (int64, bool) {
			before := count.In.Load() + count.Out.Load()
			r.Revision, r.Want = held, want
			r.Load.Sequence++
			reply, err := client.Entry(p.address).Hello(t.Context(), r)
			must(err)
			time.Sleep(countDelay)
			return count.In.Load() + count.Out.Load() - before, reply.Config != nil && len(reply.Config.Contracts) == contracts || reply.Change != nil
		}
		for _, loaded := hello(0, wire.WantWhole); !loaded; _, loaded = hello(0, wire.WantWhole) {
			time.Sleep(50 * time.Millisecond)
		}
		without, _ := hello(2, wire.WantChange)
		with, _ := hello(0, wire.WantChange)
		mustChange(t.Context(), s.writer(), aChange(1, 1))
		change, changed := hello(2, wire.WantOnlyChange)
		for ; !changed; change, changed = hello(2, wire.WantOnlyChange) {
			time.Sleep(50 * time.Millisecond)
		}
		again, _ := hello(2, wire.WantOnlyChange)
		question := func() int64 {
			before := count.In.Load() + count.Out.Load()
			_, err := client.Entry(p.address).Config(t.Context(), wire.ConfigRequest{Revision: 3, Want: wire.WantChange})
			must(err)
			time.Sleep(countDelay)
			return count.In.Load() + count.Out.Load() - before
		}
		question()
		t.Logf("%d contracts: heartbeat %d B, with the configuration %d B, with one change %d B the first time, then %d B; a question without news %d B", contracts, without, with, change, again, question())
		client.Close()
	}
}
