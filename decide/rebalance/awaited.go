package rebalance

// awaitedShare is the part of a step's tasks up to which its last runs count as
// awaited by the rest.
const awaitedShare = 0.2

// Awaited reports whether a step waits for its last runs: others of its count
// tasks are done, none waits for a worker, and few are left. The work of the done
// tasks is of no use to anyone until these runs end, and they need little.
func Awaited(count, done, waiting int) bool {
	left := count - done
	return left > 0 && done > 0 && waiting == 0 && left <= max(1, int(awaitedShare*float64(count)))
}
