package pressure

const (
	// priorLight is the weight of pairs that do not press before anything is
	// known, and priorLightEvidence how much that counts, in squared shares of a
	// worker.
	priorLight         = 0.2
	priorLightEvidence = 0.5
)

// Light is the weight of pairs that do not press. By itself such a pair hardly
// shows: its load on a serving task is below the scatter of one figure. All of
// them together fill half a worker, and then take a tenth of what the task
// bears.
func (m *Model) Light() float64 {
	if m.version == 0 {
		return priorLight
	}
	return m.light
}

// lightWeight fits one weight to all pairs that do not press, beside what
// those that do are known to add.
func (m *Model) lightWeight() float64 {
	load, square := priorLight*priorLightEvidence, priorLightEvidence
	for _, e := range m.serving {
		l, s := e.light()
		load += l
		square += s
	}
	return min(pressesFrom, max(0, load/square))
}

// light sums, over the pairs of one serving image that do not press, the load
// that the others leave times the share used, and the square of that share.
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
	return w.Known && w.Value <= pressesFrom
}
