//go:build race

package agent

import "runtime"

// init makes the tests run on one processor under the race detector.
//
// Guards against a crash of the detector in tests with fake time. The Go
// runtime runs due channel timers of a synctest bubble on whichever thread
// polls them, all with the bubble's one race context, without a lock. Two
// timers at once leave that context's stack of frames one too short. The next
// goroutine that a timer starts then makes the detector read outside the stack:
// SIGSEGV in StackDepotBase::Put, with a size of 0xffffffff. On one processor
// one timer runs at a time. The detector needs no parallel threads to find
// unordered accesses.
func init() { runtime.GOMAXPROCS(1) }
