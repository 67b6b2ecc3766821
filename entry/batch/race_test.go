//go:build race

package batch

import "runtime"

// init keeps tests in fake time on one processor under the race detector.
//
// Failure guarded against: the Go runtime runs due channel timers of a synctest
// bubble on whichever thread polls them, all with the bubble's one race
// context, without a lock. Two timers at once leave that context's stack of
// frames one frame too short. When a timer then starts a goroutine, the
// detector reads outside the stack: SIGSEGV in StackDepotBase::Put, with a size
// of 0xffffffff. With one processor, one timer runs at a time. The detector
// finds unordered accesses without parallel threads.
func init() { runtime.GOMAXPROCS(1) }
