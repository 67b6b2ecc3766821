package remote_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/structs"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRemote measures the time and the bytes of each operation of a table
// over HTTP that holds the lease rows of 1,000 agents.
func BenchmarkRemote(b *testing.B) {
	inner := memory.NewTable()
	server := httptest.NewServer(remote.Handler(inner, memory.NewObjects()))
	defer server.Close()
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, &bytes}, err
	}
	tab := remote.NewTable(server.URL, &http.Client{Transport: &http.Transport{DialContext: dial}})
	for i := range 1000 {
		lease := structs.AgentLease{Instance: structs.InstanceID(fmt.Sprintf("instance-%04d", i)), Incarnation: 3, Counter: 1234, State: structs.LeaseActive, Length: structs.Duration(6e11), Address: fmt.Sprintf("10.20.%d.%d:7101", i/250, i%250), Zone: "dc-1"}
		value, _ := json.Marshal(lease)
		txn := infra.Txn{Op: fmt.Sprintf("6NU4ZSPOCQXE7CBH2YG4WJVKPR/%d", i), Puts: []infra.Put{{Key: structs.AgentLeaseKey(lease.Instance), Value: value}}}
		if _, err := inner.Commit(b.Context(), txn); err != nil {
			b.Fatal(err)
		}
	}
	for name, operation := range map[string]func() error{
		"Get":            func() error { _, err := tab.Get(b.Context(), "agent/instance-0500"); return err },
		"Scan1000Leases": func() error { _, err := tab.Scan(b.Context(), "agent/", "", 1000); return err },
		"Commit": func() error {
			_, err := tab.Commit(b.Context(), infra.Txn{Op: "6NU4ZSPOCQXE7CBH2YG4WJVKPR/1", Puts: []infra.Put{{Key: "row", Value: make([]byte, 200)}}})
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			before := bytes.Load()
			for b.Loop() {
				if err := operation(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
	}
}
