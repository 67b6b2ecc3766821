package machines

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
)

// Client hands jobs in, asks for their states and cancels them, at whatever
// entry answers, as the users' clients do.
type Client struct {
	world *World
	// next is the entry that is asked next.
	next int
}

// NewClient returns a client of the world.
func (w *World) NewClient() *Client { return &Client{world: w} }

const (
	// clientDeadline is how long a client waits for one answer.
	clientDeadline = 3 * time.Second
	// clientPause is the pause before it asks again.
	clientPause = 300 * time.Millisecond
)

// Submit hands a job in, up to tries times, and reports whether it was
// accepted.
func (c *Client) Submit(j workload.Job, tries int) bool {
	c.world.Rules.handIn(j)
	for range tries {
		service := c.entry().Service()
		if service == nil {
			time.Sleep(clientPause)
			c.world.Rules.answered(j.ID, false, false)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
		err := service.Submit(ctx, j.Queue, j)
		cancel()
		var unavailable *workload.UnavailableError
		c.world.Rules.answered(j.ID, err == nil, errors.As(err, &unavailable))
		if err == nil {
			return true
		}
		time.Sleep(clientPause)
	}
	return false
}

func (c *Client) entry() *Entry {
	c.next++
	return c.world.entries[c.next%len(c.world.entries)]
}

// State asks for a job's state until an entry answers.
func (c *Client) State(id workload.JobID) workload.State {
	for {
		service := c.entry().Service()
		if service == nil {
			time.Sleep(clientPause)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
		s, err := service.State(ctx, workload.Queue{}, id)
		cancel()
		switch {
		case err == nil:
			c.world.Rules.show(id, s)
			return s
		case errors.Is(err, workload.ErrNoJob):
			c.world.Rules.missing(id)
			return ""
		}
		time.Sleep(clientPause)
	}
}

// Cancel cancels a job and reports whether that was acknowledged.
func (c *Client) Cancel(id workload.JobID) bool {
	for range 10 {
		service := c.entry().Service()
		if service == nil {
			time.Sleep(clientPause)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
		err := service.Cancel(ctx, workload.Queue{}, id)
		cancel()
		if err == nil {
			c.world.Rules.cancelled(id)
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
