package workload

import (
	"strconv"
	"strings"
)

const (
	// lifeSeparator separates the instance and the start time in a WorkerID.
	lifeSeparator = "@"
	// bornBase is the base of the start time's digits. Each placement on record
	// holds a WorkerID, so that a short one saves bytes in the store.
	bornBase = 36
)

// NewWorkerID returns the identifier of the life of a worker that began at
// born, in milliseconds since 1970; 0 means that the worker does not tell, and
// that each of its lives has an instance identifier of its own.
func NewWorkerID(instance string, born int64) WorkerID {
	if born == 0 && !strings.Contains(instance, lifeSeparator) {
		return WorkerID(instance)
	}
	return WorkerID(instance + lifeSeparator + strconv.FormatInt(born, bornBase))
}

// Instance returns the identifier under which the worker is called. Several
// lives may share it.
func (id WorkerID) Instance() string {
	instance, _ := id.split()
	return instance
}

// Born returns the start time of the worker's life; see NewWorkerID.
func (id WorkerID) Born() int64 {
	_, born := id.split()
	return born
}

func (id WorkerID) split() (instance string, born int64) {
	n := strings.LastIndex(string(id), lifeSeparator)
	if n < 0 {
		return string(id), 0
	}
	born, err := strconv.ParseInt(string(id[n+1:]), bornBase, 64)
	if err != nil || born < 0 {
		return string(id), 0
	}
	return string(id[:n]), born
}
