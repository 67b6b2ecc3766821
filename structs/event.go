package structs

import "time"

// Step names the stage of a request or job that an event marks.
type Step string

// Event is one entry of a process's time line.
type Event struct {
	// Logical is a Lamport timestamp: it orders events across processes.
	Logical uint64 `json:"logical"`
	// Wall is for display only; it is never used to order events.
	Wall     time.Time `json:"wall"`
	Process  string    `json:"process"`
	Step     Step      `json:"step"`
	Peer     string    `json:"peer,omitempty"`
	Request  RequestID `json:"request,omitempty"`
	Job      JobID     `json:"job,omitempty"`
	Customer Customer  `json:"customer,omitempty"`
	Epoch    Epoch     `json:"epoch,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// Recorder records events. Record sets Logical, Wall and Process and never
// blocks.
type Recorder interface {
	Record(Event)
}

// NoEvents is a Recorder that discards all events.
type NoEvents struct{}

// Record discards e.
func (NoEvents) Record(Event) {}
