package machine

import (
	"testing"
	"time"

	"persimmonrock.example/ops/connlimit"
	"persimmonrock.example/platform/boot"
	"persimmonrock.example/structs/workload"
)

// What the operator's configuration leaves out, and everything until it is known,
// has the default of the product's own interface.
func TestLimitsOfTheConfigurationTakeEffect(t *testing.T) {
	configured := clientLimits(workload.Limits{HeaderBytes: 1, Header: 2 * time.Second, Idle: 3 * time.Second})
	want := connlimit.ClientLimits{HeaderBytes: 1, Header: 2 * time.Second, Idle: 3 * time.Second, Body: 15 * time.Second, Send: 15 * time.Second}
	if configured != want {
		t.Errorf("limits %+v, want %+v", configured, want)
	}
	defaults := clientLimits(workload.Limits{})
	want = connlimit.ClientLimits{HeaderBytes: 16 << 10, Header: 5 * time.Second, Idle: 2 * time.Minute, Body: 15 * time.Second, Send: 15 * time.Second}
	if defaults != want {
		t.Errorf("default limits %+v, want %+v", defaults, want)
	}
}

// Guards against clients that take the descriptors which the process needs for
// the store, agents and other entries, and the memory of the scheduler.
func TestClientsGetAPartOfTheMachine(t *testing.T) {
	for _, c := range []struct {
		settings    boot.Settings
		connections int
		memory      int64
	}{
		{boot.Settings{Descriptors: 3900, MemoryBytes: 284 << 20}, 1950, 71 << 20},
		{boot.Settings{Descriptors: 3900, MemoryBytes: 184 << 20}, 1950, 46 << 20},
		{boot.Settings{MemoryBytes: 184 << 20}, 2048, 46 << 20},
		{boot.Settings{Descriptors: 1, MemoryBytes: 184 << 20}, 1, 46 << 20},
	} {
		p := &program{settings: c.settings}
		if got := p.clientShare(); got.Connections != c.connections || got.Memory != c.memory {
			t.Errorf("%d descriptors, %d bytes: clients get %+v, want %d and %d", c.settings.Descriptors, c.settings.MemoryBytes, got, c.connections, c.memory)
		}
	}
}
