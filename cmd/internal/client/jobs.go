package client

import (
	"context"
	"net/http"
	"net/url"

	"persimmonrock.example/structs"
	"persimmonrock.example/structs/api"
)

// The documents of a customer's jobs.
type (
	JobRequest = api.JobRequest
	Job        = api.Job
)

// listPage is the minimum number of jobs in an answer that has a next page.
const listPage = 200

func jobPath(id structs.JobID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }

// Submit submits a job. key is its Idempotency-Key: a repeat with the same key
// returns the same job.
func (c *Client) Submit(ctx context.Context, r JobRequest, key string) (Job, error) {
	var out Job
	_, err := c.do(ctx, request{
		method:     http.MethodPost,
		path:       "/v1/jobs",
		header:     http.Header{"Idempotency-Key": {key}},
		body:       r,
		idempotent: true,
	}, &out)
	return out, err
}

// Jobs lists all jobs of the key's customer, page by page.
func (c *Client) Jobs(ctx context.Context) ([]Job, error) {
	var all []Job
	path := "/v1/jobs"
	for {
		var page struct{ Jobs []Job }
		if _, err := c.get(ctx, path, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Jobs...)
		if len(page.Jobs) < listPage {
			return all, nil
		}
		path = "/v1/jobs?after=" + url.QueryEscape(string(all[len(all)-1].ID))
	}
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id structs.JobID) (Job, error) {
	var out Job
	_, err := c.get(ctx, jobPath(id), &out)
	return out, err
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id structs.JobID) (Job, error) {
	var out Job
	_, err := c.do(ctx, request{method: http.MethodDelete, path: jobPath(id), idempotent: true}, &out)
	return out, err
}

// Result returns the result of a done job.
func (c *Client) Result(ctx context.Context, id structs.JobID) ([]byte, error) {
	a, err := c.get(ctx, jobPath(id)+"/result", nil)
	return a.body, err
}

// Release puts a parked job back into the queue. It requires an operator's key.
// The request is sent once, because a repeat might release the job after it was
// parked again.
func (c *Client) Release(ctx context.Context, customer structs.Customer, id structs.JobID) (Job, error) {
	var out Job
	path := adminPath + "/jobs/" + url.PathEscape(string(customer)) + "/" + url.PathEscape(string(id)) + "/release"
	_, err := c.do(ctx, request{method: http.MethodPost, path: path}, &out)
	return out, err
}
