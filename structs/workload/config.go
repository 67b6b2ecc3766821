package workload

import (
	"strings"
	"time"
)

// Queue is one queue of a configuration.
type Queue struct {
	Name string `json:"n"`
	// Host and Prefix select the calls that belong to the queue.
	Host   string `json:"-"`
	Prefix string `json:"-"`
	// Service is the service whose workers run the tasks.
	Service string `json:"s"`
	// Priority orders queues; those with 0 are served first.
	Priority int `json:"p,omitempty"`
	// MaxAttempts is the number of a task's failed runs at which the job fails.
	MaxAttempts int `json:"a,omitempty"`
	// Stretch and TargetLatency define a job's target time: Stretch times the
	// longest chain of work, plus TargetLatency.
	Stretch       float64       `json:"x,omitempty"`
	TargetLatency time.Duration `json:"t,omitempty"`
	// Timeout bounds a client's call; 0 is no bound.
	Timeout time.Duration `json:"-"`
	// Advised queues use only workers that the policy service names.
	Advised bool `json:"v,omitempty"`
}

// Service is one service of a configuration.
type Service struct {
	Name string
	// EnforcesCapacity says that the service's workers refuse tasks that do not
	// fit.
	EnforcesCapacity bool
	// HealthPath is the path at which the service's workers report health.
	HealthPath string
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Limits are the limits on one client's call. A limit of 0 is not set.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes.
	HeaderBytes int
	BodyBytes   int64
	// Header is the time in which a client must send a header, Idle the time
	// after which a connection without a call is closed.
	Header, Idle time.Duration
}

// Find returns the queue of a call and the rest of the call's path. The queue
// with the longest matching prefix wins.
func (c *Config) Find(host, path string) (Queue, string, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	q := c.Queues[best]
	return q, path[len(q.Prefix):], true
}
