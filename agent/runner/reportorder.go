package runner

import "time"

const (
	// recountReports is the number of reports in a row, each with a higher number than
	// the one before, after which a worker counts from there, and recountSpan the
	// least time that they take. Late reports come together, or between others.
	recountReports = 3
	recountSpan    = 1500 * time.Millisecond
)

// reportOrder tells late reports of a worker from its newest one by their numbers. The
// zero value has seen no report.
//
// Guards against one report with a number that the worker has not reached: all its
// later reports would count as late.
type reportOrder struct {
	// newest is the number of the newest report, if one was seen.
	newest uint64
	seen   bool
	// lower is the number of the latest of so many reports in a row that count as late,
	// the first of which came at lowerSince.
	lower      uint64
	lowers     int
	lowerSince time.Duration
}

// record records a report that arrives now, and reports whether it is the newest.
func (o *reportOrder) record(number uint64, now time.Duration) (newest bool) {
	if !o.seen || number > o.newest {
		*o = reportOrder{newest: number, seen: true}
		return true
	}
	if o.lowers == 0 || number <= o.lower {
		o.lower, o.lowers, o.lowerSince = number, 1, now
		return false
	}
	o.lower = number
	o.lowers++
	if o.lowers < recountReports || now-o.lowerSince < recountSpan {
		return false
	}
	*o = reportOrder{newest: number, seen: true}
	return true
}

// recounts reports whether reports with rising numbers arrive, though too few yet.
func (o *reportOrder) recounts() bool { return o.lowers > 1 }
