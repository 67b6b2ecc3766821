package relay

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/rowstore"
)

// Guards against reads for other entries that occupy the link at the same time,
// each with a copy of the same row, and against an answer that is older than the
// request.
func TestLargeReadsForOtherEntriesShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedReads()
		var version atomic.Uint64
		version.Store(1)
		var reads, concurrent, most atomic.Int64
		read := func() answer {
			reads.Add(1)
			most.Store(max(most.Load(), concurrent.Add(1)))
			defer concurrent.Add(-1)
			a := answer{at: rowstore.Stamp{Version: version.Load()}}
			time.Sleep(time.Second)
			return a
		}
		var group sync.WaitGroup
		ask := func(key string, least uint64) {
			group.Go(func() {
				if a := s.do(key, read); a.at.Version < least {
					t.Errorf("%s: answer of version %d, want %d or newer", key, a.at.Version, least)
				}
			})
		}
		ask("feed", 1)
		time.Sleep(500 * time.Millisecond)
		version.Store(2)
		for range 3 {
			ask("feed", 2)
		}
		ask("list", 2)
		group.Wait()
		if reads.Load() != 3 || most.Load() != 1 {
			t.Errorf("%d reads, %d of them at a time; want 3, one at a time", reads.Load(), most.Load())
		}
	})
}
