package ledger

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// busy returns a ledger on which customers hold tasks and slots, and its time.
func busy(b *testing.B, customers, tasks int) (*Ledger, time.Time) {
	now := time.Unix(1000, 0)
	l := newLedger(b)
	contracts := make(map[structs.Customer]structs.Contract)
	for i := range customers {
		contracts[structs.Customer(fmt.Sprint("c", i))] = structs.Contract{Share: 1 / float64(customers)}
	}
	l.config.Total = structs.Resources{Slots: 2000, MilliCores: 60000, MemoryBytes: 250 << 30, Connections: 2000}
	l.SetConfig(structs.Config{Revision: 2, Contracts: contracts})
	join(l, 1, now)
	l.servers["b"].announced.Slots, l.servers["b"].announced.Connections = 1000, 1000
	for i := range tasks {
		c := structs.Customer(fmt.Sprint("c", i%customers))
		k := TaskKey{Job: structs.JobID(fmt.Sprint("j", i)), Epoch: 1}
		if why := l.Reserve(k, c, structs.Kind(fmt.Sprint("kind", i%10)), structs.Resources{Slots: 1}, now); why != Admitted {
			b.Fatal(why)
		}
	}
	for i := range customers {
		l.Admit(Request{ID: structs.RequestID(fmt.Sprint("w", i)), Customer: structs.Customer(fmt.Sprint("c", i)), Service: "s", Budget: time.Second, Revision: 2}, now)
	}
	return l, now
}

// BenchmarkAdmission admits a call and frees its slot while the given number of
// customers hold slots on the instance.
func BenchmarkAdmission(b *testing.B) {
	for _, customers := range []int{1, 10, 110} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			l, now := busy(b, customers, 31)
			ids := make([]structs.RequestID, 1024)
			for i := range ids {
				ids[i] = structs.RequestID(fmt.Sprint("r", i))
			}
			r := Request{Customer: "c0", Service: "s", Budget: time.Second, Revision: 2}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.ID = ids[i%len(ids)]
				if _, why := l.Admit(r, now); why != Admitted {
					b.Fatal(why)
				}
				l.Answered(r.ID, now)
			}
		})
	}
}

// BenchmarkHeartbeat reports the bytes of one heartbeat after the first on a
// connection, as net/rpc encodes it.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 31} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			l, now := busy(b, 2, tasks)
			var out bytes.Buffer
			encode := gob.NewEncoder(&out)
			n := 0
			for b.Loop() {
				out.Reset()
				load := l.Load(now)
				load.Instance = "instance-0123"
				_ = encode.Encode(wire.HelloRequest{Address: "10.20.30.40:7402", Zone: "wellington-1", Load: load, Revision: 12345, Lease: 17})
				n = out.Len()
			}
			b.ReportMetric(float64(n), "bytes/heartbeat")
		})
	}
}
