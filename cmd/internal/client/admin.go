package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"persimmonrock.example/structs"
	"persimmonrock.example/structs/api"
)

// The documents of the operators' interface.
type (
	Contracts = api.Contracts
	Process   = api.Process
	Config    = api.Config
	Backend   = api.Backend
	Instance  = api.Instance
	TimeLine  = api.TimeLine
)

const adminPath = "/v1/admin"

func contractPath(c structs.Customer) string {
	return adminPath + "/contracts/" + url.PathEscape(string(c))
}

// Contracts lists all contracts.
func (c *Client) Contracts(ctx context.Context) (Contracts, error) {
	var out Contracts
	_, err := c.get(ctx, adminPath+"/contracts", &out)
	return out, err
}

// Contract returns one contract and its ETag.
func (c *Client) Contract(ctx context.Context, customer structs.Customer) (structs.Contract, string, error) {
	var out structs.Contract
	a, err := c.get(ctx, contractPath(customer), &out)
	return out, a.header.Get("ETag"), err
}

// Apply writes a contract and returns the revision at which it was accepted.
// match is the ETag of the contract that the change is based on; an empty match
// requires that the customer has no contract yet. operation identifies the
// change and is the same for each attempt, so that a repeat is safe.
func (c *Client) Apply(ctx context.Context, contract structs.Contract, match, operation string) (structs.Revision, error) {
	a, err := c.do(ctx, request{
		method:     http.MethodPut,
		path:       contractPath(contract.Customer),
		header:     changeHeader(match, operation),
		body:       contract,
		idempotent: true,
	}, nil)
	return revisionOf(a), err
}

// Delete ends a contract. match, operation and the result are as in Apply.
func (c *Client) Delete(ctx context.Context, customer structs.Customer, match, operation string) (structs.Revision, error) {
	a, err := c.do(ctx, request{
		method:     http.MethodDelete,
		path:       contractPath(customer),
		header:     changeHeader(match, operation),
		idempotent: true,
	}, nil)
	return revisionOf(a), err
}

func changeHeader(match, operation string) http.Header {
	h := http.Header{}
	h.Set(headerOperation, operation)
	if match == "" {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", match)
	}
	return h
}

func revisionOf(a answer) structs.Revision {
	n, _ := strconv.ParseUint(a.header.Get(headerRevision), 10, 64)
	return structs.Revision(n)
}

// Config returns the revision that is in force in each process.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var out Config
	_, err := c.get(ctx, adminPath+"/config", &out)
	return out, err
}

// Backends lists the services on all instances.
func (c *Client) Backends(ctx context.Context) ([]Backend, error) {
	var out struct{ Backends []Backend }
	_, err := c.get(ctx, adminPath+"/backends", &out)
	return out.Backends, err
}

// Instances lists all instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out struct{ Instances []Instance }
	_, err := c.get(ctx, adminPath+"/instances", &out)
	return out.Instances, err
}

// Stop begins the planned stop of an instance.
func (c *Client) Stop(ctx context.Context, id structs.InstanceID) (Instance, error) {
	return c.postInstance(ctx, "/instances/"+url.PathEscape(string(id))+"/stop")
}

// Resume puts a stopped instance back into use.
func (c *Client) Resume(ctx context.Context, id structs.InstanceID) (Instance, error) {
	return c.postInstance(ctx, "/instances/"+url.PathEscape(string(id))+"/resume")
}

// Retire takes one service of an instance out of use.
func (c *Client) Retire(ctx context.Context, id structs.InstanceID, s structs.Service) (Instance, error) {
	return c.postInstance(ctx, "/backends/"+url.PathEscape(string(id))+"/"+url.PathEscape(string(s))+"/retire")
}

// postInstance sends a POST request about an instance. Each of these requests
// sets a state, so that repeating it is safe.
func (c *Client) postInstance(ctx context.Context, path string) (Instance, error) {
	var out Instance
	_, err := c.do(ctx, request{method: http.MethodPost, path: adminPath + path, idempotent: true}, &out)
	return out, err
}

// Events returns the merged events of all processes after a logical time, only
// those of request r or job j if given.
func (c *Client) Events(ctx context.Context, r structs.RequestID, j structs.JobID, after uint64) (TimeLine, error) {
	q := url.Values{}
	if r != "" {
		q.Set("request", string(r))
	}
	if j != "" {
		q.Set("job", string(j))
	}
	if after > 0 {
		q.Set("after", strconv.FormatUint(after, 10))
	}
	path := adminPath + "/events"
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	var out TimeLine
	_, err := c.get(ctx, path, &out)
	return out, err
}
