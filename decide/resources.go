package decide

import "persimmonrock.example/structs"

func plus(a, b structs.Resources) structs.Resources {
	a.Slots += b.Slots
	a.MilliCores += b.MilliCores
	a.MemoryBytes += b.MemoryBytes
	a.Accelerators += b.Accelerators
	a.Connections += b.Connections
	return a
}

func minus(a, b structs.Resources) structs.Resources {
	a.Slots -= b.Slots
	a.MilliCores -= b.MilliCores
	a.MemoryBytes -= b.MemoryBytes
	a.Accelerators -= b.Accelerators
	a.Connections -= b.Connections
	return a
}

func maxEach(a, b structs.Resources) structs.Resources {
	a.Slots = max(a.Slots, b.Slots)
	a.MilliCores = max(a.MilliCores, b.MilliCores)
	a.MemoryBytes = max(a.MemoryBytes, b.MemoryBytes)
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	a.Connections = max(a.Connections, b.Connections)
	return a
}

// dominantShare returns the largest fraction held/total over all resources.
func dominantShare(held, total structs.Resources) float64 {
	d := fraction(held.Slots, total.Slots)
	d = max(d, fraction(held.MilliCores, total.MilliCores))
	d = max(d, fraction(int(held.MemoryBytes), int(total.MemoryBytes)))
	d = max(d, fraction(held.Accelerators, total.Accelerators))
	return max(d, fraction(held.Connections, total.Connections))
}

func fraction(held, total int) float64 {
	if total <= 0 || held <= 0 {
		return 0
	}
	return float64(held) / float64(total)
}
