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
	// newest is the number of the newest report.
	newest uint64
	// lower is the number of the latest of so many reports in a row that count as late,
	// the first of which came at lowerSince.
	lower      uint64
	lowers     int
	lowerSince time.Duration
}

// isNext reports whether a report that arrives now is newer than those accepted.
func (o *reportOrder) isNext(number uint64, now time.Duration) bool {
	if number > o.newest {
		return true
	}
	if o.lowers == 0 || number <= o.lower {
		o.lower, o.lowers, o.lowerSince = number, 1, now
		return false
	}
	o.lower = number
	o.lowers++
	return o.lowers >= recountReports && now-o.lowerSince >= recountSpan
}

// recounts reports whether reports with rising numbers arrive, though too few yet.
func (o *reportOrder) recounts() bool { return o.lowers > 1 }

// accept records the newest report.
func (o *reportOrder) accept(number uint64) { *o = reportOrder{newest: number} }
