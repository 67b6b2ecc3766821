package forecast

import (
	"math"
	"sort"
	"time"
)

const (
	// buckets is the number of buckets of a profile. Each is growth times as long
	// as the one before: the near future is predicted more precisely.
	buckets = 64
	growth  = 1.06
	// shortestBucket bounds the length of the first bucket, in seconds.
	shortestBucket = 0.02
	// roomMemory is the time, in seconds, in which the room returns to its recent
	// mean.
	roomMemory = 2.5
	// leastCores is the rate below which a step counts as getting nothing.
	leastCores = 1e-3
)

// axis holds the bounds of the buckets, in seconds from the time of the
// forecast.
type axis struct {
	from [buckets + 1]float64
	// later is the assumed share of the recent arrivals in each bucket.
	later [buckets]float64
}

func newAxis(horizon, window time.Duration) *axis {
	a := &axis{}
	sum := (math.Pow(growth, buckets) - 1) / (growth - 1)
	width := max(shortestBucket, horizon.Seconds()/sum)
	for b := range buckets {
		a.from[b+1] = a.from[b] + width
		width *= growth
	}
	for b := range buckets {
		middle := (a.from[b] + a.from[b+1]) / 2
		a.later[b] = math.Exp(-middle / max(shortestBucket, window.Seconds()))
	}
	return a
}

// index is the bucket of a time; buckets if the time is after the last one.
func (a *axis) index(t float64) int {
	return min(buckets, max(0, sort.Search(buckets+1, func(i int) bool { return a.from[i] > t })-1))
}

// profile is the use of a room over time. Within a bucket, room is shared as a
// fluid.
type profile struct {
	axis  *axis
	room  *Room
	cores [buckets]float64
	used  [buckets]float64
	// begun is the part of used by tasks that do not run yet, byImage that of each
	// image. released is the share of the running tasks that have ended.
	begun    [buckets]float64
	byImage  [][buckets]float64
	released [buckets]float64
	// running is the CPU of the tasks that run.
	running float64
	// full is the first bucket that is not used up.
	full int
}

func newProfile(a *axis, r *Room) *profile {
	p := &profile{axis: a, room: r, byImage: make([][buckets]float64, len(r.Images))}
	for b := range p.cores {
		middle := (a.from[b] + a.from[b+1]) / 2
		p.cores[b] = max(0, r.Usual+(r.Cores-r.Usual)*math.Exp(-middle/roomMemory))
	}
	return p
}

// free is the room that is left in a bucket for an image. The tasks of other
// images that begin from now on are assumed to be spread evenly over the workers.
func (p *profile) free(b, image int) float64 {
	free := p.cores[b] - p.used[b]
	if image < 0 || image >= len(p.byImage) {
		return free
	}
	share := p.room.Images[image]
	own := p.byImage[image][b]
	now := p.freeNow(image)
	return min(free, (now+(share-now)*p.released[b])*p.cores[b]-own-share*(p.begun[b]-own))
}

// freeNow is the part of the room that is free at present for an image.
func (p *profile) freeNow(image int) float64 {
	if image < len(p.room.Free) {
		return p.room.Free[image]
	}
	if p.cores[0] <= 0 {
		return 0
	}
	return p.room.Images[image] * max(0, 1-p.running/p.cores[0])
}

func (p *profile) use(b, image int, cores float64) {
	p.used[b] += cores
	p.begun[b] += cores
	if image >= 0 && image < len(p.byImage) {
		p.byImage[image][b] += cores
	}
}

// occupy takes room from now on, whether it is there or not: the tasks run.
func (p *profile) occupy(cores, seconds float64) {
	for b := 0; b < buckets && p.axis.from[b] < seconds; b++ {
		width := p.axis.from[b+1] - p.axis.from[b]
		p.used[b] += cores * min(1, (seconds-p.axis.from[b])/width)
	}
	p.running += cores
}

// occupied is called once all running tasks have taken their room.
func (p *profile) occupied() {
	for b := range p.released {
		p.released[b] = 1
		if p.running > 0 {
			p.released[b] = max(0, 1-p.used[b]/p.running)
		}
	}
}

// demand is a step's work that waits for room.
type demand struct {
	image int
	// from is when the work may begin, in seconds; work is in core-seconds, width
	// the most cores that the step can use.
	from, work, width float64
	// later is the room that jobs which arrive from now on take before the step.
	later float64
}

// serve takes room for a demand. It returns when the step first gets room and
// when its work is done.
func (p *profile) serve(d demand) (start, end float64) {
	for p.full < buckets && p.cores[p.full]-p.used[p.full] < leastCores {
		p.full++
	}
	start = -1
	rest := d.work
	for b := max(p.full, p.axis.index(d.from)); b < buckets; b++ {
		rate := min(d.width, p.free(b, d.image)-d.later*p.axis.later[b])
		if rate < leastCores {
			continue
		}
		begin := max(d.from, p.axis.from[b])
		if start < 0 {
			start = begin
		}
		span := p.axis.from[b+1] - begin
		width := p.axis.from[b+1] - p.axis.from[b]
		if need := rest / rate; need <= span {
			p.use(b, d.image, rate*need/width)
			return start, begin + need
		}
		p.use(b, d.image, rate*span/width)
		rest -= rate * span
	}
	return p.beyond(d, start, rest)
}

// beyond extrapolates the rest of a demand that does not fit into the profile.
func (p *profile) beyond(d demand, start, rest float64) (float64, float64) {
	horizon := max(d.from, p.axis.from[buckets])
	if start < 0 {
		start = horizon
	}
	rate := max(leastCores, min(d.width, p.room.Usual))
	return start, horizon + min(rest/rate, p.axis.from[buckets])
}

// freeAt is the first time at which at least the given cores are free.
func (p *profile) freeAt(image int, cores float64) float64 {
	for b := range buckets {
		if p.free(b, image) >= cores {
			return p.axis.from[b]
		}
	}
	return p.axis.from[buckets]
}
