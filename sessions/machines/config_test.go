package machines

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
)

const (
	// slowLink is the bandwidth of the users' slowest entry link in bytes per
	// second.
	slowLink = 10e6 / 8
	// largeConfig is about the size of 1,400 routes in bytes.
	largeConfig = 400 << 10
	// verySlow is the slow-down factor at which the store answers after 2.4 s.
	verySlow = 600
)

// Guards against a large configuration change that comes into force long after
// a slow store has become fast again.
func TestLargeChangeIsInForceSoonAfterASlowStore(t *testing.T) {
	for _, size := range []int{largeConfig, 3 * largeConfig} {
		for phase := range 12 {
			t.Run(fmt.Sprintf("%d/%d", size, phase), func(t *testing.T) { changeInASlowStore(t, size, phase) })
		}
	}
}

// changeInASlowStore confirms two changes in a slow store that becomes fast
// again before the second one is read. phase shifts the times of the changes.
func changeInASlowStore(t *testing.T, size, phase int) {
	simulate(t, Options{Seed: uint64(phase), Entries: 6, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetRate(slowLink)
		sim.Configure(1, 0)
		time.Sleep(5 * second)
		sim.Store.SetSlow(verySlow)
		time.Sleep(3*second + time.Duration(phase)*200*time.Millisecond)
		sim.Configure(2, size)
		time.Sleep(second)
		sim.Configure(3, size)
		time.Sleep(second / 5)
		sim.Store.SetSlow(1)
		if _, err := sim.awaitConfig(3, time.Now(), contactTime); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a change whose long transfer is cut off and restarted forever.
func TestLargeChangeOverASlowLinkIsInForce(t *testing.T) {
	for _, size := range []int{largeConfig, 2 * largeConfig, 4 * largeConfig} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			simulate(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
				sim.Store.SetRate(slowLink)
				sim.Configure(1, 0)
				time.Sleep(5 * second)
				sim.Configure(2, size)
				if _, err := sim.awaitConfig(2, time.Now(), configApplyBound); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against an entry that starts while the store is slow and has no
// configuration until the store is fast again.
func TestEntryThatStartsInASlowStoreGetsTheConfiguration(t *testing.T) {
	simulate(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Configure(1, largeConfig)
		time.Sleep(3 * second)
		sim.Store.SetRate(slowLink)
		sim.Store.SetSlow(verySlow)
		e := sim.Entries()[0]
		e.Kill()
		e.Start()
		if _, err := sim.awaitConfig(1, time.Now(), 2*verySlow*memstore.AnswerTime); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a change during a cut that comes into force long after the
// machine is reconnected.
func TestChangeDuringACutIsInForceSoonAfterIt(t *testing.T) {
	simulate(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetRate(slowLink)
		sim.Configure(1, largeConfig)
		time.Sleep(3 * second)
		node := sim.Entries()[0].Node
		sim.Cut(node, true)
		sim.Configure(2, largeConfig)
		time.Sleep(3 * second)
		sim.Configure(3, largeConfig)
		sim.Store.Compact()
		time.Sleep(second)
		sim.Cut(node, false)
		if _, err := sim.awaitConfig(3, time.Now(), contactTime); err != nil {
			t.Error(err)
		}
	})
}

// Guards against an unparsable configuration that replaces the previous
// configuration or blocks the next.
func TestUnreadableConfigurationChangesNothing(t *testing.T) {
	simulate(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Configure(1, 0)
		time.Sleep(3 * second)
		sim.ConfigureUnreadable()
		time.Sleep(3 * second)
		if _, ok := sim.inForceSince(1); !ok {
			t.Error("version 1 is no longer in force")
		}
		sim.Configure(2, 0)
		if _, err := sim.awaitConfig(2, time.Now(), configApplyBound); err != nil {
			t.Error(err)
		}
	})
}

// Guards against late changes when one connection to the store after another
// stops answering.
func TestChangeIsInForceThoughReadsGetNoAnswer(t *testing.T) {
	simulate(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetRate(slowLink)
		sim.Configure(1, 0)
		time.Sleep(3 * second)
		sim.Store.SetMute(0.2)
		for version := uint64(2); version < 12; version++ {
			sim.Configure(version, largeConfig)
			if _, err := sim.awaitConfig(version, time.Now(), 2*contactTime); err != nil {
				t.Error(err)
			}
		}
	})
}
