package machines

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
)

const (
	// slowLink is the users' slowest link of an entry in bytes a second.
	slowLink = 10e6 / 8
	// largeConfig is about the size of 1,400 routes.
	largeConfig = 400 << 10
	// verySlow lets the store answer after 2.4 s.
	verySlow = 600
)

// A large change is not in force long after the store, slow before, is fast again.
func TestLargeChangeIsInForceSoonAfterASlowStore(t *testing.T) {
	for _, size := range []int{largeConfig, 3 * largeConfig} {
		for phase := range 12 {
			t.Run(fmt.Sprintf("%d/%d", size, phase), func(t *testing.T) { changeInASlowStore(t, size, phase) })
		}
	}
}

// changeInASlowStore confirms two changes in a slow store that is fast again
// before the second one is read. The phase moves the moments.
func changeInASlowStore(t *testing.T, size, phase int) {
	play(t, Options{Seed: uint64(phase), Entries: 6, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetRate(slowLink)
		w.Configure(1, 0)
		time.Sleep(5 * second)
		w.Store.SetSlow(verySlow)
		time.Sleep(3*second + time.Duration(phase)*200*time.Millisecond)
		w.Configure(2, size)
		time.Sleep(second)
		w.Configure(3, size)
		time.Sleep(second / 5)
		w.Store.SetSlow(1)
		if _, err := w.awaitConfig(3, time.Now(), contact); err != nil {
			t.Error(err)
		}
	})
}

// A change that takes long to transfer is cut and begun anew for ever.
func TestLargeChangeOverASlowLinkIsInForce(t *testing.T) {
	for _, size := range []int{largeConfig, 2 * largeConfig, 4 * largeConfig} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			play(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, w *World, c *Client) {
				w.Store.SetRate(slowLink)
				w.Configure(1, 0)
				time.Sleep(5 * second)
				w.Configure(2, size)
				if _, err := w.awaitConfig(2, time.Now(), configApply); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// An entry that starts in a slow store has no configuration until it is fast.
func TestEntryThatStartsInASlowStoreGetsTheConfiguration(t *testing.T) {
	play(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		w.Configure(1, largeConfig)
		time.Sleep(3 * second)
		w.Store.SetRate(slowLink)
		w.Store.SetSlow(verySlow)
		e := w.Entries()[0]
		e.Kill()
		e.Start()
		if _, err := w.awaitConfig(1, time.Now(), 2*verySlow*memstore.AnswerTime); err != nil {
			t.Error(err)
		}
	})
}

// A change during a cut is not in force once the machine is in touch again.
func TestChangeDuringACutIsInForceSoonAfterIt(t *testing.T) {
	play(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetRate(slowLink)
		w.Configure(1, largeConfig)
		time.Sleep(3 * second)
		node := w.Entries()[0].Node
		w.Cut(node, true)
		w.Configure(2, largeConfig)
		time.Sleep(3 * second)
		w.Configure(3, largeConfig)
		w.Store.Compact()
		time.Sleep(second)
		w.Cut(node, false)
		if _, err := w.awaitConfig(3, time.Now(), contact); err != nil {
			t.Error(err)
		}
	})
}

// A configuration that can't be read replaces the last one, or blocks the next.
func TestUnreadableConfigurationChangesNothing(t *testing.T) {
	play(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		w.Configure(1, 0)
		time.Sleep(3 * second)
		w.ConfigureUnreadable()
		time.Sleep(3 * second)
		if _, ok := w.inForceSince(1); !ok {
			t.Error("version 1 is no longer in force")
		}
		w.Configure(2, 0)
		if _, err := w.awaitConfig(2, time.Now(), configApply); err != nil {
			t.Error(err)
		}
	})
}

// Connections fall silent one after another, and a change is late.
func TestChangeIsInForceThoughReadsGetNoAnswer(t *testing.T) {
	play(t, Options{Seed: 1, Entries: 3, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetRate(slowLink)
		w.Configure(1, 0)
		time.Sleep(3 * second)
		w.Store.SetMute(0.2)
		for version := uint64(2); version < 12; version++ {
			w.Configure(version, largeConfig)
			if _, err := w.awaitConfig(version, time.Now(), 2*contact); err != nil {
				t.Error(err)
			}
		}
	})
}
