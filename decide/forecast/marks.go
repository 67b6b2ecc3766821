package forecast

import (
	"math"
	"slices"
	"time"

	"persimmonrock.example/decide/order"
)

const (
	// outlookSteps is the number of job sizes that an Outlook distinguishes.
	outlookSteps = 12
	// leastRatio is the least ratio of two such sizes.
	leastRatio = 1.01
	// freeShare is the share of a room that must be free for a new job to get room.
	freeShare = 0.04
)

// mark is a place in the order of jobs where a new job would come.
type mark struct {
	key   order.Key
	queue int
	// upTo is the largest work for which the wait is used: that of the next mark,
	// since a wait is rather taken for too short than for too long.
	upTo float64
	// filling and reserved are the waits in seconds, once the mark was passed.
	filling, reserved float64
}

// marks are sorted in the order of jobs; next is the first that was not passed.
type marks struct {
	list []mark
	next int
}

// newMarks puts marks for new jobs of each queue at several sizes.
func newMarks(s *Snapshot) *marks {
	least, most := math.Inf(1), 0.0
	for i := range s.Jobs {
		if w := s.Jobs[i].Key.Work; w > 0 && !s.Jobs[i].Endless {
			least, most = min(least, w), max(most, w)
		}
	}
	m := &marks{}
	sizes := []float64{0}
	if most > 0 {
		ratio := max(leastRatio, math.Pow(most/least, 1/float64(outlookSteps-2)))
		for w := least; w < most*ratio; w *= ratio {
			sizes = append(sizes, w)
		}
	}
	for q := range s.Queues {
		for i, w := range sizes {
			key := order.Key{Priority: s.Queues[q].Priority, Work: w, By: math.MaxInt64}
			m.list = append(m.list, mark{key: key, queue: q, upTo: sizes[min(i+1, len(sizes)-1)]})
		}
	}
	slices.SortStableFunc(m.list, func(a, b mark) int { return a.key.Compare(b.key) })
	return m
}

// pass measures the waits at all marks before key.
func (m *marks) pass(x *model, key order.Key) {
	for m.next < len(m.list) && m.list[m.next].key.Compare(key) < 0 {
		m.measure(x, &m.list[m.next])
		m.next++
	}
}

func (m *marks) passAll(x *model) {
	for ; m.next < len(m.list); m.next++ {
		m.measure(x, &m.list[m.next])
	}
}

func (m *marks) measure(x *model, k *mark) {
	q := &x.s.Queues[k.queue]
	if q.Filling >= 0 {
		k.filling = x.profiles[q.Filling].meanWait(q.Images)
	}
	if q.Reserved >= 0 {
		k.reserved = x.profiles[q.Reserved].meanWait(nil)
	}
}

// meanWait is the mean, over the images, of the time until some room is free.
func (p *profile) meanWait(images []int) float64 {
	if len(images) == 0 {
		return p.freeAt(-1, freeShare*p.room.Usual)
	}
	sum := 0.0
	for _, i := range images {
		sum += p.freeAt(i, freeShare*p.room.usable(i))
	}
	return sum / float64(len(images))
}

// outlook sums up the waits at the marks. Work ahead is given as what the room
// serves in the wait, so that room which is free now means no work ahead.
func (m *marks) outlook(s *Snapshot) Outlook {
	o := Outlook{At: s.At, Loads: make(map[string]Load, len(s.Queues))}
	for i := range s.Queues {
		q := &s.Queues[i]
		var l Load
		if q.Filling >= 0 {
			l.Filling.Cores = s.Rooms[q.Filling].meanUsable(q.Images)
		}
		if q.Reserved >= 0 {
			l.Reserved.Cores = s.Rooms[q.Reserved].Usual
		}
		for k := range m.list {
			if x := &m.list[k]; x.queue == i {
				l.Filling.addStep(x.upTo, x.filling)
				l.Reserved.addStep(x.upTo, x.reserved)
			}
		}
		o.Loads[q.Name] = l
	}
	return o
}

// usable is the usual room for an image, in cores.
func (r *Room) usable(image int) float64 {
	if image < 0 || image >= len(r.Images) {
		return r.Usual
	}
	return r.Usual * r.Images[image]
}

// meanUsable is the mean of usable over the images.
func (r *Room) meanUsable(images []int) float64 {
	if len(images) == 0 {
		return r.Usual
	}
	sum := 0.0
	for _, i := range images {
		sum += r.usable(i)
	}
	return sum / float64(len(images))
}

// addStep appends the wait of a job of the given work. It replaces the step
// before if both have the same work ahead.
func (b *Backlog) addStep(work, wait float64) {
	ahead := wait * b.Cores
	if n := len(b.Steps); n > 0 {
		ahead = max(ahead, b.Steps[n-1].Ahead)
		if b.Steps[n-1].Ahead == ahead {
			b.Steps[n-1].UpTo = work
			return
		}
	}
	b.Steps = append(b.Steps, BacklogStep{UpTo: work, Ahead: ahead})
}

// Age is the age of the outlook at now; it is negative if there is none.
func (o *Outlook) Age(now time.Duration) time.Duration {
	if o.At == 0 {
		return -1
	}
	return now - o.At
}
