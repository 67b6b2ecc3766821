package layout

import (
	"math"
	"time"
)

// demandHalfLife is the time after which demand that was seen counts half: a
// moved task stays for tens of seconds, so work of seconds ago is likely to come
// again.
const demandHalfLife = 10 * time.Second

// minDemand is the CPU, in thousandths of a core, below which demand is dropped.
const minDemand = 50.0

// Demand remembers what CPU the filling work of each image has asked for. The
// zero value is ready for use.
type Demand struct {
	seen map[string]float64
	at   time.Duration
}

// Update adds the demand at now: the CPU of the tasks that run or could start, by
// image. The remembered demand of an image fades, but not below this.
func (d *Demand) Update(present map[string]float64, now time.Duration) {
	if d.seen == nil {
		d.seen = map[string]float64{}
	}
	factor := math.Exp2(-(now - d.at).Seconds() / demandHalfLife.Seconds())
	d.at = now
	for image, cpu := range d.seen {
		if cpu *= factor; cpu < minDemand {
			delete(d.seen, image)
			continue
		}
		d.seen[image] = cpu
	}
	for image, cpu := range present {
		d.seen[image] = max(d.seen[image], cpu)
	}
}

// Of returns the demand of an image.
func (d *Demand) Of(image string) float64 { return d.seen[image] }

// Images lists the images with demand, in no order.
func (d *Demand) Images() []string {
	all := make([]string, 0, len(d.seen))
	for image := range d.seen {
		all = append(all, image)
	}
	return all
}
