package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/structs/api"
)

// Bounds of a job request: the length of the kind's name, memory in bytes, and
// each other amount. They are far above any instance's capacity and prevent
// overflow of sums over a full queue.
const (
	maxKind   = 100
	maxMemory = 1 << 42
	maxAmount = 1 << 30
)

// jobTimeout bounds the handling of a job request without a Request-Timeout.
const jobTimeout = 10 * time.Second

// serveSubmit accepts a job. It chooses the job's ID before the first write, so
// that every internal retry names the same job. With an Idempotency-Key the ID
// is derived from the key, so that the caller's retries name the same job, too.
func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal {
	key, refused := idempotencyKey(r)
	if refused != nil {
		return refused
	}
	var request api.JobRequest
	if refused := e.decode(w, r, &request); refused != nil {
		return refused
	}
	if refused := checkJob(&request); refused != nil {
		return refused
	}
	ctx, cancel, refused := jobDeadline(r)
	if refused != nil {
		return refused
	}
	defer cancel()
	job, refused := e.batch.Submit(ctx, structs.Job{
		ID: jobID(c.Customer, key), Customer: c.Customer, Shard: structs.ShardOf(c.Customer), State: structs.JobQueued,
		Spec: structs.JobSpec{Kind: request.Kind, Declared: request.Declared, Runtime: request.Runtime, Payload: request.Payload},
	})
	if refused != nil {
		return refused
	}
	w.Header().Set("Location", "/v1/jobs/"+string(job.ID))
	writeJSON(w, http.StatusAccepted, api.JobOf(job))
	return nil
}

func checkJob(q *api.JobRequest) *structs.Refusal {
	if q.Declared.Slots == 0 {
		q.Declared.Slots = 1
	}
	d := q.Declared
	switch {
	case q.Kind == "" || len(q.Kind) > maxKind:
		return badRequest("job.check", "kind: want a name of up to %d characters", maxKind)
	case d.Slots < 0 || d.MilliCores < 0 || d.MemoryBytes < 0 || d.Accelerators < 0 || d.Connections < 0:
		return badRequest("job.check", "declared: want no negative amount")
	case max(d.Slots, d.MilliCores, d.Accelerators, d.Connections) > maxAmount || d.MemoryBytes > maxMemory:
		return badRequest("job.check", "declared: want at most %d bytes of memory and %d of anything else", maxMemory, maxAmount)
	case q.Runtime < 0:
		return badRequest("job.check", "runtime: want no negative duration")
	}
	return nil
}

// jobDeadline is withDeadline for a request about jobs.
func jobDeadline(r *http.Request) (context.Context, context.CancelFunc, *structs.Refusal) {
	return withDeadline(r, structs.Contract{LatencyTarget: structs.Duration(jobTimeout)})
}

func jobID(c structs.Customer, key string) structs.JobID {
	if key == "" {
		return structs.JobID("j-" + newID())
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s:%s", len(c), c, key))
	return structs.JobID("k-" + hex.EncodeToString(sum[:16]))
}

func (e *Entry) serveJob(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal {
	ctx, cancel, refused := jobDeadline(r)
	if refused != nil {
		return refused
	}
	defer cancel()
	job, refused := e.batch.Get(ctx, c.Customer, structs.JobID(r.PathValue("id")))
	if refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, api.JobOf(job))
	return nil
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal {
	ctx, cancel, refused := jobDeadline(r)
	if refused != nil {
		return refused
	}
	defer cancel()
	jobs, refusals := e.batch.Cancel(ctx, c.Customer, []structs.JobID{structs.JobID(r.PathValue("id"))})
	if refusals[0] != nil {
		return refusals[0]
	}
	writeJSON(w, http.StatusOK, api.JobOf(jobs[0]))
	return nil
}

func (e *Entry) serveResult(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal {
	ctx, cancel, refused := jobDeadline(r)
	if refused != nil {
		return refused
	}
	defer cancel()
	job, refused := e.batch.Get(ctx, c.Customer, structs.JobID(r.PathValue("id")))
	if refused != nil {
		return refused
	}
	if job.State != structs.JobDone {
		return &structs.Refusal{Type: structs.RefusedConflict, Status: http.StatusConflict, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("the job is %s; there is a result once it is done", job.State), RetryAfter: time.Second, Step: "job.result"}
	}
	body, err := e.deps.Objects.Get(ctx, job.Result)
	if err != nil {
		status, kind := http.StatusServiceUnavailable, structs.RefusedStore
		if errors.Is(err, infra.ErrNotFound) {
			status, kind = http.StatusInternalServerError, structs.RefusedInternal
		}
		return &structs.Refusal{Type: kind, Status: status, Outcome: structs.NotRun,
			Detail: "the result could not be read from the object store", RetryAfter: 2 * time.Second, Step: "job.result", Peer: "objects"}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
	return nil
}

// listPage is the number of job rows that a listing reads per scan.
const listPage = 200

// serveList lists the customer's own jobs from the table service in key order,
// starting after the job ID in ?after=. It reads pages until it has at least
// listPage jobs or the shard ends.
func (e *Entry) serveList(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal {
	ctx, cancel, refused := jobDeadline(r)
	if refused != nil {
		return refused
	}
	defer cancel()
	shard := structs.ShardOf(c.Customer)
	after := ""
	if id := r.URL.Query().Get("after"); !isText(id) {
		return badRequest("job.list", "after: want a job ID, got %q", id)
	} else if id != "" {
		after = structs.JobKey(shard, structs.JobID(id))
	}
	jobs := []api.Job{}
	for len(jobs) < listPage {
		rows, err := e.deps.Table.Scan(ctx, structs.JobShardPrefix(shard), after, listPage)
		if err != nil {
			return &structs.Refusal{Type: structs.RefusedStore, Status: 503, Outcome: structs.NotRun,
				Detail: "the table service does not answer", RetryAfter: 2 * time.Second, Step: "job.list", Peer: "table"}
		}
		for _, row := range rows {
			after = row.Key
			var j structs.Job
			if json.Unmarshal(row.Value, &j) == nil && j.Customer == c.Customer {
				jobs = append(jobs, api.JobOf(j))
			}
		}
		if len(rows) < listPage {
			break
		}
	}
	writeJSON(w, http.StatusOK, api.Jobs{Jobs: jobs})
	return nil
}
