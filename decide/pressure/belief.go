package pressure

import "math"

// A pair either hardly presses or presses with a weight of about one or more:
// two programs are short of the same part of the processor or they are not.
// Knowing this, one or two samples tell which of the two holds, where a mean
// over all weights needs several.

const (
	// sampleNoise is how much the loads of two samples differ for no cause.
	sampleNoise = 0.05
	// knownFrom is how sure it has to be whether a pair presses.
	knownFrom = 0.85
	// pressesFrom is the weight from which a pair counts as pressing. Hardly any
	// pair lies near it.
	pressesFrom = 0.45
)

// likely is one weight that a pair may have, and how likely it is before any
// sample.
type likely struct {
	weight float64
	prior  float64
}

// weightPrior covers all weights up to four, the larger ones more thinly: what
// another deployment's pairs have is found on it, too, after a sample more.
var weightPrior = []likely{
	{0, 0.2}, {0.1, 0.2}, {0.2, 0.15}, {0.3, 0.08},
	{0.6, 0.06}, {0.9, 0.06}, {1.2, 0.06}, {1.5, 0.05}, {1.8, 0.04}, {2.2, 0.04}, {2.7, 0.03}, {3.3, 0.02}, {4, 0.01},
}

// priorWeight is the weight of a pair that nothing is known of.
var priorWeight = believe(0, 0).mean(priorOdds)

// priorOdds is the logarithm of how much likelier a pair presses than not
// before anything is known.
var priorOdds = oddsOfPrior()

func oddsOfPrior() float64 {
	presses, not := 0.0, 0.0
	for _, l := range weightPrior {
		if l.weight > pressesFrom {
			presses += l.prior
			continue
		}
		not += l.prior
	}
	return math.Log(presses / not)
}

// belief is what the samples of a pair say of it.
type belief struct {
	// odds is the logarithm of how much likelier the samples are if the pair
	// presses than if not.
	odds float64
	// high is its mean weight if it presses, low if not.
	high, low float64
}

// mean is the mean weight at the given logarithm of how much likelier the pair
// presses than not.
func (b belief) mean(odds float64) float64 {
	p := probability(odds)
	return p*b.high + (1-p)*b.low
}

func probability(odds float64) float64 { return 1 / (1 + math.Exp(-odds)) }

// mostOdds bounds the odds, so that no amount of samples makes a pair certain.
const mostOdds = 20

// believe works out what the samples of a pair say. sum and square are the
// sums, over the samples, of the used share times the load that other pairs
// leave, and of the used share's square.
func believe(sum, square float64) belief {
	most := math.Inf(-1)
	for _, l := range weightPrior {
		most = max(most, l.logLikelihood(sum, square))
	}
	// Index 1 is for the weights that press.
	var prior, likelihood, weighed [2]float64
	for _, l := range weightPrior {
		side := 0
		if l.weight > pressesFrom {
			side = 1
		}
		p := l.prior * math.Exp(l.logLikelihood(sum, square)-most)
		prior[side] += l.prior
		likelihood[side] += p
		weighed[side] += p * l.weight
	}
	for side := range likelihood {
		likelihood[side] = max(likelihood[side], math.SmallestNonzeroFloat64)
	}
	odds := math.Log(likelihood[1]/prior[1]) - math.Log(likelihood[0]/prior[0])
	return belief{
		odds: min(mostOdds, max(-mostOdds, odds)),
		high: weighed[1] / likelihood[1],
		low:  weighed[0] / likelihood[0],
	}
}

// logLikelihood of the samples, up to a constant, if the pair has the weight.
func (l likely) logLikelihood(sum, square float64) float64 {
	return (l.weight*sum - l.weight*l.weight*square/2) / (sampleNoise * sampleNoise)
}
