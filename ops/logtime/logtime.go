// Package logtime puts the lines of several processes' logs on one time axis.
// It avoids comparing wall clocks of different machines, since these may be
// wrong and may jump. Each line carries its process's steady clock, and a cause
// in one process's log and its effect in another's bound the offset between the
// two clocks.
package logtime

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"persimmonrock.example/ops/logs"
)

// Stamp is the time of a line on the clock of its process, in milliseconds.
type Stamp struct {
	source int
	at     float64
}

type object struct {
	Process string `json:"process"`
	// Start identifies one start of the process: each has its own steady clock.
	Start string `json:"start_id"`
	// Wall is in milliseconds, Steady in microseconds.
	Wall    float64  `json:"time"`
	Steady  *float64 `json:"steady_us"`
	Message string   `json:"message"`

	Job        string          `json:"job"`
	Run        string          `json:"run"`
	Occurrence int             `json:"occurrence"`
	Step       int             `json:"step"`
	Last       int             `json:"last"`
	Placements []string        `json:"placements"`
	Ran        *float64        `json:"ran"`
	Took       float64         `json:"took"`
	Epoch      uint64          `json:"epoch"`
	Version    json.RawMessage `json:"version"`
}

// source is one start of a process.
type source struct {
	name string
	// wallLeads holds each line's wall clock minus its steady clock.
	wallLeads []float64
	// steady is false if the lines carry only the wall clock.
	steady bool
}

// event holds, by process, the logged times of the cause and of the effect of
// one event. Only the first line of each process counts.
type event struct {
	causes, effects map[int]float64
}

// Log collects the stamps and shared events of all lines.
type Log struct {
	sources []*source
	index   map[string]int
	events  map[string]*event
}

// Read adds one line. It returns false if the line can't be parsed.
func (l *Log) Read(line []byte) (Stamp, bool) {
	var o object
	if json.Unmarshal(line, &o) != nil {
		return Stamp{}, false
	}
	s := l.source(&o)
	at := o.Wall
	if o.Steady != nil {
		at = *o.Steady / 1000
		l.sources[s].wallLeads = append(l.sources[s].wallLeads, o.Wall-at)
	}
	l.addEvents(s, at, &o)
	return Stamp{source: s, at: at}, true
}

func (l *Log) source(o *object) int {
	if l.index == nil {
		l.index, l.events = map[string]int{}, map[string]*event{}
	}
	name := o.Process
	if o.Steady != nil {
		name += " " + o.Start
	}
	s, ok := l.index[name]
	if !ok {
		s = len(l.sources)
		l.index[name] = s
		l.sources = append(l.sources, &source{name: name, steady: o.Steady != nil})
	}
	return s
}

// addEvents records the line's events that other processes log, too.
func (l *Log) addEvents(s int, at float64, o *object) {
	switch o.Message {
	case "placed":
		l.cause("start "+o.Run, s, at)
		for _, placed := range o.Placements {
			if p, ok := logs.ParsePlacedRun(placed); ok {
				l.cause("start "+p.Name(o.Job, o.Occurrence, o.Step), s, at)
			}
		}
	case "start":
		l.effect("start "+o.Run, s, at)
	case "run ended":
		if o.Ran != nil {
			l.effect("end "+o.Run, s, at)
			return
		}
		l.cause("end "+o.Run, s, at)
		task, _, _ := strings.Cut(o.Run, "#")
		l.cause("done "+task, s, at)
	case "step done":
		l.effect("done "+o.Job+"."+strconv.Itoa(o.Occurrence)+"."+strconv.Itoa(o.Step)+"."+strconv.Itoa(o.Last), s, at)
	case "job handed in":
		l.cause("job "+o.Job, s, at-o.Took)
	case "job known":
		l.effect("job "+o.Job, s, at)
	case "lease taken":
		l.cause("epoch "+strconv.FormatUint(o.Epoch, 10), s, at)
	case "new scheduler":
		l.effect("epoch "+strconv.FormatUint(o.Epoch, 10), s, at)
	case "scheduler known":
		l.effect("epoch "+string(o.Version), s, at)
	}
}

func (l *Log) event(key string) *event {
	e := l.events[key]
	if e == nil {
		e = &event{causes: map[int]float64{}, effects: map[int]float64{}}
		l.events[key] = e
	}
	return e
}

func (l *Log) cause(key string, s int, at float64) {
	if e := l.event(key); !has(e.causes, s) {
		e.causes[s] = at
	}
}

func (l *Log) effect(key string, s int, at float64) {
	if e := l.event(key); !has(e.effects, s) {
		e.effects[s] = at
	}
}

