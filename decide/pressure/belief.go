package pressure

import "math"

// A pair of images has a weight either near 0 or of about 1 or more: the images'
// programs contend for the same part of the processor or they don't. With this
// prior, one or two samples show whether the pair presses. An estimate that
// averages over all weights needs several.

const (
	// sampleNoise is the standard deviation of the noise in a sample's load.
	sampleNoise = 0.05
	// knownProbability is the least probability that a known pair presses, or
	// that it doesn't.
	knownProbability = 0.85
	// pressThreshold is the weight above which a pair counts as pressing. Few
	// pairs have a weight near it.
	pressThreshold = 0.45
)

// weightHypothesis is a weight that a pair may have, with its prior
// probability.
type weightHypothesis struct {
	weight float64
	prior  float64
}

// weightPrior covers the weights from 0 to 4, the larger ones more sparsely. In
// deployments with other weights, a pair needs one more sample to be known.
var weightPrior = []weightHypothesis{
	{0, 0.2}, {0.1, 0.2}, {0.2, 0.15}, {0.3, 0.08},
	{0.6, 0.06}, {0.9, 0.06}, {1.2, 0.06}, {1.5, 0.05}, {1.8, 0.04}, {2.2, 0.04}, {2.7, 0.03}, {3.3, 0.02}, {4, 0.01},
}

// priorWeight is the mean weight of a pair without samples.
var priorWeight = newBelief(0, 0).mean(priorLogOdds)

// priorLogOdds is the log odds that a pair without samples presses.
var priorLogOdds = computePriorLogOdds()

func computePriorLogOdds() float64 {
	presses, not := 0.0, 0.0
	for _, l := range weightPrior {
		if l.weight > pressThreshold {
			presses += l.prior
			continue
		}
		not += l.prior
	}
	return math.Log(presses / not)
}

// belief summarizes the samples of a pair.
type belief struct {
	// logBayesFactor is the log of a ratio: the samples' likelihood if the pair
	// presses to their likelihood if it doesn't.
	logBayesFactor float64
	// high is the mean weight if the pair presses, low if it doesn't.
	high, low float64
}

// mean is the mean weight at the given log odds that the pair presses.
func (b belief) mean(logOdds float64) float64 {
	p := probability(logOdds)
	return p*b.high + (1-p)*b.low
}

func probability(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }

// maxLogOdds bounds the log odds, so that no number of samples makes a pair
// certain.
const maxLogOdds = 20

// newBelief computes the belief from two sums over the samples of a pair: sum, of
// the used share of the worker times the load that other pairs don't explain, and
// square, of the squared used share.
func newBelief(sum, square float64) belief {
	most := math.Inf(-1)
	for _, l := range weightPrior {
		most = max(most, l.logLikelihood(sum, square))
	}
	// Index 1 is for weights above pressThreshold, index 0 for the others.
	var prior, likelihood, weighed [2]float64
	for _, l := range weightPrior {
		side := 0
		if l.weight > pressThreshold {
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
	logBayesFactor := math.Log(likelihood[1]/prior[1]) - math.Log(likelihood[0]/prior[0])
	return belief{
		logBayesFactor: min(maxLogOdds, max(-maxLogOdds, logBayesFactor)),
		high:           weighed[1] / likelihood[1],
		low:            weighed[0] / likelihood[0],
	}
}

// logLikelihood is the log likelihood of the samples, up to a constant, if the
// pair has the weight.
func (l weightHypothesis) logLikelihood(sum, square float64) float64 {
	return (l.weight*sum - l.weight*l.weight*square/2) / (sampleNoise * sampleNoise)
}
