package forecast

import (
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

// Snapshot is all that a forecast depends on. Times are those of the store's
// clock.
type Snapshot struct {
	At time.Duration
	// Jobs are the accepted jobs that have not ended, in the order of the plan.
	Jobs []Job
	// Rooms are the pools of capacity. Steps refer to them by index.
	Rooms []Room
	// Queues are those that the Outlook describes.
	Queues []Queue
	// Arrivals are the jobs that were accepted within Window before At. As much
	// work is expected to arrive from now on, and some of it comes first.
	Arrivals []Arrival
	Window   time.Duration
	// Spread is the spread of the durations within a step.
	Spread Spread
	// Errors are the errors of earlier forecasts.
	Errors *Errors
}

// Room is the capacity of the workers of one service: the CPU that is left for
// filling tasks, or the CPU that other tasks may reserve.
type Room struct {
	Service string
	Filling bool
	// Cores is the capacity now, Usual its recent mean. Tasks that run at present
	// are counted as using it, lasting tasks are not.
	Cores, Usual float64
	// Images holds the part of Cores, 0 to 1, that tasks of an image can use:
	// filling tasks keep off workers where they press on serving tasks, and need
	// whole tasks' worth of room. Steps refer to it by index.
	Images []float64
	// Free holds the part of Cores that is free at present for an image: the running
	// tasks may crowd just the workers that the image can use. Without it, the
	// running tasks are taken to be spread evenly.
	Free []float64
}

// Job is an accepted job.
type Job struct {
	ID       workload.JobID
	Accepted time.Duration
	Key      order.Key
	// Steps hold the steps of all occurrences that have begun and not ended.
	Steps []Step
	// Endless jobs use room and have no end that can be foreseen.
	Endless bool
	// Repeats says that further occurrences follow, so that the end of the steps
	// is not that of the job.
	Repeats bool
}

// Step is a step of a job.
type Step struct {
	// Room and Image index Snapshot.Rooms and Room.Images.
	Room, Image int
	// Cores is the CPU of one task, in cores.
	Cores float64
	// Typical is the expected time between the start and the end of a usual task.
	Typical time.Duration
	// Waiting counts the tasks that do not run, Spared sums the time by which
	// earlier runs of these shorten them.
	Waiting int
	Spared  time.Duration
	// Running holds the time since the start of each running task.
	Running []time.Duration
	// After lists the steps (by index in Job.Steps) that must end first.
	After []int
}

func (s *Step) complete() bool { return s.Waiting == 0 && len(s.Running) == 0 }

// Queue is a queue with the rooms that its jobs use.
type Queue struct {
	Name     string
	Priority int
	// Filling and Reserved index Snapshot.Rooms; -1 is none.
	Filling, Reserved int
	// Images index Room.Images for the images of the queue's filling jobs. A new job
	// is expected to have one of them.
	Images []int
}

// Arrival is a job that was accepted recently.
type Arrival struct {
	At       time.Duration
	Priority int
	// Room indexes Snapshot.Rooms.
	Room int
	// Work is in core-seconds.
	Work float64
}

// End is the forecast of a job's end, by the store's clock.
type End struct {
	// Expected is the mean. The job ends by Half or by NineTenths with that
	// probability.
	Expected, Half, NineTenths time.Duration
	// Start is when the waiting tasks are expected to get room; At if none waits.
	Start time.Duration
	// raw is Half before it was corrected by earlier errors.
	raw time.Duration
}

// Forecast is the result for all jobs of a snapshot.
type Forecast struct {
	At      time.Duration
	Ends    map[workload.JobID]End
	Outlook Outlook
}

// Demand sums the cores of the waiting and of the running tasks of a room, those
// of lasting tasks left out.
func (s *Snapshot) Demand(room int) (waiting, running float64) {
	for i := range s.Jobs {
		if s.Jobs[i].Endless {
			continue
		}
		for k := range s.Jobs[i].Steps {
			if x := &s.Jobs[i].Steps[k]; x.Room == room {
				waiting += float64(x.Waiting) * x.Cores
				running += float64(len(x.Running)) * x.Cores
			}
		}
	}
	return waiting, running
}
