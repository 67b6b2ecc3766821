package forecast

const (
	// fitWeight is the number of samples that the assumption counts for that actual
	// durations are proportional to the estimates; fitVariance is the variance of
	// the logarithm of the estimates in it.
	fitWeight   = 6.0
	fitVariance = 0.25
	// maxSlope bounds the slope of a fit.
	maxSlope = 1.2
)

// Fit is the learnt relation of the logarithms of actual durations to those of the
// estimates, a line: of the shortest estimates most are too short, of the longest
// most are too long.
type Fit struct {
	Weight float64 `json:"w"`
	// X and Y are the means of the estimates and the actual durations, XX and XY
	// the variance of the estimates and the covariance.
	X  float64 `json:"x"`
	Y  float64 `json:"y"`
	XX float64 `json:"xx"`
	XY float64 `json:"xy"`
}

// Observe adds a pair of logarithms.
func (f *Fit) Observe(x, y float64) {
	f.Weight = f.Weight*forget + 1
	dx, dy := x-f.X, y-f.Y
	f.X += dx / f.Weight
	f.Y += dy / f.Weight
	f.XX += (dx*(x-f.X) - f.XX) / f.Weight
	f.XY += (dx*(y-f.Y) - f.XY) / f.Weight
}

// At is the expected logarithm of the duration for that of an estimate.
func (f *Fit) At(x float64) float64 {
	if f == nil || f.Weight == 0 {
		return x
	}
	slope := (f.Weight*f.XY + fitWeight*fitVariance) / (f.Weight*f.XX + fitWeight*fitVariance)
	shift := (f.Y - f.X) * f.Weight / (f.Weight + priorWeight)
	return f.X + shift + max(0, min(maxSlope, slope))*(x-f.X)
}
