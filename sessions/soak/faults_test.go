package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// fault is one disturbance. It begins when it is called and returns what ends
// it, or nil.
type fault struct {
	name  string
	begin func(d *deployment, rng *rand.Rand) (end func())
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func (d *deployment) all() []*process {
	return append(append([]*process(nil), d.entries...), d.agents...)
}

func sent(s syscall.Signal, to func(d *deployment, rng *rand.Rand) []*process) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		for _, p := range to(d, rng) {
			p.signal(s)
		}
		return nil
	}
}

func anyEntry(d *deployment, rng *rand.Rand) []*process { return []*process{pick(rng, d.entries)} }
func anyAgent(d *deployment, rng *rand.Rand) []*process { return []*process{pick(rng, d.agents)} }
func allEntries(d *deployment, _ *rand.Rand) []*process { return d.entries }
func everything(d *deployment, _ *rand.Rand) []*process { return d.all() }

func linkIn(m mood) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		r := pick(rng, d.links)
		r.set(m)
		return func() { r.set(whole); r.reset() }
	}
}

func storeWith(set, unset func(s *memstore.Store)) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, _ *rand.Rand) func() {
		set(d.store)
		return func() { unset(d.store) }
	}
}

// faults are all disturbances; each may come at any moment, beside others and
// more than once.
var faults = []fault{
	{"entry killed", sent(syscall.SIGKILL, anyEntry)},
	{"agent killed", sent(syscall.SIGKILL, anyAgent)},
	{"all entries killed", sent(syscall.SIGKILL, allEntries)},
	{"all processes killed", sent(syscall.SIGKILL, everything)},
	{"entry told to stop", sent(syscall.SIGTERM, anyEntry)},
	{"agent told to stop", sent(syscall.SIGTERM, anyAgent)},
	{"settings changed", sent(syscall.SIGHUP, everything)},
	{"process frozen", func(d *deployment, rng *rand.Rand) func() {
		p := pick(rng, d.all())
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"connections reset", func(d *deployment, rng *rand.Rand) func() { pick(rng, d.links).reset(); return nil }},
	{"link delayed", linkIn(delayed)},
	{"link deaf", linkIn(deaf)},
	{"link mute", linkIn(mute)},
	{"link silent", linkIn(silent)},
	{"store refuses", storeWith(func(s *memstore.Store) { s.SetFault("", memstore.Refused) }, func(s *memstore.Store) { s.SetFault("", memstore.Healthy) })},
	{"store silent", storeWith(func(s *memstore.Store) { s.SetFault("", memstore.Silent) }, func(s *memstore.Store) { s.SetFault("", memstore.Healthy) })},
	{"store slow", storeWith(func(s *memstore.Store) { s.SetSlow(40) }, func(s *memstore.Store) { s.SetSlow(1) })},
	{"store loses answers", storeWith(func(s *memstore.Store) { s.SetLost(0.4, true) }, func(s *memstore.Store) { s.SetLost(0, false) })},
	{"store forgets", storeWith((*memstore.Store).Compact, func(*memstore.Store) {})},
	{"entry refused by the store", func(d *deployment, rng *rand.Rand) func() {
		node := pick(rng, d.entries).Node
		d.store.SetFault(node, memstore.Refused)
		return func() { d.store.SetFault(node, memstore.Healthy) }
	}},
	{"worker crashes", func(d *deployment, rng *rand.Rand) func() { pick(rng, d.seats).begin(); return nil }},
	{"worker shrinks", func(d *deployment, rng *rand.Rand) func() {
		w := pick(rng, d.seats).life()
		w.SetCapacity(workload.Resources{CPU: capacity.CPU / 2, Memory: capacity.Memory / 2})
		return func() { w.SetCapacity(capacity) }
	}},
	{"orders carried out late", func(d *deployment, rng *rand.Rand) func() {
		w := pick(rng, d.seats).life()
		w.SetLate(0.3)
		return func() { w.SetLate(0) }
	}},
	{"worker silent", func(d *deployment, rng *rand.Rand) func() {
		w := pick(rng, d.seats).life()
		w.SetDark(true)
		return func() { w.SetDark(false) }
	}},
}

// disturb plays faults one after another until the time is over; several of
// them run beside each other.
func (d *deployment) disturb(rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
		f := pick(rng, faults)
		d.t.Logf("%s %s", time.Now().Format("05.000"), f.name)
		d.rules.Cut()
		end := f.begin(d, rng)
		time.Sleep(time.Duration(100+rng.IntN(2500)) * time.Millisecond)
		if end != nil {
			end()
		}
		d.rules.Cut()
	}
}
