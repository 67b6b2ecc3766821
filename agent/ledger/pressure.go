package ledger

import (
	"slices"
	"time"

	"persimmonrock.example/structs"
)

// windowCalls bounds the durations kept for one window of a server.
const windowCalls = 256

// Window is the load and latency of one service since the last call of Windows.
type Window struct {
	Service      structs.Service
	InUse, Slots int
	// Calls ended in the window; Median is the median of their durations.
	Calls  int
	Median time.Duration
	// Target is the strictest latency target among the customers that called;
	// 0 for none.
	Target time.Duration
}

// window collects one server's part of the next Window.
type window struct {
	durations []time.Duration
	calls     int
	target    time.Duration
}

func (w *window) recordDuration(took time.Duration) {
	w.calls++
	if len(w.durations) < windowCalls {
		w.durations = append(w.durations, took)
	}
}

func (w *window) recordTarget(target time.Duration) {
	if target > 0 && (w.target == 0 || target < w.target) {
		w.target = target
	}
}

// Windows returns the load and latency of each service since Windows was last
// called, and starts new windows.
func (l *Ledger) Windows() []Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Window
	for name, list := range l.services {
		one := Window{Service: name}
		var durations []time.Duration
		for _, s := range list {
			one.InUse += s.inUse
			one.Slots += s.announced.Slots
			one.Calls += s.window.calls
			durations = append(durations, s.window.durations...)
			if t := s.window.target; t > 0 && (one.Target == 0 || t < one.Target) {
				one.Target = t
			}
			s.window = window{durations: s.window.durations[:0]}
		}
		if len(durations) > 0 {
			slices.Sort(durations)
			one.Median = durations[len(durations)/2]
		}
		out = append(out, one)
	}
	return out
}

// Owed counts the slots that were refused to customers within their quota.
type Owed struct {
	// Slots counts all of these slots, Calls those that were refused to calls.
	Slots, Calls int
}

// Owed returns the counts since Owed was last called, and resets them. A
// customer counts for at most the free slots of its quota.
func (l *Ledger) Owed() Owed {
	l.mu.Lock()
	defer l.mu.Unlock()
	var owed Owed
	for _, u := range l.uses {
		a := l.accounts[u.Customer]
		left := max(0, a.right-u.Urgent-u.Batch)
		owed.Slots += min(a.denied, left)
		owed.Calls += min(a.deniedCalls, left)
		a.denied, a.deniedCalls = 0, 0
	}
	return owed
}

// Borrows reports whether the customer holds more than its quota here.
func (l *Ledger) Borrows(c structs.Customer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[c]
	if a == nil || a.useIndex < 0 {
		return false
	}
	u := l.uses[a.useIndex]
	return u.Urgent+u.Batch > a.right
}
