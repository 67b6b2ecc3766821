package machines

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
)

// Jobs is the interface of an entry for clients. Its methods return errors of
// package workload. After ErrUndecided or any other error, the outcome of the
// call is unknown.
type Jobs interface {
	Submit(ctx context.Context, q workload.Queue, j workload.Job) error
	State(ctx context.Context, q workload.Queue, id workload.JobID) (workload.State, error)
	Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error
}

// Client submits jobs, reads their states and cancels them at any entry that
// answers, as the users' clients do. It reports its observations to the rules.
type Client struct {
	rules *Rules
	// entry returns the entry for the n-th attempt, or nil if that entry is
	// down.
	entry func(n int) Jobs
	next  int
}

// NewClient returns a client of the entries that entry returns.
func NewClient(rules *Rules, entry func(n int) Jobs) *Client {
	return &Client{rules: rules, entry: entry}
}

// NewClient returns a client of the simulation's entries.
func (sim *Simulation) NewClient() *Client {
	return NewClient(sim.Rules, func(n int) Jobs {
		if s := sim.entries[n%len(sim.entries)].Service(); s != nil {
			return s
		}
		return nil
	})
}

const (
	// clientTimeout bounds the wait for one answer.
	clientTimeout = 3 * time.Second
	// clientRetryDelay is the delay before the next attempt.
	clientRetryDelay = 300 * time.Millisecond
)

// Submit submits a job in at most tries attempts and reports whether it was
// accepted. If the job is refused because it can't end while it is of use, the
// client comes back when it is told to.
func (c *Client) Submit(j workload.Job, tries int) bool {
	for {
		accepted, comeBack, left := c.Offer(j, tries)
		if accepted || left == 0 {
			return accepted
		}
		time.Sleep(comeBack)
		tries = left
	}
}

// Offer is like Submit, but returns at once if the job is refused because it
// can't end while it is of use: with the time after which the client is to come
// back, and the attempts that are left.
func (c *Client) Offer(j workload.Job, tries int) (accepted bool, comeBack time.Duration, left int) {
	c.rules.submitted(j)
	for ; tries > 0; tries-- {
		service := c.service()
		if service == nil {
			time.Sleep(clientRetryDelay)
			c.rules.answered(j.ID, false, false)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		err := service.Submit(ctx, j.Queue, j)
		cancel()
		var unavailable *workload.UnavailableError
		c.rules.answered(j.ID, err == nil, errors.As(err, &unavailable))
		if err == nil {
			return true, 0, 0
		}
		if errors.Is(err, workload.ErrOverloaded) && unavailable != nil {
			return false, unavailable.RetryAfter, tries - 1
		}
		time.Sleep(clientRetryDelay)
	}
	return false, 0, 0
}

func (c *Client) service() Jobs {
	c.next++
	return c.entry(c.next)
}

// State reads a job's state, repeating until an entry answers; "" means that
// the job is unknown.
func (c *Client) State(id workload.JobID) workload.State {
	for {
		service := c.service()
		if service == nil {
			time.Sleep(clientRetryDelay)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		s, err := service.State(ctx, workload.Queue{}, id)
		cancel()
		switch {
		case err == nil:
			c.rules.stateShown(id, s)
			return s
		case errors.Is(err, workload.ErrNoJob):
			c.rules.notFound(id)
			return ""
		}
		time.Sleep(clientRetryDelay)
	}
}

// Cancel cancels a job and reports whether the cancellation was acknowledged.
func (c *Client) Cancel(id workload.JobID) bool {
	for range 10 {
		service := c.service()
		if service == nil {
			time.Sleep(clientRetryDelay)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		err := service.Cancel(ctx, workload.Queue{}, id)
		cancel()
		if err == nil {
			c.rules.cancelled(id)
			return true
		}
		time.Sleep(clientRetryDelay)
	}
	return false
}

// Await polls the states of jobs until all are final or the time within has
// passed, and returns the jobs whose state is not final.
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
		time.Sleep(clientRetryDelay)
	}
	return open
}

// JobID returns the n-th job identifier.
func JobID(n int) workload.JobID { return workload.JobID(fmt.Sprintf("%016x", n+1)) }
