package machines

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
)

// Jobs is an entry as a client calls it. Errors are those of package
// workload; any other says nothing of what became of the call.
type Jobs interface {
	Submit(ctx context.Context, q workload.Queue, j workload.Job) error
	State(ctx context.Context, q workload.Queue, id workload.JobID) (workload.State, error)
	Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error
}

// Client hands jobs in, asks for their states and cancels them, at whatever
// entry answers, as the users' clients do. It tells the rules what it sees.
type Client struct {
	rules *Rules
	// entry returns the entry to ask at the n-th try, or nil if it is gone.
	entry func(n int) Jobs
	next  int
}

// NewClient returns a client of the entries that entry returns.
func NewClient(rules *Rules, entry func(n int) Jobs) *Client {
	return &Client{rules: rules, entry: entry}
}

// NewClient returns a client of the world.
func (w *World) NewClient() *Client {
	return NewClient(w.Rules, func(n int) Jobs {
		if s := w.entries[n%len(w.entries)].Service(); s != nil {
			return s
		}
		return nil
	})
}

const (
	// clientDeadline is how long a client waits for one answer.
	clientDeadline = 3 * time.Second
	// clientPause is the pause before it asks again.
	clientPause = 300 * time.Millisecond
)

// Submit hands a job in, up to tries times, and reports whether it was
// accepted.
func (c *Client) Submit(j workload.Job, tries int) bool {
	c.rules.handIn(j)
	for range tries {
		service := c.service()
		if service == nil {
			time.Sleep(clientPause)
			c.rules.answered(j.ID, false, false)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
		err := service.Submit(ctx, j.Queue, j)
		cancel()
		var unavailable *workload.UnavailableError
		c.rules.answered(j.ID, err == nil, errors.As(err, &unavailable))
		if err == nil {
			return true
		}
		time.Sleep(clientPause)
	}
	return false
}

func (c *Client) service() Jobs {
	c.next++
	return c.entry(c.next)
}

// State asks for a job's state until an entry answers.
func (c *Client) State(id workload.JobID) workload.State {
	for {
		service := c.service()
		if service == nil {
			time.Sleep(clientPause)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
		s, err := service.State(ctx, workload.Queue{}, id)
		cancel()
		switch {
		case err == nil:
			c.rules.show(id, s)
			return s
		case errors.Is(err, workload.ErrNoJob):
			c.rules.missing(id)
			return ""
		}
		time.Sleep(clientPause)
	}
}

// Cancel cancels a job and reports whether that was acknowledged.
func (c *Client) Cancel(id workload.JobID) bool {
	for range 10 {
		service := c.service()
		if service == nil {
			time.Sleep(clientPause)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
		err := service.Cancel(ctx, workload.Queue{}, id)
		cancel()
		if err == nil {
			c.rules.cancelled(id)
			return true
		}
		time.Sleep(clientPause)
	}
	return false
}

// Await asks for the states of jobs until all are final or the time is over,
// and returns those that are not.
func (c *Client) Await(ids []workload.JobID, within time.Duration) map[workload.JobID]workload.State {
	deadline := time.Now().Add(within)
	open := map[workload.JobID]workload.State{}
	for _, id := range ids {
		open[id] = workload.Queued
	}
	for len(open) > 0 && time.Now().Before(deadline) {
		for id := range open {
			s := c.State(id)
			open[id] = s
			if s.Final() {
				delete(open, id)
			}
		}
		time.Sleep(clientPause)
	}
	return open
}

// JobID gives the n-th identifier.
func JobID(n int) workload.JobID { return workload.JobID(fmt.Sprintf("%016x", n+1)) }
