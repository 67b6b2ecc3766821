package memory

import (
	"time"

	"persimmonrock.example/infra"
)

type progressAt struct {
	at       time.Time
	fraction float64
}

type segment struct {
	from, to        time.Time
	speed, slowdown float64
}

// maxSegments bounds the history of a task whose usage reports nobody fetches.
const maxSegments = 4096

// addSegment adds s to the task's history; a segment that continues the last one
// at the same speed and slowdown extends it.
func (r *run) addSegment(s segment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.segments); n > 0 {
		last := &r.segments[n-1]
		if last.to.Equal(s.from) && last.speed == s.speed && last.slowdown == s.slowdown {
			last.to = s.to
			return
		}
	}
	r.segments = append(r.segments, s)
	if len(r.segments) > maxSegments {
		r.segments = r.segments[len(r.segments)-maxSegments:]
	}
}

// visibleProgress returns the newest progress that is at least as old as the
// usage lag and drops the older ones. The caller holds r.mu.
func (r *run) visibleProgress(now time.Time) float64 {
	limit := now.Add(-r.worker.opts.UsageLag)
	newest := -1
	for i, p := range r.progress {
		if !p.at.After(limit) {
			newest = i
		}
	}
	if newest < 0 {
		return r.visible
	}
	r.visible = r.progress[newest].fraction
	r.progress = r.progress[newest+1:]
	return r.visible
}

// usage returns the new reports of the task's windows that ended at least the
// usage lag before now. more is false once there are no further reports.
func (r *run) usage(now time.Time) (reports []infra.Usage, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := r.worker.opts.UsageWindow
	limit := now.Add(-r.worker.opts.UsageLag)
	for {
		to := r.windowStart.Add(window)
		last := !r.ended.IsZero() && !to.Before(r.ended)
		if last {
			to = r.ended
		}
		if to.After(limit) {
			return reports, true
		}
		if to.After(r.windowStart) {
			reports = append(reports, r.measure(r.windowStart, to))
		}
		r.windowStart = to
		if last {
			return reports, false
		}
	}
}

// measure sums up the segments between from and to and drops those that end
// by to. The caller holds r.mu.
func (r *run) measure(from, to time.Time) infra.Usage {
	var busy, worked, inflated float64
	var kept []segment
	for _, s := range r.segments {
		overlap := earlier(s.to, to).Sub(later(s.from, from)).Seconds()
		if overlap > 0 {
			busy += overlap
			worked += overlap * s.speed
			inflated += overlap * s.slowdown
		}
		if s.to.After(to) {
			kept = append(kept, s)
		}
	}
	r.segments = kept
	u := infra.Usage{
		Job:         r.start.Job,
		Epoch:       r.start.Epoch,
		From:        from.Sub(r.worker.began),
		To:          to.Sub(r.worker.began),
		MilliCores:  int(float64(r.actual.MilliCores) * worked / to.Sub(from).Seconds()),
		MemoryBytes: r.actual.MemoryBytes,
		Slowdown:    1,
	}
	if busy > 0 {
		u.Slowdown = inflated / busy
	}
	return u
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
