package urgent

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/structs"
)

// All instances of a service are unresponsive for so long that the entry removes
// them from its directory. On a 404 callers stop retrying for good, although the
// service exists, so they must get 503 with a Retry-After. A service that was
// never offered, or whose last agent was lost long ago, is unknown.
func TestServiceWithoutAgentsIsNotUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, false, constant(time.Millisecond))
		defer f.server.Close()
		want := func(when string, kind structs.RefusalType, status int, retryAfter bool) {
			t.Helper()
			_, refused, _ := f.call("r", time.Second)
			if refused == nil || refused.Type != kind || refused.Status != status || refused.Outcome != structs.NotRun || (refused.RetryAfter > 0) != retryAfter {
				t.Errorf("%s: %+v, want %s, %d", when, refused, kind, status)
			}
		}
		time.Sleep(9 * time.Minute)
		f.dir.Sweep()
		want("forgotten", structs.RefusedUnreachable, 503, true)
		time.Sleep(2 * time.Hour)
		f.dir.Sweep()
		want("gone for two hours", structs.RefusedUnknownService, 404, false)
		if _, known := f.dir.Service("never"); known {
			t.Error("a service that was never offered is known")
		}
	})
}
