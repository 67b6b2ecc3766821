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

// configRow is a configuration as the operator of the simulation writes it: one
// route that names the version, and padding of a chosen size.
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

// Configure writes a version of the configuration with size bytes of padding.
// The write succeeds whatever faults the store has; the version then counts as
// confirmed.
func (sim *Simulation) Configure(version uint64, size int) {
	value, err := json.Marshal(configRow{Version: version, Filler: strings.Repeat("x", size)})
	must(err)
	must(sim.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: operatorRows.Key, Value: value}}}))
	sim.confirmed(version)
}

// ConfigureUnreadable writes a configuration that can't be parsed.
func (sim *Simulation) ConfigureUnreadable() {
	must(sim.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: operatorRows.Key, Value: []byte("{")}}}))
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.configs != nil {
		sim.configs.overwritten = len(sim.configs.confirmed)
	}
}

const (
	// configApplyBound is the time within which a confirmed version must be in
	// force at each reachable entry; it is the users' strictest bound.
	configApplyBound = 2 * time.Second
	// configPollInterval is the time between two checks of the served versions.
	configPollInterval = 20 * time.Millisecond
)

// configWatch checks from outside which version each entry serves.
type configWatch struct {
	confirmed []confirmedConfig
	// overwritten is the number of versions that no process can read any more,
	// because an unreadable configuration has replaced them.
	overwritten int
	observed    map[*Entry]*observedConfig
}

type confirmedConfig struct {
	version uint64
	at      time.Time
}

// observedConfig holds the observations of one entry.
type observedConfig struct {
	process *entryProcess
	// calm is the time since which no fault has disturbed the entry; zero
	// during a fault or while the entry is down.
	calm time.Time
	// served is the version that this process served at the last check,
	// servedSince the time of the check that first found it.
	served      uint64
	servedSince time.Time
	// late is set while a reported breach (a version that is too old) lasts.
	late bool
}

// confirmed records a confirmed version; the first one starts the watch.
func (sim *Simulation) confirmed(version uint64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.configs == nil {
		sim.configs = &configWatch{observed: map[*Entry]*observedConfig{}}
		go sim.watchConfig()
	}
	sim.configs.confirmed = append(sim.configs.confirmed, confirmedConfig{version: version, at: time.Now()})
}

func (sim *Simulation) watchConfig() {
	for !sim.isClosed() {
		for _, e := range sim.entries {
			sim.checkConfig(e)
		}
		time.Sleep(configPollInterval)
	}
}

// checkConfig checks that an entry serves no older version than before and,
// once reachable for contactTime, none older than requiredVersion.
func (sim *Simulation) checkConfig(e *Entry) {
	p := e.current()
	calm := p != nil && !sim.isCut(e.Node) && !sim.isHidden(e.Node) && sim.Store.FaultFree(e.Node)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	c, now := sim.configs, time.Now()
	observed := c.observedOf(e, p)
	observed.setCalm(calm, now)
	if p == nil {
		return
	}
	served := c.servedVersion(p)
	if served < observed.served {
		sim.Rules.reportBreach("%s serves version %d after version %d", e.Node, served, observed.served)
	}
	if served != observed.served {
		observed.served, observed.servedSince = served, now
	}
	requiredVersion := c.requiredVersion(now)
	late := calm && now.Sub(observed.calm) >= contactTime && served < requiredVersion
	if late && !observed.late {
		sim.Rules.reportBreach("%s serves version %d, but version %d was confirmed more than %v ago", e.Node, served, requiredVersion, configApplyBound)
	}
	observed.late = late
}

// observedOf returns the observations of an entry's process p, empty for a new
// process; p is nil while the entry is down.
func (c *configWatch) observedOf(e *Entry, p *entryProcess) *observedConfig {
	if c.observed[e] == nil || c.observed[e].process != p {
		c.observed[e] = &observedConfig{process: p}
	}
	return c.observed[e]
}

func (s *observedConfig) setCalm(calm bool, now time.Time) {
	switch {
	case !calm:
		s.calm = time.Time{}
	case s.calm.IsZero():
		s.calm = now
	}
}

// servedVersion returns the newest version whose route a process serves, or 0
// if it serves none.
func (c *configWatch) servedVersion(p *entryProcess) uint64 {
	for i := len(c.confirmed) - 1; i >= 0; i-- {
		version := c.confirmed[i].version
		if _, _, _, err := p.service.Queue(routeHost, routePath(version)); err == nil {
			return version
		}
	}
	return 0
}

// requiredVersion returns the newest readable version that was confirmed more
// than configApplyBound ago.
func (c *configWatch) requiredVersion(now time.Time) uint64 {
	newest := uint64(0)
	for _, v := range c.confirmed[c.overwritten:] {
		if now.Sub(v.at) > configApplyBound {
			newest = max(newest, v.version)
		}
	}
	return newest
}

// inForceSince returns the time since which every entry has served a version;
// ok is false if an entry does not serve it.
func (sim *Simulation) inForceSince(version uint64) (latest time.Time, ok bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, e := range sim.entries {
		observed := sim.configs.observed[e]
		if observed == nil || observed.served != version {
			return time.Time{}, false
		}
		if observed.servedSince.After(latest) {
			latest = observed.servedSince
		}
	}
	return latest, true
}

// awaitConfig waits until all entries serve a version and returns the time
// between from and the last entry's change to it.
func (sim *Simulation) awaitConfig(version uint64, from time.Time, within time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithDeadline(context.Background(), from.Add(within))
	defer cancel()
	for ctx.Err() == nil {
		if latest, ok := sim.inForceSince(version); ok {
			return latest.Sub(from), nil
		}
		time.Sleep(configPollInterval)
	}
	return 0, fmt.Errorf("version %d is not in force at all entries after %v", version, within)
}