func has(m map[int]float64, s int) bool {
	_, ok := m[s]
	return ok
}

// Axis is the common time of the lines of all processes, in milliseconds of the
// wall clock of the process that shares events with most others.
type Axis struct {
	offsets []float64
	// unaligned holds the processes placed by their wall clocks, since events
	// bound their offsets on one side at most.
	unaligned map[int]bool
	names     []string
}

// Time returns the time of a line on the axis.
func (a *Axis) Time(s Stamp) float64 { return s.at + a.offsets[s.source] }

// Uncertain reports whether the line's process is unaligned.
func (a *Axis) Uncertain(s Stamp) bool { return a.unaligned[s.source] }

// Unaligned returns the names of the unaligned processes, sorted.
func (a *Axis) Unaligned() []string {
	var names []string
	for s := range a.unaligned {
		names = append(names, a.names[s])
	}
	slices.Sort(names)
	return names
}

// Axis computes the axis from the lines read so far.
func (l *Log) Axis() *Axis {
	a := &Axis{offsets: make([]float64, len(l.sources)), unaligned: map[int]bool{}}
	for _, s := range l.sources {
		a.names = append(a.names, s.name)
	}
	bounds := l.bounds()
	placed := make([]bool, len(l.sources))
	for i, s := range l.sources {
		a.offsets[i] = s.wallOffset()
		// Lines without a steady clock keep their wall clock's time.
		placed[i] = !s.steady
	}
	for {
		first := l.reference(bounds, placed)
		if first < 0 {
			return a
		}
		if a.alignWith(first, bounds, placed) == 0 && len(l.sources) > 1 {
			a.unaligned[first] = true
		}
	}
}

// reference returns the unplaced process that shares events with most others,
// or -1.
func (l *Log) reference(bounds []map[int]bound, placed []bool) int {
	best := -1
	for i := range placed {
		if !placed[i] && (best < 0 || len(bounds[i]) > len(bounds[best])) {
			best = i
		}
	}
	return best
}

// alignWith places the process first by its wall clock and then the processes
// that events link to it, by increasing width of their bounds. It returns the
// number of linked processes.
func (a *Axis) alignWith(first int, bounds []map[int]bound, placed []bool) int {
	placed[first] = true
	tree := []int{first}
	for {
		from, to := -1, -1
		var best bound
		for _, f := range tree {
			for t, b := range bounds[f] {
				if placed[t] || to >= 0 && (b.width() > best.width() || b.width() == best.width() && t > to) {
					continue
				}
				from, to, best = f, t, b
			}
		}
		if to < 0 {
			return len(tree) - 1
		}
		if best.open() {
			a.unaligned[to] = true
			best.clampTo(a.offsets[to] - a.offsets[from])
		}
		a.offsets[to] = a.offsets[from] + best.middle()
		placed[to] = true
		tree = append(tree, to)
	}
}

// wallOffset returns the median lead of the wall clock over the steady clock; a
// median ignores temporary jumps.
func (s *source) wallOffset() float64 {
	if len(s.wallLeads) == 0 {
		return 0
	}
	sorted := slices.Clone(s.wallLeads)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// bound is the range of the difference between two processes' offsets.
type bound struct{ low, high float64 }

// open reports whether one side is unbounded.
func (b bound) open() bool { return math.IsInf(b.low, 0) || math.IsInf(b.high, 0) }

// clampTo sets both sides to the value nearest to x within the bound.
func (b *bound) clampTo(x float64) {
	x = min(b.high, max(b.low, x))
	b.low, b.high = x, x
}

func (b bound) width() float64 { return math.Abs(b.high - b.low) }

func (b bound) middle() float64 { return (b.low + b.high) / 2 }

// bounds returns for each process the bounds of the others' offsets minus its
// own. An effect is never earlier than its cause.
func (l *Log) bounds() []map[int]bound {
	all := make([]map[int]bound, len(l.sources))
	for i := range all {
		all[i] = map[int]bound{}
	}
	for _, e := range l.events {
		for c, causedAt := range e.causes {
			for f, at := range e.effects {
				if c != f && l.sources[c].steady && l.sources[f].steady {
					narrow(all, c, f, causedAt-at)
				}
			}
		}
	}
	return all
}

// narrow records that the offset of f minus that of c is not below least.
func narrow(all []map[int]bound, c, f int, least float64) {
	b, ok := all[c][f]
	if !ok {
		b = bound{math.Inf(-1), math.Inf(1)}
	}
	b.low = max(b.low, least)
	all[c][f] = b
	all[f][c] = bound{-b.high, -b.low}
}
