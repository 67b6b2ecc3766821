//go:build race

package contracts

import "runtime"

// init limits this package's tests to one processor under the race detector.
//
// Failure guarded against: the Go runtime runs due channel timers of a synctest
// bubble on whichever thread polls them. The timers share the bubble's one race
// context, without a lock. Two timers at once leave the context's stack of
// frames one too short, and the next goroutine that a timer starts makes the
// detector read outside of the stack: SIGSEGV in StackDepotBase::Put, with a
// size of 0xffffffff. One processor runs one timer at a time. The detector
// needs no parallel threads to find unsynchronised accesses.
func init() { runtime.GOMAXPROCS(1) }
