//go:build race

package machines

import "runtime"

// init keeps tests in fake time on one processor under the race detector, which
// fails with "CHECK failed" when the timers of a fleet's goroutines fire on
// several threads at once; agent/race_test.go explains the cause. The detector
// needs no parallel threads to find unordered accesses.
func init() { runtime.GOMAXPROCS(1) }
