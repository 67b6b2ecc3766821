package decide

import (
	"time"

	"persimmonrock.example/structs"
)

// seriesKey identifies one level that a History tracks: the running tasks of a
// kind or, with isLoad, the slots in use of a service.
type seriesKey struct {
	name   string
	isLoad bool
}

// levelChange is a change of one level; before is the former value.
type levelChange struct {
	at     time.Duration
	series seriesKey
	before float64
}

// History records what ran on an instance, so that a late measurement is
// attributed to the tasks that ran in the measured window. The zero value is not
// usable; see NewHistory.
type History struct {
	retention time.Duration
	changes   []levelChange
	levels    map[seriesKey]float64
	// The history holds all changes after since.
	newestChange, since time.Duration
	dropped             uint64
}

// maxChanges bounds the memory of one history to about 200 KB.
const maxChanges = 4096

// NewHistory returns a history that covers the latest period of length retention.
func NewHistory(retention time.Duration) *History {
	return &History{retention: retention, levels: make(map[seriesKey]float64)}
}

// Dropped returns the number of refused changes (negative or out of order) and
// refused windows (empty, in the future or no longer covered).
func (h *History) Dropped() uint64 { return h.dropped }

// Add records at time now that the number of running tasks of kind k, each
// weighted by its speed, changed by delta. Times must not decrease.
func (h *History) Add(now time.Duration, k structs.Kind, delta float64) {
	key := seriesKey{name: string(k)}
	h.set(now, key, h.levels[key]+delta)
}

// SetLoad records at time now the number of slots of service s in use.
func (h *History) SetLoad(now time.Duration, s structs.Service, inUse int) {
	h.set(now, seriesKey{string(s), true}, float64(inUse))
}

func (h *History) set(now time.Duration, key seriesKey, level float64) {
	if now < h.newestChange || level < -1e-6 {
		h.dropped++
		return
	}
	h.newestChange = now
	if level < 1e-6 {
		level = 0
	}
	before := h.levels[key]
	if before == level {
		return
	}
	h.levels[key] = level
	h.changes = append(h.changes, levelChange{now, key, before})
	h.trim(now)
}

func (h *History) trim(now time.Duration) {
	full := len(h.changes) > maxChanges
	if !full && h.changes[0].at >= now-2*h.retention {
		return
	}
	first := 0
	for first < len(h.changes) && h.changes[first].at < now-h.retention {
		first++
	}
	if full {
		first = max(first, maxChanges/2)
	}
	if first == 0 {
		return
	}
	h.since = h.changes[first-1].at
	h.changes = append(h.changes[:0], h.changes[first:]...)
}

// Window returns, between from and to, the mean number of running tasks of each kind,
// appended to out[:0], and the mean number of slots of service s in use. It returns
// false if the window is empty, ends after now or begins before the recorded period.
func (h *History) Window(now, from, to time.Duration, s structs.Service, out []KindCount) (kinds []KindCount, inUse float64, ok bool) {
	out = out[:0]
	if from < h.since || from < now-h.retention || to <= from || to > now {
		h.dropped++
		return out, 0, false
	}
	for key, level := range h.levels {
		if key.isLoad && key.name != string(s) {
			continue
		}
		mean := h.mean(from, to, key, level)
		if key.isLoad {
			inUse = mean
		} else if mean > 0 {
			out = append(out, KindCount{Kind: structs.Kind(key.name), Count: mean})
		}
	}
	return out, inUse, true
}

// mean returns the time-weighted mean of a series between from and to. It starts
// at the present level and reverts the changes, newest first.
func (h *History) mean(from, to time.Duration, key seriesKey, level float64) float64 {
	sum, end := 0.0, to
	for i := len(h.changes) - 1; i >= 0 && end > from; i-- {
		c := &h.changes[i]
		if c.series != key {
			continue
		}
		if c.at < end {
			begin := max(c.at, from)
			sum += level * float64(end-begin)
			end = begin
		}
		level = c.before
	}
	sum += level * float64(end-from)
	return sum / float64(to-from)
}
