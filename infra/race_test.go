//go:build race

package infra_test

import "runtime"

// init keeps tests in fake time on one processor under the race detector.
//
// Failure guarded against: the Go runtime runs due channel timers of a synctest
// bubble on whichever thread polls them, all with the bubble's one race
// context, without a lock. Two timers at once leave the context's stack one
// frame too short. The next goroutine that a timer starts then makes the
// detector read outside of the stack: SIGSEGV in StackDepotBase::Put, with a
// size of 0xffffffff. One processor runs one timer at a time. The detector
// needs no parallel threads to find unordered accesses.
func init() { runtime.GOMAXPROCS(1) }
