package pressure

const (
	// priorLight is the result of Light without samples. priorLightEvidence is
	// the evidence that priorLight counts for, in squared shares of a worker.
	priorLight         = 0.2
	priorLightEvidence = 0.5
)

// Light is the common weight of all pairs known not to press. The load of one
// such pair on a serving task is below the noise of a sample. If the filling
// tasks of all such pairs use half a worker, they cause a tenth of the load that
// the serving task can bear.
func (m *Model) Light() float64 {
	if m.version == 0 {
		return priorLight
	}
	return m.light
}

// lightWeight fits one weight to all pairs known not to press, after subtracting
// the load of the other pairs.
func (m *Model) lightWeight() float64 {
	load, square := priorLight*priorLightEvidence, priorLightEvidence
	for _, e := range m.serving {
		l, s := e.light()
		load += l
		square += s
	}
	return min(pressThreshold, max(0, load/square))
}

// light returns two sums over the pairs of one serving image known not to press:
// load, of the used share times the load that the remaining pairs don't explain,
// and square, of the products of these pairs' used shares.
func (e *equations) light() (load, square float64) {
	for i := range e.pairs {
		if !e.isLight(i) {
			continue
		}
		load += e.sums[i]
		for k := range e.pairs {
			if e.isLight(k) {
				square += e.squares[i][k]
				continue
			}
			load -= e.squares[i][k] * e.pairs[k].joined.Value
		}
	}
	return load, max(0, square)
}

// isLight reports whether pair i is known not to press.
func (e *equations) isLight(i int) bool {
	w := e.pairs[i].joined
	return w.Known && w.Value <= pressThreshold
}
