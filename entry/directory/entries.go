package directory

import (
	"context"
	"sort"
	"sync"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Entries returns the RPC addresses of all known entries, this one included.
func (d *Directory) Entries() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := []string{d.self}
	for address := range d.entries {
		if address != d.self {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}

// EntriesIfChanged returns Entries, or nil if sum is that list's hash.
func (d *Directory) EntriesIfChanged(sum uint64) []string {
	list := d.Entries()
	if wire.EntriesSum(list) == sum {
		return nil
	}
	return list
}

func (d *Directory) others() []string {
	var list []string
	for _, address := range d.Entries() {
		if address != d.self {
			list = append(list, address)
		}
	}
	return list
}

// SetEntries replaces the entries read from the table service; seeds from the
// settings stay.
func (d *Directory) SetEntries(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = make(map[string]bool)
	for _, a := range d.seeds {
		d.entries[a] = true
	}
	for _, a := range addresses {
		if a != "" {
			d.entries[a] = true
		}
	}
}

// NewerConfig requests a configuration newer than held from all other entries
// in parallel and returns the newest that arrives before ctx ends, or nil.
func (d *Directory) NewerConfig(ctx context.Context, held structs.Config) *structs.Config {
	var (
		mu     sync.Mutex
		newest *structs.Config
		wait   sync.WaitGroup
	)
	for _, address := range d.others() {
		wait.Go(func() {
			reply, err := d.peers.Entry(address).Config(ctx, wire.ConfigRequest{Revision: held.Revision, Want: wire.WantChange})
			if err != nil {
				return
			}
			config := reply.Newer(held)
			mu.Lock()
			defer mu.Unlock()
			if config != nil && (newest == nil || config.Revision > newest.Revision) {
				newest = config
			}
		})
	}
	wait.Wait()
	return newest
}

// Announce notifies all other entries that revision r has been accepted. Errors
// are ignored: an entry that is not reached polls the revision later.
func (d *Directory) Announce(ctx context.Context, r structs.Revision) {
	var wait sync.WaitGroup
	for _, address := range d.others() {
		wait.Go(func() {
			_, _ = d.peers.Entry(address).Config(ctx, wire.ConfigRequest{Revision: r, Want: wire.WantOnlyChange})
		})
	}
	wait.Wait()
}

// EntryRevision is the revision of another entry's configuration.
type EntryRevision struct {
	Address  string
	Revision structs.Revision
	Err      error
}

// AskRevisions requests all other entries' revisions, in address order.
func (d *Directory) AskRevisions(ctx context.Context, own structs.Revision) []EntryRevision {
	others := d.others()
	out := make([]EntryRevision, len(others))
	var wait sync.WaitGroup
	for i, address := range others {
		wait.Go(func() {
			reply, err := d.peers.Entry(address).Config(ctx, wire.ConfigRequest{Revision: own, Want: wire.WantOnlyChange})
			out[i] = EntryRevision{Address: address, Revision: reply.Revision, Err: err}
		})
	}
	wait.Wait()
	return out
}

// EventsFrom collects the time lines of all known processes; missing lists
// those that can't be reached.
func (d *Directory) EventsFrom(ctx context.Context, r wire.EventsRequest) (lines [][]structs.Event, missing []string) {
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	add := func(peer string, reply wire.EventsReply, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, peer)
			return
		}
		lines = append(lines, reply.Events)
	}
	for _, address := range d.others() {
		wait.Go(func() {
			reply, err := d.peers.Entry(address).Events(ctx, r)
			add("entry "+address, reply, err)
		})
	}
	for _, agent := range d.Agents() {
		wait.Go(func() {
			reply, err := d.peers.Agent(agent.Address).Events(ctx, r)
			add("agent "+string(agent.Instance), reply, err)
		})
	}
	wait.Wait()
	sort.Strings(missing)
	return lines, missing
}
