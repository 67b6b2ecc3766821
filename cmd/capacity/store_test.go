package capacity

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/structs"
)

// store is a table service over HTTP that counts its connections' bytes.
type store struct {
	*memory.Table
	bytes atomic.Int64
	url   string
}

func listen() net.Listener {
	l, err := net.Listen("tcp", loopback)
	must(err)
	return l
}

func newStore(t *testing.T) *store {
	s := &store{Table: memory.NewTable()}
	server := &httptest.Server{Listener: counting{listen(), &s.bytes}, Config: &http.Server{Handler: remote.Handler(s, memory.NewObjects())}}
	server.Start()
	s.url = server.URL
	t.Cleanup(server.CloseClientConnections)
	return s
}

type counting struct {
	net.Listener
	bytes *atomic.Int64
}

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// rates starts a window; the function that it returns ends it.
func (s *store) rates() func() string {
	began, bytes := time.Now(), s.bytes.Load()
	before := make(map[string]uint64)
	for _, o := range s.Operations() {
		before[o.Operation] = o.Served
	}
	return func() string {
		sec := time.Since(began).Seconds()
		out := fmt.Sprintf("store %.0f B/s", float64(s.bytes.Load()-bytes)/sec)
		for _, o := range s.Operations() {
			if n := o.Served - before[o.Operation]; n > 0 {
				out += fmt.Sprintf(", %s %.2f/s", o.Operation, float64(n)/sec)
			}
		}
		return out
	}
}

func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	must(err)
	_, err = s.Commit(context.Background(), infra.Txn{Op: rand.Text(), Puts: []infra.Put{{Key: key, Value: b}}})
	must(err)
}

// fill writes the rows of a deployment of this size.
func (s *store) fill(agents, contracts, queued, running int) {
	for i := range contracts {
		s.put(structs.ContractKey(customer(i)), structs.Contract{Customer: customer(i), LatencyTarget: structs.Duration(time.Second),
			BatchQueue: 1000, Share: 1 / float64(contracts), KeyHashes: []string{strings.Repeat("a", 64)}, Revision: 2})
	}
	s.put(structs.RevisionKey, map[string]any{"revision": 2})
	for i := range agents {
		s.put(structs.AgentLeaseKey(instance(i)), structs.AgentLease{Instance: instance(i), Incarnation: 1, Counter: 1,
			State: structs.LeaseActive, Length: structs.Duration(10 * time.Minute), Address: "127.0.0.1:1", Zone: "dc-1"})
	}
	for i := range queued + running {
		c := customer(i % contracts)
		j := structs.Job{ID: structs.JobID(fmt.Sprintf("%032d", i)), Customer: c, Shard: structs.ShardOf(c), State: structs.JobQueued, Submitted: uint64(i + 1),
			Spec: structs.JobSpec{Kind: "grade", Declared: structs.Resources{Slots: 1, MilliCores: 1000}, Payload: make([]byte, 200)}}
		if i >= queued {
			j.State, j.Epoch, j.Instance, j.Incarnation = structs.JobRunning, 1, instance(i%agents), 1
		}
		s.put(structs.JobKey(j.Shard, j.ID), j)
	}
}
