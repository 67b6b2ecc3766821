//go:build race

package sessions

import "runtime"

// init limits tests in fake time to one processor under the race detector.
//
// Guards against a crash of the detector: SIGSEGV in StackDepotBase::Put, with
// a size of 0xffffffff. The Go runtime runs due channel timers of a synctest
// bubble on whichever thread polls them, all with the bubble's single race
// context, without a lock. If two timers run at once, the context's stack ends
// up one frame too short, and the next goroutine that a timer starts makes the
// detector read outside the stack. One processor runs one timer at a time. The
// detector needs no parallel threads to find unordered accesses.
func init() { runtime.GOMAXPROCS(1) }
