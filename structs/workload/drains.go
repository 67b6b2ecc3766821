package workload

import (
	"maps"
	"slices"
)

// Drains are the data centres that the operator has drained: nothing more may
// start there until the drain is taken back. What is shared is never changed.
type Drains struct {
	// Version is the store's as of which this was read. Of two readings the
	// one with the higher version is newer.
	Version     uint64
	DataCentres map[string]bool
}

// Covers reports whether the data centre is drained.
func (d Drains) Covers(dataCentre string) bool { return d.DataCentres[dataCentre] }

// Names lists the data centres in order.
func (d Drains) Names() []string { return slices.Sorted(maps.Keys(d.DataCentres)) }
