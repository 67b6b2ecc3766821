package wire

import (
	"encoding/binary"
	"hash/fnv"
	"io"

	"persimmonrock.example/structs"
)

// HelloSums are hashes of a heartbeat's rarely changing parts; 0 stands for an
// empty part.
type HelloSums struct {
	// Sender covers the values that are fixed for the agent process.
	Sender          uint64
	Services, Batch uint64
}

// Sums returns the hashes of r's parts.
func (r HelloRequest) Sums() HelloSums {
	return HelloSums{Sender: senderSum(r), Services: servicesSum(r.Load.Services), Batch: batchSum(r.Load.Batch)}
}

func senderSum(r HelloRequest) uint64 {
	h := fnv.New64a()
	for _, s := range []string{r.Address, string(r.Zone), r.Load.Process} {
		writeText(h, s)
	}
	t := r.Load.Total
	writeNumbers(h, uint64(t.Slots), uint64(t.MilliCores), uint64(t.MemoryBytes), uint64(t.Accelerators), uint64(t.Connections))
	return h.Sum64()
}

func servicesSum(list []ServiceLoad) uint64 {
	if len(list) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, s := range list {
		writeText(h, string(s.Service))
		writeNumbers(h, bit(s.Idempotent), uint64(s.Slots), uint64(s.InUse), uint64(s.ServiceTime), bit(s.Leaving))
	}
	return h.Sum64()
}

func batchSum(list []BatchLoad) uint64 {
	if len(list) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, b := range list {
		writeText(h, string(b.Customer))
		writeText(h, string(b.Kind))
		writeNumbers(h, uint64(b.Running))
	}
	return h.Sum64()
}

// EntriesSum returns the hash of a list of entry addresses.
func EntriesSum(addresses []string) uint64 {
	h := fnv.New64a()
	for _, a := range addresses {
		writeText(h, a)
	}
	return h.Sum64()
}

func bit(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

// writeText writes s after its length, so that no two lists have equal bytes.
func writeText(w io.Writer, s string) {
	writeNumbers(w, uint64(len(s)))
	_, _ = io.WriteString(w, s)
}

func writeNumbers(w io.Writer, list ...uint64) {
	for _, n := range list {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = w.Write(b[:])
	}
}

// Omit returns r without the parts that the entry has kept.
func (r HelloRequest) Omit(kept HelloSums) HelloRequest {
	sums := r.Sums()
	if sums.Sender == kept.Sender {
		r.Omitted.Sender = sums.Sender
		r.Address, r.Zone, r.Load.Process, r.Load.Total = "", "", "", structs.Resources{}
	}
	if sums.Services != 0 && sums.Services == kept.Services {
		r.Omitted.Services = sums.Services
		r.Load.Services = nil
	}
	if sums.Batch != 0 && sums.Batch == kept.Batch {
		r.Omitted.Batch = sums.Batch
		r.Load.Batch = nil
	}
	return r
}

// Restore fills in the omitted parts of r from a kept heartbeat.
//
// Failure guarded against: an entry that was restarted, or has received another
// heartbeat meanwhile, uses an outdated or empty part as the current one. It
// places work on capacity that is no longer free. So a part is identified by
// its contents, not by its time of sending. If a kept part does not match the
// omitted one, ok is false, and the agent sends the whole heartbeat.
func (r HelloRequest) Restore(kept HelloRequest) (whole HelloRequest, ok bool) {
	sums := kept.Sums()
	if r.Omitted.Sender != 0 {
		r.Address, r.Zone, r.Load.Process, r.Load.Total = kept.Address, kept.Zone, kept.Load.Process, kept.Load.Total
	}
	if r.Omitted.Services != 0 {
		r.Load.Services = kept.Load.Services
	}
	if r.Omitted.Batch != 0 {
		r.Load.Batch = kept.Load.Batch
	}
	ok = matches(r.Omitted.Sender, sums.Sender) && matches(r.Omitted.Services, sums.Services) && matches(r.Omitted.Batch, sums.Batch)
	r.Omitted = HelloSums{}
	return r, ok
}

func matches(omitted, kept uint64) bool { return omitted == 0 || omitted == kept }
