//go:build race

package sessions

import "runtime"

// init limits tests in fake time to one processor under the race detector,
// which otherwise crashes with SIGSEGV in StackDepotBase::Put when two timers
// run at once; agent/race_test.go explains the cause. The detector needs no
// parallel threads to find unordered accesses.
func init() { runtime.GOMAXPROCS(1) }
