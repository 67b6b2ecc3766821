//go:build race

package machines

import "runtime"

// init keeps tests in fake time on one processor under the race detector, which
// ends with "CHECK failed" where the timers of a fleet's goroutines fall due on
// several threads at once; agent/race_test.go tells the cause. The detector
// needs no parallel threads to see accesses without order.
func init() { runtime.GOMAXPROCS(1) }
