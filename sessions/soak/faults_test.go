package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// fault is one kind of fault. start injects it and returns a function that
// removes it, or nil if nothing needs to be removed.
type fault struct {
	name  string
	start func(d *deployment, rng *rand.Rand) (stop func())
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func (d *deployment) processes() []*process {
	return append(append([]*process(nil), d.entries...), d.agents...)
}

func signalFault(s syscall.Signal, targets func(d *deployment, rng *rand.Rand) []*process) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		for _, p := range targets(d, rng) {
			p.signal(s)
		}
		return nil
	}
}

func anyEntry(d *deployment, rng *rand.Rand) []*process   { return []*process{pick(rng, d.entries)} }
func anyAgent(d *deployment, rng *rand.Rand) []*process   { return []*process{pick(rng, d.agents)} }
func allEntries(d *deployment, _ *rand.Rand) []*process   { return d.entries }
func allProcesses(d *deployment, _ *rand.Rand) []*process { return d.processes() }

func relayFault(s relayState) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, rng *rand.Rand) func() {
		r := pick(rng, d.relays)
		r.setState(s)
		return func() { r.setState(healthy); r.reset() }
	}
}

func storeFault(set, unset func(s *memstore.Store)) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, _ *rand.Rand) func() {
		set(d.store)
		return func() { unset(d.store) }
	}
}

// faults are all kinds of faults; each may occur at any moment, repeatedly and
// at the same time as others.
var faults = []fault{
	{"entry killed", signalFault(syscall.SIGKILL, anyEntry)},
	{"agent killed", signalFault(syscall.SIGKILL, anyAgent)},
	{"all entries killed", signalFault(syscall.SIGKILL, allEntries)},
	{"all processes killed", signalFault(syscall.SIGKILL, allProcesses)},
	{"entry sent SIGTERM", signalFault(syscall.SIGTERM, anyEntry)},
	{"agent sent SIGTERM", signalFault(syscall.SIGTERM, anyAgent)},
	{"settings changed", signalFault(syscall.SIGHUP, allProcesses)},
	{"process frozen", func(d *deployment, rng *rand.Rand) func() {
		p := pick(rng, d.processes())
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"connections reset", func(d *deployment, rng *rand.Rand) func() { pick(rng, d.relays).reset(); return nil }},
	{"link delayed", relayFault(delayed)},
	{"link drops outbound data", relayFault(dropOutbound)},
	{"link drops inbound data", relayFault(dropInbound)},
	{"link drops all data", relayFault(dropAll)},
	{"store refuses requests", storeFault(func(s *memstore.Store) { s.SetFault("", memstore.Refused) }, func(s *memstore.Store) { s.SetFault("", memstore.Healthy) })},
	{"store unresponsive", storeFault(func(s *memstore.Store) { s.SetFault("", memstore.Unresponsive) }, func(s *memstore.Store) { s.SetFault("", memstore.Healthy) })},
	{"store slow", storeFault(func(s *memstore.Store) { s.SetSlow(40) }, func(s *memstore.Store) { s.SetSlow(1) })},
	{"store loses answers", storeFault(func(s *memstore.Store) { s.SetLost(0.4, true) }, func(s *memstore.Store) { s.SetLost(0, false) })},
	{"store compacted", storeFault((*memstore.Store).Compact, func(*memstore.Store) {})},
	{"entry refused by the store", func(d *deployment, rng *rand.Rand) func() {
		node := pick(rng, d.entries).Node
		d.store.SetFault(node, memstore.Refused)
		return func() { d.store.SetFault(node, memstore.Healthy) }
	}},
	{"worker crashes", func(d *deployment, rng *rand.Rand) func() { pick(rng, d.hosts).startWorker(); return nil }},
	{"worker shrinks", func(d *deployment, rng *rand.Rand) func() {
		w := pick(rng, d.hosts).current()
		w.SetCapacity(workload.Resources{CPU: capacity.CPU / 2, Memory: capacity.Memory / 2})
		return func() { w.SetCapacity(capacity) }
	}},
	{"worker executes orders late", func(d *deployment, rng *rand.Rand) func() {
		w := pick(rng, d.hosts).current()
		w.SetLateOrders(0.3)
		return func() { w.SetLateOrders(0) }
	}},
	{"worker unresponsive", func(d *deployment, rng *rand.Rand) func() {
		w := pick(rng, d.hosts).current()
		w.SetUnresponsive(true)
		return func() { w.SetUnresponsive(false) }
	}},
}

// injectFaults injects one fault of the kinds after another until the given time; several
// calls run concurrently.
func (d *deployment) injectFaults(rng *rand.Rand, kinds []fault, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
		f := pick(rng, kinds)
		d.t.Logf("%s %s", time.Now().Format("05.000"), f.name)
		d.rules.Cut()
		stop := f.start(d, rng)
		time.Sleep(time.Duration(100+rng.IntN(2500)) * time.Millisecond)
		if stop != nil {
			stop()
		}
		d.rules.Cut()
	}
}
