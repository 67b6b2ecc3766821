package layout

import "maps"

// Measure says how much of the filling work may run. All CPU is in thousandths
// of a core.
type Measure struct {
	// Demand is the CPU that the filling work asks for, Room what serving tasks
	// leave for it.
	Demand, Room float64
	// Runnable is the most CPU that may run where the serving tasks lie.
	Runnable float64
	// Best bounds Runnable over all distributions of the serving tasks in which
	// each takes its room with it.
	Best float64
}

// Measure computes the measure of a fleet.
func (f *Fleet) Measure() Measure {
	m := Measure{Demand: f.demand(), Room: f.room(), Runnable: f.runnable()}
	m.Best = max(m.Runnable, f.best())
	return m
}

func (f *Fleet) demand() float64 {
	sum := 0.0
	for _, d := range f.Demand {
		sum += d
	}
	return sum
}

func (f *Fleet) room() float64 {
	sum := 0.0
	for w := range f.Workers {
		sum += f.Workers[w].Room
	}
	return sum
}

// runnable is the greatest flow of filling work to workers that do not bar it.
func (f *Fleet) runnable() float64 {
	places := newPlaces(len(f.Demand))
	for w, counts := range f.occupancy() {
		places.add(f.openTo(counts), f.Workers[w].Room)
	}
	return places.flow(f.Demand)
}

// best is the greatest flow if no two serving images shared a worker: each image
// keeps the share of a worker's room that its tasks have of the worker's
// reservations. A filling image that may run on a worker may run beside each of
// its serving images, so no distribution of the same room allows more.
func (f *Fleet) best() float64 {
	reserved := make([]float64, len(f.Workers))
	for i := range f.Tasks {
		reserved[f.Tasks[i].Worker] += float64(f.Tasks[i].Need.CPU)
	}
	places := newPlaces(len(f.Demand))
	alone := make([]int, len(f.Presses))
	for i := range f.Tasks {
		t := &f.Tasks[i]
		if reserved[t.Worker] == 0 {
			continue
		}
		alone[t.Image] = 1
		places.add(f.openTo(alone), f.Workers[t.Worker].Room*float64(t.Need.CPU)/reserved[t.Worker])
		alone[t.Image] = 0
	}
	for w := range f.Workers {
		if reserved[w] == 0 {
			places.add(f.openTo(alone), f.Workers[w].Room)
		}
	}
	return places.flow(f.Demand)
}

// openTo lists, as a string of zeros and ones, the filling images that may run
// beside the serving images with a count above zero.
func (f *Fleet) openTo(counts []int) string {
	open := make([]byte, len(f.Demand))
	for i := range open {
		open[i] = 1
	}
	for s, n := range counts {
		if n == 0 {
			continue
		}
		for i, p := range f.Presses[s] {
			if p >= barredBy {
				open[i] = 0
			}
		}
	}
	return string(open)
}

// places groups room by the filling images that may use it.
type places struct {
	images int
	index  map[string]int
	room   []float64
}

func newPlaces(images int) *places { return &places{images: images, index: map[string]int{}} }

func (p *places) add(open string, room float64) {
	i, ok := p.index[open]
	if !ok {
		i = len(p.room)
		p.index[open] = i
		p.room = append(p.room, 0)
	}
	p.room[i] += max(0, room)
}

// minFlow is the flow, in thousandths of a core, that is neglected.
const minFlow = 1.0

// flow returns the greatest flow of demand into the places. It adds the flow of
// one shortest augmenting path after the other.
func (p *places) flow(demand []float64) float64 {
	open := make([]string, len(p.room))
	for o, i := range maps.All(p.index) {
		open[i] = o
	}
	g := flowNetwork{open: open, unmet: append([]float64(nil), demand...), left: append([]float64(nil), p.room...)}
	g.sent = make([][]float64, p.images)
	for i := range g.sent {
		g.sent[i] = make([]float64, len(p.room))
	}
	total := 0.0
	for {
		sent := g.augment()
		if sent < minFlow {
			return total
		}
		total += sent
	}
}

// flowNetwork sends demand of filling images to places.
type flowNetwork struct {
	open        []string
	unmet, left []float64
	// sent is the flow from an image to a place.
	sent [][]float64
}

// augment adds the flow of one shortest augmenting path and returns its amount.
func (g *flowNetwork) augment() float64 {
	const none = -1
	// fromImage is, for each place, the image from which the search reached it;
	// fromPlace is, for each image, the place whose flow it would give back.
	fromImage, fromPlace := make([]int, len(g.left)), make([]int, len(g.unmet))
	seen := make([]bool, len(g.unmet))
	for i := range fromImage {
		fromImage[i] = none
	}
	var queue []int
	for i, d := range g.unmet {
		fromPlace[i] = none
		if d >= minFlow {
			seen[i] = true
			queue = append(queue, i)
		}
	}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for p := range g.left {
			if fromImage[p] != none || g.open[p][i] == 0 {
				continue
			}
			fromImage[p] = i
			if g.left[p] >= minFlow {
				return g.send(p, fromImage, fromPlace)
			}
			for k := range g.unmet {
				if !seen[k] && g.sent[k][p] >= minFlow {
					seen[k], fromPlace[k] = true, p
					queue = append(queue, k)
				}
			}
		}
	}
	return 0
}

// send sends as much as possible along the path that ends at a place.
func (g *flowNetwork) send(end int, fromImage, fromPlace []int) float64 {
	amount := g.left[end]
	for p := end; ; {
		i := fromImage[p]
		if fromPlace[i] < 0 {
			amount = min(amount, g.unmet[i])
			break
		}
		p = fromPlace[i]
		amount = min(amount, g.sent[i][p])
	}
	g.left[end] -= amount
	for p := end; ; {
		i := fromImage[p]
		g.sent[i][p] += amount
		if fromPlace[i] < 0 {
			g.unmet[i] -= amount
			return amount
		}
		p = fromPlace[i]
		g.sent[i][p] -= amount
	}
}
