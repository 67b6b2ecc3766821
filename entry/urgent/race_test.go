//go:build race

package urgent

import "runtime"

// init keeps tests in fake time on one processor under the race detector.
//
// Failure guarded against: the Go runtime runs due channel timers of a
// synctest bubble on whichever thread polls them, all with the bubble's one
// race context, without a lock. Two timers at once leave the context's stack
// one frame too short, and when a timer next starts a goroutine, the detector
// reads outside of this stack: SIGSEGV in StackDepotBase::Put, with a size of
// 0xffffffff. With one processor only one timer runs at a time. The detector
// finds unordered accesses without parallel threads.
func init() { runtime.GOMAXPROCS(1) }
