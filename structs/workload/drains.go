package workload

import (
	"maps"
	"slices"
)

// Drains lists the data centres that the operator has drained: no run may start
// there until the drain is cancelled. A shared Drains is never modified.
type Drains struct {
	// Version is the store's version at the read. Of two Drains the one with
	// the higher version is newer.
	Version     uint64
	DataCentres map[string]bool
}

// Covers reports whether the data centre is drained.
func (d Drains) Covers(dataCentre string) bool { return d.DataCentres[dataCentre] }

// Names returns the names of the data centres, sorted.
func (d Drains) Names() []string { return slices.Sorted(maps.Keys(d.DataCentres)) }
