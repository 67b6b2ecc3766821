package machines

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// configRow is a configuration as the operator of this world writes it: one
// route that names the version, and a filler of some size.
type configRow struct {
	Version uint64
	Filler  string
}

// routeHost is the host of the routes of all versions.
const routeHost = "routes"

func routePath(version uint64) string { return fmt.Sprintf("/v/%d/", version) }

func parseConfig(text []byte) (*workload.Config, error) {
	var row configRow
	if err := json.Unmarshal(text, &row); err != nil {
		return nil, err
	}
	q := workload.Queue{Name: fmt.Sprintf("route-%d", row.Version), Host: routeHost, Prefix: routePath(row.Version), Service: Service}
	return &workload.Config{Version: row.Version, Queues: []workload.Queue{q}}, nil
}

// Configure confirms a version of the configuration with a filler of so many
// bytes. The operator reaches the store whatever its faults.
func (w *World) Configure(version uint64, size int) {
	value, err := json.Marshal(configRow{Version: version, Filler: strings.Repeat("x", size)})
	must(err)
	must(w.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: operatorRows.Key, Value: value}}}))
	w.confirmed(version)
}

// ConfigureUnreadable writes a configuration that can't be read.
func (w *World) ConfigureUnreadable() {
	must(w.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: operatorRows.Key, Value: []byte("{")}}}))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.configs != nil {
		w.configs.lost = len(w.configs.confirmed)
	}
}

const (
	// configApply is how long after its confirmation a version is in force at
	// each machine in touch, on the users' tightest terms.
	configApply = 2 * time.Second
	// configLook is the time between two looks at what the entries serve.
	configLook = 20 * time.Millisecond
)

// configWatch checks from outside which version each entry serves by.
type configWatch struct {
	confirmed []confirmedConfig
	// lost is the number of the versions that no process can learn any more:
	// one that can't be read has taken their place.
	lost int
	seen map[*Entry]*seenConfig
}

type confirmedConfig struct {
	version uint64
	at      time.Time
}

// seenConfig is what was seen of one entry.
type seenConfig struct {
	process *entryProcess
	// calm is since when nothing has disturbed it, zero while something does.
	calm time.Time
	// served is the newest version that this process served by, since since.
	served uint64
	since  time.Time
	// late says that it was reported to serve by too old a version.
	late bool
}

// confirmed notes a confirmed version; the first one begins the watch.
func (w *World) confirmed(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.configs == nil {
		w.configs = &configWatch{seen: map[*Entry]*seenConfig{}}
		go w.watchConfig()
	}
	w.configs.confirmed = append(w.configs.confirmed, confirmedConfig{version: version, at: time.Now()})
}

func (w *World) watchConfig() {
	for !w.isClosed() {
		for _, e := range w.entries {
			w.lookAtConfig(e)
		}
		time.Sleep(configLook)
	}
}

// lookAtConfig checks one entry: no version that is older than one that it
// served by, and none that is older than what it must have while in touch.
func (w *World) lookAtConfig(e *Entry) {
	p := e.current()
	calm := p != nil && !w.isCut(e.Node) && !w.isHidden(e.Node) && w.Store.Calm(e.Node)
	w.mu.Lock()
	defer w.mu.Unlock()
	c, now := w.configs, time.Now()
	seen := c.seenOf(e, p)
	seen.setCalm(calm, now)
	if p == nil {
		return
	}
	served := c.servedBy(p)
	if served < seen.served {
		w.Rules.report("%s serves by version %d after version %d", e.Node, served, seen.served)
	}
	if served != seen.served {
		seen.served, seen.since = served, now
	}
	required := c.required(now)
	late := calm && now.Sub(seen.calm) >= contact && served < required
	if late && !seen.late {
		w.Rules.report("%s serves by version %d, and version %d was confirmed over %v before", e.Node, served, required, configApply)
	}
	seen.late = late
}

// seenOf returns what was seen of a process of an entry, nil if none runs; a new
// process has been seen to serve nothing.
func (c *configWatch) seenOf(e *Entry, p *entryProcess) *seenConfig {
	if c.seen[e] == nil || c.seen[e].process != p {
		c.seen[e] = &seenConfig{process: p}
	}
	return c.seen[e]
}

// setCalm notes whether anything disturbs the entry.
func (s *seenConfig) setCalm(calm bool, now time.Time) {
	switch {
	case !calm:
		s.calm = time.Time{}
	case s.calm.IsZero():
		s.calm = now
	}
}

// servedBy finds the version of which a process serves the route, newest first;
// 0 is none.
func (c *configWatch) servedBy(p *entryProcess) uint64 {
	for i := len(c.confirmed) - 1; i >= 0; i-- {
		version := c.confirmed[i].version
		if _, _, _, err := p.service.Queue(routeHost, routePath(version)); err == nil {
			return version
		}
	}
	return 0
}

// required is the newest version that must be in force everywhere.
func (c *configWatch) required(now time.Time) uint64 {
	newest := uint64(0)
	for _, v := range c.confirmed[c.lost:] {
		if now.Sub(v.at) > configApply {
			newest = max(newest, v.version)
		}
	}
	return newest
}

// inForceSince is since when each entry that runs serves by a version; ok is
// false if one does not.
func (w *World) inForceSince(version uint64) (latest time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		seen := w.configs.seen[e]
		if seen == nil || seen.served != version {
			return time.Time{}, false
		}
		if seen.since.After(latest) {
			latest = seen.since
		}
	}
	return latest, true
}

// awaitConfig waits until all entries serve by a version, and returns how long
// after from the last one did.
func (w *World) awaitConfig(version uint64, from time.Time, within time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithDeadline(context.Background(), from.Add(within))
	defer cancel()
	for ctx.Err() == nil {
		if latest, ok := w.inForceSince(version); ok {
			return latest.Sub(from), nil
		}
		time.Sleep(configLook)
	}
	return 0, fmt.Errorf("version %d is not in force at all entries %v later", version, within)
}
