package decide

import "time"

const (
	demandBuckets     = 5
	demandBucketWidth = time.Second
	meanWeight        = 0.3
)

// Demand tracks the number of slots needed at once over the last five seconds.
// Other customers can therefore borrow a slot at the latest five seconds after
// its owner last needed it. The zero value is ready for use.
type Demand struct {
	peak    [demandBuckets]int
	sum     [demandBuckets]int
	count   [demandBuckets]int
	current int64
}

// Observe records at time now that inUse slots are needed.
func (d *Demand) Observe(now time.Duration, inUse int) {
	d.advance(now)
	i := int(d.current % demandBuckets)
	d.peak[i] = max(d.peak[i], inUse)
	d.sum[i] += inUse
	d.count[i]++
}

// Peak returns the largest observation in the window that ends at now.
func (d *Demand) Peak(now time.Duration) int {
	d.advance(now)
	most := 0
	for _, p := range d.peak {
		most = max(most, p)
	}
	return most
}

// Mean returns the mean of the observations in the window that ends at now.
func (d *Demand) Mean(now time.Duration) float64 {
	d.advance(now)
	sum, count := 0, 0
	for i := range d.sum {
		sum += d.sum[i]
		count += d.count[i]
	}
	if count == 0 {
		return 0
	}
	return float64(sum) / float64(count)
}

// Recent returns the value of SlotUse.Recent: the mean minus 1, for the requested
// slot, which each observation must include. It is above 0, since 0 means unknown.
func (d *Demand) Recent(now time.Duration) float64 {
	const leastKnown = 1e-9
	return max(leastKnown, d.Mean(now)-1)
}

// Expected returns the number of slots to keep ready, between mean and peak. If
// all slots of the peak were kept, most of them would be idle. A call that finds no
// free slot here usually finds a free slot on another instance.
func (d *Demand) Expected(now time.Duration) int {
	return int(meanWeight*d.Mean(now) + (1-meanWeight)*float64(d.Peak(now)) + 0.5)
}

func (d *Demand) advance(now time.Duration) {
	to := max(int64(now/demandBucketWidth), d.current)
	if to-d.current >= demandBuckets {
		*d = Demand{current: to}
	}
	for d.current < to {
		d.current++
		i := d.current % demandBuckets
		d.peak[i], d.sum[i], d.count[i] = 0, 0, 0
	}
}
