package forecast

import (
	"math"
	"time"
)

// Kind groups jobs whose forecasts have like errors.
type Kind uint8

// The kinds of jobs. Jobs with a filling step are Filling.
const (
	Reserved Kind = iota
	Filling
	kinds
)

func (k Kind) String() string {
	if k == Filling {
		return "filling"
	}
	return "reserved"
}

// KindOf returns the kind of a job.
func KindOf(j *Job, rooms []Room) Kind {
	for i := range j.Steps {
		if rooms[j.Steps[i].Room].Filling {
			return Filling
		}
	}
	return Reserved
}

const (
	// usualError is the standard deviation of the logarithm of the actual over
	// the predicted time, before any was measured.
	usualError = 0.4
	// maxBias bounds the correction of a forecast.
	maxBias = 0.7
	// maxError bounds the influence of one error.
	maxError = 1.5
	// leastSpan is the shortest span for which an error is meaningful.
	leastSpan = 50 * time.Millisecond
)

// Errors are the measured errors of forecasts, as logarithms of actual over
// predicted spans, without the corrections that follow from them.
type Errors struct {
	Kinds [kinds]Ratio `json:"k"`
}

// of returns the correction and the spread for a kind.
func (e *Errors) of(k Kind) (bias, sd float64) {
	if e == nil {
		return 0, usualError
	}
	mean, variance := e.Kinds[k].combine(0, usualError*usualError)
	return max(-maxBias, min(maxBias, mean)), math.Sqrt(variance)
}

// Prediction is a forecast that was made for a job at some point of its life.
type Prediction struct {
	At  time.Duration
	End End
}

// Error compares the actual span since the forecast with the predicted one.
func (p Prediction) Error(ended time.Duration) float64 {
	return ratioOf(ended-p.At, p.End.Half-p.At)
}

// Learn records the error of a forecast of a job that has ended.
func (e *Errors) Learn(k Kind, p Prediction, ended time.Duration) {
	x := math.Log(ratioOf(ended-p.At, p.End.raw-p.At))
	e.Kinds[k].Observe(max(-maxError, min(maxError, x)))
}

func ratioOf(actual, predicted time.Duration) float64 {
	return max(leastSpan, actual).Seconds() / max(leastSpan, predicted).Seconds()
}
