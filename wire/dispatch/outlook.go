package dispatch

import "time"

// OutlookMark names the newest outlook that the caller of the scheduler holds,
// so that a reply carries an outlook only if it has a newer one. A process of a
// version without outlooks leaves it out, and gets none.
type OutlookMark struct {
	// Wanted says that the caller admits jobs by outlooks.
	Wanted bool
	Epoch  uint64
	At     time.Duration
}

// Outlook is a summary of the scheduler's forecast, by which entries admit jobs.
// Of two outlooks the one of the higher epoch is newer, then the one with the
// later At.
type Outlook struct {
	// Epoch identifies the term of the scheduler.
	Epoch uint64
	// At is the time of the forecast by the store's clock, Age its age when the
	// reply was sent.
	At  time.Duration
	Age time.Duration
	// Loads lists the queues in which a new job has to wait.
	Loads []QueueLoad
}

// QueueLoad is the work that is served before a new job of a queue. Filling jobs
// and jobs with reserved capacity use different room.
type QueueLoad struct {
	Queue    string
	Filling  Backlog
	Reserved Backlog
}

// Backlog is the work ahead, by the size of a new job, and the room, in cores,
// that serves it. UpTo and Ahead are in core-seconds.
type Backlog struct {
	Cores       float64
	UpTo, Ahead []float64
}

// RefusalNotice tells the scheduler that the caller is about to refuse the job of
// the request, if the reply confirms that the job can't end while it is of use.
type RefusalNotice struct {
	Queue string
	Fills bool
	// Work is the job's own work in core-seconds, Excess the time until the backlog
	// is short enough again.
	Work   float64
	Excess time.Duration
}
