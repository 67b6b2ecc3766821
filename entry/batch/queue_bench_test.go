package batch

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"persimmonrock.example/structs"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkQueueThatFitsNowhere reports the fraction of a core that the owner
// of all shards uses for queued jobs while no instance has a slot for them. One
// operation is a second of waiting: run it with -benchtime 5x.
func BenchmarkQueueThatFitsNowhere(b *testing.B) {
	for _, queued := range []int{0, 3000, 30_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			newFleet(b, queued, structs.JobQueued, admitAll{})
			reportCoreUse(b)
		})
	}
}

// BenchmarkAgentsUnreachable reports the fraction of a core that an owner uses
// after it has taken over 28,000 running tasks whose agents don't answer.
func BenchmarkAgentsUnreachable(b *testing.B) {
	newFleet(b, 28_000, structs.JobRunning, unresponsiveAgent{})
	reportCoreUse(b)
}

// BenchmarkRunning reports the fraction of a core that an owner of 28,000
// running tasks uses.
func BenchmarkRunning(b *testing.B) {
	newFleet(b, 28_000, structs.JobRunning, admitAll{})
	reportCoreUse(b)
}

// BenchmarkRestart reports an entry's time to load all shards from 30,000 rows
// in the table, and its time to claim new jobs after that.
func BenchmarkRestart(b *testing.B) {
	const fresh = 100
	m := newFleet(b, 30_000, structs.JobRunning, admitAll{})
	began := time.Now()
	for i := range fresh {
		c := structs.Customer(fmt.Sprintf("customer-%d", i))
		go m.Submit(b.Context(), structs.Job{ID: structs.JobID(fmt.Sprintf("new-%d", i)), Customer: c})
	}
	for m.count.claims.Load() < fresh {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-to-claims")
}

func reportCoreUse(b *testing.B) {
	time.Sleep(2 * time.Second)
	b.ResetTimer()
	used := processorTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	used = processorTime() - used
	b.ReportMetric(100*used.Seconds()/b.Elapsed().Seconds(), "%core")
}
