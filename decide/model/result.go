package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. Times are of urgent calls, from
// the first attempt to the whole answer; a call without an answer counts with
// its whole deadline, so that refusing slow calls can't improve the result.
type Result struct {
	Policy string
	Seed   uint64
	// Urgent holds all calls, ByCustomer those of each customer, in
	// microseconds.
	Urgent     *hdrhistogram.Histogram
	ByCustomer [customers]*hdrhistogram.Histogram
	// Calls counts ended calls, InTime those answered within their deadline.
	Calls, InTime, Unanswered int
	// Refusals counts the times that none of a caller's attempts was admitted.
	Refusals, Attempts int
	// Done is the number of finished batch jobs by customer.
	Done [customers]int
	// Evictions counts tasks stopped by the policy, Killed those stopped by
	// the platform for lack of memory.
	Evictions, Killed, Throttles, Failures, WrongFailures, NotStarted, Parked int
	// WorkLost is the work lost by evictions and kills, in seconds of
	// undisturbed work.
	WorkLost float64
	// Jain is Jain's fairness index of the customers' batch work, each relative to
	// the lesser of the customer's demand and its share of all batch work.
	Jain float64
	// Overcommitted counts admission checks that found more slots in use than
	// the instance has.
	Overcommitted int

	w              *Workload
	work, doneWork [customers]float64
}

const (
	minMicros         = int64(100)
	maxMicros         = int64(60_000_000)
	significantDigits = 3
)

func newResult(w *Workload) *Result {
	r := &Result{Seed: w.Options.Seed, w: w, Urgent: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	for c := range r.ByCustomer {
		r.ByCustomer[c] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	return r
}

func (r *Result) recordAnswered(c int, latency, target time.Duration) {
	r.record(c, latency)
	r.Calls++
	if latency <= target {
		r.InTime++
	}
}

func (r *Result) recordUnanswered(c int, target time.Duration) {
	r.record(c, target)
	r.Calls++
	r.Unanswered++
}

func (r *Result) record(c int, latency time.Duration) {
	us := min(latency.Microseconds(), maxMicros)
	// The value is within the histogram's bounds, so no error can arise.
	_ = r.Urgent.RecordValue(us)
	_ = r.ByCustomer[c].RecordValue(us)
}

// DoneAll is the number of batch jobs finished.
func (r *Result) DoneAll() int {
	n := 0
	for _, d := range r.Done {
		n += d
	}
	return n
}

// Work is the batch work done and not lost, in seconds of undisturbed work.
func (r *Result) Work() float64 {
	sum := 0.0
	for _, x := range r.work {
		sum += x
	}
	return sum
}

// Quantile is the q-th percentile of the times of all urgent calls, q from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Urgent.ValueAtQuantile(q)) * time.Microsecond
}

// CustomerWork is Work of one customer.
func (r *Result) CustomerWork(c int) float64 { return r.work[c] }

// CustomerQuantile is Quantile for one customer's urgent calls.
func (r *Result) CustomerQuantile(c int, q float64) time.Duration {
	return time.Duration(r.ByCustomer[c].ValueAtQuantile(q)) * time.Microsecond
}

// InTimeShare is the fraction of calls answered within their deadline.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Calls, 1)) }

// AttemptsPerCall is the mean number of attempts sent to agents per call.
func (r *Result) AttemptsPerCall() float64 { return float64(r.Attempts) / float64(max(r.Calls, 1)) }

func (s *simulation) finish() {
	for i := range s.nodes {
		s.now = s.w.Options.Duration
		s.advance(i)
	}
	r := s.result
	r.Policy = s.p.Name()
	var demand [customers]float64
	for i := range s.w.jobs {
		demand[s.w.jobs[i].customer] += s.w.jobs[i].work.Seconds()
	}
	total := r.Work()
	sum, squares := 0.0, 0.0
	for c := range customers {
		entitled := min(demand[c], s.w.contracts[c].Share/0.9*total)
		x := r.work[c] / entitled
		sum += x
		squares += x * x
	}
	r.Jain = sum * sum / (customers * squares)
}

// Customers is the number of customers in the model. Customer 0 sends the flood.
const Customers = customers
